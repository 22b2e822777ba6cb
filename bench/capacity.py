"""Writes the load of each role at the target size into ``docs/CAPACITY.md``.

``python -m bench.capacity`` computes the table from the committed measurements.
"""

import pathlib
import typing

import msgspec

from bench import fitting
from bench import loads

FOLDER = pathlib.Path(__file__).parent
PAGE = FOLDER.parent / 'docs' / 'CAPACITY.md'
TABLE_BEGIN = '<!-- begin of the worked-out table -->'
TABLE_END = '<!-- end of the worked-out table -->'


def load_measurements() -> loads.Measurements:
    """Return the committed measurements."""
    content_by_name = {
        name: (FOLDER / f'{name}.json').read_bytes()
        for name in ('slopes', 'agent', 'sockets', 'policy')
    }
    scores = msgspec.json.decode(content_by_name['policy'])
    morning_rush = next(
        score
        for score in scores
        if (score['scenario'], score['policy']) == ('morning rush', 'ours')
    )
    return loads.Measurements(
        lines=msgspec.json.decode(
            content_by_name['slopes'], type=dict[str, fitting.Line]
        ),
        agent=msgspec.json.decode(content_by_name['agent'], type=dict[str, float]),
        sockets=msgspec.json.decode(content_by_name['sockets'], type=dict[str, float]),
        passes_per_flow=morning_rush['hops'],
    )


def all_rows(measurements: loads.Measurements) -> list[loads.Row]:
    """Return the rows of all roles."""
    return [
        *loads.entry_rows(measurements),
        *loads.data_rows(measurements),
        *loads.agent_rows(measurements),
        *loads.caller_rows(),
        *loads.platform_rows(measurements),
        *loads.event_rows(measurements),
    ]


def _format_quantity(value: float, unit: str) -> str:
    for factor, prefix in ((1e9, 'G'), (1e6, 'M'), (1e3, 'k')):
        if value >= factor and unit in {'B', 'B/s'}:
            return f'{value / factor:.3g} {prefix}{unit}'
    if unit == 'core':
        return f'{value * 100:.2f} % of a core'
    return f'{value:,.4g} {unit}'


def markdown_table(rows: typing.Iterable[loads.Row]) -> str:
    """Return rows as a Markdown table."""
    lines = [
        '| role | figure | computed | limit | | mechanism |',
        '|---|---|---|---|---|---|',
    ]
    for row in rows:
        limit = '-' if row.limit is None else _format_quantity(row.limit, row.unit)
        value_text = _format_quantity(row.value, row.unit)
        lines.append(
            f'| {row.role} | {row.figure} | {value_text} | {limit} | {row.verdict} '
            f'| {row.mechanism} |',
        )
    return '\n'.join(lines)


def replace_table(page: str, table: str) -> str:
    """Return the page with another table between its markers."""
    head, _, rest = page.partition(TABLE_BEGIN)
    _, _, tail = rest.partition(TABLE_END)
    return f'{head}{TABLE_BEGIN}\n\n{table}\n\n{TABLE_END}{tail}'


def main() -> None:
    """Write the table into the page and print it."""
    table = markdown_table(all_rows(load_measurements()))
    PAGE.write_text(replace_table(PAGE.read_text('utf-8'), table), 'utf-8')
    print(table)


if __name__ == '__main__':
    main()
