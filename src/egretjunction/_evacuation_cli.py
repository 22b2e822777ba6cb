"""The commands that evacuate and restore failure domains, and the status."""

import asyncio
import sys
import typing

import typer

from egretjunction import _config_options as options
from egretjunction import errors
from egretjunction import evacuations
from egretjunction import logs
from egretjunction import platform
from egretjunction.decisions import evacuation

# Key of the JSON status that no failure domain can have as its name.
EVACUATED_KEY = '@evacuated'

Domain = typing.Annotated[
    str, typer.Argument(help='Failure domain, as in the settings of the processes.')
]
Admin = typing.Annotated[
    str | None,
    typer.Option(
        help='Admin address of an entry; adds what the evacuation means for callers.'
    ),
]


def evacuate(
    domain: Domain,
    url: options.Url,
    who: options.Who,
    team: options.Team,
    key_file: options.KeyFile,
    note: options.Note = '',
    admin: Admin = None,
    *,
    as_json: options.AsJson = False,
) -> None:
    """Place no new flows on backend servers of a failure domain.

    Open flows stay where they are. Only the team ``operators`` may evacuate. The
    command warns of services without a server and carries the change out all the same.
    Exit codes: 0 accepted, 1 refused, 2 not a name, 3 outcome unknown.
    """
    logs.configure('config')
    service = platform.Platform(url)
    author = options.read_author(who, team, key_file, note or f'evacuate {domain}')
    edit = evacuation.with_evacuation
    change = asyncio.run(evacuations.change(service, domain, edit, author))
    options.print_change(change, as_json)
    if admin is not None:
        for line in asyncio.run(_consequences(service, admin)):
            sys.stderr.write(f'warning: {line}\n')


def restore(
    domain: Domain,
    url: options.Url,
    who: options.Who,
    team: options.Team,
    key_file: options.KeyFile,
    note: options.Note = '',
    *,
    as_json: options.AsJson = False,
) -> None:
    """Place new flows on backend servers of an evacuated failure domain again.

    Exit codes: 0 accepted, 1 refused or not evacuated, 3 outcome unknown.
    """
    logs.configure('config')
    service = platform.Platform(url)
    author = options.read_author(who, team, key_file, note or f'restore {domain}')
    edit = evacuation.without_evacuation
    change = asyncio.run(evacuations.change(service, domain, edit, author))
    options.print_change(change, as_json)


def status(
    admin: typing.Annotated[
        list[str],
        typer.Argument(help='Admin addresses of entries and agents, as ip:port.'),
    ],
    *,
    as_json: options.AsJson = False,
) -> None:
    """Print the generation in force on each process, and the evacuations."""
    statuses = asyncio.run(evacuations.statuses(admin))
    processes_by_domain = evacuations.evacuated_at(statuses)
    payload: dict[str, dict] = {}
    for process in statuses:
        payload.setdefault(process.domain, {})[process.name] = process.generation
    lines = [
        f'{domain}: {_joined(generation_by_name)}'
        for domain, generation_by_name in sorted(payload.items())
    ]
    for domain, names in processes_by_domain.items():
        lines.append(
            f'{domain} is evacuated at {len(names)} of {len(statuses)} processes'
        )
    if processes_by_domain:
        payload[EVACUATED_KEY] = processes_by_domain
    options.print_value(payload, as_json, '\n'.join(lines))


def _joined(generation_by_name: dict[str, int]) -> str:
    return ', '.join(
        f'{name}={generation}'
        for name, generation in sorted(generation_by_name.items())
    )


async def _consequences(service: platform.Platform, admin: str) -> list[str]:
    """Return the consequences; a failure to find them out is one of the lines."""
    try:
        domains_by_service = await evacuations.serving_domains(admin)
        evacuated = await evacuations.evacuated_domains(service)
    except errors.EgretjunctionError as error:
        return [f'what callers get is not known: {error}']
    return evacuations.consequences(evacuated, domains_by_service)
