"""Writes the load of each role at the target size into ``docs/CAPACITY.md``.

``python -m bench.capacity`` reads the committed measurements.
"""

import pathlib
import typing

import msgspec

from bench import fitting
from bench import loads

HERE = pathlib.Path(__file__).parent
PAGE = HERE.parent / 'docs' / 'CAPACITY.md'
BEGIN = '<!-- begin of the worked-out table -->'
END = '<!-- end of the worked-out table -->'


def load() -> loads.Measured:
    """Read the committed measurements."""
    read = {
        name: (HERE / f'{name}.json').read_bytes()
        for name in ('slopes', 'agent', 'sockets', 'policy')
    }
    scores = msgspec.json.decode(read['policy'])
    morning = next(
        score
        for score in scores
        if (score['scenario'], score['policy']) == ('morning rush', 'ours')
    )
    return loads.Measured(
        lines=msgspec.json.decode(read['slopes'], type=dict[str, fitting.Line]),
        agent=msgspec.json.decode(read['agent'], type=dict[str, float]),
        sockets=msgspec.json.decode(read['sockets'], type=dict[str, float]),
        passes_per_flow=morning['hops'],
    )


def rows(measured: loads.Measured) -> list[loads.Row]:
    """Return the whole table."""
    return [
        *loads.entry_rows(measured),
        *loads.data_rows(measured),
        *loads.agent_rows(measured),
        *loads.caller_rows(),
        *loads.platform_rows(measured),
        *loads.event_rows(measured),
    ]


def _shown(value: float, unit: str) -> str:
    for factor, prefix in ((1e9, 'G'), (1e6, 'M'), (1e3, 'k')):
        if value >= factor and unit in {'B', 'B/s'}:
            return f'{value / factor:.3g} {prefix}{unit}'
    if unit == 'core':
        return f'{value * 100:.2f} % of a core'
    return f'{value:,.4g} {unit}'


def table(found: typing.Iterable[loads.Row]) -> str:
    """Return the table in Markdown."""
    lines = [
        '| role | figure | worked out | limit | | mechanism |',
        '|---|---|---|---|---|---|',
    ]
    for row in found:
        limit = '-' if row.limit is None else _shown(row.limit, row.unit)
        shown = _shown(row.value, row.unit)
        lines.append(
            f'| {row.role} | {row.figure} | {shown} | {limit} | {row.verdict} '
            f'| {row.mechanism} |',
        )
    return '\n'.join(lines)


def page_with(text: str, worked_out: str) -> str:
    """Return the page with its table replaced."""
    head, _, rest = text.partition(BEGIN)
    _, _, tail = rest.partition(END)
    return f'{head}{BEGIN}\n\n{worked_out}\n\n{END}{tail}'


def main() -> None:
    """Write the table into the page and print it."""
    worked_out = table(rows(load()))
    PAGE.write_text(page_with(PAGE.read_text('utf-8'), worked_out), 'utf-8')
    print(worked_out)


if __name__ == '__main__':
    main()
