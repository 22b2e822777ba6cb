"""An entry's searches for owners of flows: denials, repeats, and what they log."""

from egretjunction import addresses
from egretjunction.decisions import relay_denials
from egretjunction.decisions import relay_effects as effects
from egretjunction.decisions import relay_members
from egretjunction.decisions import relay_routes
from egretjunction.wire import relaying
from tests import relay_builders as build

TICK_SECONDS = 0.025


def _receive(entry, name, message, now):
    return entry.on_message(message, build.member_address(name), now)


def _asked(emitted):
    return {effect.address for effect in build.owner_questions(emitted)}


def _addresses(*names):
    return {build.member_address(name) for name in names}


def _tokens(emitted):
    tokens = set()
    for effect in build.owner_questions(emitted):
        message = effect.message
        if isinstance(message, relaying.Ask):
            tokens.add(message.token)
        else:
            tokens.update(question.token for question in message.questions)
    return tokens


def _deny(entry, name, emitted, now, **fields):
    """Let a member deny all flows that it was asked about."""
    denial = relaying.NotHeld(sorted(_tokens(emitted)), build.status(**fields))
    return _receive(entry, name, denial, now)


def _run(entry, start, end):
    """Run the timers of an entry; return what is emitted."""
    emitted = []
    steps = round((end - start) / TICK_SECONDS)
    for step in range(1, steps + 1):
        emitted += entry.tick(start + step * TICK_SECONDS)
    return emitted


def _abandoned_search(*names):
    """Return an entry that gave up a search that only the first member denied.

    The others answer pings, so that none of them counts as dead.
    """
    entry = build.entry(*names)
    emitted = entry.on_client_packet(build.request(), 0)
    _deny(entry, names[0], emitted, 0.01)
    now = 0.0
    while entry.pending_count:
        now += TICK_SECONDS
        for name in names[1:]:
            pong = relaying.Pong(build.SERVICE_TAG, build.status())
            _receive(entry, name, pong, now)
        entry.tick(now)
    return entry, now


def test_new_search_asks_only_members_that_have_not_denied_the_flow():
    """Guards against asking all agents again after each abandoned search.

    One agent that does not answer made each of a client's packets cost a question to
    every agent, which delayed the answers for all other flows.
    """
    entry, now = _abandoned_search('m-1', 'm-2', 'm-3')
    emitted = entry.on_client_packet(build.request(), now)
    assert _asked(emitted) == _addresses('m-2', 'm-3')


def test_flow_is_reset_once_the_last_member_denies_it_in_a_later_search():
    entry, now = _abandoned_search('m-1', 'm-2')
    emitted = entry.on_client_packet(build.request(), now)
    (reset,) = build.of_type(_deny(entry, 'm-2', emitted, now + 0.01), effects.Reset)
    assert reset.reason == 'nobody_holds_it'


def test_member_whose_server_was_restarted_is_asked_again():
    """Guards against a denial that outlives the server that it was about."""
    entry, now = _abandoned_search('m-1', 'm-2')
    restarted = relaying.Pong(build.SERVICE_TAG, build.status(cold_ms=2000))
    _receive(entry, 'm-1', restarted, now)
    emitted = entry.on_client_packet(build.request(), now + 0.01)
    assert _asked(emitted) == _addresses('m-1', 'm-2')


def test_member_that_was_restarted_is_asked_again():
    entry, now = _abandoned_search('m-1', 'm-2')
    for state in ('STARTING', 'READY'):
        status = build.status(relaying.State[state])
        _receive(entry, 'm-1', relaying.Pong(build.SERVICE_TAG, status), now)
    emitted = entry.on_client_packet(build.request(), now + 0.01)
    assert _asked(emitted) == _addresses('m-1', 'm-2')


def test_member_whose_record_was_replaced_is_asked_again():
    entry, now = _abandoned_search('m-1', 'm-2')
    entry.members.remove(entry.members.member_by_name['m-1'])
    entry.members.add_or_update(
        relay_members.Member('m-1', build.SERVICE, 'a', build.member_address('m-1'))
    )
    emitted = entry.on_client_packet(build.request(), now + 0.01)
    assert _asked(emitted) == _addresses('m-1', 'm-2')


def test_denial_of_a_flow_that_was_opened_anew_here_is_dropped():
    """Guards against a reset of a flow that uses the key of an earlier one."""
    entry, now = _abandoned_search('m-1', 'm-2')
    ((offer, owner),) = build.sent_messages(
        entry.on_client_packet(build.first_packet(), now), relaying.Offer
    )
    held = relaying.Held(offer.token, build.KEY, 500, build.status())
    entry.on_message(held, owner, now)
    returned = relaying.Returned(build.request().raw, build.status())
    emitted = entry.on_message(returned, owner, now + 0.01)
    assert not build.of_type(emitted, effects.Reset)
    assert _asked(emitted) == _addresses('m-1', 'm-2') - {owner}


