"""Work that a backend server has left, by a model of its slots.

The server runs as many requests as it has slots and queues the others in order of
arrival. From the times at which requests were sent and answered, the model derives when
each request began to run, so that queueing does not count as part of its duration.
"""

import itertools
import typing

from egretjunction.decisions.load import durations
from egretjunction.decisions.load import outcomes

MAX_ROUTES = 256
# Several times the slowdown of a cold server and the spread of durations; a request
# that is answered later is taken off the failures again.
OVERDUE_MULTIPLE = 16.0
MIN_OVERDUE_SECONDS = 0.25
# If requests in all slots have run for this multiple of their mean, the server is slow.
SLOW_MULTIPLE = 4.0
# A process that exceeds its processor quota is stalled for less than this. Requests in
# progress during a longer gap were answered at an unknown time.
MIN_PAUSE_SECONDS = 0.25
MILLISECONDS_PER_SECOND = 1_000
COLD_GAIN = 0.125  # weight of the newest duration in the slowdown of a cold server
REQUESTS_PER_DECAY = 32  # the shares of all routes are halved after as many answers
RELAX_SECONDS = 1.0  # without requests, until a risen mean is close to the lasting one
RATE_VALID_SECONDS = 0.005  # small against the delay of a status; bounds its cost
MAX_COUNTED_SINGLY = 8  # queued requests; bounds the cost of a status

_Route = durations.RouteDurations


