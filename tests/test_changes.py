"""Planned changes cut nothing, and faults are told apart, in real processes."""

import asyncio
import json
import signal

import pytest

from egretjunction import verdicts
from tests import systems

SERVERS = ('bookings-1', 'bookings-2')


@pytest.fixture
def system(tmp_path):
    """Return a running system of its own for a test that breaks things."""
    with systems.running(tmp_path) as started:
        yield started


async def _collect(customer, count, at=None, action=None):
    """Read updates of a feed and do something after one of them."""
    seen = []
    async for update in customer.feed('/feed'):
        seen.append(update.event_id)
        if len(seen) == at:
            await asyncio.to_thread(action)
        if len(seen) >= count:
            return seen
    return seen


def _check_whole(seen, count):
    assert seen == list(range(seen[0], seen[0] + count))


def _patient(work):
    return asyncio.run(asyncio.wait_for(work, systems.TIMEOUT_SECONDS))


def _server_of(system, request_id):
    """Return the backend server that ran a request, once one does."""
    found = []

    def is_running():
        found.extend(
            server
            for server in SERVERS
            if request_id in system.backend_stats(server)['runs']
        )
        return bool(found)

    systems.wait_until(is_running)
    return found[0]


@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGKILL])
def test_feed_goes_on_when_an_entry_leaves_or_dies(system, number):
    def lose_entry():
        system.send_signal('entry-1', number)
        if number == signal.SIGKILL:
            system.set_fabric(['entry-2'])

    _check_whole(_patient(_collect(system.caller('bookings'), 14, 4, lose_entry)), 14)


def test_drained_agent_finishes_its_work_moves_feeds_and_leaves(system):
    async def run():
        holder = system.caller('bookings')
        worker = system.caller('bookings')
        work = asyncio.create_task(
            worker.request(
                'POST',
                '/bookings?work_ms=4000',
                headers={'egretjunction-request-id': 'long'},
                deadline_seconds=30,
            ),
        )
        leaving = await asyncio.to_thread(_server_of, system, 'long')
        agent = f'agent-{leaving}'
        seen = await _collect(
            holder,
            14,
            3,
            lambda: system.send_signal(agent, signal.SIGTERM),
        )
        outcome = await work
        later = system.caller('bookings')
        after = [
            await later.request('POST', '/bookings?work_ms=5', deadline_seconds=10)
            for _ in range(5)
        ]
        for each in (worker, later):
            await each.close()
        return leaving, seen, outcome, after, holder.connected_count

    leaving, seen, outcome, after, connections = _patient(run())
    assert connections <= 2
    _check_whole(seen, 14)
    assert json.loads(outcome.body)['server'] == leaving
    assert {json.loads(each.body)['server'] for each in after} == set(SERVERS) - {
        leaving
    }
    process = system.process_by_name[f'agent-{leaving}']
    systems.wait_until(lambda: process.poll() is not None)
    assert process.returncode == 0


def test_feed_leaves_a_draining_agent_long_before_it_would_end(system):
    async def run():
        customer = system.caller('bookings')
        seen = []
        process = None
        async for update in customer.feed('/feed'):
            seen.append(update.event_id)
            if process is None:
                holders = [s for s in SERVERS if system.backend_stats(s)['feeds']]
                process = system.process_by_name[f'agent-{holders[0]}']
                process.send_signal(signal.SIGTERM)
            elif process.poll() is not None:
                return seen, customer.connected_count
        return seen, 0

    seen, connections = _patient(run())
    _check_whole(seen, len(seen))
    assert connections == 2


def test_backend_server_that_says_it_drains_gets_no_new_work(system):
    system.set_behaviour('bookings-1', is_draining=True)
    entries = list(system.data_address_by_entry)

    def is_left_out():
        for entry in entries:
            shown = system.status(entry)['agents']['bookings']
            if shown.get('bookings-1', {}).get('state') == 'serving':
                return False
        return True

    systems.wait_until(is_left_out)
    before = sum(system.backend_stats('bookings-1')['runs'].values())

    async def run():
        for _ in range(8):
            customer = system.caller('bookings')
            outcome = await customer.request('POST', '/bookings?work_ms=5')
            assert outcome.status == 200
            await customer.close()

    _patient(run())
    assert sum(system.backend_stats('bookings-1')['runs'].values()) == before


@pytest.mark.parametrize('process', ['agent', 'backend'])
def test_booking_on_a_server_that_dies_is_not_run_twice(system, process):
    async def run():
        customer = system.caller('bookings')
        work = asyncio.create_task(
            customer.request(
                'POST',
                '/bookings?work_ms=2000',
                headers={'egretjunction-request-id': 'once'},
                deadline_seconds=6,
            ),
        )
        server = await asyncio.to_thread(_server_of, system, 'once')
        system.kill(f'{process}-{server}')
        outcome = await work
        await customer.close()
        return server, outcome

    server, outcome = _patient(run())
    assert outcome.verdict is verdicts.Verdict.MAY_HAVE_RUN
    assert outcome.attempts == 1
    (other,) = set(SERVERS) - {server}
    assert 'once' not in system.backend_stats(other)['runs']


