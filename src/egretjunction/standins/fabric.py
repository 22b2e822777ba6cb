"""Stand-in for the fabric: hands each packet of a flow to any entry."""

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

REORDER_SECONDS = 0.01


class Conditions(msgspec.Struct, kw_only=True):
    """What happens to packets; changed while the fabric runs.

    :param entries: data addresses that packets are sprayed over.
    """

    entries: list[str]
    loss: float = 0
    duplication: float = 0
    reordering: float = 0
    delay_seconds: float = 0
    jitter_seconds: float = 0


class Fabric:
    """Forwards datagrams between callers and entries.

    :param given: checked settings.
    """

    def __init__(self, given: settings.Fabric) -> None:
        self._random = random.Random(given.seed)
        self.conditions = Conditions(
            entries=[str(entry) for entry in given.entries],
            loss=given.loss,
            duplication=given.duplication,
            reordering=given.reordering,
            delay_seconds=given.delay_seconds,
            jitter_seconds=given.jitter_seconds,
        )
        self._entries = list(given.entries)
        self._answers = _udp.DatagramSocket(
            given.answers,
            self._on_answer,
            asyncio.get_running_loop(),
        )
        self._socket_by_service = {
            service: self._listen(service) for service in given.services
        }

    def change(self, conditions: Conditions) -> None:
        """Take new conditions."""
        self.conditions = conditions
        self._entries = [addresses.parse(entry) for entry in conditions.entries]

    def _listen(self, service: addresses.Address) -> _udp.DatagramSocket:
        def receive(payload: bytes, caller: tuple[str, int]) -> None:
            self._on_caller(service, payload, caller)

        return _udp.DatagramSocket(service, receive, asyncio.get_running_loop())

    def _on_caller(
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
        self._forward(self._answers, datagram, entry)

    def _on_answer(self, datagram: bytes, _entry: tuple[str, int]) -> None:
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
        now = self.conditions
        copies = 1
        if now.loss and self._random.random() < now.loss:
            copies -= 1
        if now.duplication and self._random.random() < now.duplication:
            copies += 1
        for _ in range(copies):
            self._send_later(sender, datagram, target)

    def _send_later(
        self,
        sender: _udp.DatagramSocket,
        datagram: bytes,
        target: addresses.Address,
    ) -> None:
        now = self.conditions
        delay = now.delay_seconds
        if now.jitter_seconds:
            delay += self._random.random() * now.jitter_seconds
        if now.reordering and self._random.random() < now.reordering:
            delay += REORDER_SECONDS
        if delay:
            loop = ioloop.IOLoop.current()
            loop.call_later(delay, sender.send, datagram, target)
        else:
            sender.send(datagram, target)


class _ConditionsHandler(web.RequestHandler):
    def initialize(self, fabric: Fabric) -> None:
        self._fabric = fabric

    def post(self) -> None:
        self._fabric.change(msgspec.json.decode(self.request.body, type=Conditions))
        self.finish('{}')


async def run(given: settings.Fabric) -> None:
    """Forward until the process is ended."""
    fabric = Fabric(given)
    application = web.Application(
        [('/conditions', _ConditionsHandler, {'fabric': fabric})],
    )
    server = httpserver.HTTPServer(application)
    server.listen(given.admin.port, given.admin.host)
    await asyncio.Event().wait()
