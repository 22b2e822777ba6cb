"""What an agent that relays takes, passes on, finds and resets."""

from egretjunction.decisions import relay_effects as effects
from egretjunction.wire import relaying
from tests import relay_builders as build


def _take(agent, given, now=0.0, token=1, is_final=False):
    offered = build.offer(given, token, is_final)
    found = agent.on_message(offered, build.ENTRY, now)
    agent.on_server_packet(build.opening(given.key), now)
    return found


def test_first_packet_is_given_to_the_server_with_a_token():
    agent = build.agent()
    found = agent.on_message(build.offer(build.first()), build.ENTRY, 0)
    (given,) = build.of_kind(found, effects.ToServer)
    assert given.raw == build.first().raw
    assert given.token > 0


def test_entry_is_told_of_the_flow_once_the_server_accepts():
    agent = build.agent()
    agent.on_message(build.offer(build.first(), token=7), build.ENTRY, 0)
    found = agent.on_server_packet(build.opening(sequence=500), 0.001)
    ((held, address),) = build.sent(found, relaying.Held)
    assert (held.token, held.key, held.sequence) == (7, build.KEY, 500)
    assert address == build.ENTRY
    assert build.of_kind(found, effects.ToClient)


def test_wrong_service_is_passed_on():
    agent = build.agent()
    found = agent.on_message(
        build.offer(build.first(), service='surveys'), build.ENTRY, 0
    )
    ((passed, _),) = build.sent(found, relaying.Passed)
    assert passed.reason is relaying.Reason.WRONG_SERVICE
    assert not build.of_kind(found, effects.ToServer)


def test_draining_server_takes_no_first_packet_from_its_own_word_on():
    agent = build.agent()
    agent.on_heartbeat(build.beat(sequence=2, is_draining=True), 1)
    found = agent.on_message(build.offer(build.first(), is_final=True), build.ENTRY, 1)
    ((passed, _),) = build.sent(found, relaying.Passed)
    assert passed.reason is relaying.Reason.NOT_READY


def test_draining_server_keeps_its_flows():
    agent = build.agent()
    _take(agent, build.first())
    agent.on_heartbeat(build.beat(sequence=2, is_draining=True), 1)
    found = agent.on_message(
        relaying.Deliver(build.request().raw), build.OTHER_ENTRY, 1
    )
    assert build.of_kind(found, effects.ToServer)


def test_bounced_first_packet_is_passed_on():
    agent = build.agent()
    found = agent.on_message(build.offer(build.first(), token=3), build.ENTRY, 0)
    (given,) = build.of_kind(found, effects.ToServer)
    found = agent.on_server_packet(build.bounced(build.first(), given.token), 0.001)
    ((passed, _),) = build.sent(found, relaying.Passed)
    assert (passed.token, passed.reason) == (3, relaying.Reason.REFUSED)


def test_full_server_passes_on_and_calls_the_entry_when_there_is_room():
    agent = build.agent(slots=2)
    for number in (1, 2, 3):
        key = build.flow_key(number)
        _take(agent, build.first(key), token=number, is_final=True)
        agent.on_message(relaying.Deliver(build.request(key).raw), build.ENTRY, 0)
    found = agent.on_message(
        build.offer(build.first(), is_final=True), build.OTHER_ENTRY, 0
    )
    ((passed, _),) = build.sent(found, relaying.Passed)
    assert passed.reason is relaying.Reason.BUSY
    found = agent.on_server_packet(build.answer(build.flow_key(1)), 0.03)
    ((pong, address),) = build.sent(found, relaying.Pong)
    assert address == build.OTHER_ENTRY
    assert pong.status.work == 2


def test_twin_of_a_flow_that_opened_elsewhere_is_returned():
    agent = build.agent()
    _take(agent, build.first())
    other = build.request(acknowledged=90_000)
    found = agent.on_message(relaying.Deliver(other.raw), build.ENTRY, 0.01)
    ((returned, _),) = build.sent(found, relaying.Returned)
    assert returned.packet == other.raw
    assert not build.of_kind(found, effects.ToServer)


def test_bounced_packet_of_an_unconfirmed_flow_is_returned_not_reset():
    """Seen on sylfaen-edge scale-1: the flow was open at another server."""
    agent = build.agent()
    _take(agent, build.first())
    agent.on_message(relaying.Deliver(build.request().raw), build.ENTRY, 0.01)
    found = agent.on_server_packet(build.bounced(build.request(), 0), 0.012)
    assert not build.of_kind(found, effects.Reset)
    assert build.sent(found, relaying.Returned)


