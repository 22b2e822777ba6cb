"""An entry's offers of first packets and searches for owners of flows."""

import pytest

from egretjunction.decisions import relay_effects as effects
from egretjunction.decisions import relay_entry
from egretjunction.decisions import relay_members
from egretjunction.decisions import relay_routes
from egretjunction.decisions import relay_searching
from egretjunction.wire import relaying
from tests import relay_builders as build


def _offers(emitted):
    return build.sent_messages(emitted, relaying.Offer)


def _receive(entry, name, message, now=0.001):
    return entry.on_message(message, build.member_address(name), now)


def _place_flow(entry, first_packet, now=0.0):
    ((offer, address),) = _offers(entry.on_client_packet(first_packet, now))
    held = relaying.Held(offer.token, first_packet.key, 500, build.status(work=1))
    entry.on_message(held, address, now)
    return address


def test_packets_of_a_placed_flow_go_to_its_owner():
    entry = build.entry('m-1', 'm-2')
    owner = _place_flow(entry, build.first_packet())
    emitted = entry.on_client_packet(build.request(), 0.01)
    ((delivered, address),) = build.sent_messages(emitted, relaying.Deliver)
    assert (delivered.packet, address) == (build.request().raw, owner)


def test_address_without_a_route_is_reset_at_once():
    entry = build.entry('m-1', routes=relay_routes.RouteTable(1, []))
    (reset,) = entry.on_client_packet(build.first_packet(), 0)
    assert reset.reason == 'no_route'


def test_first_packet_is_offered_to_the_next_member_if_one_declines():
    entry = build.entry('m-1', 'm-2')
    ((offer, address),) = _offers(entry.on_client_packet(build.first_packet(), 0))
    passed = relaying.Passed(offer.token, relaying.Reason.REFUSED, build.status(work=2))
    ((_, second),) = _offers(entry.on_message(passed, address, 0.001))
    assert second != address


def test_first_packet_is_offered_to_the_next_member_if_one_does_not_answer():
    entry = build.entry('m-1', 'm-2')
    ((_, address),) = _offers(entry.on_client_packet(build.first_packet(), 0))
    ((_, second),) = _offers(entry.tick(relay_entry.OFFER_TIMEOUT_SECONDS + 0.001))
    assert second != address


def test_retransmitted_first_packet_goes_to_the_owner():
    entry = build.entry('m-1', 'm-2')
    owner = _place_flow(entry, build.first_packet())
    emitted = entry.on_client_packet(build.first_packet(retransmissions=1), 0.2)
    ((_, address),) = build.sent_messages(emitted, relaying.Deliver)
    assert address == owner


def test_client_acknowledgement_selects_one_of_two_accepting_servers():
    entry = build.entry('m-1', 'm-2')
    _place_flow(entry, build.first_packet())
    for name, sequence in (('m-1', 500), ('m-2', 9000)):
        held = relaying.Held(0, build.KEY, sequence, build.status())
        _receive(entry, name, held)
    emitted = entry.on_client_packet(build.request(acknowledged=9001), 0.01)
    ((_, address),) = build.sent_messages(emitted, relaying.Deliver)
    assert address == build.member_address('m-2')


def test_packet_that_arrives_before_the_agents_answer_waits_for_it():
    entry = build.entry('m-1')
    ((offer, address),) = _offers(entry.on_client_packet(build.first_packet(), 0))
    assert not entry.on_client_packet(build.request(), 0.002)
    held = relaying.Held(offer.token, build.KEY, 500, build.status())
    emitted = entry.on_message(held, address, 0.004)
    ((delivered, _),) = build.sent_messages(emitted, relaying.Deliver)
    assert delivered.packet == build.request().raw


def test_every_member_is_asked_for_an_unknown_flow():
    entry = build.entry('m-1', 'm-2', 'm-3')
    emitted = entry.on_client_packet(build.request(), 0)
    assert len(build.sent_messages(emitted, relaying.Find)) == 3


