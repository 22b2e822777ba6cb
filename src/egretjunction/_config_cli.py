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
    help='Check, apply and look at the configuration document.',
)

DocumentPath = typing.Annotated[str, typer.Argument(help='The INI document.')]
Url = typing.Annotated[
    str,
    typer.Option('--platform', help="Base URL of the platform's service."),
]
AsJson = typing.Annotated[bool, typer.Option('--json', help='Print JSON.')]
Who = typing.Annotated[str, typer.Option(help='Your name, for the audit trail.')]
Team = typing.Annotated[str, typer.Option(help='The team that you act for.')]
KeyFile = typing.Annotated[str, typer.Option(help="File with the team's key.")]
Note = typing.Annotated[str, typer.Option(help='Why the change is made.')]


def _print(value: object, as_json: bool, text: str) -> None:
    if as_json:
        sys.stdout.write(f'{msgspec.json.encode(value).decode()}\n')
    else:
        sys.stdout.write(f'{text}\n')


def _author(who: str, team: str, key_file: str, note: str) -> operators.Author:
    key = settings.read_text(key_file).strip()
    return operators.Author(who, team, document.digest(key), note)


def _load(path: str) -> document.Document:
    return document.parse(settings.read_text(path), path)


@app.command()
def check(path: DocumentPath, *, as_json: AsJson = False) -> None:
    """Check a document without the platform; shows every error at once."""
    found = _load(path)
    counted = {'services': len(found.services), 'teams': len(found.teams)}
    text = (
        f'{path}: {counted["services"]} services, {counted["teams"]} teams, no errors'
    )
    _print(counted, as_json, text)


@app.command()
def show(url: Url, *, as_json: AsJson = False) -> None:
    """Print the accepted document."""
    accepted = asyncio.run(operators.read(platform.Platform(url)))
    shown = {'generation': accepted.generation, 'document': accepted.document.text()}
    _print(shown, as_json, accepted.document.text())


@app.command()
def diff(path: DocumentPath, url: Url, *, as_json: AsJson = False) -> None:
    """Show what a document would change."""
    wanted = _load(path)
    accepted = asyncio.run(operators.read(platform.Platform(url)))
    before, after = accepted.document.sections, wanted.sections
    changed = configuration.difference(before, after)
    shown = {
        name: configuration.section_diff(
            name, before.get(name, ''), after.get(name, '')
        )
        for name in changed
    }
    _print(shown, as_json, '\n'.join(shown.values()) or 'no difference')


@app.command()
def apply(
    path: DocumentPath,
    url: Url,
    who: Who,
    team: Team,
    key_file: KeyFile,
    base: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help='The document that your edit began with.'),
    ] = None,
    note: Note = '',
    *,
    as_json: AsJson = False,
) -> None:
    """Have a document accepted; sections that others changed are merged.

    Without ``--base`` the edit is taken to begin with the accepted document.
    Exit codes: 0 accepted, 1 refused, 2 errors in the document, 3 not yet known.
    """
    logs.configure('config')
    wanted = _load(path)
    service = platform.Platform(url)

    async def run() -> document_changes.Change | None:
        if base is None:
            begun = (await operators.read(service)).document
        else:
            begun = _load(str(base))
        author = _author(who, team, key_file, note)
        return await operators.apply(service, begun, wanted, author)

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
    """Make an earlier generation the newest one again."""
    logs.configure('config')
    service = platform.Platform(url)

    async def run() -> document_changes.Change | None:
        begun = (await operators.read(service)).document
        wanted = await operators.read_generation(service, generation)
        author = _author(who, team, key_file, note or f'revert to {generation}')
        return await operators.apply(service, begun, wanted, author)

    _print_change(asyncio.run(run()), as_json)


@app.command()
def settle(change_id: str, url: Url, *, as_json: AsJson = False) -> None:
    """Tell whether a change whose answer was lost was accepted."""
    accepted = asyncio.run(operators.read(platform.Platform(url)))
    found = operators.find(accepted, change_id)
    if found is None:
        generation = accepted.generation
        _print(
            {'change_id': change_id, 'accepted': False, 'generation': generation},
            as_json,
            f'change {change_id} is not among the recent changes up to '
            f'generation {generation}: not accepted',
        )
        raise typer.Exit(1)
    _print_change(found, as_json)


@app.command()
def history(url: Url, *, as_json: AsJson = False) -> None:
    """Print the recent entries of the audit trail, newest first."""
    accepted = asyncio.run(operators.read(platform.Platform(url)))
    recent = () if accepted.head is None else accepted.head.recent
    lines = [
        f'{change.generation:6d}  {change.when}  {change.who} ({change.team})  '
        f'{", ".join(sorted(change.sections))}  {change.note}  {change.change_id}'
        for change in reversed(recent)
    ]
    _print(recent, as_json, '\n'.join(lines) or 'no change yet')


@app.command()
def status(
    admin: typing.Annotated[
        list[str],
        typer.Argument(help='Admin addresses of entries and agents.'),
    ],
    *,
    as_json: AsJson = False,
) -> None:
    """Print which generation each failure domain has in force."""
    found = asyncio.run(operators.generations(admin))
    lines = [
        f'{domain}: '
        + ', '.join(f'{name}={number}' for name, number in sorted(by_name.items()))
        for domain, by_name in sorted(found.items())
    ]
    _print(found, as_json, '\n'.join(lines))


def _print_change(change: document_changes.Change | None, as_json: bool) -> None:
    if change is None:
        _print(None, as_json, 'nothing to change')
        return
    shown = msgspec.structs.asdict(change)
    text = f'accepted as generation {change.generation}, change {change.change_id}'
    _print(shown, as_json, text)
