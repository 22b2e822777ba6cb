"""What the key-value service holds of the system's own processes."""

import msgspec

from egretjunction import addresses
from egretjunction import store
from egretjunction.decisions import relay_members

PREFIX = 'egretjunction/'
AGENTS = 'egretjunction/agents/'
ENTRIES = 'egretjunction/entries/'


class _Agent(msgspec.Struct):
    service: str
    domain: str
    address: str


class _Entry(msgspec.Struct):
    domain: str
    address: str
    figures: str = ''


class Peer(msgspec.Struct, frozen=True):
    """An entry as the service lists it.

    :param address: its address for messages of agents.
    :param figures: its HTTP address of metrics, status and configuration.
    """

    name: str
    address: addresses.Address
    figures: addresses.Address | None


def agent_item(
    name: str, service: str, domain: str, address: addresses.Address
) -> tuple[str, bytes]:
    """Return key and value of an agent."""
    listed = _Agent(service, domain, str(address))
    return AGENTS + name, msgspec.json.encode(listed)


def entry_item(
    name: str,
    domain: str,
    address: addresses.Address,
    figures: addresses.Address,
) -> tuple[str, bytes]:
    """Return key and value of an entry."""
    listed = _Entry(domain, str(address), str(figures))
    return ENTRIES + name, msgspec.json.encode(listed)


def read_agent(item: store.Item) -> relay_members.Member | None:
    """Return the member that an item lists, None when it lists none."""
    if not item.key.startswith(AGENTS):
        return None
    try:
        listed = msgspec.json.decode(item.data, type=_Agent)
        address = addresses.parse(listed.address)
    except (msgspec.DecodeError, ValueError):
        return None
    name = item.key.removeprefix(AGENTS)
    return relay_members.Member(
        name, listed.service, listed.domain, address, item.revision
    )


def read_entry(item: store.Item) -> Peer | None:
    """Return the entry that an item lists, None when it lists none."""
    if not item.key.startswith(ENTRIES):
        return None
    try:
        listed = msgspec.json.decode(item.data, type=_Entry)
        address = addresses.parse(listed.address)
        figures = addresses.parse(listed.figures) if listed.figures else None
    except (msgspec.DecodeError, ValueError):
        return None
    return Peer(item.key.removeprefix(ENTRIES), address, figures)
