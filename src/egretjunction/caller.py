"""The caller library: requests with deadlines and verdicts, and resumable feeds."""

import asyncio
import random
import time
import typing
import uuid

from egretjunction import addresses
from egretjunction import verdicts
from egretjunction.decisions import retries
from egretjunction.quic import caller_flow
from egretjunction.quic import connections
from egretjunction.quic import feeds
from egretjunction.quic import http_headers

DEFAULT_DEADLINE_SECONDS = 30.0
FEED_RETRY_SECONDS = 0.2
PROBE_SECONDS = 0.7
SILENT_SECONDS = 2.5


class Outcome:
    """The outcome of a request.

    :param verdict: whether the request may have run.
    :param status: HTTP status, 0 when there was no response.
    :param headers: header fields of the response, pseudo-headers included.
    :param body: body of the response.
    :param attempts: number of attempts.
    :param seconds: time from the call to the outcome.
    :param reason: short text when there is no usable response.
    """

    __slots__ = (
        'attempts',
        'body',
        'headers',
        'reason',
        'seconds',
        'status',
        'verdict',
    )

    def __init__(
        self,
        verdict: verdicts.Verdict,
        status: int = 0,
        headers: dict[str, str] | None = None,
        body: bytes = b'',
        reason: str = '',
    ) -> None:
        self.verdict = verdict
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.reason = reason
        self.attempts = 1
        self.seconds = float(0)

    @property
    def is_answered(self) -> bool:
        """Return whether the backend server sent a complete response."""
        return self.verdict is verdicts.Verdict.RAN and bool(self.status)


class _Call:
    """A request as it is sent at each attempt, with the number of the attempt."""

    __slots__ = (
        'attempts',
        'body',
        'deadline',
        'headers',
        'is_idempotent',
        'method',
        'path',
    )

    def __init__(
        self,
        *,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        deadline: float,
        is_idempotent: bool | None,
    ) -> None:
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.deadline = deadline
        self.is_idempotent = is_idempotent
        self.attempts = 1


