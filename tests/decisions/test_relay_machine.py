"""Random orders of faults around real decisions of entries and agents.

Servers and clients are models; messages arrive at once, in order, or are lost.
"""

import collections

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from egretjunction.decisions import relay_agent
from egretjunction.decisions import relay_effects as effects
from egretjunction.decisions import relay_members
from egretjunction.decisions import relay_server
from tests import relay_builders as build

AGENTS = ('m-1', 'm-2', 'm-3')
ENTRIES = ('e-1', 'e-2')
TICK_SECONDS = 0.025
numbers = strategies.integers(0, 2)
entries = strategies.sampled_from(ENTRIES)
losses = strategies.integers(0, 3)  # messages between entries and agents


class Server:
    """A backend server as the operators describe it."""

    def __init__(self, born):
        self.born = born
        self.sequence = 0
        self.is_draining = False
        self.begun_at_by_key = {}
        self.open_keys = set()

    def beat(self):
        """Return the next heartbeat."""
        self.sequence += 1
        return build.beat(
            f'i-{self.born}',
            self.born,
            self.sequence,
            is_draining=self.is_draining,
        )

    def receive(self, given, token):
        """Return the packets that answer one."""
        if given.is_first:
            begun = self.begun_at_by_key.setdefault(
                given.key, self.born * 1000 + len(self.begun_at_by_key)
            )
            return [build.opening(given.key, begun)]
        begun = self.begun_at_by_key.get(given.key)
        is_own = begun is not None and given.acknowledged == begun + 1
        if not is_own:
            return [build.bounced(given, token)]
        self.open_keys.add(given.key)
        return [build.answer(given.key, begun + 1)]


class Client:
    """One flow of a client."""

    def __init__(self, key):
        self.key = key
        self.accepted = None
        self.opened_at = None
        self.requests = 0
        self.is_reset = False


