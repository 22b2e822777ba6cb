"""Counters and latency histograms of one process, as text for a scraper."""

import importlib
import typing

PREFIX = 'egretjunction_'
MICROSECONDS_PER_SECOND = 1_000_000
LOWEST_MICROSECONDS = 1
SECONDS_PER_HOUR = 3_600
HIGHEST_MICROSECONDS = SECONDS_PER_HOUR * MICROSECONDS_PER_SECOND
SIGNIFICANT_DIGITS = 2
MAX_KEPT = 4_096
QUANTILES = (0.5, 0.9, 0.99, 0.999)


class LatencyHistogram:
    """A histogram of durations, in seconds.

    Durations are kept as they are until somebody asks for a figure or there are
    many: the histogram's library is loaded only then, which keeps starts short.
    """

    __slots__ = ('_kept', '_loaded', '_sum_seconds')

    def __init__(self) -> None:
        self._kept: list[int] = []
        self._loaded: typing.Any = None
        self._sum_seconds = float(0)

    def record(self, seconds: float) -> None:
        """Add one duration."""
        microseconds = int(seconds * MICROSECONDS_PER_SECOND)
        bounded = min(max(microseconds, LOWEST_MICROSECONDS), HIGHEST_MICROSECONDS)
        self._kept.append(bounded)
        self._sum_seconds += seconds
        if len(self._kept) >= MAX_KEPT:
            self._histogram()

    def quantile(self, share: float) -> float:
        """Return the duration below which a share of all lie, in seconds."""
        if not self.count:
            return 0
        value = self._histogram().get_value_at_percentile(share * 100)
        return value / MICROSECONDS_PER_SECOND

    @property
    def count(self) -> int:
        """Return how many durations were added."""
        return self._histogram().get_total_count()

    @property
    def sum_seconds(self) -> float:
        """Return the sum of all durations."""
        return self._sum_seconds

    def _histogram(self) -> typing.Any:
        if self._loaded is None:
            histogram = importlib.import_module('hdrh.histogram')
            self._loaded = histogram.HdrHistogram(
                LOWEST_MICROSECONDS,
                HIGHEST_MICROSECONDS,
                SIGNIFICANT_DIGITS,
            )
        for microseconds in self._kept:
            self._loaded.record_value(microseconds)
        self._kept.clear()
        return self._loaded


class Metrics:
    """All figures of one process, by name.

    :param role: the process's role, a label on every figure.
    """

    __slots__ = ('_counts_by_name', '_gauges_by_name', '_latencies_by_name', '_role')

    def __init__(self, role: str) -> None:
        self._role = role
        self._counts_by_name: dict[str, int] = {}
        self._gauges_by_name: dict[str, typing.Callable[[], float]] = {}
        self._latencies_by_name: dict[str, LatencyHistogram] = {}

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
        self._latencies_by_name.setdefault(name, LatencyHistogram()).record(seconds)

    def text(self) -> bytes:
        """Return all figures as text in the exposition format of Prometheus."""
        lines: list[str] = []
        for name, amount in sorted(self._counts_by_name.items()):
            lines.extend(self._family(f'{name}_total', 'counter', amount))
        for name, read in sorted(self._gauges_by_name.items()):
            lines.extend(self._family(name, 'gauge', read()))
        for name, latencies in sorted(self._latencies_by_name.items()):
            lines.extend(self._summary(f'{PREFIX}{name}_seconds', latencies))
        return ''.join(f'{line}\n' for line in lines).encode()

    def _family(self, name: str, kind: str, amount: float) -> list[str]:
        full_name = PREFIX + name
        return [
            f'# TYPE {full_name} {kind}',
            f'{full_name}{{role="{self._role}"}} {float(amount)}',
        ]

    def _summary(self, name: str, latencies: LatencyHistogram) -> list[str]:
        label = f'role="{self._role}"'
        quantiles = [
            f'{name}{{{label},quantile="{share}"}} {latencies.quantile(share)}'
            for share in QUANTILES
        ]
        return [
            f'# TYPE {name} summary',
            *quantiles,
            f'{name}_count{{{label}}} {latencies.count}',
            f'{name}_sum{{{label}}} {latencies.sum_seconds}',
        ]
