"""Searches for flows whose service the route in force does not name."""

import pytest

from egretjunction.decisions import relay_effects as effects
from egretjunction.decisions import relay_members
from egretjunction.decisions import relay_routes
from egretjunction.wire import relaying
from tests import relay_builders as build
from tests import searching

OTHER_SERVICE = 'surveys'
AGENTS = 20


def _entry_with_other_service():
    """Return an entry whose route names the service of m-1; m-2 serves another."""
    entry = build.entry('m-1')
    address = build.member_address('m-2')
    other = relay_members.Member('m-2', OTHER_SERVICE, 'a', address)
    entry.members.add_or_update(other)
    other.record_status(build.status(), 0)
    return entry


def _asked(emitted):
    return {effect.address for effect in build.owner_questions(emitted)}


def _deny(entry, name, emitted, now):
    (find,) = (
        effect.message.questions
        for effect in build.owner_questions(emitted)
        if effect.address == build.member_address(name)
    )
    denial = relaying.NotHeld([question.token for question in find], build.status())
    return entry.on_message(denial, build.member_address(name), now)


def test_flow_at_a_service_that_the_route_lost_before_this_start_is_not_reset():
    """Guards against resets by an entry that never knew the service of a flow.

    A weight was removed, which leaves open flows where they are; an entry that was
    started later asked only the agents of the services that are left.
    """
    entry = _entry_with_other_service()
    emitted = entry.on_client_packet(build.request(), 0)
    assert _asked(emitted) == {build.member_address('m-1')}
    emitted = _deny(entry, 'm-1', emitted, 0.01)
    assert not build.of_type(emitted, effects.Reset)
    assert _asked(emitted) == {build.member_address('m-2')}
    ((question,),) = (effect.message.questions for effect in emitted)
    held = relaying.Held(question.token, build.KEY, 0, build.status())
    emitted = entry.on_message(held, build.member_address('m-2'), 0.02)
    ((_, owner),) = build.sent_messages(emitted, relaying.Deliver)
    assert owner == build.member_address('m-2')


def test_flow_that_agents_of_all_services_deny_is_reset():
    entry = _entry_with_other_service()
    emitted = entry.on_client_packet(build.request(), 0)
    emitted = _deny(entry, 'm-1', emitted, 0.01)
    (reset,) = build.of_type(_deny(entry, 'm-2', emitted, 0.02), effects.Reset)
    assert reset.reason == 'nobody_holds_it'
    assert reset.fields == {'denied': 2, 'unasked': 0}


def test_silent_agent_of_the_route_does_not_keep_others_from_being_asked():
    """Guards against a flow of a lost service that waits until another agent is dead."""
    entry = _entry_with_other_service()
    entry.on_client_packet(build.request(), 0)
    emitted = []
    for step in range(1, 15):
        emitted += entry.tick(step * searching.TICK_SECONDS)
    assert build.member_address('m-2') in _asked(emitted)


def test_flow_of_a_newer_version_than_the_one_in_force_here_is_not_reset():
    """Guards against resets while another entry already follows the next version."""
    entry = _entry_with_other_service()
    route = relay_routes.Route('r', build.ROUTE, {OTHER_SERVICE: 1})
    emitted = entry.on_client_packet(build.request(), 0)
    assert not build.of_type(_deny(entry, 'm-1', emitted, 0.01), effects.Reset)
    entry.routes.adopt(relay_routes.RouteTable(2, [route]))
    assert entry.pending_count == 1


@pytest.mark.parametrize('other_agents', [20, 400])
def test_search_that_finds_the_owner_sends_nothing_to_other_services(other_agents):
    """Guards against a usual search that costs more with each service or member."""
    alone = searching.Site(AGENTS)
    alone.search(200, lambda number: number % AGENTS, seconds=5)
    site = searching.Site(AGENTS, other_agents=other_agents)
    site.search(200, lambda number: number % AGENTS, seconds=5)
    assert len(site.ended_at) == 200
    assert (site.questions, site.sent_bytes) == (alone.questions, alone.sent_bytes)
