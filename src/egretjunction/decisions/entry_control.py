"""An entry's part in membership and configuration: messages in, effects out."""

import types
import typing

from egretjunction import addresses
from egretjunction import document_changes
from egretjunction import member_records
from egretjunction.decisions import announcing
from egretjunction.decisions import config_exchange
from egretjunction.decisions import configuration
from egretjunction.decisions import domains
from egretjunction.decisions import effects
from egretjunction.decisions import membership
from egretjunction.decisions import repairs
from egretjunction.decisions import welcoming
from egretjunction.wire import messages

TICK_SECONDS = 1.0
PAUSE_SECONDS = 3.0
NEIGHBOUR_COUNT = 4
RECORDS_PER_MESSAGE = 8
OWN_ROSTER = 0
REPRESENTATIVES_PER_DOMAIN = 3
CATCH_UP_SECONDS = 10.0


class EntryControl:
    """State of one entry's control part.

    :param me: this entry's own record.
    """

    __slots__ = (
        '_announced_at',
        '_announcer',
        '_began_at',
        '_digest_at',
        '_has_met_equal',
        '_repairs',
        '_rumors',
        '_seeds',
        '_ticked_at',
        '_told_generation',
        'domains',
        'duty',
        'in_force',
        'me',
        'view',
    )

    def __init__(self, me: member_records.Member, seeds: typing.Sequence) -> None:
        self.me = me
        self.view = membership.View()
        self.duty = membership.HomeDuty()
        self.domains = domains.Domains(me.domain)
        self.in_force = configuration.InForce()
        self._seeds = [seed for seed in seeds if seed != me.control]
        self._rumors = membership.Rumors()
        self._announcer = announcing.Announcer()
        self._repairs = repairs.Repairs(self.view)
        self._announced_at = float('-inf')
        self._digest_at = float('-inf')
        self._ticked_at: float | None = None
        self._began_at: float | None = None
        self._has_met_equal = False
        self._told_generation = 0
        self.view.merge(me, 0)

    def change_state(
        self, state: member_records.State, now: float
    ) -> list[effects.Effect]:
        """Take a new state and tell the neighbours at once."""
        self._renew(state, self.me.sequence + 1, now)
        return [*self._announce(now), *self._spread(now)]

    def tick(self, now: float) -> list[effects.Effect]:
        """Do what is due; to be called about every ``TICK_SECONDS``."""
        paused = self._ticked_at is not None and now - self._ticked_at > PAUSE_SECONDS
        self._ticked_at = now
        if self._began_at is None:
            self._began_at = now
            self._has_met_equal = not self._seeds
        found: list[effects.Effect] = []
        if paused:
            self.duty.resumed(now)
            self.domains.resumed(now)
            found.append(effects.Log('process_was_paused'))
        for gone in self.duty.expired(self.view, self.me.name, now):
            found.extend(self._merge(gone, now))
        self.view.forget(now)
        if now - self._announced_at >= membership.ANNOUNCE_SECONDS:
            found.extend(self._announce(now))
        if now - self._digest_at >= membership.DIGEST_SECONDS:
            found.extend(self._send_digest(now))
        return [*found, *self._spread(now)]

    def receive(self, message: messages.Message, now: float) -> list[effects.Effect]:
        """Handle one control message.

        :raises errors.PacketError: when a record in it is malformed.
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
        """Put changes in force that follow the present generation."""
        found = config_exchange.follow(self.in_force, changes)
        return self._tell_if_newer(found, now)

    def adopt_snapshot(
        self,
        change: document_changes.Change,
        text: str,
        now: float,
    ) -> list[effects.Effect]:
        """Put a whole document in force if it is newer."""
        found = config_exchange.replace(self.in_force, change, text)
        return self._tell_if_newer(found, now)

    def is_caught_up(self, now: float) -> bool:
        """Tell whether this entry knows enough to place new flows.

        That is so once its configuration is in force and a peer has shown that
        it knows no more members, or no peer has answered for a while.
        """
        if not self.in_force.generation or self._began_at is None:
            return False
        waited = now - self._began_at
        return self._has_met_equal or waited >= CATCH_UP_SECONDS

    @property
    def is_representative(self) -> bool:
        """Tell whether this entry calls the platform on behalf of its domain.

        A few entries of each failure domain watch the configuration and stand
        in the registry; the others learn by gossip and look rarely themselves.
        """
        own = [each for each in self.view.entries() if each.domain == self.me.domain]
        chosen = own[:REPRESENTATIVES_PER_DOMAIN]
        return any(each.name == self.me.name for each in chosen)

    def _tell_if_newer(
        self,
        found: list[effects.Effect],
        now: float,
    ) -> list[effects.Effect]:
        """Send digests at once when the generation has moved on."""
        if self.in_force.generation == self._told_generation:
            return found
        self._told_generation = self.in_force.generation
        return [*found, *self._send_digest(now)]

    def _record(self) -> messages.Record:
        return messages.to_record(self.me)

    def _renew(self, state: member_records.State, sequence: int, now: float) -> None:
        self.me = self.me.changed(state=state, sequence=sequence)
        self.view.merge(self.me, now)
        self._rumors.add(self.me.name)

    def _peers(self) -> list:
        """Return the control addresses of this entry's neighbours."""
        entries = self.view.entries()
        names = membership.neighbours_of(self.me.name, entries, NEIGHBOUR_COUNT)
        control_by_name = {entry.name: entry.control for entry in entries}
        known = [control_by_name[name] for name in names if name in control_by_name]
        return known or list(self._seeds)

    def _announce(self, now: float) -> list[effects.Effect]:
        self._announced_at = now
        homes = self.view.homes(self.me.name)
        targets = [home.control for home in homes] or self._seeds
        return self._announcer.to(
            targets,
            self.me,
            self.in_force.generation,
            OWN_ROSTER,
        )

    def _send_digest(self, now: float) -> list[effects.Effect]:
        self._digest_at = now
        message = self._digest(now)
        return [effects.SendTo(peer, message) for peer in self._peers()]

    def _digest(self, now: float) -> messages.Digest:
        return messages.Digest(
            self._record(),
            self.view.root(),
            len(self.view),
            self.in_force.generation,
            self.domains.ages(now),
        )

    def _spread(self, now: float) -> list[effects.Effect]:
        names = self._rumors.take(RECORDS_PER_MESSAGE)
        known = [self.view.get(name) for name in names]
        records = tuple(messages.to_record(each) for each in known if each is not None)
        if not records:
            return []
        message = messages.Deltas(records)
        return [effects.SendTo(peer, message) for peer in self._peers()]

    def _merge(self, member: member_records.Member, now: float) -> list[effects.Effect]:
        """Take one record in; a wrong record about this entry is refuted.

        That an unknown member is gone is no news. Taking it in would let entries
        give each other back for ever what they have forgotten.
        """
        if member.name == self.me.name:
            if member.version > self.me.version:
                incarnation = max(member.incarnation, self.me.incarnation)
                self.me = self.me.changed(incarnation=incarnation)
                self._renew(self.me.state, member.sequence + 1, now)
            return []
        before = self.view.get(member.name)
        is_gone = member.state is member_records.State.GONE
        if (before is None and is_gone) or not self.view.merge(member, now):
            return []
        self._rumors.add(member.name)
        if before is None:
            self._watch_if_home(member, now)
        if before is not None and before.state is member.state:
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
        """Expect a member that others told of to announce itself here.

        Otherwise a record of a dead member that came back from a cut-off entry,
        after the others had forgotten it, would stay for ever.
        """
        is_home = self.me in self.view.homes(member.name)
        if is_home and member.state is not member_records.State.GONE:
            self.duty.watch(member.name, now)

    def _merge_all(
        self,
        records: typing.Iterable[messages.Record],
        now: float,
    ) -> list[effects.Effect]:
        found: list[effects.Effect] = []
        for record in records:
            found.extend(self._merge(messages.to_member(record), now))
        return found

    def _hear(self, record: messages.Record, now: float) -> list[effects.Effect]:
        """Note that a message came straight from this member."""
        self.domains.heard(record.domain, now)
        return self._merge_all([record], now)

    def _on_announce(
        self,
        message: messages.Announce,
        now: float,
    ) -> list[effects.Effect]:
        found = self._hear(message.record, now)
        announced = messages.to_member(message.record)
        self.duty.heard(announced.name, now)
        found.append(self._welcome(announced.name, announced.version, message.roster))
        if message.generation > self.in_force.generation:
            found.append(self._want_configuration())
        return found

    def _on_alive(self, message: messages.Alive, now: float) -> list[effects.Effect]:
        known = self.view.get(message.name)
        version = member_records.Version(message.incarnation, message.sequence, False)
        if known is None or known.version < version:
            wish = messages.Welcome(
                addresses.pack(self.me.control),
                self.in_force.generation,
                message.roster,
                wants_record=True,
            )
            return [effects.Reply(wish)]
        self.duty.heard(message.name, now)
        self.domains.heard(known.domain, now)
        return [self._welcome(message.name, version, message.roster)]

    def _welcome(
        self,
        name: str,
        version: member_records.Version,
        told: int,
    ) -> effects.Reply:
        generation = self.in_force.generation
        welcome = welcoming.welcome(self.view, self.me, generation, name, version, told)
        return effects.Reply(welcome)

    def _on_deltas(self, message: messages.Deltas, now: float) -> list[effects.Effect]:
        return self._merge_all(message.records, now)

    def _on_digest(self, message: messages.Digest, now: float) -> list[effects.Effect]:
        found = self._hear(message.sender, now)
        self.domains.merge(message.ages, now)
        if message.generation > self.in_force.generation:
            found.append(self._want_configuration())
        elif message.generation < self.in_force.generation:
            answer = config_exchange.after(self.in_force, message.generation, '')
            found.append(answer)
        if message.root == self.view.root() or message.member_count <= len(self.view):
            self._has_met_equal = True
        if message.root != self.view.root():
            found.extend(self._on_other_root(message.member_count, now))
        return found

    def _on_other_root(self, members: int, now: float) -> list[effects.Effect]:
        """Repair the difference; a peer that knows little is told to ask itself."""
        if members * 2 < len(self.view):
            return [effects.Reply(self._digest(now))]
        return self._repairs.ask(self._record(), members, now)

    def _on_buckets(
        self, message: messages.Buckets, now: float
    ) -> list[effects.Effect]:
        found = self._hear(message.sender, now)
        found.extend(self._repairs.answer(self._record(), message))
        return found

    def _on_repair(self, message: messages.Repair, now: float) -> list[effects.Effect]:
        found = self._hear(message.sender, now)
        found.extend(self._merge_all(message.records, now))
        if message.member_count <= len(self.view):
            self._has_met_equal = True
        if message.wants_answer:
            found.append(
                self._repairs.send(self._record(), message.buckets, wants_answer=False),
            )
            found.append(effects.Reply(self._digest(now)))
        return found

    def _want_configuration(self) -> effects.Reply:
        generation = self.in_force.generation
        wanted = messages.ConfigurationRequest(self._record(), generation, '')
        return effects.Reply(wanted)

    def _on_wanted(
        self,
        message: messages.ConfigurationRequest,
        now: float,
    ) -> list[effects.Effect]:
        found = self._hear(message.sender, now)
        if message.generation < self.in_force.generation:
            answer = config_exchange.after(
                self.in_force,
                message.generation,
                message.service,
            )
            found.append(answer)
        return found

    def _on_welcome(
        self,
        message: messages.Welcome,
        now: float,
    ) -> list[effects.Effect]:
        home = addresses.unpack(message.sender)
        found: list[effects.Effect] = []
        if message.known is not None:
            found.extend(self._merge_all([message.known], now))
            found.extend(self._announce(now))
        elif message.wants_record:
            self._announcer.forget(home)
            found.extend(self._announce(now))
        if message.generation > self.in_force.generation:
            found.append(self._want_configuration())
        return found

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
        messages.ConfigurationRequest: EntryControl._on_wanted,
        messages.ConfigurationChanges: EntryControl._on_changes,
        messages.ConfigurationSnapshot: EntryControl._on_snapshot,
    },
)