class Caller:
    """A client of one service, which reuses one connection for its requests.

    :param service: address of the service.
    :param server_name: name in the service's certificate.
    :param authority_file: PEM file of the authority that signed the certificate.
    :param seed: seed of the retry jitter, None for a random one.
    """

    def __init__(
        self,
        service: addresses.Address,
        server_name: str,
        authority_file: str,
        seed: int | None = None,
    ) -> None:
        self._service = service
        self._server_name = server_name
        self._authority_file = authority_file
        self._random = random.Random(seed)
        self._budget = retries.Budget()
        self._retry_policy = retries.Policy()
        self._flow: caller_flow.CallerFlow | None = None
        self._flow_lock = asyncio.Lock()
        self.connected_count = 0

    async def request(
        self,
        method: str,
        path: str,
        *,
        headers: dict[str, str] | None = None,
        body: bytes = b'',
        deadline_seconds: float = DEFAULT_DEADLINE_SECONDS,
        is_idempotent: bool | None = None,
    ) -> Outcome:
        """Make a request; retry it within the deadline while that is safe.

        A request that was not run is retried, one that may have run only if it is
        idempotent.

        :param method: HTTP method.
        :param path: path and query.
        :param headers: additional header fields, with lower-case names.
        :param body: complete body.
        :param deadline_seconds: time until the caller stops waiting.
        :param is_idempotent: whether it may run twice; None to decide by the service's
            configured methods, or by those of HTTP until its first response.
        """
        started_at = time.monotonic()
        fields = {http_headers.REQUEST_ID: uuid.uuid4().hex, **(headers or {})}
        call = _Call(
            method=method,
            path=path,
            headers=fields,
            body=body,
            deadline=started_at + deadline_seconds,
            is_idempotent=is_idempotent,
        )
        self._budget.deposit(self._retry_policy.retry_percent)
        outcome = await self._attempt_until_settled(call)
        outcome.seconds = time.monotonic() - started_at
        return outcome

    async def feed(
        self, path: str, last_id: int = -1
    ) -> typing.AsyncIterator[feeds.Update]:
        """Yield the updates of a feed, each once and in order, until closed.

        When a connection ends or fails, the feed reconnects, possibly to another
        backend server, and resumes after the last update that was yielded.

        :param path: path of the feed.
        :param last_id: number of the last update that was received, -1 for none.
        :raises errors.FeedRefusedError: when the server refuses the feed with a status
            that a new attempt does not change, such as 404.
        """
        attempts = 0
        while True:
            attempts += 1
            async for update in self._feed_until_broken(path, last_id, attempts):
                attempts = 0
                last_id = update.event_id
                yield update
            await asyncio.sleep(FEED_RETRY_SECONDS * self._random.random())

    async def _feed_until_broken(
        self,
        path: str,
        last_id: int,
        attempts: int,
    ) -> typing.AsyncIterator[feeds.Update]:
        """Yield new updates from one connection until it ends or fails."""
        try:
            async for update in self._feed_once(path, last_id, attempts):
                if update.event_id > last_id:
                    last_id = update.event_id
                    yield update
        except caller_flow.FlowError:
            await asyncio.sleep(FEED_RETRY_SECONDS)

    async def close(self) -> None:
        """Close the connection that requests use."""
        self._drop_flow()
        await asyncio.sleep(0)

    async def _attempt_until_settled(self, call: _Call) -> Outcome:
        attempts = 0
        overall_verdict = verdicts.Verdict.NOT_RUN
        while True:
            attempts += 1
            call.attempts = attempts
            outcome = await self._attempt(call)
            outcome.attempts = attempts
            if outcome.is_answered:
                return outcome
            overall_verdict = verdicts.over_attempts(overall_verdict, outcome.verdict)
            outcome.verdict = overall_verdict
            delay = retries.delay_before_retry(
                retries.Failure(
                    overall_verdict, attempts, _retry_after_seconds(outcome)
                ),
                self._may_run_twice(call),
                call.deadline - time.monotonic(),
                self._budget,
                self._random.random(),
            )
            if delay is None:
                return outcome
            await asyncio.sleep(delay)
            self._drop_flow()

    async def _attempt(self, call: _Call) -> Outcome:
        remaining_seconds = call.deadline - time.monotonic()
        responses: list[caller_flow.Response] = []
        try:
            return await asyncio.wait_for(
                self._exchange(call, responses), remaining_seconds
            )
        except TimeoutError:
            verdict = responses[0].verdict if responses else verdicts.Verdict.NOT_RUN
            return Outcome(verdict, reason='deadline has passed')
        except caller_flow.FlowError as error:
            return Outcome(error.verdict, reason=str(error))

    async def _exchange(
        self,
        call: _Call,
        responses: list[caller_flow.Response],
    ) -> Outcome:
        max_wait_seconds = retries.handshake_seconds(call.attempts)
        flow = await self._usable_flow(max_wait_seconds)
        remaining_ms = int(
            (call.deadline - time.monotonic()) * http_headers.MS_PER_SECOND
        )
        fields = {**call.headers, http_headers.DEADLINE_MS: str(max(1, remaining_ms))}
        header_list = self._header_list(call.method, call.path, fields, len(call.body))
        stream_id, response = flow.start_request(header_list, has_body=bool(call.body))
        responses.append(response)
        try:
            await flow.send_body(stream_id, response, call.body)
            may_run_twice = self._may_run_twice(call)
            max_wait_seconds = SILENT_SECONDS if may_run_twice else float('inf')
            await _wait_for_complete_response(flow, response, max_wait_seconds)
        finally:
            flow.cancel(stream_id)
        self._adopt_retry_policy(response.headers)
        return Outcome(
            response.verdict,
            response.status,
            response.headers,
            bytes(response.body),
            response.headers.get(http_headers.REASON, ''),
        )

    def _adopt_retry_policy(self, headers: dict[str, str]) -> None:
        self._retry_policy = http_headers.to_retry_policy(headers) or self._retry_policy

    def _may_run_twice(self, call: _Call) -> bool:
        if call.is_idempotent is None:
            return call.method in self._retry_policy.idempotent_methods
        return call.is_idempotent

    def _header_list(
        self,
        method: str,
        path: str,
        fields: dict[str, str],
        body_bytes: int,
    ) -> http_headers.HeaderList:
        header_list = [
            (b':method', method.encode()),
            (b':scheme', b'https'),
            (b':authority', self._server_name.encode()),
            (b':path', path.encode()),
        ]
        header_list.extend(
            (name.encode(), value.encode()) for name, value in fields.items()
        )
        if body_bytes:
            header_list.append((b'content-length', str(body_bytes).encode()))
        return header_list

    async def _usable_flow(self, timeout_seconds: float) -> caller_flow.CallerFlow:
        async with self._flow_lock:
            if self._flow is None or not self._flow.is_usable:
                self._drop_flow()
                self._flow = await self._connect(timeout_seconds)
            return self._flow

    async def _connect(self, timeout_seconds: float) -> caller_flow.CallerFlow:
        self.connected_count += 1
        configuration = connections.client_configuration(
            self._server_name,
            self._authority_file,
        )
        return await caller_flow.connect(self._service, configuration, timeout_seconds)

    def _drop_flow(self) -> None:
        flow = self._flow
        self._flow = None
        if flow is None:
            return
        if flow.is_idle:
            caller_flow.close(flow)
        else:
            asyncio.get_running_loop().create_task(_close_when_idle(flow))

    async def _feed_once(
        self,
        path: str,
        last_id: int,
        attempts: int,
    ) -> typing.AsyncIterator[feeds.Update]:
        """Yield updates from a new connection until its feed ends or GOAWAY arrives."""
        flow = await self._connect(retries.handshake_seconds(max(1, attempts)))
        fields = {'accept': 'text/event-stream'}
        if last_id >= 0:
            fields['last-event-id'] = str(last_id)
        try:
            header_list = self._header_list('GET', path, fields, 0)
            stream_id, response = flow.start_request(header_list, has_body=False)
            async for update in feeds.updates(flow, response):
                yield update
            flow.cancel(stream_id)
        finally:
            caller_flow.close(flow)


