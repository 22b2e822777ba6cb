"""Header fields of callers, agents and backend servers, and their conversion."""

import math

from tornado import httputil

from egretjunction import verdicts
from egretjunction.decisions import retries

VERDICT = 'egretjunction-verdict'
DEADLINE_MS = 'egretjunction-deadline-ms'
REQUEST_ID = 'egretjunction-request-id'
REASON = 'egretjunction-reason'
RETRY_AFTER_MS = 'egretjunction-retry-after-ms'
RETRY_PERCENT = 'egretjunction-retry-percent'
IDEMPOTENT_METHODS = 'egretjunction-idempotent-methods'
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

HeaderList = list[tuple[bytes, bytes]]


def to_http1(header_list: HeaderList) -> tuple[dict[str, str], httputil.HTTPHeaders]:
    """Convert HTTP/3 fields to pseudo-headers by name and HTTP/1.1 headers."""
    pseudo_headers: dict[str, str] = {}
    headers = httputil.HTTPHeaders()
    for raw_name, raw_value in header_list:
        name = raw_name.decode('latin-1')
        value = raw_value.decode('latin-1')
        if name.startswith(':'):
            pseudo_headers[name] = value
        elif name not in HOP_BY_HOP:
            headers.add(name, value)
    headers['Host'] = pseudo_headers.get(':authority', '')
    return pseudo_headers, headers


def to_http3(status: int, headers: httputil.HTTPHeaders) -> HeaderList:
    """Convert status and headers of an HTTP/1.1 response to HTTP/3 fields."""
    header_list = [(b':status', str(status).encode())]
    for name, value in headers.get_all():
        lower_name = name.lower()
        if lower_name not in HOP_BY_HOP:
            header_list.append((lower_name.encode('latin-1'), value.encode('latin-1')))
    return header_list


def failure(
    status: int,
    verdict: verdicts.Verdict,
    reason: str,
    retry_after_seconds: float = 0,
) -> HeaderList:
    """Return the HTTP/3 fields of an error response that the agent generates.

    :param status: HTTP status.
    :param verdict: whether the request may have run.
    :param reason: short text for people.
    :param retry_after_seconds: delay after which a retry may succeed, 0 for none.
    """
    header_list = [
        (b':status', str(status).encode()),
        (VERDICT.encode(), verdict.value.encode()),
        (REASON.encode(), reason.encode()),
        (b'content-length', b'0'),
    ]
    if retry_after_seconds > 0:
        whole_seconds = max(1, math.ceil(retry_after_seconds))
        milliseconds = math.ceil(retry_after_seconds * MS_PER_SECOND)
        header_list.append((b'retry-after', str(whole_seconds).encode()))
        header_list.append((RETRY_AFTER_MS.encode(), str(milliseconds).encode()))
    return header_list


def from_retry_policy(policy: retries.Policy) -> HeaderList:
    """Return the HTTP/3 fields that tell a caller how it may retry."""
    methods = ','.join(policy.idempotent_methods)
    return [
        (RETRY_PERCENT.encode(), str(policy.retry_percent).encode()),
        (IDEMPOTENT_METHODS.encode(), methods.encode()),
    ]


def to_retry_policy(headers: dict[str, str]) -> retries.Policy | None:
    """Return the retry policy in the fields of a response, None without a valid one."""
    percent = headers.get(RETRY_PERCENT, '')
    if not (percent.isascii() and percent.isdigit()) or int(percent) > retries.PERCENT:
        return None
    methods = headers.get(IDEMPOTENT_METHODS, '').split(',')
    return retries.Policy(int(percent), [method for method in methods if method])


def seconds_to_deadline(headers: httputil.HTTPHeaders, default: float) -> float:
    """Return the seconds left until the deadline of a request.

    :param headers: headers of the request.
    :param default: result when the deadline field is missing or not a number.
    """
    deadline_text = headers.get(DEADLINE_MS, '')
    if not deadline_text.isdigit():
        return default
    return min(int(deadline_text), MAX_DEADLINE_MS) / MS_PER_SECOND