class Relay(stateful.RuleBasedStateMachine):
    """Two entries, three agents, and whatever happens to them."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.born = 10
        self.lost = 0
        self.queue = collections.deque()
        self.client_by_key = {}
        self.served_by_key = collections.defaultdict(set)
        self.server_by_name = {}
        self.agent_by_name = {}
        self.entry_by_name = {}
        for name in AGENTS:
            self._start_server(name)
            self._start_agent(name)
        for name in ENTRIES:
            self._start_entry(name)
        self._run()

    def _start_server(self, name):
        self.born += 1
        self.server_by_name[name] = Server(self.born)

    def _start_agent(self, name):
        server = relay_server.Server(build.SERVICE, 1.0)
        self.agent_by_name[name] = relay_agent.AgentFlows(server, build.Codec())
        self._beat(name)

    def _start_entry(self, name):
        built = build.entry()
        for each in AGENTS:
            address = build.member_address(each)
            built.members.list_member(
                relay_members.Member(each, build.SERVICE, 'a', address)
            )
        self.entry_by_name[name] = built
        self._apply(name, built.tick(self.now))

    def _beat(self, name):
        beat = self.server_by_name[name].beat()
        self._apply(name, self.agent_by_name[name].on_heartbeat(beat, self.now))

    def _apply(self, source, found):
        for effect in found:
            if isinstance(effect, effects.Reset):
                self._check_reset(effect)
            elif not isinstance(effect, effects.Log):
                self.queue.append((source, effect))

    def _check_reset(self, reset):
        client = self.client_by_key[reset.key]
        for server in self.server_by_name.values():
            is_held = reset.key in server.open_keys
            assert not is_held, f'{reset.reason}: the flow is open at a living server'
        client.is_reset = True

    def _run(self):
        while self.queue:
            source, effect = self.queue.popleft()
            if isinstance(effect, effects.Send):
                self._carry(source, effect)
            elif isinstance(effect, effects.ToServer):
                self._serve(source, effect)
            else:
                self._deliver(effect)

    def _carry(self, source, sent):
        if self.lost:
            self.lost -= 1
            return
        if source in ENTRIES:
            name = f'm-{sent.address.host.rpartition(".")[2]}'
            sender = build.addresses.Address(source, 7000)
            agent = self.agent_by_name[name]
            self._apply(name, agent.on_message(sent.message, sender, self.now))
            return
        entry = self.entry_by_name.get(sent.address.host)
        if entry is not None:
            address = build.member_address(source)
            self._apply(
                sent.address.host, entry.on_message(sent.message, address, self.now)
            )

    def _serve(self, name, given):
        server = self.server_by_name[name]
        received = build.Codec().from_client(given.raw)
        if received.is_first:
            assert not server.is_draining, 'a leaving server got a first packet'
        for answer in server.receive(received, given.token):
            if not answer.is_bounced and answer.data_bytes:
                self.served_by_key[answer.key].add(server.born)
            agent = self.agent_by_name[name]
            self._apply(name, agent.on_server_packet(answer, self.now))

    def _deliver(self, sent):
        received = build.Codec().from_client(sent.raw)
        client = self.client_by_key[sent.key]
        if received.is_accept and client.accepted is None:
            client.accepted = received.sequence

    def _send(self, name, given):
        self._apply(name, self.entry_by_name[name].on_client_packet(given, self.now))
        self._run()

    @stateful.rule(entry=entries, lost=losses)
    def open_flow(self, entry, lost):
        """A client opens a flow and sends its first request; messages are lost."""
        key = build.flow_key(len(self.client_by_key) + 1)
        self.client_by_key[key] = Client(key)
        self.lost = lost
        self._send(entry, build.first(key))
        self.wait(4)
        self.send_request(len(self.client_by_key) - 1, entry, 0)

    @stateful.rule(number=strategies.integers(0, 5), entry=entries, lost=losses)
    def send_request(self, number, entry, lost):
        """A client sends a request, maybe through another entry than before."""
        clients = list(self.client_by_key.values())
        if not clients:
            return
        client = clients[number % len(clients)]
        if client.accepted is None or client.is_reset:
            return
        client.requests += 1
        self.lost = lost
        sequence = 101 + 200 * client.requests
        self._send(entry, build.request(client.key, sequence, client.accepted + 1))
        self.wait(4)

    @stateful.rule(ticks=strategies.integers(1, 30))
    def wait(self, ticks):
        """Time passes, and heartbeats come."""
        for _ in range(ticks):
            self.now += TICK_SECONDS
            for name, entry in self.entry_by_name.items():
                self._apply(name, entry.tick(self.now))
            for name, agent in self.agent_by_name.items():
                self._apply(name, agent.tick(self.now))
            self._run()
        for name in AGENTS:
            self._beat(name)
        self._run()

    @stateful.rule(number=numbers)
    def restart_agent(self, number):
        """An agent starts again beside its living server."""
        self._start_agent(AGENTS[number])
        self._run()

    @stateful.rule(name=entries)
    def restart_entry(self, name):
        """An entry starts again and knows nothing."""
        self._start_entry(name)
        self._run()

    @stateful.rule(number=numbers)
    def drain_server(self, number):
        """A server says that it leaves."""
        if any(server.is_draining for server in self.server_by_name.values()):
            return
        self.server_by_name[AGENTS[number]].is_draining = True
        self._beat(AGENTS[number])
        self._run()

    @stateful.rule(number=numbers)
    def replace_server(self, number):
        """A server crashes and another one starts in its place."""
        self._start_server(AGENTS[number])
        self._beat(AGENTS[number])
        self._run()

    @stateful.rule(number=numbers)
    def lose_key(self, number):
        """The store loses an agent's key."""
        for entry in self.entry_by_name.values():
            entry.members.unlist(AGENTS[number], self.now)

    @stateful.invariant()
    def one_server_runs_a_flow(self):
        """No flow's requests run at two servers."""
        for key, born in self.served_by_key.items():
            assert len(born) == 1, key


TestRelay = Relay.TestCase
TestRelay.settings = settings(
    max_examples=200,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)
