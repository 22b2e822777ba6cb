"""The users' two measures: imbalance between backend servers, broken flows."""

import collections
import statistics
import typing


class SlotUsage:
    """Slot time that one request took on a backend server.

    :param started: when it began, in seconds.
    :param server: name of the backend server.
    :param seconds: slot-seconds.
    """

    __slots__ = ('seconds', 'server', 'started')

    def __init__(self, started: float, server: str, seconds: float) -> None:
        self.started = started
        self.server = server
        self.seconds = seconds


class Imbalance:
    """Imbalance averaged over windows.

    :param max_over_mean: largest load over mean load; 1 is perfect.
    :param variation: coefficient of variation of the loads; 0 is perfect.
    :param windows: number of windows with work.
    """

    __slots__ = ('max_over_mean', 'variation', 'windows')

    def __init__(self, max_over_mean: float, variation: float, windows: int) -> None:
        self.max_over_mean = max_over_mean
        self.variation = variation
        self.windows = windows


def measure(
    done: typing.Iterable[SlotUsage],
    servers_in: typing.Callable[[int], typing.Collection[str]],
    window_seconds: float,
) -> Imbalance:
    """Return the imbalance of slot-seconds started per window.

    :param done: the work, in any order.
    :param servers_in: returns the backend servers that served during a window,
        given its number, also those that got no work.
    :param window_seconds: length of a window.
    """
    load_by_window: dict[int, collections.Counter[str]] = {}
    for work in done:
        window = int(work.started // window_seconds)
        load = load_by_window.setdefault(window, collections.Counter())
        load[work.server] += work.seconds  # type: ignore[assignment]
    ratios = []
    variations = []
    for window, load in load_by_window.items():
        loads = [load[server] for server in servers_in(window)]
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
