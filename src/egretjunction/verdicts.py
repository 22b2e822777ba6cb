"""Verdicts on whether a request has run on a backend server."""

import enum


class Verdict(enum.Enum):
    """Whether a request has run on a backend server."""

    NOT_RUN = 'not-run'
    RAN = 'ran'
    MAY_HAVE_RUN = 'may-have-run'


class Progress(enum.IntEnum):
    """Steps of a request on its way to a backend server and back."""

    RECEIVED = 0
    QUEUED = 1
    SENT = 2
    FIRST_BYTE = 3
    ANSWERED = 4


def over_attempts(earlier: Verdict, last: Verdict) -> Verdict:
    """Return the verdict on a request after another attempt.

    If an attempt may have run, so may the request, unless a later attempt has
    certainly run.

    :param earlier: verdict over all attempts before the last one.
    :param last: verdict on the last attempt alone.
    """
    if last is Verdict.NOT_RUN:
        return earlier
    return last


def verdict_at(progress: Progress) -> Verdict:
    """Return the verdict on a request that failed after a step.

    :param progress: the last step that the request is known to have reached.
    """
    if progress < Progress.SENT:
        return Verdict.NOT_RUN
    if progress < Progress.FIRST_BYTE:
        return Verdict.MAY_HAVE_RUN
    return Verdict.RAN
