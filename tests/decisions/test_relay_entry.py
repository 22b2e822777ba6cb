"""Offers of first packets and searches for owners at an entry that relays."""

from egretjunction.decisions import relay_effects as effects
from egretjunction.decisions import relay_entry
from egretjunction.decisions import relay_members
from egretjunction.decisions import relay_routes
from egretjunction.wire import relaying
from tests import relay_builders as build


def _offers(found):
    return build.sent(found, relaying.Offer)


def _answer(entry, name, message, now=0.001):
    return entry.on_message(message, build.member_address(name), now)


def _place(entry, given, now=0.0):
    ((offered, address),) = _offers(entry.on_client_packet(given, now))
    held = relaying.Held(offered.token, given.key, 500, build.status(work=1))
    entry.on_message(held, address, now)
    return address


def test_packets_of_a_placed_flow_go_to_its_owner():
    entry = build.entry('m-1', 'm-2')
    owner = _place(entry, build.first())
    found = entry.on_client_packet(build.request(), 0.01)
    ((delivered, address),) = build.sent(found, relaying.Deliver)
    assert (delivered.packet, address) == (build.request().raw, owner)


def test_address_without_a_route_is_reset_at_once():
    entry = build.entry('m-1', routes=relay_routes.RouteTable(1, []))
    (reset,) = entry.on_client_packet(build.first(), 0)
    assert reset.reason == 'no_route'


def test_member_that_passes_is_followed_by_the_next():
    entry = build.entry('m-1', 'm-2')
    ((offered, address),) = _offers(entry.on_client_packet(build.first(), 0))
    passed = relaying.Passed(
        offered.token, relaying.Reason.REFUSED, build.status(work=2)
    )
    ((_, second),) = _offers(entry.on_message(passed, address, 0.001))
    assert second != address


def test_member_that_does_not_answer_is_followed_by_the_next():
    entry = build.entry('m-1', 'm-2')
    ((_, address),) = _offers(entry.on_client_packet(build.first(), 0))
    ((_, second),) = _offers(entry.tick(relay_entry.OFFER_SECONDS + 0.001))
    assert second != address


def test_copy_of_a_first_packet_goes_to_the_owner():
    entry = build.entry('m-1', 'm-2')
    owner = _place(entry, build.first())
    found = entry.on_client_packet(build.first(copies=1), 0.2)
    ((_, address),) = build.sent(found, relaying.Deliver)
    assert address == owner


def test_client_chooses_between_two_servers_that_accepted():
    entry = build.entry('m-1', 'm-2')
    _place(entry, build.first())
    for name, sequence in (('m-1', 500), ('m-2', 9000)):
        held = relaying.Held(0, build.KEY, sequence, build.status())
        _answer(entry, name, held)
    found = entry.on_client_packet(build.request(acknowledged=9001), 0.01)
    ((_, address),) = build.sent(found, relaying.Deliver)
    assert address == build.member_address('m-2')


def test_packet_ahead_of_the_agents_answer_waits_for_it():
    entry = build.entry('m-1')
    ((offered, address),) = _offers(entry.on_client_packet(build.first(), 0))
    assert not entry.on_client_packet(build.request(), 0.002)
    held = relaying.Held(offered.token, build.KEY, 500, build.status())
    found = entry.on_message(held, address, 0.004)
    ((delivered, _),) = build.sent(found, relaying.Deliver)
    assert delivered.packet == build.request().raw


def test_unknown_flow_is_searched_at_every_member():
    entry = build.entry('m-1', 'm-2', 'm-3')
    found = entry.on_client_packet(build.request(), 0)
    assert len(build.sent(found, relaying.Find)) == 3


def test_found_owner_gets_what_has_waited():
    entry = build.entry('m-1', 'm-2')
    found = entry.on_client_packet(build.request(), 0)
    entry.on_client_packet(build.request(sequence=301), 0.001)
    token = build.sent(found, relaying.Find)[0][0].questions[0].token
    held = relaying.Held(token, build.KEY, 500, build.status())
    found = _answer(entry, 'm-2', held)
    assert [address for _, address in build.sent(found, relaying.Deliver)] == [
        build.member_address('m-2')
    ] * 2


def test_flow_that_nobody_holds_is_reset_as_soon_as_all_have_denied():
    entry = build.entry('m-1', 'm-2')
    found = entry.on_client_packet(build.request(), 0)
    token = build.sent(found, relaying.Find)[0][0].questions[0].token
    denied = relaying.NotHeld([token], build.status())
    assert not build.of_kind(_answer(entry, 'm-1', denied), effects.Reset)
    (reset,) = build.of_kind(_answer(entry, 'm-2', denied), effects.Reset)
    assert reset.reason == 'nobody_holds_it'


def test_flow_is_not_reset_while_a_member_may_hold_it():
    entry = build.entry('m-1', 'm-2')
    found = entry.on_client_packet(build.request(), 0)
    token = build.sent(found, relaying.Find)[0][0].questions[0].token
    _answer(entry, 'm-1', relaying.NotHeld([token], build.status()))
    found = []
    for step in range(1, 60):
        found += entry.tick(step * 0.025)
    assert not build.of_kind(found, effects.Reset)


def test_unsure_members_are_asked_with_the_packet_at_once():
    entry = build.entry('m-1', 'm-2')
    for member in entry.members.member_by_name.values():
        member.heard(build.status(knows_all_flows=False), 0)
    found = entry.on_client_packet(build.request(), 0)
    assert len(build.sent(found, relaying.Ask)) == 2


