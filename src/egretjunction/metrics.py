"""Counters, gauges and latency histograms of a process, in Prometheus text."""

import importlib
import typing

PREFIX = 'egretjunction_'
MICROSECONDS_PER_SECOND = 1_000_000
LOWEST_MICROSECONDS = 1
SECONDS_PER_HOUR = 3_600
HIGHEST_MICROSECONDS = SECONDS_PER_HOUR * MICROSECONDS_PER_SECOND
SIGNIFICANT_DIGITS = 2
MAX_BUFFERED_DURATIONS = 4_096
QUANTILES = (0.5, 0.9, 0.99, 0.999)


class LatencyHistogram:
    """A histogram of durations, in seconds.

    Durations are buffered and added to the histogram at each query, or once
    ``MAX_BUFFERED_DURATIONS`` are buffered. The histogram library is imported only
    at that point, which shortens the start of a process.
    """

    __slots__ = ('_buffered_microseconds', '_histogram', '_sum_seconds')

    def __init__(self) -> None:
        self._buffered_microseconds: list[int] = []
        self._histogram: typing.Any = None
        self._sum_seconds = float(0)

    def record(self, seconds: float) -> None:
        """Add one duration."""
        microseconds = int(seconds * MICROSECONDS_PER_SECOND)
        bounded = min(max(microseconds, LOWEST_MICROSECONDS), HIGHEST_MICROSECONDS)
        self._buffered_microseconds.append(bounded)
        self._sum_seconds += seconds
        if len(self._buffered_microseconds) >= MAX_BUFFERED_DURATIONS:
            self._flush_buffer()

    def quantile(self, fraction: float) -> float:
        """Return a quantile of all durations, in seconds.

        :param fraction: the quantile, between 0 and 1.
        :return: the duration that this fraction stays below, 0 without durations.
        """
        if not self.count:
            return 0
        value = self._flush_buffer().get_value_at_percentile(fraction * 100)
        return value / MICROSECONDS_PER_SECOND

    @property
    def count(self) -> int:
        """Return the number of durations."""
        return self._flush_buffer().get_total_count()

    @property
    def sum_seconds(self) -> float:
        """Return the sum of all durations, in seconds."""
        return self._sum_seconds

    def _flush_buffer(self) -> typing.Any:
        """Add the buffered durations to the histogram and return it."""
        if self._histogram is None:
            library = importlib.import_module('hdrh.histogram')
            self._histogram = library.HdrHistogram(
                LOWEST_MICROSECONDS,
                HIGHEST_MICROSECONDS,
                SIGNIFICANT_DIGITS,
            )
        for microseconds in self._buffered_microseconds:
            self._histogram.record_value(microseconds)
        self._buffered_microseconds.clear()
        return self._histogram


class Metrics:
    """All metrics of a process, by name.

    :param role: role of the process, a label on every metric.
    """

    __slots__ = ('_count_by_name', '_gauge_by_name', '_histogram_by_name', '_role')

    def __init__(self, role: str) -> None:
        self._role = role
        self._count_by_name: dict[str, int] = {}
        self._gauge_by_name: dict[str, typing.Callable[[], float]] = {}
        self._histogram_by_name: dict[str, LatencyHistogram] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Increment a counter."""
        self._count_by_name[name] = self._count_by_name.get(name, 0) + amount

    def value(self, name: str) -> int:
        """Return the value of a counter, 0 when it was never incremented."""
        return self._count_by_name.get(name, 0)

    def gauge(self, name: str, read: typing.Callable[[], float]) -> None:
        """Register a function that returns the current value of a gauge."""
        self._gauge_by_name[name] = read

    def latency(self, name: str, seconds: float) -> None:
        """Add a duration to a latency histogram."""
        self._histogram_by_name.setdefault(name, LatencyHistogram()).record(seconds)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text exposition format."""
        lines: list[str] = []
        for name, total in sorted(self._count_by_name.items()):
            lines.extend(self._family(f'{name}_total', 'counter', total))
        for name, read in sorted(self._gauge_by_name.items()):
            lines.extend(self._family(name, 'gauge', read()))
        for name, histogram in sorted(self._histogram_by_name.items()):
            lines.extend(self._summary(f'{PREFIX}{name}_seconds', histogram))
        return ''.join(f'{line}\n' for line in lines).encode()

    def _family(self, name: str, metric_type: str, metric_value: float) -> list[str]:
        full_name = PREFIX + name
        return [
            f'# TYPE {full_name} {metric_type}',
            f'{full_name}{{role="{self._role}"}} {float(metric_value)}',
        ]

    def _summary(self, name: str, histogram: LatencyHistogram) -> list[str]:
        label = f'role="{self._role}"'
        quantiles = [
            f'{name}{{{label},quantile="{fraction}"}} {histogram.quantile(fraction)}'
            for fraction in QUANTILES
        ]
        return [
            f'# TYPE {name} summary',
            *quantiles,
            f'{name}_count{{{label}}} {histogram.count}',
            f'{name}_sum{{{label}}} {histogram.sum_seconds}',
        ]
