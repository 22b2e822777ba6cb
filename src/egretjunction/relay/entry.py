"""The entry that relays: takes clients' packets and finds the agents that own them."""

import collections
import time
import typing

import msgspec

from egretjunction import _udp
from egretjunction import errors
from egretjunction import metrics
from egretjunction import store
from egretjunction.decisions import relay_entry
from egretjunction.decisions import relay_members
from egretjunction.decisions import relay_routes
from egretjunction.relay import _configuration
from egretjunction.relay import _http
from egretjunction.relay import _loop
from egretjunction.relay import _process
from egretjunction.relay import adapter
from egretjunction.relay import listings
from egretjunction.relay import packets
from egretjunction.relay import settings
from egretjunction.wire import relaying

MAX_ANSWERS = 1000  # read before silence is judged; some at the most loaded
EARLY_SECONDS = 0.6  # copies of older packets have come by then, maybe elsewhere
MAX_EARLY_PACKETS = 512  # of clients, while configuration and agents are read
MEMBERS_WAIT_SECONDS = 15.0
MIN_DRAIN_SECONDS = 1.2  # routers take two failed checks, half a second apart
MAX_DRAIN_SECONDS = 5.2  # the platform kills a process 6 s after its signal to end
QUIET_SECONDS = 0.4  # without clients' packets: the routers have left this entry
SETTLE_SECONDS = 0.15  # agents answer the first pings


