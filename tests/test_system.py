"""Tests requests and feeds through the whole system, run as separate processes."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket

import pytest
from aioquic import asyncio as quic_asyncio
from aioquic.h3 import connection as h3
from aioquic.h3 import events as h3_events
from aioquic.quic import configuration as quic_configuration

from egretjunction import verdicts
from egretjunction.quic import caller_flow
from egretjunction.quic import connections
from egretjunction.standins import certificates
from egretjunction.wire import packets
from tests import systems

RAN = verdicts.Verdict.RAN


@pytest.fixture(scope='module')
def system(tmp_path_factory):
    """Return a running system, shared by the tests of this module."""
    with systems.running(tmp_path_factory.mktemp('system')) as started:
        yield started


def _request(system, method, path, service='bookings', **options):
    async def run():
        client = system.caller(service)
        outcome = await client.request(method, path, **options)
        await client.close()
        return outcome

    return asyncio.run(run())


@pytest.mark.parametrize('service', ['bookings', 'surveys'])
def test_request_is_answered_by_a_backend_server_of_its_service(system, service):
    outcome = _request(system, 'POST', '/work?work_ms=10', service, body=b'slab')
    assert (outcome.verdict, outcome.status) == (RAN, 200)
    response = json.loads(outcome.body)
    assert response['server'].startswith(f'{service}-')
    assert response['received'] == len(b'slab')


class _StandardClient(quic_asyncio.QuicConnectionProtocol):
    """HTTP/3 client that uses nothing of this package."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.http = h3.H3Connection(self._quic)
        self.body = b''
        self.done = asyncio.get_running_loop().create_future()

    def quic_event_received(self, event):
        for http_event in self.http.handle_event(event):
            if isinstance(http_event, h3_events.DataReceived):
                self.body += http_event.data
            if getattr(http_event, 'stream_ended', False) and not self.done.done():
                self.done.set_result(None)


def test_standard_http3_client_gets_a_response(system):
    async def run():
        configuration = quic_configuration.QuicConfiguration(
            alpn_protocols=['h3'],
            server_name='bookings',
        )
        configuration.load_verify_locations(str(system.authority_file))
        host, port = system.address_by_service['bookings']
        async with quic_asyncio.connect(
            host,
            port,
            configuration=configuration,
            create_protocol=_StandardClient,
        ) as client:
            stream_id = client._quic.get_next_available_stream_id()
            client.http.send_headers(
                stream_id,
                [
                    (b':method', b'GET'),
                    (b':scheme', b'https'),
                    (b':authority', b'bookings'),
                    (b':path', b'/slots?work_ms=5'),
                ],
                end_stream=True,
            )
            client.transmit()
            await asyncio.wait_for(client.done, systems.TIMEOUT_SECONDS)
            return json.loads(client.body)

    assert asyncio.run(run())['server'].startswith('bookings-')


def test_agent_does_not_hold_a_whole_upload_in_memory(system):
    size = 20_000_000
    agent_pid = system.process_by_name['agent-surveys-1'].pid
    statm = pathlib.Path(f'/proc/{agent_pid}/statm')
    before = int(statm.read_text().split()[1]) * os.sysconf('SC_PAGE_SIZE')
    outcome = _request(
        system,
        'POST',
        '/photos?work_ms=0',
        'surveys',
        body=bytes(size),
        deadline_seconds=300,
    )
    after = int(statm.read_text().split()[1]) * os.sysconf('SC_PAGE_SIZE')
    assert json.loads(outcome.body)['received'] == size
    assert after - before < size / 4


def test_header_invalid_in_http1_is_rejected_as_not_run(system):
    invalid_headers = {'x-strange': 'a\x01b'}
    outcome = _request(system, 'GET', '/slots?work_ms=5', headers=invalid_headers)
    assert outcome.verdict is verdicts.Verdict.NOT_RUN
    assert _request(system, 'GET', '/slots?work_ms=5').status == 200


def test_deadline_during_an_upload_frees_the_slot(system):
    outcome = _request(
        system,
        'POST',
        '/photos?work_ms=10',
        'surveys',
        body=bytes(60_000_000),
        deadline_seconds=1,
    )
    assert outcome.verdict is not verdicts.Verdict.RAN
    systems.wait_until(lambda: not system.backend_stats('surveys-1')['running'])


def test_cancelled_request_frees_its_slot(system):
    async def run():
        client = system.caller('surveys')
        task = asyncio.create_task(
            client.request('POST', '/work?work_ms=30000', deadline_seconds=60),
        )
        while not system.backend_stats('surveys-1')['running']:
            await asyncio.sleep(0.05)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        while system.backend_stats('surveys-1')['running']:
            await asyncio.sleep(0.05)
        await client.close()

    asyncio.run(asyncio.wait_for(run(), systems.TIMEOUT_SECONDS))


def test_running_request_stopped_by_its_deadline_may_have_run(system):
    outcome = _request(
        system,
        'POST',
        '/work?work_ms=60000',
        'surveys',
        deadline_seconds=1.5,
    )
    assert outcome.verdict is verdicts.Verdict.MAY_HAVE_RUN
    systems.wait_until(lambda: not system.backend_stats('surveys-1')['running'])


def test_response_cut_by_the_backend_server_may_have_run(system):
    for server in ('bookings-1', 'bookings-2'):
        system.set_behaviour(server, cut_answers=1)
    outcome = _request(system, 'POST', '/bookings?work_ms=10')
    assert outcome.verdict is verdicts.Verdict.MAY_HAVE_RUN
    assert outcome.attempts == 1
    for server in ('bookings-1', 'bookings-2'):
        system.set_behaviour(server)