def test_located_owner_gets_the_queued_packets():
    entry = build.entry('m-1', 'm-2')
    emitted = entry.on_client_packet(build.request(), 0)
    entry.on_client_packet(build.request(sequence=301), 0.001)
    token = build.sent_messages(emitted, relaying.Find)[0][0].questions[0].token
    held = relaying.Held(token, build.KEY, 500, build.status())
    emitted = _receive(entry, 'm-2', held)
    assert [
        address for _, address in build.sent_messages(emitted, relaying.Deliver)
    ] == [build.member_address('m-2')] * 2


def test_flow_is_reset_as_soon_as_all_members_have_denied_it():
    entry = build.entry('m-1', 'm-2')
    emitted = entry.on_client_packet(build.request(), 0)
    token = build.sent_messages(emitted, relaying.Find)[0][0].questions[0].token
    denied = relaying.NotHeld([token], build.status())
    assert not build.of_type(_receive(entry, 'm-1', denied), effects.Reset)
    (reset,) = build.of_type(_receive(entry, 'm-2', denied), effects.Reset)
    assert reset.reason == 'nobody_holds_it'


def test_flow_is_not_reset_while_a_member_may_hold_it():
    entry = build.entry('m-1', 'm-2')
    emitted = entry.on_client_packet(build.request(), 0)
    token = build.sent_messages(emitted, relaying.Find)[0][0].questions[0].token
    _receive(entry, 'm-1', relaying.NotHeld([token], build.status()))
    emitted = []
    for step in range(1, 60):
        emitted += entry.tick(step * 0.025)
    assert not build.of_type(emitted, effects.Reset)


def test_search_does_not_wait_for_a_silent_agent_that_had_no_server():
    """Guards against dead flows that wait for instances that were taken away.

    After a power loss, instances whose servers had left start again and disappear.
    """
    entry = build.entry('m-1', 'm-2')
    gone = build.status(build.relaying.State.GONE, slots=0)
    entry.members.member_by_name['m-2'].record_status(gone, 0)
    entry.tick(0.5)
    emitted = entry.on_client_packet(build.request(), 0.5)
    token = build.sent_messages(emitted, relaying.Find)[0][0].questions[0].token
    denied = relaying.NotHeld([token], build.status())
    (reset,) = build.of_type(_receive(entry, 'm-1', denied, 0.51), effects.Reset)
    assert reset.reason == 'nobody_holds_it'


@pytest.mark.parametrize(
    ('status', 'age_seconds'),
    [
        (build.status(build.relaying.State.GONE, slots=0, flows=1), 0.5),
        (build.status(build.relaying.State.GONE), 0.5),  # only the agent stops
        (build.status(build.relaying.State.GONE, slots=0), 2.1),  # may be back
    ],
)
def test_search_waits_for_a_silent_agent_that_may_hold_flows(status, age_seconds):
    entry = build.entry('m-1', 'm-2')
    entry.members.member_by_name['m-2'].record_status(status, 0)
    entry.tick(age_seconds)
    emitted = entry.on_client_packet(build.request(), age_seconds)
    token = build.sent_messages(emitted, relaying.Find)[0][0].questions[0].token
    denied = relaying.NotHeld([token], build.status())
    emitted = _receive(entry, 'm-1', denied, age_seconds + 0.01)
    assert not build.of_type(emitted, effects.Reset)


def test_unsure_members_are_sent_the_packet_at_once():
    entry = build.entry('m-1', 'm-2')
    for member in entry.members.member_by_name.values():
        member.record_status(build.status(knows_all_flows=False), 0)
    emitted = entry.on_client_packet(build.request(), 0)
    assert len(build.sent_messages(emitted, relaying.Ask)) == 2


def test_flow_of_an_unlisted_member_is_kept():
    entry = build.entry('m-1')
    owner = _place_flow(entry, build.first_packet())
    entry.members.mark_unlisted('m-1')
    emitted = entry.on_client_packet(build.request(), 2)
    assert build.sent_messages(emitted, relaying.Deliver)[0][1] == owner


def test_next_ping_tells_a_member_that_it_is_unlisted():
    entry = build.entry('m-1')
    entry.members.mark_unlisted('m-1')
    ((ping, _),) = build.sent_messages(entry.tick(2), relaying.Ping)
    assert ping.is_unlisted


