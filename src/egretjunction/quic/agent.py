"""The agent daemon: owns flows and runs their requests on one backend server."""

import asyncio
import datetime
import signal
import time

import msgspec
from tornado import httpclient
from tornado import ioloop
from tornado import simple_httpclient

from egretjunction import _admin
from egretjunction import _udp
from egretjunction import addresses
from egretjunction import errors
from egretjunction import lifecycles
from egretjunction import logs
from egretjunction import member_records
from egretjunction import metrics
from egretjunction import platform
from egretjunction import settings
from egretjunction.decisions import agent_control
from egretjunction.decisions import dispatch
from egretjunction.decisions import health
from egretjunction.decisions import incarnations
from egretjunction.decisions import ownership
from egretjunction.quic import arrivals
from egretjunction.quic import connections
from egretjunction.quic import control
from egretjunction.quic import flow_table
from egretjunction.quic import requests
from egretjunction.quic import server_flow

TICK_SECONDS = 0.25
HEALTH_SECONDS = 0.5
HEALTH_CALL_SECONDS = 1.0
IDLE_GRACE_SECONDS = 2.0
LEAVE_SECONDS = 0.5
QUEUE_LIMIT_BEFORE_CONFIGURED = 1


class BackendHealth(msgspec.Struct):
    """What the health endpoint of a backend server says.

    :param state: ``cold``, ``warm`` or ``draining``.
    :param healthy: its own claim, which may be late or wrong.
    """

    state: str
    healthy: bool = True


