"""The load tool: customers that book, upload photos and hold feeds."""

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
THINK_SECONDS = 0.2
SEED_RANGE = 1_000_000_000
ID_BITS = 128


class Kind(msgspec.Struct, frozen=True, kw_only=True):
    """One kind of work that customers ask for.

    :param name: name of the kind, such as ``booking``.
    :param service: the service that runs it.
    :param method: HTTP method.
    :param path: path without query.
    :param work_ms: time that it holds a slot.
    :param body_bytes: size of the body.
    :param per_second: mean rate of requests.
    """

    name: str
    service: str
    method: str
    path: str
    work_ms: int
    body_bytes: int
    per_second: float


class Sample(msgspec.Struct, kw_only=True):
    """One finished request.

    :param at: seconds since the load began.
    :param server: backend server that answered, empty when none did.
    :param broken: why the answer breaks a promise, empty when it does not.
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
    """What one feed received.

    :param broken: gaps or repeats that were seen.
    """

    service: str
    updates: int
    connections: int
    broken: list[str]


class Load:
    """Customers in front of the services.

    :param call: returns a new caller of a service, given its name and a seed.
    :param seed: seed of arrivals and bodies.
    """

    def __init__(
        self,
        call: typing.Callable[[str, int], caller.Caller],
        seed: int,
    ) -> None:
        self._call = call
        self._random = random.Random(seed)
        self._started = time.monotonic()
        self._visits: set[asyncio.Task[None]] = set()
        self.samples: list[Sample] = []
        self.feeds: list[FeedResult] = []
        self.shed_without_retry = 0

    @property
    def elapsed(self) -> float:
        """Return the seconds since the load began."""
        return time.monotonic() - self._started

    async def run_kind(self, kind: Kind, seconds: float) -> None:
        """Start visits of one kind at random times, then wait for them."""
        end = time.monotonic() + seconds
        mean_requests = (1 + MAX_REQUESTS_PER_FLOW) / 2
        while True:
            pause = self._random.expovariate(kind.per_second / mean_requests)
            if time.monotonic() + pause >= end:
                break
            await asyncio.sleep(pause)
            visit = asyncio.create_task(self._visit(kind))
            self._visits.add(visit)
            visit.add_done_callback(self._visits.discard)
        await asyncio.sleep(max(0, end - time.monotonic()))

    async def finish(self) -> None:
        """Wait for the visits that are still open."""
        while self._visits:
            await asyncio.wait(set(self._visits))

    async def run_feed(self, service: str, seconds: float) -> None:
        """Hold one feed open and check that it has no gap and no repeat."""
        customer = self._customer(service)
        result = FeedResult(service=service, updates=0, connections=0, broken=[])
        self.feeds.append(result)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._follow(customer, result), seconds)
        result.connections = customer.connected_count

    async def _follow(self, customer: caller.Caller, result: FeedResult) -> None:
        last = -1
        async for update in customer.feed('/feed'):
            if last >= 0 and update.event_id != last + 1:
                result.broken.append(f'update {update.event_id} after {last}')
            last = update.event_id
            result.updates += 1

    def _customer(self, service: str) -> caller.Caller:
        return self._call(service, self._random.randrange(SEED_RANGE))

    async def _visit(self, kind: Kind) -> None:
        """Open one flow, make a few requests, close it."""
        customer = self._customer(kind.service)
        for number in range(self._random.randint(1, MAX_REQUESTS_PER_FLOW)):
            if number:
                await asyncio.sleep(self._random.random() * THINK_SECONDS)
            await self._request(customer, kind)
        await customer.close()

    async def _request(self, customer: caller.Caller, kind: Kind) -> None:
        request_id = uuid.UUID(int=self._random.getrandbits(ID_BITS)).hex
        body = self._random.randbytes(kind.body_bytes)
        at = self.elapsed
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
        sample.broken = check_answer(outcome, sample, body)
        self.samples.append(sample)


def check_answer(outcome: caller.Outcome, sample: Sample, body: bytes) -> str:
    """Return why an outcome breaks a promise, empty when it does not.

    :param outcome: what the caller library returned.
    :param sample: the request; gets the name of the server that answered.
    :param body: the body that was sent.
    """
    if outcome.verdict is verdicts.Verdict.NOT_RUN:
        return ''
    if not outcome.is_answered:
        return f'flow broken: {outcome.reason}'
    try:
        answer = json.loads(outcome.body)
    except ValueError:
        return 'answer was cut'
    sample.server = answer['server']
    checks = {
        f'misdirected to {sample.server}': sample.server.startswith(
            f'{sample.service}-',
        ),
        'answer of another request': answer['request_id'] == sample.request_id,
        'body was not received whole': (
            answer['sha256'] == hashlib.sha256(body).hexdigest()
        ),
    }
    return ', '.join(reason for reason, is_kept in checks.items() if not is_kept)


class Totals(msgspec.Struct, kw_only=True):
    """Counts that decide whether the promises were kept."""

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
        """Tell whether every promise was kept."""
        broken = (
            self.broken_flows,
            self.misdirected,
            self.double_runs,
            self.false_not_run,
            self.broken_feeds,
        )
        return not any(broken)


def total(
    samples: typing.Sequence[Sample],
    feeds: typing.Sequence[FeedResult],
    runs_by_request: collections.Counter[str],
) -> Totals:
    """Count outcomes against the backend servers' own records.

    :param samples: the finished requests.
    :param feeds: the feeds.
    :param runs_by_request: how often each request was run, by request ID.
    """
    not_run = [each for each in samples if each.verdict == 'not-run']
    misdirected = [each for each in samples if 'isdirected' in each.broken]
    broken = [each for each in samples if each.broken]
    attempts = sum(each.attempts for each in samples)
    return Totals(
        requests=len(samples),
        answered=sum(1 for each in samples if each.server),
        not_run=len(not_run),
        broken_flows=len(broken) - len(misdirected),
        misdirected=len(misdirected),
        double_runs=sum(1 for runs in runs_by_request.values() if runs > 1),
        false_not_run=sum(1 for each in not_run if runs_by_request[each.request_id]),
        feeds=len(feeds),
        feed_updates=sum(each.updates for each in feeds),
        broken_feeds=sum(1 for each in feeds if each.broken),
        attempts_per_request=attempts / max(1, len(samples)),
    )
