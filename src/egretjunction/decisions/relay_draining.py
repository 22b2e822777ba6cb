"""What an entry remembers of a server that drains, beyond a restart of its agent."""

from egretjunction.wire import relaying

# From the first status of an agent's new process that says the server is ready: longer
# than two intervals of heartbeats. One that was held up may have been read first, and
# the living server's next one corrects it.
DOUBT_SECONDS = 3.0


class Draining:
    """The incarnation of an agent's server that was last reported to drain."""

    __slots__ = ('_born', '_process', '_ready_since')

    def __init__(self) -> None:
        self._born = 0
        self._process = 0
        self._ready_since: float | None = None

    def record_status(self, status: relaying.Status, now: float) -> None:
        """Record a status of the agent."""
        if status.state is relaying.State.DRAINING and status.server_born:
            self._born = status.server_born
            self._process = status.process
            self._ready_since = None
        elif status.state is relaying.State.READY:
            is_same_process = status.process == self._process
            if is_same_process or status.server_born > self._born:
                self._born = 0
            if self._ready_since is None:
                self._ready_since = now

    def is_possible(self, now: float) -> bool:
        """Tell whether the server may drain although its agent says it is ready."""
        if not self._born or self._ready_since is None:
            return False
        return now - self._ready_since <= DOUBT_SECONDS
