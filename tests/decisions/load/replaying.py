"""Replays a load in virtual time: entries as they are, agents and clients as models.

Messages take 0.2 ms within a failure domain and 1 ms between two. Agents send their
status every 100 ms, and with each answer.
"""

import collections
import heapq
import itertools
import random
import types

from egretjunction import addresses
from egretjunction.decisions import relay_effects as effects
from egretjunction.decisions import relay_members
from egretjunction.decisions import relay_routes
from egretjunction.wire import relaying
from tests import relay_builders as build

NEAR_SECONDS = 0.0002
FAR_SECONDS = 0.001
TICK_SECONDS = 0.025
STATUS_SECONDS = 0.1
COPY_SECONDS = (0.2, 0.6)
MAX_RETRIES = 2


class Agent:
    """An agent and its backend server."""

    def __init__(self, number, domain, mean_seconds, slots=1):
        self.name = f'm-{number}'
        self.address = build.member_address(self.name)
        self.domain = domain
        self.mean_seconds = mean_seconds
        self.slots = slots
        self.running = 0
        self.queue = collections.deque()
        self.waiting_entries = {}  # in order of time, so that replays repeat
        self.keys = set()

    @property
    def load(self):
        """Return the number of requests at work and in the queue."""
        return self.running + len(self.queue)

    def status(self, error=1):
        """Return the status, with estimates that are off by a factor."""
        milliseconds = self.mean_seconds * 1000 * error
        ahead = max(0, self.load + 1 - self.slots)
        return build.status(
            work=self.load,
            slots=self.slots,
            wait_ms=round(ahead * milliseconds / self.slots),
            request_ms=round(milliseconds),
        )


class Request:
    """A request of a client, possibly in several flows."""

    def __init__(self, route, domain, started_at):
        self.route = route
        self.domain = domain
        self.started_at = started_at
        self.answered_at = None
        self.retries = 0


