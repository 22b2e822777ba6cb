"""Searches for owners of flows beside an agent whose server has crashed."""

import contextlib
import http.client
import json
import random
import time
import types

import pytest

from tests.platform import store_standin
from tests.relay import soak_traffic
from tests.relay import soaking

NETWORK = 30
FLOWS = 24
CRASHED, LIVING = 2, 3  # both in the failure domain of the entry
HEARTBEAT_SECONDS = 0.4
START_SECONDS = 15


class _System:
    """One entry, and two agents with servers that answer until they crash."""

    def __init__(self, folder, store):
        cell = types.SimpleNamespace(network=NETWORK, folder=folder, store=store)
        self.entry = soaking.Process(cell, 'entry', 1)
        self.agent_by_server = {
            number: soaking.Process(cell, 'agent', number)
            for number in (CRASHED, LIVING)
        }
        self.server_by_number = {
            number: soak_traffic.Server(
                (agent.host, soaking.BACKEND), (agent.host, soaking.OUTBOUND), number
            )
            for number, agent in self.agent_by_server.items()
        }
        self.clients = soak_traffic.Clients(
            f'127.{NETWORK}.3.1', soaking.CLIENTS, random.Random(1)
        )
        self._heartbeats = 0
        self._heartbeat_at = 0.0

    def start(self):
        """Start all processes and wait until the entry serves."""
        for process in (*self.agent_by_server.values(), self.entry):
            process.start()
        deadline = time.monotonic() + START_SECONDS
        while not self.entry.is_ready():
            assert time.monotonic() < deadline
            self.run(0.1)

    def restart(self, process):
        """Stop a process as planned and start it again."""
        process.popen.terminate()
        while process.popen.poll() is None:
            self.run(0.02)
        process.start()

    def run(self, seconds):
        """Let servers and clients go on for a time."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            now = time.monotonic()
            if now >= self._heartbeat_at:
                self._heartbeat_at = now + HEARTBEAT_SECONDS
                self._send_heartbeats()
            self.clients.send_due([(self.entry.host, soaking.CLIENTS)], now)
            receivers = [*self.server_by_number.values(), self.clients]
            soak_traffic.receive_all(receivers, 0.01)

    def crash(self, number):
        """Let a server end without a notice."""
        self.server_by_number.pop(number).socket.close()

    def stop(self):
        """Kill all processes and close the sockets."""
        for process in (*self.agent_by_server.values(), self.entry):
            process.popen.kill()
            process.popen.wait()
        for receiver in (*self.server_by_number.values(), self.clients):
            receiver.socket.close()

    def _send_heartbeats(self):
        self._heartbeats += 1
        for number in self.server_by_number:
            connection = http.client.HTTPConnection(
                self.agent_by_server[number].host, soaking.ANNOUNCEMENTS, timeout=0.3
            )
            with (
                contextlib.closing(connection),
                contextlib.suppress(OSError, http.client.HTTPException),
            ):
                body = soaking.heartbeat(self._heartbeats)
                connection.request('PUT', '/instances/i-1', body)
                connection.getresponse().read()


def _configuration():
    route = {
        'name': 'r',
        'host': soak_traffic.ROUTE[0],
        'prefix': f'/{soak_traffic.ROUTE[1]}/',
        'service': soaking.SERVICE,
        'timeout_ms': 8000,
        'target_latency_ms': 500,
    }
    return json.dumps({'version': 3, 'routes': [route]}).encode()


@pytest.fixture
def system(tmp_path):
    with store_standin.running() as (state, store):
        state.write({'op/config': _configuration()}, [])
        started = _System(tmp_path, store)
        try:
            started.start()
            yield started
        finally:
            started.stop()


@pytest.mark.parametrize('seconds', [0.2, 4.0])
def test_restarted_agent_whose_server_crashed_resets_no_flow_of_another(
    system, seconds
):
    """Guards against a flow in question that is reset with a dead server's own.

    :param seconds: from the crash to the restart of the entry, which then searches;
        after the shorter time the agent has not found the server to be lost.
    """
    system.restart(system.agent_by_server[CRASHED])
    system.run(2)
    system.clients.open(FLOWS)
    system.run(3)
    living_ports = system.clients.ports_of(LIVING)
    assert living_ports
    assert system.clients.ports_of(CRASHED)
    system.crash(CRASHED)
    system.run(seconds)
    system.restart(system.entry)
    system.run(5)
    assert not [event for event in system.clients.broken if event[0] in living_ports]
    assert 'event=flow_located' in system.entry.log_path.read_text('utf-8')
