"""Candidates by weighted rendezvous hashing, and the agents' decisions by load."""

import collections

import pytest

from egretjunction.decisions import placement
from tests import builders

SERVERS = [builders.member(f'bookings-{number}', number) for number in range(8)]


def _first(flow: int, members):
    return placement.candidates(flow.to_bytes(8), members)[0].name


def test_the_share_of_flows_is_proportional_to_the_weight():
    half_weight = builders.member('bookings-0', 0, fitness=50)
    chosen = collections.Counter(
        _first(flow, [half_weight, *SERVERS[1:]]) for flow in range(6000)
    )
    assert chosen['bookings-0'] / 6000 == pytest.approx(0.5 / 7.5, abs=0.012)
    assert chosen['bookings-1'] / 6000 == pytest.approx(1 / 7.5, abs=0.012)


def test_removing_a_server_moves_only_its_own_flows():
    for flow in range(500):
        before = _first(flow, SERVERS)
        if before != 'bookings-3':
            remaining = [server for server in SERVERS if server.name != 'bookings-3']
            assert _first(flow, remaining) == before


def test_candidates_do_not_depend_on_the_order_of_the_members():
    forward = placement.candidates(b'flow', SERVERS)
    backward = placement.candidates(b'flow', SERVERS[::-1])
    assert [server.name for server in forward] == [server.name for server in backward]


def test_a_server_with_weight_zero_is_no_candidate():
    unfit = builders.member('unfit', 9, fitness=0)
    assert placement.candidates(b'flow', [unfit]) == []


@pytest.mark.parametrize(('age', 'weight'), [(0, 0.1), (5, 0.5), (10, 1), (99, 1)])
def test_slow_start_raises_the_weight_linearly(age, weight):
    assert placement.slow_start_weight(age, 10) == weight


def _pass_along(loads, domains=None):
    """Pass a first packet along; return the index that takes it and its path."""
    domains = domains or [0] * len(loads)
    index, search, path = 0, placement.SearchState(0, 0, placement.MAX_LOAD), [0]
    for _ in range(20):
        decision = placement.decide(loads[index], index, domains, search)
        if decision.action is placement.Action.TAKE:
            return index, path
        if decision.action is placement.Action.REFUSE:
            return None, path
        index, search = decision.next_index, decision.search
        path.append(index)
    raise AssertionError('first packet was passed on 20 times')


def _load(outstanding: int, *, is_open: bool = True, is_fit: bool = True):
    return placement.OwnLoad(2, outstanding, 0, is_open=is_open, is_fit=is_fit)


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
def test_the_first_free_candidate_takes_the_flow_or_else_the_least_loaded(loads, taker):
    actual_taker, path = _pass_along(loads)
    assert actual_taker == taker
    assert len(path) - 1 <= len(loads)


def test_candidates_of_the_same_domain_are_tried_first():
    _, path = _pass_along([_load(2), _load(2), _load(2), _load(2)], [1, 2, 1, 2])
    assert path[:4] == [0, 2, 1, 3]


def test_the_best_candidate_refuses_when_it_has_closed_meanwhile():
    closed = _load(0, is_open=False)
    decision = placement.decide(closed, 1, [0, 0, 0], placement.SearchState(7, 1, 100))
    assert decision.action is placement.Action.REFUSE
