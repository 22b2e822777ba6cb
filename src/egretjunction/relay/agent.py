"""The agent that relays: owns the flows of the backend server beside it."""

import threading
import time

import msgspec

from egretjunction import _udp
from egretjunction import errors
from egretjunction import metrics
from egretjunction.decisions import relay_agent
from egretjunction.decisions import relay_server
from egretjunction.relay import _http
from egretjunction.relay import _loop
from egretjunction.relay import _process
from egretjunction.relay import adapter
from egretjunction.relay import listings
from egretjunction.relay import settings
from egretjunction.wire import relaying

DRAIN_SECONDS = 2.5  # well inside the time between the signals to end
QUIET_SECONDS = 0.1


class RelayAgent:
    """One agent process; it owns its sockets and its state.

    :param given: checked settings.
    :param platform: the platform's adapter.
    :param log: writes one event.
    """

    def __init__(
        self,
        given: settings.RelayAgent,
        platform: adapter.Adapter,
        log: _process.Logger,
    ) -> None:
        self._given = given
        self._platform = platform
        self._log = log
        self._clock = time.monotonic
        self._server = relay_server.Server(given.service, given.heartbeat_ms / 1000)
        self._flows = relay_agent.AgentFlows(self._server, platform.codec)
        self._listing: threading.Thread | None = None
        self._ending_since: float | None = None
        self._loop = _loop.Loop()
        self._figures = metrics.Metrics('agent')

    def run(self) -> None:
        """Serve until a drain has finished."""
        self._entries = _udp.DatagramSocket(
            self._given.entries, self._on_entry, self._loop
        )
        self._outbound = _udp.DatagramSocket(
            self._given.outbound, self._on_server, self._loop
        )
        self._outlet = _process.Outlet(
            self._platform.codec,
            self._log,
            self._figures,
            self._entries,
            self._entries,
            self._give,
        )
        is_ready = _http.readiness(
            self._platform.readiness_path, lambda: self._ending_since is None
        )
        _http.Server(self._given.ready, is_ready, self._loop)
        _http.Server(self._given.announcements, self._on_announcement, self._loop)
        shown = {'/metrics': self._figures.text, '/status': self._status}
        _http.Server(self._given.metrics, _http.pages(shown), self._loop)
        self._register_figures()
        _process.attend(self._loop, self._tick, self.drain, self._log)
        self._log('agent_started', entries=str(self._given.entries))
        self._list_self()
        self._loop.run()
        if self._server.is_gone:
            self._unlist_self()
        self._log('agent_stopped', flows=self._flows.flow_count)

    def _register_figures(self) -> None:
        gauge = self._figures.gauge
        gauge('flows', lambda: self._flows.flow_count)
        gauge('requests_at_work', lambda: self._flows.active_requests)
        gauge(
            'datagrams_unsent',
            lambda: self._entries.dropped + self._outbound.dropped,
        )

    def _status(self) -> bytes:
        now = self._clock()
        shown = {
            'name': self._given.name,
            'domain': self._given.domain,
            'service': self._given.service,
            'server': self._server.name,
            'state': self._flows.state(now).name.lower(),
            'work': self._flows.status(now).work,
            'flows': self._flows.flow_count,
            'version': self._flows.version,
        }
        return msgspec.json.encode(shown)

    def drain(self) -> None:
        """Take no more flows, wait for requests at work, then end."""
        if self._ending_since is not None:
            return
        self._ending_since = self._clock()
        self._log('agent_draining', flows=self._flows.flow_count)
        self._outlet.apply(self._flows.begin_shutdown(self._clock()))

    def _give(self, raw: bytes, token: int) -> None:
        marked = self._platform.codec.with_token(raw, token) if token else raw
        self._outbound.send(marked, self._given.backend)

    def _on_entry(self, datagram: bytes, sender: tuple[str, int]) -> None:
        now = self._clock()
        try:
            message = relaying.decode(datagram)
            found = self._flows.on_message(message, sender, now)
        except errors.PacketError as error:
            self._log('message_malformed', sender=sender[0], error=str(error))
            return
        self._outlet.apply(found)
        if isinstance(message, relaying.Ping) and message.is_unlisted:
            self._list_self()

    def _on_server(self, datagram: bytes, _sender: tuple[str, int]) -> None:
        try:
            packet = self._platform.codec.from_server(datagram)
        except errors.PacketError as error:
            self._log('packet_malformed', sender='server', error=str(error))
            return
        self._outlet.apply(self._flows.on_server_packet(packet, self._clock()))

    def _on_announcement(self, request: _http.Request) -> _http.Answer:
        try:
            announced = self._platform.read_announcement(
                request.method, request.path, request.body
            )
        except errors.PlatformFormatError as error:
            self._log('announcement_malformed', error=str(error))
            return _http.BAD_REQUEST, b'{}'
        now = self._clock()
        if isinstance(announced, adapter.Leave):
            self._outlet.apply(self._flows.on_leave(announced.name, now))
        else:
            self._outlet.apply(self._flows.on_heartbeat(announced, now))
        return _http.OK, b'{}'

    def _tick(self) -> None:
        now = self._clock()
        self._outlet.apply(self._flows.tick(now))
        if self._ending_since is None:
            return
        waited = now - self._ending_since
        is_quiet = self._server.is_gone or not self._flows.active_requests
        if waited > DRAIN_SECONDS or (is_quiet and waited > QUIET_SECONDS):
            self._loop.stop()

    def _list_self(self) -> None:
        """Make sure that the store lists this agent, unless that goes on already."""
        if self._listing is None or not self._listing.is_alive():
            self._listing = _process.start(self._keep_listed, self._log)

    def _keep_listed(self) -> None:
        key, data = listings.agent_item(
            self._given.name,
            self._given.service,
            self._given.domain,
            self._given.entries,
        )
        client = self._platform.store
        listing = _process.until_answered(
            lambda: client.list_prefix(listings.PREFIX), self._log, 'list processes'
        )
        found = [listings.read_entry(item) for item in listing.items]
        entries = [peer.address for peer in found if peer is not None]
        self._loop.post(
            lambda: self._outlet.apply(
                self._flows.broadcast_status(self._clock(), entries)
            ),
        )
        if any(item.key == key and item.data == data for item in listing.items):
            return
        _process.until_answered(lambda: client.put(key, data), self._log, 'list self')
        self._log('agent_listed', key=key)

    def _unlist_self(self) -> None:
        key = listings.AGENTS + self._given.name
        try:
            item = self._platform.store.get(key)
            if item.revision:
                self._platform.store.delete(key, item.revision)
        except (errors.PlatformUnavailableError, errors.ConflictError) as error:
            self._log('agent_still_listed', error=str(error))


def start(
    given: settings.RelayAgent,
    platform: adapter.Adapter,
    log: _process.Logger,
) -> None:
    """Run this role until it has drained."""
    RelayAgent(given, platform, log).run()
