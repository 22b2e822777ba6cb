"""Measures what each further member, change, packet or flow costs.

``python -m bench.slopes`` prints a table and writes ``bench/slopes.json``, from
which ``bench.capacity`` computes the table of ``docs/CAPACITY.md``.
"""

import asyncio
import gc
import pathlib
import tempfile
import time
import tracemalloc
import typing

import msgspec
import rich.console
import rich.table
from aioquic.quic import connection as quic

from bench import fitting
from egretjunction import addresses
from egretjunction import document_changes
from egretjunction import member_records
from egretjunction import metrics
from egretjunction.decisions import agent_control
from egretjunction.decisions import configuration
from egretjunction.decisions import document
from egretjunction.decisions import effects
from egretjunction.decisions import entry_control
from egretjunction.decisions import membership
from egretjunction.decisions import ownership
from egretjunction.decisions import routing
from egretjunction.quic import connections
from egretjunction.quic import flow_table
from egretjunction.quic import server_flow
from egretjunction.standins import certificates
from egretjunction.wire import messages
from egretjunction.wire import packets

OUTPUT = pathlib.Path(__file__).with_name('slopes.json')
KEY = b'0123456789abcdef'
MEMBER_COUNTS = (1000, 4000, 8000, 13000)
ENTRIES_PER_AGENT = 1200 / 13000
SERVICE_COUNTS = (100, 400, 800, 1200)
SERVERS_PER_SERVICE = (3, 11, 50, 200)
FLOW_COUNTS = (25, 50, 100, 150)
CALLS_PER_ROUND = 400
SERVICES = 1200
MICROSECONDS_PER_SECOND = 1_000_000
DOMAINS = 12
MAX_HANDSHAKE_ROUND_TRIPS = 20


def _address(number: int) -> addresses.Address:
    high, low = divmod(number, 60_000)
    return addresses.Address(f'10.0.{high // 250}.{high % 250}', 1024 + low)


def _member(
    number: int, kind: member_records.Kind, service: str
) -> member_records.Member:
    prefix = 'entry' if kind is member_records.Kind.ENTRY else 'backend'
    return member_records.Member(
        name=f'{prefix}-{number:05d}.domain-{number % DOMAINS}',
        kind=kind,
        service=service,
        domain=f'domain-{number % DOMAINS}',
        address=_address(number),
        control=_address(number + 100_000),
        incarnation=15_000_000_000 + number,
        sequence=2,
        state=member_records.State.SERVING,
    )


def _control_with_agents(agents: int) -> entry_control.EntryControl:
    """Return the control state of an entry that knows some agents.

    :param agents: number of agents; the number of entries follows from it.
    """
    own_member = _member(0, member_records.Kind.ENTRY, '')
    control = entry_control.EntryControl(own_member, [])
    for number in range(1, max(8, int(agents * ENTRIES_PER_AGENT))):
        control.view.merge(_member(number, member_records.Kind.ENTRY, ''), 0)
    for number in range(agents):
        service = f'service-{number % SERVICES}'
        agent = _member(number, member_records.Kind.AGENT, service)
        control.view.merge(agent, 0)
    return control


def _seconds_per_call(
    function: typing.Callable[[], object], calls: int = CALLS_PER_ROUND
) -> float:
    """Return the processor time of one call, the minimum of five rounds."""
    best = float('inf')
    gc.collect()
    for _ in range(5):
        start = time.process_time()
        for _ in range(calls):
            function()
        best = min(best, (time.process_time() - start) / calls)
    return best


def _message_bytes(effect: object) -> int:
    return len(messages.encode(KEY, effect.message))  # type: ignore[attr-defined]


