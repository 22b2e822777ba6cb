"""Load generator: simulated customers that book, upload photos and hold feeds."""

import asyncio
import collections
import contextlib
import hashlib
import json
import random
import time
import typing
import uuid

import msgspec

from egretjunction import caller
from egretjunction import verdicts
from egretjunction.quic import http_headers

REQUEST_DEADLINE_SECONDS = 15.0
MAX_REQUESTS_PER_FLOW = 3
MAX_THINK_SECONDS = 0.2
SEED_LIMIT = 1_000_000_000
REQUEST_ID_BITS = 128


class RequestKind(msgspec.Struct, frozen=True, kw_only=True):
    """One kind of request in the load.

    :param name: name of the kind, such as ``booking``.
    :param service: name of the service that handles it.
    :param method: HTTP method.
    :param path: path without query.
    :param work_ms: time that a request occupies a slot.
    :param body_bytes: size of the request body.
    :param requests_per_second: mean request rate.
    """

    name: str
    service: str
    method: str
    path: str
    work_ms: int
    body_bytes: int
    requests_per_second: float


class Sample(msgspec.Struct, kw_only=True):
    """One finished request.

    :param at: start of the request, in seconds since the load started.
    :param server: backend server that responded, empty when none did.
    :param broken: which guarantee the outcome violates, empty when it violates none.
    """

    at: float
    kind: str
    service: str
    request_id: str
    verdict: str
    status: int
    seconds: float
    attempts: int
    server: str
    work_ms: int
    broken: str = ''
    reason: str = ''


class FeedResult(msgspec.Struct, kw_only=True):
    """Result of one feed.

    :param connections: number of connection attempts that the feed made.
    :param broken: gaps and repeated updates.
    """

    service: str
    updates: int
    connections: int
    broken: list[str]


class LoadGenerator:
    """Simulated customers of the services.

    :param make_caller: returns a new caller for a service name and a seed.
    :param seed: seed of arrival times and request bodies.
    """

    def __init__(
        self,
        make_caller: typing.Callable[[str, int], caller.Caller],
        seed: int,
    ) -> None:
        self._make_caller = make_caller
        self._random = random.Random(seed)
        self._started_at = time.monotonic()
        self._sessions: set[asyncio.Task[None]] = set()
        self.samples: list[Sample] = []
        self.feeds: list[FeedResult] = []
        self.shed_without_retry = 0

    @property
    def elapsed_seconds(self) -> float:
        """Return the time since the load started."""
        return time.monotonic() - self._started_at

    async def run_kind(self, kind: RequestKind, seconds: float) -> None:
        """Start sessions of one kind at random times for the given duration.

        Sessions may still be open afterwards; :meth:`finish` waits for them.

        :param kind: requests that the sessions send.
        :param seconds: duration.
        """
        end = time.monotonic() + seconds
        mean_requests_per_flow = (1 + MAX_REQUESTS_PER_FLOW) / 2
        while True:
            pause = self._random.expovariate(
                kind.requests_per_second / mean_requests_per_flow
            )
            if time.monotonic() + pause >= end:
                break
            await asyncio.sleep(pause)
            session = asyncio.create_task(self._run_session(kind))
            self._sessions.add(session)
            session.add_done_callback(self._sessions.discard)
        await asyncio.sleep(max(0, end - time.monotonic()))

    async def finish(self) -> None:
        """Wait until every open session has ended."""
        while self._sessions:
            await asyncio.wait(set(self._sessions))

    async def run_feed(self, service: str, seconds: float) -> None:
        """Hold one feed open and record gaps and repeated updates.

        :param service: name of the service.
        :param seconds: duration.
        """
        customer = self._new_customer(service)
        result = FeedResult(service=service, updates=0, connections=0, broken=[])
        self.feeds.append(result)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._read_feed(customer, result), seconds)
        result.connections = customer.connected_count

    async def _read_feed(self, customer: caller.Caller, result: FeedResult) -> None:
        last_id = -1
        async for update in customer.feed('/feed'):
            if last_id >= 0 and update.event_id != last_id + 1:
                result.broken.append(f'update {update.event_id} after {last_id}')
            last_id = update.event_id
            result.updates += 1

    def _new_customer(self, service: str) -> caller.Caller:
        return self._make_caller(service, self._random.randrange(SEED_LIMIT))

    async def _run_session(self, kind: RequestKind) -> None:
        """Open a flow, send a few requests and close it."""
        customer = self._new_customer(kind.service)
        for number in range(self._random.randint(1, MAX_REQUESTS_PER_FLOW)):
            if number:
                await asyncio.sleep(self._random.random() * MAX_THINK_SECONDS)
            await self._request(customer, kind)
        await customer.close()

    async def _request(self, customer: caller.Caller, kind: RequestKind) -> None:
        request_id = uuid.UUID(int=self._random.getrandbits(REQUEST_ID_BITS)).hex
        body = self._random.randbytes(kind.body_bytes)
        at = self.elapsed_seconds
        outcome = await customer.request(
            kind.method,
            f'{kind.path}?work_ms={kind.work_ms}',
            headers={http_headers.REQUEST_ID: request_id},
            body=body,
            deadline_seconds=REQUEST_DEADLINE_SECONDS,
        )
        sample = Sample(
            at=at,
            kind=kind.name,
            service=kind.service,
            request_id=request_id,
            verdict=outcome.verdict.value,
            status=outcome.status,
            seconds=outcome.seconds,
            attempts=outcome.attempts,
            server='',
            work_ms=kind.work_ms,
            reason=outcome.reason,
        )
        sample.broken = find_violations(outcome, sample, body)
        self.samples.append(sample)


