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
# Of the interval. Held-up heartbeats may arrive at any distance, so that repetition
# counts only beside the silence of the followed incarnation.
REPEATED_HEARTBEATS = 0.5
# Intervals. A living server is heard within as many of a held-up heartbeat of another.
STARTING_HEARTBEATS = 1.0
CONFIRMING_HEARTBEATS = 2
# More than a dead server can have left on the way: it sends one after the other, and
# waits a second for each answer.
RETURNING_HEARTBEATS = 5
MAX_PAST_INCARNATIONS = 16


class _Candidate:
    """Heartbeats of another incarnation since the last one of the followed incarnation.

    :param heartbeat: the first of them; later the latest one.
    :param now: the time in seconds.
    """

    __slots__ = ('count', 'heartbeat', 'since')

    def __init__(self, heartbeat: relay_heartbeats.Heartbeat, now: float) -> None:
        self.heartbeat = heartbeat
        self.since = now
        self.count = 1

    def add(self, heartbeat: relay_heartbeats.Heartbeat) -> None:
        """Record another heartbeat, unless it is older than the latest one."""
        if heartbeat.sequence > self.heartbeat.sequence:
            self.heartbeat = heartbeat
            self.count += 1

    def lasts(self, count: int, seconds: float, now: float) -> bool:
        """Tell whether it has sent some heartbeats over some time."""
        return self.count >= count and now - self.since >= seconds


class Succession:
    """Decides when the heartbeats of another incarnation count.

    ``followed_since`` is the time of the first heartbeat of the followed incarnation.

    :param heartbeat_seconds: interval between heartbeats.
    """

    __slots__ = (
        '_candidate_by_born',
        '_doubtful_born',
        '_first_heard_by_born',
        '_followed_count',
        '_followed_heard_at',
        '_has_followed_lost_flow',
        '_heartbeat_seconds',
        '_past_borns',
        '_returned_at',
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
        self._candidate_by_born: dict[int, _Candidate] = {}
        self._first_heard_by_born: dict[int, float] = {}
        self.followed_since = -math.inf

    @property
    def possible_successor(self) -> relay_heartbeats.Heartbeat | None:
        """Return a heartbeat of the likeliest incarnation that was not followed yet."""
        candidates = [
            candidate
            for born, candidate in self._candidate_by_born.items()
            if not self.is_past(born)
        ]
        if not candidates:
            return None
        return max(candidates, key=_likelihood).heartbeat

    @property
    def has_draining_candidate(self) -> bool:
        """Tell whether an incarnation that may be the living one drains."""
        return any(
            candidate.heartbeat.is_draining and not self.is_past(born)
            for born, candidate in self._candidate_by_born.items()
        )

    def record_followed(self, born: int, now: float) -> None:
        """Record a heartbeat of the followed incarnation.

        :param born: start time of the followed incarnation.
        :param now: the time in seconds.
        """
        self._first_heard_by_born.setdefault(born, now)
        self._followed_count += 1
        self._followed_heard_at = now
        self._returned_at = min(self._returned_at, now)
        if self._doubtful_born is not None and self._is_confirmed():
            self._past_borns.append(self._doubtful_born)
            self._doubtful_born = None
        self._has_followed_lost_flow = False
        self._candidate_by_born.clear()

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

    def replace(self, past_born: int, born: int, now: float) -> None:
        """Follow an incarnation that has been found to be the successor.

        :param past_born: start time of the incarnation that it replaces.
        :param born: its start time.
        :param now: the time in seconds.
        """
        if self.is_past(born):
            self._past_borns.remove(born)
        if self._is_doubtful(now):
            self._doubtful_born = past_born
        else:
            self._past_borns.append(past_born)
        self.followed_since = self._first_heard_by_born.get(born, now)
        self._followed_count = self._candidate_by_born[born].count - 1
        self.record_followed(born, now)

    def is_mistake(self, born: int) -> bool:
        """Tell whether the followed incarnation had ended before its heartbeats came.

        A server that starts after the end of another one is first heard after a
        silence. One that was heard before, or right after the followed one, may have
        been living all the time, and the flows be its own.

        :param born: start time of the successor.
        """
        if self._has_followed_lost_flow:
            return False
        was_followed = self.is_past(born) or born == self._doubtful_born
        heard_at = self._first_heard_by_born.get(born, math.inf)
        silent_seconds = heard_at - self._followed_heard_at
        least_seconds = STARTING_HEARTBEATS * self._heartbeat_seconds
        return was_followed or silent_seconds < least_seconds

    def is_silent(self, now: float) -> bool:
        """Tell whether the followed incarnation misses a heartbeat."""
        silent_seconds = now - self._followed_heard_at
        return silent_seconds >= SILENT_HEARTBEATS * self._heartbeat_seconds

    def _is_doubtful(self, now: float) -> bool:
        """Tell whether the only heartbeat of the followed one may have been held up."""
        has_ended = self._has_followed_lost_flow or self.is_silent(now)
        return not (has_ended or self._is_confirmed())

    def discount_pause(self, seconds: float) -> None:
        """Exclude a pause of this process from the silence of the server."""
        self._followed_heard_at += seconds
        for candidate in self._candidate_by_born.values():
            candidate.since += seconds
        for born in self._first_heard_by_born:
            self._first_heard_by_born[born] += seconds
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
        candidate = self._record_candidate(heartbeat, now)
        if self.is_past(heartbeat.born):
            return self._is_returning(candidate, now)
        has_ended = has_left or self._has_followed_lost_flow or self.is_silent(now)
        if heartbeat.born > followed_born:
            return has_ended or not self._is_confirmed()
        repeat_seconds = REPEATED_HEARTBEATS * self._heartbeat_seconds
        return has_ended and candidate.lasts(2, repeat_seconds, now)

    def is_past(self, born: int) -> bool:
        """Tell whether an incarnation was followed once and then replaced."""
        return born in self._past_borns

    def _is_returning(self, candidate: _Candidate, now: float) -> bool:
        """Tell whether a replaced incarnation lives, and the one that replaced it not.

        Held-up heartbeats of an ended one may have replaced it by mistake.
        """
        least_seconds = (
            RETURNING_HEARTBEATS * REPEATED_HEARTBEATS * self._heartbeat_seconds
        )
        is_lasting = candidate.lasts(RETURNING_HEARTBEATS, least_seconds, now)
        return is_lasting and self.is_silent(now)

    def _is_confirmed(self) -> bool:
        return self._followed_count >= CONFIRMING_HEARTBEATS

    def _record_candidate(
        self, heartbeat: relay_heartbeats.Heartbeat, now: float
    ) -> _Candidate:
        """Keep a heartbeat of another incarnation; return the incarnation's record."""
        born = heartbeat.born
        self._first_heard_by_born.setdefault(born, now)
        if len(self._first_heard_by_born) > MAX_PAST_INCARNATIONS:
            self._first_heard_by_born.pop(next(iter(self._first_heard_by_born)))
        candidate = self._candidate_by_born.get(born)
        if candidate is None:
            if len(self._candidate_by_born) >= MAX_PAST_INCARNATIONS:
                self._candidate_by_born.clear()
            candidate = _Candidate(heartbeat, now)
            self._candidate_by_born[born] = candidate
        candidate.add(heartbeat)
        return candidate


def _likelihood(candidate: _Candidate) -> tuple[int, int]:
    """Return a figure that is higher for incarnations that more likely live."""
    return candidate.count, candidate.heartbeat.born
