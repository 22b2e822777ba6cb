"""Membership and configuration at an entry: handles messages, returns effects."""

import types
import typing

from egretjunction import addresses
from egretjunction import document_changes
from egretjunction import member_records
from egretjunction.decisions import announcing
from egretjunction.decisions import config_exchange
from egretjunction.decisions import configuration
from egretjunction.decisions import document
from egretjunction.decisions import domains
from egretjunction.decisions import effects
from egretjunction.decisions import evacuation
from egretjunction.decisions import membership
from egretjunction.decisions import repairs
from egretjunction.decisions import welcoming
from egretjunction.wire import messages

TICK_SECONDS = 1.0
PAUSE_DETECTION_SECONDS = 3.0
NEIGHBOUR_COUNT = 4
RECORDS_PER_MESSAGE = 8
NO_ROSTER = 0  # entries know the other entries from the view
REPRESENTATIVES_PER_DOMAIN = 3
MAX_CATCH_UP_SECONDS = 10.0


class EntryControl:
    """Membership and configuration state of one entry.

    :param own_record: the membership record of this entry.
    :param seeds: control addresses of entries to contact first.
    """

    __slots__ = (
        '_advertised_generation',
        '_announced_at',
        '_announcer',
        '_digest_at',
        '_gossip_queue',
        '_has_synced_with_peer',
        '_last_tick_at',
        '_repairs',
        '_seeds',
        '_started_at',
        'active_configuration',
        'domains',
        'failure_detector',
        'own_record',
        'view',
    )

    def __init__(
        self, own_record: member_records.Member, seeds: typing.Sequence
    ) -> None:
        self.own_record = own_record
        self.view = membership.View()
        self.failure_detector = membership.FailureDetector()
        self.domains = domains.Domains(own_record.domain)
        self.active_configuration = configuration.ActiveConfiguration()
        self._seeds = [seed for seed in seeds if seed != own_record.control]
        self._gossip_queue = membership.GossipQueue()
        self._announcer = announcing.Announcer()
        self._repairs = repairs.Repairs(self.view)
        self._announced_at = float('-inf')
        self._digest_at = float('-inf')
        self._last_tick_at: float | None = None
        self._started_at: float | None = None
        self._has_synced_with_peer = False
        self._advertised_generation = 0
        self.view.merge(own_record, 0)

    def change_state(
        self, state: member_records.State, now: float
    ) -> list[effects.Effect]:
        """Set the state of this entry and announce it to its peers at once."""
        self._update_own_record(state, self.own_record.sequence + 1, now)
        return [*self._announce(now), *self._gossip(now)]

    def tick(self, now: float) -> list[effects.Effect]:
        """Run the timers; to be called about every ``TICK_SECONDS``."""
        was_paused = (
            self._last_tick_at is not None
            and now - self._last_tick_at > PAUSE_DETECTION_SECONDS
        )
        self._last_tick_at = now
        if self._started_at is None:
            self._started_at = now
            self._has_synced_with_peer = not self._seeds
        emitted: list[effects.Effect] = []
        if was_paused:
            self.failure_detector.restart_timeouts(now)
            self.domains.restart_timeouts(now)
            emitted.append(effects.Log('process_was_paused'))
        for gone_record in self.failure_detector.remove_expired(
            self.view, self.own_record.name, now
        ):
            emitted.extend(self._merge(gone_record, now))
        self.view.forget_gone(now)
        if now - self._announced_at >= membership.ANNOUNCE_SECONDS:
            emitted.extend(self._announce(now))
        if now - self._digest_at >= membership.DIGEST_SECONDS:
            emitted.extend(self._send_digest(now))
        return [*emitted, *self._gossip(now)]

    def receive(self, message: messages.Message, now: float) -> list[effects.Effect]:
        """Handle one control message.

        :raises errors.PacketError: when the message holds a malformed record.
        """
        handler = _HANDLERS.get(type(message))
        if handler is None:
            return []
        return handler(self, message, now)

    def adopt(
        self,
        changes: typing.Iterable[document_changes.Change],
        now: float,
    ) -> list[effects.Effect]:
        """Apply the changes after the current generation and advertise the new one."""
        before = self.active_configuration.document
        emitted = config_exchange.apply_changes(self.active_configuration, changes)
        return self._advertise_if_newer(emitted, before, now)

    def adopt_snapshot(
        self,
        change: document_changes.Change,
        text: str,
        now: float,
    ) -> list[effects.Effect]:
        """Apply a snapshot if it is newer, and advertise its generation."""
        before = self.active_configuration.document
        emitted = config_exchange.replace(self.active_configuration, change, text)
        return self._advertise_if_newer(emitted, before, now)

    def is_caught_up(self, now: float) -> bool:
        """Return whether this entry knows enough to place new flows.

        It needs a configuration and a peer that knows no more members than this
        entry. After ``MAX_CATCH_UP_SECONDS`` it counts as caught up without such a
        peer; an entry that has no seeds needs none.
        """
        if not self.active_configuration.generation or self._started_at is None:
            return False
        elapsed = now - self._started_at
        return self._has_synced_with_peer or elapsed >= MAX_CATCH_UP_SECONDS

    @property
    def is_representative(self) -> bool:
        """Return whether this entry calls the platform for its failure domain.

        A few entries of each failure domain watch the configuration and are
        listed in the registry. The others rely on gossip and poll rarely.
        """
        entries_in_domain = [
            entry
            for entry in self.view.entries()
            if entry.domain == self.own_record.domain
        ]
        representatives = entries_in_domain[:REPRESENTATIVES_PER_DOMAIN]
        return any(entry.name == self.own_record.name for entry in representatives)

    def _advertise_if_newer(
        self,
        emitted: list[effects.Effect],
        before: document.Document,
        now: float,
    ) -> list[effects.Effect]:
        """Send digests at once when the generation has changed."""
        if self.active_configuration.generation == self._advertised_generation:
            return emitted
        self._advertised_generation = self.active_configuration.generation
        remainder_effects = evacuation.remainder_effects(
            before.evacuated_domains,
            self.active_configuration.document,
            self.view.agents,
        )
        return [*emitted, *remainder_effects, *self._send_digest(now)]

    def _own_wire_record(self) -> messages.Record:
        return messages.to_record(self.own_record)

    def _update_own_record(
        self, state: member_records.State, sequence: int, now: float
    ) -> None:
        self.own_record = self.own_record.changed(state=state, sequence=sequence)
        self.view.merge(self.own_record, now)
        self._gossip_queue.add(self.own_record.name)

    def _peers(self) -> list:
        """Return the control addresses to gossip with: neighbours, or the seeds."""
        entries = self.view.entries()
        names = membership.neighbours_of(self.own_record.name, entries, NEIGHBOUR_COUNT)
        control_by_name = {entry.name: entry.control for entry in entries}
        neighbours = [
            control_by_name[name] for name in names if name in control_by_name
        ]
        return neighbours or list(self._seeds)

    def _announce(self, now: float) -> list[effects.Effect]:
        self._announced_at = now
        homes = self.view.homes(self.own_record.name)
        targets = [home.control for home in homes] or self._seeds
        return self._announcer.announce_to(
            targets,
            self.own_record,
            self.active_configuration.generation,
            NO_ROSTER,
        )

    def _send_digest(self, now: float) -> list[effects.Effect]:
        self._digest_at = now
        message = self._digest(now)
        return [effects.SendTo(peer, message) for peer in self._peers()]

    def _digest(self, now: float) -> messages.Digest:
        return messages.Digest(
            self._own_wire_record(),
            self.view.root(),
            len(self.view),
            self.active_configuration.generation,
            self.domains.contact_ages(now),
        )

    def _gossip(self, now: float) -> list[effects.Effect]:
        names = self._gossip_queue.take(RECORDS_PER_MESSAGE)
        members = [self.view.get(name) for name in names]
        records = tuple(
            messages.to_record(member) for member in members if member is not None
        )
        if not records:
            return []
        message = messages.Deltas(records)
        return [effects.SendTo(peer, message) for peer in self._peers()]

    def _merge(self, member: member_records.Member, now: float) -> list[effects.Effect]:
        """Merge one record; a newer record about this entry is refuted.

        The gone record of an unknown member is ignored. Otherwise entries would
        keep sending each other records that they have already dropped.
        """
        if member.name == self.own_record.name:
            if member.version > self.own_record.version:
                incarnation = max(member.incarnation, self.own_record.incarnation)
                self.own_record = self.own_record.changed(incarnation=incarnation)
                self._update_own_record(self.own_record.state, member.sequence + 1, now)
            return []
        current = self.view.get(member.name)
        is_gone = member.state is member_records.State.GONE
        if (current is None and is_gone) or not self.view.merge(member, now):
            return []
        self._gossip_queue.add(member.name)
        if current is None:
            self._watch_if_home(member, now)
        if current is not None and current.state is member.state:
            return []
        return [
            effects.Log(
                'member_changed',
                member=member.name,
                state=member.state.value,
                incarnation=member.incarnation,
            ),
        ]

    def _watch_if_home(self, member: member_records.Member, now: float) -> None:
        """Watch a member that was learned from a peer if this is its home entry.

        Otherwise the record of a dead member, sent by an entry that had been cut
        off until the others dropped it, would never be removed.
        """
        is_home = self.own_record in self.view.homes(member.name)
        if is_home and member.state is not member_records.State.GONE:
            self.failure_detector.watch(member.name, now)

    def _merge_all(
        self,
        records: typing.Iterable[messages.Record],
        now: float,
    ) -> list[effects.Effect]:
        emitted: list[effects.Effect] = []
        for record in records:
            emitted.extend(self._merge(messages.to_member(record), now))
        return emitted

    def _record_sender(
        self, record: messages.Record, now: float
    ) -> list[effects.Effect]:
        """Record contact with the sender of a message and merge its record."""
        self.domains.record_contact(record.domain, now)
        return self._merge_all([record], now)

    def _on_announce(
        self,
        message: messages.Announce,
        now: float,
    ) -> list[effects.Effect]:
        emitted = self._record_sender(message.record, now)
        announced = messages.to_member(message.record)
        self.failure_detector.record_contact(announced.name, now)
        emitted.append(self._welcome(announced.name, announced.version, message.roster))
        if message.generation > self.active_configuration.generation:
            emitted.append(self._request_configuration())
        return emitted

    def _on_alive(self, message: messages.Alive, now: float) -> list[effects.Effect]:
        known = self.view.get(message.name)
        version = member_records.Version(message.incarnation, message.sequence, False)
        if known is None or known.version < version:
            record_request = messages.Welcome(
                addresses.pack(self.own_record.control),
                self.active_configuration.generation,
                message.roster,
                wants_record=True,
            )
            return [effects.Reply(record_request)]
        self.failure_detector.record_contact(message.name, now)
        self.domains.record_contact(known.domain, now)
        return [self._welcome(message.name, version, message.roster)]

    def _welcome(
        self,
        name: str,
        version: member_records.Version,
        roster: int,
    ) -> effects.Reply:
        generation = self.active_configuration.generation
        welcome = welcoming.welcome(
            self.view, self.own_record, generation, name, version, roster
        )
        return effects.Reply(welcome)

    def _on_deltas(self, message: messages.Deltas, now: float) -> list[effects.Effect]:
        return self._merge_all(message.records, now)

    def _on_digest(self, message: messages.Digest, now: float) -> list[effects.Effect]:
        emitted = self._record_sender(message.sender, now)
        self.domains.merge(message.ages, now)
        if message.generation > self.active_configuration.generation:
            emitted.append(self._request_configuration())
        elif message.generation < self.active_configuration.generation:
            reply = config_exchange.reply_since(
                self.active_configuration, message.generation, ''
            )
            emitted.append(reply)
        if message.root == self.view.root() or message.member_count <= len(self.view):
            self._has_synced_with_peer = True
        if message.root != self.view.root():
            emitted.extend(self._on_differing_root(message.member_count, now))
        return emitted

    def _on_differing_root(
        self, peer_member_count: int, now: float
    ) -> list[effects.Effect]:
        """Start a repair.

        A peer that knows fewer than half of the members gets a digest instead, so
        that it starts the repair itself.
        """
        if peer_member_count * 2 < len(self.view):
            return [effects.Reply(self._digest(now))]
        return self._repairs.send_hashes(
            self._own_wire_record(), peer_member_count, now
        )

    def _on_buckets(
        self, message: messages.Buckets, now: float
    ) -> list[effects.Effect]:
        emitted = self._record_sender(message.sender, now)
        emitted.extend(
            self._repairs.send_differing_records(self._own_wire_record(), message)
        )
        return emitted

    def _on_repair(self, message: messages.Repair, now: float) -> list[effects.Effect]:
        emitted = self._record_sender(message.sender, now)
        emitted.extend(self._merge_all(message.records, now))
        if message.member_count <= len(self.view):
            self._has_synced_with_peer = True
        if message.wants_answer:
            emitted.append(
                self._repairs.records_message(
                    self._own_wire_record(), message.buckets, wants_answer=False
                ),
            )
            emitted.append(effects.Reply(self._digest(now)))
        return emitted

    def _request_configuration(self) -> effects.Reply:
        generation = self.active_configuration.generation
        request = messages.ConfigurationRequest(self._own_wire_record(), generation, '')
        return effects.Reply(request)

    def _on_configuration_request(
        self,
        message: messages.ConfigurationRequest,
        now: float,
    ) -> list[effects.Effect]:
        emitted = self._record_sender(message.sender, now)
        if message.generation < self.active_configuration.generation:
            reply = config_exchange.reply_since(
                self.active_configuration,
                message.generation,
                message.service,
            )
            emitted.append(reply)
        return emitted

    def _on_welcome(
        self,
        message: messages.Welcome,
        now: float,
    ) -> list[effects.Effect]:
        home = addresses.unpack(message.sender)
        emitted: list[effects.Effect] = []
        if message.known is not None:
            emitted.extend(self._merge_all([message.known], now))
            emitted.extend(self._announce(now))
        elif message.wants_record:
            self._announcer.forget(home)
            emitted.extend(self._announce(now))
        if message.generation > self.active_configuration.generation:
            emitted.append(self._request_configuration())
        return emitted

    def _on_changes(
        self,
        message: messages.ConfigurationChanges,
        now: float,
    ) -> list[effects.Effect]:
        return self.adopt(message.changes, now)

    def _on_snapshot(
        self,
        message: messages.ConfigurationSnapshot,
        now: float,
    ) -> list[effects.Effect]:
        return self.adopt_snapshot(message.change, message.text, now)


_HANDLERS: typing.Mapping[type, typing.Callable] = types.MappingProxyType(
    {
        messages.Announce: EntryControl._on_announce,
        messages.Alive: EntryControl._on_alive,
        messages.Deltas: EntryControl._on_deltas,
        messages.Welcome: EntryControl._on_welcome,
        messages.Digest: EntryControl._on_digest,
        messages.Buckets: EntryControl._on_buckets,
        messages.Repair: EntryControl._on_repair,
        messages.ConfigurationRequest: EntryControl._on_configuration_request,
        messages.ConfigurationChanges: EntryControl._on_changes,
        messages.ConfigurationSnapshot: EntryControl._on_snapshot,
    },
)
