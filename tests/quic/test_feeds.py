"""Only complete updates of a feed are read, whatever the size of the chunks."""

import pytest

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
