"""Silence of agents at an entry that is overloaded or paused, in virtual time."""

from unittest import mock

import pytest

from egretjunction.decisions import relay_members
from egretjunction.relay import entry
from egretjunction.relay import settings
from egretjunction.wire import relaying
from tests import relay_builders as build

GONE, ALIVE = 'm-1', 'm-2'


class _Daemon:
    """An entry's daemon without sockets, whose clock and reads the test controls.

    ``backlog`` counts datagrams that have arrived and are not read.
    """

    def __init__(self):
        self.now = 100.0
        self.backlog = 0
        values = dict.fromkeys(settings.RelayEntry.__struct_fields__, 0)
        values |= {'domain': 'a', 'name': 'e-1', 'link_mbps': 10}
        with mock.patch('time.monotonic', return_value=self.now):
            self.daemon = entry.RelayEntry(
                settings.RelayEntry(**values), mock.Mock(), mock.Mock(), mock.Mock()
            )
        self.daemon._clock = lambda: self.now
        self.daemon._agents = mock.Mock(read=self._read)
        self.daemon._executor = mock.Mock()
        for name in (GONE, ALIVE):
            member = relay_members.Member(
                name, build.SERVICE, 'a', build.member_address(name)
            )
            self.daemon._members.add_or_update(member)
            member.record_status(build.status(), self.now)
            member.record_request(self.now)

    def _read(self, limit):
        """Read what has arrived, up to a limit; tell whether nothing is left."""
        read = min(limit, self.backlog)
        self.backlog -= read
        return read < limit

    def answer(self, name):
        """Receive a status of an agent."""
        pong = relaying.Pong(build.SERVICE_TAG, build.status())
        self.daemon._on_agent_datagram(
            relaying.encode(pong), build.member_address(name)
        )

    def is_dead(self, name):
        """Tell whether an agent counts as dead."""
        return self.daemon._members.member_by_name[name].is_dead(self.now)


@pytest.fixture
def daemon():
    return _Daemon()


def test_overloaded_entry_notices_that_an_agent_is_gone(daemon):
    """Guards against searches that an agent blocks which is listed but gone.

    At an overloaded entry each tick is late. Its lateness was taken for a pause and
    excluded from the silence of all agents, which then never counted as dead.
    """
    for _ in range(16):
        for _ in range(10):
            daemon.now += 0.01
            daemon.answer(ALIVE)
        daemon.daemon._tick()
    assert (daemon.is_dead(GONE), daemon.is_dead(ALIVE)) == (True, False)


def test_paused_entry_does_not_take_agents_for_dead(daemon):
    """Guards against resets of the flows of living agents after a pause."""
    daemon.now += 3
    daemon.daemon._tick()
    assert not daemon.is_dead(ALIVE)


def test_packet_of_a_client_right_after_a_pause_finds_all_agents_alive(daemon):
    """The packet may be handled before the first tick after the pause."""
    daemon.now += 3
    daemon.daemon._on_client_datagram(b'', ('127.0.0.1', 1))
    assert not daemon.is_dead(ALIVE)


def test_entry_that_cannot_read_all_answers_does_not_take_agents_for_dead(daemon):
    """Guards against taking answers that are unread for silence."""
    for _ in range(200):
        daemon.now += 0.025
        daemon.backlog = entry.MAX_AGENT_DATAGRAMS + 1
        daemon.daemon._tick()
    assert not daemon.is_dead(ALIVE)


def test_repeated_pauses_do_not_add_up_to_silence(daemon):
    """Guards against a process that is paused again and again by the machine."""
    for _ in range(10):
        daemon.now += 0.5
        daemon.daemon._tick()
    assert not daemon.is_dead(ALIVE)
