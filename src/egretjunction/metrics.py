"""Counters and latency histograms of one process, as text for a scraper."""

import typing

import prometheus_client
import prometheus_client.core
from hdrh import histogram

PREFIX = 'egretjunction_'
MICROSECONDS_PER_SECOND = 1_000_000
LOWEST_MICROSECONDS = 1
SECONDS_PER_HOUR = 3_600
HIGHEST_MICROSECONDS = SECONDS_PER_HOUR * MICROSECONDS_PER_SECOND
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999)


class Latencies:
    """A histogram of durations, in seconds."""

    __slots__ = ('_histogram', '_sum_seconds')

    def __init__(self) -> None:
        self._histogram = histogram.HdrHistogram(
            LOWEST_MICROSECONDS,
            HIGHEST_MICROSECONDS,
            SIGNIFICANT_DIGITS,
        )
        self._sum_seconds = float(0)

    def record(self, seconds: float) -> None:
        """Add one duration."""
        microseconds = int(seconds * MICROSECONDS_PER_SECOND)
        bounded = min(max(microseconds, LOWEST_MICROSECONDS), HIGHEST_MICROSECONDS)
        self._histogram.record_value(bounded)
        self._sum_seconds += seconds

    def quantile(self, share: float) -> float:
        """Return the duration below which a share of all lie, in seconds."""
        if not self.count:
            return 0
        value = self._histogram.get_value_at_percentile(share * 100)
        return value / MICROSECONDS_PER_SECOND

    @property
    def count(self) -> int:
        """Return how many durations were added."""
        return self._histogram.get_total_count()

    @property
    def sum_seconds(self) -> float:
        """Return the sum of all durations."""
        return self._sum_seconds


class Metrics:
    """All figures of one process, by name.

    :param role: the process's role, a label on every figure.
    """

    __slots__ = ('_counts_by_name', '_gauges_by_name', '_latencies_by_name', '_role')

    def __init__(self, role: str) -> None:
        self._role = role
        self._counts_by_name: dict[str, int] = {}
        self._gauges_by_name: dict[str, typing.Callable[[], float]] = {}
        self._latencies_by_name: dict[str, Latencies] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._counts_by_name[name] = self._counts_by_name.get(name, 0) + amount

    def value(self, name: str) -> int:
        """Return a counter, 0 when it was never counted."""
        return self._counts_by_name.get(name, 0)

    def gauge(self, name: str, read: typing.Callable[[], float]) -> None:
        """Register a figure that is read when it is asked for."""
        self._gauges_by_name[name] = read

    def latency(self, name: str, seconds: float) -> None:
        """Add a duration to a histogram."""
        self._latencies_by_name.setdefault(name, Latencies()).record(seconds)

    def collect(self) -> typing.Iterator[prometheus_client.core.Metric]:
        """Yield all figures in the form that the metrics library writes."""
        labels = ('role',)
        for name, amount in sorted(self._counts_by_name.items()):
            counter = prometheus_client.core.CounterMetricFamily(
                PREFIX + name,
                f'Count of {name}.',
                labels=labels,
            )
            counter.add_metric((self._role,), amount)
            yield counter
        for name, read in sorted(self._gauges_by_name.items()):
            gauge = prometheus_client.core.GaugeMetricFamily(
                PREFIX + name,
                f'Present {name}.',
                labels=labels,
            )
            gauge.add_metric((self._role,), read())
            yield gauge
        for name, latencies in sorted(self._latencies_by_name.items()):
            yield self._summary(name, latencies)

    def text(self) -> bytes:
        """Return all figures as text for a scraper."""
        registry = prometheus_client.CollectorRegistry(auto_describe=False)
        registry.register(typing.cast('typing.Any', self))
        return prometheus_client.generate_latest(registry)

    def _summary(
        self,
        name: str,
        latencies: Latencies,
    ) -> prometheus_client.core.Metric:
        full_name = f'{PREFIX}{name}_seconds'
        summary = prometheus_client.core.Metric(full_name, f'{name}.', 'summary')
        labels = {'role': self._role}
        for share in QUANTILES:
            quantile = {**labels, 'quantile': str(share)}
            summary.add_sample(full_name, quantile, latencies.quantile(share))
        summary.add_sample(f'{full_name}_count', labels, latencies.count)
        summary.add_sample(f'{full_name}_sum', labels, latencies.sum_seconds)
        return summary
