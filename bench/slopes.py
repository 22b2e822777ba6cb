"""Measures what one more member, change, packet or flow costs.

``python -m bench.slopes`` prints a table and writes ``bench/slopes.json``, from
which ``docs/CAPACITY.md`` is worked out.
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
MEMBER_SIZES = (1000, 4000, 8000, 13000)
ENTRIES_PER_MEMBER = 1200 / 13000
SERVICE_SIZES = (100, 400, 800, 1200)
SERVICE_MEMBER_SIZES = (3, 11, 50, 200)
FLOW_SIZES = (25, 50, 100, 150)
REPEATS = 400
SERVICES = 1200
MICROSECONDS = 1_000_000
DOMAINS = 12
HANDSHAKE_STEPS = 20


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


def _control_with(members: int) -> entry_control.EntryControl:
    """Return an entry's control part that knows so many agents, and entries."""
    me = _member(0, member_records.Kind.ENTRY, '')
    control = entry_control.EntryControl(me, [])
    for number in range(1, max(8, int(members * ENTRIES_PER_MEMBER))):
        control.view.merge(_member(number, member_records.Kind.ENTRY, ''), 0)
    for number in range(members):
        service = f'service-{number % SERVICES}'
        agent = _member(number, member_records.Kind.AGENT, service)
        control.view.merge(agent, 0)
    return control


def _seconds_each(work: typing.Callable[[], object], times: int = REPEATS) -> float:
    """Return the processor time of one call, the least of five rounds."""
    best = float('inf')
    gc.collect()
    for _ in range(5):
        start = time.process_time()
        for _ in range(times):
            work()
        best = min(best, (time.process_time() - start) / times)
    return best


def _bytes_of(effect: object) -> int:
    return len(messages.encode(KEY, effect.message))  # type: ignore[attr-defined]


