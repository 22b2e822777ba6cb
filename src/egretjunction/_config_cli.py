"""The ``config`` commands of the command line."""

import asyncio
import pathlib
import sys
import typing

import msgspec
import typer

from egretjunction import document_changes
from egretjunction import logs
from egretjunction import operators
from egretjunction import platform
from egretjunction import settings
from egretjunction.decisions import configuration
from egretjunction.decisions import document

app = typer.Typer(
    no_args_is_help=True,
    help='Check, apply and inspect the configuration document.',
)

DocumentPath = typing.Annotated[
    str, typer.Argument(help='Configuration document, an INI file.')
]
Url = typing.Annotated[
    str,
    typer.Option('--platform', help="Base URL of the platform's key-value service."),
]
AsJson = typing.Annotated[bool, typer.Option('--json', help='Print JSON.')]
Who = typing.Annotated[str, typer.Option(help='Operator name, for the audit trail.')]
Team = typing.Annotated[
    str, typer.Option(help='Team on whose behalf the change is made.')
]
KeyFile = typing.Annotated[str, typer.Option(help="File that holds the team's key.")]
Note = typing.Annotated[str, typer.Option(help='Reason for the change.')]


def _print(value: object, as_json: bool, text: str) -> None:
    if as_json:
        sys.stdout.write(f'{msgspec.json.encode(value).decode()}\n')
    else:
        sys.stdout.write(f'{text}\n')


def _read_author(who: str, team: str, key_file: str, note: str) -> operators.Author:
    key = settings.read_text(key_file).strip()
    return operators.Author(who, team, document.digest(key), note)


def _load_document(path: str) -> document.Document:
    return document.parse(settings.read_text(path), path)


@app.command()
def check(path: DocumentPath, *, as_json: AsJson = False) -> None:
    """Validate a document without the platform and report all errors."""
    parsed = _load_document(path)
    counts = {'services': len(parsed.services), 'teams': len(parsed.teams)}
    text = f'{path}: {counts["services"]} services, {counts["teams"]} teams, no errors'
    _print(counts, as_json, text)


@app.command()
def show(url: Url, *, as_json: AsJson = False) -> None:
    """Print the accepted document."""
    accepted = asyncio.run(operators.read(platform.Platform(url)))
    payload = {'generation': accepted.generation, 'document': accepted.document.text()}
    _print(payload, as_json, accepted.document.text())


@app.command()
def diff(path: DocumentPath, url: Url, *, as_json: AsJson = False) -> None:
    """Show the difference between the accepted document and another one."""
    wanted = _load_document(path)
    accepted = asyncio.run(operators.read(platform.Platform(url)))
    before, after = accepted.document.sections, wanted.sections
    changed = configuration.difference(before, after)
    diff_by_section = {
        name: configuration.section_diff(
            name, before.get(name, ''), after.get(name, '')
        )
        for name in changed
    }
    _print(
        diff_by_section, as_json, '\n'.join(diff_by_section.values()) or 'no difference'
    )


@app.command()
def apply(
    path: DocumentPath,
    url: Url,
    who: Who,
    team: Team,
    key_file: KeyFile,
    base: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help='Document on which the edit is based.'),
    ] = None,
    note: Note = '',
    *,
    as_json: AsJson = False,
) -> None:
    """Apply a document; sections that others changed meanwhile are merged.

    Without ``--base`` the edit is based on the accepted document.
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
        author = _read_author(who, team, key_file, note)
        return await operators.apply(platform_client, base_document, wanted, author)

    _print_change(asyncio.run(run()), as_json)


@app.command()
def revert(
    generation: int,
    url: Url,
    who: Who,
    team: Team,
    key_file: KeyFile,
    note: Note = '',
    *,
    as_json: AsJson = False,
) -> None:
    """Apply the document of an earlier generation as a new generation."""
    logs.configure('config')
    platform_client = platform.Platform(url)

    async def run() -> document_changes.Change | None:
        base_document = (await operators.read(platform_client)).document
        wanted = await operators.read_generation(platform_client, generation)
        author = _read_author(who, team, key_file, note or f'revert to {generation}')
        return await operators.apply(platform_client, base_document, wanted, author)

    _print_change(asyncio.run(run()), as_json)


@app.command()
def settle(change_id: str, url: Url, *, as_json: AsJson = False) -> None:
    """Report whether a change with an unknown outcome was accepted."""
    accepted = asyncio.run(operators.read(platform.Platform(url)))
    change = operators.find(accepted, change_id)
    if change is None:
        generation = accepted.generation
        _print(
            {'change_id': change_id, 'accepted': False, 'generation': generation},
            as_json,
            f'change {change_id} is not among the recent changes up to '
            f'generation {generation}: not accepted',
        )
        raise typer.Exit(1)
    _print_change(change, as_json)


@app.command()
def history(url: Url, *, as_json: AsJson = False) -> None:
    """Print the recent changes in the audit trail, newest first."""
    accepted = asyncio.run(operators.read(platform.Platform(url)))
    recent = () if accepted.head is None else accepted.head.recent
    lines = [
        f'{change.generation:6d}  {change.when}  {change.who} ({change.team})  '
        f'{", ".join(sorted(change.sections))}  {change.note}  {change.change_id}'
        for change in reversed(recent)
    ]
    _print(recent, as_json, '\n'.join(lines) or 'no changes yet')


@app.command()
def status(
    admin: typing.Annotated[
        list[str],
        typer.Argument(help='Admin addresses of entries and agents, as ip:port.'),
    ],
    *,
    as_json: AsJson = False,
) -> None:
    """Print the generation in force on each process, by failure domain."""
    generations_by_domain = asyncio.run(operators.generations(admin))
    lines = [
        f'{domain}: '
        + ', '.join(
            f'{name}={generation}'
            for name, generation in sorted(generation_by_name.items())
        )
        for domain, generation_by_name in sorted(generations_by_domain.items())
    ]
    _print(generations_by_domain, as_json, '\n'.join(lines))


def _print_change(change: document_changes.Change | None, as_json: bool) -> None:
    if change is None:
        _print(None, as_json, 'nothing to change')
        return
    payload = msgspec.structs.asdict(change)
    text = f'accepted as generation {change.generation}, change {change.change_id}'
    _print(payload, as_json, text)
