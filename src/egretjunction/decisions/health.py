"""How fit a backend server is, from observed outcomes before its own claims."""

import typing

FAILURES_PER_STEP = 3
RECOVER_SECONDS = 2.0
FAILED_CHECK_FACTOR = 0.5
EVIDENCE_SECONDS = 5.0
WEIGHT_STEPS = (1, 0.5, 0.25, 0)
MAX_EJECTED_SHARE = 0.5


class Health:
    """Fitness of one backend server, kept by the agent beside it.

    Every few failures in a row lower it by one step; time without a failure
    raises it by one step again. A refused connection is no matter of degree:
    nothing listens, so the weight is zero until the server is reached again. A
    claim of the health endpoint counts only while there are no recent outcomes,
    and then it halves the weight at most.
    """

    __slots__ = (
        '_changed_at',
        '_claims_healthy',
        '_failures',
        '_is_in_doubt',
        '_is_reachable',
        '_outcome_at',
        '_step',
    )

    def __init__(self) -> None:
        self._step = 0
        self._failures = 0
        self._changed_at = float('-inf')
        self._outcome_at = float('-inf')
        self._claims_healthy = True
        self._is_reachable = True
        self._is_in_doubt = False

    def record_success(self, now: float) -> None:
        """Record an answer of the backend server, whatever its status."""
        self.record_reachable()
        self._failures = 0
        self._outcome_at = now
        self._recover(now)

    def record_failure(self, now: float) -> None:
        """Record a time-out or a broken answer."""
        self._is_in_doubt = True
        self._outcome_at = now
        self._failures += 1
        if self._failures >= FAILURES_PER_STEP:
            self._failures = 0
            self._step = min(len(WEIGHT_STEPS) - 1, self._step + 1)
            self._changed_at = now

    def record_refused(self) -> None:
        """Record that the backend server does not accept connections."""
        self._is_reachable = False

    def record_reachable(self) -> None:
        """Record that the backend server accepts connections."""
        self._is_reachable = True
        self._is_in_doubt = False

    def record_health_check(self, is_healthy: bool) -> None:
        """Record what the health endpoint says."""
        self._claims_healthy = is_healthy

    def may_take_flows(self, now: float) -> bool:
        """Tell whether new flows are better off here than at another server.

        After a failure that is in doubt until the server is reached again, which
        the next health check shows; the weight that others see stays.
        """
        return not self._is_in_doubt and self.weight(now) > 0

    def weight(self, now: float) -> float:
        """Return the share of new flows that the server should get, 0 to 1."""
        if not self._is_reachable:
            return 0
        self._recover(now)
        observed = WEIGHT_STEPS[self._step]
        if self._claims_healthy or now - self._outcome_at < EVIDENCE_SECONDS:
            return observed
        return observed * FAILED_CHECK_FACTOR

    def _recover(self, now: float) -> None:
        if self._step and now - self._changed_at >= RECOVER_SECONDS:
            self._step -= 1
            self._changed_at = now


class Weighted(typing.Protocol):
    """A member whose weight may be zero because it is ejected."""

    name: str
    weight: float


def ejected_names(
    members: typing.Sequence[Weighted],
    max_share: float = MAX_EJECTED_SHARE,
) -> frozenset[str]:
    """Return the names of members that are left out, never more than a share.

    When more claim to be unfit, the rest get flows all the same: a wrong health
    signal that hits everyone must not stop the service.

    :param members: members of one service that are neither gone nor draining.
    :param max_share: largest share that may be left out.
    """
    unfit = sorted(member.name for member in members if member.weight <= 0)
    allowed = int(len(members) * max_share)
    return frozenset(unfit[:allowed])
