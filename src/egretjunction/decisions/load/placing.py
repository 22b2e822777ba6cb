"""Choice of a member for each first packet by its expected finish."""

import typing

from egretjunction.decisions import relay_members
from egretjunction.decisions import relay_pending
from egretjunction.decisions.load import finish
from egretjunction.decisions.load import index
from egretjunction.wire import relaying

CANDIDATES_PER_DOMAIN = 4
# Drawn when none of the first candidates can be used: some members of a level may be
# silent, and the statuses of full ones may be old.
SECOND_SAMPLE = 16
TYPICAL_SECONDS = 0.1  # statuses of members in use are about as old
TYPICAL_SAMPLE = 32  # members of a domain whose medians are taken
FULL_SECONDS_PER_MEMBER = 0.002  # allows 500 offers per second to full servers
TENTHS = 10


class Choice(typing.NamedTuple):
    """A chosen member.

    :param member: the member.
    :param is_final: whether it may queue the flow although its slots are in use.
    :param estimate: the expected finish that led to the choice.
    """

    member: relay_members.Member
    is_final: bool
    estimate: finish.Estimate


class _Record:
    """Own offers to a member that no answer or status reflects yet."""

    __slots__ = ('sent_at_by_token',)

    def __init__(self) -> None:
        self.sent_at_by_token: dict[int, float] = {}


