"""What an entry remembers of a draining server after a restart of its agent."""

import pytest

from egretjunction.decisions import relay_draining
from egretjunction.wire import relaying
from tests import relay_builders as build


def _draining():
    """Return the memory of a server, born at 1000, that process 1 reported to drain."""
    draining = relay_draining.Draining()
    draining.record_status(_status(relaying.State.DRAINING, 1000, 1), 0)
    return draining


def _status(state, born, process):
    return build.status(state, server_born=born, process=process)


@pytest.mark.parametrize(
    ('born', 'process', 'is_possible'),
    [
        (1000, 2, True),
        (900, 2, True),
        (2000, 2, False),
        (1000, 1, False),
    ],
)
def test_ready_server_may_drain_until_its_agent_has_heard_of_it_again(
    born, process, is_possible
):
    """Guards against flows for a draining server whose late heartbeat says ready."""
    draining = _draining()
    for now in (1, 2, 3):
        draining.record_status(_status(relaying.State.READY, born, process), now)
        assert draining.is_possible(now) == is_possible
    end = 1 + relay_draining.DOUBT_SECONDS
    assert not draining.is_possible(end + 0.1)


def test_agent_that_hears_of_the_draining_server_ends_the_doubt():
    draining = _draining()
    draining.record_status(_status(relaying.State.READY, 900, 2), 1)
    draining.record_status(_status(relaying.State.DRAINING, 1000, 2), 2)
    assert not draining.is_possible(2)
    draining.record_status(_status(relaying.State.READY, 2000, 2), 3)
    assert not draining.is_possible(3)
