"""Placement of first packets by expected finish at an entry."""

import collections

import pytest

from egretjunction.decisions import relay_effects as effects
from egretjunction.decisions import relay_members
from egretjunction.decisions import relay_routes
from egretjunction.wire import relaying
from tests import relay_builders as build

TARGET_SECONDS = 0.3


def _entry(*domains, **status_fields):
    """Return an entry in domain a and its members, one in each given domain."""
    route = relay_routes.Route(
        'r', build.ROUTE, {build.SERVICE: 1}, target_seconds=TARGET_SECONDS
    )
    route.timeout_seconds = 1.5
    flows = build.entry(routes=relay_routes.RouteTable(1, [route]), placement_seed=7)
    members = []
    for number, domain in enumerate(domains):
        name = f'm-{number}'
        member = relay_members.Member(
            name, build.SERVICE, domain, build.member_address(name)
        )
        flows.members.add_or_update(member)
        members.append(member)
        _report(flows, member, 0, **status_fields)
    return flows, members


def _report(flows, member, now, **fields):
    status = build.status(**{'slots': 1, **fields})
    flows.on_message(relaying.Pong(build.SERVICE_TAG, status), member.address, now)


def _place(flows, number, now=0.01):
    """Return the member that a new first packet is offered to, and the offer."""
    packet = build.first_packet(build.flow_key(number))
    emitted = flows.on_client_packet(packet, now)
    offers = build.sent_messages(emitted, relaying.Offer)
    if not offers:
        return None, None
    message, address = offers[0]
    return flows.members.member_by_address[address], message


def test_faster_member_gets_the_first_packet():
    flows, (slow, fast) = _entry('a', 'a')
    _report(flows, slow, 0, request_ms=80, wait_ms=0)
    _report(flows, fast, 0, request_ms=20, wait_ms=0)
    assert _place(flows, 1)[0] is fast


def test_own_offers_are_counted_until_the_status_shows_them():
    flows, members = _entry('a', 'a', 'a', request_ms=20, wait_ms=0)
    chosen = {_place(flows, number)[0] for number in range(3)}
    assert chosen == set(members)


def test_status_sent_before_an_offer_arrived_does_not_hide_it():
    """An entry would offer again to a member that has just taken its offer."""
    flows, (member,) = _entry('b', request_ms=20, wait_ms=0)
    for ping_at in (1.0, 2.0):
        flows.tick(ping_at)
        _report(flows, member, ping_at + 0.1, request_ms=20, wait_ms=0)
    _place(flows, 1, now=2.2)
    _report(flows, member, 2.25, request_ms=20, wait_ms=0)
    assert member.work == 1
    _report(flows, member, 2.4, request_ms=20, wait_ms=0)
    assert member.work == 0


def test_own_domain_is_used_while_it_answers_within_the_target():
    flows, (near, far) = _entry('a', 'b', request_ms=20, wait_ms=0)
    _report(flows, near, 0, work=1, wait_ms=100, request_ms=20)
    member, message = _place(flows, 1)
    assert member is near
    assert message.is_final
    _report(flows, near, 0, work=1, wait_ms=400, request_ms=20)
    member, message = _place(flows, 2)
    assert member is far
    assert not message.is_final


def test_return_to_the_own_domain_needs_a_margin_of_one_duration():
    """Without it, flows would alternate between domains at the limit."""
    flows, (near, far) = _entry('a', 'b', request_ms=50, wait_ms=0)
    _report(flows, near, 0, work=1, wait_ms=400, request_ms=50)
    assert _place(flows, 1)[0] is far
    _report(flows, far, 0.02, request_ms=50, wait_ms=0)
    _report(flows, near, 0.02, work=1, wait_ms=230, request_ms=50)
    assert _place(flows, 2, now=0.02)[0] is far
    _report(flows, far, 0.03, request_ms=50, wait_ms=0)
    _report(flows, near, 0.03, work=1, wait_ms=150, request_ms=50)
    assert _place(flows, 3, now=0.03)[0] is near


def test_active_requests_are_counted_without_any_estimate():
    flows, (busy, idle, far) = _entry('a', 'a', 'b', slots=4)
    _report(flows, busy, 0, work=3, slots=4)
    assert _place(flows, 1)[0] is idle
    _report(flows, idle, 0.02, work=3, slots=4)
    assert _place(flows, 2, now=0.02)[0] in {busy, idle}
    assert far.work == 0


