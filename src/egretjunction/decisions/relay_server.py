"""An agent's view of the state of its backend server."""

import enum
import math

from egretjunction import addresses
from egretjunction.decisions import relay_ages
from egretjunction.decisions import relay_heartbeats
from egretjunction.decisions import relay_succession
from egretjunction.wire import relaying

ANSWER_TIMEOUT_SECONDS = 0.15  # servers accept or bounce a first packet within 1 ms
LOST_AFTER_SECONDS = 1.0  # without an answer, while heartbeats are overdue too
OVERDUE_HEARTBEATS = 2.5  # intervals: two lost heartbeats and half an interval
# Heartbeats that a running server cannot miss in a row while its machine is up.
ABSENT_HEARTBEATS = 1.25
MILLISECONDS_PER_SECOND = 1_000
DEFAULT_SLOTS = 2


class HeartbeatChange(enum.Enum):
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


class Server:
    """State of the backend server, derived from its heartbeats and packets.

    ``is_known_since_start`` tells whether this process has followed the server since
    the server's start, and therefore has a record of every flow of the server.
    ``succession`` tells which incarnation is followed, ``ages`` which ones started
    after this process.

    :param service: service that the server must provide; heartbeats of another
        service are ignored.
    :param heartbeat_seconds: interval between heartbeats.
    :param started_at: start of this process, in the clock of all times passed in; its
        sockets are open from ``record_listening`` on.
    :param address: address at which the server receives packets; heartbeats of another
        address are ignored. None accepts any.
    :param has_listing: whether ``settle_start`` will tell which incarnation an earlier
        process has listed; until then the time of day proves nothing.
    """

    __slots__ = (
        '_address',
        '_cold_until',
        '_heartbeat_seconds',
        '_is_lost',
        '_last_heartbeat',
        '_last_heartbeat_at',
        '_last_packet_at',
        '_probed_since',
        '_seen_since',
        '_unanswered_since',
        'ages',
        'is_gone',
        'is_known_since_start',
        'service',
        'succession',
    )

    def __init__(
        self,
        service: str,
        heartbeat_seconds: float,
        started_at: float = 0,
        address: addresses.Address | None = None,
        *,
        has_listing: bool = False,
    ) -> None:
        self.service = service
        self._address = address
        self.ages = relay_ages.Ages(
            heartbeat_seconds, started_at, has_listing=has_listing
        )
        self._probed_since = math.inf
        self._heartbeat_seconds = heartbeat_seconds
        self._last_heartbeat: relay_heartbeats.Heartbeat | None = None
        self.succession = relay_succession.Succession(heartbeat_seconds)
        self._last_heartbeat_at = -math.inf
        self._last_packet_at = -math.inf
        self._seen_since = math.inf
        self._unanswered_since = math.inf
        self._is_lost = False
        self._cold_until = -math.inf
        self.is_gone = False
        self.is_known_since_start = False

    @property
    def name(self) -> str:
        """Return the server's name, or an empty string before its first heartbeat."""
        return self._last_heartbeat.name if self._last_heartbeat else ''

    @property
    def born(self) -> int:
        """Return the server's start time, 0 before its first heartbeat."""
        return self._last_heartbeat.born if self._last_heartbeat else 0

    @property
    def is_draining(self) -> bool:
        """Tell whether the server accepts no new flows, as far as known.

        A heartbeat that may be of the living server counts as well, since a flow that a
        draining server takes is worse than one that waits.
        """
        followed = self._last_heartbeat
        is_draining = followed is not None and followed.is_draining
        return is_draining or self.succession.has_draining_candidate

    @property
    def slots(self) -> int:
        """Return how many requests the server runs concurrently."""
        return self._last_heartbeat.slots if self._last_heartbeat else DEFAULT_SLOTS

    def record_heartbeat(
        self,
        heartbeat: relay_heartbeats.Heartbeat,
        now: float,
        age_seconds: float = math.inf,
    ) -> HeartbeatChange:
        """Record a heartbeat unless it is stale or rejected; return what it changed.

        :param heartbeat: the heartbeat.
        :param now: the time in seconds.
        :param age_seconds: time since the server's start by the time of day.
        """
        if not self._is_named_by(heartbeat):
            return HeartbeatChange.REJECTED
        previous = self._last_heartbeat
        is_other = previous is None or heartbeat.born != previous.born
        if is_other:
            self.ages.estimate(heartbeat, now, age_seconds)
        if previous is None:
            self.is_known_since_start = self.ages.is_younger(heartbeat.born)
            self.succession.record_followed(heartbeat.born, now)
            self._follow(heartbeat, now)
            return HeartbeatChange.CHANGED
        if is_other:
            return self._record_other(heartbeat, previous, now)
        if heartbeat.sequence <= previous.sequence:
            return HeartbeatChange.STALE
        before = (self.is_draining, self.is_gone)
        self.succession.record_followed(heartbeat.born, now)
        self.is_gone = self.is_gone and not self.succession.is_back(now)
        self._follow(heartbeat, now)
        is_changed = (self.is_draining, self.is_gone) != before
        return HeartbeatChange.CHANGED if is_changed else HeartbeatChange.NOTHING

    def settle_start(self, listed_born: int) -> None:
        """Record which incarnation an earlier process of the agent has listed.

        :param listed_born: start time of that incarnation, 0 if there is none.
        """
        self.ages.settle(listed_born)
        if self._last_heartbeat is not None and self.ages.is_younger(self.born):
            self.is_known_since_start = True

    def _record_other(
        self,
        heartbeat: relay_heartbeats.Heartbeat,
        previous: relay_heartbeats.Heartbeat,
        now: float,
    ) -> HeartbeatChange:
        """Record a heartbeat of another incarnation than the followed one."""
        is_successor = self.succession.is_successor(
            heartbeat, previous.born, now, has_left=self.is_gone
        )
        if not is_successor:
            return HeartbeatChange.REJECTED
        is_mistake = not self.is_gone and self.succession.is_mistake(heartbeat.born)
        self.succession.replace(previous.born, heartbeat.born, now)
        self.is_known_since_start = self.ages.is_younger(heartbeat.born)
        self.is_gone = False
        if is_mistake:
            self._follow(heartbeat, now)
            return HeartbeatChange.CORRECTED
        self._seen_since = math.inf
        self._follow(heartbeat, now)
        return HeartbeatChange.RESTARTED

    def _follow(self, heartbeat: relay_heartbeats.Heartbeat, now: float) -> None:
        """Take over what a heartbeat of the followed incarnation says."""
        self._last_heartbeat = heartbeat
        self._last_heartbeat_at = now
        self._seen_since = min(self._seen_since, now)
        self._unanswered_since = math.inf
        self._probed_since = math.inf
        self._is_lost = False
        self._cold_until = now + heartbeat.cold_ms / MILLISECONDS_PER_SECOND

    def _is_named_by(self, heartbeat: relay_heartbeats.Heartbeat) -> bool:
        """Tell whether a heartbeat is of a server of this service and address."""
        is_elsewhere = self._address is not None and heartbeat.address != self._address
        return heartbeat.service == self.service and not is_elsewhere

    def record_listening(self, now: float) -> None:
        """Record that heartbeats can be received from now on."""
        self.ages.listening_since = now

    def record_predecessor(self, born: int) -> bool:
        """Record that an earlier process of the agent followed an incarnation.

        :param born: start time of that incarnation.
        :return: whether the agent took itself for as old as its server until now.
        """
        if not self.is_known_since_start or not born or born != self.born:
            return False
        self.is_known_since_start = False
        return True

    def has_taken(self, heartbeat: relay_heartbeats.Heartbeat) -> bool:
        """Tell whether a heartbeat is one of the incarnation that is followed."""
        followed = self._last_heartbeat
        return (
            followed is not None
            and self._is_named_by(heartbeat)
            and heartbeat.born == followed.born
        )

    def record_leave(self, name: str) -> bool:
        """Record that a server has ended; return False if it is not the current one."""
        if self._last_heartbeat is None or name != self._last_heartbeat.name:
            return False
        self.is_gone = True
        self.succession.record_leave()
        return True

    def record_sent(self, now: float) -> None:
        """Record that a packet was sent that the server answers immediately."""
        self._unanswered_since = min(self._unanswered_since, now)

    def record_probe(self, now: float) -> None:
        """Record that a packet was sent to learn whether the server holds its flow."""
        self._probed_since = min(self._probed_since, now)

    def record_answer(self, now: float) -> None:
        """Record that the server sent a packet."""
        self._last_packet_at = now
        self._seen_since = min(self._seen_since, now)
        self._unanswered_since = math.inf
        self._probed_since = math.inf
        self._is_lost = False

    def record_lost_flow(self, now: float) -> relay_heartbeats.Heartbeat | None:
        """Record that the server bounced a packet of a flow that it had confirmed.

        A server loses its flows when it starts again. If a newer incarnation has sent a
        heartbeat meanwhile, it is followed from now on, and known since its start.

        :param now: the time in seconds.
        :return: that heartbeat, None if no other incarnation is followed.
        """
        self.succession.record_lost_flow()
        candidate = self.succession.possible_successor
        previous = self._last_heartbeat
        if candidate is None or previous is None:
            return None
        self.ages.record_younger(candidate.born)
        change = self._record_other(candidate, previous, now)
        return candidate if change is HeartbeatChange.RESTARTED else None

    def discount_pause(self, seconds: float) -> None:
        """Exclude a pause of this process from the silence of the server."""
        self._last_heartbeat_at += seconds
        self._last_packet_at += seconds
        self.succession.discount_pause(seconds)
        self._unanswered_since += seconds
        self.ages.discount_pause(seconds)
        self._seen_since += seconds
        self._probed_since += seconds

    def has_been_seen(self) -> bool:
        """Tell whether any heartbeat or packet of the server was received."""
        return self._last_heartbeat is not None or self._last_packet_at > -math.inf

    def is_expected(self, now: float) -> bool:
        """Tell whether the first heartbeat since the start is still to be expected.

        Those that a server sent before the sockets were open were refused.
        """
        overdue_seconds = ABSENT_HEARTBEATS * self._heartbeat_seconds
        waited_seconds = now - self.ages.listening_since
        return not self.has_been_seen() and waited_seconds <= overdue_seconds

    def is_absent(self, now: float) -> bool:
        """Tell whether there is no server: neither heartbeats nor answers to probes."""
        if self.has_been_seen() or self.is_expected(now):
            return False
        return now - self._probed_since > ANSWER_TIMEOUT_SECONDS

    def holds_nothing(self, now: float) -> bool:
        """Tell whether the server has ended, so that it holds no flow."""
        return self.is_gone or self.is_absent(now) or self._is_lost

    def knows_all_flows(self, now: float) -> bool:
        """Tell whether a flow without a record at the agent is none of the server's."""
        return self.is_known_since_start or self.holds_nothing(now)

    def is_heard_since(self, moment: float) -> bool:
        """Tell whether the server has sent a packet or a heartbeat since a moment."""
        return max(self._last_packet_at, self._last_heartbeat_at) > moment

    def is_seen_before(self, moment: float) -> bool:
        """Tell whether the server had been heard of by a moment, and not lost since."""
        return self._seen_since <= moment

    def is_unresponsive(self, now: float) -> bool:
        """Tell whether an answer is outstanding for longer than servers take."""
        return now - self._unanswered_since > ANSWER_TIMEOUT_SECONDS

    def check_lost(self, now: float) -> bool:
        """Record and return whether both heartbeats and answers are overdue.

        To be called only when the pauses of this process are excluded: after one, a
        message may be handled before the answers that came meanwhile.
        """
        unanswered_since = min(self._unanswered_since, self._probed_since)
        is_unanswered = now - unanswered_since > LOST_AFTER_SECONDS
        self._is_lost = is_unanswered and self.is_overdue(now)
        if self._is_lost:
            self._seen_since = math.inf
        return self._is_lost

    def is_overdue(self, now: float) -> bool:
        """Tell whether a server that sent heartbeats misses several in a row."""
        if self._last_heartbeat is None:
            return False
        overdue_seconds = OVERDUE_HEARTBEATS * self._heartbeat_seconds
        return not self.is_heard_since(now - overdue_seconds)

    def is_cold(self, now: float) -> bool:
        """Tell whether the server is slow after its start."""
        return now < self._cold_until

    def cold_ms(self, now: float) -> int:
        """Return the remaining milliseconds of slow operation after the start."""
        return int(max(float(0), self._cold_until - now) * 1000)

    def state(self, now: float) -> relaying.State:
        """Return the state of the server as reported to entries."""
        if self.is_gone or self.is_absent(now):
            return relaying.State.GONE
        if self._last_heartbeat is None:
            return relaying.State.STARTING
        if self.is_draining:
            return relaying.State.DRAINING
        if self.is_unresponsive(now):
            return relaying.State.UNFIT
        return relaying.State.READY
