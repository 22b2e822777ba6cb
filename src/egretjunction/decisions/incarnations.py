"""Numbers of processes at one address, rising with each start."""

from egretjunction.decisions import ownership

EPOCH_SECONDS = 1_735_689_600
STEPS_PER_SECOND = 256


def from_clock(unix_seconds: float) -> int:
    """Return the incarnation of a process that starts now.

    :param unix_seconds: the wall clock.
    """
    steps = int((unix_seconds - EPOCH_SECONDS) * STEPS_PER_SECOND)
    return max(1, steps) % ownership.MAX_INCARNATION
