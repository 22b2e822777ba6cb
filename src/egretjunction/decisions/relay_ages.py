"""Whether an incarnation of a backend server started after a process of its agent.

Such a process has a record of every flow of the server. That it followed another one
before proves nothing: the first heartbeat that it got may have been held up, and the
living server be older than the process.
"""

from egretjunction.decisions import relay_heartbeats

ANSWER_SECONDS = 1.0  # servers wait as long for the answer to a heartbeat
# A supervisor waits at least this long before it starts an ended process again.
MIN_RESTART_SECONDS = 0.1


class Ages:
    """Which incarnations started after this process, as far as known.

    ``listening_since`` is the time since which this process can receive heartbeats.

    :param heartbeat_seconds: interval between heartbeats.
    :param started_at: start of this process, in the clock of all times passed in.
    """

    __slots__ = (
        '_heartbeat_seconds',
        '_listed_born',
        '_started_at',
        '_unsettled_born',
        '_younger_born',
        'listening_since',
    )

    def __init__(self, heartbeat_seconds: float, started_at: float) -> None:
        self._heartbeat_seconds = heartbeat_seconds
        self._started_at = started_at
        self._younger_born: int | None = None
        self._unsettled_born: int | None = None
        self._listed_born: int | None = None
        self.listening_since = started_at

    def is_younger(self, born: int) -> bool:
        """Tell whether an incarnation is known to have started after this process."""
        return born == self._younger_born

    def record_younger(self, born: int) -> None:
        """Record that an incarnation has started after this process."""
        self._younger_born = born

    def discount_pause(self, seconds: float) -> None:
        """Exclude a pause of this process from its life."""
        self._started_at += seconds
        self.listening_since += seconds

    def estimate(
        self, heartbeat: relay_heartbeats.Heartbeat, now: float, age_seconds: float
    ) -> None:
        """Estimate the age of an incarnation from its first heartbeat.

        :param heartbeat: the first heartbeat that this process gets of it.
        :param now: the time in seconds.
        :param age_seconds: time since the server's start by the time of day.
        """
        if self._listed_born and heartbeat.born == self._listed_born:
            return
        longest_seconds = heartbeat.sequence * (
            self._heartbeat_seconds + ANSWER_SECONDS
        )
        is_younger = (
            heartbeat.sequence <= 1 or longest_seconds <= now - self.listening_since
        )
        if is_younger:
            self._younger_born = heartbeat.born
        elif self._has_started_with_agent(heartbeat, now, age_seconds):
            self._unsettled_born = heartbeat.born
            self._settle()

    def settle(self, listed_born: int) -> bool:
        """Record which incarnation the agent's listing named at this process's start.

        The time of day alone does not tell a power loss from a restart of the agent
        after the clock was set back. An earlier process has listed what it followed.

        :param listed_born: start time of that incarnation, 0 if there is none.
        :return: whether an incarnation's age waited for this.
        """
        self._listed_born = listed_born
        if listed_born and self._younger_born == listed_born:
            self._younger_born = None
        return self._settle()

    def _settle(self) -> bool:
        if self._listed_born is None or self._unsettled_born is None:
            return False
        if self._unsettled_born != self._listed_born:
            self._younger_born = self._unsettled_born
        self._unsettled_born = None
        return True

    def _has_started_with_agent(
        self, heartbeat: relay_heartbeats.Heartbeat, now: float, age_seconds: float
    ) -> bool:
        """Tell whether no earlier process seems to have sent the server a packet.

        After a power loss, server and agent start together, and the agent misses the
        server's first heartbeats. An earlier agent process would have had to end, and
        this one to be started, within the server's life. The time of day may have been
        stepped; a server that is no longer cold is therefore never taken for a new one,
        entries that heard of it from an earlier process say so, and so does the listing
        of the agent.
        """
        if not heartbeat.cold_ms:
            return False
        return 0 <= age_seconds <= now - self._started_at + MIN_RESTART_SECONDS
