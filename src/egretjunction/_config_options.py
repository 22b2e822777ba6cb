"""Options and output that the ``config`` commands share."""

import sys
import typing

import msgspec
import typer

from egretjunction import document_changes
from egretjunction import operators
from egretjunction import settings
from egretjunction.decisions import document

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


def print_value(value: object, as_json: bool, text: str) -> None:
    """Print a value as JSON, or the text that describes it."""
    if as_json:
        sys.stdout.write(f'{msgspec.json.encode(value).decode()}\n')
    else:
        sys.stdout.write(f'{text}\n')


def print_change(change: document_changes.Change | None, as_json: bool) -> None:
    """Print an accepted change; None stands for an edit without a difference."""
    if change is None:
        print_value(None, as_json, 'nothing to change')
        return
    payload = msgspec.structs.asdict(change)
    text = f'accepted as generation {change.generation}, change {change.change_id}'
    print_value(payload, as_json, text)


def read_author(who: str, team: str, key_file: str, note: str) -> operators.Author:
    """Return the author of a change, with the digest of the team's key."""
    key = settings.read_text(key_file).strip()
    return operators.Author(who, team, document.digest(key), note)
