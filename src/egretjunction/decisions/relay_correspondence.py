"""Questions of an entry to one agent: queued ones, and those without an answer."""

import math
import typing

from egretjunction.wire import relaying

REPEAT_SECONDS = 0.08  # an agent's probe of its server, plus a round trip
MAX_REPEAT_SECONDS = 0.64
COALESCE_SECONDS = 0.01  # questions within this time after a message share the next
MAX_QUESTIONS_PER_MESSAGE = 40  # fits into one datagram

IsActive = typing.Callable[[int], bool]


class _Sent:
    __slots__ = ('due_at', 'message', 'repeats')

    def __init__(
        self, message: relaying.Question | relaying.Ask, repeats: int, now: float
    ) -> None:
        self.message = message
        self.repeats = repeats
        self.due_at = now + backoff_seconds(repeats)


class Correspondence:
    """Questions to one agent.

    A question without an answer is repeated at increasing intervals. An agent that
    sends nothing at all gets one message at increasing intervals, whatever is queued.

    ``questions`` and ``asks`` are queued, by the token of their search.
    """

    __slots__ = (
        '_last_find_at',
        '_probe_at',
        '_probes',
        '_repeats_by_token',
        '_sent_by_token',
        '_unheard_since',
        'asks',
        'questions',
    )

    def __init__(self) -> None:
        self.questions: dict[int, relaying.Question] = {}
        self.asks: dict[int, relaying.Ask] = {}
        self._sent_by_token: dict[int, _Sent] = {}
        self._repeats_by_token: dict[int, int] = {}
        self._unheard_since = math.inf
        self._last_find_at = -math.inf
        self._probe_at = -math.inf
        self._probes = 0

    def is_idle(self) -> bool:
        """Tell whether nothing is queued and no answer is outstanding."""
        return not (self.questions or self.asks or self._sent_by_token)

    def record_message(self) -> None:
        """Record that the agent has sent a message."""
        self._unheard_since = math.inf
        self._probe_at = -math.inf
        self._probes = 0

    def add(self, question: relaying.Question) -> None:
        """Queue a question in place of what was asked about the same search."""
        self._sent_by_token.pop(question.token, None)
        self.asks.pop(question.token, None)
        self.questions[question.token] = question

    def settle(self, tokens: typing.Iterable[int]) -> None:
        """Record that the agent has answered the questions of some searches."""
        for token in tokens:
            self._sent_by_token.pop(token, None)
            self._repeats_by_token.pop(token, None)
            self.questions.pop(token, None)
            self.asks.pop(token, None)

    def take_asks(self) -> list[int]:
        """Remove all packets for the agent's server, and return their searches."""
        tokens = list(self.asks)
        tokens += [
            token
            for token, sent in self._sent_by_token.items()
            if isinstance(sent.message, relaying.Ask)
        ]
        self.settle(tokens)
        return tokens

    def queue_repeats(self, now: float, is_active: IsActive) -> None:
        """Queue the questions whose answers are overdue."""
        for token, sent in list(self._sent_by_token.items()):
            if not is_active(token):
                self._sent_by_token.pop(token)
            elif now >= sent.due_at:
                self._sent_by_token.pop(token)
                self._repeats_by_token[token] = sent.repeats + 1
                if isinstance(sent.message, relaying.Ask):
                    self.asks.setdefault(token, sent.message)
                else:
                    self.questions.setdefault(token, sent.message)

    def due_at(self, now: float, *, is_find: bool) -> float:
        """Return when the next message may be sent.

        :param is_find: whether it is a ``Find``, which may carry several questions.
        """
        if now - self._unheard_since > REPEAT_SECONDS:
            return self._probe_at
        return self._last_find_at + COALESCE_SECONDS if is_find else now

    def pop_questions(self, now: float, is_active: IsActive) -> list[relaying.Question]:
        """Remove and return the oldest questions, as many as one message holds."""
        popped: list[relaying.Question] = []
        while self.questions and len(popped) < MAX_QUESTIONS_PER_MESSAGE:
            token = next(iter(self.questions))
            question = self.questions.pop(token)
            if is_active(token):
                popped.append(question)
                self._record_sent(token, question, now)
            else:
                self._repeats_by_token.pop(token, None)
        if popped:
            self._last_find_at = now
        return popped

    def pop_ask(self, now: float, is_active: IsActive) -> relaying.Ask | None:
        """Remove and return the oldest packet for the agent's server."""
        while self.asks:
            token = next(iter(self.asks))
            ask = self.asks.pop(token)
            if is_active(token):
                self._record_sent(token, ask, now)
                return ask
            self._repeats_by_token.pop(token, None)
        return None

    def _record_sent(
        self, token: int, message: relaying.Question | relaying.Ask, now: float
    ) -> None:
        repeats = self._repeats_by_token.pop(token, 0)
        self._sent_by_token[token] = _Sent(message, repeats, now)
        self._unheard_since = min(self._unheard_since, now)
        if now - self._unheard_since > REPEAT_SECONDS and now >= self._probe_at:
            self._probes += 1
            self._probe_at = now + backoff_seconds(self._probes)


def backoff_seconds(repeats: int) -> float:
    """Return how long to wait for an answer to a question.

    :param repeats: how often the question was repeated.
    """
    return min(MAX_REPEAT_SECONDS, REPEAT_SECONDS * 2**repeats)
