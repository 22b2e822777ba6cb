"""An agent's part in membership and configuration: messages in, effects out."""

import typing

from egretjunction import addresses
from egretjunction import member_records
from egretjunction.decisions import announcing
from egretjunction.decisions import config_exchange
from egretjunction.decisions import configuration
from egretjunction.decisions import document
from egretjunction.decisions import effects
from egretjunction.decisions import membership
from egretjunction.wire import messages

HOME_SILENT_SECONDS = 8.0


class AgentControl:
    """State of one agent's control part.

    :param me: this agent's own record.
    :param seeds: control addresses to begin with.
    """

    __slots__ = (
        '_announced_at',
        '_announcer',
        '_control_by_data',
        '_entries',
        '_heard_at_by_home',
        '_homes',
        '_roster',
        '_seeds',
        'in_force',
        'me',
    )

    def __init__(
        self,
        me: member_records.Member,
        seeds: typing.Sequence[addresses.Address],
    ) -> None:
        self.me = me
        self.in_force = configuration.InForce()
        self._seeds = list(seeds)
        self._homes: list[addresses.Address] = []
        self._heard_at_by_home: dict[addresses.Address, float] = {}
        self._entries: list[addresses.Address] = []
        self._announced_at = float('-inf')
        self._roster = 0
        self._control_by_data: dict[addresses.Address, addresses.Address] = {}
        self._announcer = announcing.Announcer()

    @property
    def service(self) -> document.Service | None:
        """Return the section of this agent's service, None while it has none."""
        return self.in_force.document.services.get(self.me.service)

    @property
    def entries(self) -> list[addresses.Address]:
        """Return data addresses of entries, the one heard from last first."""
        return sorted(self._entries, key=self._heard_at, reverse=True)

    def _heard_at(self, entry: addresses.Address) -> float:
        control = self._control_by_data.get(entry)
        if control is None:
            return float('-inf')
        return self._heard_at_by_home.get(control, float('-inf'))

    def has_home(self, now: float) -> bool:
        """Tell whether a home entry has answered lately."""
        return any(not self._is_silent(home, now) for home in self._homes)

    def add_seeds(self, found: typing.Iterable[addresses.Address]) -> None:
        """Remember more entries to begin with."""
        self._seeds = sorted({*self._seeds, *found})

    def homes(self, now: float) -> list[addresses.Address]:
        """Return where to announce: live homes, filled up from the seeds."""
        live = [home for home in self._homes if not self._is_silent(home, now)]
        if len(live) >= membership.HOME_COUNT:
            return live
        rest = [seed for seed in self._seeds if seed not in live]
        return live + rest[: membership.HOME_COUNT + 1]

    def change(
        self,
        now: float,
        *,
        state: member_records.State | None = None,
        fitness: int | None = None,
    ) -> list[effects.Effect]:
        """Take a new state or fitness and announce it at once."""
        changed = self.me.changed(
            state=state,
            fitness=fitness,
            sequence=self.me.sequence + 1,
        )
        if changed.state is self.me.state and changed.fitness == self.me.fitness:
            return []
        self.me = changed
        return self._announce(now)

    def tick(self, now: float) -> list[effects.Effect]:
        """Announce when it is due."""
        if now - self._announced_at < membership.ANNOUNCE_SECONDS:
            return []
        return self._announce(now)

    def receive(self, message: messages.Message, now: float) -> list[effects.Effect]:
        """Handle one control message of an entry.

        :raises errors.PacketError: when a record in it is malformed.
        """
        if isinstance(message, messages.Welcome):
            return self._on_welcome(message, now)
        if isinstance(message, messages.ConfigurationSnapshot):
            return config_exchange.replace(self.in_force, message.change, message.text)
        return []

    def _announce(self, now: float) -> list[effects.Effect]:
        self._announced_at = now
        return self._announcer.to(
            self.homes(now),
            self.me,
            self.in_force.generation,
            self._roster,
        )

    def _is_silent(self, home: addresses.Address, now: float) -> bool:
        heard_at = self._heard_at_by_home.setdefault(home, now)
        return now - heard_at >= HOME_SILENT_SECONDS

    def _on_welcome(
        self,
        message: messages.Welcome,
        now: float,
    ) -> list[effects.Effect]:
        home = addresses.unpack(message.sender)
        self._heard_at_by_home[home] = now
        if message.homes:
            self._take_roster(message, now)
        found: list[effects.Effect] = []
        if message.known is not None:
            known = messages.to_member(message.known)
            if known.version > self.me.version:
                found.extend(self._refute(known, now))
        if message.wants_record:
            self._announcer.forget(home)
            found.extend(self._announce(now))
        if message.generation > self.in_force.generation:
            wanted = messages.ConfigurationRequest(
                messages.to_record(self.me),
                self.in_force.generation,
                self.me.service,
            )
            found.append(effects.Reply(wanted))
        return found

    def _take_roster(self, message: messages.Welcome, now: float) -> None:
        """Learn where to announce and which entries can carry answers."""
        homes = [messages.to_member(each) for each in message.homes]
        entries = [messages.to_member(each) for each in message.entries]
        self._roster = message.roster
        self._homes = [home.control for home in homes]
        told = (*homes, *entries)
        self._control_by_data = {each.address: each.control for each in told}
        self._entries = sorted(self._control_by_data)
        for home in self._homes:
            self._heard_at_by_home.setdefault(home, now)

    def _refute(
        self,
        known: member_records.Member,
        now: float,
    ) -> list[effects.Effect]:
        """Replace a newer record about this agent that it did not make.

        A record with a higher incarnation is of a process that ran here before
        with a clock ahead of ours: connection IDs must not repeat, so this
        process cannot take that incarnation and asks to be restarted.
        """
        if known.incarnation > self.me.incarnation:
            return [effects.Log('incarnation_is_behind', known=known.incarnation)]
        self.me = self.me.changed(sequence=known.sequence + 1)
        return [
            effects.Log('gone_record_refuted', sequence=self.me.sequence),
            *self._announce(now),
        ]
