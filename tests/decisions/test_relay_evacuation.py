"""Evacuations of failure domains: what entries know, and what agents keep."""

import pytest

from egretjunction.decisions import relay_effects as effects
from egretjunction.decisions import relay_eras
from egretjunction.decisions import relay_evacuation
from egretjunction.wire import relaying
from tests import relay_builders as build

DOMAINS = ('a', 'b', 'c')


class _Known:
    """The evacuations that one entry knows, in an era that is settled or not."""

    def __init__(self, is_settled=True):
        self.eras = relay_eras.Eras()
        self.record_era(1, 0, is_marked=is_settled)
        self.evacuations = relay_evacuation.Evacuations(self.eras)

    def record_era(self, era, now, *, is_marked=False):
        self.eras.record(era, now, is_marked=is_marked)

    def list(self, *written, era=1, revision=10, malformed=(), now=0.0):
        """Record a listing; return the logged events."""
        reading = relay_evacuation.Reading(
            set(written), set(malformed), set(), era, revision
        )
        self.evacuations.record_listing(reading, now)
        return self.events(now)

    def change(self, written=(), deleted=(), malformed=(), era=1, revision=11):
        """Record changes; return the logged events."""
        reading = relay_evacuation.Reading(
            set(written), set(malformed), set(deleted), era, revision
        )
        self.evacuations.record_changes(reading)
        return self.events(0)

    def events(self, now):
        self.evacuations.tick(DOMAINS, now)
        return [
            (log.event, log.fields['domain']) for log in self.evacuations.pop_logs()
        ]


def _ping(is_evacuated, era, revision):
    return relaying.Ping(
        1,
        is_evacuated=is_evacuated,
        evacuation_era=era,
        evacuation_revision=revision,
    )


def _read(entry, *domains, era=0, revision=10, now=0.0):
    """Have an entry read the evacuated domains from the store."""
    evacuations = entry.members.evacuations
    evacuations.record_listing(
        relay_evacuation.Reading(set(domains), set(), set(), era, revision), now
    )
    if entry.members.update_evacuations((), now):
        entry.review_waiting_offers(now)


def _entry(*domains):
    """Return an entry with one member in each domain, m-1 in the first."""
    entry = build.entry(*(f'm-{number}' for number, _ in enumerate(domains, 1)))
    for member, domain in zip(
        entry.members.member_by_name.values(), domains, strict=True
    ):
        member.domain = domain
    return entry


def _offered_to(emitted):
    return [address for _, address in build.sent_messages(emitted, relaying.Offer)]


def _offer_to_agent(agent, now=0.0):
    emitted = agent.on_message(build.offer(build.first_packet()), build.ENTRY, now)
    return [
        message.reason for message, _ in build.sent_messages(emitted, relaying.Passed)
    ]


def test_entry_that_starts_during_an_evacuation_learns_it_from_the_listing():
    known = _Known()
    assert not known.evacuations.is_read
    assert known.evacuations.claim('a', 0) == relay_evacuation.NOTHING_KNOWN
    assert known.list('a') == [('evacuation_started', 'a')]
    assert known.evacuations.claim('a', 0) == (True, 1, 10)
    assert known.evacuations.claim('b', 0) == (False, 1, 10)


def test_listing_that_lacks_the_key_ends_an_evacuation():
    """Guards against an evacuation that stays after its removal was missed."""
    known = _Known()
    known.list('a')
    assert known.list(revision=14) == [('evacuation_ended', 'a')]
    assert known.evacuations.claim('a', 0) == (False, 1, 14)


def test_older_reading_changes_nothing():
    known = _Known()
    known.list('a', revision=14)
    assert not known.list(revision=13)
    assert 'a' in known.evacuations


def test_two_domains_are_evacuated_and_restored_apart():
    known = _Known()
    assert len(known.list('a', 'b')) == 2
    assert known.change(deleted=['a']) == [('evacuation_ended', 'a')]
    assert known.evacuations.domains == ['b']


def test_evacuation_taken_back_and_asked_again_is_in_force():
    known = _Known()
    known.list('a')
    known.change(deleted=['a'], revision=11)
    known.change(written=['a'], revision=12)
    assert known.evacuations.claim('a', 0) == (True, 1, 12)


def test_evacuation_missing_after_a_restore_stays_until_the_era_is_settled():
    """Guards against first packets for a domain whose key is about to be rewritten."""
    known = _Known()
    known.list('a')
    known.record_era(2, 5)
    assert not known.list(era=2, revision=3, now=5)
    assert known.evacuations.claim('a', 5) == (True, 1, 10)
    settled_at = 5 + relay_eras.SETTLING_SECONDS
    assert not known.events(settled_at - 0.1)
    assert known.events(settled_at) == [('evacuation_ended', 'a')]
    assert known.evacuations.claim('a', settled_at) == (False, 2, 3)


def test_evacuation_stays_while_the_new_era_is_not_listed_yet():
    """Guards against an old era that is settled taken for the new one."""
    known = _Known()
    known.list('a')
    assert not known.list(era=2, revision=3, now=5)
    assert 'a' in known.evacuations


