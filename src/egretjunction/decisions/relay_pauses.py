"""For how long an entry could not have read the answers of agents.

The silence of an agent counts only while the entry reads: a paused process, or one
that does not read all that has arrived, would take living agents for dead and reset
their flows. An overloaded entry whose timers are late still reads between its packets.
If late timers counted as pauses, agents that are gone would never count as dead.
"""

# Longer than the interval of ticks, and than the stalls of a process that exceeds its
# CPU quota: these are short, and all that has arrived is read right after them.
MIN_PAUSE_SECONDS = 0.25


class Pauses:
    """Pauses of an entry, as seen by the moments at which it runs.

    :param now: the time in seconds.
    """

    __slots__ = ('_emptied_at', '_ran_at')

    def __init__(self, now: float) -> None:
        self._ran_at = now
        self._emptied_at = now

    def record_run(self, now: float) -> float:
        """Record that the process runs, before it reads.

        :return: seconds to exclude from the silence of agents.
        """
        paused_seconds = now - self._ran_at
        self._ran_at = now
        if paused_seconds < MIN_PAUSE_SECONDS:
            return 0
        self._emptied_at += paused_seconds
        return paused_seconds

    def record_read(self, now: float, *, is_emptied: bool) -> float:
        """Record that the agents' socket was read.

        :param now: the time in seconds.
        :param is_emptied: whether no datagram is left; else answers may be unread.
        :return: further seconds to exclude from the silence of agents.
        """
        self._ran_at = now
        unread_seconds = 0 if is_emptied else max(float(0), now - self._emptied_at)
        self._emptied_at = now
        return unread_seconds