def measure_members() -> dict[str, fitting.Line]:
    """Measure the control state of an entry against the number of members."""
    view_bytes, announce_us, welcome_bytes, tick_us, delta_us = [], [], [], [], []
    for agent_count in MEMBER_COUNTS:
        gc.collect()
        tracemalloc.start()
        control = _control_with_agents(agent_count)
        view_bytes.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        agent = control.view.members_in([membership.bucket_of(_agent_name(1))])[0]
        announcement = messages.Announce(messages.to_record(agent), 0, 0)
        roster = control.receive(announcement, 1)[0].message.roster
        sealed_message = messages.encode(
            KEY,
            messages.Alive(agent.name, agent.incarnation, agent.sequence, 0, roster),
        )

        def handle_announce(sealed_message=sealed_message, control=control):
            outgoing = control.receive(messages.decode(KEY, sealed_message), 1)
            return [messages.encode(KEY, effect.message) for effect in outgoing]

        announce_us.append(
            _seconds_per_call(handle_announce, 50) * MICROSECONDS_PER_SECOND
        )
        outgoing = control.receive(messages.decode(KEY, sealed_message), 1)
        welcome_bytes.append(float(_message_bytes(outgoing[0])))

        def send_digest(control=control):
            control._digest_at = float('-inf')
            outgoing = control.tick(1)
            return [
                messages.encode(KEY, effect.message)
                for effect in outgoing
                if isinstance(effect, effects.SendTo)
            ]

        tick_us.append(_seconds_per_call(send_digest, 20) * MICROSECONDS_PER_SECOND)
        sequence = iter(range(10, 10_000_000))

        def merge_delta(control=control, agent=agent, sequence=sequence):
            record = messages.to_record(agent.changed(sequence=next(sequence)))
            sealed_message = messages.encode(KEY, messages.Deltas((record,)))
            return control.receive(messages.decode(KEY, sealed_message), 1)

        delta_us.append(_seconds_per_call(merge_delta) * MICROSECONDS_PER_SECOND)
    return {
        'view_bytes': fitting.fit('bytes per member', MEMBER_COUNTS, view_bytes),
        'announce_us': fitting.fit('us per announcement', MEMBER_COUNTS, announce_us),
        'welcome_bytes': fitting.fit('bytes per welcome', MEMBER_COUNTS, welcome_bytes),
        'tick_us': fitting.fit('us per tick with digests', MEMBER_COUNTS, tick_us),
        'delta_us': fitting.fit('us per delta', MEMBER_COUNTS, delta_us),
    }


def _agent_name(number: int) -> str:
    return _member(number, member_records.Kind.AGENT, '').name


def _document_text(services: int) -> str:
    sections = [f'[team team-1]\nkey_sha256 = {"a" * 64}\n']
    for number in range(services):
        sections.append(
            f'[service service-{number}]\nteam = team-1\n'
            f'address = {_address(number)}\nbackend_servers = backend-*\n'
            'feed_paths = /feed*\nlarge_paths = /photos*\nqueue_limit = 16\n',
        )
    return '\n'.join(sections)


def measure_configuration() -> dict[str, fitting.Line]:
    """Measure the document and one change against the number of services."""
    document_bytes, in_force_bytes, snapshot_us, change_us = [], [], [], []
    for services in SERVICE_COUNTS:
        text = _document_text(services)
        document_bytes.append(float(len(text)))
        gc.collect()
        tracemalloc.start()
        in_force = configuration.ActiveConfiguration()
        first_change = _change(1, document.split(text))
        in_force.replace(first_change, text)
        in_force_bytes.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        snapshot_us.append(
            _seconds_per_call(lambda text=text: document.parse(text, 'bench'), 1)
            * MICROSECONDS_PER_SECOND,
        )
        section = in_force.document.sections['service service-1']
        generations = iter(range(2, 1_000_000))

        def apply_change(
            in_force=in_force,
            section=section,
            generations=generations,
        ):
            generation = next(generations)
            changed_section = section.replace('limit = 16', f'limit = {generation}')
            return in_force.apply_changes(
                [_change(generation, {'service service-1': changed_section})]
            )

        change_us.append(_seconds_per_call(apply_change, 2) * MICROSECONDS_PER_SECOND)
    change_bytes = [
        float(len(msgspec.json.encode(_change(1, _sections(count)))))
        for count in (1, 2, 4, 8)
    ]
    return {
        'document_bytes': fitting.fit(
            'bytes per service', SERVICE_COUNTS, document_bytes
        ),
        'in_force_bytes': fitting.fit(
            'bytes per service', SERVICE_COUNTS, in_force_bytes
        ),
        'snapshot_us': fitting.fit('us per snapshot', SERVICE_COUNTS, snapshot_us),
        'change_us': fitting.fit('us per change', SERVICE_COUNTS, change_us),
        'change_bytes': fitting.fit(
            'bytes per changed section', (1, 2, 4, 8), change_bytes
        ),
    }


def _sections(count: int) -> dict[str, str | None]:
    text_by_name = document.split(_document_text(count))
    return {
        name: text for name, text in text_by_name.items() if name.startswith('service')
    }


def _change(
    generation: int,
    sections: typing.Mapping[str, str | None],
) -> document_changes.Change:
    return document_changes.Change(
        generation=generation,
        change_id='0' * 32,
        who='operator',
        team='team-1',
        when='2026-01-01T00:00:00.000+00:00',
        note='a note of usual length for a change',
        sections=dict(sections),
    )


