"""A backend crashes for good; later, an entry is stopped and started as planned.

Flows move to another entry, which searches for their backends. These flows live at
other backends; their clients must not get a reset from the system.
"""

import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

import deployment  # noqa: E402

SERVICE = 'dock-link'
BACKENDS = 7
FLOWS = 56
CRASHED = 1  # of 7: a share of 0.14
STABLE_SECONDS = deployment.BOUNDS['stable_window_ms'] / 1000
IS_TROUBLED = os.environ.get('TROUBLE') != '0'


def play(system):
    system.start_store()
    system.write_config(SERVICE)
    entries = [system.add_machine('entry', n, 'poblado') for n in (1, 2)]
    agents = [
        system.add_machine('agent', n, 'poblado', SERVICE) for n in range(1, BACKENDS + 1)
    ]
    system.run(1)
    for number, agent in enumerate(agents, 1):
        system.start_backend(f'i-{number}', agent)
    system.wait_ready()
    system.run(2)
    # Planned: agents are stopped and started in turn (two of seven, a share of 0.29).
    for agent in agents[:2]:
        system.terminate(agent)
        system.run(1.2)
    system.run(3)
    clients = []
    for _ in range(FLOWS):
        clients.append(system.add_client('poblado'))
        system.run(0.05)
    system.run(2)
    if IS_TROUBLED:
        system.crash(f'i-{CRASHED}')
    system.run(STABLE_SECONDS + 3)
    # Planned: an entry is stopped and started; the other one takes over its flows.
    system.terminate(entries[0])
    system.run(12)
    return clients


def judge(system, clients):
    """Return the resets that no living backend of the flow has sent."""
    crashed = {f'i-{CRASHED}'} if IS_TROUBLED else set()
    opened_at_by_server = {
        (name, event['client'][1])
        for name in system.backends
        for event in system.events(name)
        if event['event'] == 'opened'
    }
    answered = [c for c in clients if c.server and c.server not in crashed]
    broken = [
        c
        for c in answered
        if (c.server, c.source[1]) in opened_at_by_server
        and any(is_taken and not is_genuine for _, is_taken, is_genuine in c.resets)
        and not any(
            event['event'] == 'reset_sent' and event['client'][1] == c.source[1]
            for event in system.events(c.server)
        )
    ]
    system.record_events()
    system.record(
        'result', flows_at_living_backends=len(answered), reset_by_the_system=len(broken),
        requests=sum(c.requests for c in clients),
    )
    return answered, broken


def main():
    system = deployment.Deployment(FOLDER / 'record.txt')
    try:
        clients = play(system)
        answered, broken = judge(system, clients)
    finally:
        system.stop()
    if len(answered) < FLOWS // 2:
        return 2
    return 1 if broken else 0


if __name__ == '__main__':
    deployment.exit_with(main)
