"""Rate limit for the messages with which an entry searches for owners of flows.

After a power loss, an entry searches for the owner of every open flow at every agent.
An agent without a complete record of its server's flows gets a whole packet to probe
the server with. Without a limit, these messages saturate a small link, delay their own
answers and are then repeated. They therefore share a byte budget: messages beyond it
wait, and waiting questions to the same agent are combined into one message.
"""

import typing

from egretjunction import addresses
from egretjunction.decisions import relay_effects as effects
from egretjunction.wire import relaying

LINK_SHARE = 0.25  # the rest is left to client packets and to answers
BURST_SECONDS = 0.2  # seconds of the budget that may be spent at once
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000
HEADER_BYTES = 60  # headers of a datagram, and the fixed part of a message
QUESTION_BYTES = 25
MAX_QUESTIONS_PER_MESSAGE = 40  # fits into one datagram


class QuestionQueue:
    """Questions and packets to agents that wait for their share of the budget.

    :param link_mbps: capacity of the entry's link in megabits per second.
    """

    __slots__ = (
        '_ask_by_target',
        '_bytes_per_second',
        '_credit_bytes',
        '_questions_by_agent',
        '_refilled_at',
    )

    def __init__(self, link_mbps: float) -> None:
        self._bytes_per_second = (
            link_mbps * BITS_PER_MEGABIT / BITS_PER_BYTE * LINK_SHARE
        )
        self._credit_bytes = self._bytes_per_second * BURST_SECONDS
        self._refilled_at = float('-inf')
        self._ask_by_target: dict[tuple[addresses.Address, int], relaying.Ask] = {}
        self._questions_by_agent: dict[
            addresses.Address, dict[int, relaying.Question]
        ] = {}

    def add(self, agent: addresses.Address, question: relaying.Question) -> None:
        """Queue a question to an agent, replacing one about the same search."""
        self._questions_by_agent.setdefault(agent, {})[question.token] = question

    def add_ask(self, agent: addresses.Address, ask: relaying.Ask) -> None:
        """Queue a packet for an agent's server unless the search has one queued."""
        self._ask_by_target.setdefault((agent, ask.token), ask)

    def pop_due(
        self,
        now: float,
        is_active: typing.Callable[[int], bool],
    ) -> list[effects.Send]:
        """Remove and return the messages that the budget allows now.

        :param now: the time in seconds.
        :param is_active: tells whether the search with a given token still runs.
        """
        gained_bytes = (now - self._refilled_at) * self._bytes_per_second
        self._refilled_at = now
        self._credit_bytes = min(
            self._bytes_per_second * BURST_SECONDS, self._credit_bytes + gained_bytes
        )
        messages: list[effects.Send] = []
        for agent in list(self._questions_by_agent):
            if self._credit_bytes <= 0:
                return messages
            questions = [
                question
                for question in self._pop_questions(agent)
                if is_active(question.token)
            ]
            if questions:
                self._credit_bytes -= HEADER_BYTES + QUESTION_BYTES * len(questions)
                messages.append(effects.Send(agent, relaying.Find(questions)))
        while self._ask_by_target and self._credit_bytes > 0:
            oldest_target = next(iter(self._ask_by_target))
            ask = self._ask_by_target.pop(oldest_target)
            if is_active(ask.token):
                self._credit_bytes -= HEADER_BYTES + len(ask.packet)
                messages.append(effects.Send(oldest_target[0], ask))
        return messages

    def _pop_questions(self, agent: addresses.Address) -> list[relaying.Question]:
        """Remove and return the oldest questions to an agent.

        An agent that has more questions queued moves to the end of the queue.
        """
        question_by_token = self._questions_by_agent.pop(agent)
        tokens = list(question_by_token)[:MAX_QUESTIONS_PER_MESSAGE]
        popped = [question_by_token.pop(token) for token in tokens]
        if question_by_token:
            self._questions_by_agent[agent] = question_by_token
        return popped