def test_bounced_packet_of_a_confirmed_flow_resets_it():
    agent = build.agent()
    _take(agent, build.first())
    agent.on_message(relaying.Deliver(build.request().raw), build.ENTRY, 0.01)
    agent.on_server_packet(build.answer(), 0.04)
    found = agent.on_server_packet(build.bounced(build.request(), 0), 0.2)
    (reset,) = build.of_kind(found, effects.Reset)
    assert reset.sequence == build.request().acknowledged


def test_agent_that_saw_its_server_start_denies_unknown_flows():
    found = build.agent().on_message(build.find(), build.ENTRY, 0)
    assert build.sent(found, relaying.NotHeld)


def test_restarted_agent_asks_its_server_about_unknown_flows():
    agent = build.agent(is_known=False)
    found = agent.on_message(build.find(), build.ENTRY, 0)
    assert build.sent(found, relaying.Unsure)
    found = agent.on_message(relaying.Ask(5, build.request().raw), build.ENTRY, 0)
    (given,) = build.of_kind(found, effects.ToServer)
    found = agent.on_server_packet(build.bounced(build.request(), given.token), 0.001)
    ((denied, _),) = build.sent(found, relaying.NotHeld)
    assert denied.tokens == [5]


def test_restarted_agent_adopts_a_flow_that_its_server_answers():
    agent = build.agent(is_known=False)
    agent.on_message(relaying.Ask(5, build.request().raw), build.ENTRY, 0)
    found = agent.on_server_packet(build.answer(), 0.02)
    ((held, _),) = build.sent(found, relaying.Held)
    assert held.token == 5


def test_silence_of_a_server_that_was_never_heard_of_settles_nothing():
    """Seen on sylfaen-edge quiet-1: the server of a release was not up yet."""
    server_less = build.relay_agent.AgentFlows(
        build.relay_server.Server(build.SERVICE, 1.0), build.Codec()
    )
    server_less.on_message(relaying.Ask(5, build.request().raw), build.ENTRY, 0)
    assert not build.sent(server_less.tick(0.2), relaying.Held)


def test_late_bounce_after_silence_returns_the_packet():
    """Seen on sylfaen-edge quiet-1: the tick came before the bounce was read."""
    agent = build.agent(is_known=False)
    found = agent.on_message(relaying.Ask(5, build.request().raw), build.ENTRY, 0)
    (given,) = build.of_kind(found, effects.ToServer)
    assert build.sent(agent.tick(0.05), relaying.Held)
    found = agent.on_server_packet(build.bounced(build.request(), given.token), 0.06)
    assert not build.of_kind(found, effects.Reset)
    assert build.sent(found, relaying.Returned)


def test_packet_that_the_server_was_asked_about_counts_once():
    """Seen on lakeshore-rugline trouble-3: each such request held a slot for 1 s."""
    agent = build.agent(is_known=False)
    agent.on_message(relaying.Ask(5, build.request().raw), build.ENTRY, 0)
    agent.on_server_packet(build.answer(), 0.02)
    agent.on_message(relaying.Deliver(build.request().raw), build.ENTRY, 0.03)
    assert agent.status(0.03).work == 0


def test_flows_of_a_server_that_started_again_are_reset_at_once():
    agent = build.agent()
    _take(agent, build.first())
    agent.on_message(relaying.Deliver(build.request().raw), build.ENTRY, 0.01)
    found = agent.on_heartbeat(build.beat('i-2', born=2000), 3)
    (reset,) = build.of_kind(found, effects.Reset)
    assert reset.key == build.KEY
    assert agent.flow_count == 0


def test_heartbeat_of_an_older_incarnation_is_ignored():
    agent = build.agent()
    agent.on_heartbeat(build.beat('i-2', born=2000), 3)
    agent.on_heartbeat(build.beat('i-1', born=1000, sequence=40, is_draining=True), 4)
    assert agent.state(4) is relaying.State.READY


def test_server_that_starts_again_under_its_name_counts_anew():
    agent = build.agent()
    agent.on_heartbeat(build.beat(sequence=30), 20)
    agent.on_heartbeat(build.beat(born=5000, sequence=1, is_draining=False), 21)
    agent.on_heartbeat(build.beat(born=5000, sequence=2, is_draining=True), 22)
    assert agent.state(22) is relaying.State.DRAINING


