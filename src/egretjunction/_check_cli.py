"""The command that reports on a document before it is applied."""

import asyncio
import enum
import sys
import typing

import msgspec
import typer

from egretjunction import _config_options as options
from egretjunction import document_report
from egretjunction.decisions import document_rules


class Format(enum.Enum):
    """Format of the report."""

    TEXT = 'text'
    JSON = 'json'


def check(
    path: options.DocumentPath,
    url: typing.Annotated[
        str | None,
        typer.Option(
            '--platform', help='Base URL of the platform; adds the differences.'
        ),
    ] = None,
    admin: typing.Annotated[
        str | None,
        typer.Option(help='Admin address of an entry; adds the rules about agents.'),
    ] = None,
    report_format: typing.Annotated[
        Format, typer.Option('--format', help='Format of the report.')
    ] = Format.TEXT,
    *,
    strict: typing.Annotated[
        bool, typer.Option('--strict', help='Exit with code 1 for warnings.')
    ] = False,
    as_json: options.AsJson = False,
) -> None:
    """Report what the daemons would refuse in a document, or could not use.

    ``--format json`` prints the whole report, ``--json`` only counts.
    Exit codes: 0 no errors, 1 warnings with ``--strict``, 2 errors.
    """
    report = asyncio.run(document_report.make(path, url, admin))
    if report_format is Format.JSON:
        sys.stdout.write(f'{msgspec.json.encode(report).decode()}\n')
    else:
        _print_text(report, as_json)
    code = report.exit_code(strict)
    if code:
        raise typer.Exit(code)


def _print_text(report: document_report.Report, as_json: bool) -> None:
    """Print findings on standard error, differences and counts on standard output."""
    for line in document_report.lines(report):
        sys.stderr.write(f'{line}\n')
    if report.count(document_rules.Level.ERROR):
        return
    warning_count = report.count(document_rules.Level.WARNING)
    text = (
        f'{report.source}: {report.services} services, {report.teams} teams, '
        f'no errors, {warning_count} warnings'
    )
    if report.in_force is not None:
        generation = report.in_force.generation
        changed = report.in_force.differences
        text = f'{text}; {len(changed)} sections differ from generation {generation}'
        text = '\n'.join([text, *changed.values()])
    counts = {'services': report.services, 'teams': report.teams}
    options.print_value(counts, as_json, text)
