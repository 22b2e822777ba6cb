"""Which failure domains are evacuated: new flows go to none of their backend servers.

A state is known at an era and a revision of the store; the state at a higher pair is
newer. A store that was restored from an older copy may lack a key that its operators
write again, so that a key proves to be gone only once the era has settled.
"""

import typing

from egretjunction.decisions import relay_effects as effects
from egretjunction.decisions import relay_eras


class Claim(typing.NamedTuple):
    """What an entry tells an agent about the agent's domain.

    :param is_evacuated: whether the domain is evacuated.
    :param era: era of the store in which the entry learned this.
    :param revision: revision at which it learned this, 0 if it cannot tell.
    """

    is_evacuated: bool
    era: int
    revision: int


NOTHING_KNOWN = Claim(False, 0, 0)


class Reading(typing.NamedTuple):
    """What one call to the store told.

    :param written: domains whose keys exist or were written.
    :param malformed: domains whose keys have a value that is not allowed.
    :param deleted: domains whose keys were deleted.
    :param era: era of the store.
    :param revision: revision of the store.
    """

    written: typing.Collection[str]
    malformed: typing.Collection[str]
    deleted: typing.Collection[str]
    era: int
    revision: int


class _Evacuation:
    """One evacuation, with the era and revision at which its key was last read.

    ``is_confirmed`` tells whether the key was valid when the store was last read, and
    ``is_reported`` whether the start, or that the domain is unknown, was logged.
    """

    __slots__ = ('era', 'is_confirmed', 'is_effective', 'is_reported', 'revision')

    def __init__(self, reading: Reading) -> None:
        self.is_reported = False
        self.is_effective = False
        self.confirm(reading)

    def confirm(self, reading: Reading) -> None:
        """Record that the key is valid."""
        self.is_confirmed = True
        self.era = reading.era
        self.revision = reading.revision


