"""Listings of entries and agents: their keys and values in the key-value service."""

import msgspec

from egretjunction import _decoding
from egretjunction import addresses
from egretjunction import store
from egretjunction.decisions import relay_members

PREFIX = 'egretjunction/'
AGENTS_PREFIX = 'egretjunction/agents/'
ENTRIES_PREFIX = 'egretjunction/entries/'
# Holds the era in which all processes have had time to list themselves.
ERA_KEY = 'egretjunction/era'


class _AgentListing(msgspec.Struct, omit_defaults=True):
    service: str
    domain: str
    address: str
    stopped: _decoding.Natural = 0
    server_born: _decoding.Natural = 0


class _EntryListing(msgspec.Struct):
    domain: str
    address: str
    figures: str = ''


class Peer(msgspec.Struct, frozen=True):
    """An entry that the key-value service lists.

    :param domain: its failure domain.
    :param address: its UDP address for messages of agents.
    :param metrics_address: its HTTP address for metrics, status and configuration,
        None when it has none.
    """

    name: str
    domain: str
    address: addresses.Address
    metrics_address: addresses.Address | None


def agent_item(
    name: str,
    service: str,
    domain: str,
    address: addresses.Address,
    stopped_process: int = 0,
    server_born: int = 0,
) -> tuple[str, bytes]:
    """Return the key and the value that list an agent.

    :param stopped_process: number of the agent's process that ends while its backend
        server goes on, 0 while the agent runs.
    :param server_born: start time of the incarnation of its server that the agent
        follows, 0 before it follows any.
    """
    listing = _AgentListing(service, domain, str(address), stopped_process, server_born)
    return AGENTS_PREFIX + name, msgspec.json.encode(listing)


def entry_item(
    name: str,
    domain: str,
    address: addresses.Address,
    metrics_address: addresses.Address,
) -> tuple[str, bytes]:
    """Return the key and the value that list an entry."""
    listing = _EntryListing(domain, str(address), str(metrics_address))
    return ENTRIES_PREFIX + name, msgspec.json.encode(listing)


def era_item(era: int) -> tuple[str, bytes]:
    """Return the key and the value that mark an era as settled."""
    return ERA_KEY, str(era).encode()


def marks_era(item: store.Item, era: int) -> bool:
    """Tell whether an item marks an era as settled."""
    return (item.key, item.data) == era_item(era)


def is_era_marked(listing: store.Listing) -> bool:
    """Tell whether a listing marks its own era as settled."""
    return any(marks_era(item, listing.era) for item in listing.items)


def read_agent(item: store.Item) -> relay_members.Member | None:
    """Return the agent that an item lists, None when it lists no agent."""
    if not item.key.startswith(AGENTS_PREFIX):
        return None
    try:
        listing = _decoding.decode_json(item.data, _AgentListing)
        address = addresses.parse(listing.address)
    except (msgspec.DecodeError, ValueError):
        return None
    name = item.key.removeprefix(AGENTS_PREFIX)
    return relay_members.Member(
        name, listing.service, listing.domain, address, listing.stopped
    )


def read_server_born(listed: bytes) -> int:
    """Return the start time of the server that a listed agent follows, 0 if none.

    :param listed: value of the agent's item, empty if there is none.
    """
    try:
        return _decoding.decode_json(listed, _AgentListing).server_born
    except msgspec.DecodeError:
        return 0


def read_entry(item: store.Item) -> Peer | None:
    """Return the entry that an item lists, None when it lists no entry."""
    if not item.key.startswith(ENTRIES_PREFIX):
        return None
    try:
        listing = _decoding.decode_json(item.data, _EntryListing)
        address = addresses.parse(listing.address)
        figures = addresses.parse(listing.figures) if listing.figures else None
    except (msgspec.DecodeError, ValueError):
        return None
    name = item.key.removeprefix(ENTRIES_PREFIX)
    return Peer(name, listing.domain, address, figures)
