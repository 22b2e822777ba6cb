"""Planned changes and faults of a whole system that runs as separate processes."""

import asyncio
import json
import signal
import time

import pytest

from egretjunction import verdicts
from tests import systems

SERVERS = ('bookings-1', 'bookings-2')
IN_FORCE_SECONDS = 10  # the stated target


@pytest.fixture
def system(tmp_path):
    """Start a system for one test, which may stop or kill its processes."""
    with systems.running(tmp_path) as started:
        yield started


async def _collect_event_ids(client, count, at=None, action=None):
    """Return the ids of the first ``count`` updates of a feed.

    Calls ``action`` in a thread after update number ``at``.
    """
    event_ids = []
    async for update in client.feed('/feed'):
        event_ids.append(update.event_id)
        if len(event_ids) == at:
            await asyncio.to_thread(action)
        if len(event_ids) >= count:
            return event_ids
    return event_ids


def _assert_no_gaps(event_ids, count):
    assert event_ids == list(range(event_ids[0], event_ids[0] + count))


def _run_with_timeout(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, systems.TIMEOUT_SECONDS))


def _server_of(system, request_id):
    """Wait until a backend server runs a request and return its name."""
    running_servers = []

    def has_started():
        running_servers.extend(
            server
            for server in SERVERS
            if request_id in system.backend_stats(server)['runs']
        )
        return bool(running_servers)

    systems.wait_until(has_started)
    return running_servers[0]


@pytest.mark.parametrize('signal_number', [signal.SIGTERM, signal.SIGKILL])
def test_feed_continues_when_an_entry_drains_or_is_killed(system, signal_number):
    def stop_entry():
        system.send_signal('entry-1', signal_number)
        if signal_number == signal.SIGKILL:
            system.set_fabric(['entry-2'])

    _assert_no_gaps(
        _run_with_timeout(
            _collect_event_ids(system.caller('bookings'), 14, 4, stop_entry)
        ),
        14,
    )


def test_drained_agent_finishes_requests_moves_feeds_and_exits(system):
    async def run():
        feed_client = system.caller('bookings')
        booking_client = system.caller('bookings')
        request_task = asyncio.create_task(
            booking_client.request(
                'POST',
                '/bookings?work_ms=4000',
                headers={'egretjunction-request-id': 'long'},
                deadline_seconds=30,
            ),
        )
        drained_server = await asyncio.to_thread(_server_of, system, 'long')
        agent = f'agent-{drained_server}'
        event_ids = await _collect_event_ids(
            feed_client,
            14,
            3,
            lambda: system.send_signal(agent, signal.SIGTERM),
        )
        outcome = await request_task
        new_client = system.caller('bookings')
        new_outcomes = [
            await new_client.request('POST', '/bookings?work_ms=5', deadline_seconds=10)
            for _ in range(5)
        ]
        for each in (booking_client, new_client):
            await each.close()
        return (
            drained_server,
            event_ids,
            outcome,
            new_outcomes,
            feed_client.connected_count,
        )

    drained_server, event_ids, outcome, new_outcomes, connections = _run_with_timeout(
        run()
    )
    assert connections <= 2
    _assert_no_gaps(event_ids, 14)
    assert json.loads(outcome.body)['server'] == drained_server
    assert {json.loads(each.body)['server'] for each in new_outcomes} == set(
        SERVERS
    ) - {drained_server}
    process = system.process_by_name[f'agent-{drained_server}']
    systems.wait_until(lambda: process.poll() is not None)
    assert process.returncode == 0


def test_feed_moves_off_a_draining_agent_before_the_feed_ends(system):
    async def run():
        client = system.caller('bookings')
        event_ids = []
        process = None
        async for update in client.feed('/feed'):
            event_ids.append(update.event_id)
            if process is None:
                feed_servers = [s for s in SERVERS if system.backend_stats(s)['feeds']]
                process = system.process_by_name[f'agent-{feed_servers[0]}']
                process.send_signal(signal.SIGTERM)
            elif process.poll() is not None:
                return event_ids, client.connected_count
        return event_ids, 0

    event_ids, connections = _run_with_timeout(run())
    _assert_no_gaps(event_ids, len(event_ids))
    assert connections == 2


