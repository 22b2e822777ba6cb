"""Evacuations read from the store, and in force at entry and agent processes."""

import time

import operator_config
import pytest

from egretjunction import store
from egretjunction.relay import _evacuations
from egretjunction.wire import relaying
from tests.relay import test_daemons as daemons

BOUND_SECONDS = 5.0  # from the write of the key until the evacuation is in force
KEY = 'op/evacuate/a'


class _Loop:
    """Runs posted calls at once."""

    def post(self, callback):
        callback()


class _Reading:
    """A reader whose readings and events are kept."""

    def __init__(self):
        self.readings = []
        self.events = []
        self.reader = _evacuations.Reader(
            operator_config.read_evacuation,
            _Loop(),
            self.readings.append,
            self.readings.append,
            lambda event, **fields: self.events.append((event, fields['key'])),
        )

    def list(self, **data_by_name):
        """Read a listing of evacuation keys; return the reading."""
        items = [
            store.Item(f'op/evacuate/{name}', data, 5, 1)
            for name, data in data_by_name.items()
        ]
        self.reader.read(store.Listing([*items, store.Item('op/config', b'', 1)], 9, 1))
        return self.readings[-1]


def test_listing_is_read_with_era_and_revision():
    reading = _Reading().list(a=b'{}', b=b'{}')
    assert (reading.written, reading.era, reading.revision) == ({'a', 'b'}, 1, 9)


def test_malformed_key_or_value_is_logged_once_and_has_no_other_effect():
    """Guards against an evacuation by a typing error, and against a line per listing."""
    reading = _Reading()
    for _ in range(3):
        result = reading.list(**{'a': b'[]', 'b/c': b'{}', '': b'{}'})
        assert (result.written, result.malformed) == (set(), {'a'})
    assert reading.events == [
        ('evacuation_malformed', f'op/evacuate/{name}') for name in ('a', 'b/c', '')
    ]


def test_changes_of_other_keys_are_ignored():
    reading = _Reading()
    others = [store.Item('op/other', b'x', 4, 1)]
    reading.reader.read(store.Changes(others, ['op/config', KEY], 9, 1))
    assert not reading.readings[-1].written
    assert reading.readings[-1].deleted == {'a'}
    assert not reading.events


def _evacuated(system, role):
    status = system.get(role, '/status')[1]
    return b'"evacuated_domains":["a"]' in status


def _is_first_packet_reset(system, port):
    system.send(port, daemons.SYN, 100)
    return system.client_socket.recv(2048)[22] == daemons.RST


def test_evacuation_takes_effect_in_time_and_ends(tmp_path):
    with daemons.running_system(tmp_path) as (system, state):
        system.open(4101)
        system.send(4101, daemons.ACK, 101, 501, b'x')
        assert system.server_socket.recv(2048).endswith(b'x')
        written_at = time.monotonic()
        state.write({KEY: b'{}', 'op/other': b'not for entries'}, [])
        for role in ('entry', 'agent'):
            daemons._wait_until(lambda role=role: _evacuated(system, role))
        assert time.monotonic() - written_at < BOUND_SECONDS
        assert _is_first_packet_reset(system, 4102)
        assert (
            b'domains_evacuated{role="entry"} 1' in system.get('entry', '/metrics')[1]
        )
        system.send(4101, daemons.ACK, 102, 502, b'y')
        assert system.server_socket.recv(2048).endswith(b'y')
        state.write({}, [KEY])
        for role in ('entry', 'agent'):
            daemons._wait_until(lambda role=role: not _evacuated(system, role))
        daemons._wait_until(lambda: not _member_evacuated(system))
        system.open(4103)
        for role in ('entry', 'agent'):
            for event in ('evacuation_started', 'evacuation_ended'):
                assert system.log(role).count(f'event={event} ') == 1


def _member_evacuated(system):
    return b'"evacuated":true' in system.get('entry', '/status')[1]


def test_evacuation_taken_back_and_asked_again_within_one_watch_is_in_force(tmp_path):
    """Guards against a deletion applied after the write that followed it."""
    with daemons.running_system(tmp_path) as (system, state):
        state.write({KEY: b'{}'}, [])
        daemons._wait_until(lambda: _evacuated(system, 'agent'))
        state.write({}, [KEY])
        state.write({KEY: b'{}'}, [])
        time.sleep(0.5)
        assert _evacuated(system, 'entry')
        assert _evacuated(system, 'agent')


