"""Event lines of the daemons that relay: key=value pairs on standard output.

Writing never blocks and its volume is bounded: each event has a budget of lines a
second; what exceeds it, or does not fit the pipe, is counted and told later.
"""

import collections
import os
import threading
import time
import typing

LINES_PER_SECOND = 40.0  # of one event; a busy entry places 50 flows a second
BURST_LINES = 200.0
SUMMARY_SECONDS = 5.0
STANDARD_OUTPUT = 1
_ESCAPES = str.maketrans({'"': r'\"', '\n': r'\n', '\r': r'\r', '\\': r'\\'})
_QUOTED = frozenset(' ="\n\r\t')


class EventLog:
    """Writes events of one process; any thread may call it.

    :param role: stands on every line.
    :param name: stands on every line.
    :param descriptor: where lines are written.
    """

    __slots__ = (
        '_budget_by_event',
        '_descriptor',
        '_left_out_by_event',
        '_lock',
        '_prefix',
        '_summed_at',
        'unwritten',
    )

    def __init__(
        self,
        role: str,
        name: str,
        descriptor: int = STANDARD_OUTPUT,
    ) -> None:
        self._prefix = f'role={role} name={name}'
        self._descriptor = descriptor
        self._lock = threading.Lock()
        self._budget_by_event: dict[str, tuple[float, float]] = {}
        self._left_out_by_event: collections.Counter[str] = collections.Counter()
        self._summed_at = time.monotonic()
        self.unwritten = 0
        os.set_blocking(descriptor, False)

    def __call__(self, event: str, **fields: object) -> None:
        """Write an event, unless its budget is used up.

        :param event: name of the event.
        :param fields: what is known of it; None stands for an empty value.
        """
        now = time.monotonic()
        with self._lock:
            if self._may_write(event, now):
                self._write(event, fields)
            else:
                self._left_out_by_event[event] += 1
            if now - self._summed_at >= SUMMARY_SECONDS:
                self._sum_up(now)

    def _may_write(self, event: str, now: float) -> bool:
        left, filled_at = self._budget_by_event.get(event, (BURST_LINES, now))
        left = min(BURST_LINES, left + (now - filled_at) * LINES_PER_SECOND)
        self._budget_by_event[event] = (max(float(0), left - 1), now)
        return left >= 1

    def _sum_up(self, now: float) -> None:
        self._summed_at = now
        for event, count in self._left_out_by_event.items():
            self._write('lines_left_out', {'of': event, 'count': count})
        self._left_out_by_event.clear()

    def _write(self, event: str, fields: typing.Mapping[str, object]) -> None:
        pairs = ''.join(f' {key}={_shown(given)}' for key, given in fields.items())
        line = f'event={event} {self._prefix} at={time.time():.3f}{pairs}\n'
        try:
            os.write(self._descriptor, line.encode())
        except OSError:  # the pipe is full or closed; there is no other place to tell
            self.unwritten += 1


def _shown(given: object) -> str:
    text = '' if given is None else str(given)
    if _QUOTED.isdisjoint(text):
        return text
    escaped = text.translate(_ESCAPES)
    return f'"{escaped}"'
