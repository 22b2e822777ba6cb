"""Candidates by weighted rendezvous hash, and the agents' own decision."""

import collections

import pytest

from egretjunction.decisions import placement
from tests import builders

SERVERS = [builders.member(f'bookings-{number}', number) for number in range(8)]


def _first(flow: int, members):
    return placement.candidates(flow.to_bytes(8), members)[0].name


def test_shares_follow_weights():
    half = builders.member('bookings-0', 0, fitness=50)
    chosen = collections.Counter(
        _first(flow, [half, *SERVERS[1:]]) for flow in range(6000)
    )
    assert chosen['bookings-0'] / 6000 == pytest.approx(0.5 / 7.5, abs=0.012)
    assert chosen['bookings-1'] / 6000 == pytest.approx(1 / 7.5, abs=0.012)


def test_loss_of_a_server_moves_only_its_own_flows():
    for flow in range(500):
        before = _first(flow, SERVERS)
        if before != 'bookings-3':
            rest = [each for each in SERVERS if each.name != 'bookings-3']
            assert _first(flow, rest) == before


def test_order_of_the_view_does_not_matter():
    forward = placement.candidates(b'flow', SERVERS)
    backward = placement.candidates(b'flow', SERVERS[::-1])
    assert [each.name for each in forward] == [each.name for each in backward]


def test_weight_zero_gets_nothing():
    unfit = builders.member('unfit', 9, fitness=0)
    assert placement.candidates(b'flow', [unfit]) == []


@pytest.mark.parametrize(('age', 'weight'), [(0, 0.1), (5, 0.5), (10, 1), (99, 1)])
def test_slow_start_ramps(age, weight):
    assert placement.slow_start_weight(age, 10) == weight


def _walk(loads, domains=None):
    """Pass a first packet along; return the taker and the way that it went."""
    domains = domains or [0] * len(loads)
    here, seen, way = 0, placement.SearchState(0, 0, placement.MAX_LOAD), [0]
    for _ in range(20):
        found = placement.decide(loads[here], here, domains, seen)
        if found.action is placement.Action.TAKE:
            return here, way
        if found.action is placement.Action.REFUSE:
            return None, way
        here, seen = found.next_index, found.seen
        way.append(here)
    raise AssertionError('first packet went round for ever')


def _load(busy: int, *, is_open: bool = True, is_fit: bool = True):
    return placement.OwnLoad(2, busy, 0, is_open=is_open, is_fit=is_fit)


@pytest.mark.parametrize(
    ('loads', 'taker'),
    [
        ([_load(0), _load(0)], 0),
        ([_load(2), _load(1), _load(0)], 1),
        ([_load(5), _load(3), _load(4)], 1),
        ([_load(3), _load(4), _load(5)], 0),
        ([_load(3), _load(3), _load(3)], 2),
        ([_load(3, is_open=False), _load(9)], 1),
        ([_load(0, is_fit=False), _load(9)], 1),
        ([_load(0, is_fit=False), _load(0, is_open=False)], 0),
        ([_load(0, is_open=False)], None),
        ([_load(7)], 0),
    ],
)
def test_first_free_candidate_takes_else_the_least_loaded(loads, taker):
    found, way = _walk(loads)
    assert found == taker
    assert len(way) - 1 <= len(loads)


def test_candidates_of_the_same_domain_are_asked_first():
    _, way = _walk([_load(2), _load(2), _load(2), _load(2)], [1, 2, 1, 2])
    assert way[:4] == [0, 2, 1, 3]


def test_best_candidate_that_closed_meanwhile_refuses():
    closed = _load(0, is_open=False)
    found = placement.decide(closed, 1, [0, 0, 0], placement.SearchState(7, 1, 100))
    assert found.action is placement.Action.REFUSE
