"""Measures the load imbalance between backend servers."""

import collections
import statistics
import typing


class SlotUsage:
    """Slot time that one request used on a backend server.

    :param started: start of the request, in seconds.
    :param server: name of the backend server.
    :param seconds: slot time used, in slot-seconds.
    """

    __slots__ = ('seconds', 'server', 'started')

    def __init__(self, started: float, server: str, seconds: float) -> None:
        self.started = started
        self.server = server
        self.seconds = seconds


class Imbalance:
    """Load imbalance averaged over time windows.

    :param max_over_mean: ratio of the largest load to the mean load; 1 is balanced.
    :param variation: coefficient of variation of the loads; 0 is balanced.
    :param windows: number of windows with any load.
    """

    __slots__ = ('max_over_mean', 'variation', 'windows')

    def __init__(self, max_over_mean: float, variation: float, windows: int) -> None:
        self.max_over_mean = max_over_mean
        self.variation = variation
        self.windows = windows


def measure(
    usages: typing.Iterable[SlotUsage],
    servers_in_window: typing.Callable[[int], typing.Collection[str]],
    window_seconds: float,
) -> Imbalance:
    """Return the imbalance of slot-seconds, counted in the window of their start.

    :param usages: slot usage of each request, in any order.
    :param servers_in_window: returns the backend servers that served during a window,
        including idle ones, by the number of the window.
    :param window_seconds: length of a window.
    :return: the mean over all windows with any load; perfect balance if none has.
    """
    load_by_window: dict[int, collections.Counter[str]] = {}
    for usage in usages:
        window = int(usage.started // window_seconds)
        load = load_by_window.setdefault(window, collections.Counter())
        load[usage.server] += usage.seconds  # type: ignore[assignment]
    ratios = []
    variations = []
    for window, load in load_by_window.items():
        loads = [load[server] for server in servers_in_window(window)]
        mean = statistics.fmean(loads) if loads else 0
        if mean > 0:
            ratios.append(max(loads) / mean)
            variations.append(statistics.pstdev(loads) / mean)
    if not ratios:
        return Imbalance(1, 0, 0)
    return Imbalance(
        statistics.fmean(ratios),
        statistics.fmean(variations),
        len(ratios),
    )
