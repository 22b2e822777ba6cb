"""A soak of relay processes: restores of the store, signals and changes overlap.

``python -m tests.relay.soaking --seeds 50`` plays seeds one after the other.
"""

import argparse
import collections
import contextlib
import http.client
import itertools
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time

from tests.platform import store_standin
from tests.relay import soak_evacuation
from tests.relay import soak_timing
from tests.relay import soak_traffic
from tests.relay import test_daemons as daemons

ROOT = pathlib.Path(__file__).parent.parent.parent
SERVICE = 'soaked'
START_SECONDS = 15
QUIET_SECONDS = 8  # at the end: the outage's aftermath, then the bound
LAST_OUTAGE_SECONDS = 2.2
STABLE_SECONDS = 4.0  # machines whose connections went silent count as disturbed
BOUND_SECONDS = 3.0
FOREIGN_HEARTBEATS = 0.06  # share of the servers' own heartbeats
MAX_AWAY_SECONDS = 6.0  # of an agent that is stopped as planned
CLIENTS, AGENTS, READY, ANNOUNCEMENTS, METRICS, OUTBOUND, BACKEND = range(9100, 9107)


def announce(host, name='i-1', timeout=0.3, *, offers_http2=False, **fields):
    """Send a heartbeat of the server beside an agent, which may be down.

    :param host: host of the agent and the server.
    :param name: name of the server.
    :param timeout: how long to wait for an answer, in seconds.
    :param offers_http2: whether the heartbeat offers an upgrade to HTTP/2.
    :param fields: fields of the heartbeat that differ.
    :return: the response status, None without an answer.
    """
    own = {'service': SERVICE, 'address': f'{host}:{BACKEND}', 'capacity': 50}
    body = daemons.heartbeat(**{**own, **fields})
    path = f'/instances/{name}'
    with contextlib.suppress(OSError, http.client.HTTPException):
        return daemons.put(
            host, ANNOUNCEMENTS, path, body, timeout, offers_http2=offers_http2
        )


class Process:
    """An entry or agent process that is restarted under its name.

    :param soak: the soak that it belongs to.
    :param role: ``entry`` or ``agent``.
    :param number: number of the process, from 1.
    """

    def __init__(self, soak, role, number):
        network = 1 if role == 'entry' else 2
        self.host = f'127.{soak.network}.{network}.{number}'
        self.role = role
        self.domain = soak_evacuation.domain_of(role, number)
        self.name = f'{role}-{number}'
        self.log_path = soak.folder / f'{self.name}.log'
        self._settings_path = soak.folder / f'{self.name}.ini'
        self._settings_path.write_text(self._settings(soak), 'utf-8')
        self.started_at = 0.0
        self.is_stopping = False
        self.away_seconds = 0.0
        self._ended_at = None

    def _settings(self, soak):
        own = {
            'entry': f'clients = {self.host}:{CLIENTS}\nagents = {self.host}:{AGENTS}\n'
            f'configuration_ms = {BOUND_SECONDS * 1000:.0f}\n',
            'agent': f'service = {SERVICE}\nentries = {self.host}:{CLIENTS}\n'
            f'outbound = {self.host}:{OUTBOUND}\nbackend = {self.host}:{BACKEND}\n'
            f'announcements = {self.host}:{ANNOUNCEMENTS}\nheartbeat_ms = 500\n',
        }
        return (
            f'[relay-{self.role}]\nname = {self.name}\n'
            f'domain = {self.domain}\n{own[self.role]}'
            f'ready = {self.host}:{READY}\nmetrics = {self.host}:{METRICS}\n'
            f'platform = {soak.store}\ngrace_seconds = 6\nmax_flow_seconds = 60\n'
        )

    def start(self):
        """Start the process."""
        self.is_stopping = False
        self.away_seconds = 0.0
        self._ended_at = None
        self.started_at = time.time()
        with self.log_path.open('ab') as log:
            self.popen = subprocess.Popen(
                [sys.executable, str(ROOT / 'platform' / '__main__.py'), self.role],
                env={'EGRETJUNCTION_NODE_FILE': str(self._settings_path)},
                stdout=log,
                stderr=log,
            )

    def start_if_due(self):
        """Start the process again once it has ended and its absence is over."""
        if self.popen.poll() is None:
            return
        self._ended_at = self._ended_at or time.monotonic()
        if time.monotonic() - self._ended_at >= self.away_seconds:
            self.start()

    def get(self, port, path):
        """Return status and body of a GET request."""
        connection = http.client.HTTPConnection(self.host, port, timeout=0.5)
        with contextlib.closing(connection):
            connection.request('GET', path)
            response = connection.getresponse()
            return response.status, response.read()

    def is_ready(self):
        """Tell whether the routers may use the process."""
        try:
            return self.get(READY, '/readiness')[0] == 200
        except (OSError, http.client.HTTPException):
            return False

    def version(self):
        """Return the version in force, None when the process does not answer."""
        try:
            return json.loads(self.get(METRICS, '/status')[1])['version']
        except (OSError, http.client.HTTPException):
            return None


