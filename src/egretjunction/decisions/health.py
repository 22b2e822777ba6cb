"""Rates backend servers by request outcomes first and health checks second."""

import typing

FAILURES_PER_STEP = 3
RECOVER_SECONDS = 2.0
FAILED_CHECK_FACTOR = 0.5
OUTCOME_TTL_SECONDS = 5.0
WEIGHT_STEPS = (1, 0.5, 0.25, 0)
MAX_EJECTED_SHARE = 0.5


class Health:
    """Health of one backend server, tracked by its agent.

    ``FAILURES_PER_STEP`` consecutive failures lower the weight by one step, and
    ``RECOVER_SECONDS`` after its last change it rises by one step again. A
    refused connection sets the weight to zero until the server is reachable,
    because nothing listens there. The health check counts only while there are
    no recent request outcomes, and then a failed one halves the weight.
    """

    __slots__ = (
        '_consecutive_failures',
        '_is_check_passing',
        '_is_reachable',
        '_is_suspect',
        '_last_outcome_at',
        '_step',
        '_step_changed_at',
    )

    def __init__(self) -> None:
        self._step = 0
        self._consecutive_failures = 0
        self._step_changed_at = float('-inf')
        self._last_outcome_at = float('-inf')
        self._is_check_passing = True
        self._is_reachable = True
        self._is_suspect = False

    def record_success(self, now: float) -> None:
        """Record a complete response of the backend server, whatever its status."""
        self.record_reachable()
        self._consecutive_failures = 0
        self._last_outcome_at = now
        self._recover(now)

    def record_failure(self, now: float) -> None:
        """Record a timeout or a broken response."""
        self._is_suspect = True
        self._last_outcome_at = now
        self._consecutive_failures += 1
        if self._consecutive_failures >= FAILURES_PER_STEP:
            self._consecutive_failures = 0
            self._step = min(len(WEIGHT_STEPS) - 1, self._step + 1)
            self._step_changed_at = now

    def record_refused(self) -> None:
        """Record that the backend server does not accept connections."""
        self._is_reachable = False

    def record_reachable(self) -> None:
        """Record that the backend server accepts connections."""
        self._is_reachable = True
        self._is_suspect = False

    def record_health_check(self, is_healthy: bool) -> None:
        """Record the result of a health check."""
        self._is_check_passing = is_healthy

    def may_take_flows(self, now: float) -> bool:
        """Return whether the agent should take flows that another could take.

        After a failure this is false until the server is reachable again,
        which the next health check shows. The announced weight does not change.
        """
        return not self._is_suspect and self.weight(now) > 0

    def weight(self, now: float) -> float:
        """Return the share of new flows that the server should get, 0 to 1."""
        if not self._is_reachable:
            return 0
        self._recover(now)
        outcome_weight = WEIGHT_STEPS[self._step]
        if self._is_check_passing or now - self._last_outcome_at < OUTCOME_TTL_SECONDS:
            return outcome_weight
        return outcome_weight * FAILED_CHECK_FACTOR

    def _recover(self, now: float) -> None:
        if self._step and now - self._step_changed_at >= RECOVER_SECONDS:
            self._step -= 1
            self._step_changed_at = now


class Weighted(typing.Protocol):
    """A member with a weight; a member with weight 0 is unfit."""

    name: str
    weight: float


def ejected_names(
    members: typing.Sequence[Weighted],
    max_share: float = MAX_EJECTED_SHARE,
) -> frozenset[str]:
    """Return the names of the members to eject, at most a share of all.

    Unfit members beyond that share still get flows, so that a wrong health
    signal about every member does not stop the service.

    :param members: members of one service that are neither gone nor draining.
    :param max_share: largest share of the members to eject, between 0 and 1.
    """
    unfit = sorted(member.name for member in members if member.weight <= 0)
    max_ejected = int(len(members) * max_share)
    return frozenset(unfit[:max_ejected])