@pytest.mark.parametrize('process', ['agent', 'backend'])
def test_reschedule_moves_from_a_server_that_dies(system, process):
    async def run():
        customer = system.caller('bookings')
        work = asyncio.create_task(
            customer.request(
                'PUT',
                '/bookings/1?work_ms=1500',
                headers={'egretjunction-request-id': 'again'},
                deadline_seconds=25,
            ),
        )
        server = await asyncio.to_thread(_server_of, system, 'again')
        system.kill(f'{process}-{server}')
        outcome = await work
        await customer.close()
        return outcome

    outcome = _patient(run())
    shown = (outcome.reason, outcome.attempts)
    assert (outcome.verdict, outcome.status) == (verdicts.Verdict.RAN, 200), shown
    assert outcome.attempts > 1


def test_feed_moves_from_an_agent_that_dies(system):
    def kill_holder():
        server = next(s for s in SERVERS if system.backend_stats(s)['feeds'])
        system.kill(f'agent-{server}')

    _check_whole(_patient(_collect(system.caller('bookings'), 40, 3, kill_holder)), 40)


def test_new_bookings_avoid_a_dead_server_at_once(system):
    system.kill('backend-bookings-1')

    async def run():
        outcomes = []
        for _ in range(8):
            customer = system.caller('bookings')
            outcomes.append(
                await customer.request(
                    'POST', '/bookings?work_ms=5', deadline_seconds=10
                ),
            )
            await customer.close()
        return outcomes

    for outcome in _patient(run()):
        assert outcome.status == 200, outcome.reason


def test_platform_outage_stops_edits_only(system):
    system.kill('platform')

    async def run():
        customer = system.caller('bookings')
        outcome = await customer.request('POST', '/bookings?work_ms=5')
        await customer.close()
        return outcome

    assert _patient(run()).status == 200
    system.start_entry('entry-3', 'domain-1')
    system.wait_until_reachable(['entry-3'])
    system.wait_for_state('entry-3', 'serving')
    assert system.status('entry-3')['generation'] == 1
    system.set_fabric(['entry-3'])
    assert _patient(run()).status == 200


def test_new_entry_without_platform_and_peers_serves_nothing(system):
    system.kill('platform')
    for name in list(system.data_address_by_entry):
        system.kill(name)
    system.start_entry('entry-3', 'domain-1')
    system.wait_until_reachable(['entry-3'])

    async def run():
        customer = system.caller('bookings')
        outcome = await customer.request('GET', '/slots?work_ms=5', deadline_seconds=3)
        await customer.close()
        return outcome

    system.set_fabric(['entry-3'])
    assert _patient(run()).verdict is verdicts.Verdict.NOT_RUN
    assert system.status('entry-3')['state'] == 'learning'


def test_change_is_in_force_everywhere_and_removal_drains(system):
    text = system.document_text()
    fewer = text.replace('backend_servers = bookings-*', 'backend_servers = bookings-2')

    async def run():
        holder = system.caller('bookings')
        feeding = asyncio.create_task(_collect(holder, 24))
        await asyncio.sleep(1)
        change = await systems.apply_document(system, fewer)
        seen = await feeding
        return change, seen

    change, seen = _patient(run())
    assert change.generation == 2
    _check_whole(seen, 24)
    names = [*system.data_address_by_entry, 'agent-bookings-2', 'agent-surveys-1']
    systems.wait_until(
        lambda: all(system.status(name)['generation'] == 2 for name in names),
    )
    process = system.process_by_name['agent-bookings-1']
    systems.wait_until(lambda: process.poll() is not None)


def test_agent_that_was_frozen_past_its_time_comes_back(system):
    system.send_signal('agent-surveys-1', signal.SIGSTOP)

    def state():
        shown = system.status('entry-1')['agents']['surveys']
        return shown.get('surveys-1', {}).get('state')

    systems.wait_until(lambda: state() != 'serving')
    system.send_signal('agent-surveys-1', signal.SIGCONT)
    systems.wait_until(lambda: state() == 'serving')


def test_lossy_reordering_fabric_breaks_nothing(system):
    system.set_fabric(
        system.data_address_by_entry,
        loss=0.05,
        duplication=0.05,
        reordering=0.1,
        delay_seconds=0.002,
        jitter_seconds=0.005,
    )

    async def run():
        customers = [system.caller('bookings') for _ in range(10)]
        outcomes = await asyncio.gather(
            *(
                each.request('POST', '/bookings?work_ms=20', body=bytes(20_000))
                for each in customers
            ),
        )
        for each in customers:
            await each.close()
        return outcomes

    outcomes = _patient(run())
    assert [each.status for each in outcomes] == [200] * 10
    for server in SERVERS:
        assert set(system.backend_stats(server)['runs'].values()) <= {1}