def test_flow_of_a_member_that_lost_its_key_stays():
    entry = build.entry('m-1')
    owner = _place(entry, build.first())
    entry.members.unlist('m-1', 1)
    found = entry.on_client_packet(build.request(), 2)
    assert build.sent(found, relaying.Deliver)[0][1] == owner


def test_member_that_lost_its_key_is_told_with_the_next_ping():
    entry = build.entry('m-1')
    entry.members.unlist('m-1', 1)
    ((ping, _),) = build.sent(entry.tick(2), relaying.Ping)
    assert ping.is_unlisted


def test_new_flows_prefer_the_own_domain_until_it_is_fuller():
    entry = build.entry('m-1')
    far = relay_members.Member('m-9', build.SERVICE, 'b', build.member_address('m-9'))
    entry.members.list_member(far)
    far.heard(build.status(), 0)
    ((_, near),) = _offers(entry.on_client_packet(build.first(), 0))
    assert near == build.member_address('m-1')
    entry.members.member_by_name['m-1'].heard(build.status(work=2), 0.01)
    key = build.flow_key(9)
    ((_, chosen),) = _offers(entry.on_client_packet(build.first(key), 0.01))
    assert chosen == far.address


def _wait(entry, given, now):
    """Let a first packet come that every member passes on."""
    for offered, address in _offers(entry.on_client_packet(given, now)):
        passed = relaying.Passed(
            offered.token, relaying.Reason.BUSY, build.status(work=3)
        )
        assert not _offers(entry.on_message(passed, address, now))


def test_first_packets_wait_while_every_server_is_full():
    entry = build.entry('m-1')
    _wait(entry, build.first(), 0)
    found = _answer(entry, 'm-1', relaying.Pong(0, build.status(work=2)), 0.02)
    assert len(_offers(found)) == 1


def test_first_packet_that_cannot_be_answered_in_time_any_more_is_refused():
    entry = build.entry('m-1')
    entry.members.member_by_name['m-1'].heard(
        build.status(state=relaying.State.DRAINING), 0
    )
    found = entry.on_client_packet(build.first(), 0)
    for step in range(60):
        found += entry.tick(step * 0.025)
    (reset,) = build.of_kind(found, effects.Reset)
    assert reset.reason == 'nobody_took_it'


def test_message_of_an_unknown_agent_changes_nothing():
    entry = build.entry('m-1')
    held = relaying.Held(1, build.KEY, 500, build.status())
    (logged,) = _answer(entry, 'm-7', held)
    assert logged.event == 'agent_unknown'


def test_copy_of_a_first_packet_counts_from_when_the_first_was_sent():
    """After a power loss an entry sees copies of packets that it never got."""
    entry = build.entry('m-1')
    copy = build.first(build.flow_key(1), copies=1)
    fresh = build.first(build.flow_key(2))
    _wait(entry, copy, 0.1)
    _wait(entry, fresh, 0.15)
    found = _answer(entry, 'm-1', relaying.Pong(0, build.status(work=2)), 0.16)
    ((offered, _),) = _offers(found)
    assert offered.packet == fresh.raw


def test_server_that_was_full_a_moment_ago_gets_no_offer():
    """Under a rush every first packet was offered to every full server in turn."""
    names = [f'm-{number}' for number in range(1, 11)]
    entry = build.entry(*names)
    for member in entry.members.member_by_name.values():
        member.heard(build.status(work=3), 0)
    assert not _offers(entry.on_client_packet(build.first(), 0.001))


def test_waiting_first_packet_goes_to_a_member_that_has_room_by_now():
    entry = build.entry('m-1')
    _wait(entry, build.first(), 0)
    entry.members.member_by_name['m-1'].heard(build.status(work=0), 0.01)
    assert len(_offers(entry.tick(0.06))) == 1


def test_time_in_which_the_entry_read_nothing_is_not_an_agents_silence():
    entry = build.entry('m-1')
    entry.members.member_by_name['m-1'].asked(0)
    entry.tick(0.4, late=0.375)
    assert _offers(entry.on_client_packet(build.first(), 0.401))


def test_packet_of_a_question_that_was_not_sent_yet_still_goes_to_the_owner():
    """A question beyond the budget was counted as if the owner had its packet."""
    entry = build.entry('m-1', link_mbps=0)
    entry.members.member_by_name['m-1'].heard(build.status(knows_all_flows=False), 0)
    assert not build.asks(entry.on_client_packet(build.request(), 0))
    held = relaying.Held(0, build.KEY, 500, build.status())
    found = _answer(entry, 'm-1', held)
    ((delivered, _),) = build.sent(found, relaying.Deliver)
    assert delivered.packet == build.request().raw


def test_log_of_a_waiting_first_packet_tells_full_servers_from_none():
    entry = build.entry('m-1', 'm-2')
    for name, state in (('m-1', 'READY'), ('m-2', 'DRAINING')):
        told = build.status(relaying.State[state], work=3)
        entry.members.member_by_name[name].heard(told, 0)
    found = entry.on_client_packet(build.first(), 0.001)
    (logged,) = build.of_kind(found, effects.Log)
    assert (logged.event, logged.fields['members']) == ('flow_waiting', 1)