def measure_packets() -> dict[str, fitting.Line]:
    """Measure packet routing at an entry against the number of servers of a service."""
    owned_packet_us, first_packet_us = [], []
    for servers in SERVERS_PER_SERVICE:
        control = _control_with_agents(0)
        text = _document_text(1)
        control.adopt_snapshot(_change(1, document.split(text)), text, 0)
        for number in range(servers):
            agent = _member(number, member_records.Kind.AGENT, 'service-0')
            control.view.merge(agent, 0)
        router = routing.Router(
            KEY, control.view, control.active_configuration, control.domains
        )
        destination = _address(0)
        owner = ownership.Owner(_address(5), 1)
        connection_id = ownership.mint(KEY, 'service-0', owner, b'abc')
        entry = _address(1)

        def forward(payload, router=router, destination=destination, entry=entry):
            sent = packets.Envelope(_address(9), destination, payload)
            received = packets.decode(packets.encode(sent))
            router.service_at(received.source)
            decision = router.route(received.destination, received.payload, 1)
            option = packets.Placement(0, 0, 0, entry, decision.candidates)
            received.placement = option
            return packets.encode(received)

        short_header_packet = b'\x40' + connection_id + bytes(1100)
        dcid = b'12345678'
        long_header_packet = (
            b'\xc0' + bytes(4) + bytes([len(dcid)]) + dcid + bytes(1200)
        )
        owned_packet_us.append(
            _seconds_per_call(lambda: forward(short_header_packet))  # noqa: B023
            * MICROSECONDS_PER_SECOND
        )
        first_packet_us.append(
            _seconds_per_call(lambda: forward(long_header_packet), 100)  # noqa: B023
            * MICROSECONDS_PER_SECOND
        )
    return {
        'owned_packet_us': fitting.fit(
            'us per packet', SERVERS_PER_SERVICE, owned_packet_us
        ),
        'first_packet_us': fitting.fit(
            'us per packet', SERVERS_PER_SERVICE, first_packet_us
        ),
    }


async def measure_flows() -> dict[str, fitting.Line]:
    """Measure memory and processor time of flows at an agent, without sockets."""
    flow_bytes, handshakes_us = [], []
    with tempfile.TemporaryDirectory() as folder_name:
        folder = pathlib.Path(folder_name)
        certificates.write(folder, ['service-0'])
        for flow_count in FLOW_COUNTS:
            gc.collect()
            tracemalloc.start()
            open_flows, _ = _open_flows(folder, flow_count)
            flow_bytes.append(float(tracemalloc.get_traced_memory()[0]))
            tracemalloc.stop()
            _close_flows(open_flows)
            open_flows, processor_seconds = _open_flows(folder, flow_count)
            handshakes_us.append(processor_seconds * MICROSECONDS_PER_SECOND)
            _close_flows(open_flows)
    return {
        'flow_bytes': fitting.fit('bytes per flow', FLOW_COUNTS, flow_bytes),
        'handshakes_us': fitting.fit('us per handshake', FLOW_COUNTS, handshakes_us),
    }


def _close_flows(flows: list[server_flow.Flow]) -> None:
    for flow in flows:
        flow.close()
        if flow._timer is not None:
            flow._timer.cancel()
    flows.clear()


def _open_flows(
    folder: pathlib.Path, count: int
) -> tuple[list[server_flow.Flow], float]:
    """Return established flows and the processor time of the server side."""
    quic_configuration = connections.server_configuration(
        str(folder / 'service-0.pem'),
        str(folder / 'service-0.key'),
    )
    table = flow_table.FlowTable(
        KEY,
        'service-0',
        ownership.Owner(_address(1), 1),
        quic_configuration,
    )
    flows = []
    processor_seconds = 0.0
    for number in range(count):
        flow, seconds = _open_flow(folder, table, number)
        flows.append(flow)
        processor_seconds += seconds
    return flows, processor_seconds


def _open_flow(
    folder: pathlib.Path,
    table: flow_table.FlowTable,
    number: int,
) -> tuple[server_flow.Flow, float]:
    outbox: list[bytes] = []
    handlers = server_flow.Handlers(
        lambda _flow, payload, _caller: outbox.append(payload),
        lambda _stream: None,
        lambda _stream: None,
        table.remove,
    )
    client = quic.QuicConnection(
        configuration=connections.client_configuration(
            'service-0',
            str(folder / 'authority.pem'),
        ),
    )
    caller_address, service_address = _address(number + 10), _address(0)
    client.connect(service_address, now=time.time())
    flow = table.open(
        client.original_destination_connection_id, service_address, handlers
    )
    processor_seconds = 0.0
    for _ in range(MAX_HANDSHAKE_ROUND_TRIPS):
        for payload, _ in client.datagrams_to_send(now=time.time()):
            start = time.process_time()
            flow.datagram_received(payload, caller_address)
            processor_seconds += time.process_time() - start
        if not outbox:
            break
        for payload in outbox:
            client.receive_datagram(payload, service_address, now=time.time())
        outbox.clear()
    assert flow.is_established, 'handshake did not finish'
    return flow, processor_seconds


