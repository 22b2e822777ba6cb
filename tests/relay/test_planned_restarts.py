"""Open flows while their agent is restarted as planned, with real processes."""

import contextlib
import time

from egretjunction import store
from egretjunction.relay import listings
from tests.relay import test_daemons as daemons

AWAY_SECONDS = 3.0  # twice as long as the silence after which an agent counts as dead
RESEND_SECONDS = 0.3
ANSWER_SECONDS = 4.0
PORT = 4100

running = daemons.running


def _open_flow(system):
    system.open(PORT)
    system.send(PORT, daemons.ACK, 101, 501, b'x')
    system.server_socket.recv(2048)
    answer = system.answer(PORT, daemons.ACK, 501, b'answer')
    assert system.client_socket.recv(2048) == answer


def _stop(system, role):
    system.processes[role].terminate()
    assert system.processes[role].wait(daemons.WAIT_SECONDS) == 0


def _retransmit(system, seconds):
    """Send the client's next packet at intervals; return the first packet it gets."""
    system.client_socket.settimeout(RESEND_SECONDS)
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        system.send(PORT, daemons.ACK, 102, 507, b'again')
        with contextlib.suppress(TimeoutError):
            return system.client_socket.recv(2048)
    return None


def _assert_flow_outlasts_absence(system):
    """Check that nothing resets the flow until the agent's next process takes it over."""
    assert _retransmit(system, AWAY_SECONDS) is None
    system.start('agent')
    daemons._wait_until(lambda: system.announce(50) == 200)
    system.server_socket.settimeout(RESEND_SECONDS)
    deadline = time.monotonic() + ANSWER_SECONDS
    while time.monotonic() < deadline:
        system.send(PORT, daemons.ACK, 102, 507, b'again')
        with contextlib.suppress(TimeoutError):
            assert system.server_socket.recv(2048).endswith(b'again')
            break
    answer = system.answer(PORT, daemons.ACK, 507, b'second')
    assert _retransmit(system, ANSWER_SECONDS) == answer


def test_flow_outlasts_its_agents_planned_absence(running):
    """Guards against the reset of living flows when a restart takes over 1.5 s."""
    system, _ = running
    _open_flow(system)
    _stop(system, 'agent')
    _assert_flow_outlasts_absence(system)


def test_flow_outlasts_a_restart_of_its_agent_and_of_the_entry_meanwhile(running):
    """Guards against an entry that was never told of the planned stop."""
    system, _ = running
    _open_flow(system)
    _stop(system, 'agent')
    system.processes['entry'].kill()
    system.processes['entry'].wait()
    system.start('entry')
    daemons._wait_until(lambda: 'members_listed' in system.log('entry'))
    _assert_flow_outlasts_absence(system)


def test_flow_outlasts_a_planned_restart_while_the_store_is_away(running):
    system, store_state = running
    _open_flow(system)
    store_state.status = 503
    _stop(system, 'agent')
    _assert_flow_outlasts_absence(system)


def test_stopping_agent_that_is_listed_again_still_lists_its_stop(running):
    """Guards against flows that are reset by entries which start after the stop.

    A restored store had lost the agent's key. Seen in the soak, seed 436.
    """
    system, store_state = running
    _open_flow(system)
    system.send(PORT, daemons.ACK, 102, 507, b'unanswered')
    system.server_socket.recv(2048)
    system.processes['agent'].terminate()
    daemons._wait_until(lambda: 'event=agent_stop_listed' in system.log('agent'))
    key = f'{listings.AGENTS_PREFIX}agent-1'
    store_state.write({}, [key])
    daemons._wait_until(lambda: key in store_state.item_by_key)
    data = store_state.data_of(key)
    assert listings.read_agent(store.Item(key, data, 1)).stopped_process


def test_flow_of_a_server_that_left_is_reset_although_its_agent_was_stopped(running):
    """Guards against clients that wait for an agent that has nothing left to do."""
    system, _ = running
    _open_flow(system)
    assert system.leave() == 200
    _stop(system, 'agent')
    reset = _retransmit(system, AWAY_SECONDS)
    assert reset is not None
    assert reset[22] == daemons.RST
