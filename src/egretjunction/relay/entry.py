"""The relay entry: forwards clients' packets to the agents that own their flows."""

import collections
import random
import time
import typing

import msgspec

from egretjunction import _udp
from egretjunction import errors
from egretjunction import metrics
from egretjunction import store
from egretjunction.decisions import relay_entry
from egretjunction.decisions import relay_evacuation
from egretjunction.decisions import relay_members
from egretjunction.decisions import relay_pauses
from egretjunction.decisions import relay_routes
from egretjunction.decisions.load import placing
from egretjunction.relay import _configuration
from egretjunction.relay import _evacuations
from egretjunction.relay import _http
from egretjunction.relay import _loop
from egretjunction.relay import _membership
from egretjunction.relay import _process
from egretjunction.relay import adapter
from egretjunction.relay import listings
from egretjunction.relay import packets
from egretjunction.relay import settings
from egretjunction.wire import relaying

# Datagrams of agents that a tick reads before it checks which agents are silent; at a
# heavily loaded entry, answers may still be unread.
MAX_AGENT_DATAGRAMS = 1000
# Older packets are dropped: clients have retransmitted them, maybe to another entry.
MAX_EARLY_PACKET_SECONDS = 0.6
MAX_EARLY_PACKETS = 512  # client packets kept until configuration and agents are read
MIN_DRAIN_SECONDS = 1.2  # routers need two failed checks, 0.5 s apart
DRAIN_MARGIN_SECONDS = 0.8  # of the grace period; left for the end of the process
IDLE_SECONDS = 0.4  # without client packets; the routers no longer use this entry
MILLISECONDS_PER_SECOND = 1_000
SETTLE_SECONDS = 0.15  # agents answer the first pings within this time


