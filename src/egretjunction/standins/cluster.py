"""Starts a whole system as separate loopback processes, for demo and tests."""

import os
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import time
import typing
import urllib.error
import urllib.request

import msgspec

from egretjunction import addresses
from egretjunction import caller
from egretjunction import document_changes
from egretjunction import operators
from egretjunction import platform
from egretjunction.decisions import document
from egretjunction.standins import certificates
from egretjunction.standins import ports
from egretjunction.standins import sizes

START_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 20.0
HTTP_TIMEOUT_SECONDS = 2.0
POLL_INTERVAL_SECONDS = 0.05
KEY_BYTES = 16


class Cluster:
    """The processes of one system, configured by INI files in a folder.

    :param folder: directory for settings, keys, certificates and logs.
    :param size: number of entries and backend servers to start.
    """

    def __init__(self, folder: pathlib.Path, size: sizes.Size) -> None:
        self.folder = folder
        self.size = size
        self.ports = ports.PortAllocator()
        self.process_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self.admin_address_by_name: dict[str, addresses.Address] = {}
        self.data_address_by_entry: dict[str, addresses.Address] = {}
        self.control_address_by_entry: dict[str, addresses.Address] = {}
        self.backend_address_by_server: dict[str, addresses.Address] = {}
        self.address_by_service = {
            service.name: self.ports.take() for service in size.services
        }
        self.platform_address = self.ports.take()
        self.fabric_answer_address = self.ports.take()
        self.feed_epoch = time.time()
        self.authority_file = folder / 'authority.pem'
        self.key_file = folder / 'shared.key'
        self.key_file.write_text(secrets.token_hex(KEY_BYTES), encoding='utf-8')
        certificates.write(folder, [service.name for service in size.services])

    @property
    def platform_url(self) -> str:
        """Return the base URL of the platform stand-in."""
        return f'http://{self.platform_address}'

    def domain(self, index: int) -> str:
        """Return the failure domain of an entry or backend server.

        :param index: number of the process; domains are assigned round-robin.
        """
        return f'domain-{index % self.size.domains + 1}'

    def start(self) -> None:
        """Start every process and wait until each one is reachable."""
        self.start_platform()
        self.wait_until_reachable(['platform'])
        names = [f'entry-{number + 1}' for number in range(self.size.entries)]
        for number, name in enumerate(names):
            self.start_entry(name, self.domain(number))
        self.start_fabric()
        for service in self.size.services:
            for number in range(service.servers):
                self.start_server(service, number)
        self.wait_until_reachable(list(self.admin_address_by_name))

    def start_platform(self) -> None:
        """Start the platform stand-in."""
        self._start('platform', 'standin platform', {'listen': self.platform_address})

    def start_fabric(self) -> None:
        """Start the fabric stand-in, which forwards to all entries."""
        self.admin_address_by_name['fabric'] = self.ports.take()
        self._start(
            'fabric',
            'standin fabric',
            {
                'services': _comma_separated(self.address_by_service.values()),
                'entries': _comma_separated(self.data_address_by_entry.values()),
                'answers': self.fabric_answer_address,
                'admin': self.admin_address_by_name['fabric'],
                'delay_seconds': self.size.delay_seconds,
            },
        )

    def start_entry(self, name: str, domain: str) -> None:
        """Start an entry, seeded with the entries started before it."""
        self.admin_address_by_name[name] = self.ports.take()
        seeds = list(self.control_address_by_entry.values())
        self.data_address_by_entry[name] = self.ports.take()
        self.control_address_by_entry[name] = self.ports.take()
        self._start(
            name,
            'entry',
            {
                'name': name,
                'domain': domain,
                'data': self.data_address_by_entry[name],
                'control': self.control_address_by_entry[name],
                'admin': self.admin_address_by_name[name],
                'fabric': self.fabric_answer_address,
                'platform': self.platform_url,
                'key_file': self.key_file,
                'seeds': _comma_separated(seeds),
            },
        )

    def start_server(
        self,
        service: sizes.ServiceSize,
        number: int,
        cold_start_seconds: float = 0,
    ) -> str:
        """Start a backend server and the agent beside it.

        :param service: service that the backend server belongs to.
        :param number: number of the backend server within its service, from 0.
        :param cold_start_seconds: length of its cold start period.
        :return: name of the backend server.
        """
        name = f'{service.name}-{number + 1}'
        self.start_backend(name, cold_start_seconds)
        self.start_agent(name, service.name, self.domain(number))
        return name

    def start_backend(self, name: str, cold_start_seconds: float = 0) -> None:
        """Start a backend server stand-in."""
        self.backend_address_by_server.setdefault(name, self.ports.take())
        self._start(
            f'backend-{name}',
            'standin backend',
            {
                'name': name,
                'listen': self.backend_address_by_server[name],
                'cold_start_seconds': cold_start_seconds,
                'feed_epoch': self.feed_epoch,
            },
        )

    def start_agent(self, name: str, service: str, domain: str) -> None:
        """Start the agent beside a backend server."""
        agent = f'agent-{name}'
        self.admin_address_by_name[agent] = self.ports.take()
        self._start(
            agent,
            'agent',
            {
                'name': name,
                'domain': domain,
                'service': service,
                'data': self.ports.take(),
                'admin': self.admin_address_by_name[agent],
                'backend': self.backend_address_by_server[name],
                'certificate_file': self.folder / f'{service}.pem',
                'private_key_file': self.folder / f'{service}.key',
                'key_file': self.key_file,
                'seeds': _comma_separated(self.control_address_by_entry.values()),
                'platform': self.platform_url,
            },
        )

    async def apply_document(self) -> document_changes.Change | None:
        """Apply the initial configuration document through the operator interface."""
        team = self.size.services[0].team
        author = operators.Author('demo', team, team_key_digest(team), 'start')
        parsed = document.parse(self.document_text(), 'demo document')
        client = platform.Platform(self.platform_url)
        return await operators.apply(client, operators.EMPTY, parsed, author)

    def caller(self, service: str, seed: int | None = 1) -> caller.Caller:
        """Return a caller of a service.

        :param service: name of the service.
        :param seed: seed of the caller's random numbers.
        """
        address = self.address_by_service[service]
        return caller.Caller(address, service, str(self.authority_file), seed)

    def document_text(self) -> str:
        """Return the configuration document for the teams and services."""
        sections = []
        for team in sorted({service.team for service in self.size.services}):
            digest = team_key_digest(team)
            sections.append(f'[team {team}]\nkey_sha256 = {digest}\n')
        for service in self.size.services:
            address = self.address_by_service[service.name]
            sections.append(
                f'[service {service.name}]\nteam = {service.team}\n'
                f'address = {address}\nbackend_servers = {service.name}-*\n'
                f'{service.options}',
            )
        return '\n'.join(sections)

    def wait_until_reachable(self, names: typing.Iterable[str]) -> None:
        """Wait until the admin endpoint of each named process responds.

        The fabric and platform stand-ins only have to accept a TCP connection.

        :param names: names of the processes.
        :raises TimeoutError: when a process ends or does not respond in time.
        """
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        for name in names:
            while not self._is_reachable(name):
                if time.monotonic() > deadline:
                    raise TimeoutError(f'{name} did not respond in time; see its log')
                time.sleep(POLL_INTERVAL_SECONDS)

    def wait_for_state(self, name: str, state: str) -> None:
        """Wait until a daemon reports a life cycle state.

        :param name: name of the daemon's process.
        :param state: state to wait for, such as ``serving``.
        :raises TimeoutError: when the daemon does not reach the state in time.
        """
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while self.status(name)['state'] != state:
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f'{name} did not reach state {state} in time; see its log'
                )
            time.sleep(POLL_INTERVAL_SECONDS)

    def get(self, name: str, path: str) -> bytes:
        """Return the response body of a process's admin endpoint."""
        return _http_get(self.admin_address_by_name[name], path)

    def post(self, address: addresses.Address, path: str, body: bytes) -> None:
        """Send an HTTP POST request to a stand-in or daemon."""
        url = f'http://{address}{path}'
        request = urllib.request.Request(url, body, method='POST')
        with urllib.request.urlopen(request, timeout=HTTP_TIMEOUT_SECONDS):
            return

    def status(self, name: str) -> dict[str, typing.Any]:
        """Return the decoded status of a daemon."""
        return msgspec.json.decode(self.get(name, '/status'))

    def backend_stats(self, server: str) -> dict[str, typing.Any]:
        """Return the request counts of a backend server stand-in."""
        return _http_get_json(self.backend_address_by_server[server], '/admin/runs')

    def set_behaviour(self, server: str, **behaviour: object) -> None:
        """Replace the injected behaviour of a backend server stand-in.

        :param server: name of the backend server.
        :param behaviour: fields of ``backend.Behaviour``; others get defaults.
        """
        body = msgspec.json.encode(behaviour)
        self.post(self.backend_address_by_server[server], '/admin/behaviour', body)

    def set_fabric(self, entries: typing.Iterable[str], **conditions: float) -> None:
        """Replace the entries that the fabric forwards to, and its network faults.

        :param entries: names of the entries.
        :param conditions: fields of ``fabric.Conditions``; others get defaults.
        """
        entry_addresses = [str(self.data_address_by_entry[name]) for name in entries]
        body = msgspec.json.encode({'entries': entry_addresses, **conditions})
        self.post(self.admin_address_by_name['fabric'], '/conditions', body)

    def restore_platform(self, seconds: float) -> None:
        """Restore the platform stand-in from a copy.

        :param seconds: age of the copy; what was written since is lost.
        """
        body = msgspec.json.encode({'seconds': seconds})
        self.post(self.platform_address, '/admin/restore', body)

    def platform_calls(self) -> dict[str, int]:
        """Return the number of calls to the platform stand-in, by kind."""
        return _http_get_json(self.platform_address, '/admin/calls')

    def send_signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.process_by_name[name].send_signal(signal_number)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its exit."""
        self.process_by_name[name].kill()
        self.process_by_name.pop(name).wait()

    def stop(self) -> None:
        """Kill every process of this cluster and wait for its exit."""
        for process in self.process_by_name.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.process_by_name.values():
            process.wait(STOP_TIMEOUT_SECONDS)
        self.ports.close()
        self.process_by_name.clear()

    def _is_reachable(self, name: str) -> bool:
        process = self.process_by_name.get(name)
        if process is not None and process.poll() is not None:
            raise TimeoutError(
                f'{name} exited with code {process.returncode}; see its log'
            )
        if name in {'fabric', 'platform'}:
            address = self.admin_address_by_name.get(name, self.platform_address)
            with socket.socket() as probe:
                return probe.connect_ex(address) == 0
        try:
            return bool(self.get(name, '/status'))
        except (urllib.error.URLError, OSError):
            return False

    def _start(
        self,
        name: str,
        command: str,
        value_by_key: typing.Mapping[str, object],
    ) -> None:
        section = command.split()[-1]
        lines = [
            f'{key} = {value}' for key, value in value_by_key.items() if str(value)
        ]
        path = self.folder / f'{name}.ini'
        body = '\n'.join(lines)
        path.write_text(f'[{section}]\n{body}\n', encoding='utf-8')
        log = (self.folder / f'{name}.log').open('ab')
        arguments = [
            sys.executable,
            '-m',
            'egretjunction',
            *command.split(),
            '--settings',
            str(path),
        ]
        self.process_by_name[name] = subprocess.Popen(
            arguments,
            stdout=log,
            stderr=log,
            env=dict(os.environ),
        )
        log.close()


def _http_get(address: addresses.Address, path: str) -> bytes:
    url = f'http://{address}{path}'
    with urllib.request.urlopen(url, timeout=HTTP_TIMEOUT_SECONDS) as response:
        return response.read()


def _http_get_json(address: addresses.Address, path: str) -> typing.Any:
    return msgspec.json.decode(_http_get(address, path))


def _comma_separated(elements: typing.Iterable[object]) -> str:
    return ', '.join(str(element) for element in elements)


def team_key(team: str) -> str:
    """Return the operator key of a team in the demo."""
    return f'demo key of team {team}'


def team_key_digest(team: str) -> str:
    """Return the digest of a team's operator key in the demo."""
    return document.digest(team_key(team))
