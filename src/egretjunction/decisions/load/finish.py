"""When a first packet is expected to be answered at a member.

All durations are in seconds. Estimates of 0 are unknown, as on the wire.
"""

import bisect
import collections
import typing

from egretjunction.wire import relaying

MILLISECONDS_PER_SECOND = 1_000
PERCENT = 100
PATH_SAMPLES = 15  # the median ignores answers that a busy process delayed
NEAR_EQUAL_SHARE = 0.5  # of a duration; stale statuses do not tell such members apart


class Estimate(typing.NamedTuple):
    """Expected finish of a first packet at a member, with its parts.

    :param finish: time until the answer, 0 if unknown.
    :param wait: expected time until the request starts.
    :param age: age of the member's status.
    """

    finish: float
    wait: float
    age: float


class PathTimes:
    """One-way latency to failure domains, from the answer times of their agents.

    The time that this process and the agents take is part of each answer time. It is
    removed by comparison with the entry's own domain.

    :param domain: failure domain of the entry.
    """

    __slots__ = ('_domain', '_latest_by_domain', '_sorted_by_domain')

    def __init__(self, domain: str) -> None:
        self._domain = domain
        self._latest_by_domain: dict[str, collections.deque[float]] = {}
        self._sorted_by_domain: dict[str, list[float]] = {}

    def record(self, domain: str, answer_seconds: float) -> None:
        """Record the time between a request to an agent and its answer."""
        latest = self._latest_by_domain.setdefault(domain, collections.deque())
        ordered = self._sorted_by_domain.setdefault(domain, [])
        if len(latest) >= PATH_SAMPLES:
            ordered.pop(bisect.bisect_left(ordered, latest.popleft()))
        latest.append(answer_seconds)
        bisect.insort(ordered, answer_seconds)

    def answer_seconds(self, domain: str) -> float:
        """Return the median answer time of a domain's agents, 0 if unknown."""
        ordered = self._sorted_by_domain.get(domain)
        return ordered[len(ordered) // 2] if ordered else 0

    def one_way(self, domain: str) -> float:
        """Return the additional one-way latency to a domain, 0 if unknown."""
        if domain == self._domain:
            return 0
        own_seconds = self.answer_seconds(self._domain)
        return max(0, self.answer_seconds(domain) - own_seconds) / 2


class ServiceTypical(typing.NamedTuple):
    """Medians of the members of a service, 0 if unknown.

    :param duration: duration of a request.
    :param wait: time until a new request starts.
    :param failure_share: share of recent flows that failed.
    """

    duration: float
    wait: float
    failure_share: float


UNKNOWN = ServiceTypical(0, 0, 0)


def typical_of(statuses: typing.Sequence[relaying.Status]) -> ServiceTypical:
    """Return the medians of the estimates in statuses."""
    durations = [status.request_ms for status in statuses if status.request_ms > 0]
    waits = [status.wait_ms for status in statuses if status.wait_ms >= 0]
    failures = [status.failure_percent for status in statuses]
    return ServiceTypical(
        _lower_median(durations) / MILLISECONDS_PER_SECOND,
        _lower_median(waits) / MILLISECONDS_PER_SECOND,
        _lower_median(failures) / PERCENT,
    )


def likely_duration(status: relaying.Status, typical: ServiceTypical) -> float:
    """Return the likely duration of a request at a server, 0 if unknown."""
    return status.request_ms / MILLISECONDS_PER_SECOND or typical.duration


def expected_wait(
    status: relaying.Status,
    own_offers: int,
    age: float,
    typical: ServiceTypical,
) -> float:
    """Return the expected time until a new request starts at a server.

    The server works on what it had reported, so that the wait shrinks with the age of
    the status. Meanwhile other entries send requests that the status does not show:
    the older it is, compared with the time in which the reported work is done, the
    closer the estimate moves to the median wait of the service.

    :param status: last status of the member.
    :param own_offers: own offers that the status does not reflect.
    :param age: age of the status.
    :param typical: medians of the service.
    """
    slots = max(1, status.slots)
    duration = likely_duration(status, typical)
    if status.wait_ms >= 0:
        reported = status.wait_ms / MILLISECONDS_PER_SECOND
    else:
        reported = max(0, status.work + 1 - slots) * duration / slots
    turnover = reported + duration
    staleness = age / (age + turnover) if turnover > 0 else 0
    current = max(0, reported - age)
    current += (typical.wait - current) * staleness
    # Free slots take own offers without a wait.
    queued_offers = own_offers - max(0, slots - 1 - status.work)
    return current + max(0, queued_offers) * duration / slots


def expected_finish(
    path: float,
    wait: float,
    duration: float,
    failure_share: float,
    target_seconds: float,
) -> float:
    """Return the time until an answer is expected.

    A failed request is counted as one that is answered a target latency later.
    """
    return path + wait + duration + failure_share * target_seconds


def pick_of_two(
    finish_of_candidates: typing.Sequence[float],
    tolerance: float,
    random_number: typing.Callable[[], float],
) -> int:
    """Return the position of the chosen candidate.

    Entries see the same statuses at the same time. If all of them chose the best
    member, they would overload it together; each takes the better of two random ones
    among those that are almost as good.

    :param finish_of_candidates: expected finish of each candidate, at least one.
    :param tolerance: by how much a finish may exceed the earliest one.
    :param random_number: returns a number from 0 to less than 1.
    """
    limit = min(finish_of_candidates) + tolerance
    near = [
        position
        for position, finish in enumerate(finish_of_candidates)
        if finish <= limit
    ]
    first = near.pop(int(random_number() * len(near)))
    if not near:
        return first
    second = near[int(random_number() * len(near))]
    is_second_better = finish_of_candidates[second] < finish_of_candidates[first]
    return second if is_second_better else first


def _lower_median(figures: list[int]) -> float:
    """Return the lower median, 0 for none, so that half of all may be above it."""
    if not figures:
        return 0
    return sorted(figures)[(len(figures) - 1) // 2]