def test_new_flows_prefer_the_domain_of_the_entry_until_it_is_much_more_loaded():
    entry = build.entry('m-1')
    far = relay_members.Member('m-9', build.SERVICE, 'b', build.member_address('m-9'))
    entry.members.add_or_update(far)
    far.record_status(build.status(), 0)
    ((_, near),) = _offers(entry.on_client_packet(build.first_packet(), 0))
    assert near == build.member_address('m-1')
    entry.members.member_by_name['m-1'].record_status(build.status(work=2), 0.01)
    key = build.flow_key(9)
    ((_, chosen),) = _offers(entry.on_client_packet(build.first_packet(key), 0.01))
    assert chosen == far.address


def _receive_and_decline(entry, first_packet, now):
    """Receive a first packet and decline every offer of it."""
    for offer, address in _offers(entry.on_client_packet(first_packet, now)):
        passed = relaying.Passed(
            offer.token, relaying.Reason.BUSY, build.status(work=3)
        )
        assert not _offers(entry.on_message(passed, address, now))


def test_first_packet_waits_while_every_server_is_full():
    entry = build.entry('m-1')
    _receive_and_decline(entry, build.first_packet(), 0)
    emitted = _receive(
        entry, 'm-1', relaying.Pong(build.SERVICE_TAG, build.status(work=2)), 0.02
    )
    assert len(_offers(emitted)) == 1


def test_first_packet_that_cannot_meet_its_deadline_is_reset():
    entry = build.entry('m-1')
    entry.members.member_by_name['m-1'].record_status(
        build.status(state=relaying.State.DRAINING), 0
    )
    emitted = entry.on_client_packet(build.first_packet(), 0)
    for step in range(60):
        emitted += entry.tick(step * 0.025)
    (reset,) = build.of_type(emitted, effects.Reset)
    assert reset.reason == 'nobody_took_it'


def test_message_of_an_unknown_agent_is_ignored():
    entry = build.entry('m-1')
    held = relaying.Held(1, build.KEY, 500, build.status())
    (log,) = _receive(entry, 'm-7', held)
    assert log.event == 'agent_unknown'


def test_retransmitted_first_packet_is_aged_from_its_first_transmission():
    """Guards against treating old first packets as new ones after a power loss.

    An entry then receives retransmissions of packets that it has never received.
    """
    entry = build.entry('m-1')
    retransmitted = build.first_packet(build.flow_key(1), retransmissions=1)
    fresh = build.first_packet(build.flow_key(2))
    _receive_and_decline(entry, retransmitted, 0.1)
    _receive_and_decline(entry, fresh, 0.15)
    emitted = _receive(
        entry, 'm-1', relaying.Pong(build.SERVICE_TAG, build.status(work=2)), 0.16
    )
    ((offer, _),) = _offers(emitted)
    assert offer.packet == fresh.raw


def test_recently_full_server_gets_no_offer():
    """Guards against offering every first packet to every full server under overload."""
    names = [f'm-{number}' for number in range(1, 11)]
    entry = build.entry(*names)
    for member in entry.members.member_by_name.values():
        member.record_status(build.status(work=3), 0)
    assert not _offers(entry.on_client_packet(build.first_packet(), 0.001))


def test_waiting_first_packet_is_offered_once_a_member_has_capacity():
    entry = build.entry('m-1')
    _receive_and_decline(entry, build.first_packet(), 0)
    entry.members.member_by_name['m-1'].record_status(build.status(work=0), 0.01)
    assert len(_offers(entry.tick(0.06))) == 1


def test_stall_of_the_entry_does_not_count_as_an_agents_silence():
    entry = build.entry('m-1')
    entry.members.member_by_name['m-1'].record_request(0)
    entry.tick(0.4, stalled_seconds=0.375)
    assert _offers(entry.on_client_packet(build.first_packet(), 0.401))


