"""What a platform's adapter gives to the daemons that relay."""

import typing

import msgspec

from egretjunction import store
from egretjunction.decisions import relay_routes
from egretjunction.decisions import relay_server
from egretjunction.relay import packets


class Leave(msgspec.Struct, frozen=True):
    """A backend server says that it ends."""

    name: str


Announcement = relay_server.Heartbeat | Leave


class Adapter(msgspec.Struct, frozen=True):
    """Names, formats and calls of one platform.

    :param codec: reads and writes packets.
    :param configuration_key: key of the operators' configuration.
    :param read_routes: decodes its value; raises ``errors.PlatformFormatError``.
    :param readiness_path: where routers ask whether an entry is ready.
    :param read_announcement: decodes a backend server's call, given its method,
        path and body; raises ``errors.PlatformFormatError``.
    """

    codec: packets.Codec
    store: store.Store
    configuration_key: str
    read_routes: typing.Callable[[bytes], relay_routes.RouteTable]
    readiness_path: str
    read_announcement: typing.Callable[[str, str, bytes], Announcement]
