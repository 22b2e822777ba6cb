"""Measures an entry on real sockets: packets a second that one core routes.

``python -m bench.sockets`` sends a bounded number of packets over loopback.
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
BATCH = 32
HOST = '127.0.0.1'
KEY = b'0123456789abcdef'
SERVICE_ADDRESS = addresses.Address(HOST, 7001)
PAYLOAD_BYTES = (100, 600, 1200)


def _change() -> document_changes.Change:
    text = (
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
        sections=dict(document.split(text)),
    )


def _free() -> addresses.Address:
    with socket.socket(type=socket.SOCK_DGRAM) as probe:
        probe.bind((HOST, 0))
        return addresses.Address(*probe.getsockname())


async def _measure(payload_bytes: int) -> tuple[float, int]:
    """Return processor seconds per routed packet and the packets that arrived."""
    with tempfile.TemporaryDirectory() as folder:
        key_file = pathlib.Path(folder) / 'shared.key'
        key_file.write_text(KEY.decode(), encoding='utf-8')
        given = settings.Entry(
            name='entry-1',
            domain='domain-1',
            data=_free(),
            control=_free(),
            admin=_free(),
            fabric=_free(),
            platform='http://127.0.0.1:9',
            key_file=str(key_file),
        )
        served = entry.Entry(given)
    served._control.adopt([_change()], 0)
    task = asyncio.create_task(served.run())
    await asyncio.sleep(0.5)
    with socket.socket(type=socket.SOCK_DGRAM) as sink:
        sink.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_000_000)
        sink.bind((HOST, 0))
        owner = ownership.Owner(addresses.Address(*sink.getsockname()), 1)
        minted = ownership.mint(KEY, 'bookings', owner, b'abc')
        payload = b'\x40' + minted + bytes(payload_bytes - 21)
        caller = addresses.Address(HOST, 9)
        datagram = packets.encode(
            packets.Envelope(caller, SERVICE_ADDRESS, payload),
        )
        spent = 0.0
        with socket.socket(type=socket.SOCK_DGRAM) as source:
            for _ in range(PACKETS // BATCH):
                for _ in range(BATCH):
                    source.sendto(datagram, given.data)
                start = time.process_time()
                await asyncio.sleep(0)
                await asyncio.sleep(0)
                spent += time.process_time() - start
                _empty(sink)
    routed = served._metrics.value('packets_to_agents')
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return spent / max(1, routed), routed


def _empty(sink: socket.socket) -> None:
    sink.setblocking(False)
    try:
        while True:
            sink.recv(2048)
    except BlockingIOError:
        return


def main() -> None:
    """Measure packets of several sizes and print a table."""
    logs.configure('bench')
    table = rich.table.Table('payload bytes', 'us per packet', 'packets/s per core')
    found = {}
    for payload_bytes in PAYLOAD_BYTES:
        seconds, routed = asyncio.run(_measure(payload_bytes))
        assert routed == PACKETS, f'{routed} of {PACKETS} packets were routed'
        found[str(payload_bytes)] = seconds
        table.add_row(str(payload_bytes), f'{seconds * 1e6:.1f}', f'{1 / seconds:,.0f}')
    rich.console.Console().print(table)
    OUTPUT.write_bytes(msgspec.json.format(msgspec.json.encode(found)) + b'\n')


if __name__ == '__main__':
    main()
