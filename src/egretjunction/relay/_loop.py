"""A minimal event loop: sockets, periodic calls, calls from other threads, signals.

It keeps the start of the relay daemons short: after a power loss they must serve again
before callers give up. Importing asyncio and tornado takes 0.4 s on the smallest entry;
``python -m bench.startup`` measures this.
"""

import collections
import selectors
import signal
import socket
import time
import typing

Callback = typing.Callable[[], None]


class _PeriodicCall:
    __slots__ = ('callback', 'due_at', 'interval_seconds')

    def __init__(
        self, interval_seconds: float, callback: Callback, due_at: float
    ) -> None:
        self.interval_seconds = interval_seconds
        self.callback = callback
        self.due_at = due_at


class Loop:
    """Runs callbacks one at a time, in the thread that calls ``run``."""

    __slots__ = (
        '_is_stopped',
        '_periodic_calls',
        '_posted_calls',
        '_selector',
        '_wake_receiver',
        '_wake_sender',
    )

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._posted_calls: collections.deque[Callback] = collections.deque()
        self._periodic_calls: list[_PeriodicCall] = []
        self._is_stopped = False
        wake_receiver, wake_sender = socket.socketpair()
        self._wake_receiver = wake_receiver
        self._wake_sender = wake_sender
        self._wake_receiver.setblocking(False)
        self._wake_sender.setblocking(False)
        self.add_reader(self._wake_receiver, self._drain_wake_socket)

    def add_reader(self, source: socket.socket, callback: Callback) -> None:
        """Call a function whenever a socket is readable."""
        self._selector.register(source, selectors.EVENT_READ, callback)

    def await_writable(self, target: socket.socket, *, is_awaited: bool) -> None:
        """Call a socket's function also when it is writable, or no longer do so.

        :param target: a socket that ``add_reader`` was called with.
        """
        events = selectors.EVENT_READ
        if is_awaited:
            events |= selectors.EVENT_WRITE
        self._selector.modify(target, events, self._selector.get_key(target).data)

    def remove_reader(self, source: socket.socket) -> None:
        """Stop watching a socket."""
        self._selector.unregister(source)

    def every(self, interval_seconds: float, callback: Callback) -> None:
        """Call a function periodically."""
        self._periodic_calls.append(
            _PeriodicCall(
                interval_seconds, callback, time.monotonic() + interval_seconds
            )
        )

    def post(self, callback: Callback) -> None:
        """Schedule a call in the loop's thread; thread-safe."""
        self._posted_calls.append(callback)
        try:
            self._wake_sender.send(b'.')
        except BlockingIOError:  # a full buffer already holds wake-ups for the loop
            return

    def on_signal(self, signal_number: int, callback: Callback) -> None:
        """Call a function in the loop's thread when the process receives a signal."""
        signal.signal(signal_number, lambda _signal_number, _frame: self.post(callback))

    def stop(self) -> None:
        """Make ``run`` return."""
        self._is_stopped = True

    def run(self) -> None:
        """Run callbacks until ``stop`` is called."""
        while not self._is_stopped:
            for key, _ in self._selector.select(self._seconds_until_due()):
                key.data()
            while self._posted_calls:
                self._posted_calls.popleft()()
            self._run_due_calls()

    def _seconds_until_due(self) -> float | None:
        if not self._periodic_calls:
            return None
        next_due_at = min(periodic.due_at for periodic in self._periodic_calls)
        return max(float(0), next_due_at - time.monotonic())

    def _run_due_calls(self) -> None:
        now = time.monotonic()
        for periodic in self._periodic_calls:
            if now >= periodic.due_at:
                periodic.due_at = now + periodic.interval_seconds
                periodic.callback()

    def _drain_wake_socket(self) -> None:
        try:
            self._wake_receiver.recv(1024)
        except BlockingIOError:
            return
