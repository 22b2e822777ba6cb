"""Renders a demo run as one HTML page with plots."""

import collections
import html
import typing

import msgspec
import plotly.graph_objects
import plotly.subplots

from egretjunction import demo
from egretjunction import metrics
from egretjunction.standins import customers

WINDOW_SECONDS = 5
PLOT_HEIGHT = 1000
MS_PER_SECOND = 1000
UPWARDS = -90
TITLES = (
    'Load per backend server (slot-seconds started per window)',
    'Latency per kind',
    'Outcomes that broke a promise or were not run',
)


def render(result: demo.Result) -> str:
    """Return a self-contained page.

    :param result: what ``egretjunction demo --report`` has written.
    """
    figure = plotly.subplots.make_subplots(rows=3, cols=1, subplot_titles=TITLES)
    for trace in _load_traces(result.samples):
        figure.add_trace(trace, row=1, col=1)
    for trace in _latency_traces(result.samples):
        figure.add_trace(trace, row=2, col=1)
    figure.add_trace(_trouble_trace(result.samples), row=3, col=1)
    for event in result.events:
        figure.add_vline(
            x=event.at,
            line_dash='dot',
            annotation_text=event.text,
            annotation_textangle=UPWARDS,
            row=1,
            col=1,
        )
    figure.update_layout(height=PLOT_HEIGHT)
    figure.update_xaxes(title_text='seconds', row=3, col=1)
    figure.update_xaxes(range=[0, result.seconds], row=1, col=1)
    figure.update_xaxes(range=[0, result.seconds], row=3, col=1)
    plots = figure.to_html(full_html=False, include_plotlyjs=True)
    title = f'egretjunction: {html.escape(result.user)}, {result.seconds:g} s'
    return (
        f'<!doctype html><html><head><meta charset="utf-8"><title>{title}</title>'
        f'<style>body{{font-family:sans-serif}}td{{padding:0 1em}}</style></head>'
        f'<body><h1>{title}</h1>{_totals(result)}{plots}</body></html>\n'
    )


def _totals(result: demo.Result) -> str:
    counted = msgspec.structs.asdict(result.totals)
    rows = (
        f'<tr><td>{name.replace("_", " ")}</td><td>{count}</td></tr>'
        for name, count in counted.items()
    )
    return f'<table>{"".join(rows)}</table>'


def _load_traces(
    samples: typing.Iterable[customers.Sample],
) -> list[plotly.graph_objects.Scatter]:
    load_by_server: dict[str, collections.Counter[int]] = {}
    for each in samples:
        if each.server:
            load = load_by_server.setdefault(each.server, collections.Counter())
            window = int(each.at // WINDOW_SECONDS) * WINDOW_SECONDS
            load[window] += each.work_ms
    return [
        plotly.graph_objects.Scatter(
            x=sorted(load),
            y=[load[window] / MS_PER_SECOND for window in sorted(load)],
            name=server,
            mode='lines+markers',
        )
        for server, load in sorted(load_by_server.items())
    ]


def _latency_traces(
    samples: typing.Iterable[customers.Sample],
) -> list[plotly.graph_objects.Bar]:
    by_kind: dict[str, metrics.LatencyHistogram] = {}
    for each in samples:
        if each.server:
            by_kind.setdefault(each.kind, metrics.LatencyHistogram()).record(
                each.seconds
            )
    return [
        plotly.graph_objects.Bar(
            x=[f'p{share * 100:g}' for share in metrics.QUANTILES],
            y=[found.quantile(share) for share in metrics.QUANTILES],
            name=kind,
        )
        for kind, found in sorted(by_kind.items())
    ]


def _trouble_trace(
    samples: typing.Iterable[customers.Sample],
) -> plotly.graph_objects.Scatter:
    trouble = [each for each in samples if each.broken or each.verdict == 'not-run']
    return plotly.graph_objects.Scatter(
        x=[each.at for each in trouble],
        y=[each.broken or 'not run' for each in trouble],
        mode='markers',
        name='trouble',
    )
