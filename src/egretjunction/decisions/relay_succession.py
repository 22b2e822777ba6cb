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
    """Follows one incarnation, and decides when another one takes its place.

    ``followed`` is the latest heartbeat of the followed incarnation, None before the
    first one, ``heard_at`` the time of that heartbeat, and ``has_left`` tells whether a
    leave call has named the incarnation.

    :param heartbeat_seconds: interval between heartbeats.
    """

    __slots__ = (
        '_candidate_by_born',
        '_doubtful_born',
        '_first_heard_by_born',
        '_followed_count',
        '_has_lost_flow',
        '_heartbeat_seconds',
        '_past_borns',
        '_returned_at',
        'followed',
        'has_left',
        'heard_at',
    )

    def __init__(self, heartbeat_seconds: float) -> None:
        self._heartbeat_seconds = heartbeat_seconds
        self._past_borns: collections.deque[int] = collections.deque(
            maxlen=MAX_PAST_INCARNATIONS
        )
        self._doubtful_born: int | None = None
        self._followed_count = 0
        self._has_lost_flow = False
        self._returned_at = math.inf
        self._candidate_by_born: dict[int, _Candidate] = {}
        self._first_heard_by_born: dict[int, float] = {}
        self.followed: relay_heartbeats.Heartbeat | None = None
        self.heard_at = -math.inf
        self.has_left = False

    @property
    def is_draining(self) -> bool:
        """Tell whether the server accepts no new flows, as far as known.

        A heartbeat that may be of the living server counts as well, since a flow that a
        draining server takes is worse than one that waits.
        """
        heartbeats = [candidate.heartbeat for candidate in self._new_candidates()]
        if self.followed is not None:
            heartbeats.append(self.followed)
        return any(heartbeat.is_draining for heartbeat in heartbeats)

    @property
    def followed_since(self) -> float:
        """Return when the first heartbeat of the followed incarnation arrived."""
        born = self.followed.born if self.followed else None
        return self._first_heard_by_born.get(born, self.heard_at)

    def record(
        self, heartbeat: relay_heartbeats.Heartbeat, now: float
    ) -> relay_heartbeats.Change:
        """Record a heartbeat unless it is stale or rejected; return what it changed."""
        followed = self.followed
        if followed is None:
            self._follow(heartbeat, now)
            return relay_heartbeats.Change.CHANGED
        if heartbeat.born != followed.born:
            candidate = self._record_candidate(heartbeat, now)
            if self._is_successor(candidate, followed.born, now):
                return self._replace(candidate, followed.born, now)
            return relay_heartbeats.Change.REJECTED
        if heartbeat.sequence <= followed.sequence:
            return relay_heartbeats.Change.STALE
        before = (self.is_draining, self.has_left)
        self._follow(heartbeat, now)
        if (self.is_draining, self.has_left) != before:
            return relay_heartbeats.Change.CHANGED
        return relay_heartbeats.Change.NOTHING

    def record_leave(self) -> None:
        """Record that a leave call has named the followed incarnation."""
        self.has_left = True
        self._returned_at = math.inf

    def record_lost_flow(self, now: float) -> bool:
        """Record that the server does not hold a flow that it had confirmed.

        A server loses its flows when it starts again. If a newer incarnation has sent a
        heartbeat meanwhile, it is followed from now on.

        :param now: the time in seconds.
        :return: whether another incarnation is followed now.
        """
        candidates = self._new_candidates()
        if self.followed is None or not candidates:
            return False
        self._has_lost_flow = True
        likeliest = max(candidates, key=_likelihood)
        is_replaced = self._is_successor(likeliest, self.followed.born, now)
        if is_replaced:
            self._replace(likeliest, self.followed.born, now)
        return is_replaced

    def discount_pause(self, seconds: float) -> None:
        """Exclude a pause of this process from the silence of the server."""
        self.heard_at += seconds
        for candidate in self._candidate_by_born.values():
            candidate.since += seconds
        for born in self._first_heard_by_born:
            self._first_heard_by_born[born] += seconds
        self._returned_at += seconds

    def _follow(self, heartbeat: relay_heartbeats.Heartbeat, now: float) -> None:
        """Record a heartbeat of the followed incarnation."""
        self.followed = heartbeat
        self.heard_at = now
        self._first_heard_by_born.setdefault(heartbeat.born, now)
        self._followed_count += 1
        self._returned_at = min(self._returned_at, now)
        if self.has_left:
            self.has_left = not self._is_back(now)
        if self._doubtful_born is not None and self._is_confirmed():
            self._past_borns.append(self._doubtful_born)
            self._doubtful_born = None
        self._has_lost_flow = False
        self._candidate_by_born.clear()

    def _is_back(self, now: float) -> bool:
        """Tell whether the followed incarnation goes on after a leave call.

        The call may be a late one of an earlier incarnation of the same name; one
        heartbeat after it may have been sent before.
        """
        back_seconds = now - self._returned_at
        return back_seconds >= REPEATED_HEARTBEATS * self._heartbeat_seconds

    def _replace(
        self, successor: _Candidate, past_born: int, now: float
    ) -> relay_heartbeats.Change:
        """Follow another incarnation; return whether it has started since.

        :param successor: the incarnation to follow.
        :param past_born: start time of the incarnation that it replaces.
        :param now: the time in seconds.
        """
        born = successor.heartbeat.born
        is_mistake = self._is_mistake(born)
        if self._is_past(born):
            self._past_borns.remove(born)
        if self._has_ended(now) or self._is_confirmed():
            self._past_borns.append(past_born)
        else:
            self._doubtful_born = past_born
        self.has_left = False
        self._followed_count = successor.count - 1
        self._follow(successor.heartbeat, now)
        if is_mistake:
            return relay_heartbeats.Change.CORRECTED
        return relay_heartbeats.Change.RESTARTED

    def _is_mistake(self, born: int) -> bool:
        """Tell whether the followed incarnation had ended before its heartbeats came.

        A server that starts after the end of another one is first heard after a
        silence. One that was heard before, or right after the followed one, may have
        been living all the time, and the flows be its own.

        :param born: start time of the successor.
        """
        if self.has_left or self._has_lost_flow:
            return False
        was_followed = self._is_past(born) or born == self._doubtful_born
        heard_at = self._first_heard_by_born.get(born, math.inf)
        least_seconds = STARTING_HEARTBEATS * self._heartbeat_seconds
        return was_followed or heard_at - self.heard_at < least_seconds

    def _is_successor(
        self, candidate: _Candidate, followed_born: int, now: float
    ) -> bool:
        """Tell whether another incarnation replaces the followed one.

        A lower start time is that of an older incarnation whose heartbeat was held up,
        or that of a newer one after the clock was set back. Only a living server
        repeats it. One that was replaced by mistake has to go on for longer.
        """
        repeat_seconds = REPEATED_HEARTBEATS * self._heartbeat_seconds
        if self._is_past(candidate.heartbeat.born):
            return self._is_silent(now) and candidate.lasts(
                RETURNING_HEARTBEATS, RETURNING_HEARTBEATS * repeat_seconds, now
            )
        if candidate.heartbeat.born > followed_born:
            return self._has_ended(now) or not self._is_confirmed()
        return self._has_ended(now) and candidate.lasts(2, repeat_seconds, now)

    def _is_silent(self, now: float) -> bool:
        """Tell whether the followed incarnation misses a heartbeat."""
        silent_seconds = now - self.heard_at
        return silent_seconds >= SILENT_HEARTBEATS * self._heartbeat_seconds

    def _has_ended(self, now: float) -> bool:
        return self.has_left or self._has_lost_flow or self._is_silent(now)

    def _is_confirmed(self) -> bool:
        return self._followed_count >= CONFIRMING_HEARTBEATS

    def _is_past(self, born: int) -> bool:
        """Tell whether an incarnation was followed once and then replaced."""
        return born in self._past_borns

    def _new_candidates(self) -> list[_Candidate]:
        """Return the other incarnations that were not followed yet."""
        return [
            candidate
            for born, candidate in self._candidate_by_born.items()
            if not self._is_past(born)
        ]

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
