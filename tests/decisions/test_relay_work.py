"""Load of a backend server: what counts as an active request, and for how long."""

import pytest

from egretjunction.decisions import relay_work
from egretjunction.decisions.load import backlog
from tests import relay_builders as build

SEGMENT_BYTES = 1200
# Longest request timeouts of the deployments' routes, in seconds.
ROUTE_TIMEOUTS = [0.8, 1.0, 1.2, 1.5, 2.0, 3.0, 5.2, 8.0, 13.0]


def _tracker():
    server_backlog = backlog.Backlog(build.Codec().destination_of, 2)
    return relay_work.RequestTracker(
        SEGMENT_BYTES, build.MAX_FLOW_SECONDS, server_backlog
    )


def _segment(data_bytes):
    return build.answer(data_bytes=data_bytes)


def test_download_counts_until_the_last_packet_of_its_answer():
    """Load pattern: downloads of 80 kB, of which a server sends 16 packets at once."""
    tracker = _tracker()
    tracker.reserve(build.KEY, 8.0, 0)
    tracker.record_sent(build.request(), 0.01)
    for _ in range(66):
        tracker.record_answer(_segment(SEGMENT_BYTES), 0.5)
        assert tracker.load(0.5) == 1
    tracker.record_answer(_segment(800), 0.5)
    assert tracker.load(0.5) == 0


@pytest.mark.parametrize('timeout_seconds', ROUTE_TIMEOUTS)
def test_request_without_an_answer_counts_until_the_deadline_of_its_route(
    timeout_seconds,
):
    tracker = _tracker()
    tracker.reserve(build.KEY, timeout_seconds, 0)
    tracker.record_sent(build.request(), 0.0)
    assert tracker.load(timeout_seconds - 0.01) == 1
    assert tracker.load(timeout_seconds) == 0


def test_request_of_an_unknown_route_counts_as_long_as_the_longest_known():
    tracker = _tracker()
    tracker.record_sent(build.request(), 0)
    tracker.reserve(build.flow_key(2), 8.0, 0)
    tracker.record_sent(build.request(build.flow_key(3)), 1.0)
    assert tracker.load(8.9) == 2
    assert tracker.load(9.1) == 1
    assert tracker.load(build.MAX_FLOW_SECONDS) == 0


def test_acknowledgement_without_data_ends_no_request():
    tracker = _tracker()
    tracker.record_sent(build.request(), 0)
    tracker.record_answer(_segment(0), 0.1)
    assert tracker.load(0.1) == 1


def test_next_request_of_a_flow_is_not_ended_by_the_deadline_of_the_one_before():
    tracker = _tracker()
    tracker.reserve(build.KEY, 1.0, 0)
    tracker.record_sent(build.request(), 0)
    tracker.record_answer(_segment(100), 0.1)
    tracker.record_sent(build.request(sequence=301), 0.9)
    assert tracker.load(1.5) == 1


def test_slot_is_reserved_for_several_observed_handshakes():
    """Load pattern: clients far away, whose first request takes long to arrive."""
    timer = relay_work.HandshakeTimer()
    assert timer.reservation_seconds == relay_work.FIRST_RESERVATION_SECONDS
    for _ in range(60):
        timer.record(0.05)
    assert timer.reservation_seconds == pytest.approx(0.2, rel=0.01)
    timer.record(100)
    assert timer.reservation_seconds == relay_work.MAX_RESERVATION_SECONDS
