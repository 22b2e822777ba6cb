"""Wires control parts together in memory, in virtual time, with faults."""

import heapq
import itertools
import random

from egretjunction import member_records
from egretjunction.decisions import agent_control
from egretjunction.decisions import effects
from egretjunction.decisions import entry_control
from egretjunction.wire import messages
from tests import builders

TICK = 0.5


class Network:
    """Entries and agents that exchange sealed messages.

    :param seed: seed of losses and delays.
    """

    def __init__(self, seed=1, loss=0.0, delay=0.004):
        self.random = random.Random(seed)
        self.loss = loss
        self.delay = delay
        self.now = 0.0
        self.node_by_address = {}
        self.cut = set()
        self.frozen = set()
        self.logs = []
        self.bytes_by_address = {}
        self._order = itertools.count()
        self._queue = []

    def add_entry(self, name, number, domain='domain-1', seeds=(), **changes):
        """Start an entry."""
        own_record = builders.member(
            name,
            number,
            kind=member_records.Kind.ENTRY,
            domain=domain,
            **changes,
        )
        node = entry_control.EntryControl(own_record, list(seeds))
        return self._add(own_record.control, node)

    def add_agent(self, name, number, domain='domain-1', seeds=(), **changes):
        """Start an agent."""
        own_record = builders.member(name, number, domain=domain, **changes)
        return self._add(
            own_record.control, agent_control.AgentControl(own_record, list(seeds))
        )

    def stop(self, node):
        """End a process without a word."""
        self.node_by_address.pop(self._address_of(node))

    def freeze(self, node):
        """Pause a process; its mail waits."""
        self.frozen.add(self._address_of(node))

    def thaw(self, node):
        """Let a paused process go on."""
        self.frozen.discard(self._address_of(node))

    def run(self, seconds):
        """Let virtual time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            at, _, target, work = heapq.heappop(self._queue)
            self.now = max(self.now, at)
            if target in self.frozen:
                self._push(self.now + TICK, target, work)
            elif target in self.node_by_address:
                work()
        self.now = end

    def apply(self, node, found, sender=None):
        """Carry effects of a node out."""
        for effect in found:
            if isinstance(effect, effects.Log):
                self.logs.append((round(self.now, 2), effect.event, effect.fields))
            elif isinstance(effect, effects.SendTo):
                self._send(node, effect.address, effect.message)
            else:
                self._send(node, sender, effect.message)

    def adopt(self, node, change):
        """Hand a node a change as the platform would."""
        self.apply(node, node.adopt([change], self.now))

    def _add(self, address, node):
        self.node_by_address[address] = node
        self._push(self.now, address, lambda: self._tick(address, node))
        return node

    def _address_of(self, node):
        return next(at for at, each in self.node_by_address.items() if each is node)

    def _push(self, at, target, work):
        heapq.heappush(self._queue, (at, next(self._order), target, work))

    def _tick(self, address, node):
        if self.node_by_address.get(address) is node:
            self.apply(node, node.tick(self.now))
            self._push(self.now + TICK, address, lambda: self._tick(address, node))

    def _send(self, node, target, message):
        source = node.own_record.control
        sealed = messages.encode(builders.KEY, message)
        self.bytes_by_address[source] = self.bytes_by_address.get(source, 0) + len(
            sealed
        )
        domains = {
            each.own_record.domain
            for each in (node, self.node_by_address.get(target))
            if each is not None
        }
        if self.random.random() < self.loss or domains == self.cut:
            return
        delay = self.delay * (1 + self.random.random())
        self._push(
            self.now + delay, target, lambda: self._deliver(target, source, sealed)
        )

    def _deliver(self, target, source, sealed):
        node = self.node_by_address[target]
        found = node.receive(messages.decode(builders.KEY, sealed), self.now)
        self.apply(node, found, source)