class Backlog:
    """Requests at one server, and what was learned about their durations.

    ``request_ms`` is the typical duration of a request, 0 if unknown. Like all figures
    of the server as a whole, it is computed at each tick.

    :param route_of: returns what identifies the route of a flow's key.
    :param slots: number of requests that the server runs concurrently.
    """

    __slots__ = (
        '_cold_factor',
        '_cold_until',
        '_completions',
        '_failed_at_by_key',
        '_last_event_at',
        '_queued_by_key',
        '_rate',
        '_rate_valid_until',
        '_route_by_key',
        '_route_by_name',
        '_route_of',
        '_slots',
        '_slowdown',
        '_started_by_key',
        '_stray_by_key',
        '_typical_seconds',
        '_untimed_keys',
        'outcomes',
        'request_ms',
    )

    def __init__(
        self, route_of: typing.Callable[[bytes], typing.Hashable], slots: int
    ) -> None:
        self._route_of = route_of
        self._slots = max(1, slots)
        self._route_by_name: dict[typing.Hashable, _Route] = {}
        self._route_by_key: dict[bytes, _Route] = {}
        self._started_by_key: dict[bytes, float] = {}  # requests that run
        self._queued_by_key: dict[bytes, _Route] = {}
        self._stray_by_key: dict[bytes, float] = {}  # without a slot, and unanswered
        self._untimed_keys: set[bytes] = set()  # in progress during a pause
        self._failed_at_by_key: dict[bytes, float] = {}
        self._last_event_at = float(0)
        self._cold_until = float(0)
        self._cold_factor = float(1)
        self._typical_seconds = float(0)
        self._completions = 0
        self._slowdown = float(1)
        self._rate = float(0)  # at which running requests end, per second
        self._rate_valid_until = float(0)
        self.request_ms = 0
        self.outcomes = outcomes.Outcomes()

    def configure(self, slots: int, cold_ms: int, now: float) -> None:
        """Set what the server's heartbeat tells.

        :param slots: number of requests that it runs concurrently.
        :param cold_ms: remaining milliseconds of slow operation after the start.
        :param now: the time in seconds.
        """
        self._slots = max(1, slots)
        self._cold_until = now + cold_ms / MILLISECONDS_PER_SECOND
        self._start_queued(now)

    def start(self, key: bytes, now: float) -> None:
        """Record that a request was sent to the server."""
        if key in self._started_by_key or key in self._queued_by_key:
            return  # more data of the same request
        if now - self._last_event_at > MIN_PAUSE_SECONDS:
            self._discount_pause(now)
        self._last_event_at = now
        if self._stray_by_key:
            self._forget_request(key)
        route = self._route_by_key.get(key)
        if route is None:
            route = self._assign_route(key)
        if len(self._started_by_key) < self._slots:
            self._started_by_key[key] = now
            self._rate_valid_until = now
        else:
            self._queued_by_key[key] = route

    def complete(self, key: bytes, now: float) -> None:
        """Record that a request was answered."""
        if now - self._last_event_at > MIN_PAUSE_SECONDS:
            self._discount_pause(now)
        self._last_event_at = now
        self._rate_valid_until = now
        started_at = self._started_by_key.pop(key, None)
        if started_at is None:
            started_at = self._stray_by_key.pop(key, None)
            if started_at is None and not self._complete_queued(key, now):
                return
        elif self._queued_by_key:
            self._start_queued(now)
        self.outcomes.record_success(now)
        if self._failed_at_by_key and key in self._failed_at_by_key:
            self.outcomes.withdraw_failure(self._failed_at_by_key.pop(key), now)
        if key in self._untimed_keys:
            self._untimed_keys.remove(key)
        elif started_at is not None:
            route = self._route_by_key[key]
            seconds = now - started_at
            if now >= self._cold_until:
                route.record(seconds)
                self._completions += 1
            else:
                self._learn_when_cold(route, seconds)

    def abandon(self, key: bytes, now: float) -> None:
        """Record that a request ended without an answer."""
        if key in self._started_by_key or key in self._queued_by_key:
            self._forget_request(key)
            self._start_queued(now)
        elif self._stray_by_key:
            self._forget_request(key)

    def expire(self, key: bytes, now: float) -> None:
        """Record that a request was not answered by its deadline."""
        is_at_work = key in self._started_by_key or key in self._stray_by_key
        if (
            is_at_work
            and key not in self._untimed_keys
            and key not in self._failed_at_by_key
        ):
            self.outcomes.record_failure(now)
        self.abandon(key, now)

    def reset(self, key: bytes, now: float) -> None:
        """Record that the server reset an open flow."""
        if key not in self._failed_at_by_key:
            self.outcomes.record_failure(now)
        self.abandon(key, now)

    def remove(self, key: bytes) -> None:
        """Remove the record of a flow."""
        self.abandon(key, self._last_event_at)
        self._route_by_key.pop(key, None)

    def forget_outcomes(self) -> None:
        """Forget how requests have ended, because the server has."""
        self.outcomes = outcomes.Outcomes()

    def tick(self, now: float) -> None:
        """Count requests as failed that are overdue, and update all figures."""
        if now - self._last_event_at > MIN_PAUSE_SECONDS:
            self._discount_pause(now)
        elif not self._started_by_key:
            self._relax((now - self._last_event_at) / RELAX_SECONDS)
        self._last_event_at = now
        for started_by_key in (self._started_by_key, self._stray_by_key):
            for key, started_at in started_by_key.items():
                if self._is_overdue(key, now - started_at):
                    self._failed_at_by_key[key] = now
                    self.outcomes.record_failure(now)
        self._update_figures(now)

    def wait_seconds(
        self, reserved_keys: typing.Collection[bytes], now: float
    ) -> float | None:
        """Return the expected time until a new request starts, None if unknown.

        It is 0 while a slot is free.

        :param reserved_keys: flows whose first request is expected.
        :param now: the time in seconds.
        """
        unused_slots = self._slots - len(self._started_by_key)
        queued_count = len(self._queued_by_key) + len(reserved_keys)
        if queued_count < unused_slots:
            return float(0)
        if not self._typical_seconds:
            self._update_figures(now)
            if not self._typical_seconds:
                return None
        return self._compute_wait(reserved_keys, now)

    def _compute_wait(
        self, reserved_keys: typing.Collection[bytes], now: float
    ) -> float:
        """Return the expected time until a new request starts.

        The first slot becomes free after the time that independent requests with these
        expected remaining durations would take if they ended at random.
        """
        unused_slots = self._slots - len(self._started_by_key)
        if now >= self._rate_valid_until:
            self._rate = self._departure_rate(now)
            self._rate_valid_until = now + RATE_VALID_SECONDS
        slots_per_second = self._rate
        ahead_seconds = float(0)
        waiting = itertools.chain(self._queued_by_key, reserved_keys)
        for key in itertools.islice(waiting, MAX_COUNTED_SINGLY):
            route = self._route_by_key.get(key) or self._assign_route(key)
            seconds = (route.mean_seconds or self._typical_seconds) * self._slowdown
            if unused_slots > 0:
                unused_slots -= 1
                slots_per_second += 1 / seconds
            else:
                ahead_seconds += seconds
        uncounted = len(self._queued_by_key) + len(reserved_keys) - MAX_COUNTED_SINGLY
        if uncounted > 0:
            ahead_seconds += uncounted * self._typical_seconds * self._slowdown
        return 1 / slots_per_second + ahead_seconds / self._slots

    def _departure_rate(self, now: float) -> float:
        """Return at which rate running requests end, per second."""
        factor = self._slowdown
        rate = float(0)
        for key, started_at in self._started_by_key.items():
            elapsed = now - started_at
            route = self._route_by_key[key]
            remaining = (
                route.remaining_seconds(elapsed / factor) * factor
                if route.mean_seconds
                else self._typical_seconds + elapsed
            )
            rate += 1 / (remaining + durations.MIN_SECONDS)
        return rate

    def _relax(self, share: float) -> None:
        for route in self._route_by_name.values():
            route.relax(share)

    def _update_figures(self, now: float) -> None:
        """Compute the figures of the server as a whole."""
        self._update_typical()
        self._slowdown = self._observe_slowdown(now)
        if self._typical_seconds:
            milliseconds = (
                self._typical_seconds * self._slowdown * MILLISECONDS_PER_SECOND
            )
            self.request_ms = max(1, round(milliseconds))

    def _observe_slowdown(self, now: float) -> float:
        """Return by which factor the server is slower than the means tell."""
        factor = self._cold_factor if now < self._cold_until else float(1)
        if len(self._started_by_key) < self._slots:
            return factor
        lowest = None
        for key, started_at in self._started_by_key.items():
            mean = self._route_by_key[key].mean_seconds
            elapsed = now - started_at
            if elapsed <= mean * SLOW_MULTIPLE or not mean:
                return factor
            lowest = min(lowest or elapsed / mean, elapsed / mean)
        return max(factor, lowest or 0)

    def _learn_when_cold(self, route: _Route, seconds: float) -> None:
        """Learn the slowdown of the cold server, and not the durations themselves."""
        if route.mean_seconds:
            slowdown = max(float(1), seconds / route.mean_seconds)
            self._cold_factor += COLD_GAIN * (slowdown - self._cold_factor)
        else:
            route.record(seconds / self._cold_factor)

    def _update_typical(self) -> None:
        """Compute the mean of all routes, weighted by their recent requests."""
        total_seconds = float(0)
        total_share = float(0)
        is_decay_due = self._completions >= REQUESTS_PER_DECAY
        if is_decay_due:
            self._completions = 0
        for route in self._route_by_name.values():
            if is_decay_due:
                route.share /= 2
            total_seconds += route.share * route.mean_seconds
            total_share += route.share
        if total_share:
            self._typical_seconds = total_seconds / total_share

    def _is_overdue(self, key: bytes, elapsed_seconds: float) -> bool:
        usual_seconds = self._route_by_key[key].mean_seconds
        limit = max(usual_seconds * OVERDUE_MULTIPLE, MIN_OVERDUE_SECONDS)
        return (
            elapsed_seconds > limit
            and usual_seconds > 0
            and key not in self._failed_at_by_key
        )

    def _discount_pause(self, now: float) -> None:
        """Discount a pause of this process, in which answers were not read."""
        pause_seconds = now - self._last_event_at
        for started_by_key in (self._started_by_key, self._stray_by_key):
            for key in started_by_key:
                started_by_key[key] += pause_seconds
                self._untimed_keys.add(key)

    def _start_queued(self, now: float) -> None:
        """Let queued requests run in free slots, in order of arrival."""
        queued_by_key = self._queued_by_key
        while queued_by_key and len(self._started_by_key) < self._slots:
            key = next(iter(queued_by_key))
            queued_by_key.pop(key)
            self._started_by_key[key] = now
            self._rate_valid_until = now

    def _complete_queued(self, key: bytes, now: float) -> bool:
        """Remove a request that was answered though the model has it queued.

        It has run in a slot, so that one of the requests thought to be running does
        not occupy one: most likely the oldest, which may never be answered.
        """
        if self._queued_by_key.pop(key, None) is None:
            return False
        stray_key = next(iter(self._started_by_key), None)
        if stray_key is not None:
            self._stray_by_key[stray_key] = self._started_by_key.pop(stray_key)
        self._start_queued(now)
        return True

    def _forget_request(self, key: bytes) -> None:
        self._rate_valid_until = self._last_event_at
        self._started_by_key.pop(key, None)
        self._queued_by_key.pop(key, None)
        self._stray_by_key.pop(key, None)
        self._failed_at_by_key.pop(key, None)
        self._untimed_keys.discard(key)

    def _assign_route(self, key: bytes) -> _Route:
        name = self._route_of(key)
        route = self._route_by_name.get(name)
        if route is None:
            if len(self._route_by_name) >= MAX_ROUTES:
                self._route_by_name.pop(next(iter(self._route_by_name)))
            route = durations.RouteDurations()
            self._route_by_name[name] = route
        self._route_by_key[key] = route
        return route
