"""One entry that searches owners of flows at many agents, in virtual time.

The agents are models that answer as agents do whose servers have just started, or that
are gone, slow or paused. Messages are delivered in order after a fixed time.
"""

import heapq
import itertools

from egretjunction.decisions import relay_effects as effects
from egretjunction.decisions import relay_members
from egretjunction.wire import relaying
from tests import relay_builders as build

TICK_SECONDS = 0.025
LATENCY_SECONDS = 0.0035
HEADER_BYTES = 28  # of IP and UDP
RETRANSMISSION_SECONDS = 0.3  # of clients


class Site:
    """An entry and its agents.

    ``sent_bytes`` and ``received_bytes`` count questions and their answers, with
    ``questions`` and ``answers`` messages. ``ended_at`` holds, by flow, when it was
    reset or located.

    :param agents: number of agents.
    :param domains: number of failure domains; the entry is in the first.
    :param delay_of: returns the time an agent takes to answer, None if never.
    :param link_mbps: capacity of the entry's link.
    :param other_agents: number of further agents, of services that the route lacks.
    """

    def __init__(self, agents, domains=3, delay_of=None, link_mbps=10, other_agents=0):
        self.now = 0.0
        self.entry = build.entry(link_mbps=link_mbps)
        self.sent_bytes = 0
        self.received_bytes = 0
        self.questions = 0
        self.answers = 0
        self.failed = 0
        self.ended_at = {}
        self.reset_keys = set()
        self.owner_by_key = {}
        self._delay_of = delay_of or (lambda number, now: 0.001)
        self._events = []
        self._order = itertools.count()
        self._number_by_address = {}
        self._service_by_number = {}
        for number in range(agents + other_agents):
            host = f'10.{number // 65536}.{number // 256 % 256}.{number % 256}'
            address = build.addresses.Address(host, 8000)
            self._number_by_address[address] = number
            domain = 'abc'[number % domains]
            service = f'other-{number % 7}' if number >= agents else build.SERVICE
            self._service_by_number[number] = service
            member = relay_members.Member(f'm-{number}', service, domain, address)
            self.entry.members.add_or_update(member)
            member.record_status(build.status(), 0)

    def search(self, flows, lived_of, seconds):
        """Search for flows whose clients retransmit until they are located or reset.

        :param flows: number of flows.
        :param lived_of: returns the number of the agent that holds a flow, or None.
        :param seconds: longest time to run.
        """
        keys = [build.flow_key(number) for number in range(flows)]
        self.owner_by_key = {key: lived_of(number) for number, key in enumerate(keys)}
        for number, key in enumerate(keys):
            self._schedule(0.2 * number / flows, self._send_packet, key)
        self._schedule(TICK_SECONDS, self._tick)
        while self._events and len(self.ended_at) < flows:
            self.now, _, action, argument = heapq.heappop(self._events)
            if self.now > seconds:
                return
            action(argument)

    def times(self, *, is_alive):
        """Return the sorted times at which living or dead flows ended."""
        return sorted(
            at
            for key, at in self.ended_at.items()
            if (self.owner_by_key[key] is not None) is is_alive
        )

    def _schedule(self, delay, action, argument=None):
        entry = (self.now + delay, next(self._order), action, argument)
        heapq.heappush(self._events, entry)

    def _tick(self, _argument):
        self._apply(self.entry.tick(self.now))
        self._schedule(TICK_SECONDS, self._tick)

    def _send_packet(self, key):
        if key in self.ended_at:
            return
        self._apply(self.entry.on_client_packet(build.request(key), self.now))
        self._schedule(RETRANSMISSION_SECONDS, self._send_packet, key)

    def _apply(self, emitted):
        for effect in emitted:
            if isinstance(effect, effects.Reset):
                self.ended_at.setdefault(effect.key, self.now)
                self.reset_keys.add(effect.key)
            elif isinstance(effect, effects.Send):
                self._send(effect)
            elif isinstance(effect, effects.Log) and effect.event == 'search_failed':
                self.failed += 1

    def _send(self, send):
        if isinstance(send.message, relaying.Deliver):
            key = build.Codec().from_client(send.message.packet).key
            self.ended_at.setdefault(key, self.now)
        if isinstance(send.message, (relaying.Find, relaying.Ask)):
            self.questions += 1
            self.sent_bytes += HEADER_BYTES + len(relaying.encode(send.message))
        number = self._number_by_address[send.address]
        delay = self._delay_of(number, self.now)
        if delay is not None:
            self._schedule(delay + 2 * LATENCY_SECONDS, self._receive, (number, send))

    def _receive(self, argument):
        number, send = argument
        for answer in self._answers(number, send.message):
            if not isinstance(answer, relaying.Pong):
                self.answers += 1
                self.received_bytes += HEADER_BYTES + len(relaying.encode(answer))
            self._apply(self.entry.on_message(answer, send.address, self.now))

    def _answers(self, number, message):
        status = build.status()
        if isinstance(message, relaying.Ping):
            tag = relaying.compute_service_tag(self._service_by_number[number])
            return [relaying.Pong(tag, status)]
        if not isinstance(message, relaying.Find):
            return []
        held = [
            question
            for question in message.questions
            if self.owner_by_key[question.key] == number
        ]
        answers = [
            relaying.Held(question.token, question.key, 0, status) for question in held
        ]
        tokens = [
            question.token for question in message.questions if question not in held
        ]
        return [*answers, relaying.NotHeld(tokens, status)] if tokens else answers