def measure_members() -> dict[str, fitting.Line]:
    """Measure an entry's control part against the number of members."""
    memory, announce, welcome_bytes, digest, merge = [], [], [], [], []
    for size in MEMBER_SIZES:
        gc.collect()
        tracemalloc.start()
        control = _control_with(size)
        memory.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        agent = control.view.members_in([membership.bucket_of(_agent_name(1))])[0]
        first = messages.Announce(messages.to_record(agent), 0, 0)
        roster = control.receive(first, 1)[0].message.roster
        sealed = messages.encode(
            KEY,
            messages.Alive(agent.name, agent.incarnation, agent.sequence, 0, roster),
        )

        def handle_announce(sealed=sealed, control=control):
            found = control.receive(messages.decode(KEY, sealed), 1)
            return [messages.encode(KEY, each.message) for each in found]

        announce.append(_seconds_each(handle_announce, 50) * MICROSECONDS)
        found = control.receive(messages.decode(KEY, sealed), 1)
        welcome_bytes.append(float(_bytes_of(found[0])))

        def send_digest(control=control):
            control._digest_at = float('-inf')
            found = control.tick(1)
            return [
                messages.encode(KEY, each.message)
                for each in found
                if isinstance(each, effects.SendTo)
            ]

        digest.append(_seconds_each(send_digest, 20) * MICROSECONDS)
        sequence = iter(range(10, 10_000_000))

        def merge_delta(control=control, agent=agent, sequence=sequence):
            record = messages.to_record(agent.changed(sequence=next(sequence)))
            sealed = messages.encode(KEY, messages.Deltas((record,)))
            return control.receive(messages.decode(KEY, sealed), 1)

        merge.append(_seconds_each(merge_delta) * MICROSECONDS)
    return {
        'view_bytes': fitting.fit('bytes per member', MEMBER_SIZES, memory),
        'announce_us': fitting.fit('us per announcement', MEMBER_SIZES, announce),
        'welcome_bytes': fitting.fit('bytes per welcome', MEMBER_SIZES, welcome_bytes),
        'tick_us': fitting.fit('us per tick with digests', MEMBER_SIZES, digest),
        'delta_us': fitting.fit('us per delta', MEMBER_SIZES, merge),
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
    """Measure the cost of the document and of one change against its services."""
    size_bytes, memory, snapshot, change = [], [], [], []
    for services in SERVICE_SIZES:
        text = _document_text(services)
        size_bytes.append(float(len(text)))
        gc.collect()
        tracemalloc.start()
        followed = configuration.InForce()
        first = _change(1, document.split(text))
        followed.replace(first, text)
        memory.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        snapshot.append(
            _seconds_each(lambda text=text: document.parse(text, 'bench'), 1)
            * MICROSECONDS,
        )
        section = followed.document.sections['service service-1']
        generations = iter(range(2, 1_000_000))

        def apply_change(
            followed=followed,
            section=section,
            generations=generations,
        ):
            number = next(generations)
            changed = section.replace('limit = 16', f'limit = {number}')
            return followed.follow([_change(number, {'service service-1': changed})])

        change.append(_seconds_each(apply_change, 2) * MICROSECONDS)
    encoded = [
        float(len(msgspec.json.encode(_change(1, _sections(count)))))
        for count in (1, 2, 4, 8)
    ]
    return {
        'document_bytes': fitting.fit('bytes per service', SERVICE_SIZES, size_bytes),
        'in_force_bytes': fitting.fit('bytes per service', SERVICE_SIZES, memory),
        'snapshot_us': fitting.fit('us per snapshot', SERVICE_SIZES, snapshot),
        'change_us': fitting.fit('us per change', SERVICE_SIZES, change),
        'change_bytes': fitting.fit('bytes per changed section', (1, 2, 4, 8), encoded),
    }


def _sections(count: int) -> dict[str, str | None]:
    every = document.split(_document_text(count))
    return {name: text for name, text in every.items() if name.startswith('service')}


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
    """Measure an entry's decisions on packets against the servers of a service."""
    owned, first = [], []
    for servers in SERVICE_MEMBER_SIZES:
        control = _control_with(0)
        text = _document_text(1)
        control.adopt_snapshot(_change(1, document.split(text)), text, 0)
        for number in range(servers):
            agent = _member(number, member_records.Kind.AGENT, 'service-0')
            control.view.merge(agent, 0)
        router = routing.Router(KEY, control.view, control.in_force, control.domains)
        destination = _address(0)
        owner = ownership.Owner(_address(5), 1)
        minted = ownership.mint(KEY, 'service-0', owner, b'abc')
        entry = _address(1)

        def forward(payload, router=router, destination=destination, entry=entry):
            sent = packets.Envelope(_address(9), destination, payload)
            received = packets.decode(packets.encode(sent))
            router.service_at(received.source)
            found = router.route(received.destination, received.payload, 1)
            option = packets.Placement(0, 0, 0, entry, found.candidates)
            received.placement = option
            return packets.encode(received)

        short = b'\x40' + minted + bytes(1100)
        dcid = b'12345678'
        long = b'\xc0' + bytes(4) + bytes([len(dcid)]) + dcid + bytes(1200)
        owned.append(_seconds_each(lambda: forward(short)) * MICROSECONDS)  # noqa: B023
        first.append(_seconds_each(lambda: forward(long), 100) * MICROSECONDS)  # noqa: B023
    return {
        'owned_packet_us': fitting.fit('us per packet', SERVICE_MEMBER_SIZES, owned),
        'first_packet_us': fitting.fit('us per packet', SERVICE_MEMBER_SIZES, first),
    }


async def measure_flows() -> dict[str, fitting.Line]:
    """Measure memory and processor time of flows at an agent, without sockets."""
    memory, handshake = [], []
    with tempfile.TemporaryDirectory() as folder:
        place = pathlib.Path(folder)
        certificates.write(place, ['service-0'])
        for flows in FLOW_SIZES:
            gc.collect()
            tracemalloc.start()
            held, _ = _open_flows(place, flows)
            memory.append(float(tracemalloc.get_traced_memory()[0]))
            tracemalloc.stop()
            _close_flows(held)
            held, spent = _open_flows(place, flows)
            handshake.append(spent * MICROSECONDS)
            _close_flows(held)
    return {
        'flow_bytes': fitting.fit('bytes per flow', FLOW_SIZES, memory),
        'handshakes_us': fitting.fit('us per handshake', FLOW_SIZES, handshake),
    }


def _close_flows(held: list[server_flow.Flow]) -> None:
    for flow in held:
        flow.close()
        if flow._timer is not None:
            flow._timer.cancel()
    held.clear()


def _open_flows(
    place: pathlib.Path, count: int
) -> tuple[list[server_flow.Flow], float]:
    """Complete handshakes and return the flows and the server's processor time."""
    server = connections.server_configuration(
        str(place / 'service-0.pem'),
        str(place / 'service-0.key'),
    )
    table = flow_table.FlowTable(
        KEY,
        'service-0',
        ownership.Owner(_address(1), 1),
        server,
    )
    held = []
    spent = 0.0
    for number in range(count):
        flow, seconds = _open_flow(place, table, number)
        held.append(flow)
        spent += seconds
    return held, spent


def _open_flow(
    place: pathlib.Path,
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
            str(place / 'authority.pem'),
        ),
    )
    caller, service = _address(number + 10), _address(0)
    client.connect(service, now=time.time())
    flow = table.open(client.original_destination_connection_id, service, handlers)
    spent = 0.0
    for _ in range(HANDSHAKE_STEPS):
        for payload, _ in client.datagrams_to_send(now=time.time()):
            start = time.process_time()
            flow.datagram_received(payload, caller)
            spent += time.process_time() - start
        if not outbox:
            break
        for payload in outbox:
            client.receive_datagram(payload, service, now=time.time())
        outbox.clear()
    assert flow.is_established, 'handshake did not finish'
    return flow, spent