class Evacuations:
    """The evacuations that an entry has read from the store.

    ``is_read`` tells whether the store was read once, and ``changed`` holds domains
    whose state has changed until ``pop_changed`` is called.

    :param eras: tells whether the era of the store has settled.
    """

    __slots__ = (
        '_ended_era_by_domain',
        '_eras',
        '_evacuation_by_domain',
        '_is_all_reported',
        '_logs',
        '_malformed',
        '_read_at',
        'changed',
        'is_read',
    )

    def __init__(self, eras: relay_eras.Eras) -> None:
        self._eras = eras
        self._evacuation_by_domain: dict[str, _Evacuation] = {}
        self._ended_era_by_domain: dict[str, int] = {}
        self._malformed: set[str] = set()
        self._read_at = (0, 0)
        self._logs: list[effects.Log] = []
        self._is_all_reported = False
        self.changed: set[str] = set()
        self.is_read = False

    def __contains__(self, domain: str) -> bool:
        """Tell whether a domain is evacuated."""
        return domain in self._evacuation_by_domain

    @property
    def is_idle(self) -> bool:
        """Tell whether no domain is evacuated and none has changed."""
        return not self._evacuation_by_domain and not self.changed

    @property
    def domains(self) -> list[str]:
        """Return the evacuated domains that have a known instance."""
        return sorted(
            domain
            for domain, evacuation in self._evacuation_by_domain.items()
            if evacuation.is_effective
        )

    def record_listing(self, reading: Reading, now: float) -> None:
        """Record all evacuation keys of the store."""
        if (reading.era, reading.revision) < self._read_at:
            return
        self._malformed.clear()
        self._record(reading)
        self.is_read = True
        kept = {*reading.written, *reading.malformed}
        for domain in self._evacuation_by_domain.keys() - kept:
            self._end_missing(domain, now, 'store')

    def record_changes(self, reading: Reading) -> None:
        """Record the evacuation keys that were changed since the last reading."""
        if (reading.era, reading.revision) < self._read_at:
            return
        self._record(reading)
        for domain in reading.deleted:
            self._malformed.discard(domain)
            self._end(domain, 'store')

    def claim(self, domain: str, now: float) -> Claim:
        """Return what is known about a domain, for its agents."""
        evacuation = self._evacuation_by_domain.get(domain)
        if evacuation is not None and evacuation.is_confirmed:
            return Claim(True, *self._read_at)
        if evacuation is not None:
            return Claim(True, evacuation.era, evacuation.revision)
        is_ended = self._ended_era_by_domain.get(domain) == self._read_at[0]
        if domain in self._malformed or not self.is_read:
            return NOTHING_KNOWN
        if not is_ended and not self._is_settled(now):
            return NOTHING_KNOWN
        return Claim(False, *self._read_at)

    def tick(self, known_domains: typing.Container[str], now: float) -> None:
        """End evacuations that a settled era lacks, and report new ones.

        :param known_domains: failure domains of all known instances.
        :param now: the time in seconds.
        """
        for domain, evacuation in list(self._evacuation_by_domain.items()):
            is_missing = not evacuation.is_confirmed and domain not in self._malformed
            if is_missing:
                self._end_missing(domain, now, 'settled_era')
            if not evacuation.is_effective:
                self._report(domain, evacuation, is_known=domain in known_domains)

    def warn_if_all(self, domains: typing.Collection[str]) -> None:
        """Report once when all failure domains with agents are evacuated."""
        is_all = bool(domains) and all(domain in self for domain in domains)
        if is_all and not self._is_all_reported:
            self._logs.append(
                effects.Log('all_domains_evacuated', domains=','.join(sorted(domains)))
            )
        self._is_all_reported = is_all

    def pop_changed(self) -> set[str]:
        """Return the domains whose state has changed since the last call."""
        changed = self.changed
        self.changed = set()
        return changed

    def pop_logs(self) -> list[effects.Log]:
        """Return the events since the last call."""
        logs = self._logs
        self._logs = []
        return logs

    def _is_settled(self, now: float) -> bool:
        is_era_listed = self._eras.newest >= self._read_at[0]
        return is_era_listed and self._eras.is_settled(now)

    def _record(self, reading: Reading) -> None:
        self._read_at = (reading.era, reading.revision)
        for written in reading.written:
            self._malformed.discard(written)
            evacuation = self._evacuation_by_domain.get(written)
            if evacuation is None:
                self._evacuation_by_domain[written] = _Evacuation(reading)
                self.changed.add(written)
            else:
                evacuation.confirm(reading)
        self._malformed.update(reading.malformed)
        for malformed in reading.malformed:
            unclear = self._evacuation_by_domain.get(malformed)
            if unclear is not None:
                unclear.is_confirmed = False

    def _end_missing(self, domain: str, now: float, source: str) -> None:
        """End an evacuation whose key is missing, once that proves its removal."""
        evacuation = self._evacuation_by_domain[domain]
        if evacuation.era == self._read_at[0] or self._is_settled(now):
            self._end(domain, source)
        else:
            evacuation.is_confirmed = False

    def _end(self, domain: str, source: str) -> None:
        evacuation = self._evacuation_by_domain.pop(domain, None)
        if evacuation is None:
            return
        self.changed.add(domain)
        self._ended_era_by_domain[domain] = self._read_at[0]
        if evacuation.is_effective:
            self._log('evacuation_ended', domain, source)

    def _report(self, domain: str, evacuation: _Evacuation, *, is_known: bool) -> None:
        if is_known:
            evacuation.is_effective = True
            self._log('evacuation_started', domain, 'store')
        elif not evacuation.is_reported:
            evacuation.is_reported = True
            self._log('evacuation_of_unknown_domain', domain, 'store')

    def _log(self, event: str, domain: str, source: str) -> None:
        era, revision = self._read_at
        self._logs.append(
            effects.Log(event, domain=domain, era=era, revision=revision, source=source)
        )


class OwnDomain:
    """What an agent has been told about its own failure domain.

    :param name: name of the domain.
    """

    __slots__ = ('_known_at', 'is_evacuated', 'name')

    def __init__(self, name: str) -> None:
        self.name = name
        self._known_at = (0, 0)
        self.is_evacuated = False

    def record(self, claim: Claim, source: str) -> list[effects.Effect]:
        """Record what an entry tells if it is newer; return an event if it differs."""
        if not claim.revision or (claim.era, claim.revision) <= self._known_at:
            return []
        self._known_at = (claim.era, claim.revision)
        if claim.is_evacuated == self.is_evacuated:
            return []
        self.is_evacuated = claim.is_evacuated
        return [
            effects.Log(
                'evacuation_started' if claim.is_evacuated else 'evacuation_ended',
                domain=self.name,
                era=claim.era,
                revision=claim.revision,
                source=source,
            )
        ]