def measure_agent_control() -> dict[str, fitting.Line]:
    """Measure what one announcement and its reply cost an agent."""
    own_member = _member(1, member_records.Kind.AGENT, 'service-0')
    home_entry = _member(1, member_records.Kind.ENTRY, '')
    control = agent_control.AgentControl(own_member, [home_entry.control])
    record = messages.to_record(home_entry)
    entry_counts = (1, 2, 4, 6)
    sizes, announce_us = [], []
    for entries in entry_counts:
        welcome = messages.Welcome(
            record.control,
            0,
            5,
            False,
            None,
            (record, record),
            (record,) * entries,
        )
        sealed_message = messages.encode(KEY, welcome)
        sizes.append(float(len(sealed_message)))

        def exchange(sealed_message=sealed_message):
            control._announced_at = float('-inf')
            sent = [messages.encode(KEY, effect.message) for effect in control.tick(1)]
            control.receive(messages.decode(KEY, sealed_message), 1)
            return sent

        announce_us.append(_seconds_per_call(exchange) * MICROSECONDS_PER_SECOND)
    announce = messages.Alive(
        own_member.name, own_member.incarnation, own_member.sequence, 100_000, 2**31
    )
    announce_bytes = float(len(messages.encode(KEY, announce)))
    return {
        'agent_announce_us': fitting.fit(
            'us per announcement', entry_counts, announce_us
        ),
        'agent_welcome_bytes': fitting.fit(
            'bytes per named entry', entry_counts, sizes
        ),
        'announce_bytes': fitting.Line(
            unit='bytes per announcement',
            slope=0,
            intercept=announce_bytes,
            slope_error=0,
            sizes=(1,),
            values=(announce_bytes,),
        ),
    }


def measure_messages() -> dict[str, fitting.Line]:
    """Measure the bytes of digests and repairs."""
    counts = (1, 4, 8, 12)
    digest_bytes = []
    record = messages.to_record(_member(1, member_records.Kind.ENTRY, ''))
    for domains in counts:
        ages = {f'domain-{number}': 3 for number in range(domains)}
        digest = messages.Digest(record, 2**63, 14_200, 100_000, ages)
        digest_bytes.append(float(len(messages.encode(KEY, digest))))
    record_bytes = []
    for count in counts:
        repair = messages.Deltas((record,) * count)
        record_bytes.append(float(len(messages.encode(KEY, repair))))
    buckets = messages.Buckets(record, bytes(4 * membership.BUCKET_COUNT), False)
    buckets_bytes = float(len(messages.encode(KEY, buckets)))
    return {
        'digest_bytes': fitting.fit('bytes per failure domain', counts, digest_bytes),
        'record_bytes': fitting.fit('bytes per record', counts, record_bytes),
        'buckets_bytes': fitting.Line(
            unit='bytes per bucket list',
            slope=0,
            intercept=buckets_bytes,
            slope_error=0,
            sizes=(1,),
            values=(buckets_bytes,),
        ),
    }


def measure_metrics() -> dict[str, fitting.Line]:
    """Measure the memory of latency histograms."""
    counts = (1, 2, 4, 8)
    histogram_bytes = []
    for count in counts:
        gc.collect()
        tracemalloc.start()
        histograms = [metrics.LatencyHistogram() for _ in range(count)]
        histogram_bytes.append(float(tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        histograms.clear()
    return {
        'histogram_bytes': fitting.fit('bytes per histogram', counts, histogram_bytes)
    }


def main() -> None:
    """Measure everything, print the fitted lines and write them to a file."""
    lines: dict[str, fitting.Line] = {}
    lines.update(measure_members())
    lines.update(measure_configuration())
    lines.update(measure_packets())
    lines.update(measure_agent_control())
    lines.update(measure_messages())
    lines.update(measure_metrics())
    lines.update(asyncio.run(measure_flows()))
    table = rich.table.Table(
        'figure', 'slope', 'error', 'at size 0', 'unit', 'measured'
    )
    for name, line in lines.items():
        values_text = ', '.join(f'{value:.4g}' for value in line.values)
        table.add_row(
            name,
            f'{line.slope:.4g}',
            f'{line.slope_error:.2g}',
            f'{line.intercept:.4g}',
            line.unit,
            values_text,
        )
    rich.console.Console(width=130).print(table)
    OUTPUT.write_bytes(msgspec.json.format(msgspec.json.encode(lines)) + b'\n')


if __name__ == '__main__':
    main()
