"""Announcements of a new agent to the listed entries."""

from egretjunction.decisions import relay_announcing
from egretjunction.wire import relaying
from tests import relay_builders as build


def _announced(agent, now):
    return [
        address
        for _, address in build.sent_messages(agent.tick(now), relaying.Announce)
    ]


def test_agent_is_announced_until_the_entry_answers():
    """Guards against an agent that an entry misses because one datagram was lost."""
    agent = build.agent()
    agent.announce([build.ENTRY, build.OTHER_ENTRY], 1)
    assert _announced(agent, 1) == [build.ENTRY, build.OTHER_ENTRY]
    agent.on_message(relaying.Ping(1), build.ENTRY, 1.1)
    assert _announced(agent, 1.5) == []
    assert _announced(agent, 2.1) == [build.OTHER_ENTRY]


def test_announcements_to_an_entry_that_never_answers_end():
    agent = build.agent()
    agent.announce([build.ENTRY], 0)
    rounds = [_announced(agent, second * 1.01) for second in range(20)]
    assert sum(map(len, rounds)) == relay_announcing.MAX_ANNOUNCEMENTS


def test_announcement_names_agent_service_and_domain():
    agent = build.agent()
    agent.announce([build.ENTRY], 1)
    ((announcement, _),) = build.sent_messages(agent.tick(1), relaying.Announce)
    assert (announcement.name, announcement.service, announcement.domain) == (
        'm-1',
        build.SERVICE,
        'a',
    )
    assert announcement.status.state is relaying.State.READY


def test_agent_checks_its_listing_while_no_entry_vouches_for_it():
    """Guards against an agent whose key is gone and that only refused entries ping."""
    agent = build.agent()
    own = build.announcer()
    agent._announcer = own
    assert own.should_check_listing(0)
    agent.on_message(relaying.Ping(1), build.ENTRY, 1)
    agent.on_message(relaying.Ping(1, is_vouched=False), build.ENTRY, 2.5)
    assert not own.should_check_listing(2.9)
    assert own.should_check_listing(3.1)
    assert not own.should_check_listing(4)
    assert own.should_check_listing(5.2)


def test_entry_that_cannot_read_the_store_says_so_in_pings():
    entry = build.entry('m-1')
    entry.members.can_vouch = False
    ((ping, _),) = build.sent_messages(entry.tick(1), relaying.Ping)
    assert not ping.is_vouched
