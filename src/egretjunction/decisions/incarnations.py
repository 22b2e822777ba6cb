"""Incarnation numbers: they distinguish the processes at one address, in order."""

from egretjunction.decisions import ownership

EPOCH_UNIX_SECONDS = 1_735_689_600
INCARNATIONS_PER_SECOND = 256


def from_clock(unix_seconds: float) -> int:
    """Return the incarnation of a process that starts now.

    :param unix_seconds: wall clock time, in seconds since the Unix epoch.
    """
    incarnation = int((unix_seconds - EPOCH_UNIX_SECONDS) * INCARNATIONS_PER_SECOND)
    return max(1, incarnation) % ownership.MAX_INCARNATION