def test_denial_of_a_flow_that_was_opened_anew_elsewhere_is_dropped():
    """Guards against a reset of a flow whose key was reused at another entry."""
    entry, now = _abandoned_search('m-1', 'm-2')
    reopened = build.request(sequence=70_000_000, acknowledged=90_000_000)
    emitted = entry.on_client_packet(reopened, now)
    assert _asked(emitted) == _addresses('m-1', 'm-2')


def test_denials_are_dropped_when_the_flow_is_not_used():
    entry, now = _abandoned_search('m-1', 'm-2')
    later = now + relay_denials.RETENTION_SECONDS + 1
    for name in ('m-1', 'm-2'):
        _receive(entry, name, relaying.Pong(build.SERVICE_TAG, build.status()), later)
    emitted = entry.on_client_packet(build.request(), later)
    assert _asked(emitted) == _addresses('m-1', 'm-2')


def test_records_of_denials_are_bounded():
    denials = relay_denials.Denials()
    for number in range(relay_denials.MAX_RECORDS + 10):
        denials.record_of(build.request(build.flow_key(number)), 0)
    assert len(denials) == relay_denials.MAX_RECORDS


def test_denial_by_a_replaced_member_does_not_count_for_a_later_one():
    """Guards against a mask whose bit is given to another agent."""
    entry, now = _abandoned_search('m-0', 'm-1')
    for number in range(2, 200):
        replaced = entry.members.member_by_name[f'm-{number - 2}']
        entry.members.remove(replaced)
        name = f'm-{number}'
        member = relay_members.Member(
            name, build.SERVICE, 'a', build.member_address(name)
        )
        entry.members.add_or_update(member)
        member.record_status(build.status(), now)
        entry.on_client_packet(build.request(), now)
        assert entry.pending_count, name
    assert not build.of_type(_run(entry, now, now + 0.2), effects.Reset)


def _set_status(entry, **fields):
    for member in entry.members.member_by_name.values():
        member.record_status(build.status(**fields), 0)


def test_questions_to_a_silent_member_are_repeated_at_increasing_intervals():
    """Guards against a question every 80 ms to each agent that does not answer."""
    entry = build.entry('m-1')
    entry.on_client_packet(build.request(), 0)
    emitted = _run(entry, 0, 0.9)
    assert len(build.owner_questions(emitted)) <= 4


def test_question_that_an_answering_member_leaves_open_is_repeated_less_and_less():
    """Guards against 2,400 queued packets to agents whose servers do not conclude."""
    entry = build.entry('m-1')
    _set_status(entry, knows_all_flows=False)
    emitted = entry.on_client_packet(build.request(), 0)
    for step in range(1, 36):
        now = step * TICK_SECONDS
        pong = relaying.Pong(build.SERVICE_TAG, build.status(knows_all_flows=False))
        _receive(entry, 'm-1', pong, now)
        emitted += entry.tick(now)
    assert 2 <= len(build.owner_questions(emitted)) <= 5


def test_silent_member_gets_no_questions_about_further_flows():
    """Guards against spending the budget of searches on agents that are gone."""
    entry = build.entry('m-1')
    entry.on_client_packet(build.request(), 0)
    emitted = entry.tick(0.15)
    for number in range(1, 31):
        packet = build.request(build.flow_key(number))
        emitted += entry.on_client_packet(packet, 0.16 + number / 1000)
    assert len(build.owner_questions(emitted)) == 1
    emitted = _receive(
        entry, 'm-1', relaying.Pong(build.SERVICE_TAG, build.status()), 0.2
    )
    emitted += entry.tick(0.201)
    assert len(_tokens(emitted)) == 30


def test_queued_packets_become_questions_once_the_member_knows_its_flows():
    """Guards against a queue of packets to agents that can answer a short question."""
    entry = build.entry('m-1', link_mbps=0.1)
    _set_status(entry, knows_all_flows=False)
    sent = []
    for number in range(30):
        sent += entry.on_client_packet(build.request(build.flow_key(number)), 0)
    assert 0 < len(build.sent_messages(sent, relaying.Ask)) < 15
    pong = relaying.Pong(build.SERVICE_TAG, build.status())
    emitted = _receive(entry, 'm-1', pong, 0.1)
    emitted += entry.tick(0.2)
    assert not build.sent_messages(emitted, relaying.Ask)
    assert len(_tokens(emitted)) == 30


