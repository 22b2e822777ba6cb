"""Simulates the control network in memory and virtual time, with faults."""

import heapq
import itertools
import random

from egretjunction import member_records
from egretjunction.decisions import agent_control
from egretjunction.decisions import effects
from egretjunction.decisions import entry_control
from egretjunction.wire import messages
from tests import builders

TICK_SECONDS = 0.5


class Network:
    """Entries and agents that exchange authenticated control messages.

    :param seed: seed of the random losses and delays.
    :param loss: probability that a message is lost.
    :param delay: minimum delay of a message in seconds; the maximum is twice that.
    """

    def __init__(self, seed=1, loss=0.0, delay=0.004):
        self.random = random.Random(seed)
        self.loss = loss
        self.delay = delay
        self.now = 0.0
        self.node_by_address = {}
        self.partitioned_domains = set()
        self.paused = set()
        self.logs = []
        self.sent_bytes_by_address = {}
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
        """Stop a process without notifying the others."""
        self.node_by_address.pop(self._address_of(node))

    def pause(self, node):
        """Pause a process; its messages and timers are delayed until it resumes."""
        self.paused.add(self._address_of(node))

    def resume(self, node):
        """Resume a paused process."""
        self.paused.discard(self._address_of(node))

    def run(self, seconds):
        """Advance the virtual time and deliver what is due."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            due, _, target, callback = heapq.heappop(self._queue)
            self.now = max(self.now, due)
            if target in self.paused:
                self._schedule(self.now + TICK_SECONDS, target, callback)
            elif target in self.node_by_address:
                callback()
        self.now = end

    def apply(self, node, emitted, sender=None):
        """Carry out the effects that a node returned."""
        for effect in emitted:
            if isinstance(effect, effects.Log):
                self.logs.append((round(self.now, 2), effect.event, effect.fields))
            elif isinstance(effect, effects.SendTo):
                self._send(node, effect.address, effect.message)
            else:
                self._send(node, sender, effect.message)

    def adopt(self, node, change):
        """Deliver a configuration change to a node, as the platform does."""
        self.apply(node, node.adopt([change], self.now))

    def _add(self, address, node):
        self.node_by_address[address] = node
        self._schedule(self.now, address, lambda: self._tick(address, node))
        return node

    def _address_of(self, node):
        return next(
            address for address, other in self.node_by_address.items() if other is node
        )

    def _schedule(self, due, target, callback):
        heapq.heappush(self._queue, (due, next(self._order), target, callback))

    def _tick(self, address, node):
        if self.node_by_address.get(address) is node:
            self.apply(node, node.tick(self.now))
            self._schedule(
                self.now + TICK_SECONDS, address, lambda: self._tick(address, node)
            )

    def _send(self, node, target, message):
        source = node.own_record.control
        frame = messages.encode(builders.KEY, message)
        self.sent_bytes_by_address[source] = self.sent_bytes_by_address.get(
            source, 0
        ) + len(frame)
        domains = {
            end_node.own_record.domain
            for end_node in (node, self.node_by_address.get(target))
            if end_node is not None
        }
        if self.random.random() < self.loss or domains == self.partitioned_domains:
            return
        delay = self.delay * (1 + self.random.random())
        self._schedule(
            self.now + delay, target, lambda: self._deliver(target, source, frame)
        )

    def _deliver(self, target, source, frame):
        node = self.node_by_address[target]
        emitted = node.receive(messages.decode(builders.KEY, frame), self.now)
        self.apply(node, emitted, source)
