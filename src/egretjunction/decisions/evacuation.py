"""Evacuation of failure domains: which servers get new flows, and what it leaves.

The document states which domains are evacuated. New flows go to no server in such a
domain, even when no other server is left; open flows stay where they are.
"""

import typing

from egretjunction import errors
from egretjunction import member_records
from egretjunction.decisions import document
from egretjunction.decisions import effects

MAX_NAMES_PER_LINE = 10


def section_name(domain: str) -> str:
    """Return the name of the section that evacuates a failure domain."""
    return f'{document.EVACUATION_PREFIX}{domain}'


def with_evacuation(before: document.Document, domain: str) -> document.Document:
    """Return a document in which a failure domain is evacuated.

    :param before: the document before the change.
    :param domain: name of the failure domain.
    :raises errors.SettingsErrors: when the name is not allowed.
    """
    section = section_name(domain)
    changed = {section: f'[{section}]\n'}
    return document.patched_document(before, changed, f'evacuation of "{domain}"')


def without_evacuation(before: document.Document, domain: str) -> document.Document:
    """Return a document in which a failure domain is not evacuated.

    :param before: the document before the change.
    :param domain: name of the failure domain.
    :raises errors.RefusedError: when it is not evacuated, as after a typing error.
    """
    if domain not in before.evacuated_domains:
        evacuated = ', '.join(sorted(before.evacuated_domains)) or 'none'
        raise errors.RefusedError(
            f'failure domain "{domain}" is not evacuated; evacuated: {evacuated}'
        )
    changed = {section_name(domain): None}
    return document.patched_document(before, changed, f'restore of "{domain}"')


def with_evacuations_of(
    wanted: document.Document, base: document.Document
) -> document.Document:
    """Return a document with the evacuations of another one.

    A file that was written before an evacuation must not end it, and one that was
    written during an evacuation must not start it again.

    :param wanted: the document whose services and teams are kept.
    :param base: the document whose evacuations are kept.
    """
    changed: dict[str, str | None] = {
        section_name(domain): None
        for domain in wanted.evacuated_domains - base.evacuated_domains
    }
    for domain in sorted(base.evacuated_domains):
        section = section_name(domain)
        changed[section] = base.sections[section]
    return document.patched_document(wanted, changed, 'evacuations')


def outside(
    members: list[member_records.Member], evacuated_domains: frozenset[str]
) -> list[member_records.Member]:
    """Return the members that are in no evacuated failure domain."""
    if not evacuated_domains:
        return members
    return [member for member in members if member.domain not in evacuated_domains]


def services_without_server(
    evacuated_domains: frozenset[str],
    domains_by_service: typing.Mapping[str, typing.Iterable[str]],
) -> list[str]:
    """Return the services whose servers are all in evacuated failure domains.

    Services without any known server are not included: the evacuation is not the
    cause.

    :param evacuated_domains: the evacuated failure domains.
    :param domains_by_service: the failure domains of the servers of each service.
    """
    return sorted(
        name
        for name, domains in domains_by_service.items()
        if domains and evacuated_domains.issuperset(domains)
    )


def serving_domains(
    active_document: document.Document,
    agents_of: typing.Callable[[str], typing.Iterable[member_records.Member]],
) -> dict[str, set[str]]:
    """Return the failure domains of the servers of each service that take flows.

    :param active_document: the services and the servers that they admit.
    :param agents_of: returns the agents of a service by its name.
    """
    domains_by_service = {}
    for name, service in active_document.services.items():
        domains_by_service[name] = {
            member.domain
            for member in agents_of(name)
            if member.state is member_records.State.SERVING
            and service.may_serve(member.name)
        }
    return domains_by_service


def shortened(names: typing.Sequence[str]) -> str:
    """Return names as one text, with a count in place of those over the maximum."""
    listed = ', '.join(names[:MAX_NAMES_PER_LINE])
    rest = len(names) - MAX_NAMES_PER_LINE
    return f'{listed} and {rest} more' if rest > 0 else listed


def change_effects(
    before: frozenset[str], after: frozenset[str], generation: int, change_id: str
) -> list[effects.Effect]:
    """Return a log effect for each evacuation that has started or ended.

    :param before: the evacuated domains before a change of the configuration.
    :param after: the evacuated domains after it.
    :param generation: generation of the configuration that made the change.
    :param change_id: id of its last change.
    """
    started, ended = sorted(after - before), sorted(before - after)
    return [
        *(
            effects.Log(
                'evacuation_started',
                domain=domain,
                generation=generation,
                change_id=change_id,
            )
            for domain in started
        ),
        *(
            effects.Log(
                'evacuation_ended',
                domain=domain,
                generation=generation,
                change_id=change_id,
            )
            for domain in ended
        ),
    ]


def remainder_effects(
    before: frozenset[str],
    active_document: document.Document,
    agents_of: typing.Callable[[str], typing.Iterable[member_records.Member]],
) -> list[effects.Effect]:
    """Return a log effect when a new evacuation leaves services without a server.

    :param before: the evacuated domains before the change of the configuration.
    :param active_document: the configuration in force.
    :param agents_of: returns the agents of a service by its name.
    """
    if not active_document.evacuated_domains - before:
        return []
    domains_by_service = serving_domains(active_document, agents_of)
    services = services_without_server(
        active_document.evacuated_domains, domains_by_service
    )
    if not services:
        return []
    return [
        effects.Log(
            'evacuation_leaves_no_server',
            services=shortened(services),
            callers_get='refusal of new connections (CONNECTION_REFUSED)',
        ),
    ]