class Placer:
    """Places the first packets of one entry.

    :param members: the agents that the entry knows.
    :param domain: failure domain of the entry.
    :param randomness: source of randomness.
    """

    def __init__(
        self,
        members: relay_members.Members,
        domain: str,
        randomness: index.Random,
    ) -> None:
        self._members = members
        self._domain = domain
        self._random = randomness
        self.paths = finish.PathTimes(domain)
        self._record_by_member: dict[relay_members.Member, _Record] = {}
        self._typical_by_service: dict[str, tuple[float, finish.ServiceTypical]] = {}
        self._overflowing_services: set[str] = set()

    def typical(self, service: str, now: float) -> finish.ServiceTypical:
        """Return the medians of the estimates of a service's members."""
        read_at, typical = self._typical_by_service.get(
            service, (float('-inf'), finish.UNKNOWN)
        )
        if now - read_at < TYPICAL_SECONDS:
            return typical
        statuses: list[relaying.Status] = []
        for domain in self._members.index.domains(service):
            for level in index.Level:
                drawn = self._sample(service, domain, level, TYPICAL_SAMPLE)
                statuses += [
                    member.status for member in drawn if member.is_identified()
                ]
        typical = finish.typical_of(statuses)
        self._typical_by_service[service] = (now, typical)
        return typical

    def record_message(
        self, member: relay_members.Member, message: typing.Any, now: float
    ) -> None:
        """Record the status in an agent's message, and what the message answers."""
        if member.unanswered_since == member.pinged_at:
            self.paths.record(member.domain, now - member.pinged_at)
        member.record_status(message.status, now)
        record = self._record_by_member.get(member)
        if record is not None:
            sent_at_by_token = record.sent_at_by_token
            sent_at_by_token.pop(getattr(message, 'token', 0), None)
            reflected_until = now - self.paths.answer_seconds(member.domain)
            for token, sent_at in list(sent_at_by_token.items()):
                if sent_at <= reflected_until:
                    sent_at_by_token.pop(token)
            member.offered_flows = len(sent_at_by_token)
        self._members.index.refresh(member)

    def record_offer(
        self, token: int, member: relay_members.Member, now: float
    ) -> None:
        """Record that a first packet was offered to a member."""
        record = self._record_by_member.get(member)
        if record is None:
            record = _Record()
            self._record_by_member[member] = record
        record.sent_at_by_token[token] = now
        self._members.index.refresh(member)

    def forget(self, member: relay_members.Member) -> None:
        """Drop the records of a removed member."""
        self._record_by_member.pop(member, None)

    def estimate(
        self,
        member: relay_members.Member,
        offer: relay_pending.Offer,
        now: float,
    ) -> finish.Estimate:
        """Return when a member is expected to answer a first packet."""
        typical = self.typical(offer.service, now)
        duration = finish.likely_duration(member.status, typical)
        age = max(0, now - member.last_status_at)
        wait = finish.expected_wait(member.status, member.offered_flows, age, typical)
        expected = finish.expected_finish(
            self.paths.one_way(member.domain),
            wait,
            duration,
            member.status.failure_percent / finish.PERCENT,
            offer.target_seconds,
        )
        return finish.Estimate(expected if duration else 0, wait, age)

    def place(
        self, offer: relay_pending.Offer, now: float
    ) -> relay_members.Member | None:
        """Return the member to offer a first packet to, or None if it must wait.

        The choice is recorded with the offer.
        """
        choice = self.choose(offer, now)
        if choice is None:
            return None
        offer.is_final = choice.is_final
        offer.record_estimate(choice.estimate)
        return choice.member

    def choose(self, offer: relay_pending.Offer, now: float) -> Choice | None:
        """Return the member to offer a first packet to, or None if it must wait.

        The own failure domain is used as long as an answer is expected there within
        the target latency. Once it is not, it must be expected there one duration
        earlier before the other domains are left out again.
        """
        service = offer.service
        typical = self.typical(service, now)
        if not typical.duration:
            return self._choose_by_load(offer, now)
        own = self._best_in(self._domain, offer, now)
        margin = typical.duration if service in self._overflowing_services else 0
        elapsed = now - offer.started_at + margin
        if own is not None and elapsed + own.estimate.finish <= offer.target_seconds:
            self._overflowing_services.discard(service)
            return own
        self._overflowing_services.add(service)
        choices = [
            self._best_in(domain, offer, now)
            for domain in self._members.index.domains(service)
            if domain != self._domain
        ]
        return min(
            (choice for choice in (own, *choices) if choice is not None),
            key=lambda choice: choice.estimate.finish,
            default=None,
        )

    def _best_in(
        self, domain: str, offer: relay_pending.Offer, now: float
    ) -> Choice | None:
        candidates = self._free_candidates(domain, offer, now)
        is_final = not candidates
        if is_final:
            candidates = self._queue_candidates(domain, offer, now)
        if not candidates:
            return None
        estimates = [self.estimate(member, offer, now) for member in candidates]
        tolerance = self.typical(offer.service, now).duration * finish.NEAR_EQUAL_SHARE
        chosen = finish.pick_of_two(
            [estimate.finish for estimate in estimates], tolerance, self._random.random
        )
        return Choice(candidates[chosen], is_final, estimates[chosen])

    def _choose_by_load(self, offer: relay_pending.Offer, now: float) -> Choice | None:
        """Choose by active requests, as long as no member has an estimate."""
        domains = self._members.index.domains(offer.service)
        for find, is_final in (
            (self._free_candidates, False),
            (self._queue_candidates, True),
        ):
            candidates = [
                candidate
                for domain in domains
                for candidate in find(domain, offer, now)
            ]
            if candidates:
                loads = [float(self._load_in_tenths(member)) for member in candidates]
                chosen = candidates[finish.pick_of_two(loads, 0, self._random.random)]
                return Choice(chosen, is_final, self.estimate(chosen, offer, now))
        return None

    def _load_in_tenths(self, member: relay_members.Member) -> int:
        penalty = (
            0 if member.domain == self._domain else relay_members.OTHER_DOMAIN_PENALTY
        )
        return round((member.utilization() + penalty) * TENTHS)

    def _free_candidates(
        self, domain: str, offer: relay_pending.Offer, now: float
    ) -> list[relay_members.Member]:
        """Return members that may have a free slot."""
        service = offer.service
        for size in (CANDIDATES_PER_DOMAIN, SECOND_SAMPLE):
            drawn = self._sample(service, domain, index.Level.FREE, size)
            usable = _usable(drawn, offer, now)
            if usable or len(drawn) < size:
                break
        if usable:
            return usable
        full_since = now - FULL_SECONDS_PER_MEMBER * self._members.index.count(service)
        return [
            member
            for level in (index.Level.QUEUE, index.Level.CLOSED)
            for member in _usable(
                self._sample(service, domain, level, CANDIDATES_PER_DOMAIN), offer, now
            )
            if _may_be_free(member, full_since, now)
        ]

    def _queue_candidates(
        self, domain: str, offer: relay_pending.Offer, now: float
    ) -> list[relay_members.Member]:
        """Return members without a free slot that accept a final offer."""
        drawn = self._sample(offer.service, domain, index.Level.QUEUE, SECOND_SAMPLE)
        return _usable(drawn, offer, now)[:CANDIDATES_PER_DOMAIN]

    def _sample(
        self, service: str, domain: str, level: index.Level, size: int
    ) -> list[relay_members.Member]:
        return self._members.index.sample(service, domain, level, size, self._random)


def _usable(
    drawn: list[relay_members.Member], offer: relay_pending.Offer, now: float
) -> list[relay_members.Member]:
    return [
        member
        for member in drawn
        if member.name not in offer.tried and member.accepts_flows(now)
    ]


def _may_be_free(member: relay_members.Member, full_since: float, now: float) -> bool:
    """Tell whether a member whose status shows it as full may have a free slot now."""
    expected_wait = member.status.wait_ms / finish.MILLISECONDS_PER_SECOND
    is_due = now - member.last_status_at >= expected_wait
    return is_due and not member.is_full(full_since)