def test_backend_server_that_reports_draining_gets_no_new_requests(system):
    system.set_behaviour('bookings-1', is_draining=True)
    entries = list(system.data_address_by_entry)

    def is_not_serving():
        for entry in entries:
            shown = system.status(entry)['agents']['bookings']
            if shown.get('bookings-1', {}).get('state') == 'serving':
                return False
        return True

    systems.wait_until(is_not_serving)
    before = sum(system.backend_stats('bookings-1')['runs'].values())

    async def run():
        for _ in range(8):
            client = system.caller('bookings')
            outcome = await client.request('POST', '/bookings?work_ms=5')
            assert outcome.status == 200
            await client.close()

    _run_with_timeout(run())
    assert sum(system.backend_stats('bookings-1')['runs'].values()) == before


@pytest.mark.parametrize('process', ['agent', 'backend'])
def test_booking_on_a_killed_server_is_not_run_twice(system, process):
    async def run():
        client = system.caller('bookings')
        request_task = asyncio.create_task(
            client.request(
                'POST',
                '/bookings?work_ms=2000',
                headers={'egretjunction-request-id': 'once'},
                deadline_seconds=6,
            ),
        )
        server = await asyncio.to_thread(_server_of, system, 'once')
        system.kill(f'{process}-{server}')
        outcome = await request_task
        await client.close()
        return server, outcome

    server, outcome = _run_with_timeout(run())
    assert outcome.verdict is verdicts.Verdict.MAY_HAVE_RUN
    assert outcome.attempts == 1
    (other,) = set(SERVERS) - {server}
    assert 'once' not in system.backend_stats(other)['runs']


@pytest.mark.parametrize('process', ['agent', 'backend'])
def test_reschedule_on_a_killed_server_is_retried(system, process):
    async def run():
        client = system.caller('bookings')
        request_task = asyncio.create_task(
            client.request(
                'PUT',
                '/bookings/1?work_ms=1500',
                headers={'egretjunction-request-id': 'again'},
                deadline_seconds=25,
            ),
        )
        server = await asyncio.to_thread(_server_of, system, 'again')
        system.kill(f'{process}-{server}')
        outcome = await request_task
        await client.close()
        return outcome

    outcome = _run_with_timeout(run())
    failure = (outcome.reason, outcome.attempts)
    assert (outcome.verdict, outcome.status) == (verdicts.Verdict.RAN, 200), failure
    assert outcome.attempts > 1


def test_feed_moves_off_a_killed_agent(system):
    def kill_feed_agent():
        server = next(s for s in SERVERS if system.backend_stats(s)['feeds'])
        system.kill(f'agent-{server}')

    _assert_no_gaps(
        _run_with_timeout(
            _collect_event_ids(system.caller('bookings'), 40, 3, kill_feed_agent)
        ),
        40,
    )


def test_new_bookings_avoid_a_killed_server(system):
    system.kill('backend-bookings-1')

    async def run():
        outcomes = []
        for _ in range(8):
            client = system.caller('bookings')
            outcomes.append(
                await client.request(
                    'POST', '/bookings?work_ms=5', deadline_seconds=10
                ),
            )
            await client.close()
        return outcomes

    for outcome in _run_with_timeout(run()):
        assert outcome.status == 200, outcome.reason


def test_platform_outage_affects_neither_requests_nor_new_entries(system):
    system.kill('platform')

    async def run():
        client = system.caller('bookings')
        outcome = await client.request('POST', '/bookings?work_ms=5')
        await client.close()
        return outcome

    assert _run_with_timeout(run()).status == 200
    system.start_entry('entry-3', 'domain-1')
    system.wait_until_reachable(['entry-3'])
    system.wait_for_state('entry-3', 'serving')
    assert system.status('entry-3')['generation'] == 1
    system.set_fabric(['entry-3'])
    assert _run_with_timeout(run()).status == 200


