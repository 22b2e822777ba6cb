"""Choice of a member for each first packet by its expected finish."""

import typing

from egretjunction.decisions import relay_effects as effects
from egretjunction.decisions import relay_members
from egretjunction.decisions import relay_pending
from egretjunction.decisions.load import finish
from egretjunction.decisions.load import index
from egretjunction.decisions.load import outliers
from egretjunction.decisions.load import rejecting
from egretjunction.decisions.load import waiting
from egretjunction.relay import packets
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


class Placer:
    """Places the first packets of one entry.

    :param members: the agents that the entry knows.
    :param domain: failure domain of the entry.
    :param randomness: source of randomness.
    :param opening: how clients open a flow.
    """

    def __init__(
        self,
        members: relay_members.Members,
        domain: str,
        randomness: index.Random,
        opening: packets.Opening,
    ) -> None:
        self._members = members
        self._domain = domain
        self._random = randomness
        self.paths = finish.PathTimes(domain)
        self._sent_at_by_token_by_member: dict[
            relay_members.Member, dict[int, float]
        ] = {}
        self._member_by_token: dict[int, relay_members.Member] = {}
        self._unanswered_names_by_token: dict[int, set[str]] = {}
        self.outliers = outliers.Outliers()
        self._events: list[effects.Log] = []
        self.queue = waiting.OfferQueue(
            lambda service, now: self.typical(service, now).duration,
            opening.last_copy_seconds,
            self.may_reset,
        )
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
        sent_at_by_token = self._sent_at_by_token_by_member.get(member)
        if sent_at_by_token:
            sent_at_by_token.pop(getattr(message, 'token', 0), None)
            reflected_until = now - self.paths.answer_seconds(member.domain)
            for token, sent_at in list(sent_at_by_token.items()):
                if sent_at <= reflected_until:
                    sent_at_by_token.pop(token)
            member.offered_flows = len(sent_at_by_token)
        self._members.index.refresh(member)
        self._update_verdict(member, now)

    def record_offer(
        self,
        token: int,
        member: relay_members.Member,
        now: float,
    ) -> None:
        """Record that a first packet was offered to a member."""
        sent_at_by_token = self._sent_at_by_token_by_member.setdefault(member, {})
        sent_at_by_token[token] = now
        self._member_by_token[token] = member
        self._unanswered_names_by_token.setdefault(token, set()).add(member.name)
        self._members.index.refresh(member)

    def record_accepted(
        self, offer: relay_pending.Offer, member: relay_members.Member, now: float
    ) -> None:
        """Record that a member accepted a first packet."""
        self.outliers.record_outcome(member.name, now, is_failed=False)
        self.queue.record_accepted(offer, now)

    def record_passed(
        self,
        passed: relaying.Passed,
        member: relay_members.Member,
        now: float,
    ) -> None:
        """Record that a member declined a first packet."""
        self._member_by_token.pop(passed.token, None)
        self._unanswered_names_by_token.get(passed.token, set()).discard(member.name)
        is_failed = passed.reason is relaying.Reason.REFUSED
        self.outliers.record_outcome(member.name, now, is_failed=is_failed)

    def record_unanswered(self, token: int, now: float) -> None:
        """Record that an offer was not answered in time."""
        member = self._member_by_token.pop(token, None)
        if member is not None:
            self.outliers.record_outcome(member.name, now, is_failed=True)
            self._update_verdict(member, now)

    def forget_offer(self, token: int) -> None:
        """Drop the record of an offer that has ended."""
        self._member_by_token.pop(token, None)
        self._unanswered_names_by_token.pop(token, None)

    def may_reset(self, token: int) -> bool:
        """Tell whether every member that a first packet was offered to declined it.

        One that was paused may still accept it, and the reset would end an open flow.
        """
        return not self._unanswered_names_by_token.get(token)

    def forget(self, member: relay_members.Member) -> None:
        """Drop the records of a removed member."""
        self._sent_at_by_token_by_member.pop(member, None)
        self.outliers.forget(member.name)

    def record_pause(self, seconds: float, now: float) -> None:
        """Take into account that this process was paused."""
        self.outliers.record_pause(seconds, now)
        if seconds > outliers.PAUSE_SECONDS:
            self.queue.record_pause()

    def pop_events(self) -> list[effects.Log]:
        """Return the events since the last call."""
        events = self._events
        self._events = []
        return events

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
            self.outliers.failure_share(member, now),
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
            offer.is_final = True
            return None
        offer.is_final = choice.is_final
        offer.record_estimate(choice.estimate)
        return choice.member

    def place_unless_others_wait(
        self, offer: relay_pending.Offer, now: float
    ) -> relay_members.Member | None:
        """Place a first packet, unless others of its service wait for a slot.

        A newcomer would take the slot before those that go first.
        """
        if self.queue.has_waiting(offer.service) and not offer.is_waiting:
            offer.is_final = True
            return None
        return self.place(offer, now)

    def misses_deadline(
        self, token: int, offer: relay_pending.Offer, now: float
    ) -> bool:
        """Tell whether no server could answer a first packet by its deadline."""
        if not self.may_reset(token):
            return False
        duration = self.typical(offer.service, now).duration
        elapsed = now - offer.started_at
        return rejecting.misses_deadline(elapsed, duration, offer.request_seconds)

    def choose(self, offer: relay_pending.Offer, now: float) -> Choice | None:
        """Return the member to offer a first packet to, or None if it must wait.

        The own failure domain is used as long as an answer is expected there within
        the target latency. Once it is not, it must be expected there one duration
        earlier before the other domains are left out again.
        """
        service = offer.service
        typical = self.typical(service, now)
        probe = self._probe(offer, now)
        if probe is not None:
            return probe
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
        earliest = min(
            (choice for choice in (own, *choices) if choice is not None),
            key=lambda choice: choice.estimate.finish,
            default=None,
        )
        return earliest or self._slow_choice(offer, now)

    def suits(
        self, member: relay_members.Member, offer: relay_pending.Offer, now: float
    ) -> bool:
        """Tell whether a member with capacity may take a waiting first packet.

        A slow member may, as long as the answer is expected within the target. The
        estimate is recorded with the offer.
        """
        estimate = self.estimate(member, offer, now)
        offer.record_estimate(estimate)
        if not self.outliers.is_outlier(member):
            return True
        if self._random.random() < outliers.PROBE_SHARE:
            return True
        elapsed = now - offer.started_at
        is_in_time = elapsed + estimate.finish <= offer.target_seconds
        return is_in_time and not self.outliers.is_failing(member, now)

    def _probe(self, offer: relay_pending.Offer, now: float) -> Choice | None:
        """Return an outlier that shall show with a request whether it has recovered."""
        names = self.outliers.of_service(offer.service)
        if not names:
            return None
        share = outliers.PROBE_SHARE * len(names)
        if self._random.random() * self._members.index.count(offer.service) >= share:
            return None
        choices = self._outlier_choices(offer, now, size=1)
        for choice in choices:
            elapsed = now - offer.started_at
            if elapsed + choice.estimate.finish <= offer.request_seconds:
                return choice
        return None

    def _slow_choice(self, offer: relay_pending.Offer, now: float) -> Choice | None:
        """Return a slow member that answers within the target."""
        elapsed = now - offer.started_at
        choices = [
            choice
            for choice in self._outlier_choices(offer, now, size=SECOND_SAMPLE)
            if elapsed + choice.estimate.finish <= offer.target_seconds
            and not self.outliers.is_failing(choice.member, now)
        ]
        return min(choices, key=lambda choice: choice.estimate.finish, default=None)

    def _outlier_choices(
        self, offer: relay_pending.Offer, now: float, *, size: int
    ) -> list[Choice]:
        """Return outliers with a free slot."""
        names = self.outliers.of_service(offer.service)
        start = int(self._random.random() * len(names))
        drawn = [
            self._members.member_by_name[name]
            for name in (*names[start:], *names[:start])[:size]
            if name in self._members.member_by_name
        ]
        return [
            Choice(member, is_final=False, estimate=self.estimate(member, offer, now))
            for member in drawn
            if index.level_of(member) is index.Level.FREE
            and member.name not in offer.tried
            and member.accepts_flows(now)
        ]

    def _update_verdict(self, member: relay_members.Member, now: float) -> None:
        service = member.service
        if not self.outliers.update(
            member, self.typical(service, now), self._members.index.count(service), now
        ):
            return
        self._events.append(
            effects.Log(
                'member_outlier',
                member=member.name,
                outlier=self.outliers.is_outlier(member),
                request_ms=member.status.request_ms,
                failed=round(self.outliers.failure_share(member, now), 2),
            )
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
            usable = self._usable(drawn, offer, now)
            if usable or len(drawn) < size:
                break
        if usable:
            return usable
        full_since = now - FULL_SECONDS_PER_MEMBER * self._members.index.count(service)
        return [
            member
            for level in (index.Level.QUEUE, index.Level.CLOSED)
            for member in self._usable(
                self._sample(service, domain, level, CANDIDATES_PER_DOMAIN), offer, now
            )
            if _may_be_free(member, full_since, now)
        ]

    def _queue_candidates(
        self, domain: str, offer: relay_pending.Offer, now: float
    ) -> list[relay_members.Member]:
        """Return members without a free slot that accept a final offer."""
        drawn = self._sample(offer.service, domain, index.Level.QUEUE, SECOND_SAMPLE)
        return self._usable(drawn, offer, now)[:CANDIDATES_PER_DOMAIN]

    def _usable(
        self,
        drawn: list[relay_members.Member],
        offer: relay_pending.Offer,
        now: float,
    ) -> list[relay_members.Member]:
        return [
            member
            for member in drawn
            if member.name not in offer.tried
            and member.accepts_flows(now)
            and not self.outliers.is_outlier(member)
        ]

    def _sample(
        self, service: str, domain: str, level: index.Level, size: int
    ) -> list[relay_members.Member]:
        return self._members.index.sample(service, domain, level, size, self._random)


def _may_be_free(member: relay_members.Member, full_since: float, now: float) -> bool:
    """Tell whether a member whose status shows it as full may have a free slot now."""
    expected_wait = member.status.wait_ms / finish.MILLISECONDS_PER_SECOND
    is_due = now - member.last_status_at >= expected_wait
    return is_due and not member.is_full(full_since)
