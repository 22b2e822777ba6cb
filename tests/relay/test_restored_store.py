"""Entry processes while the store is restored from an older copy."""

import contextlib
import json
import time

import pytest

from egretjunction.decisions import relay_eras
from egretjunction.decisions import relay_watching
from egretjunction.wire import relaying
from tests.platform import store_standin
from tests.relay import test_daemons as daemons


@contextlib.contextmanager
def _running(tmp_path, extra_keys=()):
    """Yield an entry and an agent that serve, the store, and a copy without their keys."""
    with daemons.stopped_system(tmp_path) as (system, state):
        state.write(dict(extra_keys), [])
        copy = state.copy()
        system.start('agent')
        system.start('entry')
        system.await_ready()
        yield system, state, copy


@pytest.fixture
def running(tmp_path):
    with _running(tmp_path) as (system, state, _):
        yield system, state


def test_version_with_a_revision_given_out_again_is_adopted(running):
    """Guards against watching on from a revision of the history before a restore."""
    system, state = running
    copy = state.copy()
    known_revision = state.write({'op/config': daemons._configuration(5)}, [])
    system.await_version(5)
    state.status = 503
    state.restore(copy)
    assert state.write({'op/config': daemons._configuration(8)}, []) == known_revision
    state.status = 0
    system.await_version(8)


def test_version_that_a_restore_took_away_is_read_from_a_peer(running):
    """Guards against an old copy of the configuration taken for the newest version."""
    system, state = running
    newer = json.dumps({'version': 8, 'routes': []}).encode()
    with daemons._peer(newer) as (address, _):
        listed = {'domain': 'a', 'address': '127.0.10.8:1', 'figures': address}
        state.write({'egretjunction/entries/e-2': json.dumps(listed).encode()}, [])
        time.sleep(relay_watching.COALESCING_SECONDS + 0.2)
        state.restore(state.copy())
        system.ping_agent(8)
        system.await_version(8)


def test_entry_started_on_an_older_copy_is_not_ready_before_the_newer_version(tmp_path):
    """Guards against requests handled by a version that its peers have passed."""
    with daemons.stopped_system(tmp_path) as (system, state):
        system.start('agent')
        daemons._wait_until(lambda: system.announce(1) == 200)
        system.ping_agent(8)
        system.start('entry')
        system.await_version(3)
        deadline = time.monotonic() + 1
        while time.monotonic() < deadline:
            assert system.get('entry', '/readiness', system.http)[0] == 503
        state.write({'op/config': daemons._configuration(8, daemons.SERVICE)}, [])
        daemons._wait_until(
            lambda: system.get('entry', '/readiness', system.http)[0] == 200
        )
        assert b'"version":8,' in system.get('entry', '/status')[1]


def test_other_content_under_a_known_version_is_adopted_after_a_restore(running):
    """Guards against a version that was lost unconfirmed and hides the confirmed one."""
    system, state = running
    copy = state.copy()
    state.write({'op/config': daemons._configuration(5, daemons.SERVICE)}, [])
    system.await_version(5)
    state.restore(copy)
    state.write({'op/config': daemons._configuration(5)}, [])
    daemons._wait_until(lambda: 'event=configuration_replaced' in system.log('entry'))
    system.send(4011, daemons.SYN, 100)
    assert system.client_socket.recv(2048)[22] == daemons.RST


def test_processes_whose_keys_a_restore_took_away_list_themselves_again(tmp_path):
    with _running(tmp_path) as (system, state, copy):
        keys = {'egretjunction/agents/agent-1', 'egretjunction/entries/entry-1'}
        daemons._wait_until(lambda: keys <= state.item_by_key.keys())
        state.restore(copy)
        daemons._wait_until(lambda: keys <= state.item_by_key.keys())
        system.open(4012)


def _restart_entry_after_restore(tmp_path, between_packets):
    """Restart an entry when the store has lost the agent's key; its flow goes on.

    The client of an open flow goes on sending until its server gets a packet.
    """
    with _running(tmp_path) as (system, state, copy):
        system.open(4013)
        system.send(4013, daemons.ACK, 101, 501, b'x')
        system.server_socket.recv(2048)
        system.answer(4013, daemons.ACK, 501, b'y')
        assert system.client_socket.recv(2048).endswith(b'y')
        system.processes['entry'].kill()
        system.processes['entry'].wait()
        state.restore(copy)
        system.start('entry')
        system.await_version(3)
        system.server_socket.settimeout(0.2)
        received = None
        for sequence in range(2, 42):
            between_packets(system)
            assert system.announce(sequence) == 200
            system.send(4013, daemons.ACK, 102, 502, b'x')
            with contextlib.suppress(TimeoutError):
                received = system.server_socket.recv(2048)
                break
        assert 'event=flow_reset' not in system.log('entry')
        assert received is not None


def test_entry_started_right_after_a_restore_does_not_reset_open_flows(tmp_path):
    """Guards against a listing that lacks living agents taken for complete."""
    _restart_entry_after_restore(tmp_path, lambda _: None)


def test_agent_that_a_refused_entry_pings_is_found_after_a_restore(tmp_path):
    """Guards against an entry that vouches for a key that it cannot read.

    The store refuses another entry, which goes on pinging the agent as listed.
    """
    refused = relaying.encode(relaying.Ping(3, is_vouched=False))
    _restart_entry_after_restore(
        tmp_path,
        lambda system: system.client_socket.sendto(
            refused, (daemons.AGENT_HOST, system.port)
        ),
    )


def test_entry_that_the_store_refuses_does_not_vouch_for_agents(running):
    system, state = running
    daemons._wait_until(
        lambda: b'"can_vouch":true' in system.get('entry', '/status')[1]
    )
    state.status = 503
    daemons._wait_until(
        lambda: b'"can_vouch":false' in system.get('entry', '/status')[1]
    )
    state.status = 0
    daemons._wait_until(
        lambda: b'"can_vouch":true' in system.get('entry', '/status')[1]
    )


def test_agents_are_told_of_lost_keys_by_an_entry_that_does_not_watch(tmp_path):
    """Guards against an agent that new entries never learn of (soak, seed 13)."""
    watcher = b'{"domain": "a", "address": "127.0.10.8:1"}'
    watchers = {
        f'egretjunction/entries/a-{number}': watcher
        for number in range(relay_watching.WATCHERS_PER_DOMAIN)
    }
    with _running(tmp_path, watchers) as (system, state, copy):
        key = 'egretjunction/agents/agent-1'
        daemons._wait_until(lambda: key in state.item_by_key)
        state.restore(copy)
        daemons._wait_until(lambda: key in state.item_by_key)
        assert 'event=store_restored' in system.log('entry')


def test_entry_that_knows_agents_serves_before_an_era_is_settled(tmp_path):
    """Guards against an entry out of rotation while the others are down."""
    with store_standin.running() as (state, address):
        state.write({'op/config': daemons._configuration(3, daemons.SERVICE)}, [])
        system = daemons._System(tmp_path, address)
        with contextlib.closing(system):
            system.start('agent')
            daemons._wait_until(lambda: system.announce(1) == 200)
            key = 'egretjunction/agents/agent-1'
            daemons._wait_until(lambda: key in state.item_by_key)
            started_at = time.monotonic()
            system.start('entry')
            daemons._wait_until(
                lambda: system.get('entry', '/readiness', system.http)[0] == 200
            )
            assert time.monotonic() - started_at < relay_eras.SETTLING_SECONDS
