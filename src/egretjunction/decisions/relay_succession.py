"""Which incarnation of its backend server an agent follows.

A heartbeat proves that its sender lived when it was sent, not that it lives now: it may
have been held up until after the sender's end. A living server goes on sending them, so
that another incarnation replaces the followed one only if that one is silent, has left,
or has lost a flow that it held.
"""

import collections
import math

from egretjunction.decisions import relay_heartbeats

# Intervals. A running server cannot miss as many in a row while its machine is up.
SILENT_HEARTBEATS = 1.25
# Of the interval; heartbeats that a partition held up arrive closer to each other.
REPEATED_HEARTBEATS = 0.5
CONFIRMING_HEARTBEATS = 2
# More than a dead server can have left on the way: it sends one after the other, and
# waits a second for each answer.
RETURNING_HEARTBEATS = 5
MAX_PAST_INCARNATIONS = 16


class Succession:
    """Decides when the heartbeats of another incarnation count.

    ``candidate`` is the latest heartbeat of another incarnation than the followed one,
    None if there is none; ``followed_since`` is the time of the first heartbeat of the
    followed one.

    :param heartbeat_seconds: interval between heartbeats.
    """

    __slots__ = (
        '_candidate_count',
        '_candidate_since',
        '_doubtful_born',
        '_followed_count',
        '_followed_heard_at',
        '_has_followed_lost_flow',
        '_heartbeat_seconds',
        '_past_borns',
        '_returned_at',
        'candidate',
        'followed_since',
    )

    def __init__(self, heartbeat_seconds: float) -> None:
        self._heartbeat_seconds = heartbeat_seconds
        self._past_borns: collections.deque[int] = collections.deque(
            maxlen=MAX_PAST_INCARNATIONS
        )
        self._doubtful_born: int | None = None
        self._followed_count = 0
        self._followed_heard_at = -math.inf
        self._has_followed_lost_flow = False
        self._returned_at = math.inf
        self._candidate_count = 0
        self._candidate_since = -math.inf
        self.candidate: relay_heartbeats.Heartbeat | None = None
        self.followed_since = -math.inf

    @property
    def possible_successor(self) -> relay_heartbeats.Heartbeat | None:
        """Return the latest heartbeat of an incarnation that was not followed yet."""
        if self.candidate is None or self.is_past(self.candidate.born):
            return None
        return self.candidate

    def record_followed(self, now: float) -> None:
        """Record a heartbeat of the followed incarnation."""
        self._followed_count += 1
        self._followed_heard_at = now
        self._returned_at = min(self._returned_at, now)
        if self._doubtful_born is not None and self._is_confirmed():
            self._past_borns.append(self._doubtful_born)
            self._doubtful_born = None
        self._has_followed_lost_flow = False
        self.candidate = None

    def record_leave(self) -> None:
        """Record that a leave call has named the followed incarnation."""
        self._returned_at = math.inf

    def is_back(self, now: float) -> bool:
        """Tell whether the followed incarnation goes on after a leave call.

        The call may be a late one of an earlier incarnation of the same name; one
        heartbeat after it may have been sent before.
        """
        back_seconds = now - self._returned_at
        return back_seconds >= REPEATED_HEARTBEATS * self._heartbeat_seconds

    def record_lost_flow(self) -> None:
        """Record that the server does not hold a flow that it had confirmed."""
        self._has_followed_lost_flow = self.possible_successor is not None

    def replace(self, past_born: int, now: float) -> None:
        """Follow the incarnation whose heartbeat has just arrived.

        :param past_born: start time of the incarnation that it replaces.
        :param now: the time in seconds.
        """
        if self.candidate is not None and self.is_past(self.candidate.born):
            self._past_borns.remove(self.candidate.born)
        if self.is_doubtful(now):
            self._doubtful_born = past_born
        else:
            self._past_borns.append(past_born)
        self.followed_since = self._candidate_since
        self._followed_count = self._candidate_count - 1
        self.record_followed(now)

    def is_silent(self, now: float) -> bool:
        """Tell whether the followed incarnation misses a heartbeat."""
        silent_seconds = now - self._followed_heard_at
        return silent_seconds >= SILENT_HEARTBEATS * self._heartbeat_seconds

    def is_doubtful(self, now: float) -> bool:
        """Tell whether the only heartbeat of the followed one may have been held up."""
        has_ended = self._has_followed_lost_flow or self.is_silent(now)
        return not (has_ended or self._is_confirmed())

    def discount_pause(self, seconds: float) -> None:
        """Exclude a pause of this process from the silence of the server."""
        self._followed_heard_at += seconds
        self._candidate_since += seconds
        self._returned_at += seconds
        self.followed_since += seconds

    def is_successor(
        self,
        heartbeat: relay_heartbeats.Heartbeat,
        followed_born: int,
        now: float,
        *,
        has_left: bool,
    ) -> bool:
        """Tell whether a heartbeat is of an incarnation that replaces the followed one.

        A lower start time is that of an older incarnation whose heartbeat was held up,
        or that of a newer one after the clock was set back. Only a living server
        repeats it.

        :param heartbeat: a heartbeat of another incarnation.
        :param followed_born: start time of the followed incarnation.
        :param now: the time in seconds.
        :param has_left: whether the followed incarnation has announced its end.
        """
        if self.is_past(heartbeat.born):
            return self._is_returning(heartbeat, now)
        is_repeated = self._is_repeated(heartbeat, now)
        has_ended = has_left or self._has_followed_lost_flow or self.is_silent(now)
        if heartbeat.born > followed_born:
            return has_ended or not self._is_confirmed()
        return has_ended and is_repeated

    def is_past(self, born: int) -> bool:
        """Tell whether an incarnation was followed once and then replaced."""
        return born in self._past_borns

    def _is_returning(self, heartbeat: relay_heartbeats.Heartbeat, now: float) -> bool:
        """Tell whether a replaced incarnation lives, and the one that replaced it not.

        Held-up heartbeats of an ended one may have replaced it by mistake.
        """
        if self.possible_successor is not None:
            return False
        self._is_repeated(heartbeat, now)
        is_lasting = self._candidate_count >= RETURNING_HEARTBEATS
        return is_lasting and self.is_silent(now)

    def _is_confirmed(self) -> bool:
        return self._followed_count >= CONFIRMING_HEARTBEATS

    def _is_repeated(self, heartbeat: relay_heartbeats.Heartbeat, now: float) -> bool:
        """Keep a heartbeat as the candidate's; tell whether it is not the first one."""
        candidate = self.candidate
        if candidate is None or candidate.born != heartbeat.born:
            self._candidate_since = now
            self._candidate_count = 1
            self.candidate = heartbeat
            return False
        if heartbeat.sequence <= candidate.sequence:
            return False
        self._candidate_count += 1
        self.candidate = heartbeat
        waited_seconds = now - self._candidate_since
        return waited_seconds >= REPEATED_HEARTBEATS * self._heartbeat_seconds
