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
from egretjunction import _decoding
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
HEALTH_POLL_SECONDS = 0.5
HEALTH_TIMEOUT_SECONDS = 1.0
MIN_DRAIN_SECONDS = 2.0
STOP_DELAY_SECONDS = 0.5
INITIAL_QUEUE_LIMIT = 1


class BackendHealth(msgspec.Struct):
    """The response of a backend server's health endpoint.

    :param state: ``cold``, ``warm`` or ``draining``.
    :param healthy: what the server reports about itself; may be late or wrong.
    """

    state: str
    healthy: bool = True


class Agent:
    """One agent process with its sockets and state.

    :param agent_settings: validated settings.
    """

    def __init__(self, agent_settings: settings.Agent) -> None:
        self._settings = agent_settings
        self._clock = time.monotonic
        self._key = settings.read_key(agent_settings.key_file)
        certificate_expiry = settings.check_certificate(
            agent_settings.certificate_file,
            agent_settings.private_key_file,
            datetime.datetime.now(datetime.UTC),
        )
        self._certificate_expires_at = certificate_expiry.timestamp()
        self._incarnation = incarnations.from_clock(time.time())
        self._flows = flow_table.FlowTable(
            self._key,
            agent_settings.service,
            ownership.Owner(agent_settings.data, self._incarnation),
            connections.server_configuration(
                agent_settings.certificate_file, agent_settings.private_key_file
            ),
        )
        self._metrics = metrics.Metrics('agent')
        self._lifecycle = lifecycles.Lifecycle('agent')
        self._health = health.Health()
        self._control = agent_control.AgentControl(
            self._own_record(), agent_settings.seeds
        )
        self._dispatcher = dispatch.Dispatcher(
            agent_settings.slots,
            INITIAL_QUEUE_LIMIT,
        )
        self._request_runner = requests.RequestRunner(
            agent_settings.backend,
            self._dispatcher,
            self._health,
            self._metrics,
        )
        self._control_sockets = control.ControlSockets(
            self._key,
            self._on_message,
            self._metrics,
            self._clock,
        )
        self._datagram_handler = arrivals.DatagramHandler(
            agent_settings,
            self._key,
            self._flows,
            self._dispatcher,
            self._health,
            self._metrics,
            arrivals.AgentState(
                lambda: self._control.service,
                lambda: self._control.entries,
                self._takes_flows,
            ),
        )
        self._datagram_handler.handlers = server_flow.Handlers(
            self._datagram_handler.send,
            self._on_request,
            self._request_runner.cancel,
            self._datagram_handler.forget_flow,
        )
        self._drain_started_at = float(0)
        self._stopped = asyncio.Event()

    async def run(self) -> None:
        """Serve until the drain is complete."""
        self._data = _udp.DatagramSocket(
            self._settings.data,
            self._datagram_handler.receive,
            asyncio.get_running_loop(),
        )
        self._datagram_handler.transmit = self._data.send
        self._register_gauges()
        admin = _admin.serve(
            self._settings.admin,
            self._metrics,
            self._status,
            self.drain,
        )
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.drain)
        ticker = ioloop.PeriodicCallback(self._tick, TICK_SECONDS * 1000)
        ticker.start()
        tasks = [
            asyncio.create_task(self._poll_health()),
            asyncio.create_task(self._discover_entries()),
        ]
        logs.get().info('agent_started', incarnation=self._incarnation)
        await self._stopped.wait()
        for task in tasks:
            task.cancel()
        ticker.stop()
        self._data.close()
        self._control_sockets.close()
        admin.stop()
        logs.get().info('agent_stopped')

    def drain(self) -> None:
        """Stop accepting flows and let the open ones finish."""
        if self._lifecycle.send('drain'):
            self._begin_drain()

    def _takes_flows(self) -> bool:
        is_serving = self._lifecycle.state == 'serving'
        return is_serving and not self._control.is_evacuated

    def _begin_drain(self) -> None:
        now = self._clock()
        self._drain_started_at = now
        self._control_sockets.apply(
            self._control.update_record(now, state=member_records.State.DRAINING)
        )
        for flow in self._flows.all():
            flow.announce_shutdown()

    def _own_record(self) -> member_records.Member:
        return member_records.Member(
            name=self._settings.name,
            kind=member_records.Kind.AGENT,
            service=self._settings.service,
            domain=self._settings.domain,
            address=self._settings.data,
            control=self._settings.data,
            incarnation=self._incarnation,
            sequence=0,
            state=member_records.State.WARMING,
        )

    def _register_gauges(self) -> None:
        self._metrics.gauge('flows', lambda: len(self._flows))
        self._metrics.gauge(
            'certificate_seconds_left',
            lambda: self._certificate_expires_at - time.time(),
        )
        self._metrics.gauge('requests_running', lambda: self._dispatcher.running)
        self._metrics.gauge('requests_waiting', lambda: self._dispatcher.waiting)
        self._metrics.gauge('datagrams_unsent', lambda: self._data.dropped)
        self._metrics.gauge(
            'configuration_generation',
            lambda: self._control.active_configuration.generation,
        )
        self._metrics.gauge(
            'domains_evacuated',
            lambda: len(self._control.active_configuration.document.evacuated_domains),
        )

    def _status(self) -> dict[str, object]:
        active_document = self._control.active_configuration.document
        return {
            'name': self._settings.name,
            'service': self._settings.service,
            'domain': self._settings.domain,
            'state': self._lifecycle.state,
            'incarnation': self._incarnation,
            'sequence': self._control.own_record.sequence,
            'generation': self._control.active_configuration.generation,
            'domains_evacuated': sorted(active_document.evacuated_domains),
            'is_evacuated': self._control.is_evacuated,
            'fitness': self._control.own_record.fitness,
            'flows': len(self._flows),
            'running': self._dispatcher.running,
            'waiting': self._dispatcher.waiting,
        }

    def _on_request(self, stream: server_flow.Stream) -> None:
        self._datagram_handler.release(stream.flow)
        self._request_runner.accept(stream, self._control.service)

    def _on_message(self, message: object) -> list:
        effects = self._control.receive(message, self._clock())
        self._apply_configuration()
        return effects

    def _apply_configuration(self) -> None:
        """Apply the service's section: its limits, and whether this agent may serve."""
        if not self._control.active_configuration.generation:
            return
        service = self._control.service
        if service is None or not service.may_serve(self._settings.name):
            if self._lifecycle.send('unconfigured'):
                self._after_unconfigured()
            return
        self._dispatcher.set_limits(self._settings.slots, service.queue_limit)
        self._lifecycle.send('configured')

    def _after_unconfigured(self) -> None:
        if self._lifecycle.state == 'draining':
            self._begin_drain()

    def _tick(self) -> None:
        now = self._clock()
        self._request_runner.expire()
        fitness = round(self._health.weight(now) * member_records.FULL_WEIGHT)
        self._control_sockets.apply(self._control.update_record(now, fitness=fitness))
        self._control_sockets.apply(self._control.tick(now))
        self._control_sockets.close_idle()
        if self._lifecycle.state == 'draining':
            self._continue_drain(now)

    def _continue_drain(self, now: float) -> None:
        draining_seconds = now - self._drain_started_at
        for flow in self._flows.all():
            flow.announce_shutdown()
            if flow.is_idle and draining_seconds >= MIN_DRAIN_SECONDS:
                flow.close()
        if not len(self._flows) and draining_seconds >= MIN_DRAIN_SECONDS:
            self._finish_drain('empty')
        elif draining_seconds >= self._settings.drain_seconds:
            logs.get().warning('drain_is_overdue', flows=len(self._flows))
            self._finish_drain('overdue')

    def _finish_drain(self, event: str) -> None:
        if self._lifecycle.send(event):
            effects = self._control.update_record(
                self._clock(), state=member_records.State.GONE
            )
            self._control_sockets.apply(effects)
            ioloop.IOLoop.current().call_later(STOP_DELAY_SECONDS, self._stopped.set)

    async def _poll_health(self) -> None:
        """Poll the health endpoint; recent request outcomes override its reports."""
        client = simple_httpclient.SimpleAsyncHTTPClient(force_instance=True)
        url = f'http://{self._settings.backend}/health'
        while True:
            try:
                response = await client.fetch(
                    url, request_timeout=HEALTH_TIMEOUT_SECONDS
                )
                report = _decoding.decode_json(response.body, BackendHealth)
                self._health.record_reachable()
                self._apply_health_report(report)
            except ConnectionRefusedError:
                self._health.record_refused()
                self._metrics.count('health_calls_failed')
            except (OSError, httpclient.HTTPError, msgspec.DecodeError):
                self._health.record_health_check(is_healthy=False)
                self._metrics.count('health_calls_failed')
            await asyncio.sleep(HEALTH_POLL_SECONDS)

    def _apply_health_report(self, report: BackendHealth) -> None:
        self._health.record_health_check(report.healthy)
        if report.state == 'draining':
            self.drain()
        elif report.state == 'warm' and self._lifecycle.send('warm'):
            now = self._clock()
            self._control_sockets.apply(
                self._control.update_record(now, state=member_records.State.SERVING)
            )

    async def _discover_entries(self) -> None:
        """Read entries from the registry while no home entry responds."""
        if not self._settings.platform:
            return
        platform_client = platform.Platform(self._settings.platform)
        while True:
            await asyncio.sleep(agent_control.HOME_SILENT_SECONDS)
            if self._control.has_home(self._clock()):
                continue
            try:
                items = await platform_client.list_prefix(platform.ENTRIES_PREFIX)
            except errors.PlatformUnavailableError as error:
                logs.get().warning('registry_unavailable', error=str(error))
                continue
            self._control.add_seeds(
                [addresses.parse(item.data.decode()) for item in items]
            )
