"""Random sequences of faults, run against the decisions of entries and agents.

Servers and clients are models. Messages are delivered immediately and in order, or
are lost.
"""

import collections

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from egretjunction.decisions import relay_effects as effects
from egretjunction.decisions import relay_members
from tests import relay_builders as build

AGENTS = ('m-1', 'm-2', 'm-3')
ENTRIES = ('e-1', 'e-2')
TICK_SECONDS = 0.025
agent_numbers = strategies.integers(0, 2)
entries = strategies.sampled_from(ENTRIES)
dead_borns = strategies.sampled_from((1, 1_000_000))  # the latter's clock was ahead
lost_message_counts = strategies.integers(0, 3)  # between entries and agents


class Server:
    """Model of a backend server as specified by the operators."""

    def __init__(self, born):
        self.born = born
        self.sequence = 0
        self.is_draining = False
        self.sequence_by_key = {}
        self.open_keys = set()

    def heartbeat(self):
        """Return the next heartbeat."""
        self.sequence += 1
        return build.heartbeat(
            f'i-{self.born}',
            self.born,
            self.sequence,
            is_draining=self.is_draining,
        )

    def receive(self, packet, token):
        """Return the answers to a packet."""
        if packet.is_first:
            initial_sequence = self.sequence_by_key.setdefault(
                packet.key, self.born * 1000 + len(self.sequence_by_key)
            )
            return [build.opening(packet.key, initial_sequence)]
        initial_sequence = self.sequence_by_key.get(packet.key)
        is_held = (
            initial_sequence is not None and packet.acknowledged == initial_sequence + 1
        )
        if not is_held:
            return [build.bounced(packet, token)]
        self.open_keys.add(packet.key)
        return [build.answer(packet.key, initial_sequence + 1)]


class Client:
    """Model of a client with one flow."""

    def __init__(self, key):
        self.key = key
        self.server_sequence = None
        self.opened_at = None
        self.requests = 0
        self.is_reset = False


