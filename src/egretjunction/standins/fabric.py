"""Stand-in for the packet fabric, which sends each packet to a random entry."""

import asyncio
import random

import msgspec
from tornado import httpserver
from tornado import ioloop
from tornado import web

from egretjunction import _udp
from egretjunction import addresses
from egretjunction import errors
from egretjunction import settings
from egretjunction.wire import packets

REORDER_DELAY_SECONDS = 0.01


class Conditions(msgspec.Struct, kw_only=True):
    """Injected network faults and the current entries, changeable at run time.

    :param entries: data addresses of the entries that packets are sent to.
    :param loss: share of packets that are dropped.
    :param duplication: share of packets that are sent twice.
    :param reordering: share of packets that are delayed so that later ones overtake
        them.
    :param delay_seconds: delay of every packet.
    :param jitter_seconds: upper bound of the random delay added to each packet.
    """

    entries: list[str]
    loss: float = 0
    duplication: float = 0
    reordering: float = 0
    delay_seconds: float = 0
    jitter_seconds: float = 0


class Fabric:
    """Forwards datagrams between callers and entries.

    :param fabric_settings: validated settings of the fabric.
    """

    def __init__(self, fabric_settings: settings.Fabric) -> None:
        self._random = random.Random(fabric_settings.seed)
        self.conditions = Conditions(
            entries=[str(entry) for entry in fabric_settings.entries],
            loss=fabric_settings.loss,
            duplication=fabric_settings.duplication,
            reordering=fabric_settings.reordering,
            delay_seconds=fabric_settings.delay_seconds,
            jitter_seconds=fabric_settings.jitter_seconds,
        )
        self._entries = list(fabric_settings.entries)
        self._answer_socket = _udp.DatagramSocket(
            fabric_settings.answers,
            self._on_answer_datagram,
            asyncio.get_running_loop(),
        )
        self._socket_by_service = {
            service: self._listen(service) for service in fabric_settings.services
        }

    def apply_conditions(self, conditions: Conditions) -> None:
        """Replace the conditions and the list of entries."""
        self.conditions = conditions
        self._entries = [addresses.parse(entry) for entry in conditions.entries]

    def _listen(self, service: addresses.Address) -> _udp.DatagramSocket:
        def receive(payload: bytes, caller: tuple[str, int]) -> None:
            self._on_caller_datagram(service, payload, caller)

        return _udp.DatagramSocket(service, receive, asyncio.get_running_loop())

    def _on_caller_datagram(
        self,
        service: addresses.Address,
        payload: bytes,
        caller: tuple[str, int],
    ) -> None:
        if not self._entries:
            return
        source = addresses.Address(caller[0], caller[1])
        datagram = packets.encode(packets.Envelope(source, service, payload))
        entry = self._random.choice(self._entries)
        self._forward(self._answer_socket, datagram, entry)

    def _on_answer_datagram(self, datagram: bytes, _entry: tuple[str, int]) -> None:
        try:
            envelope = packets.decode(datagram)
        except errors.PacketError:
            return
        sender = self._socket_by_service.get(envelope.source)
        if sender is not None:
            self._forward(sender, envelope.payload, envelope.destination)

    def _forward(
        self,
        sender: _udp.DatagramSocket,
        datagram: bytes,
        target: addresses.Address,
    ) -> None:
        active = self.conditions
        copies = 1
        if active.loss and self._random.random() < active.loss:
            copies -= 1
        if active.duplication and self._random.random() < active.duplication:
            copies += 1
        for _ in range(copies):
            self._send_later(sender, datagram, target)

    def _send_later(
        self,
        sender: _udp.DatagramSocket,
        datagram: bytes,
        target: addresses.Address,
    ) -> None:
        active = self.conditions
        delay = active.delay_seconds
        if active.jitter_seconds:
            delay += self._random.random() * active.jitter_seconds
        if active.reordering and self._random.random() < active.reordering:
            delay += REORDER_DELAY_SECONDS
        if delay:
            loop = ioloop.IOLoop.current()
            loop.call_later(delay, sender.send, datagram, target)
        else:
            sender.send(datagram, target)


class _ConditionsHandler(web.RequestHandler):
    def initialize(self, fabric: Fabric) -> None:
        self._fabric = fabric

    def post(self) -> None:
        self._fabric.apply_conditions(
            msgspec.json.decode(self.request.body, type=Conditions)
        )
        self.finish('{}')


async def run(fabric_settings: settings.Fabric) -> None:
    """Forward datagrams until the process is terminated."""
    fabric = Fabric(fabric_settings)
    application = web.Application(
        [('/conditions', _ConditionsHandler, {'fabric': fabric})],
    )
    server = httpserver.HTTPServer(application)
    server.listen(fabric_settings.admin.port, fabric_settings.admin.host)
    await asyncio.Event().wait()