class RelayEntry:
    """One entry process; it owns its sockets and its state.

    :param entry_settings: checked settings.
    :param platform: the platform's adapter.
    :param log: writes one event.
    :param read_settings: reads the settings again.
    """

    def __init__(
        self,
        entry_settings: settings.RelayEntry,
        platform: adapter.Adapter,
        log: _process.Logger,
        read_settings: typing.Callable[[], settings.RelayEntry],
    ) -> None:
        self._read_settings = read_settings
        self._settings = entry_settings
        self._platform = platform
        self._log = log
        self._clock = time.monotonic
        self._members = relay_members.Members(
            entry_settings.domain, entry_settings.max_flow_seconds
        )
        self._routes = relay_routes.Routes()
        self._flows = relay_entry.EntryFlows(
            self._members,
            self._routes,
            platform.codec,
            entry_settings.link_mbps,
            entry_settings.max_flow_seconds,
            entry_settings.configuration_ms / MILLISECONDS_PER_SECOND,
            _placer_of(entry_settings, self._members, platform.codec.opening),
        )
        self._members_listed_at: float | None = None
        self._has_been_ready = False
        self._early_packets: collections.deque[tuple[float, packets.Packet]] = (
            collections.deque(maxlen=MAX_EARLY_PACKETS)
        )
        self._draining_since: float | None = None
        self._last_client_packet_at = float('-inf')
        self._pauses = relay_pauses.Pauses(self._clock())
        self._loop = _loop.Loop()
        self._metrics = metrics.Metrics('entry')
        self._configuration = _configuration.Follower(
            entry_settings.name,
            entry_settings.configuration_ms / MILLISECONDS_PER_SECOND,
            platform,
            self._routes,
            self._loop,
            self._on_configuration_adopted,
            self._list_after_restore,
            log,
        )
        self._configuration.on_read = _evacuations.Reader(
            platform.read_evacuation,
            self._loop,
            self._on_evacuations_listing,
            self._on_evacuations_changes,
            log,
        ).read

    def run(self) -> None:
        """Serve until the drain has finished."""
        self._agents = _udp.DatagramSocket(
            self._settings.agents, self._on_agent_datagram, self._loop
        )
        self._clients = _udp.DatagramSocket(
            self._settings.clients, self._on_client_datagram, self._loop
        )
        self._executor = _process.EffectExecutor(
            self._platform.codec,
            self._log,
            self._metrics,
            self._agents,
            self._clients,
        )
        handle_readiness = _http.readiness_handler(
            self._platform.readiness_path, self._is_ready
        )
        _http.Server(self._settings.ready, handle_readiness, self._loop, self._log)
        render_by_path = {
            '/metrics': self._metrics.text,
            '/status': self._status,
            _configuration.PEER_PATH: lambda: self._configuration.document,
        }
        _http.Server(
            self._settings.metrics,
            _http.page_handler(render_by_path),
            self._loop,
            self._log,
        )
        self._register_gauges()
        _process.install_handlers(self._loop, self._tick, self.drain, self.reload)
        self._log('entry_started', clients=str(self._settings.clients))
        self._follower = _membership.ListingFollower(
            self._settings,
            self._platform.store,
            self._post_listing,
            lambda changes: self._loop.post(lambda: self._on_members_changes(changes)),
            self._post_watching,
            self._log,
        )
        self._configuration.start()
        _process.start(self._follower.run, self._log)
        self._loop.run()
        self._log('entry_stopped', flows=self._flows.flow_count)

    def _register_gauges(self) -> None:
        gauge = self._metrics.gauge
        gauge('flows', lambda: self._flows.flow_count)
        gauge('first_packets_and_searches_pending', lambda: self._flows.pending_count)
        gauge('members', lambda: len(self._members.member_by_name))
        gauge('domains_evacuated', lambda: len(self._members.evacuations.domains))
        gauge('configuration_version', lambda: self._routes.version)
        gauge('store_unanswered_seconds', self._configuration.unanswered_seconds)
        gauge('store_era', lambda: self._configuration.store_era)
        gauge('datagrams_unsent', lambda: self._agents.dropped + self._clients.dropped)

    def _status(self) -> bytes:
        now = self._clock()
        summary = {
            'name': self._settings.name,
            'domain': self._settings.domain,
            'version': self._routes.version,
            'ready': self._is_ready(),
            'can_vouch': self._members.can_vouch,
            'evacuated_domains': self._members.evacuations.domains,
            'members': {
                member.name: {
                    'service': member.service,
                    'domain': member.domain,
                    'state': member.status.state.name.lower(),
                    'work': member.status.work,
                    'flows': member.status.flows,
                    'silent_seconds': round(member.silent_seconds(now), 3),
                    'listed': member.is_listed,
                    'away': member.is_away(now),
                    'evacuated': member.is_evacuated(),
                }
                for member in self._members.member_by_name.values()
            },
        }
        return msgspec.json.encode(summary)

    def reload(self) -> None:
        """Read the settings again and apply the changes that need no restart."""
        self._settings = _process.reload_settings(
            self._settings, self._read_settings, self._log
        )

    def drain(self) -> None:
        """Fail the readiness check, relay remaining packets, then stop."""
        if self._draining_since is not None:
            return
        self._draining_since = self._clock()
        self._log('entry_draining', flows=self._flows.flow_count)

    def _has_routes_and_members(self) -> bool:
        is_listed = self._members_listed_at is not None
        return (
            self._routes.version > 0 and is_listed and self._members.evacuations.is_read
        )

    def _is_ready(self) -> bool:
        if self._draining_since is not None or not self._has_routes_and_members():
            return False
        now = self._clock()
        listed_seconds = now - (self._members_listed_at or 0)
        if listed_seconds < SETTLE_SECONDS:
            return False
        if self._members.has_unreachable_service(self._routes.services, now):
            return False
        self._has_been_ready = self._has_been_ready or self._is_informed(listed_seconds)
        return self._has_been_ready

    def _is_informed(self, listed_seconds: float) -> bool:
        """Tell whether a starting entry knows what the others know, as far as it can.

        A store that was restored from an older copy gives a new entry a version that
        the other entries have passed, and a listing that may lack agents. When nobody
        has the newer version, the entry serves with its own rather than not at all. It
        also serves with some agents: it resets no flow before the era is settled.
        """
        bound_seconds = self._settings.configuration_ms / MILLISECONDS_PER_SECOND
        is_behind = self._flows.newest_version > self._routes.version
        if is_behind and listed_seconds < bound_seconds:
            return False
        has_members = bool(self._members.member_by_name)
        return has_members or self._members.eras.is_settled(self._clock())

    def _note_run(self) -> None:
        """Exclude a pause of this process from the silence of agents."""
        self._members.discount_pause(self._pauses.record_run(self._clock()))

    def _on_client_datagram(self, datagram: bytes, sender: tuple[str, int]) -> None:
        self._note_run()
        try:
            packet = self._platform.codec.from_client(datagram)
        except errors.PacketError as error:
            self._log('packet_malformed', sender=sender[0], error=str(error))
            return
        self._last_client_packet_at = self._clock()
        if self._has_routes_and_members():
            self._executor.apply(self._flows.on_client_packet(packet, self._clock()))
        else:
            self._early_packets.append((self._last_client_packet_at, packet))

    def _on_configuration_adopted(self) -> None:
        delay_seconds = self._configuration.pop_delay_seconds()
        self._metrics.latency('configuration_delay', delay_seconds)
        self._handle_early_packets()

    def _handle_early_packets(self) -> None:
        """Handle client packets received before configuration and agents were known."""
        if not self._has_routes_and_members():
            return
        early_packets = list(self._early_packets)
        self._early_packets.clear()
        now = self._clock()
        for received_at, packet in early_packets:
            if now - received_at < MAX_EARLY_PACKET_SECONDS:
                self._executor.apply(self._flows.on_client_packet(packet, now))

    def _on_agent_datagram(self, datagram: bytes, sender: tuple[str, int]) -> None:
        self._note_run()
        try:
            message = relaying.decode(datagram)
            flow_effects = self._flows.on_message(message, sender, self._clock())
        except errors.PacketError as error:
            self._log('message_malformed', sender=sender[0], error=str(error))
            return
        self._executor.apply(flow_effects)

    def _tick(self) -> None:
        self._note_run()
        is_emptied = self._agents.read(MAX_AGENT_DATAGRAMS)
        now = self._clock()
        unread_seconds = self._pauses.record_read(now, is_emptied=is_emptied)
        self._members.can_vouch = (
            self._configuration.is_store_reached
            and self._members.eras.newest == self._configuration.store_era
        )
        self._update_evacuations(now)
        self._executor.apply(self._flows.tick(now, unread_seconds))
        self._configuration.note_version(self._flows.newest_version)
        if self._members.wants_listing:
            self._follower.request_listing()
        if self._draining_since is None:
            return
        drained_seconds = now - self._draining_since
        is_idle = now - self._last_client_packet_at > IDLE_SECONDS
        max_drain_seconds = self._settings.grace_seconds - DRAIN_MARGIN_SECONDS
        if drained_seconds > max_drain_seconds or (
            drained_seconds > MIN_DRAIN_SECONDS and is_idle
        ):
            self._loop.stop()

    def _on_evacuations_listing(self, reading: relay_evacuation.Reading) -> None:
        now = self._clock()
        self._members.evacuations.record_listing(reading, now)
        self._update_evacuations(now)
        self._handle_early_packets()

    def _on_evacuations_changes(self, reading: relay_evacuation.Reading) -> None:
        now = self._clock()
        self._members.evacuations.record_changes(reading)
        self._update_evacuations(now)

    def _update_evacuations(self, now: float) -> None:
        """Apply evacuations once agents and entries are listed."""
        if self._members_listed_at is None:
            return
        peers = self._configuration.peer_by_name.values()
        if self._members.update_evacuations({peer.domain for peer in peers}, now):
            self._flows.review_waiting_offers(now)
        self._executor.apply(self._members.evacuations.pop_logs())

    def _list_after_restore(self) -> None:
        """Read the listings of a new era, to tell agents whose keys are gone."""
        self._log('store_restored', era=self._configuration.store_era)
        self._follower.request_listing()

    def _post_listing(self, listing: store.Listing, is_stale: bool) -> None:
        self._loop.post(lambda: self._on_members_listing(listing, is_stale=is_stale))

    def _post_watching(self, is_watched: bool) -> None:
        def update() -> None:
            self._members.is_watched = is_watched

        self._loop.post(update)

    def _on_members_listing(
        self, listing: store.Listing, *, is_stale: bool = False
    ) -> None:
        now = self._clock()
        is_marked = listing.era == 0 or listings.is_era_marked(listing)
        if not is_stale:
            self._members.eras.record(listing.era, now, is_marked=is_marked)
        names = set()
        self._configuration.peer_by_name.clear()
        for item in listing.items:
            names.add(item.key.removeprefix(listings.AGENTS_PREFIX))
            self._add_process(item)
        self._members.mark_others_unlisted(names, now, is_stale=is_stale)
        if not is_stale:
            self._members.record_listing(now)
        if self._members_listed_at is None:
            self._members_listed_at = now
        self._log(
            'members_listed',
            count=len(self._members.member_by_name),
            listed=len(listing.items),
            revision=listing.revision,
            era=listing.era,
        )
        self._tick()
        self._handle_early_packets()

    def _on_members_changes(self, changes: store.Changes) -> None:
        for key in changes.deleted:
            name = key.removeprefix(listings.AGENTS_PREFIX)
            member = self._members.mark_unlisted(name)
            if member is not None:
                self._log('member_unlisted', member=name, state=member.status.state)
            self._configuration.peer_by_name.pop(
                key.removeprefix(listings.ENTRIES_PREFIX), None
            )
        for item in changes.written:
            if listings.marks_era(item, changes.era):
                self._members.eras.record(changes.era, self._clock(), is_marked=True)
            self._add_process(item)

    def _add_process(self, item: store.Item) -> None:
        """Add the agent or the entry that an item lists."""
        if item.key == listings.ERA_KEY:
            return
        peer = listings.read_entry(item)
        if peer is None:
            self._add_member(item)
        else:
            self._configuration.peer_by_name[peer.name] = peer

    def _add_member(self, item: store.Item) -> None:
        member = listings.read_agent(item)
        if member is None:
            self._log('listing_malformed', key=item.key)
            return
        if self._members.add_listed(member, self._clock()) is not None:
            self._log(
                'member_listed',
                member=member.name,
                service=member.service,
                stopped_process=member.stopped_process,
            )


def _placer_of(
    entry_settings: settings.RelayEntry,
    members: relay_members.Members,
    opening: packets.Opening,
) -> placing.Placer | None:
    if entry_settings.placement == settings.EARLIEST_FINISH:
        return placing.Placer(members, entry_settings.domain, random.Random(), opening)
    return None


def start(
    entry_settings: settings.RelayEntry,
    platform: adapter.Adapter,
    log: _process.Logger,
    read_settings: typing.Callable[[], settings.RelayEntry],
    _started_at: float,
) -> None:
    """Run the entry until it has drained."""
    RelayEntry(entry_settings, platform, log, read_settings).run()