def test_evacuation_stays_in_force_while_the_store_is_lost(tmp_path):
    """Guards against an end by loss of the store, and a restarted agent that serves."""
    with daemons.running_system(tmp_path) as (system, state):
        state.write({KEY: b'{}'}, [])
        daemons._wait_until(lambda: _evacuated(system, 'agent'))
        state.status = 503
        system.processes['agent'].kill()
        system.processes['agent'].wait()
        system.start('agent')
        daemons._wait_until(lambda: system.announce(2) == 200)
        daemons._wait_until(lambda: _evacuated(system, 'agent'))
        assert _evacuated(system, 'entry')
        assert _is_first_packet_reset(system, 4104)


def test_evacuation_takes_effect_in_time_with_a_slow_store(tmp_path):
    with daemons.running_system(tmp_path) as (system, state):
        state.before_response = lambda _path: time.sleep(0.3)
        written_at = time.monotonic()
        state.write({KEY: b'{}'}, [])
        daemons._wait_until(lambda: _evacuated(system, 'agent'))
        assert time.monotonic() - written_at < BOUND_SECONDS


def test_end_that_no_watch_reports_is_read_from_the_next_listing(tmp_path):
    """Guards against an evacuation kept after the history of its key is gone."""
    with daemons.running_system(tmp_path) as (system, state):
        state.write({KEY: b'{}'}, [])
        daemons._wait_until(lambda: _evacuated(system, 'agent'))
        state.status = 503
        daemons._wait_until(lambda: 'call="watch op/"' in system.log('entry'))
        with state.changed:
            state.item_by_key.pop(KEY)
            state.revision += 5
            state.oldest_revision = state.revision
        state.status = 0
        daemons._wait_until(lambda: not _evacuated(system, 'agent'))
        assert 'event=history_gone' in system.log('entry')


def test_entry_restarted_while_the_store_is_lost_is_not_ready(tmp_path):
    with daemons.running_system(tmp_path) as (system, state):
        state.write({KEY: b'{}'}, [])
        daemons._wait_until(lambda: _evacuated(system, 'agent'))
        state.status = 503
        system.processes['entry'].kill()
        system.processes['entry'].wait()
        system.start('entry')
        daemons._wait_until(
            lambda: b'"ready":false' in system.get('entry', '/status')[1]
        )
        until = time.monotonic() + 1
        while time.monotonic() < until:
            assert system.get('entry', '/readiness', system.http)[0] == 503
        state.status = 0
        daemons._wait_until(lambda: _evacuated(system, 'entry'))
        assert _is_first_packet_reset(system, 4105)


def test_entry_that_cannot_read_the_store_offers_nothing_to_an_evacuated_agent(
    tmp_path,
):
    """Guards against an entry whose watch is silent, while others know."""
    with daemons.running_system(tmp_path) as (system, state):
        state.is_silent = True
        ping = relaying.Ping(
            3, is_evacuated=True, evacuation_era=1, evacuation_revision=99
        )
        address = (daemons.AGENT_HOST, system.port)
        system.client_socket.sendto(relaying.encode(ping), address)
        system.client_socket.recv(2048)
        daemons._wait_until(lambda: _member_evacuated(system))
        assert not _evacuated(system, 'entry')
        assert _is_first_packet_reset(system, 4106)


@pytest.mark.parametrize('is_rewritten', [True, False])
def test_evacuation_that_a_restore_took_away(tmp_path, is_rewritten):
    """Guards against first packets before the operators have written the key again."""
    with daemons.running_system(tmp_path) as (system, state):
        copy = state.copy()
        state.write({KEY: b'{}'}, [])
        daemons._wait_until(lambda: _evacuated(system, 'agent'))
        state.restore(copy)
        restored_at = time.monotonic()
        daemons._wait_until(lambda: 'event=store_restored' in system.log('entry'))
        assert _evacuated(system, 'entry')
        if is_rewritten:
            state.write({KEY: b'{}'}, [])
            time.sleep(5)
            assert _evacuated(system, 'entry')
            assert _evacuated(system, 'agent')
            assert 'event=evacuation_ended' not in system.log('entry')
        else:
            daemons._wait_until(lambda: not _evacuated(system, 'agent'))
            assert time.monotonic() - restored_at > 3
            assert 'source=settled_era' in system.log('entry')