def test_unconcluded_packet_becomes_a_question_once_the_member_knows_its_flows():
    entry = build.entry('m-1')
    _set_status(entry, knows_all_flows=False)
    emitted = entry.on_client_packet(build.request(), 0)
    assert build.sent_messages(emitted, relaying.Ask)
    pong = relaying.Pong(build.SERVICE_TAG, build.status())
    emitted = _receive(entry, 'm-1', pong, 0.01)
    emitted += entry.tick(0.02)
    assert len(build.sent_messages(emitted, relaying.Find)) == 1


def test_questions_about_flows_that_are_searched_together_share_a_message():
    """Guards against a message per flow and agent after a power loss."""
    entry = build.entry('m-1', 'm-2')
    emitted = []
    for number in range(40):
        packet = build.request(build.flow_key(number))
        emitted += entry.on_client_packet(packet, number / 10_000)
    emitted += entry.tick(0.02)
    assert len(_tokens(emitted)) == 40
    assert len(build.owner_questions(emitted)) == 4


def test_question_of_a_single_search_is_not_delayed():
    entry = build.entry('m-1')
    assert build.owner_questions(entry.on_client_packet(build.request(), 0))


def _failure(emitted):
    (event,) = [
        log
        for log in build.of_type(emitted, effects.Log)
        if log.event == 'search_failed'
    ]
    return event.fields


def test_abandoned_search_names_the_members_that_did_not_answer():
    """Guards against abandoned searches whose cause only a trace of packets shows."""
    entry = build.entry('m-1', 'm-2', 'm-3', 'm-4', 'm-5')
    starting = build.status(relaying.State.STARTING)
    entry.members.member_by_name['m-2'].record_status(starting, 0)
    emitted = entry.on_client_packet(build.request(), 0)
    _deny(entry, 'm-1', emitted, 0.01)
    fields = _failure(_run(entry, 0, 1.1))
    assert (fields['undecided'], fields['unasked']) == (4, 0)
    assert fields['members'] == 'm-2:starting,m-3:ready,m-4:ready'
    assert fields['complete']


def test_abandoned_search_tells_that_the_view_was_not_complete():
    entry = build.entry('m-1')
    entry.members.is_watched = False
    emitted = entry.on_client_packet(build.request(), 5)
    _deny(entry, 'm-1', emitted, 5.01)
    fields = _failure(_run(entry, 5, 6.1))
    assert (fields['undecided'], fields['complete']) == (0, False)


NEW_ROUTE = addresses.Address('198.18.0.7', 8443)
NEW_ROUTE_KEY = build.KEY[:6] + addresses.pack(NEW_ROUTE)


def _adopt_new_route(entry, version=2):
    route = relay_routes.Route('new', NEW_ROUTE, {build.SERVICE: 1})
    entry.routes.adopt(relay_routes.RouteTable(version, [route]))


def test_open_flow_of_a_route_that_is_not_in_force_here_yet_is_not_reset():
    """Guards against the reset of a flow that moves to an entry which learns later."""
    entry = build.entry('m-1')
    assert not entry.on_client_packet(build.request(NEW_ROUTE_KEY), 10)
    _adopt_new_route(entry)
    assert _asked(entry.on_client_packet(build.request(NEW_ROUTE_KEY), 10.4))


def test_open_flow_is_reset_once_any_version_with_its_route_would_be_in_force():
    entry = build.entry('m-1')
    for step in range(13):
        now = 10 + step * build.CONFIGURATION_SECONDS / 12
        emitted = entry.on_client_packet(build.request(NEW_ROUTE_KEY), now)
        assert bool(build.of_type(emitted, effects.Reset)) == (step == 12)


def test_flow_of_an_address_that_was_not_seen_lately_is_not_reset_at_once():
    entry = build.entry('m-1')
    for now in (10, 10 + 2 * build.CONFIGURATION_SECONDS):
        assert not entry.on_client_packet(build.request(NEW_ROUTE_KEY), now)


def test_open_flow_of_a_removed_route_is_reset_at_once():
    entry = build.entry('m-1')
    _adopt_new_route(entry)
    entry.routes.adopt(relay_routes.RouteTable(3, []))
    emitted = entry.on_client_packet(build.request(NEW_ROUTE_KEY), 10)
    (reset,) = build.of_type(emitted, effects.Reset)
    assert reset.reason == 'no_route'


def test_addresses_without_a_route_are_bounded():
    unknown = relay_routes.UnknownAddresses(build.CONFIGURATION_SECONDS)
    for number in range(relay_routes.MAX_UNKNOWN_ADDRESSES + 1):
        unknown.has_no_route(addresses.Address('198.18.0.9', number), 0)
    bound = build.CONFIGURATION_SECONDS
    assert not unknown.has_no_route(addresses.Address('198.18.0.9', 0), bound)
    assert unknown.has_no_route(addresses.Address('198.18.0.9', 9), bound)
