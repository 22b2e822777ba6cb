"""What an agent believes of the backend server beside it."""

import enum
import math

from egretjunction.wire import relaying

ANSWER_SECONDS = 0.15  # a server accepts or bounces a first packet in a millisecond
SILENT_SECONDS = 1.0  # unanswered this long with heartbeats overdue: not alive
OVERDUE_HEARTBEATS = 2.5  # two lost heartbeats and half of an interval
DEFAULT_SLOTS = 2


class News(enum.Enum):
    """What a heartbeat has changed."""

    NOTHING = 'nothing'
    STALE = 'stale'
    CHANGED = 'changed'
    REBORN = 'reborn'


class Heartbeat:
    """What a backend server says of itself.

    :param name: its name, mostly another one after each start.
    :param born: start of this incarnation in milliseconds since the epoch.
    :param sequence: rises with each heartbeat of an incarnation.
    :param cold_ms: how much longer it is slow after its start.
    """

    __slots__ = (
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
        is_draining: bool = False,
        cold_ms: int = 0,
    ) -> None:
        self.name = name
        self.service = service
        self.born = born
        self.sequence = sequence
        self.slots = slots
        self.is_draining = is_draining
        self.cold_ms = cold_ms


class Server:
    """State of the backend server, from heartbeats and from its packets.

    :param service: the service that it must serve.
    :param heartbeat_seconds: interval between its heartbeats.
    """

    __slots__ = (
        '_answered_at',
        '_beat_at',
        '_cold_until',
        '_heartbeat_seconds',
        '_latest',
        '_waiting_since',
        'is_gone',
        'is_known_since_birth',
        'service',
    )

    def __init__(self, service: str, heartbeat_seconds: float) -> None:
        self.service = service
        self._heartbeat_seconds = heartbeat_seconds
        self._latest: Heartbeat | None = None
        self._beat_at = -math.inf
        self._answered_at = -math.inf
        self._waiting_since = math.inf
        self._cold_until = -math.inf
        self.is_gone = False
        self.is_known_since_birth = False

    @property
    def name(self) -> str:
        """Return the server's name, empty before its first heartbeat."""
        return self._latest.name if self._latest else ''

    @property
    def slots(self) -> int:
        """Return how many requests it runs at once."""
        return self._latest.slots if self._latest else DEFAULT_SLOTS

    def heard(self, beat: Heartbeat, now: float) -> News:
        """Take a heartbeat, unless a newer one was taken before."""
        if beat.service != self.service:
            return News.STALE
        latest = self._latest
        if latest and (beat.born, beat.sequence) <= (latest.born, latest.sequence):
            return News.STALE
        is_reborn = latest is not None and beat.born != latest.born
        is_changed = latest is None or latest.is_draining != beat.is_draining
        if is_reborn or latest is None:
            self.is_known_since_birth = is_reborn or beat.sequence <= 1
            self.is_gone = False
        self._latest = beat
        self._beat_at = now
        self._waiting_since = math.inf
        self._cold_until = now + beat.cold_ms / 1000
        if is_reborn:
            return News.REBORN
        return News.CHANGED if is_changed else News.NOTHING

    def left(self, name: str) -> bool:
        """Take word that a server has ended; tell whether it was this one."""
        if self._latest is None or name != self._latest.name:
            return False
        self.is_gone = True
        return True

    def given(self, now: float) -> None:
        """Record that it was given a packet that it answers at once."""
        self._waiting_since = min(self._waiting_since, now)

    def answered(self, now: float) -> None:
        """Record a packet of its own."""
        self._answered_at = now
        self._waiting_since = math.inf

    def is_heard(self) -> bool:
        """Tell whether it has given any sign of life to this process."""
        return self._latest is not None or self._answered_at > -math.inf

    def is_silent(self, now: float) -> bool:
        """Tell whether it owes an answer for longer than servers take."""
        return now - self._waiting_since > ANSWER_SECONDS

    def is_lost(self, now: float) -> bool:
        """Tell whether neither packets nor heartbeats came for long."""
        if self._latest is None:
            return False
        overdue = OVERDUE_HEARTBEATS * self._heartbeat_seconds
        is_overdue = now - max(self._beat_at, self._answered_at) > overdue
        return is_overdue and now - self._waiting_since > SILENT_SECONDS

    def cold_ms(self, now: float) -> int:
        """Return how much longer it is slow after its start."""
        return int(max(float(0), self._cold_until - now) * 1000)

    def state(self, now: float) -> relaying.State:
        """Return what entries are told of it."""
        if self.is_gone:
            return relaying.State.GONE
        if self._latest is None:
            return relaying.State.STARTING
        if self._latest.is_draining:
            return relaying.State.DRAINING
        if self.is_silent(now):
            return relaying.State.UNFIT
        return relaying.State.READY
