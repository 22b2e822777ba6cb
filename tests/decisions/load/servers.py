"""Backend servers in virtual time, each with the backlog that its agent keeps.

A server runs as many requests as it has slots and queues the others in order of
arrival. Its agent sees only when requests are sent and answered.
"""

import collections
import heapq
import itertools
import math

from egretjunction.decisions.load import backlog

SPREAD = 0.5  # of the logarithm of a request's work
MOST_MEANS = 6  # a request's work is capped at this multiple of its mean
TICK_SECONDS = 0.025


def draw_work(rng, mean):
    """Return the work of one request, in seconds on a server of speed 1."""
    work = mean * math.exp(rng.gauss(-SPREAD * SPREAD / 2, SPREAD))
    return min(work, MOST_MEANS * mean)


def key_of(route, number):
    """Return the key of a flow, which ends with the name of its route."""
    return number.to_bytes(6) + route


class Server:
    """One server.

    :param slots: number of requests that it runs concurrently.
    :param speed: its speed, relative to the work of requests.
    """

    def __init__(self, slots, speed=1.0):
        self.slots = slots
        self.speed = speed
        self.running = {}
        self.queue = collections.deque()
        self.backlog = backlog.Backlog(lambda key: key[6:], slots)

    @property
    def requests(self):
        return len(self.running) + len(self.queue)

    def wait_seconds(self, now):
        """Return when a new request would start, from the actual work."""
        ends = [max(end - now, 0.0) for end in self.running.values()]
        ends += [0.0] * (self.slots - len(ends))
        heapq.heapify(ends)
        for _, work in self.queue:
            heapq.heapreplace(ends, ends[0] + work / self.speed)
        return ends[0]


class Simulation:
    """Servers and a queue of events; ``on_finish`` is called for each answer."""

    def __init__(self, servers):
        self.servers = servers
        self.now = 0.0
        self.response_seconds = []
        self._order = itertools.count()
        self._events = []
        self._sent_at = {}
        self._numbers = itertools.count(1)

    def at(self, when, action):
        """Schedule an action."""
        heapq.heappush(self._events, (when, next(self._order), action))

    def run(self, until):
        """Run all actions until a time, and tick the agents in between."""
        self.at(self.now, self._tick)
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until
        self._events = [event for event in self._events if event[2] != self._tick]
        heapq.heapify(self._events)

    def send(self, server, route, work):
        """Send a request to a server; return the key of its flow."""
        key = key_of(route, next(self._numbers))
        self._sent_at[key] = self.now
        server.backlog.start(key, self.now)
        server.queue.append((key, work))
        self._start_queued(server)
        return key

    def _start_queued(self, server):
        while server.queue and len(server.running) < server.slots:
            key, work = server.queue.popleft()
            end = self.now + work / server.speed
            server.running[key] = end
            self.at(end, lambda key=key: self._finish(server, key))

    def _finish(self, server, key):
        server.running.pop(key)
        self.response_seconds.append(self.now - self._sent_at.pop(key))
        server.backlog.complete(key, self.now)
        server.backlog.remove(key)
        self._start_queued(server)

    def _tick(self):
        for server in self.servers:
            server.backlog.tick(self.now)
        self.at(self.now + TICK_SECONDS, self._tick)
