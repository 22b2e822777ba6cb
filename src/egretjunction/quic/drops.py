"""Counts dropped packets by reason and logs the first few per reason."""

import collections

from egretjunction import addresses
from egretjunction import logs
from egretjunction import metrics

MAX_LOGGED_PER_REASON = 5


class DropCounter:
    """Counts and logs the dropped packets of one process.

    :param process_metrics: holds one counter per reason.
    """

    __slots__ = ('_count_by_reason', '_metrics')

    def __init__(self, process_metrics: metrics.Metrics) -> None:
        self._metrics = process_metrics
        self._count_by_reason: collections.Counter[str] = collections.Counter()

    def record(self, reason: str, sender: tuple[str, int], detail: str) -> None:
        """Count a dropped packet, and log it if its reason has few log lines so far.

        :param reason: short name, which is part of the counter's name.
        :param sender: address that the packet came from.
        :param detail: additional text for the log line.
        """
        self._metrics.count(f'packets_dropped_{reason}')
        self._count_by_reason[reason] += 1
        if self._count_by_reason[reason] <= MAX_LOGGED_PER_REASON:
            logs.get().warning(
                'packet_dropped',
                reason=reason,
                sender=str(addresses.Address(*sender)),
                detail=detail,
            )