def test_packet_of_an_unsent_question_is_delivered_to_the_owner():
    """Guards against dropping a packet whose question was held back by the budget.

    Such a question was counted as if the owner had received the packet with it.
    """
    entry = build.entry('m-1', link_mbps=0)
    entry.members.member_by_name['m-1'].record_status(
        build.status(knows_all_flows=False), 0
    )
    assert not build.owner_questions(entry.on_client_packet(build.request(), 0))
    held = relaying.Held(0, build.KEY, 500, build.status())
    emitted = _receive(entry, 'm-1', held)
    ((delivered, _),) = build.sent_messages(emitted, relaying.Deliver)
    assert delivered.packet == build.request().raw


def test_log_of_a_waiting_first_packet_counts_ready_members():
    entry = build.entry('m-1', 'm-2')
    for name, state in (('m-1', 'READY'), ('m-2', 'DRAINING')):
        full_status = build.status(relaying.State[state], work=3)
        entry.members.member_by_name[name].record_status(full_status, 0)
    emitted = entry.on_client_packet(build.first_packet(), 0.001)
    (log,) = build.of_type(emitted, effects.Log)
    assert (log.event, log.fields['members']) == ('flow_waiting', 1)


def test_member_that_returned_a_packet_is_not_asked_for_its_flow():
    entry = build.entry('m-1', 'm-2')
    owner = _place_flow(entry, build.first_packet())
    entry.on_client_packet(build.request(), 0.01)
    returned = relaying.Returned(build.request().raw, build.status())
    emitted = entry.on_message(returned, owner, 0.02)
    asked = {effect.address for effect in build.owner_questions(emitted)}
    assert asked == set(entry.members.member_by_address) - {owner}


def _entry_with_far_members(near, far):
    entry = build.entry(*(f'm-{number}' for number in range(near)))
    for number in range(near, near + far):
        name = f'm-{number}'
        member = relay_members.Member(
            name, build.SERVICE, 'b', build.member_address(name)
        )
        entry.members.add_or_update(member)
        member.record_status(build.status(), 0)
    return entry


def _asked(emitted):
    return {effect.address for effect in build.owner_questions(emitted)}


def test_search_asks_other_domains_only_after_the_own_one_has_denied():
    """Load pattern: routers move all flows of a domain to other entries of it."""
    entry = _entry_with_far_members(2, 3)
    emitted = entry.on_client_packet(build.request(), 0)
    assert _asked(emitted) == {build.member_address(f'm-{n}') for n in range(2)}
    (question,) = build.owner_questions(emitted)[0].message.questions
    denial = relaying.NotHeld([question.token], build.status())
    assert not _asked(_receive(entry, 'm-0', denial))
    emitted = _receive(entry, 'm-1', denial)
    assert _asked(emitted) == {build.member_address(f'm-{n}') for n in range(2, 5)}


def test_search_asks_other_domains_if_the_own_one_does_not_answer_in_time():
    entry = _entry_with_far_members(2, 3)
    entry.on_client_packet(build.request(), 0)
    emitted = entry.tick(relay_searching.SEARCH_ROUND_SECONDS + 0.001)
    assert {build.member_address(f'm-{n}') for n in range(2, 5)} <= _asked(emitted)


def test_announced_agent_gets_flows_before_it_is_listed():
    entry = build.entry()
    announcement = relaying.Announce('m-7', build.SERVICE, 'a', build.status())
    _receive(entry, 'm-7', announcement)
    ((_, address),) = _offers(entry.on_client_packet(build.first_packet(), 0.1))
    assert address == build.member_address('m-7')


def test_announcement_of_a_new_agent_replaces_the_one_that_had_its_address():
    entry = build.entry('m-1')
    announcement = relaying.Announce('n-1', 'surveys', 'a', build.status())
    _receive(entry, 'm-1', announcement)
    assert list(entry.members.member_by_name) == ['n-1']


def _denied_search(entry, now, name='m-0'):
    """Search for a flow that a member denies; return what is emitted then."""
    emitted = entry.on_client_packet(build.request(), now)
    (question,) = build.owner_questions(emitted)[0].message.questions
    return _receive(
        entry, name, relaying.NotHeld([question.token], build.status()), now
    )


