"""Queues requests for one backend server: slots, two classes, load shedding.

Feeds are not queued here, because a feed holds a connection but no slot.
"""

import collections
import enum

INITIAL_SMALL_ESTIMATE_SECONDS = 0.05
INITIAL_LARGE_ESTIMATE_SECONDS = 4.0
RECENT_SMALL_SECONDS = 2.0
DURATION_EWMA_WEIGHT = 0.1
MIN_RETRY_AFTER_SECONDS = 0.05


class Size(enum.Enum):
    """Queue class of a request; large requests must not block small ones."""

    SMALL = 'small'
    LARGE = 'large'


class Request:
    """A request that waits for a slot.

    :param key: identifies the request within this agent.
    :param size: queue class.
    :param deadline: time at which the caller stops waiting, in seconds.
    """

    __slots__ = ('deadline', 'key', 'size')

    def __init__(self, key: object, size: Size, deadline: float) -> None:
        self.key = key
        self.size = size
        self.deadline = deadline


class Start:
    """Effect: send this request to the backend server now."""

    __slots__ = ('key',)

    def __init__(self, key: object) -> None:
        self.key = key


class Shed:
    """Effect: reject this request without running it.

    :param key: identifies the request.
    :param reason: text for the caller.
    :param retry_after_seconds: time after which the caller may try again.
    """

    __slots__ = ('key', 'reason', 'retry_after_seconds')

    def __init__(self, key: object, reason: str, retry_after_seconds: float) -> None:
        self.key = key
        self.reason = reason
        self.retry_after_seconds = retry_after_seconds


class Stop:
    """Effect: cancel a request that was sent to the backend server."""

    __slots__ = ('key',)

    def __init__(self, key: object) -> None:
        self.key = key


Effect = Start | Shed | Stop


class _Running:
    __slots__ = ('request', 'started_at')

    def __init__(self, request: Request, started_at: float) -> None:
        self.request = request
        self.started_at = started_at