def test_full_members_are_asked_last_and_then_the_first_packet_waits():
    flows, (first, second) = _entry('a', 'a', request_ms=20, wait_ms=0)
    for member in (first, second):
        _report(flows, member, 0, work=1, wait_ms=20, request_ms=20)
    tried = [_place(flows, number, now=0.001) for number in range(2)]
    assert {member for member, _ in tried} == {first, second}
    assert all(message.is_final for _, message in tried)
    assert _place(flows, 3, now=0.001) == (None, None)


def test_old_status_of_a_full_member_is_not_believed_forever():
    """A lost status would take the member out of use until the next ping."""
    flows, (member,) = _entry('a')
    _report(flows, member, 0, work=2)
    assert _place(flows, 1, now=0.001)[0] is None
    assert _place(flows, 2, now=0.3)[0] is member


def test_silent_members_do_not_hide_those_that_answer():
    flows, members = _entry(*('a' * 30), request_ms=20, wait_ms=0)
    for member in members[:25]:
        member.record_request(0)
    chosen = collections.Counter(
        _place(flows, number, now=1.0)[0] for number in range(5)
    )
    assert set(chosen) <= set(members[25:])


def test_log_lines_carry_finish_wait_and_age():
    flows, (member,) = _entry('a', request_ms=20, wait_ms=0)
    packet = build.first_packet(build.flow_key(1))
    offer = build.sent_messages(flows.on_client_packet(packet, 0.1), relaying.Offer)[0]
    held = relaying.Held(offer[0].token, packet.key, 500, build.status(slots=1))
    emitted = flows.on_message(held, member.address, 0.11)
    (placed,) = [
        log for log in build.of_type(emitted, effects.Log) if log.event == 'flow_placed'
    ]
    assert placed.fields['age'] == pytest.approx(100)
    assert placed.fields['finish'] >= 20
    assert 'wait' in placed.fields


def test_sequence_of_choices_repeats_with_the_seed():
    def run():
        flows, _ = _entry(*('a' * 8), slots=9, request_ms=20, wait_ms=0)
        return [_place(flows, number)[0].name for number in range(20)]

    assert run() == run()


def test_choice_looks_at_as_many_members_of_1000_as_of_16(monkeypatch):
    """A scan of all members took 2.4 ms of processor time at 1,000."""
    looked_at = collections.Counter()
    accepts_flows = relay_members.Member.accepts_flows

    def count_calls(member, now):
        looked_at[current] += 1
        return accepts_flows(member, now)

    monkeypatch.setattr(relay_members.Member, 'accepts_flows', count_calls)
    for current in (16, 1000):
        flows, _ = _entry(*('abcd'[number % 4] for number in range(current)))
        looked_at[current] = 0
        for number in range(5):
            _place(flows, number)
    assert looked_at[1000] <= looked_at[16] * 1.5


def _placed_at(flows, count, now):
    """Return how many of new first packets are offered to each member."""
    chosen = collections.Counter()
    for number in range(count):
        member, message = _place(flows, number, now)
        chosen[member.name] += 1
        passed = relaying.Passed(message.token, relaying.Reason.BUSY, member.status)
        flows.on_message(passed, member.address, now)
        flows._end_offer(message.token, flows._offer_by_token[message.token])
    return chosen


def test_failing_member_gets_probes_only():
    """Servers that fail requests may pass their health check, and look idle."""
    flows, members = _entry(*('a' * 6), slots=50, request_ms=20, wait_ms=0)
    _report(flows, members[0], 0.5, slots=50, request_ms=20, failure_percent=40)
    flows.tick(0.5)
    chosen = _placed_at(flows, 600, 0.5)
    assert 0 < chosen['m-0'] < 30


def test_slow_member_takes_what_it_answers_within_the_target_when_all_are_full():
    flows, members = _entry('a', 'a', 'a', request_ms=20, wait_ms=0)
    _report(flows, members[0], 0.5, request_ms=120, wait_ms=0)
    for member in members[1:]:
        _report(flows, member, 0.5, work=2, request_ms=20, wait_ms=30)
    assert _place(flows, 1, now=0.5)[0] is members[0]


def test_verdicts_are_logged():
    flows, members = _entry('a', 'a', 'a', request_ms=20, wait_ms=0)
    flows.tick(0.45)
    _report(flows, members[0], 0.5, request_ms=200)
    logs = build.of_type(flows.tick(0.5), effects.Log)
    assert [(log.event, log.fields['outlier']) for log in logs] == [
        ('member_outlier', True)
    ]


