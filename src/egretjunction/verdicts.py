"""The verdict type: whether a request may have run on a backend server."""

import enum


class Verdict(enum.Enum):
    """Says what is known about the effect of a request."""

    NOT_RUN = 'not-run'
    RAN = 'ran'
    MAY_HAVE_RUN = 'may-have-run'


class Progress(enum.IntEnum):
    """How far a request got on its way to a backend server."""

    RECEIVED = 0
    QUEUED = 1
    SENT = 2
    FIRST_BYTE = 3
    ANSWERED = 4


def over_attempts(earlier: Verdict, last: Verdict) -> Verdict:
    """Return what is known of a request after a further attempt.

    An attempt that may have run leaves its doubt behind, unless a later one
    was surely run.

    :param earlier: what was known before the attempt.
    :param last: what is known of the attempt itself.
    """
    if last is Verdict.NOT_RUN:
        return earlier
    return last


def verdict_at(progress: Progress) -> Verdict:
    """Return what may be claimed about a request that stopped at a step.

    :param progress: the last step that the request is known to have reached.
    """
    if progress < Progress.SENT:
        return Verdict.NOT_RUN
    if progress < Progress.FIRST_BYTE:
        return Verdict.MAY_HAVE_RUN
    return Verdict.RAN
