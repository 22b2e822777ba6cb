"""Builds records and configurations for the tests."""

from egretjunction import addresses
from egretjunction import document_changes
from egretjunction import member_records
from egretjunction.decisions import configuration
from egretjunction.decisions import document

KEY = b'0123456789abcdef'
KEY_DIGEST = 'a' * 64
SERVICE_ADDRESS = addresses.Address('127.0.0.1', 7001)
DOCUMENT = f"""[team booking]
key_sha256 = {KEY_DIGEST}

[service bookings]
team = booking
address = 127.0.0.1:7001
backend_servers = bookings-*
feed_paths = /feed*
large_paths = /photos*
"""


def address(number: int) -> addresses.Address:
    """Return a distinct address for each number."""
    return addresses.Address('127.0.0.1', 20_000 + number)


def member(
    name: str,
    number: int = 1,
    *,
    kind: member_records.Kind = member_records.Kind.AGENT,
    state: member_records.State = member_records.State.SERVING,
    incarnation: int = 1,
    sequence: int = 0,
    fitness: int = 100,
    domain: str = 'domain-1',
    service: str = 'bookings',
) -> member_records.Member:
    """Return a membership record."""
    return member_records.Member(
        name=name,
        kind=kind,
        service='' if kind is member_records.Kind.ENTRY else service,
        domain=domain,
        address=address(number),
        control=address(10_000 + number),
        incarnation=incarnation,
        sequence=sequence,
        state=state,
        fitness=fitness,
    )


def entry(name: str, number: int, domain: str = 'domain-1') -> member_records.Member:
    """Return the record of an entry."""
    return member(name, number, kind=member_records.Kind.ENTRY, domain=domain)


def change(
    generation: int,
    sections: dict[str, str | None] | None = None,
    change_id: str = '',
) -> document_changes.Change:
    """Return a change; by default it adds the service ``bookings``."""
    changed_sections = document.split(DOCUMENT) if sections is None else sections
    return document_changes.Change(
        generation=generation,
        change_id=change_id or f'change-{generation}',
        who='tester',
        team='booking',
        when='2026-01-01T00:00:00.000+00:00',
        note='',
        sections=changed_sections,
    )


def active_configuration() -> configuration.ActiveConfiguration:
    """Return an active configuration with one service, at generation 1."""
    active = configuration.ActiveConfiguration()
    active.apply_changes([change(1)])
    return active