class RelayMachine(stateful.RuleBasedStateMachine):
    """Two entries and three agents under random faults."""

    placement_seed = None

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.born = 10
        self.messages_to_lose = 0
        self.late_heartbeats = 0
        self.queue = collections.deque()
        self.client_by_key = {}
        self.servers_by_key = collections.defaultdict(set)
        self.server_by_name = {}
        self.agent_by_name = {}
        self.entry_by_name = {}
        for name in AGENTS:
            self._start_server(name)
            self._start_agent(name)
        for name in ENTRIES:
            self._start_entry(name)
        self._process_queue()

    def _start_server(self, name):
        self.born += 1
        self.server_by_name[name] = Server(self.born)

    def _start_agent(self, name, dead_born=None):
        self.agent_by_name[name] = build.unheard_agent()
        if dead_born is None:
            self._send_heartbeat(name)
        else:
            self._send_late_heartbeat(name, dead_born)

    def _start_entry(self, name):
        flows = build.entry(placement_seed=self.placement_seed)
        for agent_name in AGENTS:
            address = build.member_address(agent_name)
            flows.members.add_or_update(
                relay_members.Member(agent_name, build.SERVICE, 'a', address)
            )
        self.entry_by_name[name] = flows
        self._apply(name, flows.tick(self.now))

    def _send_heartbeat(self, name):
        heartbeat = self.server_by_name[name].heartbeat()
        self._apply(name, self.agent_by_name[name].on_heartbeat(heartbeat, self.now))

    def _send_late_heartbeat(self, name, born):
        """Deliver a heartbeat of a dead incarnation that was held up.

        It is draining: after a restart of the agent, a ready one may hide that the
        living server drains until that one's next heartbeat.
        """
        self.late_heartbeats += 1
        late = build.heartbeat(
            f'i-{born}', born, 1 + self.late_heartbeats, is_draining=True
        )
        self._apply(name, self.agent_by_name[name].on_heartbeat(late, self.now))

    def _apply(self, source, emitted):
        for effect in emitted:
            if isinstance(effect, effects.Reset):
                self._check_reset(effect)
            elif not isinstance(effect, effects.Log):
                self.queue.append((source, effect))

    def _check_reset(self, reset):
        client = self.client_by_key[reset.key]
        for server in self.server_by_name.values():
            is_open = reset.key in server.open_keys
            assert not is_open, f'{reset.reason}: the flow is open at a running server'
        client.is_reset = True

    def _process_queue(self):
        while self.queue:
            source, effect = self.queue.popleft()
            if isinstance(effect, effects.Send):
                self._handle_message(source, effect)
            elif isinstance(effect, effects.ToServer):
                self._handle_at_server(source, effect)
            else:
                self._handle_at_client(effect)

    def _handle_message(self, source, send):
        if self.messages_to_lose:
            self.messages_to_lose -= 1
            return
        if source in ENTRIES:
            name = f'm-{send.address.host.rpartition(".")[2]}'
            sender = build.addresses.Address(source, 7000)
            agent = self.agent_by_name[name]
            self._apply(name, agent.on_message(send.message, sender, self.now))
            return
        entry = self.entry_by_name.get(send.address.host)
        if entry is not None:
            address = build.member_address(source)
            self._apply(
                send.address.host, entry.on_message(send.message, address, self.now)
            )

    def _handle_at_server(self, name, to_server):
        server = self.server_by_name[name]
        packet = build.Codec().from_client(to_server.raw)
        if packet.is_first:
            assert not server.is_draining, 'a draining server received a first packet'
        for answer in server.receive(packet, to_server.token):
            if not answer.is_bounced and answer.data_bytes:
                self.servers_by_key[answer.key].add(server.born)
            agent = self.agent_by_name[name]
            self._apply(name, agent.on_server_packet(answer, self.now))

    def _handle_at_client(self, to_client):
        packet = build.Codec().from_client(to_client.raw)
        client = self.client_by_key[to_client.key]
        if packet.is_accept and client.server_sequence is None:
            client.server_sequence = packet.sequence

    def _send_packet(self, name, packet):
        self._apply(name, self.entry_by_name[name].on_client_packet(packet, self.now))
        self._process_queue()

    @stateful.rule(entry=entries, messages_to_lose=lost_message_counts)
    def open_flow(self, entry, messages_to_lose):
        """Open a flow and send its first request, with some messages lost."""
        key = build.flow_key(len(self.client_by_key) + 1)
        self.client_by_key[key] = Client(key)
        self.messages_to_lose = messages_to_lose
        self._send_packet(entry, build.first_packet(key))
        self.wait(4)
        self.send_request(len(self.client_by_key) - 1, entry, 0)

    @stateful.rule(
        number=strategies.integers(0, 5),
        entry=entries,
        messages_to_lose=lost_message_counts,
    )
    def send_request(self, number, entry, messages_to_lose):
        """Send a request of a client, possibly through a different entry."""
        clients = list(self.client_by_key.values())
        if not clients:
            return
        client = clients[number % len(clients)]
        if client.server_sequence is None or client.is_reset:
            return
        client.requests += 1
        self.messages_to_lose = messages_to_lose
        sequence = 101 + 200 * client.requests
        self._send_packet(
            entry, build.request(client.key, sequence, client.server_sequence + 1)
        )
        self.wait(4)

    @stateful.rule(ticks=strategies.integers(1, 30))
    def wait(self, ticks):
        """Let time pass, then deliver heartbeats."""
        for _ in range(ticks):
            self.now += TICK_SECONDS
            for name, entry in self.entry_by_name.items():
                self._apply(name, entry.tick(self.now))
            for name, agent in self.agent_by_name.items():
                self._apply(name, agent.tick(self.now))
            self._process_queue()
        for name in AGENTS:
            self._send_heartbeat(name)
        self._process_queue()

    @stateful.rule(number=agent_numbers)
    def restart_agent(self, number):
        """Restart an agent while its server keeps running."""
        self._start_agent(AGENTS[number])
        self._process_queue()

    @stateful.rule(number=agent_numbers, dead_born=dead_borns)
    def restart_agent_to_late_heartbeat(self, number, dead_born):
        """Restart an agent that hears of a dead incarnation of its server first."""
        self._start_agent(AGENTS[number], dead_born)
        self._process_queue()

    @stateful.rule(number=agent_numbers, dead_born=dead_borns)
    def deliver_late_heartbeat(self, number, dead_born):
        """Deliver a heartbeat that was held up until after its sender's end."""
        self._send_late_heartbeat(AGENTS[number], dead_born)
        self._process_queue()

    @stateful.rule(name=entries)
    def restart_entry(self, name):
        """Restart an entry without any state."""
        self._start_entry(name)
        self._process_queue()

    @stateful.rule(number=agent_numbers)
    def drain_server(self, number):
        """Set a server to draining, unless one is draining already."""
        if any(server.is_draining for server in self.server_by_name.values()):
            return
        self.server_by_name[AGENTS[number]].is_draining = True
        self._send_heartbeat(AGENTS[number])
        self._process_queue()

    @stateful.rule(number=agent_numbers)
    def replace_server(self, number):
        """Replace a crashed server by a new one."""
        self._start_server(AGENTS[number])
        self._send_heartbeat(AGENTS[number])
        self._process_queue()

    @stateful.rule(number=agent_numbers)
    def lose_key(self, number):
        """Remove an agent's key from the store."""
        for entry in self.entry_by_name.values():
            entry.members.mark_unlisted(AGENTS[number])

    @stateful.invariant()
    def one_server_runs_a_flow(self):
        """All requests of a flow run at the same server."""
        for key, servers in self.servers_by_key.items():
            assert len(servers) == 1, key


class EarliestFinishMachine(RelayMachine):
    """The same with placement by earliest finish."""

    placement_seed = 5


TestRelay = RelayMachine.TestCase
TestRelay.settings = settings(
    max_examples=200,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)
TestEarliestFinish = EarliestFinishMachine.TestCase
TestEarliestFinish.settings = TestRelay.settings