def test_key_written_again_after_a_restore_never_ends_the_evacuation():
    known = _Known()
    known.list('a')
    known.record_era(2, 5)
    known.list(era=2, revision=3, now=5)
    assert not known.change(written=['a'], era=2, revision=4)
    assert known.evacuations.claim('a', 6) == (True, 2, 4)
    assert not known.events(5 + relay_eras.SETTLING_SECONDS)


def test_deletion_in_an_unsettled_era_is_told_to_agents_at_once():
    """Guards against agents that decline for seconds after the end (soak, seed 1)."""
    known = _Known(is_settled=False)
    known.list('a')
    known.change(deleted=['a'])
    assert known.evacuations.claim('a', 0) == (False, 1, 11)
    known.record_era(2, 1)
    known.list(era=2, revision=3, now=1)
    assert known.evacuations.claim('a', 1) == relay_evacuation.NOTHING_KNOWN


def test_entry_that_starts_in_an_unsettled_era_claims_no_end():
    """Guards against agents told of an end by an entry that never knew the start."""
    known = _Known(is_settled=False)
    known.list(era=1, revision=3)
    assert known.evacuations.claim('a', 1) == relay_evacuation.NOTHING_KNOWN
    settled_at = relay_eras.SETTLING_SECONDS
    assert known.evacuations.claim('a', settled_at) == (False, 1, 3)


def test_malformed_value_neither_starts_nor_ends_an_evacuation():
    known = _Known()
    known.list('a', malformed=['b'])
    assert 'b' not in known.evacuations
    assert known.evacuations.claim('b', 0) == relay_evacuation.NOTHING_KNOWN
    assert not known.change(malformed=['a'])
    assert known.evacuations.claim('a', 0) == (True, 1, 10)
    assert not known.list(malformed=['a'], revision=12)
    assert known.change(deleted=['a'], revision=13) == [('evacuation_ended', 'a')]


def test_unknown_domain_is_reported_once_and_obeyed_when_an_instance_appears():
    known = _Known()
    assert known.list('z') == [('evacuation_of_unknown_domain', 'z')]
    assert not known.events(1)
    assert not known.evacuations.domains
    known.evacuations.tick(('z',), 2)
    assert [log.event for log in known.evacuations.pop_logs()] == ['evacuation_started']


def test_evacuation_of_all_domains_is_obeyed_with_one_warning():
    entry = _entry('a', 'b')
    for revision in (10, 11):
        _read(entry, 'a', 'b', revision=revision)
    events = [log.event for log in entry.members.evacuations.pop_logs()]
    assert events.count('all_domains_evacuated') == 1
    emitted = entry.on_client_packet(build.first_packet(), 0)
    assert not _offered_to(emitted)


def test_first_packets_go_to_other_domains():
    entry = _entry('a', 'b')
    _read(entry, 'a')
    for number in range(8):
        packet = build.first_packet(build.flow_key(number))
        emitted = entry.on_client_packet(packet, 0)
        assert _offered_to(emitted) in ([build.member_address('m-2')], [])


def test_member_that_appears_during_an_evacuation_gets_no_first_packet():
    entry = _entry('b')
    _read(entry, 'a')
    late = build.entry('m-9').members.member_by_name['m-9']
    entry.members.add_or_update(late)
    emitted = entry.on_client_packet(build.first_packet(), 0)
    assert _offered_to(emitted) == [build.member_address('m-1')]


def test_service_with_servers_only_in_evacuated_domains_resets_at_once():
    """Guards against first packets held although nothing can serve them in time."""
    entry = _entry('a')
    _read(entry, 'a')
    (reset,) = build.of_type(
        entry.on_client_packet(build.first_packet(), 0), effects.Reset
    )
    assert reset.reason == 'service_evacuated'
    assert not entry.pending_count


def test_first_packet_waits_for_a_server_outside_that_may_recover():
    """Guards against a reset although a silent server may still serve in time."""
    entry = _entry('a', 'b')
    _read(entry, 'a')
    entry.members.member_by_name['m-2'].record_request(-0.5)
    emitted = entry.on_client_packet(build.first_packet(), 0)
    assert not build.of_type(emitted, effects.Reset)
    assert entry.pending_count == 1


@pytest.mark.parametrize('is_told_by_agent', [True, False])
def test_queued_first_packet_is_reset_when_the_evacuation_begins(is_told_by_agent):
    entry = _entry('a')
    full = build.status(work=8)
    entry.members.member_by_name['m-1'].record_status(full, 0)
    assert not _offered_to(entry.on_client_packet(build.first_packet(), 0))
    if is_told_by_agent:
        status = build.status(is_evacuated=True)
        pong = relaying.Pong(build.SERVICE_TAG, status)
        entry.on_message(pong, build.member_address('m-1'), 0.1)
    else:
        _read(entry, 'a', now=0.1)
    emitted = entry.tick(0.11)
    assert not _offered_to(emitted)
    assert len(build.of_type(emitted, effects.Reset)) == 1


