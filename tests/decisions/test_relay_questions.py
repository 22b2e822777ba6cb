"""Questions for owners of flows: their budget, and what waits for it."""

from egretjunction.decisions import relay_questions
from egretjunction.wire import relaying
from tests import relay_builders as build

AGENT = build.member_address('m-1')
SMALL_LINK_MBPS = 5
BUDGET_BYTES = SMALL_LINK_MBPS * 1_000_000 / 8 * relay_questions.LINK_SHARE


def _question(token):
    return relaying.Question(token, build.flow_key(token), 501)


def _bytes(found):
    return sum(len(relaying.encode(effect.message)) for effect in found)


def _always(_token):
    return True


def test_question_goes_at_once_while_the_budget_lasts():
    questions = relay_questions.Questions(SMALL_LINK_MBPS)
    questions.add(AGENT, _question(1))
    (found,) = questions.due(0, _always)
    assert found.message == relaying.Find([_question(1)])


def test_questions_to_one_agent_go_in_one_message():
    questions = relay_questions.Questions(SMALL_LINK_MBPS)
    for token in (1, 2, 1):
        questions.add(AGENT, _question(token))
    (found,) = questions.due(0, _always)
    assert [each.token for each in found.message.questions] == [1, 2]


def test_question_of_an_ended_search_is_not_sent():
    questions = relay_questions.Questions(SMALL_LINK_MBPS)
    questions.add(AGENT, _question(1))
    questions.add_ask(AGENT, relaying.Ask(2, b'packet'))
    assert not questions.due(0, lambda _token: False)


def test_packets_beyond_the_budget_wait_for_their_turn():
    questions = relay_questions.Questions(SMALL_LINK_MBPS)
    for token in range(200):
        questions.add_ask(AGENT, relaying.Ask(token, bytes(1200)))
    tokens = []
    for step in range(200):
        tokens += [each.message.token for each in questions.due(step / 100, _always)]
    assert tokens == list(range(200))


def test_searches_after_a_power_loss_leave_the_link_to_the_answers():
    """50 flows at 46 agents that ask their servers took twice the link.

    No answer came through, so every question was repeated, for seconds.
    """
    names = [f'm-{number}' for number in range(1, 47)]
    entry = build.entry(*names, link_mbps=SMALL_LINK_MBPS)
    for member in entry.members.member_by_name.values():
        member.heard(build.status(knows_all_flows=False), 0)
    sent = 0
    for number in range(50):
        packet = build.request(build.flow_key(number))
        sent += _bytes(build.asks(entry.on_client_packet(packet, 0)))
    for step in range(1, 40):
        sent += _bytes(build.asks(entry.tick(step * 0.025)))
    assert 0 < sent < BUDGET_BYTES * (1 + relay_questions.BURST_SECONDS)
