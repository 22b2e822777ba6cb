"""An agent's view of the state of its backend server."""

import math

from egretjunction import addresses
from egretjunction.decisions import relay_ages
from egretjunction.decisions import relay_heartbeats
from egretjunction.decisions import relay_succession
from egretjunction.wire import relaying

ANSWER_TIMEOUT_SECONDS = 0.15  # servers accept or bounce a first packet within 1 ms
LOST_AFTER_SECONDS = 1.0  # without an answer, while heartbeats are overdue too
OVERDUE_HEARTBEATS = 2.5  # intervals: two lost heartbeats and half an interval
MILLISECONDS_PER_SECOND = 1_000
DEFAULT_SLOTS = 2


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
    """

    __slots__ = (
        '_address',
        '_cold_until',
        '_heartbeat_seconds',
        '_is_lost',
        '_last_packet_at',
        '_probed_since',
        '_seen_since',
        '_unanswered_since',
        'ages',
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
    ) -> None:
        self.service = service
        self._address = address
        self.ages = relay_ages.Ages(heartbeat_seconds, started_at)
        self._probed_since = math.inf
        self._heartbeat_seconds = heartbeat_seconds
        self.succession = relay_succession.Succession(heartbeat_seconds)
        self._last_packet_at = -math.inf
        self._seen_since = math.inf
        self._unanswered_since = math.inf
        self._is_lost = False
        self._cold_until = -math.inf
        self.is_known_since_start = False

    @property
    def heartbeat(self) -> relay_heartbeats.Heartbeat | None:
        """Return the latest heartbeat of the followed incarnation, None before any."""
        return self.succession.followed

    @property
    def is_gone(self) -> bool:
        """Tell whether the server has announced its end."""
        return self.succession.has_left

    @property
    def name(self) -> str:
        """Return the server's name, or an empty string before its first heartbeat."""
        return self.heartbeat.name if self.heartbeat else ''

    @property
    def born(self) -> int:
        """Return the server's start time, 0 before its first heartbeat."""
        return self.heartbeat.born if self.heartbeat else 0

    @property
    def slots(self) -> int:
        """Return how many requests the server runs concurrently."""
        return self.heartbeat.slots if self.heartbeat else DEFAULT_SLOTS

    def record_heartbeat(
        self,
        heartbeat: relay_heartbeats.Heartbeat,
        now: float,
        age_seconds: float = math.inf,
    ) -> relay_heartbeats.Change:
        """Record a heartbeat unless it is stale or rejected; return what it changed.

        :param heartbeat: the heartbeat.
        :param now: the time in seconds.
        :param age_seconds: time since the server's start by the time of day.
        """
        if not self._is_named_by(heartbeat):
            return relay_heartbeats.Change.REJECTED
        is_other = not self.has_taken(heartbeat)
        if is_other:
            self.ages.estimate(heartbeat, now, age_seconds)
        change = self.succession.record(heartbeat, now)
        if self.succession.followed is not heartbeat:
            return change
        if is_other:
            self.is_known_since_start = self.ages.is_younger(heartbeat.born)
        if change is relay_heartbeats.Change.RESTARTED:
            self._seen_since = math.inf
        self._take_over(heartbeat, now)
        return change

    def settle_start(self, listed_born: int) -> bool:
        """Record which incarnation an earlier process of the agent has listed.

        :param listed_born: start time of that incarnation, 0 if there is none.
        :return: whether this was needed to tell how old the server is.
        """
        is_settled = self.ages.settle(listed_born)
        is_older = self.record_predecessor(listed_born)
        if self.heartbeat is not None and self.ages.is_younger(self.born):
            self.is_known_since_start = True
        return is_settled or is_older

    def _take_over(self, heartbeat: relay_heartbeats.Heartbeat, now: float) -> None:
        """Take over what a heartbeat of the followed incarnation says."""
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
        followed = self.heartbeat
        return (
            followed is not None
            and self._is_named_by(heartbeat)
            and heartbeat.born == followed.born
        )

    def record_leave(self, name: str) -> bool:
        """Record that a server has ended; return False if it is not the current one."""
        if self.heartbeat is None or name != self.heartbeat.name:
            return False
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

    def record_lost_flow(self, now: float) -> bool:
        """Record that the server bounced a packet of a flow that it had confirmed.

        Whatever lives now has started since.

        :param now: the time in seconds.
        :return: whether another incarnation is followed now.
        """
        is_replaced = self.succession.record_lost_flow(now)
        if is_replaced:
            self.ages.record_younger(self.born)
            self.is_known_since_start = True
            self._seen_since = math.inf
            self._take_over(self.succession.followed, now)
        return is_replaced

    def discount_pause(self, seconds: float) -> None:
        """Exclude a pause of this process from the silence of the server."""
        self._last_packet_at += seconds
        self.succession.discount_pause(seconds)
        self._unanswered_since += seconds
        self.ages.discount_pause(seconds)
        self._seen_since += seconds
        self._probed_since += seconds

    def has_been_seen(self) -> bool:
        """Tell whether any heartbeat or packet of the server was received."""
        return self.heartbeat is not None or self._last_packet_at > -math.inf

    def is_expected(self, now: float) -> bool:
        """Tell whether the first heartbeat since the start is still to be expected.

        Those that a server sent before the sockets were open were refused.
        """
        overdue_seconds = relay_succession.SILENT_HEARTBEATS * self._heartbeat_seconds
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
        return max(self._last_packet_at, self.succession.heard_at) > moment

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
        if self.heartbeat is None:
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
        if self.heartbeat is None:
            return relaying.State.STARTING
        if self.succession.is_draining:
            return relaying.State.DRAINING
        if self.is_unresponsive(now):
            return relaying.State.UNFIT
        return relaying.State.READY
