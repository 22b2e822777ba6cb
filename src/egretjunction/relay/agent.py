"""The agent that relays: owns the flows of the backend server beside it."""

import asyncio
import time

from tornado import httputil

from egretjunction import _udp
from egretjunction import errors
from egretjunction.decisions import relay_agent
from egretjunction.decisions import relay_server
from egretjunction.relay import _http
from egretjunction.relay import _process
from egretjunction.relay import adapter
from egretjunction.relay import listings
from egretjunction.relay import settings
from egretjunction.wire import relaying

TICK_SECONDS = 0.025
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
        self._flows = relay_agent.RelayAgent(self._server, platform.codec)
        self._listing: asyncio.Task[None] | None = None
        self._ending_since: float | None = None
        self._stopped = asyncio.Event()

    async def run(self) -> None:
        """Serve until a drain has finished."""
        self._entries = _udp.DatagramSocket(self._given.entries, self._on_entry)
        self._outbound = _udp.DatagramSocket(self._given.outbound, self._on_server)
        self._outlet = _process.Outlet(
            self._platform.codec,
            self._log,
            self._entries,
            self._entries,
            self._give,
        )
        is_ready = _http.readiness(
            self._platform.readiness_path, lambda: self._ending_since is None
        )
        _http.listen(self._given.ready, is_ready)
        _http.listen(self._given.announcements, self._on_announcement)
        _process.on_signals(self.drain, self._reload)
        _process.every(TICK_SECONDS, self._tick)
        self._log('agent_started', entries=str(self._given.entries))
        self._list_self()
        await self._stopped.wait()
        if self._server.is_gone:
            await self._unlist_self()
        self._log('agent_stopped', flows=self._flows.flow_count)

    def drain(self) -> None:
        """Take no more flows, wait for requests at work, then end."""
        if self._ending_since is not None:
            return
        self._ending_since = self._clock()
        self._log('agent_draining', flows=self._flows.flow_count)
        self._outlet.apply(self._flows.leave(self._clock()))

    def _reload(self) -> None:
        self._log('settings_unchanged')

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

    def _on_announcement(self, request: httputil.HTTPServerRequest) -> _http.Answer:
        try:
            announced = self._platform.read_announcement(
                request.method or '', request.path or '', request.body
            )
        except errors.PlatformFormatError as error:
            self._log('announcement_malformed', error=str(error))
            return 400, b'{}'
        now = self._clock()
        if isinstance(announced, adapter.Leave):
            self._outlet.apply(self._flows.on_left(announced.name, now))
        else:
            self._outlet.apply(self._flows.on_heartbeat(announced, now))
        return _http.OK, b'{}'

    def _tick(self) -> None:
        now = self._clock()
        self._outlet.apply(self._flows.tick(now))
        if self._ending_since is None:
            return
        waited = now - self._ending_since
        is_quiet = self._server.is_gone or not self._flows.busy
        if waited > DRAIN_SECONDS or (is_quiet and waited > QUIET_SECONDS):
            self._stopped.set()

    def _list_self(self) -> None:
        """Make sure that the store lists this agent, unless that goes on already."""
        if self._listing is None or self._listing.done():
            self._listing = _process.start(self._keep_listed, self._log)

    async def _keep_listed(self) -> None:
        key, data = listings.agent_item(
            self._given.name,
            self._given.service,
            self._given.domain,
            self._given.entries,
        )
        client = self._platform.store
        listing = await _process.until_answered(
            lambda: client.list_prefix(listings.PREFIX), self._log, 'list processes'
        )
        found = [listings.read_entry(item) for item in listing.items]
        entries = [address for address in found if address is not None]
        self._outlet.apply(self._flows.greet(entries, self._clock()))
        if any(item.key == key and item.data == data for item in listing.items):
            return
        await _process.until_answered(
            lambda: client.put(key, data), self._log, 'list self'
        )
        self._log('agent_listed', key=key)

    async def _unlist_self(self) -> None:
        key = listings.AGENTS + self._given.name
        try:
            item = await self._platform.store.get(key)
            if item.revision:
                await self._platform.store.delete(key, item.revision)
        except (errors.PlatformUnavailableError, errors.ConflictError) as error:
            self._log('agent_still_listed', error=str(error))


async def start(
    given: settings.RelayAgent,
    platform: adapter.Adapter,
    log: _process.Logger,
) -> None:
    """Run this role until it has drained."""
    await RelayAgent(given, platform, log).run()