def test_new_entry_without_platform_or_peers_serves_nothing(system):
    system.kill('platform')
    for name in list(system.data_address_by_entry):
        system.kill(name)
    system.start_entry('entry-3', 'domain-1')
    system.wait_until_reachable(['entry-3'])

    async def run():
        client = system.caller('bookings')
        outcome = await client.request('GET', '/slots?work_ms=5', deadline_seconds=3)
        await client.close()
        return outcome

    system.set_fabric(['entry-3'])
    assert _run_with_timeout(run()).verdict is verdicts.Verdict.NOT_RUN
    assert system.status('entry-3')['state'] == 'learning'


def test_change_reaches_all_processes_and_a_removed_server_drains(system):
    text = system.document_text()
    narrowed_text = text.replace(
        'backend_servers = bookings-*', 'backend_servers = bookings-2'
    )

    async def run():
        feed_client = system.caller('bookings')
        feed_task = asyncio.create_task(_collect_event_ids(feed_client, 24))
        await asyncio.sleep(1)
        change = await systems.apply_document(system, narrowed_text)
        event_ids = await feed_task
        return change, event_ids

    change, event_ids = _run_with_timeout(run())
    assert change.generation == 2
    _assert_no_gaps(event_ids, 24)
    process_names = [
        *system.data_address_by_entry,
        'agent-bookings-2',
        'agent-surveys-1',
    ]
    systems.wait_until(
        lambda: all(system.status(name)['generation'] == 2 for name in process_names),
    )
    process = system.process_by_name['agent-bookings-1']
    systems.wait_until(lambda: process.poll() is not None)


def test_change_after_a_restored_platform_is_in_force_everywhere(system):
    """Guards against a confirmed change that processes take for a known one."""
    base = system.document_text()
    process_names = [*system.data_address_by_entry, 'agent-bookings-1']

    def are_at(generation):
        return all(
            system.status(name)['generation'] == generation for name in process_names
        )

    lost_at = time.monotonic()
    lost = base.replace('[service bookings]', '[service bookings]\nqueue_limit = 11')
    asyncio.run(systems.apply_document(system, lost))
    systems.wait_until(lambda: are_at(2))
    system.restore_platform(time.monotonic() - lost_at + 0.1)
    other = base.replace('[service bookings]', '[service bookings]\nqueue_limit = 22')
    change = asyncio.run(systems.apply_document(system, other))
    assert change.generation > 2
    accepted_at = time.monotonic()
    systems.wait_until(lambda: are_at(change.generation))
    assert time.monotonic() - accepted_at < IN_FORCE_SECONDS


def test_agent_paused_past_its_timeout_serves_again(system):
    system.send_signal('agent-surveys-1', signal.SIGSTOP)

    def listed_state():
        shown = system.status('entry-1')['agents']['surveys']
        return shown.get('surveys-1', {}).get('state')

    systems.wait_until(lambda: listed_state() != 'serving')
    system.send_signal('agent-surveys-1', signal.SIGCONT)
    systems.wait_until(lambda: listed_state() == 'serving')


def test_requests_run_once_over_a_lossy_reordering_fabric(system):
    system.set_fabric(
        system.data_address_by_entry,
        loss=0.05,
        duplication=0.05,
        reordering=0.1,
        delay_seconds=0.002,
        jitter_seconds=0.005,
    )

    async def run():
        clients = [system.caller('bookings') for _ in range(10)]
        outcomes = await asyncio.gather(
            *(
                each.request('POST', '/bookings?work_ms=20', body=bytes(20_000))
                for each in clients
            ),
        )
        for each in clients:
            await each.close()
        return outcomes

    outcomes = _run_with_timeout(run())
    assert [each.status for each in outcomes] == [200] * 10
    for server in SERVERS:
        assert set(system.backend_stats(server)['runs'].values()) <= {1}