def find_violations(outcome: caller.Outcome, sample: Sample, body: bytes) -> str:
    """Return the guarantees that an outcome violates, empty when there are none.

    :param outcome: outcome returned by the caller library.
    :param sample: the request; its ``server`` is set to the one that responded.
    :param body: the request body.
    """
    if outcome.verdict is verdicts.Verdict.NOT_RUN:
        return ''
    if not outcome.is_answered:
        return f'flow broken: {outcome.reason}'
    try:
        response = json.loads(outcome.body)
    except ValueError:
        return 'answer was cut'
    sample.server = response['server']
    checks = {
        f'misdirected to {sample.server}': sample.server.startswith(
            f'{sample.service}-',
        ),
        'answer of another request': response['request_id'] == sample.request_id,
        'body was not received whole': (
            response['sha256'] == hashlib.sha256(body).hexdigest()
        ),
    }
    return ', '.join(violation for violation, is_met in checks.items() if not is_met)


class Totals(msgspec.Struct, kw_only=True):
    """Counts that show whether the guarantees were met."""

    requests: int
    answered: int
    not_run: int
    broken_flows: int
    misdirected: int
    double_runs: int
    false_not_run: int
    feeds: int
    feed_updates: int
    broken_feeds: int
    attempts_per_request: float

    @property
    def is_clean(self) -> bool:
        """Return whether no guarantee was violated."""
        violations = (
            self.broken_flows,
            self.misdirected,
            self.double_runs,
            self.false_not_run,
            self.broken_feeds,
        )
        return not any(violations)


def count_totals(
    samples: typing.Sequence[Sample],
    feeds: typing.Sequence[FeedResult],
    runs_by_request: collections.Counter[str],
) -> Totals:
    """Compare outcomes with the run counts reported by the backend servers.

    :param samples: the finished requests.
    :param feeds: results of the feeds.
    :param runs_by_request: number of runs by request ID.
    :return: the counts, with false not-run verdicts and double runs.
    """
    not_run = [record for record in samples if record.verdict == 'not-run']
    misdirected = [record for record in samples if 'isdirected' in record.broken]
    broken = [record for record in samples if record.broken]
    attempts = sum(record.attempts for record in samples)
    return Totals(
        requests=len(samples),
        answered=sum(1 for record in samples if record.server),
        not_run=len(not_run),
        broken_flows=len(broken) - len(misdirected),
        misdirected=len(misdirected),
        double_runs=sum(1 for runs in runs_by_request.values() if runs > 1),
        false_not_run=sum(
            1 for record in not_run if runs_by_request[record.request_id]
        ),
        feeds=len(feeds),
        feed_updates=sum(record.updates for record in feeds),
        broken_feeds=sum(1 for record in feeds if record.broken),
        attempts_per_request=attempts / max(1, len(samples)),
    )
