"""Questions for owners of flows, within a share of the entry's link.

After a power loss every open flow is searched at every agent, and an agent that does
not know the flows of its server is asked with a whole packet. On a small link these
questions crowd out their own answers, and without answers they are repeated. So they
have a budget of bytes; those beyond it wait, and questions to one agent that wait go
in one message.
"""

import typing

from egretjunction import addresses
from egretjunction.decisions import relay_effects as effects
from egretjunction.wire import relaying

LINK_SHARE = 0.25  # leaves room for what clients send, and for answers
BURST_SECONDS = 0.2  # of the budget may be spent at once
BITS_PER_BYTE = 8
MEGA = 1_000_000
HEAD_BYTES = 60  # of a datagram, with the message around its content
QUESTION_BYTES = 25
MAX_QUESTIONS = 40  # one datagram


class Questions:
    """Questions that wait for their turn.

    :param link_mbps: megabits a second that the entry's link carries.
    """

    __slots__ = ('_asks', '_credit', '_credited_at', '_pending_by_agent', '_rate')

    def __init__(self, link_mbps: float) -> None:
        self._rate = link_mbps * MEGA / BITS_PER_BYTE * LINK_SHARE
        self._credit = self._rate * BURST_SECONDS
        self._credited_at = float('-inf')
        self._asks: dict[tuple[addresses.Address, int], relaying.Ask] = {}
        self._pending_by_agent: dict[
            addresses.Address, dict[int, relaying.Question]
        ] = {}

    def add(self, agent: addresses.Address, question: relaying.Question) -> None:
        """Ask an agent what it knows; asking twice is asking once."""
        self._pending_by_agent.setdefault(agent, {})[question.token] = question

    def add_ask(self, agent: addresses.Address, ask: relaying.Ask) -> None:
        """Let an agent ask its server; asking twice is asking once."""
        self._asks.setdefault((agent, ask.token), ask)

    def due(
        self,
        now: float,
        is_open: typing.Callable[[int], bool],
    ) -> list[effects.Send]:
        """Return the messages that the budget allows now.

        :param is_open: whether the search that a token names still goes on.
        """
        gained = (now - self._credited_at) * self._rate
        self._credited_at = now
        self._credit = min(self._rate * BURST_SECONDS, self._credit + gained)
        found: list[effects.Send] = []
        for agent in list(self._pending_by_agent):
            if self._credit <= 0:
                return found
            wanted = [each for each in self._take(agent) if is_open(each.token)]
            if wanted:
                self._credit -= HEAD_BYTES + QUESTION_BYTES * len(wanted)
                found.append(effects.Send(agent, relaying.Find(wanted)))
        while self._asks and self._credit > 0:
            oldest = next(iter(self._asks))
            ask = self._asks.pop(oldest)
            if is_open(ask.token):
                self._credit -= HEAD_BYTES + len(ask.packet)
                found.append(effects.Send(oldest[0], ask))
        return found

    def _take(self, agent: addresses.Address) -> list[relaying.Question]:
        """Remove the oldest questions to an agent; what is left goes to the end."""
        question_by_token = self._pending_by_agent.pop(agent)
        tokens = list(question_by_token)[:MAX_QUESTIONS]
        taken = [question_by_token.pop(token) for token in tokens]
        if question_by_token:
            self._pending_by_agent[agent] = question_by_token
        return taken
