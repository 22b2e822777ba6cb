"""Control messages between processes, over real sockets on loopback."""

import asyncio
import time

from egretjunction import metrics
from egretjunction.decisions import effects
from egretjunction.quic import control
from egretjunction.standins import ports
from egretjunction.wire import messages
from tests import builders

PORTS = ports.PortAllocator()
MESSAGE = messages.Deltas((messages.to_record(builders.member('bookings-1')),))


def _control_sockets(receive, key=builders.KEY):
    process_metrics = metrics.Metrics('test')
    return control.ControlSockets(
        key, receive, process_metrics, time.monotonic
    ), process_metrics


async def _exchange(key=builders.KEY, effects_to_return=()):
    """Send a message to a process that starts to listen 0.3 s later."""
    address = PORTS.take()
    received, replies = asyncio.Queue(), asyncio.Queue()

    def take(message):
        received.put_nowait(message)
        return list(effects_to_return)

    listener, listener_metrics = _control_sockets(take)
    sender, sender_metrics = _control_sockets(
        lambda message: replies.put_nowait(message) or [], key
    )
    sender.apply([effects.SendTo(address, MESSAGE)])
    await asyncio.sleep(0.3)
    listener.listen(address)
    try:
        if key == builders.KEY:
            assert await asyncio.wait_for(received.get(), 20) == MESSAGE
        if effects_to_return:
            assert await asyncio.wait_for(replies.get(), 20) == MESSAGE
        while not listener_metrics.value('control_messages_received'):
            await asyncio.sleep(0.02)
    finally:
        listener.close()
        sender.close()
    return listener_metrics, sender_metrics


def test_first_message_arrives_when_the_peer_listens_later():
    listener_metrics, sender_metrics = asyncio.run(_exchange())
    sent_bytes = sender_metrics.value('control_bytes_sent')
    assert sent_bytes == listener_metrics.value('control_bytes_received') > 0


def test_reply_goes_back_to_the_sender():
    _, sender_metrics = asyncio.run(
        _exchange(effects_to_return=[effects.Reply(MESSAGE)])
    )
    assert sender_metrics.value('control_messages_received') == 1


def test_message_sealed_with_another_key_is_counted_and_dropped():
    listener_metrics, _ = asyncio.run(_exchange(key=b'another key 0123'))
    assert listener_metrics.value('control_messages_refused') == 1
