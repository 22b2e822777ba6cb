"""Sealed control messages over ZeroMQ: one ROUTER socket, a DEALER per peer."""

import typing

import zmq
from zmq.eventloop import zmqstream

from egretjunction import addresses
from egretjunction import errors
from egretjunction import logs
from egretjunction import metrics
from egretjunction.decisions import effects
from egretjunction.wire import messages

SEND_QUEUE_MESSAGES = 100
PEER_QUEUE_MESSAGES = 10
IDLE_TIMEOUT_SECONDS = 60.0

Receive = typing.Callable[[typing.Any], list[effects.Effect]]


class ControlSockets:
    """The control sockets of one process.

    :param key: the secret that entries and agents share.
    :param receive: handles a message and returns the effects to carry out.
    :param process_metrics: counts messages and bytes.
    :param clock: returns the time in seconds.
    """

    __slots__ = (
        '_clock',
        '_context',
        '_dealer_by_address',
        '_key',
        '_last_used_by_address',
        '_metrics',
        '_receive',
        '_router',
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
        self._router: zmqstream.ZMQStream | None = None
        self._dealer_by_address: dict[addresses.Address, zmqstream.ZMQStream] = {}
        self._last_used_by_address: dict[addresses.Address, float] = {}

    def listen(self, address: addresses.Address) -> None:
        """Accept messages from other processes at an address."""
        router_socket = self._socket(zmq.ROUTER)
        router_socket.bind(f'tcp://{address}')
        self._router = zmqstream.ZMQStream(router_socket)
        self._router.on_recv(self._on_router_frames)

    def apply(
        self,
        requested_effects: typing.Iterable[effects.Effect],
        reply: typing.Callable[[bytes], None] | None = None,
    ) -> None:
        """Carry out effects: write logs, send messages and replies.

        :param requested_effects: effects that a decision returned.
        :param reply: sends bytes to the sender of the message being handled.
        """
        for effect in requested_effects:
            if isinstance(effect, effects.Log):
                logs.get().info(effect.event, **effect.fields)
            elif isinstance(effect, effects.SendTo):
                self._send(effect)
            elif reply is not None:
                reply(self._encode(effect.message))

    def close(self) -> None:
        """Close all sockets without waiting for unsent messages."""
        if self._router is not None:
            self._router.close(linger=0)
        for dealer in self._dealer_by_address.values():
            dealer.close(linger=0)
        self._dealer_by_address.clear()
        self._context.destroy(linger=0)

    def close_idle(self) -> None:
        """Close connections that have been unused for ``IDLE_TIMEOUT_SECONDS``."""
        now = self._clock()
        for address, last_used_at in list(self._last_used_by_address.items()):
            if now - last_used_at >= IDLE_TIMEOUT_SECONDS:
                self._last_used_by_address.pop(address)
                self._dealer_by_address.pop(address).close(linger=0)

    def _socket(self, socket_type: int) -> zmq.Socket:
        new_socket = self._context.socket(socket_type)
        new_socket.setsockopt(zmq.LINGER, 0)
        new_socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        new_socket.setsockopt(zmq.MAXMSGSIZE, messages.MAX_MESSAGE_BYTES)
        return new_socket

    def _dealer_for(self, address: addresses.Address) -> zmqstream.ZMQStream:
        dealer = self._dealer_by_address.get(address)
        if dealer is None:
            dealer_socket = self._socket(zmq.DEALER)
            dealer_socket.setsockopt(zmq.SNDHWM, PEER_QUEUE_MESSAGES)
            dealer_socket.connect(f'tcp://{address}')
            dealer = zmqstream.ZMQStream(dealer_socket)
            dealer.on_recv(lambda frames: self._on_dealer_frames(address, frames))
            self._dealer_by_address[address] = dealer
        self._last_used_by_address[address] = self._clock()
        return dealer

    def _send(self, effect: effects.SendTo) -> None:
        sealed = self._encode(effect.message)
        try:
            self._dealer_for(effect.address).socket.send(sealed, zmq.NOBLOCK)
        except zmq.Again:
            self._metrics.count('control_messages_dropped')

    def _encode(self, message: messages.Message) -> bytes:
        sealed = messages.encode(self._key, message)
        self._metrics.count('control_messages_sent')
        self._metrics.count('control_bytes_sent', len(sealed))
        return sealed

    def _on_router_frames(self, frames: list[bytes]) -> None:
        identity = frames[0]

        def reply(sealed: bytes) -> None:
            router = typing.cast('zmqstream.ZMQStream', self._router)
            try:
                router.socket.send_multipart([identity, sealed], zmq.NOBLOCK)
            except zmq.ZMQError:
                self._metrics.count('control_messages_dropped')

        self._handle(frames[-1], reply)

    def _on_dealer_frames(
        self, address: addresses.Address, frames: list[bytes]
    ) -> None:
        def reply(sealed: bytes) -> None:
            try:
                self._dealer_for(address).socket.send(sealed, zmq.NOBLOCK)
            except zmq.Again:
                self._metrics.count('control_messages_dropped')

        self._handle(frames[-1], reply)

    def _handle(self, sealed: bytes, reply: typing.Callable[[bytes], None]) -> None:
        self._metrics.count('control_messages_received')
        self._metrics.count('control_bytes_received', len(sealed))
        try:
            message = messages.decode(self._key, sealed)
            requested_effects = self._receive(message)
        except errors.PacketError as error:
            self._metrics.count('control_messages_refused')
            logs.get().warning('control_message_refused', error=str(error))
            return
        self.apply(requested_effects, reply)
