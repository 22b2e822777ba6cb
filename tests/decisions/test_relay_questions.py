"""Byte budget of the messages that search for owners of flows."""

from egretjunction.decisions import relay_questions
from egretjunction.wire import relaying
from tests import relay_builders as build

AGENT = build.member_address('m-1')
SMALL_LINK_MBPS = 5
BUDGET_BYTES = SMALL_LINK_MBPS * 1_000_000 / 8 * relay_questions.LINK_SHARE


def _question(token):
    return relaying.Question(token, build.flow_key(token), 501)


def _total_bytes(sends):
    return sum(len(relaying.encode(send.message)) for send in sends)


def _is_active(_token):
    return True


def test_question_within_the_budget_is_sent_at_once():
    questions = relay_questions.QuestionQueue(SMALL_LINK_MBPS)
    questions.add(AGENT, _question(1))
    (send,) = questions.pop_due(0, _is_active)
    assert send.message == relaying.Find([_question(1)])


def test_questions_to_one_agent_share_one_message():
    questions = relay_questions.QuestionQueue(SMALL_LINK_MBPS)
    for token in (1, 2, 1):
        questions.add(AGENT, _question(token))
    (send,) = questions.pop_due(0, _is_active)
    assert [question.token for question in send.message.questions] == [1, 2]


def test_question_of_an_ended_search_is_not_sent():
    questions = relay_questions.QuestionQueue(SMALL_LINK_MBPS)
    questions.add(AGENT, _question(1))
    questions.add_ask(AGENT, relaying.Ask(2, b'packet'))
    assert not questions.pop_due(0, lambda _token: False)


def test_packets_beyond_the_budget_are_sent_later_in_order():
    questions = relay_questions.QuestionQueue(SMALL_LINK_MBPS)
    for token in range(200):
        questions.add_ask(AGENT, relaying.Ask(token, bytes(1200)))
    tokens = []
    for step in range(200):
        questions.record_message(AGENT)
        tokens += [
            send.message.token for send in questions.pop_due(step / 100, _is_active)
        ]
    assert tokens == list(range(200))


def test_searches_after_a_power_loss_stay_within_the_byte_budget():
    """Guards against searches that saturate the link and lose their own answers.

    Searching for 50 flows at 46 agents, with a packet for each server, needed twice
    the capacity of the link. No answer arrived, so all messages were repeated for
    seconds.
    """
    names = [f'm-{number}' for number in range(1, 47)]
    entry = build.entry(*names, link_mbps=SMALL_LINK_MBPS)
    for member in entry.members.member_by_name.values():
        member.record_status(build.status(knows_all_flows=False), 0)
    sent_bytes = 0
    for number in range(50):
        packet = build.request(build.flow_key(number))
        sent_bytes += _total_bytes(
            build.owner_questions(entry.on_client_packet(packet, 0))
        )
    for step in range(1, 40):
        sent_bytes += _total_bytes(build.owner_questions(entry.tick(step * 0.025)))
    assert 0 < sent_bytes < BUDGET_BYTES * (1 + relay_questions.BURST_SECONDS)
