"""Event log of the relay daemons: lines of key=value pairs on standard output.

Writing never blocks, and a token bucket per event name limits the lines per second.
Dropped lines are counted: those over the limit appear in a periodic summary, those that
the pipe did not accept in ``unwritten_lines``.
"""

import collections
import os
import threading
import time
import typing

LINES_PER_SECOND = 40.0  # per event name; a busy entry places 50 flows a second
BURST_LINES = 200.0
SUMMARY_SECONDS = 5.0
STANDARD_OUTPUT = 1
_ESCAPES = str.maketrans({'"': r'\"', '\n': r'\n', '\r': r'\r', '\\': r'\\'})
_QUOTED = frozenset(' ="\n\r\t')


class EventLog:
    """Writes the events of one process; thread-safe.

    :param role: role of the process, written on every line.
    :param name: name of the process, written on every line.
    :param descriptor: file descriptor that lines are written to.
    """

    __slots__ = (
        '_bucket_by_event',
        '_descriptor',
        '_dropped_by_event',
        '_lock',
        '_prefix',
        '_summarized_at',
        'unwritten_lines',
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
        self._bucket_by_event: dict[str, tuple[float, float]] = {}
        self._dropped_by_event: collections.Counter[str] = collections.Counter()
        self._summarized_at = time.monotonic()
        self.unwritten_lines = 0
        os.set_blocking(descriptor, False)

    def __call__(self, event: str, **fields: object) -> None:
        """Write an event, or count it as dropped when it is over its limit.

        :param event: name of the event.
        :param fields: fields of the event; None is written as an empty value.
        """
        now = time.monotonic()
        with self._lock:
            if self._take_token(event, now):
                self._write(event, fields)
            else:
                self._dropped_by_event[event] += 1
            if now - self._summarized_at >= SUMMARY_SECONDS:
                self._write_summary(now)

    def _take_token(self, event: str, now: float) -> bool:
        tokens, refilled_at = self._bucket_by_event.get(event, (BURST_LINES, now))
        tokens = min(BURST_LINES, tokens + (now - refilled_at) * LINES_PER_SECOND)
        self._bucket_by_event[event] = (max(float(0), tokens - 1), now)
        return tokens >= 1

    def _write_summary(self, now: float) -> None:
        self._summarized_at = now
        for event, count in self._dropped_by_event.items():
            self._write('lines_left_out', {'of': event, 'count': count})
        self._dropped_by_event.clear()

    def _write(self, event: str, fields: typing.Mapping[str, object]) -> None:
        pairs = ''.join(
            f' {key}={_format_value(value)}' for key, value in fields.items()
        )
        line = f'event={event} {self._prefix} at={time.time():.3f}{pairs}\n'
        try:
            os.write(self._descriptor, line.encode())
        except OSError:  # the pipe is full or closed
            self.unwritten_lines += 1


def _format_value(value: object) -> str:
    text = '' if value is None else str(value)
    if _QUOTED.isdisjoint(text):
        return text
    escaped = text.translate(_ESCAPES)
    return f'"{escaped}"'
