"""Sealed control messages over pyzmq: a hub that listens, spokes that call."""

import typing

import zmq
from zmq.eventloop import zmqstream

from egretjunction import addresses
from egretjunction import errors
from egretjunction import logs
from egretjunction import metrics
from egretjunction.decisions import effects
from egretjunction.wire import messages

HIGH_WATER_MARK = 100
UNSENT_PER_PEER = 10
IDLE_SECONDS = 60.0

Receive = typing.Callable[[typing.Any], list[effects.Effect]]


class Links:
    """All control sockets of one process.

    :param key: the secret that entries and agents share.
    :param receive: handles a message and returns the effects.
    :param process_metrics: where bytes and messages are counted.
    :param clock: returns the time in seconds.
    """

    __slots__ = (
        '_clock',
        '_context',
        '_hub',
        '_key',
        '_metrics',
        '_receive',
        '_spoke_by_address',
        '_used_at_by_address',
    )

    def __init__(
        self,
        key: bytes,
        receive: Receive,
        process_metrics: metrics.Metrics,
        clock: typing.Callable[[], float],
    ) -> None:
        self._key = key
        self._receive = receive
        self._metrics = process_metrics
        self._clock = clock
        self._context = zmq.Context()
        self._hub: zmqstream.ZMQStream | None = None
        self._spoke_by_address: dict[addresses.Address, zmqstream.ZMQStream] = {}
        self._used_at_by_address: dict[addresses.Address, float] = {}

    def listen(self, address: addresses.Address) -> None:
        """Accept messages of other processes at an address."""
        hub = self._socket(zmq.ROUTER)
        hub.bind(f'tcp://{address}')
        self._hub = zmqstream.ZMQStream(hub)
        self._hub.on_recv(self._on_hub)

    def apply(
        self,
        found: typing.Iterable[effects.Effect],
        reply: typing.Callable[[bytes], None] | None = None,
    ) -> None:
        """Carry effects out.

        :param found: what a decision asked for.
        :param reply: sends bytes back to the sender of the present message.
        """
        for effect in found:
            if isinstance(effect, effects.Log):
                logs.get().info(effect.event, **effect.fields)
            elif isinstance(effect, effects.SendTo):
                self._send(effect)
            elif reply is not None:
                reply(self._encode(effect.message))

    def close(self) -> None:
        """Close all sockets without waiting for unsent messages."""
        if self._hub is not None:
            self._hub.close(linger=0)
        for spoke in self._spoke_by_address.values():
            spoke.close(linger=0)
        self._spoke_by_address.clear()
        self._context.destroy(linger=0)

    def close_idle(self) -> None:
        """Close connections that were not used for a while."""
        now = self._clock()
        for address, used_at in list(self._used_at_by_address.items()):
            if now - used_at >= IDLE_SECONDS:
                self._used_at_by_address.pop(address)
                self._spoke_by_address.pop(address).close(linger=0)

    def _socket(self, kind: int) -> zmq.Socket:
        created = self._context.socket(kind)
        created.setsockopt(zmq.LINGER, 0)
        created.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
        created.setsockopt(zmq.MAXMSGSIZE, messages.MAX_MESSAGE_BYTES)
        return created

    def _spoke(self, address: addresses.Address) -> zmqstream.ZMQStream:
        spoke = self._spoke_by_address.get(address)
        if spoke is None:
            dealer = self._socket(zmq.DEALER)
            dealer.setsockopt(zmq.SNDHWM, UNSENT_PER_PEER)
            dealer.connect(f'tcp://{address}')
            spoke = zmqstream.ZMQStream(dealer)
            spoke.on_recv(lambda frames: self._on_spoke(address, frames))
            self._spoke_by_address[address] = spoke
        self._used_at_by_address[address] = self._clock()
        return spoke

    def _send(self, effect: effects.SendTo) -> None:
        sealed = self._encode(effect.message)
        try:
            self._spoke(effect.address).socket.send(sealed, zmq.NOBLOCK)
        except zmq.Again:
            self._metrics.count('control_messages_dropped')

    def _encode(self, message: messages.Message) -> bytes:
        sealed = messages.encode(self._key, message)
        self._metrics.count('control_messages_sent')
        self._metrics.count('control_bytes_sent', len(sealed))
        return sealed

    def _on_hub(self, frames: list[bytes]) -> None:
        identity = frames[0]

        def reply(sealed: bytes) -> None:
            hub = typing.cast('zmqstream.ZMQStream', self._hub)
            try:
                hub.socket.send_multipart([identity, sealed], zmq.NOBLOCK)
            except zmq.ZMQError:
                self._metrics.count('control_messages_dropped')

        self._handle(frames[-1], reply)

    def _on_spoke(self, address: addresses.Address, frames: list[bytes]) -> None:
        def reply(sealed: bytes) -> None:
            try:
                self._spoke(address).socket.send(sealed, zmq.NOBLOCK)
            except zmq.Again:
                self._metrics.count('control_messages_dropped')

        self._handle(frames[-1], reply)

    def _handle(self, sealed: bytes, reply: typing.Callable[[bytes], None]) -> None:
        self._metrics.count('control_messages_received')
        self._metrics.count('control_bytes_received', len(sealed))
        try:
            message = messages.decode(self._key, sealed)
            found = self._receive(message)
        except errors.PacketError as error:
            self._metrics.count('control_messages_refused')
            logs.get().warning('control_message_refused', error=str(error))
            return
        self.apply(found, reply)
