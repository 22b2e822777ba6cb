"""What the key-value service holds of the system's own processes."""

import msgspec

from egretjunction import addresses
from egretjunction.decisions import relay_members
from egretjunction.relay import store

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


def agent_item(
    name: str, service: str, domain: str, address: addresses.Address
) -> tuple[str, bytes]:
    """Return key and value of an agent."""
    listed = _Agent(service, domain, str(address))
    return AGENTS + name, msgspec.json.encode(listed)


def entry_item(name: str, domain: str, address: addresses.Address) -> tuple[str, bytes]:
    """Return key and value of an entry."""
    return ENTRIES + name, msgspec.json.encode(_Entry(domain, str(address)))


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


def read_entry(item: store.Item) -> addresses.Address | None:
    """Return the address of the entry that an item lists, None when it lists none."""
    if not item.key.startswith(ENTRIES):
        return None
    try:
        listed = msgspec.json.decode(item.data, type=_Entry)
        return addresses.parse(listed.address)
    except (msgspec.DecodeError, ValueError):
        return None
