"""Agents that are away for a planned restart, as an entry sees them."""

from egretjunction.decisions import relay_effects as effects
from egretjunction.decisions import relay_members
from egretjunction.wire import relaying
from tests import relay_builders as build

OLD, NEW = 11, 12  # numbers of two processes of the agent m-1
SILENT_AT = relay_members.DEAD_AFTER_SECONDS + 0.5


def _stopped_status(process=OLD):
    return build.status(relaying.State.GONE, process=process, leaves_flows=True)


def _receive(entry, status, now, service=build.SERVICE):
    pong = relaying.Pong(relaying.compute_service_tag(service), status)
    return entry.on_message(pong, build.member_address('m-1'), now)


def _stopped_entry(**fields):
    """Return an entry with the agent m-1, which has announced its planned stop."""
    entry = build.entry('m-1', **fields)
    _receive(entry, build.status(process=OLD), 0)
    _receive(entry, _stopped_status(), 0)
    return entry


def _search(entry, start, seconds):
    """Return what is emitted while a client sends a packet every 0.3 s."""
    emitted = []
    for step in range(round(seconds / 0.025)):
        now = start + step * 0.025
        if step % 12 == 0:
            emitted += entry.on_client_packet(build.request(), now)
        emitted += entry.tick(now)
    return emitted


def _resets(emitted):
    return [reset.reason for reset in build.of_type(emitted, effects.Reset)]


def _listed(stopped_process=0, service=build.SERVICE):
    return relay_members.Member(
        'm-1', service, 'a', build.member_address('m-1'), stopped_process
    )


def test_flow_is_not_reset_while_the_only_agent_is_away():
    """Guards against silence that counts as a denial although the stop was announced."""
    entry = _stopped_entry()
    assert not _resets(_search(entry, 0.1, build.MAX_FLOW_SECONDS - 1))


def test_flow_is_reset_once_flows_from_before_the_stop_are_too_old():
    entry = _stopped_entry()
    assert 'nobody_holds_it' in _resets(_search(entry, build.MAX_FLOW_SECONDS + 1, 3))


def test_flow_of_an_agent_that_was_killed_is_reset_as_soon_as_before():
    """Guards against clients of dead flows that wait for the length of an absence."""
    entry = build.entry('m-1')
    assert 'nobody_holds_it' in _resets(_search(entry, 0, SILENT_AT))


def test_repeated_announcement_does_not_prolong_an_absence():
    """Guards against a message that keeps dead flows open for ever."""
    entry = _stopped_entry()
    for now in range(1, int(build.MAX_FLOW_SECONDS)):
        _receive(entry, _stopped_status(), now)
    assert not entry.members.member_by_name['m-1'].is_away(build.MAX_FLOW_SECONDS + 1)


def test_next_process_ends_the_absence_and_an_overtaken_announcement_does_not():
    entry = _stopped_entry()
    member = entry.members.member_by_name['m-1']
    _receive(entry, build.status(process=NEW), 5)
    assert not member.is_away(5)
    _receive(entry, _stopped_status(), 5.1)
    assert not member.is_away(5.1)


def test_overtaken_status_of_the_stopped_process_does_not_end_the_absence():
    entry = _stopped_entry()
    _receive(entry, build.status(process=OLD), 0.1)
    assert entry.members.member_by_name['m-1'].is_away(0.2)


def test_absence_ends_when_the_server_leaves_during_the_drain():
    entry = _stopped_entry()
    left = build.status(relaying.State.GONE, slots=0, process=OLD)
    _receive(entry, left, 0.1)
    assert not entry.members.member_by_name['m-1'].is_away(0.2)


def test_agent_that_is_away_gets_no_first_packet():
    """Guards against offers by an entry that knows the stop only from the listing."""
    entry = build.entry('m-1')
    member = entry.members.member_by_name['m-1']
    assert member.accepts_flows(0.1)
    entry.members.add_listed(_listed(OLD), 0.1)
    assert not member.accepts_flows(0.2)


def test_listed_stop_of_a_silent_agent_keeps_its_flows():
    """Guards against an entry that started after the announcement."""
    entry = build.entry()
    entry.members.add_listed(_listed(OLD), 0)
    assert not _resets(_search(entry, 0.1, 5))


def test_listed_stop_is_void_once_another_service_is_listed():
    """Guards against flows that wait for an agent whose place another one has taken."""
    entry = _stopped_entry()
    entry.members.add_listed(_listed(service='surveys'), 1)
    assert not entry.members.member_by_name['m-1'].is_away(1)


def test_agent_of_another_service_at_the_address_is_not_away():
    entry = _stopped_entry()
    member = entry.members.member_by_name['m-1']
    _receive(entry, _stopped_status(NEW), 1, 'surveys')
    assert member.is_mistaken
    assert not member.is_away(1)


def test_listed_agent_takes_the_address_of_one_that_is_away():
    entry = _stopped_entry()
    entry.members.member_by_name['m-1'].record_request(1)
    other = relay_members.Member('m-2', build.SERVICE, 'a', build.member_address('m-1'))
    assert entry.members.add_listed(other, 1 + SILENT_AT) is other
    assert 'm-1' not in entry.members.member_by_name


def test_unlisted_agent_is_not_forgotten_while_it_is_away():
    entry = _stopped_entry()
    member = entry.members.member_by_name['m-1']
    member.record_request(0)
    later = relay_members.EXPIRE_AFTER_SECONDS + 1
    assert not entry.members.expired(later)
    assert entry.members.expired(build.MAX_FLOW_SECONDS + 1) == [member]


def test_stop_of_an_unknown_agent_is_ignored():
    entry = build.entry()
    emitted = _receive(entry, _stopped_status(), 0)
    assert [event.event for event in emitted] == ['agent_unknown']


def test_agent_with_a_living_server_says_that_it_leaves_flows():
    agent = build.agent()
    assert not agent.status(1).leaves_flows
    agent.begin_shutdown(1)
    assert agent.status(1).leaves_flows


def test_agent_whose_server_has_left_says_that_it_leaves_none():
    agent = build.agent()
    agent.on_leave('i-1', 1)
    agent.begin_shutdown(1)
    assert not agent.status(1).leaves_flows


def test_agent_whose_server_sends_no_heartbeats_says_that_it_leaves_none():
    """Guards against searches that wait for a machine that was taken away."""
    agent = build.agent()
    agent.begin_shutdown(4)
    assert not agent.status(4).leaves_flows


def test_agent_that_has_not_heard_of_its_server_yet_says_that_it_leaves_flows():
    agent = build.unheard_agent()
    agent.begin_shutdown(0.5)
    assert agent.status(0.5).leaves_flows


def test_service_whose_only_agent_outside_evacuated_domains_is_away_is_evacuated():
    """Guards against first packets that wait for an agent to return."""
    entry = build.entry('m-1', 'm-2')
    members = entry.members
    members.member_by_name['m-2'].is_domain_evacuated = True
    _receive(entry, _stopped_status(), 0)
    members.member_by_name['m-1'].record_request(0)
    assert not members.is_service_evacuated(build.SERVICE, 0.5)
    assert members.is_service_evacuated(build.SERVICE, SILENT_AT)
