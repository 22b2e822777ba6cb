"""Measures what clients see while agents are away.

``PYTHONPATH=platform python -m tests.relay.absences`` prints a table. Two of three agents
end one after the other and come back after a time; a third one, which ends together with
its server and never comes back, shows how long flows that are gone wait for a reset.
"""

import argparse
import contextlib
import pathlib
import signal
import sys
import tempfile
import time

from tests.platform import store_standin
from tests.relay import serving

FLOWS = 40
ABSENT = (2, 3)
GONE = 4
AWAY_SECONDS = (0.3, 1.0, 2.0, 3.0, 5.0, 10.0)
SETTLE_SECONDS = 3.0
WAYS = ('planned', 'killed', 'paused')
CONDITIONS = ('untouched', 'entry restarted', 'store away')


class Cell:
    """One cell of the table.

    :param way: how the agents go away, one of ``WAYS``.
    :param seconds: for how long.
    :param condition: what else happens meanwhile, one of ``CONDITIONS``.
    """

    def __init__(self, way, seconds, condition):
        self.way = way
        self.seconds = seconds
        self.condition = condition

    def play(self):
        """Return resets of living flows, flows, longest silence, seconds to a reset."""
        with contextlib.ExitStack() as stack:
            folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
            state, store = stack.enter_context(store_standin.running())
            state.write({'op/config': serving.configuration()}, [])
            system = serving.System(folder, store, 2, (*ABSENT, GONE))
            stack.callback(system.stop)
            system.start()
            system.run(SETTLE_SECONDS)
            system.clients.open(FLOWS)
            system.run(SETTLE_SECONDS)
            flows = system.clients.ports_of(GONE) ^ self._absent_ports(system)
            system.clients.longest_silence = 0.0
            for number in ABSENT:
                self._take_away(system, state, number)
            silence = system.clients.longest_silence
            resets = len(system.clients.broken)
            return resets, len(flows), silence, _seconds_to_reset(system)

    def _absent_ports(self, system):
        return {port for number in ABSENT for port in system.clients.ports_of(number)}

    def _take_away(self, system, state, number):
        agent = system.agent_by_number[number]
        if self.condition == 'store away':
            state.status = 503
        if self.way == 'planned':
            system.end(agent)
        elif self.way == 'killed':
            agent.popen.kill()
            agent.popen.wait()
        else:
            agent.popen.send_signal(signal.SIGSTOP)
        if self.condition == 'entry restarted':
            system.entries[0].popen.kill()
            system.entries[0].popen.wait()
            system.entries[0].start()
        system.run(self.seconds)
        state.status = 0
        if self.way == 'paused':
            agent.popen.send_signal(signal.SIGCONT)
        else:
            agent.start()
        system.run(SETTLE_SECONDS)


def _seconds_to_reset(system):
    """Return how long the flows of a machine that is lost wait for their resets."""
    lost_ports = system.clients.ports_of(GONE)
    system.agent_by_number[GONE].popen.kill()
    system.crash(GONE)
    lost_at = time.monotonic()
    while system.clients.ports_of(GONE) & lost_ports:
        if time.monotonic() - lost_at > serving.START_SECONDS:
            return float('inf')
        system.run(0.05)
    return time.monotonic() - lost_at


def main():
    """Play the cells given on the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--ways', nargs='+', default=WAYS, choices=WAYS)
    parser.add_argument('--seconds', nargs='+', type=float, default=AWAY_SECONDS)
    parser.add_argument(
        '--conditions', nargs='+', default=CONDITIONS, choices=CONDITIONS
    )
    options = parser.parse_args()
    sys.stdout.write(
        '| way | away, s | meanwhile | flows | reset | longest silence, s '
    )
    sys.stdout.write('| lost flows reset after, s |\n|---|---|---|---|---|---|---|\n')
    for way in options.ways:
        for condition in options.conditions:
            for seconds in options.seconds:
                resets, flows, silence, lost = Cell(way, seconds, condition).play()
                sys.stdout.write(f'| {way} | {seconds:g} | {condition} | {flows} ')
                sys.stdout.write(f'| {resets} | {silence:.1f} | {lost:.1f} |\n')
                sys.stdout.flush()


if __name__ == '__main__':
    main()
