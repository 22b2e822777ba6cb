"""Load of a backend server, derived from the packets of its flows."""

from egretjunction.relay import packets

RESERVATION_SECONDS = 0.06  # a new flow sends its request right after the handshake
MAX_REQUEST_SECONDS = 1.0  # deadlines are 1 s; an unanswered request then ends
QUEUE_SHARE = 0.5  # of the slots; covers the delay between an answer and an offer


class RequestTracker:
    """Active requests of one backend server, and flows whose request is expected."""

    __slots__ = ('_active_since_by_key', '_data_end_by_key', '_reserved_since_by_key')

    def __init__(self) -> None:
        self._reserved_since_by_key: dict[bytes, float] = {}
        self._active_since_by_key: dict[bytes, float] = {}
        self._data_end_by_key: dict[bytes, int] = {}

    @property
    def active_requests(self) -> int:
        """Return the number of active requests."""
        return len(self._active_since_by_key)

    def reserve(self, key: bytes, now: float) -> None:
        """Reserve a slot for the first request of a flow."""
        self._reserved_since_by_key.pop(key, None)
        self._reserved_since_by_key[key] = now

    def record_sent(self, packet: packets.Packet, now: float) -> None:
        """Count the request in a client packet that is sent to the server.

        Only new data starts a request: the server acknowledges retransmitted data of
        an answered request without answering it again.
        """
        if not packet.data_bytes:
            return
        data_end = (packet.sequence + packet.data_bytes) % packets.SEQUENCE_RANGE
        known_end = self._data_end_by_key.get(packet.key)
        if (
            known_end is not None
            and (known_end - data_end) % packets.SEQUENCE_RANGE
            < packets.SEQUENCE_RANGE // 2
        ):
            return
        self._data_end_by_key[packet.key] = data_end
        self._reserved_since_by_key.pop(packet.key, None)
        self._active_since_by_key.pop(packet.key, None)
        self._active_since_by_key[packet.key] = now

    def record_answer(self, key: bytes) -> None:
        """Mark the request of a flow as finished."""
        self._active_since_by_key.pop(key, None)

    def remove(self, key: bytes) -> None:
        """Remove the records of a flow."""
        self._active_since_by_key.pop(key, None)
        self._reserved_since_by_key.pop(key, None)
        self._data_end_by_key.pop(key, None)

    def clear(self) -> None:
        """Remove the records of all flows."""
        self._active_since_by_key.clear()
        self._reserved_since_by_key.clear()
        self._data_end_by_key.clear()

    def load(self, now: float) -> int:
        """Return the number of active and expected requests."""
        _expire(self._reserved_since_by_key, now - RESERVATION_SECONDS)
        _expire(self._active_since_by_key, now - MAX_REQUEST_SECONDS)
        return len(self._active_since_by_key) + len(self._reserved_since_by_key)

    def has_capacity(self, slots: int, now: float, *, is_final: bool) -> bool:
        """Tell whether one more flow may be accepted.

        :param slots: number of requests that the server runs concurrently.
        :param is_final: whether all servers are full. Then a short queue is allowed,
            so that no slot is idle until the next offer arrives.
        """
        limit = slots * (1 + QUEUE_SHARE) if is_final else slots
        return self.load(now) < limit


def _expire(time_by_key: dict[bytes, float], cutoff: float) -> None:
    """Remove the keys recorded at or before a cutoff; keys are in order of time."""
    for flow_key, recorded_at in list(time_by_key.items()):
        if recorded_at > cutoff:
            return
        time_by_key.pop(flow_key)
