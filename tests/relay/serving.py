"""A small system of relay processes, with servers and clients in the test process."""

import os
import random
import time
import types

from tests.relay import soak_traffic
from tests.relay import soaking
from tests.relay import test_daemons as daemons

HEARTBEAT_SECONDS = 0.4
START_SECONDS = 15
FIRST_NETWORK, NETWORKS = 200, 50  # the soak has the networks below


def configuration():
    """Return a version of the configuration with the route that clients use."""
    return daemons._configuration(3, soaking.SERVICE)


class System:
    """Entries, agents with a server each, and clients.

    :param folder: for settings and logs.
    :param store: address of the store.
    :param entry_count: number of entries.
    :param agent_numbers: numbers of the agents and of their servers.
    """

    def __init__(self, folder, store, entry_count, agent_numbers):
        # Processes that run tests at the same time have addresses of their own.
        network = FIRST_NETWORK + os.getpid() % NETWORKS
        cell = types.SimpleNamespace(network=network, folder=folder, store=store)
        self.entries = [
            soaking.Process(cell, 'entry', number + 1) for number in range(entry_count)
        ]
        self.agent_by_number = {
            number: soaking.Process(cell, 'agent', number) for number in agent_numbers
        }
        self.server_by_number = {
            number: soak_traffic.Server(
                (agent.host, soaking.BACKEND), (agent.host, soaking.OUTBOUND), number
            )
            for number, agent in self.agent_by_number.items()
        }
        self.clients = soak_traffic.Clients(
            f'127.{network}.3.1', soaking.CLIENTS, random.Random(1)
        )
        self._heartbeats = 0
        self._heartbeat_at = 0.0

    @property
    def processes(self):
        """Return all processes."""
        return [*self.agent_by_number.values(), *self.entries]

    def start(self):
        """Start all processes and wait until the entries serve."""
        for process in self.processes:
            process.start()
        deadline = time.monotonic() + START_SECONDS
        while not all(entry.is_ready() for entry in self.entries):
            assert time.monotonic() < deadline
            self.run(0.1)

    def end(self, process):
        """Stop a process as planned and wait for its end."""
        process.popen.terminate()
        while process.popen.poll() is None:
            self.run(0.02)

    def restart(self, process):
        """Stop a process as planned and start it again."""
        self.end(process)
        process.start()

    def run(self, seconds):
        """Let servers and clients go on for a time."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            now = time.monotonic()
            if now >= self._heartbeat_at:
                self._heartbeat_at = now + HEARTBEAT_SECONDS
                self._send_heartbeats()
            self.clients.send_due(self._routed(), now)
            receivers = [*self.server_by_number.values(), self.clients]
            soak_traffic.receive_all(receivers, 0.01)

    def crash(self, number):
        """Let a server end without a notice."""
        self.server_by_number.pop(number).socket.close()

    def stop(self):
        """Kill all processes and close the sockets."""
        for process in self.processes:
            process.popen.kill()
            process.popen.wait()
        for receiver in (*self.server_by_number.values(), self.clients):
            receiver.socket.close()

    def _routed(self):
        """Return the addresses that clients send to: those of running entries."""
        running = [entry for entry in self.entries if entry.popen.poll() is None]
        return [(entry.host, soaking.CLIENTS) for entry in running or self.entries]

    def _send_heartbeats(self):
        self._heartbeats += 1
        for number in self.server_by_number:
            host = self.agent_by_number[number].host
            soaking.announce(host, timeout=0.1, sequence=self._heartbeats)