def test_idempotent_request_is_retried_after_a_cut_response(system):
    for server in ('bookings-1', 'bookings-2'):
        system.set_behaviour(server, cut_answers=1)
    outcome = _request(system, 'PUT', '/bookings/1?work_ms=10')
    assert (outcome.verdict, outcome.status) == (RAN, 200)
    assert outcome.attempts > 1
    for server in ('bookings-1', 'bookings-2'):
        system.set_behaviour(server)


def test_shed_requests_are_not_run_by_the_backend_server(system):
    async def run():
        clients = [system.caller('surveys') for _ in range(12)]
        outcomes = await asyncio.gather(
            *(
                each.request(
                    'POST',
                    '/work?work_ms=1500',
                    headers={'egretjunction-request-id': f'shed-{number}'},
                    deadline_seconds=3,
                )
                for number, each in enumerate(clients)
            ),
        )
        await asyncio.gather(*(each.close() for each in clients))
        return outcomes

    outcomes = asyncio.run(run())
    stats = system.backend_stats('surveys-1')
    assert stats['most_running'] <= 2
    for number, outcome in enumerate(outcomes):
        ran = stats['runs'].get(f'shed-{number}', 0)
        assert ran <= 1
        if outcome.verdict is verdicts.Verdict.NOT_RUN:
            assert ran == 0
    assert any(each.verdict is verdicts.Verdict.NOT_RUN for each in outcomes)


def _send_datagrams(system, payloads, address=None):
    target = address or system.address_by_service['bookings']
    with socket.socket(type=socket.SOCK_DGRAM) as sender:
        for payload in payloads:
            sender.sendto(payload, target)


def _dropped_packets(system, reason):
    return sum(
        systems.metric_sum(system, entry, f'packets_dropped_{reason}_total')
        for entry in system.data_address_by_entry
        if entry in system.process_by_name
    )


def _check_serving(system):
    outcome = _request(system, 'GET', '/slots?work_ms=5')
    assert outcome.status == 200, (outcome.reason, outcome.headers)


@pytest.mark.parametrize(
    ('reason', 'payload'),
    [
        ('not_quic', b'garbage'),
        ('unknown_owner', b'\x40' + bytes(60)),
        ('first_packet_too_short', b'\xc0\x00\x00\x00\x01\x08' + bytes(30)),
    ],
)
def test_invalid_packets_are_counted_and_do_not_stop_the_service(
    system, reason, payload
):
    before = _dropped_packets(system, reason)
    _send_datagrams(system, [payload] * 20)
    systems.wait_until(lambda: _dropped_packets(system, reason) >= before + 10)
    _check_serving(system)


def test_oversized_and_malformed_datagrams_are_dropped(system):
    entry = system.data_address_by_entry['entry-1']
    before = _dropped_packets(system, 'malformed')
    _send_datagrams(system, [os.urandom(60_000), b'', b'\x00'], entry)
    systems.wait_until(lambda: _dropped_packets(system, 'malformed') > before)
    _check_serving(system)


def test_packet_for_an_unknown_service_is_counted(system):
    unknown_service = ('127.0.0.1', 9)
    envelope = packets.Envelope(
        ('127.0.0.1', 1), unknown_service, b'\xc0' + bytes(1300)
    )
    entry = system.data_address_by_entry['entry-1']
    _send_datagrams(system, [packets.encode(envelope)], entry)
    systems.wait_until(lambda: _dropped_packets(system, 'unknown_service') >= 1)


def test_flow_is_rejected_at_the_address_of_another_service(system):
    async def run():
        client = system.caller('bookings')
        await client.request('GET', '/slots?work_ms=5')
        flow = client._flow
        connection_id = flow._quic._peer_cid.cid
        await client.close()
        return b'\x40' + connection_id + bytes(60)

    short_header_packet = asyncio.run(run())
    before = _dropped_packets(system, 'unknown_owner')
    _send_datagrams(
        system, [short_header_packet] * 5, system.address_by_service['surveys']
    )
    systems.wait_until(lambda: _dropped_packets(system, 'unknown_owner') >= before + 5)


@pytest.mark.parametrize('case', ['another authority', 'another name'])
def test_caller_rejects_an_untrusted_certificate(system, case, tmp_path):
    certificates.write(tmp_path, ['bookings'])
    authority = system.authority_file
    name = 'surveys'
    if case == 'another authority':
        authority, name = tmp_path / 'authority.pem', 'bookings'

    async def run():
        configuration = connections.client_configuration(name, str(authority))
        address = system.address_by_service['bookings']
        with pytest.raises(caller_flow.FlowError) as raised:
            await caller_flow.connect(address, configuration, 3)
        return raised.value.verdict

    assert asyncio.run(run()) is verdicts.Verdict.NOT_RUN


def test_metrics_have_a_role_label_and_quantiles(system):
    text = system.get('agent-bookings-1', '/metrics').decode()
    assert 'egretjunction_flows_taken_total{role="agent"}' in text
    assert 'quantile="0.99"' in text


def test_each_log_event_is_one_line_of_key_value_pairs(system):
    log = (system.folder / 'entry-1.log').read_text()
    for line in log.splitlines():
        assert line.startswith('timestamp='), line
        assert ' event=' in line


def test_paused_entry_does_not_break_a_feed(system):
    async def run():
        client = system.caller('bookings')
        event_ids = []
        async for update in client.feed('/feed'):
            event_ids.append(update.event_id)
            if len(event_ids) == 3:
                system.send_signal('entry-2', signal.SIGSTOP)
            if len(event_ids) == 10:
                system.send_signal('entry-2', signal.SIGCONT)
            if len(event_ids) == 14:
                break
        return event_ids

    event_ids = asyncio.run(asyncio.wait_for(run(), systems.TIMEOUT_SECONDS))
    assert event_ids == list(range(event_ids[0], event_ids[0] + 14))
