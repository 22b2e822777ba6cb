"""Measures how many packets per second an entry routes on one core.

``python -m bench.sockets`` sends a fixed number of packets over loopback sockets.
"""

import asyncio
import pathlib
import socket
import tempfile
import time

import msgspec
import rich.console
import rich.table

from egretjunction import addresses
from egretjunction import document_changes
from egretjunction import logs
from egretjunction import settings
from egretjunction.decisions import document
from egretjunction.decisions import ownership
from egretjunction.quic import entry
from egretjunction.wire import packets

OUTPUT = pathlib.Path(__file__).with_name('sockets.json')
PACKETS = 40_000
BATCH_PACKETS = 32
HOST = '127.0.0.1'
KEY = b'0123456789abcdef'
SERVICE_ADDRESS = addresses.Address(HOST, 7001)
PAYLOAD_BYTES = (100, 600, 1200)


def _configuration_change() -> document_changes.Change:
    document_text = (
        f'[team booking]\nkey_sha256 = {"a" * 64}\n\n[service bookings]\n'
        f'team = booking\naddress = {SERVICE_ADDRESS}\nbackend_servers = bookings-*\n'
    )
    return document_changes.Change(
        generation=1,
        change_id='bench',
        who='bench',
        team='booking',
        when='2026-01-01T00:00:00+00:00',
        note='',
        sections=dict(document.split(document_text)),
    )


def _free_address() -> addresses.Address:
    with socket.socket(type=socket.SOCK_DGRAM) as free_socket:
        free_socket.bind((HOST, 0))
        return addresses.Address(*free_socket.getsockname())


async def _measure(payload_bytes: int) -> tuple[float, int]:
    """Return processor seconds per routed packet and the number of routed packets."""
    with tempfile.TemporaryDirectory() as folder:
        key_file = pathlib.Path(folder) / 'shared.key'
        key_file.write_text(KEY.decode(), encoding='utf-8')
        entry_settings = settings.Entry(
            name='entry-1',
            domain='domain-1',
            data=_free_address(),
            control=_free_address(),
            admin=_free_address(),
            fabric=_free_address(),
            platform='http://127.0.0.1:9',
            key_file=str(key_file),
        )
        daemon = entry.Entry(entry_settings)
    daemon._control.adopt([_configuration_change()], 0)
    task = asyncio.create_task(daemon.run())
    await asyncio.sleep(0.5)
    with socket.socket(type=socket.SOCK_DGRAM) as receiver:
        receiver.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_000_000)
        receiver.bind((HOST, 0))
        owner = ownership.Owner(addresses.Address(*receiver.getsockname()), 1)
        connection_id = ownership.mint(KEY, 'bookings', owner, b'abc')
        # The short header has 1 byte, the connection ID 20.
        payload = b'\x40' + connection_id + bytes(payload_bytes - 21)
        caller = addresses.Address(HOST, 9)
        datagram = packets.encode(
            packets.Envelope(caller, SERVICE_ADDRESS, payload),
        )
        processor_seconds = 0.0
        with socket.socket(type=socket.SOCK_DGRAM) as sender:
            for _ in range(PACKETS // BATCH_PACKETS):
                for _ in range(BATCH_PACKETS):
                    sender.sendto(datagram, entry_settings.data)
                start_seconds = time.process_time()
                await asyncio.sleep(0)
                await asyncio.sleep(0)
                processor_seconds += time.process_time() - start_seconds
                _discard_received(receiver)
    routed_packets = daemon._metrics.value('packets_to_agents')
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return processor_seconds / max(1, routed_packets), routed_packets


def _discard_received(receiver: socket.socket) -> None:
    receiver.setblocking(False)
    try:
        while True:
            receiver.recv(2048)
    except BlockingIOError:
        return


def main() -> None:
    """Measure packets of several sizes, print a table and write it to a file."""
    logs.configure('bench')
    table = rich.table.Table('payload bytes', 'us per packet', 'packets/s per core')
    seconds_by_payload_bytes = {}
    for payload_bytes in PAYLOAD_BYTES:
        seconds_per_packet, routed_packets = asyncio.run(_measure(payload_bytes))
        assert routed_packets == PACKETS, (
            f'entry routed {routed_packets} of {PACKETS} packets'
        )
        seconds_by_payload_bytes[str(payload_bytes)] = seconds_per_packet
        table.add_row(
            str(payload_bytes),
            f'{seconds_per_packet * 1e6:.1f}',
            f'{1 / seconds_per_packet:,.0f}',
        )
    rich.console.Console().print(table)
    OUTPUT.write_bytes(
        msgspec.json.format(msgspec.json.encode(seconds_by_payload_bytes)) + b'\n'
    )


if __name__ == '__main__':
    main()
