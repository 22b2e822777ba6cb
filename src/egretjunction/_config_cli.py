"""The ``config`` commands of the command line."""

import asyncio
import pathlib
import typing

import typer

from egretjunction import _check_cli
from egretjunction import _config_options as options
from egretjunction import _evacuation_cli
from egretjunction import document_changes
from egretjunction import document_report
from egretjunction import evacuations
from egretjunction import logs
from egretjunction import operators
from egretjunction import platform
from egretjunction import settings
from egretjunction.decisions import document
from egretjunction.decisions import evacuation

app = typer.Typer(
    no_args_is_help=True,
    help='Check, apply and inspect the configuration document.',
)


def _load_document(path: str) -> document.Document:
    return document.parse(settings.read_text(path), path)


@app.command()
def show(url: options.Url, *, as_json: options.AsJson = False) -> None:
    """Print the accepted document."""
    accepted = asyncio.run(operators.read(platform.Platform(url)))
    payload = {'generation': accepted.generation, 'document': accepted.document.text()}
    options.print_value(payload, as_json, accepted.document.text())


@app.command()
def diff(
    path: options.DocumentPath, url: options.Url, *, as_json: options.AsJson = False
) -> None:
    """Show the difference between the accepted document and another one."""
    wanted = _load_document(path)
    accepted = asyncio.run(operators.read(platform.Platform(url)))
    diff_by_section = document_report.differences(wanted, accepted.document)
    options.print_value(
        diff_by_section, as_json, '\n'.join(diff_by_section.values()) or 'no difference'
    )


@app.command()
def apply(
    path: options.DocumentPath,
    url: options.Url,
    who: options.Who,
    team: options.Team,
    key_file: options.KeyFile,
    base: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help='Document on which the edit is based.'),
    ] = None,
    note: options.Note = '',
    *,
    as_json: options.AsJson = False,
) -> None:
    """Apply a document; sections that others changed meanwhile are merged.

    Without ``--base`` the edit is based on the accepted document. Evacuations stay as
    they are, whatever the document says of them.
    Exit codes: 0 accepted, 1 refused, 2 errors in the document, 3 outcome unknown.
    """
    logs.configure('config')
    wanted = _load_document(path)
    platform_client = platform.Platform(url)

    async def run() -> document_changes.Change | None:
        if base is None:
            base_document = (await operators.read(platform_client)).document
        else:
            base_document = _load_document(str(base))
        author = options.read_author(who, team, key_file, note)
        edited = evacuations.with_evacuations_of(wanted, base_document)
        return await operators.apply(platform_client, base_document, edited, author)

    options.print_change(asyncio.run(run()), as_json)


@app.command()
def revert(
    generation: int,
    url: options.Url,
    who: options.Who,
    team: options.Team,
    key_file: options.KeyFile,
    note: options.Note = '',
    *,
    as_json: options.AsJson = False,
) -> None:
    """Apply the document of an earlier generation as a new generation.

    Evacuations stay as they are.
    """
    logs.configure('config')
    platform_client = platform.Platform(url)

    async def run() -> document_changes.Change | None:
        base_document = (await operators.read(platform_client)).document
        wanted = await operators.read_generation(platform_client, generation)
        author = options.read_author(
            who, team, key_file, note or f'revert to {generation}'
        )
        edited = evacuation.with_evacuations_of(wanted, base_document)
        return await operators.apply(platform_client, base_document, edited, author)

    options.print_change(asyncio.run(run()), as_json)


@app.command()
def settle(
    change_id: str, url: options.Url, *, as_json: options.AsJson = False
) -> None:
    """Report whether a change with an unknown outcome was accepted."""
    accepted = asyncio.run(operators.read(platform.Platform(url)))
    change = operators.find(accepted, change_id)
    if change is None:
        generation = accepted.generation
        options.print_value(
            {'change_id': change_id, 'accepted': False, 'generation': generation},
            as_json,
            f'change {change_id} is not among the recent changes up to '
            f'generation {generation}: not accepted',
        )
        raise typer.Exit(1)
    options.print_change(change, as_json)


@app.command()
def history(url: options.Url, *, as_json: options.AsJson = False) -> None:
    """Print the recent changes in the audit trail, newest first."""
    accepted = asyncio.run(operators.read(platform.Platform(url)))
    recent = () if accepted.head is None else accepted.head.recent
    lines = [
        f'{change.generation:6d}  {change.when}  {change.who} ({change.team})  '
        f'{", ".join(sorted(change.sections))}  {change.note}  {change.change_id}'
        for change in reversed(recent)
    ]
    options.print_value(recent, as_json, '\n'.join(lines) or 'no changes yet')


app.command()(_check_cli.check)
app.command()(_evacuation_cli.evacuate)
app.command()(_evacuation_cli.restore)
app.command()(_evacuation_cli.status)
