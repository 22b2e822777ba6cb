"""How much a backend server has to do, counted from the packets of its flows."""

from egretjunction.relay import packets

RESERVED_SECONDS = 0.06  # the request of a new flow follows its handshake at once
BUSY_SECONDS = 1.0  # without news of a request it is taken as done; deadlines are 1 s
QUEUE_SHARE = 0.5  # of the slots; hides the way between an answer and the next offer


class Work:
    """Requests at work at one backend server, and flows that will bring one."""

    __slots__ = ('_busy_at_by_key', '_data_end_by_key', '_reserved_at_by_key')

    def __init__(self) -> None:
        self._reserved_at_by_key: dict[bytes, float] = {}
        self._busy_at_by_key: dict[bytes, float] = {}
        self._data_end_by_key: dict[bytes, int] = {}

    @property
    def active_requests(self) -> int:
        """Return how many requests are at work."""
        return len(self._busy_at_by_key)

    def reserve(self, key: bytes, now: float) -> None:
        """Expect the first request of a flow."""
        self._reserved_at_by_key.pop(key, None)
        self._reserved_at_by_key[key] = now

    def record_sent(self, packet: packets.Packet, now: float) -> None:
        """Count a client's packet that the server is given.

        Only data that no earlier packet has carried makes a request; a copy of an
        answered request is acknowledged and brings no new answer.
        """
        if not packet.data_bytes:
            return
        end = (packet.sequence + packet.data_bytes) % packets.SEQUENCE_RANGE
        seen = self._data_end_by_key.get(packet.key)
        if (
            seen is not None
            and (seen - end) % packets.SEQUENCE_RANGE < packets.SEQUENCE_RANGE // 2
        ):
            return
        self._data_end_by_key[packet.key] = end
        self._reserved_at_by_key.pop(packet.key, None)
        self._busy_at_by_key.pop(packet.key, None)
        self._busy_at_by_key[packet.key] = now

    def record_answer(self, key: bytes) -> None:
        """Take a flow's request as done."""
        self._busy_at_by_key.pop(key, None)

    def forget(self, key: bytes) -> None:
        """Forget a flow."""
        self._busy_at_by_key.pop(key, None)
        self._reserved_at_by_key.pop(key, None)
        self._data_end_by_key.pop(key, None)

    def clear(self) -> None:
        """Forget all flows."""
        self._busy_at_by_key.clear()
        self._reserved_at_by_key.clear()
        self._data_end_by_key.clear()

    def amount(self, now: float) -> int:
        """Return the requests at work and those that are expected."""
        _expire(self._reserved_at_by_key, now - RESERVED_SECONDS)
        _expire(self._busy_at_by_key, now - BUSY_SECONDS)
        return len(self._busy_at_by_key) + len(self._reserved_at_by_key)

    def has_room(self, slots: int, now: float, *, is_final: bool) -> bool:
        """Tell whether one more flow may be taken.

        :param slots: requests that the server runs at once.
        :param is_final: whether all servers are full, so that a short queue is
            better than an idle slot.
        """
        limit = slots * (1 + QUEUE_SHARE) if is_final else slots
        return self.amount(now) < limit


def _expire(at_by_key: dict[bytes, float], until: float) -> None:
    """Remove the keys of a mapping, oldest first, whose time has passed."""
    for key, at in list(at_by_key.items()):
        if at > until:
            return
        at_by_key.pop(key)
