"""Load of a backend server, derived from the packets of its flows.

A request counts as load from its first data until the last packet of its answer. An
answer of several packets, such as a download, keeps its slot until it has been sent.
A request without an answer counts until the deadline of its route.
"""

import heapq

from egretjunction.decisions.load import backlog
from egretjunction.relay import packets
from egretjunction.wire import relaying

QUEUE_SHARE = 0.5  # of the slots; covers the delay between an answer and an offer
FIRST_RESERVATION_SECONDS = 0.06  # until the first handshake has been measured
MAX_RESERVATION_SECONDS = 0.5
HANDSHAKE_GAIN = 0.125  # weight of the newest handshake in the smoothed duration
RESERVED_HANDSHAKES = 4.0  # smoothed durations until a flow without a request is idle


class HandshakeTimer:
    """Smoothed time between a server's acceptance and the client's first request."""

    __slots__ = ('_smoothed_seconds',)

    def __init__(self) -> None:
        self._smoothed_seconds: float | None = None

    def record(self, seconds: float) -> None:
        """Record the duration of one handshake."""
        previous = seconds if self._smoothed_seconds is None else self._smoothed_seconds
        self._smoothed_seconds = previous + HANDSHAKE_GAIN * (seconds - previous)

    @property
    def reservation_seconds(self) -> float:
        """Return how long a slot is reserved for the first request of a flow."""
        if self._smoothed_seconds is None:
            return FIRST_RESERVATION_SECONDS
        seconds = max(
            FIRST_RESERVATION_SECONDS, self._smoothed_seconds * RESERVED_HANDSHAKES
        )
        return min(MAX_RESERVATION_SECONDS, seconds)


class RequestTracker:
    """Active requests of one backend server, and flows whose request is expected.

    :param segment_bytes: data bytes of a packet that is followed by more of the same
        answer.
    :param unknown_timeout_seconds: deadline of a request whose route is not known,
        until one of another request is.
    :param server_backlog: estimates the remaining work of these requests.
    """

    __slots__ = (
        '_backlog',
        '_data_end_by_key',
        '_expiry_by_key',
        '_expiry_queue',
        '_handshakes',
        '_longest_timeout',
        '_reserved_since_by_key',
        '_segment_bytes',
        '_timeout_by_key',
        '_unknown_timeout',
    )

    def __init__(
        self,
        segment_bytes: int,
        unknown_timeout_seconds: float,
        server_backlog: backlog.Backlog,
    ) -> None:
        self._backlog = server_backlog
        self._segment_bytes = segment_bytes
        self._unknown_timeout = unknown_timeout_seconds
        self._longest_timeout = float(0)
        self._handshakes = HandshakeTimer()
        self._timeout_by_key: dict[bytes, float] = {}
        self._reserved_since_by_key: dict[bytes, float] = {}
        self._expiry_by_key: dict[bytes, float] = {}
        self._expiry_queue: list[tuple[float, bytes]] = []
        self._data_end_by_key: dict[bytes, int] = {}

    def active_requests(self, now: float) -> int:
        """Return the number of active requests."""
        self._expire(now)
        return len(self._expiry_by_key)

    def reserve(self, key: bytes, timeout_seconds: float, now: float) -> None:
        """Reserve a slot for the first request of a flow.

        :param key: the flow's key.
        :param timeout_seconds: request timeout of the flow's route, 0 if unknown.
        :param now: the time in seconds.
        """
        self._reserved_since_by_key.pop(key, None)
        self._reserved_since_by_key[key] = now
        if timeout_seconds > 0:
            self._timeout_by_key[key] = timeout_seconds
            self._longest_timeout = max(self._longest_timeout, timeout_seconds)

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
        reserved_since = self._reserved_since_by_key.pop(packet.key, None)
        if reserved_since is not None:
            self._handshakes.record(now - reserved_since)
        expires_at = now + self._timeout_of(packet.key)
        self._expiry_by_key[packet.key] = expires_at
        heapq.heappush(self._expiry_queue, (expires_at, packet.key))
        self._backlog.start(packet.key, now)

    def record_answer(self, packet: packets.Packet, now: float) -> None:
        """Record a server packet; a request ends with the last packet of its answer.

        A packet with less data than fits into one is the last of an answer.
        """
        if 0 < packet.data_bytes < self._segment_bytes:
            self._expiry_by_key.pop(packet.key, None)
            self._backlog.complete(packet.key, now)

    def finish(self, key: bytes, now: float) -> None:
        """Mark the request of a flow as finished, with or without an answer."""
        self._expiry_by_key.pop(key, None)
        self._backlog.abandon(key, now)

    def remove(self, key: bytes) -> None:
        """Remove the records of a flow."""
        self._expiry_by_key.pop(key, None)
        self._backlog.remove(key)
        self._reserved_since_by_key.pop(key, None)
        self._data_end_by_key.pop(key, None)
        self._timeout_by_key.pop(key, None)

    def forget_outcomes(self) -> None:
        """Forget how requests have ended, because the server has."""
        self._backlog.forget_outcomes()

    def wait_ms(self, now: float) -> int:
        """Return the expected time until a new request starts, or ``NO_ESTIMATE``."""
        seconds = self._backlog.wait_seconds(self._reserved_since_by_key, now)
        if seconds is None:
            return relaying.NO_ESTIMATE
        return round(seconds * backlog.MILLISECONDS_PER_SECOND)

    def load(self, now: float) -> int:
        """Return the number of active and expected requests."""
        self._expire(now)
        return len(self._expiry_by_key) + len(self._reserved_since_by_key)

    def has_capacity(self, slots: int, now: float, *, is_final: bool) -> bool:
        """Tell whether one more flow may be accepted.

        :param slots: number of requests that the server runs concurrently.
        :param is_final: whether all servers are full. Then a short queue is allowed,
            so that no slot is idle until the next offer arrives.
        """
        limit = slots * (1 + QUEUE_SHARE) if is_final else slots
        return self.load(now) < limit

    def _timeout_of(self, key: bytes) -> float:
        known_timeout = self._longest_timeout or self._unknown_timeout
        return self._timeout_by_key.get(key, known_timeout)

    def _expire(self, now: float) -> None:
        """Remove expired reservations and requests."""
        cutoff = now - self._handshakes.reservation_seconds
        for key, reserved_since in list(self._reserved_since_by_key.items()):
            if reserved_since > cutoff:
                break  # keys are in order of time
            self._reserved_since_by_key.pop(key)
        while self._expiry_queue and self._expiry_queue[0][0] <= now:
            expires_at, expired_key = heapq.heappop(self._expiry_queue)
            if self._expiry_by_key.get(expired_key) == expires_at:
                self._expiry_by_key.pop(expired_key)
                self._backlog.expire(expired_key, now)
