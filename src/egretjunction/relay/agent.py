"""The relay agent: owns the flows of the backend server beside it."""

import os
import threading
import time
import typing

import msgspec

from egretjunction import _udp
from egretjunction import errors
from egretjunction import metrics
from egretjunction.decisions import relay_agent
from egretjunction.decisions import relay_announcing
from egretjunction.decisions import relay_cold
from egretjunction.decisions import relay_server
from egretjunction.relay import _http
from egretjunction.relay import _http_requests
from egretjunction.relay import _loop
from egretjunction.relay import _process
from egretjunction.relay import adapter
from egretjunction.relay import listings
from egretjunction.relay import settings
from egretjunction.wire import relaying

MIN_DRAIN_SECONDS = 0.1
PROCESS_NUMBER_BYTES = 4
# A process that exceeds its CPU quota is stalled for less than this; its ticks are then
# late all the time, and a lost server would be noticed late.
MIN_PAUSE_SECONDS = 0.25
ESTIMATES = ('request_ms', 'wait_ms', 'failure_percent')  # fields of the status
DRAIN_MARGIN_SECONDS = 1.0  # of the grace period; left for the last call to the store
# Entries that serve hear of the stop from the agent; only one that starts before the
# agent returns needs the store.
MAX_STOP_LISTING_SECONDS = 1.0


