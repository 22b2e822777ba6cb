"""Settings of the daemons that relay opaque flows."""

import types

import msgspec

from egretjunction import _ini
from egretjunction import addresses

UNLIMITED_MBPS = 10_000.0  # more than one process fills


class RelayEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``[relay-entry]``.

    :param name: unique name of this entry.
    :param domain: its failure domain.
    :param clients: UDP address that clients' packets arrive at.
    :param agents: UDP address for messages of agents.
    :param ready: HTTP address of the routers' readiness check.
    :param metrics: HTTP address of metrics and status.
    :param platform: HTTP address of the platform's key-value service.
    :param link_mbps: megabits a second that the machine's link carries.
    """

    name: str
    domain: str
    clients: addresses.Address
    agents: addresses.Address
    ready: addresses.Address
    metrics: addresses.Address
    platform: addresses.Address
    link_mbps: float = UNLIMITED_MBPS

    @property
    def client_port(self) -> int:
        """Return the port at which clients receive packets: the entries' own."""
        return self.clients.port


class RelayAgent(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``[relay-agent]``.

    :param name: unique name of this agent.
    :param domain: its failure domain.
    :param service: the service that its backend server serves.
    :param entries: UDP address for messages of entries.
    :param outbound: UDP address that the backend server sends its packets to.
    :param backend: UDP address of the backend server.
    :param ready: HTTP address of the platform's readiness check.
    :param announcements: HTTP address that the backend server announces itself at.
    :param metrics: HTTP address of metrics and status.
    :param heartbeat_ms: interval of the backend server's heartbeats.
    :param platform: HTTP address of the platform's key-value service.
    """

    name: str
    domain: str
    service: str
    entries: addresses.Address
    outbound: addresses.Address
    backend: addresses.Address
    ready: addresses.Address
    announcements: addresses.Address
    metrics: addresses.Address
    heartbeat_ms: int
    platform: addresses.Address

    @property
    def client_port(self) -> int:
        """Return the port at which clients receive packets: the entries' own."""
        return self.entries.port


SECTION_BY_KIND = types.MappingProxyType(
    {RelayEntry: 'relay-entry', RelayAgent: 'relay-agent'},
)


def read(text: str, source: str, kind: type) -> RelayEntry | RelayAgent:
    """Check the settings of a daemon.

    :param text: an INI document.
    :param source: file name for messages.
    :param kind: ``RelayEntry`` or ``RelayAgent``.
    :raises errors.SettingsErrors: with every error in it.
    :raises errors.SettingsError: when it cannot be read as INI.
    """
    reader = _ini.SectionReader(text, source)
    loaded = reader.read(SECTION_BY_KIND[kind], kind)
    reader.raise_errors()
    return loaded
