"""Heartbeats of backend servers, as an agent reads them."""

import enum

from egretjunction import addresses


class Change(enum.Enum):
    """What a heartbeat changed in the known state of the server.

    A stale heartbeat is an older one of the same incarnation. A rejected one is of
    another service or address, or of an incarnation that does not replace the followed
    one. A correcting one shows that an incarnation was followed by mistake, since its
    heartbeats were held up and it had ended.
    """

    NOTHING = 'nothing'
    STALE = 'stale'
    REJECTED = 'rejected'
    CORRECTED = 'corrected'
    CHANGED = 'changed'
    RESTARTED = 'reborn'


class Heartbeat:
    """One heartbeat of a backend server.

    :param name: name of the server; usually changes with each start.
    :param service: service that the server provides.
    :param born: start of this incarnation in milliseconds since the epoch.
    :param sequence: number of this heartbeat, increasing within an incarnation.
    :param slots: number of requests that the server runs concurrently.
    :param address: address at which the server receives packets.
    :param is_draining: whether the server accepts no new flows.
    :param cold_ms: remaining milliseconds of slow operation after the start.
    """

    __slots__ = (
        'address',
        'born',
        'cold_ms',
        'is_draining',
        'name',
        'sequence',
        'service',
        'slots',
    )

    def __init__(
        self,
        name: str,
        service: str,
        born: int,
        sequence: int,
        slots: int,
        *,
        address: addresses.Address | None = None,
        is_draining: bool = False,
        cold_ms: int = 0,
    ) -> None:
        self.name = name
        self.service = service
        self.born = born
        self.sequence = sequence
        self.slots = slots
        self.address = address
        self.is_draining = is_draining
        self.cold_ms = cold_ms