class Dispatcher:
    """Decides which request runs next; each call returns the effects.

    :param slots: requests that the backend server runs at once.
    :param queue_limit: requests of both classes that may wait.
    """

    __slots__ = (
        '_estimated_seconds_by_size',
        '_large',
        '_last_small_at',
        '_queue_limit',
        '_running_by_key',
        '_slots',
        '_small',
    )

    def __init__(self, slots: int, queue_limit: int) -> None:
        self._slots = slots
        self._queue_limit = queue_limit
        self._small: collections.deque[Request] = collections.deque()
        self._large: collections.deque[Request] = collections.deque()
        self._running_by_key: dict[object, _Running] = {}
        self._last_small_at = float('-inf')
        self._estimated_seconds_by_size = {
            Size.SMALL: INITIAL_SMALL_ESTIMATE_SECONDS,
            Size.LARGE: INITIAL_LARGE_ESTIMATE_SECONDS,
        }

    @property
    def outstanding(self) -> int:
        """Return the number of requests that run or wait."""
        return len(self._running_by_key) + self.waiting

    @property
    def running(self) -> int:
        """Return the number of requests that hold a slot."""
        return len(self._running_by_key)

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for a slot."""
        return len(self._small) + len(self._large)

    def set_limits(self, slots: int, queue_limit: int) -> None:
        """Set new limits; requests that already run or wait are kept."""
        self._slots = slots
        self._queue_limit = queue_limit

    def offer(self, request: Request, now: float) -> list[Effect]:
        """Queue or start a request, or shed it.

        A request is shed when the queue is full or it cannot meet its deadline.
        """
        if request.size is Size.SMALL:
            self._last_small_at = now
        wait = self._expected_wait(request.size, now)
        if wait > 0 and self.waiting >= self._queue_limit:
            return [Shed(request.key, 'queue is full', self._retry_after(wait))]
        if (
            now + wait + self._estimated_seconds_by_size[request.size]
            > request.deadline
        ):
            reason = 'deadline cannot be met'
            return [Shed(request.key, reason, self._retry_after(wait))]
        self._queue_of(request.size).append(request)
        return self._start_waiting(now)

    def finish(self, key: object, now: float) -> list[Effect]:
        """Free the slot of a request whose response is complete."""
        finished = self._running_by_key.pop(key, None)
        if finished is not None:
            self._update_estimate(finished, now)
        return self._start_waiting(now)

    def cancel(self, key: object, now: float) -> list[Effect]:
        """Drop a request that its caller cancelled; stop it if it is running."""
        if key in self._running_by_key:
            self._running_by_key.pop(key)
            return [Stop(key), *self._start_waiting(now)]
        for queue in (self._small, self._large):
            for request in queue:
                if request.key == key:
                    queue.remove(request)
                    return []
        return []

    def expire(self, now: float) -> list[Effect]:
        """Shed waiting requests that can no longer meet their deadline.

        Waiting requests that may start by now are started.
        """
        effects: list[Effect] = []
        for queue in (self._small, self._large):
            expired = [
                request
                for request in queue
                if now + self._estimated_seconds_by_size[request.size]
                > request.deadline
            ]
            for request in expired:
                queue.remove(request)
                wait = self._expected_wait(request.size, now)
                reason = 'deadline cannot be met'
                effects.append(Shed(request.key, reason, self._retry_after(wait)))
        return effects + self._start_waiting(now)

    def _queue_of(self, size: Size) -> collections.deque[Request]:
        return self._small if size is Size.SMALL else self._large

    def _retry_after(self, wait: float) -> float:
        return max(MIN_RETRY_AFTER_SECONDS, wait)

    def _large_slots(self, now: float) -> int:
        """Return how many slots large requests may hold now.

        One slot is kept free for small requests while they have arrived recently.
        """
        has_recent_small = now - self._last_small_at < RECENT_SMALL_SECONDS
        if has_recent_small and self._slots > 1:
            return self._slots - 1
        return self._slots

    def _count_running_large(self) -> int:
        return sum(
            1
            for active in self._running_by_key.values()
            if active.request.size is Size.LARGE
        )

    def _expected_wait(self, size: Size, now: float) -> float:
        """Return the seconds until a new request of this class would start."""
        large_slots = self._large_slots(now)
        queued_seconds = len(self._small) * self._estimated_seconds_by_size[Size.SMALL]
        usable_slots = self._slots
        is_free = self.running < self._slots and not self.waiting
        if size is Size.LARGE:
            queued_seconds += (
                len(self._large) * self._estimated_seconds_by_size[Size.LARGE]
            )
            usable_slots = large_slots
            is_free = is_free and self._count_running_large() < large_slots
        if is_free:
            return 0
        remaining = sorted(
            max(
                0,
                self._estimated_seconds_by_size[active.request.size]
                - (now - active.started_at),
            )
            for active in self._running_by_key.values()
        )
        until_first_free = remaining[0] if remaining else 0
        return until_first_free + queued_seconds / usable_slots

    def _start_waiting(self, now: float) -> list[Effect]:
        """Start waiting requests while slots are free."""
        effects: list[Effect] = []
        while self.running < self._slots:
            request = self._pop_next(now)
            if request is None:
                break
            self._running_by_key[request.key] = _Running(request, now)
            effects.append(Start(request.key))
        return effects

    def _pop_next(self, now: float) -> Request | None:
        if self._small:
            return self._small.popleft()
        if self._large and self._count_running_large() < self._large_slots(now):
            return self._large.popleft()
        return None

    def _update_estimate(self, finished: _Running, now: float) -> None:
        size = finished.request.size
        estimate = self._estimated_seconds_by_size[size]
        duration = now - finished.started_at
        self._estimated_seconds_by_size[size] = estimate + DURATION_EWMA_WEIGHT * (
            duration - estimate
        )
