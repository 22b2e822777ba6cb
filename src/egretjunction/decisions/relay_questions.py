"""Rate limit for the messages with which an entry searches for owners of flows.

After a power loss, an entry searches for the owner of every open flow at every agent.
An agent without a complete record of its server's flows gets a whole packet to probe
the server with. Without a limit, these messages saturate a small link, delay their own
answers and are then repeated. They therefore share a byte budget: messages beyond it
wait, and waiting questions to the same agent are combined into one message. Questions
go before packets, which are larger.
"""

import math
import typing

from egretjunction import addresses
from egretjunction.decisions import relay_correspondence
from egretjunction.decisions import relay_effects as effects
from egretjunction.wire import relaying

LINK_SHARE = 0.25  # the rest is left to client packets and to answers
BURST_SECONDS = 0.2  # seconds of the budget that may be spent at once
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000
HEADER_BYTES = 60  # headers of a datagram, and the fixed part of a message
QUESTION_BYTES = 25


class QuestionQueue:
    """Questions and packets to agents that wait for their share of the budget.

    :param link_mbps: capacity of the entry's link in megabits per second.
    """

    __slots__ = (
        '_asks_by_agent',
        '_bytes_per_second',
        '_credit_bytes',
        '_finds_by_agent',
        '_line_by_agent',
        '_next_due_at',
        '_refilled_at',
    )

    def __init__(self, link_mbps: float) -> None:
        self._bytes_per_second = (
            link_mbps * BITS_PER_MEGABIT / BITS_PER_BYTE * LINK_SHARE
        )
        self._credit_bytes = self._bytes_per_second * BURST_SECONDS
        self._refilled_at = float('-inf')
        self._next_due_at = -math.inf
        self._line_by_agent: dict[
            addresses.Address, relay_correspondence.Correspondence
        ] = {}
        # Agents with queued questions and packets, in the order of their turns.
        self._finds_by_agent: dict[
            addresses.Address, relay_correspondence.Correspondence
        ] = {}
        self._asks_by_agent: dict[
            addresses.Address, relay_correspondence.Correspondence
        ] = {}

    def add(self, agent: addresses.Address, question: relaying.Question) -> None:
        """Queue a question to an agent, replacing one about the same search."""
        line = self._line_to(agent)
        line.add(question)
        self._finds_by_agent.setdefault(agent, line)
        self._next_due_at = -math.inf

    def add_ask(self, agent: addresses.Address, ask: relaying.Ask) -> None:
        """Queue a packet for an agent's server unless the search has one queued."""
        line = self._line_to(agent)
        line.asks.setdefault(ask.token, ask)
        self._asks_by_agent.setdefault(agent, line)
        self._next_due_at = -math.inf

    def record_message(self, agent: addresses.Address) -> None:
        """Record that an agent has sent a message."""
        line = self._line_by_agent.get(agent)
        if line is not None:
            line.record_message()
            self._next_due_at = -math.inf

    def settle(self, agent: addresses.Address, tokens: typing.Iterable[int]) -> None:
        """Record that an agent has answered the questions of some searches."""
        line = self._line_by_agent.get(agent)
        if line is not None:
            line.settle(tokens)

    def take_asks(self, agent: addresses.Address) -> list[int]:
        """Remove the packets for an agent's server, and return their searches."""
        line = self._line_by_agent.get(agent)
        return [] if line is None else line.take_asks()

    def queue_repeats(
        self, now: float, is_active: relay_correspondence.IsActive
    ) -> None:
        """Queue the questions again whose answers are overdue."""
        for agent, line in list(self._line_by_agent.items()):
            line.queue_repeats(now, is_active)
            if line.questions:
                self._finds_by_agent.setdefault(agent, line)
            if line.asks:
                self._asks_by_agent.setdefault(agent, line)
            if line.is_idle() and line.due_at(now, is_find=True) <= now:
                self._line_by_agent.pop(agent)
        self._next_due_at = -math.inf

    def pop_due(
        self,
        now: float,
        is_active: relay_correspondence.IsActive,
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
        if now < self._next_due_at or self._credit_bytes <= 0:
            return []
        self._next_due_at = math.inf
        messages = self._pop_finds(now, is_active)
        has_more = True
        while has_more:
            has_more = self._pop_asks(messages, now, is_active)
        return messages

    def _pop_finds(
        self, now: float, is_active: relay_correspondence.IsActive
    ) -> list[effects.Send]:
        """Remove and return one message with questions for each agent."""
        messages: list[effects.Send] = []
        for agent, line in list(self._finds_by_agent.items()):
            if self._credit_bytes <= 0:
                self._next_due_at = -math.inf
                return messages
            due_at = line.due_at(now, is_find=True)
            if line.questions and due_at > now:
                self._next_due_at = min(self._next_due_at, due_at)
                continue
            self._finds_by_agent.pop(agent)
            questions = line.pop_questions(now, is_active)
            if line.questions:
                self._finds_by_agent[agent] = line
                self._next_due_at = -math.inf
            if questions:
                self._credit_bytes -= HEADER_BYTES + QUESTION_BYTES * len(questions)
                messages.append(effects.Send(agent, relaying.Find(questions)))
        return messages

    def _pop_asks(
        self,
        messages: list[effects.Send],
        now: float,
        is_active: relay_correspondence.IsActive,
    ) -> bool:
        """Remove one packet for each agent; tell whether more may be sent."""
        count = len(messages)
        for agent, line in list(self._asks_by_agent.items()):
            if self._credit_bytes <= 0:
                self._next_due_at = -math.inf
                return False
            due_at = line.due_at(now, is_find=False)
            if line.asks and due_at > now:
                self._next_due_at = min(self._next_due_at, due_at)
                continue
            self._asks_by_agent.pop(agent)
            ask = line.pop_ask(now, is_active)
            if line.asks:
                self._asks_by_agent[agent] = line
            if ask is not None:
                self._credit_bytes -= HEADER_BYTES + len(ask.packet)
                messages.append(effects.Send(agent, ask))
        return len(messages) > count

    def _line_to(self, agent: addresses.Address) -> relay_correspondence.Correspondence:
        line = self._line_by_agent.get(agent)
        if line is None:
            line = relay_correspondence.Correspondence()
            self._line_by_agent[agent] = line
        return line
