"""Control messages between processes, over real sockets on loopback."""

import asyncio
import time

from egretjunction import metrics
from egretjunction.decisions import effects
from egretjunction.quic import control
from egretjunction.standins import cluster
from egretjunction.wire import messages
from tests import builders

MESSAGE = messages.Deltas((messages.to_record(builders.member('bookings-1')),))


def _links(receive, key=builders.KEY):
    figures = metrics.Metrics('test')
    return control.Links(key, receive, figures, time.monotonic), figures


async def _exchange(key=builders.KEY, answer=()):
    """Send a message to a process that starts to listen a little later."""
    address = cluster.PortAllocator().take()
    received, returned = asyncio.Queue(), asyncio.Queue()

    def take(message):
        received.put_nowait(message)
        return list(answer)

    hub, hub_figures = _links(take)
    spoke, spoke_figures = _links(
        lambda message: returned.put_nowait(message) or [], key
    )
    spoke.apply([effects.SendTo(address, MESSAGE)])
    await asyncio.sleep(0.3)
    hub.listen(address)
    try:
        if key == builders.KEY:
            assert await asyncio.wait_for(received.get(), 20) == MESSAGE
        if answer:
            assert await asyncio.wait_for(returned.get(), 20) == MESSAGE
        while not hub_figures.value('control_messages_received'):
            await asyncio.sleep(0.02)
    finally:
        hub.close()
        spoke.close()
    return hub_figures, spoke_figures


def test_first_message_arrives_although_the_peer_listens_later():
    hub, spoke = asyncio.run(_exchange())
    sent = spoke.value('control_bytes_sent')
    assert sent == hub.value('control_bytes_received') > 0


def test_answer_goes_back_to_the_sender():
    _, spoke = asyncio.run(_exchange(answer=[effects.Reply(MESSAGE)]))
    assert spoke.value('control_messages_received') == 1


def test_message_under_another_key_is_counted_and_dropped():
    hub, _ = asyncio.run(_exchange(key=b'another key 0123'))
    assert hub.value('control_messages_refused') == 1
