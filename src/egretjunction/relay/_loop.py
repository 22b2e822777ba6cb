"""A small event loop: sockets, periodic calls, calls from other threads, signals.

Daemons that relay are up again after a power loss before callers give up only if
they import little. On the smallest entry asyncio and tornado take 0.4 s of that;
``python -m bench.startup`` measures it.
"""

import collections
import selectors
import signal
import socket
import time
import typing

Call = typing.Callable[[], None]


class _Periodic:
    __slots__ = ('call', 'due_at', 'seconds')

    def __init__(self, seconds: float, call: Call, due_at: float) -> None:
        self.seconds = seconds
        self.call = call
        self.due_at = due_at


class Loop:
    """Runs calls one at a time, in the thread that calls ``run``."""

    __slots__ = ('_is_stopped', '_periodic', '_posted', '_selector', '_wake', '_woken')

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._posted: collections.deque[Call] = collections.deque()
        self._periodic: list[_Periodic] = []
        self._is_stopped = False
        woken, wake = socket.socketpair()
        self._woken = woken
        self._wake = wake
        self._woken.setblocking(False)
        self._wake.setblocking(False)
        self.add_reader(self._woken, self._drain_wakes)

    def add_reader(self, source: socket.socket, ready: Call) -> None:
        """Call a function whenever a socket can be read."""
        self._selector.register(source, selectors.EVENT_READ, ready)

    def remove_reader(self, source: socket.socket) -> None:
        """Stop watching a socket."""
        self._selector.unregister(source)

    def every(self, seconds: float, call: Call) -> None:
        """Call a function again and again."""
        self._periodic.append(_Periodic(seconds, call, time.monotonic() + seconds))

    def post(self, call: Call) -> None:
        """Call a function soon; any thread may ask for that."""
        self._posted.append(call)
        try:
            self._wake.send(b'.')
        except BlockingIOError:  # the loop has many wake-ups to read already
            return

    def on_signal(self, number: int, call: Call) -> None:
        """Call a function when the process gets a signal."""
        signal.signal(number, lambda _number, _frame: self.post(call))

    def stop(self) -> None:
        """Let ``run`` return."""
        self._is_stopped = True

    def run(self) -> None:
        """Serve until ``stop`` is called."""
        while not self._is_stopped:
            for key, _ in self._selector.select(self._seconds_left()):
                key.data()
            while self._posted:
                self._posted.popleft()()
            self._run_due()

    def _seconds_left(self) -> float | None:
        if not self._periodic:
            return None
        first = min(periodic.due_at for periodic in self._periodic)
        return max(float(0), first - time.monotonic())

    def _run_due(self) -> None:
        now = time.monotonic()
        for periodic in self._periodic:
            if now >= periodic.due_at:
                periodic.due_at = now + periodic.seconds
                periodic.call()

    def _drain_wakes(self) -> None:
        try:
            self._woken.recv(1024)
        except BlockingIOError:
            return
