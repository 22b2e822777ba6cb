"""Planned absences of agents: a process ends, and its backend server goes on."""

import math

from egretjunction.wire import relaying


class Absence:
    """Whether an agent is away for a planned restart, as far as an entry knows.

    A process that stops says so in its status and in its listing. The absence ends with
    the first status of the agent's next process, or at a time limit.

    :param listed_process: number of the process whose stop the listing tells of, 0 if
        there is none.
    """

    __slots__ = ('_process', '_until', 'listed_process')

    def __init__(self, listed_process: int = 0) -> None:
        self.listed_process = listed_process
        self._process = 0
        self._until = -math.inf

    def begin(self, process: int, until: float) -> bool:
        """Record that a process stops; saying so again does not prolong the absence.

        :param process: number of the process, as in its status.
        :param until: time at which the flows of its server are too old to count.
        :return: whether the stop was not known.
        """
        is_new = process != self._process
        if is_new:
            self._process = process
            self._until = until
        return is_new

    def record_status(self, status: relaying.Status) -> None:
        """Record a status, which ends the absence unless it is of the same stop."""
        has_left_nothing = (
            status.state is relaying.State.GONE and not status.leaves_flows
        )
        if status.process != self._process or has_left_nothing:
            self._until = -math.inf

    def is_lasting(self, now: float) -> bool:
        """Tell whether the agent is away and its server may hold flows."""
        return now <= self._until
