"""First packets: passed on, retransmitted, or passed to an unresponsive agent."""

import pytest

from egretjunction import errors
from egretjunction.decisions import admission
from egretjunction.decisions import placement
from egretjunction.wire import packets
from tests import builders

ADDRESSES = [builders.address(number) for number in range(4)]
BUSY = placement.OwnLoad(2, 2, 0)
FREE = placement.OwnLoad(2, 0, 0)
CLOSED = placement.OwnLoad(2, 0, 0, is_open=False)


def _option(tried=0, best_index=0, best_load=packets.NO_LOAD_SEEN):
    candidates = tuple(packets.Candidate(address, 0) for address in ADDRESSES)
    return packets.Placement(tried, best_index, best_load, ADDRESSES[0], candidates)


def _admission(number=0):
    return admission.Admission(ADDRESSES[number])


def test_a_free_agent_takes_a_flow_and_a_busy_one_passes_it_on():
    assert isinstance(_admission().decide(b'id', _option(), FREE, 0), admission.Take)
    passed = _admission().decide(b'id', _option(), BUSY, 0)
    assert passed.address == ADDRESSES[1]
    assert passed.option.tried == 1


def test_a_retransmitted_first_packet_is_passed_to_the_same_agent_when_load_changes():
    agent = _admission()
    first = agent.decide(b'id', _option(), BUSY, 0)
    assert agent.decide(b'id', _option(), FREE, 1) is first


def test_a_reserved_slot_is_released_by_the_first_request_or_a_timeout():
    agent = _admission()
    agent.reserve('flow', 0)
    assert agent.count_reserved(0.5) == 1
    agent.release('flow')
    assert agent.count_reserved(0.5) == 0
    agent.reserve('flow', 0)
    assert agent.count_reserved(admission.RESERVATION_SECONDS) == 0


def test_an_acknowledged_packet_is_not_passed_on_again():
    agent = _admission()
    passed = agent.decide(b'id', _option(), BUSY, 0)
    agent.acknowledged(b'id', passed.address)
    assert agent.timed_out(b'id', passed, BUSY, 0.1) is None


def test_an_unacknowledged_packet_is_passed_to_the_next_candidate():
    agent = _admission()
    passed = agent.decide(b'id', _option(), BUSY, 0)
    next_outcome = agent.timed_out(b'id', passed, BUSY, 0.1)
    assert next_outcome.address == ADDRESSES[2]
    assert next_outcome.option.tried == 0b011


def test_an_unresponsive_agent_is_skipped_for_a_limited_time():
    agent = _admission()
    passed = agent.decide(b'one', _option(), BUSY, 0)
    agent.timed_out(b'one', passed, BUSY, 0.1)
    assert agent.decide(b'two', _option(), BUSY, 1).address == ADDRESSES[2]
    later = 0.1 + admission.SKIP_SECONDS
    assert agent.decide(b'three', _option(), BUSY, later).address == ADDRESSES[1]


def test_an_agent_that_acknowledges_again_is_not_skipped():
    agent = _admission()
    passed = agent.decide(b'one', _option(), BUSY, 0)
    agent.timed_out(b'one', passed, BUSY, 0.1)
    agent.acknowledged(b'other', ADDRESSES[1])
    assert agent.decide(b'two', _option(), BUSY, 1).address == ADDRESSES[1]


def test_an_agent_takes_the_flow_when_all_others_are_unresponsive():
    agent = _admission()
    outcome = agent.decide(b'id', _option(), BUSY, 0)
    for _ in ADDRESSES[1:]:
        outcome = agent.timed_out(b'id', outcome, BUSY, 0)
    assert isinstance(outcome, admission.Take)


def test_a_closed_agent_refuses_the_flow_when_all_others_are_unresponsive():
    agent = _admission()
    outcome = agent.decide(b'id', _option(), CLOSED, 0)
    for _ in ADDRESSES[1:]:
        outcome = agent.timed_out(b'id', outcome, CLOSED, 0)
    assert isinstance(outcome, admission.Refuse)


def test_this_agent_replaces_a_best_candidate_that_is_unresponsive():
    agent = _admission(3)
    option = _option(0b0111, best_index=1, best_load=50)
    passed = agent.decide(b'id', option, BUSY, 0)
    assert passed.address == ADDRESSES[1]
    assert isinstance(agent.timed_out(b'id', passed, BUSY, 0), admission.Take)


def test_a_packet_that_does_not_list_this_agent_is_rejected():
    unlisted = admission.Admission(builders.address(99))
    with pytest.raises(errors.PacketError, match='does not list this agent'):
        unlisted.decide(b'id', _option(), FREE, 0)


def test_the_number_of_remembered_passed_packets_is_bounded():
    agent = _admission()
    for number in range(admission.MAX_UNACKNOWLEDGED + 10):
        agent.decide(number.to_bytes(8), _option(), BUSY, 0)
    assert len(agent._unacknowledged) <= admission.MAX_UNACKNOWLEDGED
    agent.decide(b'late', _option(), BUSY, admission.PASSED_PACKET_TTL_SECONDS + 1)
    assert len(agent._passed_by_key) == 1