async def _wait_for_complete_response(
    flow: caller_flow.CallerFlow,
    response: caller_flow.Response,
    max_silence_seconds: float,
) -> None:
    """Wait for a complete response; send probes while nothing arrives.

    A probe reaches the agent through a live entry, which can carry the response if
    the entry that the agent used before has died. A server that acknowledges no
    probes is given up after ``max_silence_seconds`` if the request may be retried;
    otherwise the response is awaited until the deadline.

    :param max_silence_seconds: time without a datagram after which the connection
        counts as lost, infinite if the request must not be retried.
    :raises FlowError: when the response failed or the server is silent.
    """
    while not response.is_complete:
        try:
            await asyncio.wait_for(response.wait(), PROBE_SECONDS)
        except TimeoutError:
            flow.probe(max_silence_seconds)


async def _close_when_idle(flow: caller_flow.CallerFlow) -> None:
    while not flow.is_idle and not flow.is_closed:
        await asyncio.sleep(FEED_RETRY_SECONDS)
    caller_flow.close(flow)


def _retry_after_seconds(outcome: Outcome) -> float:
    """Return the retry delay that a response asks for in seconds, 0 for none."""
    milliseconds = outcome.headers.get(http_headers.RETRY_AFTER_MS, '')
    if milliseconds.isdigit():
        return int(milliseconds) / http_headers.MS_PER_SECOND
    seconds = outcome.headers.get('retry-after', '')
    return float(seconds) if seconds.isdigit() else 0
