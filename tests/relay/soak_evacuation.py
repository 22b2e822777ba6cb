"""Evacuations in a soak: the operator who asks for them, and their check from logs."""

import math
import time

from tests.relay import soak_timing

EVACUATED = 'a'
KEY = f'op/evacuate/{EVACUATED}'
REWRITE_SECONDS = 3.0  # after a restore; a missing key may end an evacuation later


def domain_of(role, number):
    """Return the domain of a process; one agent is outside the evacuated one."""
    return 'b' if (role, number) == ('agent', 1) else EVACUATED


class Evacuations:
    """The evacuations that the operator has asked for.

    ``checked`` is the number of pairs of an evacuation and an agent that were checked.
    """

    def __init__(self):
        self.checked = 0
        self._spans = []  # begin and end
        self._restored_at = 0.0
        self._late_rewrites = []

    def toggle(self, state):
        """Begin or end an evacuation, unless the store is away."""
        if state.status or state.is_silent:
            return
        if self._is_in_force():
            self._spans[-1][1] = time.time()
        else:
            self._spans.append([time.time(), math.inf])
        self._write_key(state)

    def begin(self, state):
        """Begin an evacuation unless there is one."""
        if not self._is_in_force():
            self.toggle(state)

    def record_restore(self):
        """Record that the store was restored from a copy."""
        self._restored_at = self._restored_at or time.time()

    def write(self, state):
        """Write the newest state again after a restore."""
        self._write_key(state)
        if 0 < self._restored_at < time.time() - REWRITE_SECONDS:
            self._late_rewrites.append(self._restored_at)
        self._restored_at = 0.0

    def check(self, agents, spans_by_name, entry_name, bound_seconds):
        """Return the flows that an evacuated agent accepted after the bound."""
        violations = []
        for agent in agents:
            if agent.domain != EVACUATED:
                continue
            text = agent.log_path.read_text('utf-8')
            spans = [*spans_by_name[entry_name], *spans_by_name[agent.name]]
            for begun_at, ended_at in self._spans:
                lost_at = [at for at in self._late_rewrites if at > begun_at]
                checked, late = soak_timing.check_evacuation(
                    text, begun_at, min([ended_at, *lost_at]), spans, bound_seconds
                )
                self.checked += checked
                violations += [(agent.name, 'evacuated', at) for at in late]
        return violations

    def _is_in_force(self):
        return bool(self._spans) and self._spans[-1][1] == math.inf

    def _write_key(self, state):
        if self._is_in_force():
            state.write({KEY: b'{}'}, [])
        else:
            state.write({}, [KEY])
