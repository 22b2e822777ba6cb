"""Interface between a platform's adapter and the relay daemons."""

import typing

import msgspec

from egretjunction import store
from egretjunction.decisions import relay_heartbeats
from egretjunction.decisions import relay_routes
from egretjunction.relay import packets


class Leave(msgspec.Struct, frozen=True):
    """Notice that a backend server shuts down."""

    name: str


Announcement = relay_heartbeats.Heartbeat | Leave
ReadEvacuation = typing.Callable[[str, bytes | None], str]


class Adapter(msgspec.Struct, frozen=True):
    """Names, formats and calls of one platform.

    :param codec: decodes and encodes packets.
    :param store: client of the key-value service.
    :param configuration_key: key of the operators' configuration.
    :param read_routes: decodes the value of that key; raises
        ``errors.PlatformFormatError``.
    :param operator_prefix: prefix of all keys that the operators write.
    :param read_evacuation: returns the failure domain that a key with a value, or None
        if it was deleted, evacuates, or an empty string for other keys; raises
        ``errors.PlatformFormatError``.
    :param readiness_path: path of the readiness check.
    :param read_announcement: decodes a backend server's call from its method, path
        and body; raises ``errors.PlatformFormatError``.
    """

    codec: packets.Codec
    store: store.Store
    configuration_key: str
    read_routes: typing.Callable[[bytes], relay_routes.RouteTable]
    operator_prefix: str
    read_evacuation: ReadEvacuation
    readiness_path: str
    read_announcement: typing.Callable[[str, str, bytes], Announcement]
