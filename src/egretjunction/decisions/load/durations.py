"""How long requests of a route take at one backend server.

Each route keeps a decayed mean and a decayed histogram of durations relative to that
mean, in buckets of half an octave. The mean follows a change of cost or speed within a
few requests; the shape of the distribution is unaffected by such a change.
"""

import math

SLOWEST_GAIN = 0.0625  # weight of the newest duration in the mean; noise about 10 %
OBSERVATIONS_AT_SLOWEST_GAIN = 15
RECENT_GAIN = 1 / 3  # weight of the newest duration in the mean that detects changes
OUTLIER_MULTIPLE = 4.0  # longest duration in that mean; one request is no change
LASTING_GAIN = 0.016  # weight of the newest duration in the mean of about a minute
CHANGE_FACTOR = 2.0  # between the two means; from here on the mean starts anew
OBSERVATIONS_AFTER_CHANGE = 3  # weight of the recent mean when the mean starts anew
HISTOGRAM_SHARE_AFTER_CHANGE = 0.25
BUCKETS_PER_OCTAVE = 2
LOWEST_OCTAVE = -4  # relative durations below 1/16 share the first bucket
HIGHEST_OCTAVE = 5  # relative durations above 32 share the last bucket
BUCKETS = (HIGHEST_OCTAVE - LOWEST_OCTAVE) * BUCKETS_PER_OCTAVE
MAX_HISTOGRAM_WEIGHT = 128.0  # observations; all weights are then halved
OBSERVATIONS_PER_REBUILD = 40  # of the table of remaining durations
PRIOR_WEIGHT = 1.0  # observations; durations longer than any observed are possible
MIN_SECONDS = 0.0001

_OFFSET = -LOWEST_OCTAVE * BUCKETS_PER_OCTAVE
_EDGES = tuple(
    2 ** (LOWEST_OCTAVE + bucket / BUCKETS_PER_OCTAVE) for bucket in range(BUCKETS + 1)
)
_MIDDLES = tuple(edge * 2 ** (0.5 / BUCKETS_PER_OCTAVE) for edge in _EDGES[:-1])
_log2 = math.log2


class RouteDurations:
    """Durations of one route at one server.

    ``mean_seconds`` is 0 until a duration has been recorded, and ``share`` is a decayed
    number of its requests.
    """

    __slots__ = (
        '_lasting_seconds',
        '_observations',
        '_recent_seconds',
        '_remaining_by_edge',
        '_unread_observations',
        '_weight_by_bucket',
        'mean_seconds',
        'share',
    )

    def __init__(self) -> None:
        self.mean_seconds = float(0)
        self._recent_seconds = float(0)
        self._lasting_seconds = float(0)
        self._observations = 0
        self.share = float(0)
        self._weight_by_bucket = [float(0) for _ in _MIDDLES]
        self._unread_observations = 0
        self._remaining_by_edge = _remaining_by_edge(self._weight_by_bucket)

    def record(self, seconds: float) -> None:
        """Record the duration of one request."""
        if seconds < MIN_SECONDS:
            seconds = MIN_SECONDS
        self.share += 1
        if self._observations:
            self._update_means(seconds)
        else:
            self._recent_seconds = seconds
            self._lasting_seconds = seconds
            self.mean_seconds = seconds
        self._observations += 1
        bucket = int(_log2(seconds / self.mean_seconds) * BUCKETS_PER_OCTAVE + _OFFSET)
        if bucket < 0:
            bucket = 0
        elif bucket >= BUCKETS:
            bucket = BUCKETS - 1
        self._weight_by_bucket[bucket] += 1
        self._unread_observations += 1
        if self._unread_observations >= OBSERVATIONS_PER_REBUILD:
            self._rebuild()

    def relax(self, share: float) -> None:
        """Let a mean that rose lately return to that of a longer time.

        A server that was slow may get no requests from which to learn that it is not
        any more.

        :param share: of the difference that is given up.
        """
        lasting = self._lasting_seconds
        self.mean_seconds -= share * max(float(0), self.mean_seconds - lasting)
        self._recent_seconds -= share * max(float(0), self._recent_seconds - lasting)

    def remaining_seconds(self, elapsed_seconds: float) -> float:
        """Return the expected remaining duration of a request.

        It is the mean residual of the learned distribution, so it grows for a request
        that has run for longer than most.

        :param elapsed_seconds: how long the request has run.
        """
        mean = self.mean_seconds
        if not mean:
            return elapsed_seconds
        elapsed = elapsed_seconds / mean
        if elapsed <= _EDGES[0]:
            return mean - elapsed_seconds
        if elapsed >= _EDGES[-1]:
            return mean + elapsed_seconds
        position = _log2(elapsed) * BUCKETS_PER_OCTAVE + _OFFSET
        lower = int(position)
        remaining = self._remaining_by_edge[lower]
        following = self._remaining_by_edge[lower + 1]
        return mean * (remaining + (following - remaining) * (position - lower))

    def _update_means(self, seconds: float) -> None:
        observations = self._observations
        gain = (
            1 / (observations + 1)
            if observations < OBSERVATIONS_AT_SLOWEST_GAIN
            else SLOWEST_GAIN
        )
        mean = self.mean_seconds + gain * (seconds - self.mean_seconds)
        recent = self._recent_seconds
        if seconds > recent * OUTLIER_MULTIPLE:
            seconds = recent * OUTLIER_MULTIPLE
        recent += RECENT_GAIN * (seconds - recent)
        self._recent_seconds = recent
        self._lasting_seconds += LASTING_GAIN * (seconds - self._lasting_seconds)
        if recent > CHANGE_FACTOR * mean or mean > CHANGE_FACTOR * recent:
            mean = recent
            self._observations = OBSERVATIONS_AFTER_CHANGE
            self._scale_histogram(HISTOGRAM_SHARE_AFTER_CHANGE)
        self.mean_seconds = mean

    def _rebuild(self) -> None:
        self._unread_observations = 0
        if sum(self._weight_by_bucket) > MAX_HISTOGRAM_WEIGHT:
            self._scale_histogram(0.5)
        self._remaining_by_edge = _remaining_by_edge(self._weight_by_bucket)

    def _scale_histogram(self, factor: float) -> None:
        self._weight_by_bucket = [weight * factor for weight in self._weight_by_bucket]


def _remaining_by_edge(weight_by_bucket: list[float]) -> list[float]:
    """Return the mean residual at each lower edge of a bucket, relative to the mean.

    The prior is a Lomax distribution of mean 1 and shape 2, whose mean residual is
    1 plus the time elapsed. It decides where nothing has been observed.
    """
    total_weight = float(0)
    total_duration = float(0)
    remaining = [1 + _EDGES[-1]]
    for bucket in reversed(range(BUCKETS)):
        weight = weight_by_bucket[bucket]
        total_weight += weight
        total_duration += weight * _MIDDLES[bucket]
        edge = _EDGES[bucket]
        prior = PRIOR_WEIGHT / (1 + edge)
        remaining.append(
            (prior + total_duration - edge * total_weight)
            / (prior / (1 + edge) + total_weight)
        )
    remaining.reverse()
    return remaining
