"""Evacuates and restores failure domains, and reports where that is in force."""

import typing

import msgspec

from egretjunction import _decoding
from egretjunction import document_changes
from egretjunction import errors
from egretjunction import logs
from egretjunction import operators
from egretjunction import platform
from egretjunction.decisions import document
from egretjunction.decisions import evacuation

Edit = typing.Callable[[document.Document, str], document.Document]


async def evacuated_domains(service: platform.Platform) -> frozenset[str]:
    """Return the failure domains that the accepted document evacuates."""
    return (await operators.read(service)).document.evacuated_domains


async def change(
    service: platform.Platform,
    domain: str,
    edit: Edit,
    author: operators.Author,
) -> document_changes.Change | None:
    """Have an edit of the accepted document's evacuations accepted.

    :param service: the platform.
    :param domain: name of the failure domain.
    :param edit: ``evacuation.with_evacuation`` or ``without_evacuation``.
    :param author: author of the change.
    :return: the accepted change, None when the document had it already.
    :raises errors.RefusedError: when a domain that is not evacuated is restored.
    """
    accepted = await operators.read(service)
    wanted = edit(accepted.document, domain)
    return await operators.apply(service, accepted.document, wanted, author)


def with_evacuations_of(
    wanted: document.Document, base: document.Document
) -> document.Document:
    """Return a document with the evacuations of another one, and log a difference."""
    ignored = sorted(wanted.evacuated_domains - base.evacuated_domains)
    if ignored:
        logs.get().warning('evacuations_in_file_ignored', domains=', '.join(ignored))
    return evacuation.with_evacuations_of(wanted, base)


class ProcessStatus(msgspec.Struct):
    """Part of a daemon's status.

    :param domains_evacuated: evacuated failure domains in its configuration; empty at
        a process of a version without evacuations.
    """

    name: str
    domain: str
    generation: int
    domains_evacuated: tuple[str, ...] = ()


class _Agent(msgspec.Struct):
    state: str
    domain: str = ''


class _EntryStatus(msgspec.Struct):
    agents: dict[str, dict[str, _Agent]]


async def statuses(admins: typing.Iterable[str]) -> list[ProcessStatus]:
    """Return the status of each process.

    :param admins: admin addresses of entries and agents.
    :raises errors.UnreachableError: when one of them does not respond.
    """
    return [
        _decoding.decode_json(await operators.status_of(admin), ProcessStatus)
        for admin in admins
    ]


async def serving_domains(admin: str) -> dict[str, set[str]]:
    """Return the failure domains of the serving agents of each service.

    :param admin: admin address of an entry, which knows the agents.
    :raises errors.UnreachableError: when it does not respond, or is no entry.
    """
    body = await operators.status_of(admin)
    try:
        status = _decoding.decode_json(body, _EntryStatus)
    except msgspec.DecodeError as error:
        raise errors.UnreachableError(f'{admin} is no entry: {error}') from error
    return {
        service: {
            agent.domain
            for agent in agent_by_name.values()
            if agent.state == 'serving' and agent.domain
        }
        for service, agent_by_name in status.agents.items()
    }


def consequences(
    evacuated: frozenset[str],
    domains_by_service: typing.Mapping[str, set[str]],
) -> list[str]:
    """Return what callers and operators have to expect of the evacuations.

    :param evacuated: the evacuated failure domains.
    :param domains_by_service: failure domains of the serving agents of each service.
    """
    lines = []
    known_domains = set().union(*domains_by_service.values())
    unknown = sorted(evacuated - known_domains)
    if unknown:
        names = ', '.join(unknown)
        lines.append(f'no serving agent is in failure domain {names}')
    services = evacuation.services_without_server(evacuated, domains_by_service)
    if known_domains and evacuated.issuperset(known_domains):
        lines.append('all failure domains that have serving agents are evacuated')
    if services:
        names = evacuation.shortened(services)
        lines.append(
            f'no server is left for {names}: new connections of callers are refused '
            '(CONNECTION_REFUSED, nothing has run); open connections continue'
        )
    return lines


def evacuated_at(
    process_statuses: typing.Iterable[ProcessStatus],
) -> dict[str, list[str]]:
    """Return the processes at which each evacuation is in force, by failure domain."""
    names_by_domain: dict[str, list[str]] = {}
    for status in process_statuses:
        for domain in status.domains_evacuated:
            names_by_domain.setdefault(domain, []).append(status.name)
    return {name: sorted(names_by_domain[name]) for name in sorted(names_by_domain)}