def test_newcomer_waits_behind_those_that_wait():
    """It would take the slot that has just become free, before more urgent ones."""
    flows, (member,) = _entry('a', request_ms=20, wait_ms=0)
    _report(flows, member, 0, work=2, request_ms=20, wait_ms=40)
    assert _place(flows, 1, now=0.001) == (None, None)
    member.record_status(build.status(slots=1, request_ms=20, wait_ms=0), 0.002)
    flows.members.index.refresh(member)
    packet = build.first_packet(build.flow_key(2))
    emitted = flows.on_client_packet(packet, 0.003)
    (offered,) = build.sent_messages(emitted, relaying.Offer)
    assert build.Codec().from_client(offered[0].packet).key == build.flow_key(1)


def test_waiting_first_packets_go_to_a_failing_member_only_as_probes():
    flows, members = _entry('a', 'a', 'a', request_ms=20, wait_ms=0)
    for member in members:
        _report(flows, member, 0, work=2, wait_ms=40, request_ms=20)
    assert _place(flows, 1, now=0.001)[0] is None
    failing = build.status(slots=1, request_ms=20, failure_percent=60)
    offered = 0
    for _ in range(200):
        pong = relaying.Pong(build.SERVICE_TAG, failing)
        emitted = flows.on_message(pong, members[0].address, 0.002)
        for message, _address in build.sent_messages(emitted, relaying.Offer):
            offered += 1
            full = build.status(slots=1, work=2, request_ms=20, failure_percent=60)
            passed = relaying.Passed(message.token, relaying.Reason.BUSY, full)
            flows.on_message(passed, members[0].address, 0.002)
    assert 5 < offered < 40
    pong = relaying.Pong(build.SERVICE_TAG, build.status(slots=1, request_ms=20))
    emitted = flows.on_message(pong, members[1].address, 0.003)
    assert len(build.sent_messages(emitted, relaying.Offer)) == 1


def test_first_packet_that_misses_its_deadline_anywhere_is_reset_at_once():
    flows, _ = _entry('a', request_ms=9000, wait_ms=0)
    packet = build.first_packet(build.flow_key(1))
    (reset,) = build.of_type(flows.on_client_packet(packet, 0.01), effects.Reset)
    assert reset.reason == 'rejected_deadline'


def test_backlog_is_reset_with_the_inputs_of_the_decision():
    """Before, each of them was held until its client gave up."""
    flows, (member,) = _entry('a', request_ms=20, wait_ms=0)
    resets = []
    for step in range(300):
        now = step * 0.005
        _report(flows, member, now, work=2, request_ms=20, wait_ms=40)
        packet = build.first_packet(build.flow_key(step))
        emitted = flows.on_client_packet(packet, now) + flows.tick(now)
        resets += [(now, reset) for reset in build.of_type(emitted, effects.Reset)]
    assert {reset.reason for _, reset in resets} == {'rejected_backlog'}
    assert 1.0 <= resets[0][0] < 1.3


def test_nothing_is_reset_early_after_a_start_or_a_pause():
    flows, (member,) = _entry('a', request_ms=20, wait_ms=0)
    for step in range(300):
        now = step * 0.004
        _report(flows, member, now, work=2, request_ms=20, wait_ms=40)
        packet = build.first_packet(build.flow_key(step))
        emitted = flows.on_client_packet(packet, now)
        emitted += flows.tick(now, stalled_seconds=0.3 if step % 200 == 0 else 0)
        assert not build.of_type(emitted, effects.Reset), now


def test_first_packet_that_an_agent_may_still_accept_is_not_reset_early():
    """A paused agent accepts it later, and the reset would end an open flow."""
    flows, (_, busy) = _entry('a', 'a', request_ms=20, wait_ms=0)
    _report(flows, busy, 0, work=2, request_ms=20, wait_ms=40)
    _place(flows, 0, now=0.0)
    flows.tick(0.07)
    resets = []
    for step in range(1, 300):
        now = 0.07 + step * 0.004
        _report(flows, busy, now, work=2, request_ms=20, wait_ms=40)
        packet = build.first_packet(build.flow_key(step))
        emitted = flows.on_client_packet(packet, now) + flows.tick(now)
        resets += build.of_type(emitted, effects.Reset)
    assert resets
    assert build.flow_key(0) not in {reset.key for reset in resets}
