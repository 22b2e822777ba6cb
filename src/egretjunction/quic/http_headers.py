"""Header fields between caller, agent and backend server, and their translation."""

import math

from tornado import httputil

from egretjunction import verdicts

VERDICT = 'egretjunction-verdict'
DEADLINE_MS = 'egretjunction-deadline-ms'
REQUEST_ID = 'egretjunction-request-id'
REASON = 'egretjunction-reason'
RETRY_AFTER_MS = 'egretjunction-retry-after-ms'
MS_PER_SECOND = 1000
MAX_DEADLINE_MS = 86_400_000
HOP_BY_HOP = frozenset(
    (
        'connection',
        'host',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)

Pairs = list[tuple[bytes, bytes]]


def to_http1(pairs: Pairs) -> tuple[dict[str, str], httputil.HTTPHeaders]:
    """Split HTTP/3 fields into pseudo-headers by name and ordinary headers."""
    pseudo: dict[str, str] = {}
    headers = httputil.HTTPHeaders()
    for raw_name, raw_value in pairs:
        name = raw_name.decode('latin-1')
        value = raw_value.decode('latin-1')
        if name.startswith(':'):
            pseudo[name] = value
        elif name not in HOP_BY_HOP:
            headers.add(name, value)
    headers['Host'] = pseudo.get(':authority', '')
    return pseudo, headers


def to_http3(status: int, headers: httputil.HTTPHeaders) -> Pairs:
    """Return the HTTP/3 fields of an answer."""
    pairs = [(b':status', str(status).encode())]
    for name, value in headers.get_all():
        lowered = name.lower()
        if lowered not in HOP_BY_HOP:
            pairs.append((lowered.encode('latin-1'), value.encode('latin-1')))
    return pairs


def failure(
    status: int,
    verdict: verdicts.Verdict,
    reason: str,
    retry_after_seconds: float = 0,
) -> Pairs:
    """Return the HTTP/3 fields of an answer that the agent itself gives.

    :param status: HTTP status.
    :param verdict: whether the request may have run.
    :param reason: short text for people.
    :param retry_after_seconds: when a new try may succeed, 0 for no hint.
    """
    pairs = [
        (b':status', str(status).encode()),
        (VERDICT.encode(), verdict.value.encode()),
        (REASON.encode(), reason.encode()),
        (b'content-length', b'0'),
    ]
    if retry_after_seconds > 0:
        whole = max(1, math.ceil(retry_after_seconds))
        milliseconds = math.ceil(retry_after_seconds * MS_PER_SECOND)
        pairs.append((b'retry-after', str(whole).encode()))
        pairs.append((RETRY_AFTER_MS.encode(), str(milliseconds).encode()))
    return pairs


def seconds_to_deadline(headers: httputil.HTTPHeaders, default: float) -> float:
    """Return the seconds that a request may still take.

    :param headers: headers of the request.
    :param default: used when the field is missing or no number.
    """
    given = headers.get(DEADLINE_MS, '')
    if not given.isdigit():
        return default
    return min(int(given), MAX_DEADLINE_MS) / MS_PER_SECOND
