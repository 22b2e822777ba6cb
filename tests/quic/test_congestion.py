"""Uploads over links with random loss or reordering, in virtual time."""

import heapq
import itertools
import random

import pytest

from tests import builders
from tests.quic import test_connections

UPLOAD_BYTES = 1_500_000
DEADLINE_SECONDS = 2.0  # same rate as 6 MB in 8 s in bench.faults
ONE_WAY_SECONDS = 0.0005
STEP_SECONDS = 0.000001  # advances time even if a timer is due at once
MAX_SIMULATED_SECONDS = 20.0


class Link:
    """A simulated link that delays, reorders or drops datagrams."""

    def __init__(self, pair, delay):
        self._pair = pair
        self._delay = delay
        self._number = itertools.count()
        self._arrivals = []
        self.now = 0.0

    def run(self, is_done):
        """Carry datagrams until done; return the elapsed virtual seconds."""
        while not is_done() and self.now < MAX_SIMULATED_SECONDS:
            self._send(self._pair.client, self._pair.server, test_connections.CALLER)
            self._send(self._pair.server, self._pair.client, builders.SERVICE_ADDRESS)
            timers = [self._pair.client.get_timer(), self._pair.server.get_timer()]
            due_times = [timer for timer in timers if timer is not None]
            due_times += [self._arrivals[0][0]] if self._arrivals else []
            self.now = max(self.now + STEP_SECONDS, min(due_times))
            self._deliver()
            for endpoint in (self._pair.client, self._pair.server):
                if (endpoint.get_timer() or MAX_SIMULATED_SECONDS) <= self.now:
                    endpoint.handle_timer(self.now)
        return self.now

    def _send(self, sender, receiver, source):
        if not sender._network_paths:
            return
        for payload, _ in sender.datagrams_to_send(now=self.now):
            delay = self._delay()
            if delay is not None:
                arrives_at = self.now + ONE_WAY_SECONDS + delay
                scheduled = (arrives_at, next(self._number), receiver, payload, source)
                heapq.heappush(self._arrivals, scheduled)

    def _deliver(self):
        while self._arrivals and self._arrivals[0][0] <= self.now:
            _, _, receiver, payload, source = heapq.heappop(self._arrivals)
            receiver.receive_datagram(payload, source, now=self.now)


def _losing(rng):
    return lambda: None if rng.random() < 0.1 else 0


def _reordering(rng):
    return lambda: rng.random() * 0.01 + (0.01 if rng.random() < 0.2 else 0)


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('condition', [_losing, _reordering])
def test_upload_meets_its_deadline_over_a_bad_link(tmp_path, condition, seed):
    pair = test_connections.Pair(tmp_path, now=0.0)
    link = Link(pair, condition(random.Random(seed)))
    stream = pair.client.get_next_available_stream_id()
    pair.client.send_stream_data(stream, bytes(UPLOAD_BYTES), end_stream=True)
    received_sizes = []

    def is_done():
        for event in pair.events(pair.server):
            received_sizes.append(len(getattr(event, 'data', b'') or b''))
        return sum(received_sizes) >= UPLOAD_BYTES

    assert link.run(is_done) < DEADLINE_SECONDS
