"""Settings of the relay daemons."""

import types

import msgspec

from egretjunction import _ini
from egretjunction import addresses

UNLIMITED_MBPS = 10_000.0  # exceeds what one process can send


class RelayEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``[relay-entry]``.

    :param name: unique name of this entry.
    :param domain: its failure domain.
    :param clients: UDP address for packets of clients.
    :param agents: UDP address for messages of agents.
    :param ready: HTTP address for the routers' readiness check.
    :param metrics: HTTP address for metrics and status.
    :param platform: HTTP address of the platform's key-value service.
    :param link_mbps: bandwidth of the machine's link in megabits per second.
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
        """Return the port at which clients receive packets: the entries' port."""
        return self.clients.port


class RelayAgent(msgspec.Struct, frozen=True, kw_only=True):
    """Section ``[relay-agent]``.

    :param name: unique name of this agent.
    :param domain: its failure domain.
    :param service: service of its backend server.
    :param entries: UDP address for messages of entries.
    :param outbound: UDP address for packets that the backend server sends.
    :param backend: UDP address of the backend server.
    :param ready: HTTP address for the platform's readiness check.
    :param announcements: HTTP address for the backend server's heartbeats and leave
        calls.
    :param metrics: HTTP address for metrics and status.
    :param heartbeat_ms: interval of the backend server's heartbeats in milliseconds.
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
        """Return the port at which clients receive packets: the entries' port."""
        return self.entries.port


SECTION_BY_CLASS = types.MappingProxyType(
    {RelayEntry: 'relay-entry', RelayAgent: 'relay-agent'},
)


def read(text: str, source: str, settings_class: type) -> RelayEntry | RelayAgent:
    """Parse and validate the settings of a daemon.

    :param text: an INI document.
    :param source: file name for error messages.
    :param settings_class: ``RelayEntry`` or ``RelayAgent``.
    :raises errors.SettingsErrors: with every error in the document.
    :raises errors.SettingsError: when the document is not valid INI.
    """
    reader = _ini.SectionReader(text, source)
    loaded = reader.read(SECTION_BY_CLASS[settings_class], settings_class)
    reader.raise_errors()
    return loaded