def test_silent_server_takes_no_more_first_packets():
    agent = build.agent()
    agent.on_message(build.offer(build.first()), build.ENTRY, 0)
    assert agent.state(0.2) is relaying.State.UNFIT
    agent.on_server_packet(build.opening(), 0.3)
    assert agent.state(0.3) is relaying.State.READY


def test_leaving_agent_tells_the_entries_it_knows():
    agent = build.agent()
    agent.on_message(relaying.Ping(1), build.ENTRY, 0)
    ((pong, address),) = build.sent(agent.begin_shutdown(1), relaying.Pong)
    assert (pong.status.state, address) == (relaying.State.GONE, build.ENTRY)


def test_reset_that_answers_a_question_is_no_reset_for_the_client():
    """Seen on sylfaen-edge scale-2, seed 683287661185.

    A server that had just started answered a packet of a flow at another server with
    a reset instead of bouncing it, and the agent passed the reset on.
    """
    agent = build.agent(is_known=False)
    agent.on_message(relaying.Ask(5, build.request().raw), build.ENTRY, 0)
    reset = build.packet(flags=('is_reset',))
    found = agent.on_server_packet(reset, 0.001)
    assert not build.of_kind(found, effects.ToClient)
    ((denied, _),) = build.sent(found, relaying.NotHeld)
    assert denied.tokens == [5]
    assert agent.flow_count == 0


def test_reset_that_answers_a_delivered_packet_of_an_unknown_flow_returns_it():
    agent = build.agent(is_known=False)
    agent.on_message(relaying.Deliver(build.request().raw), build.ENTRY, 0)
    found = agent.on_server_packet(build.packet(flags=('is_reset',)), 0.001)
    assert not build.of_kind(found, effects.ToClient)
    ((returned, _),) = build.sent(found, relaying.Returned)
    assert returned.packet == build.request().raw


def test_reset_of_a_half_open_twin_stays_away_from_the_client():
    agent = build.agent()
    _take(agent, build.first())
    found = agent.on_server_packet(build.packet(flags=('is_reset',)), 1)
    assert not build.of_kind(found, effects.ToClient)


def test_reset_of_an_open_flow_reaches_its_client():
    agent = build.agent()
    _take(agent, build.first())
    agent.on_message(relaying.Deliver(build.request().raw), build.ENTRY, 0.01)
    found = agent.on_server_packet(build.packet(flags=('is_reset',)), 1)
    assert build.of_kind(found, effects.ToClient)


def test_repeated_acceptance_of_a_first_packet_does_not_settle_a_question():
    agent = build.agent(is_known=False)
    agent.on_message(relaying.Ask(5, build.request().raw), build.ENTRY, 0)
    assert not build.sent(agent.on_server_packet(build.opening(), 0.001), relaying.Held)


def test_late_copy_of_a_first_packet_leaves_its_open_flow_alone():
    """Seen on sylfaen-edge kills-while-store-is-down, seed 547656640075.

    An entry that could not start for 2.5 s offered a first packet that it had kept,
    of a flow that had been opened through another entry meanwhile.
    """
    agent = build.agent()
    _take(agent, build.first())
    agent.on_message(relaying.Deliver(build.request().raw), build.ENTRY, 0.01)
    agent.on_server_packet(build.answer(), 0.04)
    late = build.offer(build.first(), token=9, is_final=True)
    found = agent.on_message(late, build.OTHER_ENTRY, 2.5)
    ((held, _),) = build.sent(found, relaying.Held)
    assert (held.token, held.sequence) == (9, 500)
    for step in range(100):
        agent.tick(2.5 + step * 0.025)
    found = agent.on_message(build.find(), build.ENTRY, 5.1)
    assert build.sent(found, relaying.Held)


def test_first_packet_of_a_reused_port_begins_a_new_flow():
    agent = build.agent()
    _take(agent, build.first())
    agent.on_message(relaying.Deliver(build.request().raw), build.ENTRY, 0.01)
    agent.on_server_packet(build.answer(), 0.04)
    again = build.offer(build.first(sequence=7000), token=9)
    found = agent.on_message(again, build.ENTRY, 2.5)
    assert build.of_kind(found, effects.ToServer)
    assert not build.sent(found, relaying.Held)