class Agent:
    """One agent process; it owns its sockets and its state.

    :param given: checked settings.
    """

    def __init__(self, given: settings.Agent) -> None:
        self._given = given
        self._clock = time.monotonic
        self._key = settings.read_key(given.key_file)
        expires = settings.check_certificate(
            given.certificate_file,
            given.private_key_file,
            datetime.datetime.now(datetime.UTC),
        )
        self._expires_at = expires.timestamp()
        self._incarnation = incarnations.from_clock(time.time())
        self._flows = flow_table.FlowTable(
            self._key,
            given.service,
            ownership.Owner(given.data, self._incarnation),
            connections.server_configuration(
                given.certificate_file, given.private_key_file
            ),
        )
        self._figures = metrics.Metrics('agent')
        self._lifecycle = lifecycles.Lifecycle('agent')
        self._health = health.Health()
        self._control = agent_control.AgentControl(self._own_record(), given.seeds)
        self._dispatcher = dispatch.Dispatcher(
            given.slots,
            QUEUE_LIMIT_BEFORE_CONFIGURED,
        )
        self._requests = requests.Requests(
            given.backend,
            self._dispatcher,
            self._health,
            self._figures,
        )
        self._links = control.Links(
            self._key,
            self._on_message,
            self._figures,
            self._clock,
        )
        self._arrivals = arrivals.Arrivals(
            given,
            self._key,
            self._flows,
            self._dispatcher,
            self._health,
            self._figures,
            arrivals.Outlook(
                lambda: self._control.service,
                lambda: self._control.entries,
                lambda: self._lifecycle.state == 'serving',
            ),
        )
        self._arrivals.handlers = server_flow.Handlers(
            self._arrivals.send,
            self._on_request,
            self._requests.cancel,
            self._arrivals.forget,
        )
        self._drain_began_at = float(0)
        self._stopped = asyncio.Event()

    async def run(self) -> None:
        """Serve until a drain has finished."""
        self._data = _udp.DatagramSocket(
            self._given.data,
            self._arrivals.receive,
            asyncio.get_running_loop(),
        )
        self._arrivals.transmit = self._data.send
        self._register_figures()
        admin = _admin.serve(
            self._given.admin,
            self._figures,
            self._status,
            self.drain,
        )
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.drain)
        ticker = ioloop.PeriodicCallback(self._tick, TICK_SECONDS * 1000)
        ticker.start()
        tasks = [
            asyncio.create_task(self._poll_health()),
            asyncio.create_task(self._find_entries()),
        ]
        logs.get().info('agent_started', incarnation=self._incarnation)
        await self._stopped.wait()
        for task in tasks:
            task.cancel()
        ticker.stop()
        self._data.close()
        self._links.close()
        admin.stop()
        logs.get().info('agent_stopped')

    def drain(self) -> None:
        """Leave gracefully: no new flow from now on, open ones may finish."""
        if self._lifecycle.send('drain'):
            self._begin_drain()

    def _begin_drain(self) -> None:
        now = self._clock()
        self._drain_began_at = now
        self._links.apply(
            self._control.update_record(now, state=member_records.State.DRAINING)
        )
        for flow in self._flows.all():
            flow.go_away()

    def _own_record(self) -> member_records.Member:
        return member_records.Member(
            name=self._given.name,
            kind=member_records.Kind.AGENT,
            service=self._given.service,
            domain=self._given.domain,
            address=self._given.data,
            control=self._given.data,
            incarnation=self._incarnation,
            sequence=0,
            state=member_records.State.WARMING,
        )

    def _register_figures(self) -> None:
        self._figures.gauge('flows', lambda: len(self._flows))
        self._figures.gauge(
            'certificate_seconds_left',
            lambda: self._expires_at - time.time(),
        )
        self._figures.gauge('requests_running', lambda: self._dispatcher.running)
        self._figures.gauge('requests_waiting', lambda: self._dispatcher.waiting)
        self._figures.gauge('datagrams_unsent', lambda: self._data.dropped)
        self._figures.gauge(
            'configuration_generation',
            lambda: self._control.active_configuration.generation,
        )

    def _status(self) -> dict[str, object]:
        return {
            'name': self._given.name,
            'service': self._given.service,
            'domain': self._given.domain,
            'state': self._lifecycle.state,
            'incarnation': self._incarnation,
            'sequence': self._control.own_record.sequence,
            'generation': self._control.active_configuration.generation,
            'fitness': self._control.own_record.fitness,
            'flows': len(self._flows),
            'running': self._dispatcher.running,
            'waiting': self._dispatcher.waiting,
        }

    def _on_request(self, stream: server_flow.Stream) -> None:
        self._arrivals.release(stream.flow)
        self._requests.accept(stream, self._control.service)

    def _on_message(self, message: object) -> list:
        found = self._control.receive(message, self._clock())
        self._note_configuration()
        return found

    def _note_configuration(self) -> None:
        """Follow the service's section: its limits, and whether it lets us serve."""
        if not self._control.active_configuration.generation:
            return
        service = self._control.service
        if service is None or not service.may_serve(self._given.name):
            if self._lifecycle.send('unconfigured'):
                self._after_unconfigured()
            return
        self._dispatcher.set_limits(self._given.slots, service.queue_limit)
        self._lifecycle.send('configured')

    def _after_unconfigured(self) -> None:
        if self._lifecycle.state == 'draining':
            self._begin_drain()

    def _tick(self) -> None:
        now = self._clock()
        self._requests.expire()
        fitness = round(self._health.weight(now) * member_records.FULL_WEIGHT)
        self._links.apply(self._control.update_record(now, fitness=fitness))
        self._links.apply(self._control.tick(now))
        self._links.close_idle()
        if self._lifecycle.state == 'draining':
            self._continue_drain(now)

    def _continue_drain(self, now: float) -> None:
        waited = now - self._drain_began_at
        for flow in self._flows.all():
            flow.go_away()
            if flow.is_idle and waited >= IDLE_GRACE_SECONDS:
                flow.close()
        if not len(self._flows) and waited >= IDLE_GRACE_SECONDS:
            self._leave('empty')
        elif waited >= self._given.drain_seconds:
            logs.get().warning('drain_is_overdue', flows=len(self._flows))
            self._leave('overdue')

    def _leave(self, event: str) -> None:
        if self._lifecycle.send(event):
            gone = self._control.update_record(
                self._clock(), state=member_records.State.GONE
            )
            self._links.apply(gone)
            ioloop.IOLoop.current().call_later(LEAVE_SECONDS, self._stopped.set)

    async def _poll_health(self) -> None:
        """Ask the backend server how it is; its outcomes count for more."""
        client = simple_httpclient.SimpleAsyncHTTPClient(force_instance=True)
        url = f'http://{self._given.backend}/health'
        while True:
            try:
                response = await client.fetch(url, request_timeout=HEALTH_CALL_SECONDS)
                claim = msgspec.json.decode(response.body, type=BackendHealth)
                self._health.record_reachable()
                self._take_claim(claim)
            except ConnectionRefusedError:
                self._health.record_refused()
                self._figures.count('health_calls_failed')
            except (OSError, httpclient.HTTPError, msgspec.DecodeError):
                self._health.record_health_check(is_healthy=False)
                self._figures.count('health_calls_failed')
            await asyncio.sleep(HEALTH_SECONDS)

    def _take_claim(self, claim: BackendHealth) -> None:
        self._health.record_health_check(claim.healthy)
        if claim.state == 'draining':
            self.drain()
        elif claim.state == 'warm' and self._lifecycle.send('warm'):
            now = self._clock()
            self._links.apply(
                self._control.update_record(now, state=member_records.State.SERVING)
            )

    async def _find_entries(self) -> None:
        """Read the registry of entries while no entry has answered."""
        if not self._given.platform:
            return
        service = platform.Platform(self._given.platform)
        while True:
            await asyncio.sleep(agent_control.HOME_SILENT_SECONDS)
            if self._control.has_home(self._clock()):
                continue
            try:
                items = await service.list_prefix(platform.ENTRIES_PREFIX)
            except errors.PlatformUnavailableError as error:
                logs.get().warning('registry_unavailable', error=str(error))
                continue
            self._control.add_seeds(
                [addresses.parse(item.data.decode()) for item in items]
            )
