"""Renders the result of a demo run as an HTML page with plots."""

import collections
import html
import typing

import msgspec
import plotly.graph_objects
import plotly.subplots

from egretjunction import demo
from egretjunction import metrics
from egretjunction.standins import customers

LOAD_WINDOW_SECONDS = 5
PLOT_HEIGHT_PIXELS = 1000
MS_PER_SECOND = 1000
VERTICAL_TEXT_DEGREES = -90
SUBPLOT_TITLES = (
    'Load per backend server (slot-seconds started per window)',
    'Latency per kind',
    'Requests that violated a guarantee or were not run',
)


def render(result: demo.Result) -> str:
    """Return a self-contained HTML page.

    :param result: result written by ``egretjunction demo --report``.
    """
    figure = plotly.subplots.make_subplots(
        rows=3, cols=1, subplot_titles=SUBPLOT_TITLES
    )
    for trace in _load_traces(result.samples):
        figure.add_trace(trace, row=1, col=1)
    for trace in _latency_traces(result.samples):
        figure.add_trace(trace, row=2, col=1)
    figure.add_trace(_failure_trace(result.samples), row=3, col=1)
    for event in result.events:
        figure.add_vline(
            x=event.at,
            line_dash='dot',
            annotation_text=event.text,
            annotation_textangle=VERTICAL_TEXT_DEGREES,
            row=1,
            col=1,
        )
    figure.update_layout(height=PLOT_HEIGHT_PIXELS)
    figure.update_xaxes(title_text='seconds', row=3, col=1)
    figure.update_xaxes(range=[0, result.seconds], row=1, col=1)
    figure.update_xaxes(range=[0, result.seconds], row=3, col=1)
    plots = figure.to_html(full_html=False, include_plotlyjs=True)
    title = f'egretjunction: {html.escape(result.user)}, {result.seconds:g} s'
    return (
        f'<!doctype html><html><head><meta charset="utf-8"><title>{title}</title>'
        f'<style>body{{font-family:sans-serif}}td{{padding:0 1em}}</style></head>'
        f'<body><h1>{title}</h1>{_totals_table(result)}{plots}</body></html>\n'
    )


def _totals_table(result: demo.Result) -> str:
    counts = msgspec.structs.asdict(result.totals)
    rows = (
        f'<tr><td>{name.replace("_", " ")}</td><td>{count}</td></tr>'
        for name, count in counts.items()
    )
    return f'<table>{"".join(rows)}</table>'


def _load_traces(
    samples: typing.Iterable[customers.Sample],
) -> list[plotly.graph_objects.Scatter]:
    load_by_server: dict[str, collections.Counter[int]] = {}
    for sample in samples:
        if sample.server:
            load = load_by_server.setdefault(sample.server, collections.Counter())
            window = int(sample.at // LOAD_WINDOW_SECONDS) * LOAD_WINDOW_SECONDS
            load[window] += sample.work_ms
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
    latencies_by_kind: dict[str, metrics.LatencyHistogram] = {}
    for sample in samples:
        if sample.server:
            latencies_by_kind.setdefault(
                sample.kind, metrics.LatencyHistogram()
            ).record(sample.seconds)
    return [
        plotly.graph_objects.Bar(
            x=[f'p{fraction * 100:g}' for fraction in metrics.QUANTILES],
            y=[latencies.quantile(fraction) for fraction in metrics.QUANTILES],
            name=kind,
        )
        for kind, latencies in sorted(latencies_by_kind.items())
    ]


def _failure_trace(
    samples: typing.Iterable[customers.Sample],
) -> plotly.graph_objects.Scatter:
    failed = [
        sample for sample in samples if sample.broken or sample.verdict == 'not-run'
    ]
    return plotly.graph_objects.Scatter(
        x=[sample.at for sample in failed],
        y=[sample.broken or 'not run' for sample in failed],
        mode='markers',
        name='trouble',
    )