def measure_agent_control() -> dict[str, fitting.Line]:
    """Measure what an agent spends on one announcement and its answers."""
    me = _member(1, member_records.Kind.AGENT, 'service-0')
    home = _member(1, member_records.Kind.ENTRY, '')
    control = agent_control.AgentControl(me, [home.control])
    record = messages.to_record(home)
    counts = (1, 2, 4, 6)
    sizes, spent = [], []
    for entries in counts:
        welcome = messages.Welcome(
            record.control,
            0,
            5,
            False,
            None,
            (record, record),
            (record,) * entries,
        )
        sealed = messages.encode(KEY, welcome)
        sizes.append(float(len(sealed)))

        def exchange(sealed=sealed):
            control._announced_at = float('-inf')
            sent = [messages.encode(KEY, each.message) for each in control.tick(1)]
            control.receive(messages.decode(KEY, sealed), 1)
            return sent

        spent.append(_seconds_each(exchange) * MICROSECONDS)
    announce = messages.Alive(me.name, me.incarnation, me.sequence, 100_000, 2**31)
    length = float(len(messages.encode(KEY, announce)))
    return {
        'agent_announce_us': fitting.fit('us per announcement', counts, spent),
        'agent_welcome_bytes': fitting.fit('bytes per named entry', counts, sizes),
        'announce_bytes': fitting.Line(
            unit='bytes per announcement',
            slope=0,
            intercept=length,
            slope_error=0,
            sizes=(1,),
            values=(length,),
        ),
    }


def measure_messages() -> dict[str, fitting.Line]:
    """Measure the bytes of digests and repairs."""
    counts = (1, 4, 8, 12)
    digests = []
    record = messages.to_record(_member(1, member_records.Kind.ENTRY, ''))
    for domains in counts:
        ages = {f'domain-{number}': 3 for number in range(domains)}
        digest = messages.Digest(record, 2**63, 14_200, 100_000, ages)
        digests.append(float(len(messages.encode(KEY, digest))))
    records = []
    for count in counts:
        repair = messages.Deltas((record,) * count)
        records.append(float(len(messages.encode(KEY, repair))))
    buckets = messages.Buckets(record, bytes(4 * membership.BUCKET_COUNT), False)
    length = float(len(messages.encode(KEY, buckets)))
    return {
        'digest_bytes': fitting.fit('bytes per failure domain', counts, digests),
        'record_bytes': fitting.fit('bytes per record', counts, records),
        'buckets_bytes': fitting.Line(
            unit='bytes per bucket list',
            slope=0,
            intercept=length,
            slope_error=0,
            sizes=(1,),
            values=(length,),
        ),
    }


def measure_metrics() -> dict[str, fitting.Line]:
    """Measure the memory of latency histograms."""
    counts = (1, 2, 4, 8)
    memory = []
    for count in counts:
        gc.collect()
        tracemalloc.start()
        kept = [metrics.LatencyHistogram() for _ in range(count)]
        memory.append(float(tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        kept.clear()
    return {'histogram_bytes': fitting.fit('bytes per histogram', counts, memory)}


def main() -> None:
    """Measure everything, print the lines and write them to a file."""
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
        measured = ', '.join(f'{value:.4g}' for value in line.values)
        table.add_row(
            name,
            f'{line.slope:.4g}',
            f'{line.slope_error:.2g}',
            f'{line.intercept:.4g}',
            line.unit,
            measured,
        )
    rich.console.Console(width=130).print(table)
    OUTPUT.write_bytes(msgspec.json.format(msgspec.json.encode(lines)) + b'\n')


if __name__ == '__main__':
    main()
