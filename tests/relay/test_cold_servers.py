"""Processes with a cold backend server."""

import contextlib
import json
import time

import flow_packets

from tests.platform import store_standin
from tests.relay import test_daemons as daemons

FIGURE, OVER, SLACK = 2, 1.5, 1
BOUND = 4  # FIGURE * OVER + SLACK


def test_cold_server_gets_first_packets_within_the_bound_and_soon_again(tmp_path):
    """Guards against a burst that a server gets while it is slow after its start."""
    document = json.loads(daemons._configuration(3, daemons.SERVICE))
    document['services'] = [{'name': daemons.SERVICE, 'cold_per_s': FIGURE}]
    with store_standin.running() as (state, address):
        state.write(daemons.SETTLED, [])
        state.write({'op/config': json.dumps(document).encode()}, [])
        system = daemons._System(tmp_path, address)
        with contextlib.closing(system):
            system.start('agent', f'cold_over = {OVER}', f'cold_slack = {SLACK}')
            system.start('entry')
            cold = {'cold_remaining_ms': 60_000, 'capacity': 100}
            daemons._wait_until(lambda: system.announce(1, **cold) == 200)
            daemons._wait_until(
                lambda: b'"openings_left":4' in system.get('agent', '/status')[1]
            )
            times = _open_for(system, 2.5)
    most = max(sum(begin <= at <= begin + 1 for at in times) for begin in times)
    assert most <= BOUND
    assert len(times) > BOUND


def _open_for(system, seconds):
    """Open a flow each 20 ms; return when the server got their first packets."""
    times = []
    system.server_socket.settimeout(0.02)
    begun_at = time.monotonic()
    port = 4200
    while time.monotonic() - begun_at < seconds:
        port += 1
        system.send(port, daemons.SYN, 100)
        with contextlib.suppress(TimeoutError):
            raw = system.server_socket.recv(2048)
            times.append(time.monotonic())
            source = flow_packets._HEADER.unpack(raw[: flow_packets.HEADER_BYTES])
            system.answer(source[3], daemons.SYN | daemons.ACK, 500)
    return times
