"""Settings of the relay daemons."""

import types
import typing

import msgspec

from egretjunction import _ini
from egretjunction import addresses

UNLIMITED_MBPS = 10_000.0  # exceeds what one process can send
MAX_SECONDS = 86_400  # larger bounds are typing errors
MAX_MILLISECONDS = MAX_SECONDS * 1_000

Seconds = typing.Annotated[float, msgspec.Meta(gt=0, le=MAX_SECONDS)]
Milliseconds = typing.Annotated[int, msgspec.Meta(gt=0, le=MAX_MILLISECONDS)]
Mbps = typing.Annotated[float, msgspec.Meta(gt=0)]
Factor = typing.Annotated[float, msgspec.Meta(ge=0)]
LEAST_LOADED = 'least-loaded'
EARLIEST_FINISH = 'earliest-finish'
Placement = typing.Literal['least-loaded', 'earliest-finish']


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
    :param placement: how new flows are placed: by the number of active requests, or
        by when each server is expected to finish.
    :param grace_seconds: time between SIGTERM and SIGKILL.
    :param max_flow_seconds: age from which a flow may be dropped.
    :param configuration_ms: time within which an accepted configuration must be in
        force, in milliseconds.
    """

    name: str
    domain: str
    clients: addresses.Address
    agents: addresses.Address
    ready: addresses.Address
    metrics: addresses.Address
    platform: addresses.Address
    grace_seconds: Seconds
    max_flow_seconds: Seconds
    configuration_ms: Milliseconds
    link_mbps: Mbps = UNLIMITED_MBPS
    placement: Placement = LEAST_LOADED

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
    :param grace_seconds: time between SIGTERM and SIGKILL.
    :param max_flow_seconds: age from which a flow may be dropped.
    :param cold_over: multiple of the operators' figure by which first packets to a
        cold server may exceed it in a second; without it they are not limited.
    :param cold_slack: first packets in a second beyond that multiple.
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
    heartbeat_ms: Milliseconds
    platform: addresses.Address
    grace_seconds: Seconds
    max_flow_seconds: Seconds
    cold_over: Factor | None = None
    cold_slack: Factor | None = None

    @property
    def client_port(self) -> int:
        """Return the port at which clients receive packets: the entries' port."""
        return self.entries.port


SECTION_BY_CLASS = types.MappingProxyType(
    {RelayEntry: 'relay-entry', RelayAgent: 'relay-agent'},
)


RELOADABLE = frozenset(('grace_seconds',))


class Reload(msgspec.Struct, frozen=True):
    """What a daemon does with newly read settings.

    :param settings: the settings in force, with the changes that need no restart.
    :param applied: keys whose change is in force.
    :param postponed: keys whose change takes a restart of the process.
    """

    settings: RelayEntry | RelayAgent
    applied: list[str]
    postponed: list[str]


def merge_reloaded(
    current: RelayEntry | RelayAgent, reloaded: RelayEntry | RelayAgent
) -> Reload:
    """Apply the changes that a running daemon can take over."""
    value_by_key = {
        key: getattr(reloaded, key)
        for key in current.__struct_fields__
        if getattr(reloaded, key) != getattr(current, key)
    }
    applied = {key: value_by_key[key] for key in value_by_key if key in RELOADABLE}
    return Reload(
        msgspec.structs.replace(current, **applied),
        sorted(applied),
        sorted(value_by_key.keys() - RELOADABLE),
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
