"""Searches after a power loss at the sizes of large sites, without a network."""

import pytest

from egretjunction.decisions import relay_questions
from tests import searching

ENTRIES = 23
FLOWS_PER_ENTRY = 1200 // ENTRIES + 1
AGENTS = 60
LINK_MBPS = 10
BUDGET_BYTES_PER_SECOND = LINK_MBPS * 1_000_000 / 8 * relay_questions.LINK_SHARE


def _is_faulty(number):
    return number % 10 == 3


def _slow(number, _now):
    return 0.3 if _is_faulty(number) else 0.001


def _paused(number, now):
    return max(0.001, 1.2 - now) if _is_faulty(number) else 0.001


def _gone(number, _now):
    return None if _is_faulty(number) else 0.001


def _owner_of(number):
    """Return the agent that holds a flow; every other flow is held."""
    return number % AGENTS if number % 2 else None


def _owner_that_lives(number):
    owner = _owner_of(number)
    return None if owner is None or _is_faulty(owner) else owner


def _check(site):
    """Check what holds in every case."""
    held = [key for key, owner in site.owner_by_key.items() if owner is not None]
    assert not site.reset_keys.intersection(held), 'a flow that lives was reset'
    allowed_seconds = site.now + relay_questions.BURST_SECONDS
    # Headers of datagrams are estimated, and the last message may exceed the budget.
    assert site.sent_bytes < BUDGET_BYTES_PER_SECOND * allowed_seconds * 1.05


def test_each_dead_flow_is_reset_and_each_living_one_located_within_a_second():
    """Guards against searches that are abandoned after a power loss (1,210 flows)."""
    site = searching.Site(AGENTS, link_mbps=LINK_MBPS)
    site.search(FLOWS_PER_ENTRY, _owner_of, seconds=5)
    _check(site)
    dead = site.times(is_alive=False)
    assert len(site.ended_at) == FLOWS_PER_ENTRY
    assert dead[len(dead) // 2] < 0.3
    assert dead[-1] < 1
    assert site.times(is_alive=True)[-1] < 1
    assert not site.failed


@pytest.mark.parametrize(
    ('delay_of', 'owner_of', 'seconds'),
    [
        (_slow, _owner_of, 1.0),
        (_paused, _owner_of, 1.5),
        (_gone, _owner_that_lives, 1.8),
    ],
)
def test_faulty_tenth_of_the_agents_delays_the_end_only_until_it_is_decided(
    delay_of, owner_of, seconds
):
    """Guards against flows that are asked about for ever because of some agents."""
    site = searching.Site(AGENTS, delay_of=delay_of, link_mbps=LINK_MBPS)
    site.search(FLOWS_PER_ENTRY, owner_of, seconds=10)
    _check(site)
    assert len(site.ended_at) == FLOWS_PER_ENTRY
    assert max(site.ended_at.values()) < seconds


def test_agents_that_are_gone_get_few_messages():
    """Guards against spending the budget on agents that do not answer."""
    usual = searching.Site(AGENTS, link_mbps=LINK_MBPS)
    usual.search(FLOWS_PER_ENTRY, _owner_that_lives, seconds=5)
    faulty = searching.Site(AGENTS, delay_of=_gone, link_mbps=LINK_MBPS)
    faulty.search(FLOWS_PER_ENTRY, _owner_that_lives, seconds=5)
    assert faulty.sent_bytes < usual.sent_bytes * 1.2


def test_searches_at_a_thousand_agents_stay_within_their_share_of_the_link():
    """Guards against searches that take the whole link of a small entry.

    Each of 20 entries has 1,500 of 30,000 flows.
    """
    site = searching.Site(1000, link_mbps=LINK_MBPS)
    site.search(1500, lambda number: number % 1000 if number % 2 else None, seconds=1)
    _check(site)
    assert site.ended_at