class RelayEntry:
    """One entry process; it owns its sockets and its state.

    :param given: checked settings.
    :param platform: the platform's adapter.
    :param log: writes one event.
    """

    def __init__(
        self,
        given: settings.RelayEntry,
        platform: adapter.Adapter,
        log: _process.Logger,
    ) -> None:
        self._given = given
        self._platform = platform
        self._log = log
        self._clock = time.monotonic
        self._members = relay_members.Members(given.domain)
        self._routes = relay_routes.Routes()
        self._flows = relay_entry.EntryFlows(
            self._members, self._routes, platform.codec, given.link_mbps
        )
        self._listed_at: float | None = None
        self._early_packets: collections.deque[tuple[float, packets.Packet]] = (
            collections.deque(maxlen=MAX_EARLY_PACKETS)
        )
        self._draining_since: float | None = None
        self._client_at = float('-inf')
        self._ticked_at = self._clock()
        self._loop = _loop.Loop()
        self._figures = metrics.Metrics('entry')
        self._configuration = _configuration.Follower(
            given.name,
            platform,
            self._routes,
            self._loop,
            self._handle_early_packets,
            log,
        )

    def run(self) -> None:
        """Serve until a drain has finished."""
        self._agents = _udp.DatagramSocket(
            self._given.agents, self._on_agent, self._loop
        )
        self._clients = _udp.DatagramSocket(
            self._given.clients, self._on_client, self._loop
        )
        self._outlet = _process.Outlet(
            self._platform.codec,
            self._log,
            self._figures,
            self._agents,
            self._clients,
        )
        is_ready = _http.readiness(self._platform.readiness_path, self._is_ready)
        _http.Server(self._given.ready, is_ready, self._loop)
        shown = {
            '/metrics': self._figures.text,
            '/status': self._status,
            _configuration.PEER_PATH: lambda: self._configuration.document,
        }
        _http.Server(self._given.metrics, _http.pages(shown), self._loop)
        self._register_figures()
        _process.attend(self._loop, self._tick, self.drain, self._log)
        self._log('entry_started', clients=str(self._given.clients))
        self._configuration.start()
        for work in (self._follow_members, self._list_self):
            _process.start(work, self._log)
        self._loop.run()
        self._log('entry_stopped', flows=self._flows.flow_count)

    def _register_figures(self) -> None:
        gauge = self._figures.gauge
        gauge('flows', lambda: self._flows.flow_count)
        gauge('first_packets_and_searches_pending', lambda: self._flows.pending_count)
        gauge('members', lambda: len(self._members.member_by_name))
        gauge('configuration_version', lambda: self._routes.version)
        gauge('datagrams_unsent', lambda: self._agents.dropped + self._clients.dropped)

    def _status(self) -> bytes:
        now = self._clock()
        shown = {
            'name': self._given.name,
            'domain': self._given.domain,
            'version': self._routes.version,
            'ready': self._is_ready(),
            'members': {
                member.name: {
                    'service': member.service,
                    'domain': member.domain,
                    'state': member.status.state.name.lower(),
                    'work': member.status.work,
                    'flows': member.status.flows,
                    'silent_seconds': round(member.silent_seconds(now), 3),
                    'listed': member.is_listed,
                }
                for member in self._members.member_by_name.values()
            },
        }
        return msgspec.json.encode(shown)

    def drain(self) -> None:
        """Fail the routers' checks, relay what still comes, then end."""
        if self._draining_since is not None:
            return
        self._draining_since = self._clock()
        self._log('entry_draining', flows=self._flows.flow_count)

    def _is_informed(self) -> bool:
        return self._routes.version > 0 and self._listed_at is not None

    def _is_ready(self) -> bool:
        if self._draining_since is not None or not self._is_informed():
            return False
        now = self._clock()
        is_settled = now - (self._listed_at or 0) >= SETTLE_SECONDS
        return is_settled and not self._members.has_unreachable_service(now)

    def _on_client(self, datagram: bytes, sender: tuple[str, int]) -> None:
        try:
            packet = self._platform.codec.from_client(datagram)
        except errors.PacketError as error:
            self._log('packet_malformed', sender=sender[0], error=str(error))
            return
        self._client_at = self._clock()
        if self._is_informed():
            self._outlet.apply(self._flows.on_client_packet(packet, self._clock()))
        else:
            self._early_packets.append((self._client_at, packet))

    def _handle_early_packets(self) -> None:
        """Handle what came before configuration and agents were known."""
        if not self._is_informed():
            return
        early = list(self._early_packets)
        self._early_packets.clear()
        now = self._clock()
        for came_at, packet in early:
            if now - came_at < EARLY_SECONDS:
                self._outlet.apply(self._flows.on_client_packet(packet, now))

    def _on_agent(self, datagram: bytes, sender: tuple[str, int]) -> None:
        try:
            message = relaying.decode(datagram)
            found = self._flows.on_message(message, sender, self._clock())
        except errors.PacketError as error:
            self._log('message_malformed', sender=sender[0], error=str(error))
            return
        self._outlet.apply(found)

    def _tick(self) -> None:
        self._agents.read(MAX_ANSWERS)
        now = self._clock()
        late = max(float(0), now - self._ticked_at - _process.TICK_SECONDS)
        self._ticked_at = now
        self._outlet.apply(self._flows.tick(now, late))
        self._configuration.heard_of(self._flows.newest_version)
        if self._draining_since is None:
            return
        drained = now - self._draining_since
        is_quiet = now - self._client_at > QUIET_SECONDS
        if drained > MAX_DRAIN_SECONDS or (drained > MIN_DRAIN_SECONDS and is_quiet):
            self._loop.stop()

    def _post(self, call: typing.Callable[[typing.Any], None], news: object) -> None:
        self._loop.post(lambda: call(news))

    def _follow_members(self) -> None:
        _process.follow_prefix(
            self._platform.store,
            listings.PREFIX,
            MEMBERS_WAIT_SECONDS,
            lambda listing: self._post(self._on_members_listing, listing),
            lambda changes: self._post(self._on_members_changes, changes),
            self._log,
        )

    def _list_self(self) -> None:
        key, data = listings.entry_item(
            self._given.name,
            self._given.domain,
            self._given.agents,
            self._given.metrics,
        )
        item = _process.until_answered(
            lambda: self._platform.store.get(key), self._log, 'get own listing'
        )
        if item.data != data:
            _process.until_answered(
                lambda: self._platform.store.put(key, data), self._log, 'list self'
            )

    def _on_members_listing(self, listing: store.Listing) -> None:
        now = self._clock()
        names = set()
        for item in listing.items:
            names.add(item.key.removeprefix(listings.AGENTS))
            self._list_process(item)
        self._members.mark_others_unlisted(names, now)
        if self._listed_at is None:
            self._listed_at = now
        self._log(
            'members_listed',
            count=len(self._members.member_by_name),
            revision=listing.revision,
        )
        self._tick()
        self._handle_early_packets()

    def _on_members_changes(self, changes: store.Changes) -> None:
        for key in changes.deleted:
            name = key.removeprefix(listings.AGENTS)
            member = self._members.mark_unlisted(name, self._clock())
            if member is not None:
                self._log('member_unlisted', member=name, state=member.status.state)
            self._configuration.peer_by_name.pop(
                key.removeprefix(listings.ENTRIES), None
            )
        for item in changes.written:
            self._list_process(item)

    def _list_process(self, item: store.Item) -> None:
        """Take what the store says of an agent or an entry."""
        peer = listings.read_entry(item)
        if peer is None:
            self._list_member(item)
        else:
            self._configuration.peer_by_name[peer.name] = peer

    def _list_member(self, item: store.Item) -> None:
        member = listings.read_agent(item)
        if member is None:
            self._log('listing_malformed', key=item.key)
            return
        if self._members.add_or_update(member) is not None:
            self._log('member_listed', member=member.name, service=member.service)


def start(
    given: settings.RelayEntry,
    platform: adapter.Adapter,
    log: _process.Logger,
) -> None:
    """Run this role until it has drained."""
    RelayEntry(given, platform, log).run()