class RelayAgent:
    """One agent process; it owns its sockets and its state.

    :param agent_settings: checked settings.
    :param platform: the platform's adapter.
    :param log: writes one event.
    :param read_settings: reads the settings again.
    :param started_at: start of the process by the monotonic clock.
    """

    def __init__(
        self,
        agent_settings: settings.RelayAgent,
        platform: adapter.Adapter,
        log: _process.Logger,
        read_settings: typing.Callable[[], settings.RelayAgent],
        started_at: float,
    ) -> None:
        self._read_settings = read_settings
        self._settings = agent_settings
        self._platform = platform
        self._log = log
        self._clock = time.monotonic
        self._server = relay_server.Server(
            agent_settings.service,
            agent_settings.heartbeat_ms / relay_server.MILLISECONDS_PER_SECOND,
            started_at,
            agent_settings.backend,
        )
        self._announcer = relay_announcing.Announcer(
            agent_settings.name, agent_settings.domain
        )
        self._cold_limit = relay_cold.ColdLimit(
            self._server.is_cold,
            agent_settings.cold_over,
            agent_settings.cold_slack,
            self._clock(),
        )
        self._flows = relay_agent.AgentFlows(
            self._server,
            platform.codec,
            agent_settings.max_flow_seconds,
            self._announcer,
            self._cold_limit,
            process=int.from_bytes(os.urandom(PROCESS_NUMBER_BYTES)),
        )
        self._may_list = False
        self._listed_born: int | None = None
        self._listing_thread: threading.Thread | None = None
        self._stop_listing_thread: threading.Thread | None = None
        self._draining_since: float | None = None
        # Listed from a planned stop on, also after a restore that lost the key.
        self._stopped_process = 0
        self._last_tick_at = self._clock()
        self._loop = _loop.Loop()
        self._metrics = metrics.Metrics('agent')

    def run(self) -> None:
        """Serve until the drain has finished."""
        self._entries = _udp.DatagramSocket(
            self._settings.entries, self._on_entry_datagram, self._loop
        )
        self._outbound = _udp.DatagramSocket(
            self._settings.outbound, self._on_server_datagram, self._loop
        )
        self._executor = _process.EffectExecutor(
            self._platform.codec,
            self._log,
            self._metrics,
            self._entries,
            self._entries,
            self._send_to_server,
        )
        handle_readiness = _http.readiness_handler(
            self._platform.readiness_path, lambda: self._draining_since is None
        )
        _http.Server(self._settings.ready, handle_readiness, self._loop, self._log)
        _http.Server(
            self._settings.announcements, self._on_announcement, self._loop, self._log
        )
        render_by_path = {'/metrics': self._metrics.text, '/status': self._status}
        _http.Server(
            self._settings.metrics,
            _http.page_handler(render_by_path),
            self._loop,
            self._log,
        )
        self._register_gauges()
        self._server.record_listening(self._clock())
        _process.install_handlers(self._loop, self._tick, self.drain, self.reload)
        self._log('agent_started', entries=str(self._settings.entries))
        self._loop.run()
        if self._server.is_gone or self._server.is_absent(self._clock()):
            self._unlist_self()
        self._log('agent_stopped', flows=self._flows.flow_count)

    def _register_gauges(self) -> None:
        gauge = self._metrics.gauge
        gauge('flows', lambda: self._flows.flow_count)
        gauge('domains_evacuated', lambda: int(self._flows.own_domain.is_evacuated))
        gauge(
            'cold_openings_left', lambda: self._cold_limit.openings_left(self._clock())
        )
        gauge('requests_at_work', lambda: self._flows.active_requests(self._clock()))
        for name in ESTIMATES:
            gauge(name, self._estimate_reader(name))
        gauge(
            'datagrams_unsent',
            lambda: self._entries.dropped + self._outbound.dropped,
        )

    def _estimate_reader(self, name: str) -> typing.Callable[[], float]:
        return lambda: getattr(self._flows.status(self._clock()), name)

    def _status(self) -> bytes:
        now = self._clock()
        status = self._flows.status(now)
        summary = {
            'name': self._settings.name,
            'domain': self._settings.domain,
            'service': self._settings.service,
            'server': self._server.name,
            'state': self._flows.state(now).name.lower(),
            'work': status.work,
            **{name: getattr(status, name) for name in ESTIMATES},
            'flows': self._flows.flow_count,
            'version': self._flows.version,
            'cold_per_second': self._cold_limit.per_second,
            'openings_left': self._cold_limit.openings_left(now),
            'evacuated_domains': (
                [self._settings.domain] if self._flows.own_domain.is_evacuated else []
            ),
        }
        return msgspec.json.encode(summary)

    def reload(self) -> None:
        """Read the settings again and apply the changes that need no restart."""
        self._settings = _process.reload_settings(
            self._settings, self._read_settings, self._log
        )

    def drain(self) -> None:
        """Accept no more flows, wait for requests in progress, then stop."""
        if self._draining_since is not None:
            return
        self._draining_since = self._clock()
        self._executor.apply(self._flows.begin_shutdown(self._clock()))
        leaves_flows = relay_agent.leaves_flows(self._flows, self._clock())
        self._log(
            'agent_draining',
            flows=self._flows.flow_count,
            leaves_flows=leaves_flows,
            process=self._flows.process,
        )
        if leaves_flows and self._may_list:
            self._stopped_process = self._flows.process
            self._stop_listing_thread = _process.start(self._list_stop, self._log)

    def _send_to_server(self, raw: bytes, token: int) -> None:
        datagram = self._platform.codec.with_token(raw, token) if token else raw
        self._outbound.send(datagram, self._settings.backend)

    def _on_entry_datagram(self, datagram: bytes, sender: tuple[str, int]) -> None:
        now = self._clock()
        try:
            message = relaying.decode(datagram)
            flow_effects = self._flows.on_message(message, sender, now)
        except errors.PacketError as error:
            self._log('message_malformed', sender=sender[0], error=str(error))
            return
        self._executor.apply(flow_effects)
        if isinstance(message, relaying.Ping) and message.is_unlisted:
            self._start_listing(self._ensure_listed)

    def _on_server_datagram(self, datagram: bytes, _sender: tuple[str, int]) -> None:
        try:
            packet = self._platform.codec.from_server(datagram)
        except errors.PacketError as error:
            self._log('packet_malformed', sender='server', error=str(error))
            return
        self._executor.apply(self._flows.on_server_packet(packet, self._clock()))
        self._list_once_server_is_seen()

    def _on_announcement(self, request: _http_requests.Request) -> _http.Response:
        try:
            announcement = self._platform.read_announcement(
                request.method, request.path, request.body
            )
        except errors.PlatformFormatError as error:
            self._log('announcement_malformed', error=str(error))
            return _http.BAD_REQUEST, b'{}'
        now = self._clock()
        if isinstance(announcement, adapter.Leave):
            self._executor.apply(self._flows.on_leave(announcement.name, now))
        else:
            born_at = announcement.born / relay_server.MILLISECONDS_PER_SECOND
            age_seconds = time.time() - born_at
            self._executor.apply(
                self._flows.on_heartbeat(announcement, now, age_seconds)
            )
            self._list_once_server_is_seen()
            self._list_server()
            if not self._server.has_taken(announcement):
                return _http.CONFLICT, b'{}'
        return _http.OK, b'{}'

    def _tick(self) -> None:
        now = self._clock()
        stalled_seconds = now - self._last_tick_at - _process.TICK_SECONDS
        self._last_tick_at = now
        pause_seconds = stalled_seconds if stalled_seconds > MIN_PAUSE_SECONDS else 0
        self._executor.apply(self._flows.tick(now, pause_seconds))
        if self._draining_since is None:
            if self._announcer.should_check_listing(now):
                self._start_listing(self._check_listing)
            return
        drained_seconds = now - self._draining_since
        is_idle = relay_agent.can_stop(self._flows, now) and (
            drained_seconds > MAX_STOP_LISTING_SECONDS or not self._is_listing_stop()
        )
        max_drain_seconds = self._settings.grace_seconds - DRAIN_MARGIN_SECONDS
        if drained_seconds > max_drain_seconds or (
            is_idle and drained_seconds > MIN_DRAIN_SECONDS
        ):
            # The datagrams that announced the stop may have been lost.
            self._executor.apply(self._flows.broadcast_status(now))
            self._loop.stop()

    def _list_once_server_is_seen(self) -> None:
        """List this agent when its server is first heard of.

        Machines whose server has left may start again and be taken away without notice;
        searches would wait for their agents.
        """
        if not self._may_list and self._server.has_been_seen():
            self._may_list = True
            self._start_listing(self._ensure_listed)

    def _list_server(self) -> None:
        """List which incarnation of the server is followed, once it is another one."""
        is_listed = self._listed_born in (None, self._followed_born())
        if not is_listed and self._draining_since is None:
            self._start_listing(self._put_listing)

    def _start_listing(self, task: _process.Task) -> None:
        """Start a thread that lists this agent in the store, unless one is running.

        Nothing is started before the server is heard of.
        """
        if not self._may_list:
            return
        if self._listing_thread is None or not self._listing_thread.is_alive():
            self._listing_thread = _process.start(task, self._log)

    def _own_item(self, server_born: int | None = None) -> tuple[str, bytes]:
        """Return the key and the value that list this agent.

        :param server_born: start of the server; None for that of the followed one.
        """
        return listings.agent_item(
            self._settings.name,
            self._settings.service,
            self._settings.domain,
            self._settings.entries,
            self._stopped_process,
            self._followed_born() if server_born is None else server_born,
        )

    def _followed_born(self) -> int:
        """Return the start of the server that this or an earlier process follows."""
        return self._server.born or self._listed_born or 0

    def _is_listing_stop(self) -> bool:
        thread = self._stop_listing_thread
        return thread is not None and thread.is_alive()

    def _list_stop(self) -> None:
        """List that this process ends and leaves flows to its server."""
        if self._listing_thread is not None:
            self._listing_thread.join()
        self._put_listing()

    def _check_listing(self) -> None:
        """List this agent again if the store has lost its key; make one attempt."""
        key, data = self._own_item()
        try:
            item = self._platform.store.get(key)
        except errors.PlatformUnavailableError as error:
            self._log('listing_unchecked', error=str(error))
            return
        if item.data != data:
            self._ensure_listed()

    def _ensure_listed(self) -> None:
        listed_data = self._announce_to_entries()
        listed_born = listings.read_server_born(listed_data)
        if self._listed_born is None:
            self._loop.post(lambda: self._settle_start(listed_born))
        self._listed_born = listed_born
        if listed_data == self._own_item()[1]:
            return
        is_known = listed_data == self._own_item(listed_born)[1]
        self._put_listing()
        # Entries that were listed since the first listing may have missed this agent.
        if not is_known:
            self._announce_to_entries()

    def _put_listing(self) -> None:
        born = self._followed_born()
        key, data = self._own_item(born)
        event = 'agent_stop_listed' if self._stopped_process else 'agent_listed'
        _process.retry_until_answered(
            lambda: self._platform.store.put(key, data), self._log, 'put own listing'
        )
        self._listed_born = born
        self._log(event, key=key, born=born)

    def _settle_start(self, listed_born: int) -> None:
        """Use the listing of an earlier process to tell how old the server is."""
        if self._server.settle_start(listed_born):
            self._log(
                'server_start_settled',
                listed=listed_born,
                born=self._server.born,
                known_since_start=self._server.is_known_since_start,
            )

    def _announce_to_entries(self) -> bytes:
        """Announce this agent to all listed entries; return its own listing, if any."""
        listing = _process.retry_until_answered(
            lambda: self._platform.store.list_prefix(listings.PREFIX),
            self._log,
            'list processes',
        )
        peers = [listings.read_entry(item) for item in listing.items]
        entries = [peer.address for peer in peers if peer is not None]
        self._loop.post(lambda: self._flows.announce(entries, self._clock()))
        key, _ = self._own_item()
        return next((item.data for item in listing.items if item.key == key), b'')

    def _unlist_self(self) -> None:
        key = listings.AGENTS_PREFIX + self._settings.name
        try:
            item = self._platform.store.get(key)
            if item.revision:
                self._platform.store.delete(key, item.revision)
        except (errors.PlatformUnavailableError, errors.ConflictError) as error:
            self._log('agent_still_listed', error=str(error))


def start(
    agent_settings: settings.RelayAgent,
    platform: adapter.Adapter,
    log: _process.Logger,
    read_settings: typing.Callable[[], settings.RelayAgent],
    started_at: float,
) -> None:
    """Run the agent until it has drained."""
    RelayAgent(agent_settings, platform, log, read_settings, started_at).run()