class Replay:
    """One replay.

    :param placement_seed: as for ``relay_builders.entry``.
    :param routes: routes, each with an address of its own.
    :param agents: the agents.
    :param entry_domains: failure domain of each entry.
    :param error: factor by which the agents' estimates are off.
    """

    def __init__(self, placement_seed, routes, agents, entry_domains, error=1):
        self.now = 0.0
        self.error = error
        self.random = random.Random(17)
        self.requests = []
        self.events = []
        self.order = itertools.count()
        self.agent_by_address = {agent.address: agent for agent in agents}
        self.request_by_key = {}
        self.accepted_keys = set()
        self.route_by_name = {route.name: route for route in routes}
        self.entries = [
            types.SimpleNamespace(
                address=addresses.Address(f'10.9.0.{number}', 7000),
                domain=domain,
                flows=build.entry(
                    domain=domain,
                    routes=relay_routes.RouteTable(1, routes),
                    placement_seed=placement_seed and placement_seed + number,
                ),
            )
            for number, domain in enumerate(entry_domains)
        ]
        self.entry_by_address = {entry.address: entry for entry in self.entries}
        for entry in self.entries:
            for agent in agents:
                entry.flows.members.add_or_update(
                    relay_members.Member(
                        agent.name, build.SERVICE, agent.domain, agent.address
                    )
                )
            self.at(self.random.random() * TICK_SECONDS, self.tick, entry)
        for agent in agents:
            self.at(0, self.report, agent)
            self.at(self.random.random() * STATUS_SECONDS, self.report, agent)

    def at(self, when, action, *arguments):
        """Schedule a call."""
        heapq.heappush(self.events, (when, next(self.order), action, arguments))

    def run(self, seconds):
        """Run the replay; then return the share answered in time by route."""
        while self.events and self.events[0][0] <= seconds:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        in_time = collections.Counter()
        total = collections.Counter()
        for request in self.requests:
            target = self.route_by_name[request.route].target_seconds
            if request.started_at + target > seconds:
                continue
            total[request.route] += 1
            if request.answered_at is not None:
                seconds_taken = request.answered_at - request.started_at
                in_time[request.route] += seconds_taken <= target
        return {route: round(in_time[route] / total[route], 3) for route in total}

    def arrive(self, route, domain, rate, start, end):
        """Let requests of a route arrive in a domain for some time."""
        when = start
        while (when := when + self.random.expovariate(rate)) < end:
            self.at(when, self.begin, route, domain)

    def begin(self, route, domain):
        """Begin a request."""
        request = Request(route, domain, self.now)
        self.requests.append(request)
        self.open_flow(request)

    def open_flow(self, request):
        """Send the copies of the first packet of a new flow."""
        number = len(self.request_by_key)
        address = addresses.pack(self.route_by_name[request.route].address)
        key = number.to_bytes(6) + address
        self.request_by_key[key] = request
        entry = self.random.choice(
            [entry for entry in self.entries if entry.domain == request.domain]
        )
        self.send_first(entry, key, 0)
        for copy, delay in enumerate(COPY_SECONDS, 1):
            self.at(self.now + delay, self.send_first, entry, key, copy)

    def send_first(self, entry, key, copy):
        """Send one copy of a first packet, unless the flow is open or reset."""
        if key in self.accepted_keys:
            return
        packet = build.first_packet(key, retransmissions=copy)
        self.apply(entry, entry.flows.on_client_packet(packet, self.now))

    def tick(self, entry):
        """Run the timers of an entry."""
        self.apply(entry, entry.flows.tick(self.now))
        self.at(self.now + TICK_SECONDS, self.tick, entry)

    def apply(self, entry, emitted):
        """Carry out the effects of an entry."""
        for effect in emitted:
            if isinstance(effect, effects.Send):
                agent = self.agent_by_address[effect.address]
                delay = self.delay(entry, agent)
                self.at(self.now + delay, self.at_agent, agent, entry, effect.message)
            elif isinstance(effect, effects.Reset):
                self.on_reset(effect.key)

    def on_reset(self, key):
        """Let the client try again at once, at most twice."""
        request = self.request_by_key[key]
        assert key not in self.accepted_keys
        self.accepted_keys.add(key)
        if request.retries < MAX_RETRIES:
            request.retries += 1
            self.open_flow(request)

    def delay(self, entry, agent):
        """Return how long a message takes."""
        return NEAR_SECONDS if entry.domain == agent.domain else FAR_SECONDS

    def report(self, agent):
        """Send the status of an agent to all entries."""
        for entry in self.entries:
            self.answer(agent, entry, relaying.Pong)
        self.at(self.now + STATUS_SECONDS, self.report, agent)

    def answer(self, agent, entry, kind, *fields):
        """Send a message with the status of an agent to an entry."""
        if kind is relaying.Pong:
            fields = (build.SERVICE_TAG,)
        message = kind(*fields, agent.status(self.error))
        when = self.now + self.delay(entry, agent)
        self.at(when, self.at_entry, entry, agent, message)

    def at_entry(self, entry, agent, message):
        """Deliver a message to an entry."""
        self.apply(entry, entry.flows.on_message(message, agent.address, self.now))

    def at_agent(self, agent, entry, message):
        """Handle an offer or a ping as an agent does."""
        if isinstance(message, relaying.Ping):
            self.answer(agent, entry, relaying.Pong)
        if not isinstance(message, relaying.Offer):
            return
        key = build.Codec().from_client(message.packet).key
        limit = agent.slots * (1.5 if message.is_final else 1)
        if key in agent.keys or (key not in self.accepted_keys and agent.load < limit):
            self.accept(agent, key)
            self.answer(agent, entry, relaying.Held, message.token, key, 500)
            return
        agent.waiting_entries[entry.address] = True
        reason = relaying.Reason.BUSY
        self.answer(agent, entry, relaying.Passed, message.token, reason)

    def accept(self, agent, key):
        """Let the server work on a request, or queue it."""
        self.accepted_keys.add(key)
        if key in agent.keys:
            return
        agent.keys.add(key)
        agent.queue.append(key)
        self.start_next(agent)

    def start_next(self, agent):
        """Start the next request if a slot is free."""
        if agent.queue and agent.running < agent.slots:
            agent.running += 1
            key = agent.queue.popleft()
            seconds = self.random.expovariate(1 / agent.mean_seconds)
            self.at(self.now + seconds, self.finish, agent, key)

    def finish(self, agent, key):
        """Answer a request, and tell entries with waiting first packets."""
        agent.running -= 1
        request = self.request_by_key[key]
        if request.answered_at is None:
            request.answered_at = self.now
        self.start_next(agent)
        for address in agent.waiting_entries:
            self.answer(agent, self.entry_by_address[address], relaying.Pong)
        agent.waiting_entries.clear()
