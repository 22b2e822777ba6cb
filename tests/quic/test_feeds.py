"""Updates of a feed are read however they are cut, and only whole ones."""

import pytest

from egretjunction.quic import caller_flow
from egretjunction.quic import feeds

STREAM = b'id: 1\ndata: one\n\n: remark\n\nid: x\ndata: odd\n\nid: 2\ndata: a: b\n\n'


@pytest.mark.parametrize('size', [1, 3, 7, 200])
def test_updates_are_found_however_the_stream_is_cut(size):
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