class Soak:
    """One seeded run.

    :param seed: decides what happens when.
    :param folder: for settings and logs.
    :param entry_count: number of entries.
    :param agent_count: number of agents, each with a server.
    """

    def __init__(self, seed, folder, entry_count, agent_count):
        self.draw = random.Random(seed)
        self.network = 40 + seed % 160
        self.folder = pathlib.Path(folder)
        self.violations = []
        self.confirmed = []
        self.copies = []
        self.evacuations = soak_evacuation.Evacuations()
        self.events = []
        self.timing = soak_timing.Timing(0, [], 0.0)
        self._spans_by_entry = collections.defaultdict(list)
        self._counts = entry_count, agent_count
        self._is_over = threading.Event()
        self._version = 0
        self._restores = 0
        # A generator of their own leaves the other disruptions of a seed as they were.
        draw = random.Random(f'silences {seed}')
        self._silences_at = [draw.random() for _ in range(draw.randint(0, 2))]
        self._absence_draw = random.Random(f'absences {seed}')
        self._heartbeat_draw = random.Random(f'heartbeats {seed}')

    def run(self, seconds):
        """Play the run; return what was broken."""
        with store_standin.running() as (state, self.store):
            self.state = state
            self._confirm()
            self._start()
            try:
                self._play(seconds)
            finally:
                self._ended_at = time.time()
                self._stop()
        self._check_logs()
        return self.violations

    def _start(self):
        entry_count, agent_count = self._counts
        self.entries = [Process(self, 'entry', n + 1) for n in range(entry_count)]
        self.agents = [Process(self, 'agent', n + 1) for n in range(agent_count)]
        self.servers = [
            soak_traffic.Server((a.host, BACKEND), (a.host, OUTBOUND), number)
            for number, a in enumerate(self.agents, 1)
        ]
        self.clients = soak_traffic.Clients(
            f'127.{self.network}.3.1', CLIENTS, self.draw
        )
        for process in (*self.agents, *self.entries):
            process.start()
        self.ready_hosts = []
        for task in (self._send_heartbeats, self._check_readiness):
            threading.Thread(target=task, daemon=True).start()
        deadline = time.monotonic() + START_SECONDS
        while len(self.ready_hosts) < entry_count and time.monotonic() < deadline:
            soak_traffic.receive_all([*self.servers, self.clients], 0.02)

    def _stop(self):
        self._is_over.set()
        for process in (*self.agents, *self.entries):
            process.popen.kill()
            process.popen.wait()

    def _play(self, seconds):
        self.clients.open(10 * len(self.agents))
        begun_at = time.monotonic()
        next_at = begun_at + 1
        self._later(seconds + LAST_OUTAGE_SECONDS, self._evacuate)
        for at in self._silences_at:
            self._later(at * seconds, self._silence_store)
        while (elapsed := time.monotonic() - begun_at) < seconds + QUIET_SECONDS:
            if elapsed < seconds and time.monotonic() >= next_at:
                self._disturb()
                next_at = time.monotonic() + self.draw.uniform(0.05, 1.2)
            self._run_due()
            if self.ready_hosts:
                addresses = [(host, CLIENTS) for host in self.ready_hosts]
                self.clients.send_due(addresses, time.monotonic())
            soak_traffic.receive_all([*self.servers, self.clients], 0.01)
        newest = self.confirmed[-1][1]
        for entry in self.entries:
            if entry.version() != newest:
                self.violations.append((entry.name, 'version', entry.version(), newest))
        self.violations += self.clients.broken

    def _run_due(self):
        now = time.monotonic()
        due = [event for event in self.events if event[0] <= now]
        self.events = [event for event in self.events if event[0] > now]
        for _, action in due:
            action()
        for process in (*self.agents, *self.entries):
            process.start_if_due()

    def _later(self, seconds, action):
        self.events.append((time.monotonic() + seconds, action))

    def _disturb(self):
        self.clients.open(len(self.agents))
        actions = [
            (self._confirm, 6),
            (lambda: self.evacuations.toggle(self.state), 1),
            (self._restore, 3),
            (self._fail_store, 1),
            (lambda: self._signal(signal.SIGKILL), 2),
            (lambda: self._signal(signal.SIGTERM), 2),
            (lambda: self._signal(signal.SIGHUP), 1),
            (self._freeze, 1),
        ]
        choices, weights = zip(*actions, strict=True)
        self.draw.choices(choices, weights)[0]()

    def _confirm(self):
        """Have the operator write a version, unless the store is away."""
        if self.state.status or self.state.is_silent:
            return
        self._version += self.draw.randint(1, 3)
        self._write_newest(self._version)
        self.confirmed.append((time.time(), self._version))
        self.copies.append((time.monotonic(), self.state.copy()))

    def _evacuate(self):
        """Leave an evacuation in force at the end of the run, under new flows."""
        self.evacuations.begin(self.state)
        for number in range(10):
            self._later(BOUND_SECONDS + number / 5, lambda: self.clients.open(2))

    def _write_newest(self, version):
        route = {'name': 'r', 'host': soak_traffic.ROUTE[0]}
        route |= {'prefix': f'/{soak_traffic.ROUTE[1]}/', 'service': SERVICE}
        route |= {'timeout_ms': 8000, 'target_latency_ms': 500}
        others = [
            {**route, 'name': f'r{n}', 'prefix': f'/{1000 + n}/'}
            for n in range(version % 5)
        ]
        document = {'version': version, 'routes': [route, *others]}
        self.state.write({'op/config': json.dumps(document).encode()}, [])

    def _restore(self):
        """Take the store away, and bring it back from a copy some seconds old."""
        if self.state.status or self.state.is_silent:
            return
        self._fail_store()
        age = self.draw.uniform(0.5, 9)
        before = time.monotonic() - age
        older = [copy for at, copy in self.copies if at <= before]
        copy = (older or [self.copies[0][1]])[-1]
        self.copies = [(at, kept) for at, kept in self.copies if at <= before] or [
            self.copies[0]
        ]
        self._restores += 1
        self.evacuations.record_restore()
        self.state.restore((copy[0], dict(copy[1]), dict(copy[2])))

    def _fail_store(self):
        if self.draw.random() < 0.5:
            self.state.status = 503
        else:
            self.state.is_silent = True
        seconds = self.draw.uniform(0.1, 2)
        self._later(seconds, self._regain_store)
        self._store_failed_at = time.time()

    def _silence_store(self):
        """Have all connections to the store that are open go silent for good."""
        self.state.silence_connections()
        silenced_at = time.time()
        for entry in self.entries:
            span = (silenced_at, silenced_at + STABLE_SECONDS)
            self._spans_by_entry[entry.name].append(span)

    def _regain_store(self):
        """Bring the store back; the operator writes its newest version again soon."""
        self.state.status = 0
        self.state.is_silent = False
        for entry in self.entries:
            span = (self._store_failed_at, time.time())
            self._spans_by_entry[entry.name].append(span)
        self._later(self.draw.uniform(0, 0.6), self._write_again)

    def _write_again(self):
        if not self.state.status and not self.state.is_silent:
            self._write_newest(self.confirmed[-1][1])
            self.evacuations.write(self.state)

    def _signal(self, number):
        process = self.draw.choice([*self.entries, *self.agents])
        others = self.entries if process.role == 'entry' else self.agents
        if process.is_stopping or any(other.is_stopping for other in others):
            return
        if number != signal.SIGHUP:
            process.is_stopping = True
        if number == signal.SIGTERM and process.role == 'agent':
            process.away_seconds = self._absence_draw.uniform(0, MAX_AWAY_SECONDS)
        process.popen.send_signal(number)

    def _freeze(self):
        process = self.draw.choice([*self.entries, *self.agents])
        process.popen.send_signal(signal.SIGSTOP)
        frozen = process.popen
        frozen_at = time.time()

        def wake():
            with contextlib.suppress(ProcessLookupError):
                os.kill(frozen.pid, signal.SIGCONT)
            self._spans_by_entry[process.name].append((frozen_at, time.time()))

        self._later(self.draw.uniform(0.2, 1.5), wake)

    def _send_heartbeats(self):
        sequence = 0
        while not self._is_over.wait(0.4):
            sequence += 1
            for agent in self.agents:
                has_offer = bool(sequence % 2)
                announce(agent.host, offers_http2=has_offer, sequence=sequence)
                if self._heartbeat_draw.random() < FOREIGN_HEARTBEATS:
                    self._announce_other(agent.host)

    def _announce_other(self, host):
        """Send a heartbeat of a dead incarnation, or of another writer."""
        fields = {
            'born': self._heartbeat_draw.choice((500, 1500)),
            'state': self._heartbeat_draw.choice(('ready', 'draining')),
        }
        if self._heartbeat_draw.random() < 0.3:
            fields['address'] = self._heartbeat_draw.choice((None, '127.0.0.1:9'))
        fields['sequence'] = self._heartbeat_draw.randint(2, 60)
        announce(host, 'i-0', **fields)

    def _check_readiness(self):
        while not self._is_over.wait(0.2):
            self.ready_hosts = [e.host for e in self.entries if e.is_ready()]

    def _check_logs(self):
        """Check from the logs that no entry went back and that none was late."""
        log_by_entry = {e.name: e.log_path.read_text('utf-8') for e in self.entries}
        for name, text in log_by_entry.items():
            starts, adoptions = soak_timing.read_log(text)
            moments = sorted([*((at, 0) for at in starts), *adoptions])
            for (_, before), (at, version) in itertools.pairwise(moments):
                if 0 < version < before:
                    self.violations.append((name, 'went back', version, at))
        self.timing = soak_timing.check(
            self.confirmed,
            log_by_entry,
            self._spans_by_entry,
            self._ended_at,
            BOUND_SECONDS,
        )
        self.violations += self.timing.late
        self.violations += self.evacuations.check(
            self.agents, self._spans_by_entry, self.entries[0].name, BOUND_SECONDS
        )

    def summary(self):
        """Return what happened, in one line."""
        return (
            f'{len(self.confirmed)} versions, {self._restores} restores, '
            f'{len(self._silences_at)} silences, '
            f'{self.clients.answers} answers, {self.clients.unanswered} unanswered, '
            f'{self.clients.unopened} unopened, {self.timing.checked} checks of '
            f'versions, slowest {self.timing.slowest:.2f} s, '
            f'{self.evacuations.checked} checks of evacuations'
        )


def main():
    """Play the seeds given on the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seeds', type=int, default=50)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=12)
    parser.add_argument('--entries', type=int, default=3)
    parser.add_argument('--agents', type=int, default=3)
    options = parser.parse_args()
    for seed in range(options.first, options.first + options.seeds):
        folder = tempfile.mkdtemp(prefix=f'soak-{seed}-')
        soak = Soak(seed, folder, options.entries, options.agents)
        violations = soak.run(options.seconds)
        sys.stdout.write(f'seed {seed}: {soak.summary()}, broken: {violations[:3]}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    main()