def test_agents_are_told_of_a_change_at_once():
    """Guards against agents of other domains told up to 8 s later, with their pings."""
    entry = _entry('a', 'b')
    entry.tick(0)
    for name in ('m-1', 'm-2'):
        pong = relaying.Pong(build.SERVICE_TAG, build.status())
        entry.on_message(pong, build.member_address(name), 0.01)
    _read(entry, 'b', revision=12, now=0.02)
    ((ping, address),) = build.sent_messages(entry.tick(0.03), relaying.Ping)
    assert address == build.member_address('m-2')
    assert (ping.is_evacuated, ping.evacuation_revision) == (True, 12)


def test_retransmitted_first_packet_of_an_unopened_flow_goes_elsewhere():
    entry = _entry('a', 'b')
    emitted = entry.on_client_packet(build.first_packet(), 0)
    ((offer, address),) = build.sent_messages(emitted, relaying.Offer)
    held = relaying.Held(offer.token, build.KEY, 500, build.status(work=1))
    entry.on_message(held, address, 0.01)
    _read(entry, 'a', now=0.1)
    emitted = entry.on_client_packet(build.first_packet(retransmissions=1), 0.2)
    assert not build.sent_messages(emitted, relaying.Deliver)
    assert _offered_to(emitted) == [build.member_address('m-2')]


def test_open_flow_keeps_its_server():
    entry = _entry('a', 'b')
    emitted = entry.on_client_packet(build.first_packet(), 0)
    ((offer, address),) = build.sent_messages(emitted, relaying.Offer)
    held = relaying.Held(offer.token, build.KEY, 500, build.status(work=1))
    entry.on_message(held, address, 0.01)
    entry.on_client_packet(build.request(), 0.02)
    _read(entry, 'a', now=0.1)
    for packet in (build.first_packet(retransmissions=1), build.request()):
        emitted = entry.on_client_packet(packet, 0.2)
        ((_, owner),) = build.sent_messages(emitted, relaying.Deliver)
        assert owner == address == build.member_address('m-1')


def test_agent_declines_offers_of_an_entry_that_does_not_know():
    """Guards against offers of an entry that cannot read the store."""
    agent = build.agent()
    agent.on_message(_ping(True, 1, 10), build.OTHER_ENTRY, 0)
    agent.on_message(relaying.Ping(1), build.ENTRY, 0)
    assert _offer_to_agent(agent) == [relaying.Reason.NOT_READY]
    assert agent.status(0).is_evacuated


def test_agent_told_of_a_change_tells_all_entries():
    agent = build.agent()
    agent.on_message(relaying.Ping(1), build.ENTRY, 0)
    emitted = agent.on_message(_ping(True, 1, 10), build.OTHER_ENTRY, 0)
    pongs = build.sent_messages(emitted, relaying.Pong)
    assert {address for _, address in pongs} == {build.ENTRY, build.OTHER_ENTRY}
    assert all(pong.status.is_evacuated for pong, _ in pongs)
    (log,) = build.of_type(emitted, effects.Log)
    assert (log.event, log.fields['domain']) == ('evacuation_started', 'a')


@pytest.mark.parametrize(
    ('later', 'is_evacuated'),
    [
        ((False, 1, 9), True),
        ((False, 1, 10), True),
        ((False, 1, 11), False),
        ((False, 2, 3), False),
        ((False, 0, 0), True),
    ],
)
def test_agent_keeps_the_newest_state(later, is_evacuated):
    agent = build.agent()
    agent.on_message(_ping(True, 1, 10), build.ENTRY, 0)
    agent.on_message(_ping(*later), build.OTHER_ENTRY, 0)
    assert agent.status(0).is_evacuated is is_evacuated


def test_restarted_agent_learns_the_state_from_the_next_ping():
    agent = build.agent()
    agent.on_message(_ping(True, 1, 10), build.ENTRY, 0)
    assert _offer_to_agent(agent) == [relaying.Reason.NOT_READY]


def test_agent_of_an_evacuated_domain_keeps_its_open_flows():
    agent = build.agent()
    agent.on_message(build.offer(build.first_packet()), build.ENTRY, 0)
    agent.on_server_packet(build.opening(), 0)
    unopened = relaying.Deliver(build.first_packet(retransmissions=1).raw)
    agent.on_message(_ping(True, 1, 10), build.ENTRY, 0)
    emitted = agent.on_message(unopened, build.ENTRY, 0.1)
    assert not build.of_type(emitted, effects.ToServer)
    assert build.sent_messages(emitted, relaying.Returned)
    emitted = agent.on_message(relaying.Deliver(build.request().raw), build.ENTRY, 0.2)
    assert build.of_type(emitted, effects.ToServer)


def test_retransmitted_first_packet_of_an_unknown_flow_does_not_probe_the_server():
    agent = build.agent(is_known_since_start=False)
    agent.on_message(_ping(True, 1, 10), build.ENTRY, 0)
    message = relaying.Deliver(build.first_packet(retransmissions=1).raw)
    emitted = agent.on_message(message, build.ENTRY, 0)
    assert not build.of_type(emitted, effects.ToServer)
