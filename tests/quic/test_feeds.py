"""Only complete updates of a feed are read, whatever the size of the chunks."""

import asyncio

import pytest

from egretjunction import errors
from egretjunction.quic import caller_flow
from egretjunction.quic import feeds

STREAM = b'id: 1\ndata: one\n\n: remark\n\nid: x\ndata: odd\n\nid: 2\ndata: a: b\n\n'


@pytest.mark.parametrize('size', [1, 3, 7, 200])
def test_updates_are_read_from_a_stream_in_chunks_of_any_size(size):
    response = caller_flow.Response()
    updates = []
    for start in range(0, len(STREAM), size):
        response.add_body(STREAM[start : start + size])
        updates.extend(feeds._pop_updates(response))
    assert [(update.event_id, update.text) for update in updates] == [
        (1, 'one'),
        (2, 'a: b'),
    ]
    assert not response.body


class _Flow:
    """A connection without GOAWAY that is never silent."""

    is_goaway_received = False
    silent_seconds = 0.0

    def __init__(self):
        self.became_unusable = asyncio.Event()


def _response(status):
    response = caller_flow.Response()
    response.add_headers([(b':status', str(status).encode())])
    return response


def test_update_that_arrives_while_the_last_one_is_processed_is_not_delayed():
    """Guards against an update that waited for the next probe, up to 5 s."""

    async def second_update():
        response = _response(200)
        response.add_body(b'id: 1\ndata: one\n\n')
        updates = feeds.updates(_Flow(), response)
        await anext(updates)
        asyncio.get_running_loop().call_soon(response.add_body, b'id: 2\ndata: two\n\n')
        await asyncio.sleep(0.01)
        return await asyncio.wait_for(anext(updates), 0.5)

    assert asyncio.run(second_update()).event_id == 2


@pytest.mark.parametrize(
    ('status', 'error'),
    [
        (404, errors.FeedRefusedError),
        (403, errors.FeedRefusedError),
        (429, caller_flow.FlowError),
        (503, caller_flow.FlowError),
    ],
)
def test_feed_that_is_refused_for_good_is_not_retried(status, error):
    async def first_update():
        response = _response(status)
        response.complete()
        return await anext(feeds.updates(_Flow(), response))

    with pytest.raises(error):
        asyncio.run(first_update())