def test_flow_is_not_reset_before_a_listing_shows_that_all_agents_were_asked():
    """Guards against a reset while an agent that this entry missed holds the flow.

    The entry's key was taken away, so that a new agent did not announce itself to it.
    """
    entry = build.entry('m-0')
    entry.members.is_watched = False
    assert not _denied_search(entry, 5)
    assert entry.members.wants_listing
    assert not build.of_type(entry.tick(5.03), effects.Reset)
    entry.members.record_listing(5.04)
    missed = relay_members.Member(
        'm-1', build.SERVICE, 'a', build.member_address('m-1')
    )
    entry.members.add_or_update(missed)
    assert _asked(entry.tick(5.06)) == {build.member_address('m-1')}


def test_flow_that_no_listed_agent_holds_is_reset():
    entry = build.entry('m-0')
    entry.members.is_watched = False
    _denied_search(entry, 5)
    entry.members.record_listing(5.01)
    (reset,) = build.of_type(entry.tick(5.03), effects.Reset)
    assert reset.reason == 'nobody_holds_it'


def test_flow_is_not_reset_while_the_store_cannot_be_read():
    entry = build.entry('m-0')
    entry.members.is_watched = False
    _denied_search(entry, 5)
    emitted = [effect for tick in range(60) for effect in entry.tick(5 + tick * 0.025)]
    assert not build.of_type(emitted, effects.Reset)
    assert not entry.pending_count


def _list_returned_key(entry, now, service=build.SERVICE):
    """List a key of an agent that left; an agent of another service took its address."""
    address = build.member_address('m-1')
    returned = relay_members.Member('m-0', service, 'a', address)
    entry.members.add_listed(returned, now)
    return address


def test_agent_at_a_reused_address_is_asked_to_announce_itself():
    """Guards against a key that a restored store brought back."""
    entry = build.entry()
    address = _list_returned_key(entry, 0)
    pong = relaying.Pong(relaying.compute_service_tag('surveys'), build.status())
    emitted = entry.on_message(pong, address, 0.01)
    ((ping, asked),) = build.sent_messages(emitted, relaying.Ping)
    assert (ping.is_unlisted, asked) == (True, address)
    assert not build.sent_messages(entry.on_message(pong, address, 0.02), relaying.Ping)
    announcement = relaying.Announce('m-1', 'surveys', 'a', build.status())
    entry.on_message(announcement, address, 0.03)
    assert [
        (member.name, member.service)
        for member in entry.members.member_by_name.values()
    ] == [('m-1', 'surveys')]


def test_flow_is_not_reset_while_a_listed_agent_may_be_another_one():
    """Guards against a reset of a flow at an agent whose key a restore took away."""
    entry = build.entry('m-2')
    address = _list_returned_key(entry, 0, 'surveys')
    pong = relaying.Pong(build.SERVICE_TAG, build.status())
    emitted = _denied_search(entry, 0.01, 'm-2')
    assert not build.of_type(emitted, effects.Reset)
    entry.on_message(pong, address, 0.02)
    assert not build.of_type(entry.tick(0.05), effects.Reset)
    announcement = relaying.Announce('m-1', build.SERVICE, 'a', build.status())
    entry.on_message(announcement, address, 0.06)
    assert address in _asked(entry.tick(0.1))


def test_address_of_a_key_that_nobody_answers_for_holds_up_a_reset_until_it_is_dead():
    """Guards against a key of an agent that is gone which keeps flows for ever."""
    entry = build.entry('m-2')
    _list_returned_key(entry, 0, 'surveys')
    emitted = _denied_search(entry, 0.01, 'm-2')
    now = 0.01
    while not build.of_type(emitted, effects.Reset):
        now += 0.025
        pong = relaying.Pong(build.SERVICE_TAG, build.status())
        entry.on_message(pong, build.member_address('m-2'), now)
        emitted = [*entry.on_client_packet(build.request(), now), *entry.tick(now)]
    reset, *_ = build.of_type(emitted, effects.Reset)
    assert reset.reason == 'nobody_holds_it'
    assert 0 <= now - 0.01 - relay_members.DEAD_AFTER_SECONDS < 0.05
