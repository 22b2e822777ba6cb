"""Heartbeats that were held up on their way, with real processes."""

import signal
import threading
import time

import pytest

from tests.relay import test_daemons as daemons

FROZEN_SECONDS = 0.9  # nearly two intervals; calls wait for 1 s
PING_SECONDS = 0.6

running = daemons.running


def test_late_heartbeat_read_first_after_a_freeze_replaces_no_living_server(running):
    """Guards against a pause of the agent that counts as silence of its server."""
    system, _ = running
    for sequence in (2, 3, 4):
        assert system.announce(sequence) == 200
        time.sleep(0.1)
    statuses = []
    sender = threading.Thread(
        target=lambda: statuses.append(system.announce(8, born=2000))
    )
    system.processes['agent'].send_signal(signal.SIGSTOP)
    sender.start()
    time.sleep(FROZEN_SECONDS)
    system.processes['agent'].send_signal(signal.SIGCONT)
    sender.join()
    assert statuses == [409]
    assert system.announce(5) == 200


@pytest.mark.parametrize('late_born', [1000, 900])
def test_late_ready_heartbeat_after_a_restart_brings_no_flow_to_a_draining_server(
    running, late_born
):
    """Guards against new flows at a server that drains, after its agent's restart.

    :param late_born: start of the draining server itself, which sent the heartbeat
        before it drained, or of an earlier incarnation.
    """
    system, _ = running
    assert system.announce(9, 'draining') == 200
    system.processes['agent'].terminate()
    assert system.processes['agent'].wait(daemons.WAIT_SECONDS) == 0
    system.start('agent')
    daemons._wait_until(lambda: system.announce(5, born=late_born) == 200)
    time.sleep(PING_SECONDS)
    system.send(4004, daemons.SYN, 100)
    system.server_socket.settimeout(PING_SECONDS)
    with pytest.raises(TimeoutError):
        system.server_socket.recv(2048)
