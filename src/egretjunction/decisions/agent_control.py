"""Membership and configuration at an agent: handles messages, returns effects."""

import typing

from egretjunction import addresses
from egretjunction import member_records
from egretjunction.decisions import announcing
from egretjunction.decisions import config_exchange
from egretjunction.decisions import configuration
from egretjunction.decisions import contacts
from egretjunction.decisions import document
from egretjunction.decisions import effects
from egretjunction.decisions import membership
from egretjunction.wire import messages

HOME_SILENT_SECONDS = 8.0


class AgentControl:
    """Membership and configuration state of one agent.

    :param own_record: the membership record of this agent.
    :param seeds: control addresses of entries to contact first.
    """

    __slots__ = (
        '_announced_at',
        '_announcer',
        '_control_by_data',
        '_entries',
        '_home_contacts',
        '_homes',
        '_roster_hash',
        '_seeds',
        'active_configuration',
        'own_record',
    )

    def __init__(
        self,
        own_record: member_records.Member,
        seeds: typing.Sequence[addresses.Address],
    ) -> None:
        self.own_record = own_record
        self.active_configuration = configuration.ActiveConfiguration()
        self._seeds = list(seeds)
        self._homes: list[addresses.Address] = []
        self._home_contacts: contacts.LastContacts[addresses.Address] = (
            contacts.LastContacts()
        )
        self._entries: list[addresses.Address] = []
        self._announced_at = float('-inf')
        self._roster_hash = 0
        self._control_by_data: dict[addresses.Address, addresses.Address] = {}
        self._announcer = announcing.Announcer()

    @property
    def service(self) -> document.Service | None:
        """Return the configuration of this agent's service, or None."""
        return self.active_configuration.document.services.get(self.own_record.service)

    @property
    def entries(self) -> list[addresses.Address]:
        """Return the data addresses of entries, most recent contact first."""
        return sorted(self._entries, key=self._last_contact, reverse=True)

    @property
    def is_evacuated(self) -> bool:
        """Return whether the failure domain of this agent is evacuated."""
        evacuated_domains = self.active_configuration.document.evacuated_domains
        return self.own_record.domain in evacuated_domains

    def _last_contact(self, entry: addresses.Address) -> float:
        control = self._control_by_data.get(entry)
        if control is None:
            return float('-inf')
        return self._home_contacts.last(control)

    def has_home(self, now: float) -> bool:
        """Return whether a home entry answered within ``HOME_SILENT_SECONDS``."""
        return any(not self._is_silent(home, now) for home in self._homes)

    def add_seeds(self, seeds: typing.Iterable[addresses.Address]) -> None:
        """Add control addresses of entries that can be contacted first."""
        self._seeds = sorted({*self._seeds, *seeds})

    def homes(self, now: float) -> list[addresses.Address]:
        """Return the control addresses to announce to.

        These are the live home entries, and some seeds when too few are live.
        """
        live = [home for home in self._homes if not self._is_silent(home, now)]
        if len(live) >= membership.HOME_COUNT:
            return live
        unused_seeds = [seed for seed in self._seeds if seed not in live]
        return live + unused_seeds[: membership.HOME_COUNT + 1]

    def update_record(
        self,
        now: float,
        *,
        state: member_records.State | None = None,
        fitness: int | None = None,
    ) -> list[effects.Effect]:
        """Change the state or fitness of this agent and announce it at once."""
        changed = self.own_record.changed(
            state=state,
            fitness=fitness,
            sequence=self.own_record.sequence + 1,
        )
        if (
            changed.state is self.own_record.state
            and changed.fitness == self.own_record.fitness
        ):
            return []
        self.own_record = changed
        return self._announce(now)

    def tick(self, now: float) -> list[effects.Effect]:
        """Announce this agent if an announcement is due."""
        if now - self._announced_at < membership.ANNOUNCE_SECONDS:
            return []
        return self._announce(now)

    def receive(self, message: messages.Message, now: float) -> list[effects.Effect]:
        """Handle one control message of an entry.

        :raises errors.PacketError: when the message holds a malformed record.
        """
        if isinstance(message, messages.Welcome):
            return self._on_welcome(message, now)
        if isinstance(message, messages.ConfigurationSnapshot):
            return config_exchange.replace(
                self.active_configuration, message.change, message.text
            )
        return []

    def _announce(self, now: float) -> list[effects.Effect]:
        self._announced_at = now
        return self._announcer.announce_to(
            self.homes(now),
            self.own_record,
            self.active_configuration.generation,
            self._roster_hash,
        )

    def _is_silent(self, home: addresses.Address, now: float) -> bool:
        self._home_contacts.watch(home, now)
        return now - self._home_contacts.last(home) >= HOME_SILENT_SECONDS

    def _on_welcome(
        self,
        message: messages.Welcome,
        now: float,
    ) -> list[effects.Effect]:
        home = addresses.unpack(message.sender)
        self._home_contacts.record(home, now)
        if message.homes:
            self._update_roster(message, now)
        emitted: list[effects.Effect] = []
        if message.known is not None:
            known = messages.to_member(message.known)
            if known.version > self.own_record.version:
                emitted.extend(self._refute(known, now))
        if message.wants_record:
            self._announcer.forget(home)
            emitted.extend(self._announce(now))
        if message.generation > self.active_configuration.generation:
            request = messages.ConfigurationRequest(
                messages.to_record(self.own_record),
                self.active_configuration.generation,
                self.own_record.service,
            )
            emitted.append(effects.Reply(request))
        return emitted

    def _update_roster(self, message: messages.Welcome, now: float) -> None:
        """Replace the home entries and the entries that can forward to callers."""
        homes = [messages.to_member(record) for record in message.homes]
        entries = [messages.to_member(record) for record in message.entries]
        self._roster_hash = message.roster
        self._homes = [home.control for home in homes]
        members = (*homes, *entries)
        self._control_by_data = {record.address: record.control for record in members}
        self._entries = sorted(self._control_by_data)
        for home in self._homes:
            self._home_contacts.watch(home, now)

    def _refute(
        self,
        known: member_records.Member,
        now: float,
    ) -> list[effects.Effect]:
        """Refute a newer record about this agent that it did not make.

        A higher incarnation comes from an earlier process of this agent whose
        clock was ahead. This process cannot adopt that incarnation, because
        connection IDs must not repeat. It only logs this and has to be restarted.
        """
        if known.incarnation > self.own_record.incarnation:
            return [effects.Log('incarnation_is_behind', known=known.incarnation)]
        self.own_record = self.own_record.changed(sequence=known.sequence + 1)
        return [
            effects.Log('gone_record_refuted', sequence=self.own_record.sequence),
            *self._announce(now),
        ]
