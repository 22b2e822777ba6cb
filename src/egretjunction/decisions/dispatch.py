"""The queue in front of one backend server: slots, two classes, early shedding.

A feed holds a connection and no slot, so feeds do not pass through here.
"""

import collections
import enum

SMALL_SECONDS_GUESS = 0.05
LARGE_SECONDS_GUESS = 4.0
SMALL_RECENT_SECONDS = 2.0
ESTIMATE_SHARE = 0.1
MIN_RETRY_AFTER_SECONDS = 0.05


class Size(enum.Enum):
    """Classes of requests that must not block each other."""

    SMALL = 'small'
    LARGE = 'large'


class Request:
    """A request that waits for a slot.

    :param key: identity within this agent.
    :param size: its class.
    :param deadline: time at which its caller stops waiting, in seconds.
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
    """Effect: tell the caller that this request was not run.

    :param retry_after_seconds: when a new try may find room.
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
    __slots__ = ('request', 'started')

    def __init__(self, request: Request, started: float) -> None:
        self.request = request
        self.started = started


class Dispatcher:
    """Decides which request runs next; each call returns the effects.

    :param slots: requests that the backend server runs at once.
    :param queue_limit: requests that may wait, both classes together.
    """

    __slots__ = (
        '_large',
        '_queue_limit',
        '_running_by_key',
        '_seconds_by_size',
        '_slots',
        '_small',
        '_small_seen_at',
    )

    def __init__(self, slots: int, queue_limit: int) -> None:
        self._slots = slots
        self._queue_limit = queue_limit
        self._small: collections.deque[Request] = collections.deque()
        self._large: collections.deque[Request] = collections.deque()
        self._running_by_key: dict[object, _Running] = {}
        self._small_seen_at = float('-inf')
        self._seconds_by_size = {
            Size.SMALL: SMALL_SECONDS_GUESS,
            Size.LARGE: LARGE_SECONDS_GUESS,
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
        """Take new limits; requests that already run or wait are kept."""
        self._slots = slots
        self._queue_limit = queue_limit

    def offer(self, request: Request, now: float) -> list[Effect]:
        """Take a request in, or shed it when it cannot meet its deadline."""
        if request.size is Size.SMALL:
            self._small_seen_at = now
        wait = self._expected_wait(request.size, now)
        if wait > 0 and self.waiting >= self._queue_limit:
            return [Shed(request.key, 'queue is full', self._retry_after(wait))]
        if now + wait + self._seconds_by_size[request.size] > request.deadline:
            reason = 'deadline cannot be met'
            return [Shed(request.key, reason, self._retry_after(wait))]
        self._queue_of(request.size).append(request)
        return self._fill(now)

    def finish(self, key: object, now: float) -> list[Effect]:
        """Free the slot of a request whose answer is complete."""
        ended = self._running_by_key.pop(key, None)
        if ended is not None:
            self._learn(ended, now)
        return self._fill(now)

    def cancel(self, key: object, now: float) -> list[Effect]:
        """Drop a request that its caller gave up; a running one is stopped."""
        if key in self._running_by_key:
            self._running_by_key.pop(key)
            return [Stop(key), *self._fill(now)]
        for queue in (self._small, self._large):
            for request in queue:
                if request.key == key:
                    queue.remove(request)
                    return []
        return []

    def expire(self, now: float) -> list[Effect]:
        """Shed waiting requests whose deadline can no longer be met."""
        effects: list[Effect] = []
        for queue in (self._small, self._large):
            late = [
                request
                for request in queue
                if now + self._seconds_by_size[request.size] > request.deadline
            ]
            for request in late:
                queue.remove(request)
                wait = self._expected_wait(request.size, now)
                reason = 'deadline cannot be met'
                effects.append(Shed(request.key, reason, self._retry_after(wait)))
        return effects + self._fill(now)

    def _queue_of(self, size: Size) -> collections.deque[Request]:
        return self._small if size is Size.SMALL else self._large

    def _retry_after(self, wait: float) -> float:
        return max(MIN_RETRY_AFTER_SECONDS, wait)

    def _large_slots(self, now: float) -> int:
        """Return how many slots large requests may hold now."""
        is_mixed = now - self._small_seen_at < SMALL_RECENT_SECONDS
        if is_mixed and self._slots > 1:
            return self._slots - 1
        return self._slots

    def _running_large(self) -> int:
        return sum(
            1
            for each in self._running_by_key.values()
            if each.request.size is Size.LARGE
        )

    def _expected_wait(self, size: Size, now: float) -> float:
        """Return the seconds until a new request of this class would start."""
        large_slots = self._large_slots(now)
        ahead = len(self._small) * self._seconds_by_size[Size.SMALL]
        lanes = self._slots
        is_free = self.running < self._slots and not self.waiting
        if size is Size.LARGE:
            ahead += len(self._large) * self._seconds_by_size[Size.LARGE]
            lanes = large_slots
            is_free = is_free and self._running_large() < large_slots
        if is_free:
            return 0
        remaining = sorted(
            max(0, self._seconds_by_size[each.request.size] - (now - each.started))
            for each in self._running_by_key.values()
        )
        first_free = remaining[0] if remaining else 0
        return first_free + ahead / lanes

    def _fill(self, now: float) -> list[Effect]:
        """Start waiting requests while slots are free."""
        effects: list[Effect] = []
        while self.running < self._slots:
            request = self._next(now)
            if request is None:
                break
            self._running_by_key[request.key] = _Running(request, now)
            effects.append(Start(request.key))
        return effects

    def _next(self, now: float) -> Request | None:
        if self._small:
            return self._small.popleft()
        if self._large and self._running_large() < self._large_slots(now):
            return self._large.popleft()
        return None

    def _learn(self, ended: _Running, now: float) -> None:
        size = ended.request.size
        before = self._seconds_by_size[size]
        taken = now - ended.started
        self._seconds_by_size[size] = before + ESTIMATE_SHARE * (taken - before)
