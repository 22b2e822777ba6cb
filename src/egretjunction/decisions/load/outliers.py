"""Members that are much slower than the others of their service, or fail more often."""

import typing

from egretjunction.decisions.load import finish

if typing.TYPE_CHECKING:
    from egretjunction.decisions import relay_members

# Servers of half the speed belong to the normal mix; the expected finish accounts for
# them. Those that slow down by a fault do so by a factor of 5 or more.
SLOW_FACTOR = 2.5  # of the median duration of the service
RECOVERED_FACTOR = 2.0
FAILING_SHARE = 0.2  # above the median of the service
RECOVERED_SHARE = 0.1
MAX_OUTLIER_SHARE = 0.5  # of the members of a service
PROBE_SHARE = 0.1  # of the first packets that an outlier would get otherwise
OUTCOME_GAIN = 0.15  # a single lost packet makes no outlier, two in a row do
FORGET_SECONDS = 3.0  # after which failed offers no longer count
PAUSE_SECONDS = 0.1  # shorter stalls of the entry do not delay answers noticeably
NO_VERDICT_SECONDS = 0.5  # after a pause; answers and statuses are read within it


class _Outcomes:
    """Recent outcomes of own offers to a member.

    :param now: the time in seconds.
    """

    __slots__ = ('failed_share', 'recorded_at')

    def __init__(self, now: float) -> None:
        self.failed_share = float(0)
        self.recorded_at = now

    def share_at(self, now: float) -> float:
        """Return the share of failed offers, which fades with time."""
        seconds = now - self.recorded_at
        return self.failed_share * max(0, 1 - seconds / FORGET_SECONDS)


class Outliers:
    """Verdicts on the members that one entry uses."""

    __slots__ = (
        '_no_verdict_until',
        '_outcomes_by_name',
        '_outliers_by_service',
        '_service_by_outlier',
    )

    def __init__(self) -> None:
        self._no_verdict_until = float('-inf')
        self._outcomes_by_name: dict[str, _Outcomes] = {}
        self._service_by_outlier: dict[str, str] = {}
        self._outliers_by_service: dict[str, list[str]] = {}

    @property
    def count(self) -> int:
        """Return the number of outliers."""
        return len(self._service_by_outlier)

    def record_pause(self, seconds: float, now: float) -> None:
        """Make no new verdict for a while after a pause of the entry.

        Answers that arrived during the pause are unread, and would count as missing.
        """
        if seconds > PAUSE_SECONDS:
            self._no_verdict_until = now + NO_VERDICT_SECONDS

    def record_outcome(self, name: str, now: float, *, is_failed: bool) -> None:
        """Record whether an agent answered an offer, and its server accepted it."""
        outcomes = self._outcomes_by_name.get(name)
        if outcomes is None:
            if not is_failed:
                return
            outcomes = _Outcomes(now)
            self._outcomes_by_name[name] = outcomes
        if is_failed and now < self._no_verdict_until:
            return
        share = outcomes.share_at(now)
        outcomes.failed_share = share + OUTCOME_GAIN * (is_failed - share)
        outcomes.recorded_at = now

    def failure_share(self, member: 'relay_members.Member', now: float) -> float:
        """Return the share of flows that failed lately, as far as it is known."""
        reported = member.status.failure_percent / finish.PERCENT
        outcomes = self._outcomes_by_name.get(member.name)
        return reported if outcomes is None else max(reported, outcomes.share_at(now))

    def of_service(self, service: str) -> typing.Sequence[str]:
        """Return the names of the outliers of a service."""
        return self._outliers_by_service.get(service, ())

    def is_failing(self, member: 'relay_members.Member', now: float) -> bool:
        """Tell whether more of a member's flows fail than of one that has recovered."""
        return self.failure_share(member, now) > RECOVERED_SHARE

    def is_outlier(self, member: 'relay_members.Member') -> bool:
        """Tell whether a member is an outlier."""
        return member.name in self._service_by_outlier

    def update(
        self,
        member: 'relay_members.Member',
        typical: finish.ServiceTypical,
        member_count: int,
        now: float,
    ) -> bool:
        """Make a new verdict on a member; return whether it changed.

        :param member: the member.
        :param typical: medians of the service.
        :param member_count: number of members of the service.
        :param now: the time in seconds.
        """
        is_known = self.is_outlier(member)
        factor = RECOVERED_FACTOR if is_known else SLOW_FACTOR
        duration = member.status.request_ms / finish.MILLISECONDS_PER_SECOND
        is_slow = duration > factor * typical.duration
        allowed = RECOVERED_SHARE if is_known else FAILING_SHARE
        excess = self.failure_share(member, now) - typical.failure_share
        is_deviating = is_slow or excess > allowed
        if is_deviating == is_known:
            return False
        if is_known:
            self.forget_verdict(member.name)
            return True
        outliers = self._outliers_by_service.setdefault(member.service, [])
        limit = MAX_OUTLIER_SHARE * member_count
        if now < self._no_verdict_until or len(outliers) + 1 > limit:
            return False
        outliers.append(member.name)
        self._service_by_outlier[member.name] = member.service
        return True

    def forget_verdict(self, name: str) -> None:
        """Count a member as usual again."""
        service = self._service_by_outlier.pop(name, None)
        if service is not None:
            self._outliers_by_service[service].remove(name)

    def forget(self, name: str) -> None:
        """Drop the records of a removed member."""
        self.forget_verdict(name)
        self._outcomes_by_name.pop(name, None)
