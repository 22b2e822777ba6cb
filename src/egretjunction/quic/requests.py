"""Runs the requests of an agent's flows on its backend server."""

import asyncio
import time
import typing

from aioquic.h3 import connection as h3
from tornado import httputil

from egretjunction import addresses
from egretjunction import logs
from egretjunction import metrics
from egretjunction import verdicts
from egretjunction.decisions import dispatch
from egretjunction.decisions import document
from egretjunction.decisions import health
from egretjunction.decisions import policy
from egretjunction.decisions import retries
from egretjunction.quic import backend_client
from egretjunction.quic import http_headers
from egretjunction.quic import server_flow

HTTP_BAD_REQUEST = 400
HTTP_BAD_GATEWAY = 502
HTTP_UNAVAILABLE = 503
HTTP_GATEWAY_TIMEOUT = 504


class _Request:
    """A request from its arrival to the end of its response."""

    __slots__ = (
        'arrived_at',
        'deadline',
        'exchange',
        'has_response_started',
        'head',
        'retry_policy',
        'stream',
    )

    def __init__(
        self,
        stream: server_flow.Stream,
        head: backend_client.RequestHead,
        exchange: backend_client.Exchange,
        arrived_at: float,
        deadline: float | None,
        retry_policy: http_headers.HeaderList,
    ) -> None:
        self.retry_policy = retry_policy
        self.stream = stream
        self.head = head
        self.exchange = exchange
        self.arrived_at = arrived_at
        self.deadline = deadline
        self.has_response_started = False


class RequestRunner:
    """Runs the open requests of one agent in the slots of its backend server.

    :param backend: address of the backend server.
    :param dispatcher: decides which request runs next.
    :param backend_health: records the outcome of each request.
    :param process_metrics: counts requests and measures latencies.
    """

    def __init__(
        self,
        backend: addresses.Address,
        dispatcher: dispatch.Dispatcher,
        backend_health: health.Health,
        process_metrics: metrics.Metrics,
    ) -> None:
        self._backend = backend
        self._dispatcher = dispatcher
        self._health = backend_health
        self._metrics = process_metrics
        self._clock = time.monotonic
        self._request_by_stream: dict[server_flow.Stream, _Request] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def accept(
        self,
        stream: server_flow.Stream,
        service: document.Service | None,
    ) -> None:
        """Accept a new request: run it, queue it or shed it."""
        if service is None:
            self._respond_not_run(stream, HTTP_UNAVAILABLE, 'service is not configured')
            return
        try:
            pseudo_headers, headers = http_headers.to_http1(stream.header_list)
        except httputil.HTTPInputError as error:
            self._respond_not_run(stream, HTTP_BAD_REQUEST, str(error))
            return
        content_length = headers.get('Content-Length', '')
        request_class = policy.request_class(
            service,
            pseudo_headers.get(':path', '/'),
            int(content_length) if content_length.isdigit() else None,
        )
        self._metrics.count(f'requests_{request_class.value}')
        now = self._clock()
        deadline = None
        if request_class is not policy.RequestClass.FEED:
            default_seconds = service.default_deadline_seconds
            deadline = now + http_headers.seconds_to_deadline(headers, default_seconds)
        request = _Request(
            stream,
            backend_client.RequestHead(
                pseudo_headers[':method'], pseudo_headers.get(':path', '/'), headers
            ),
            backend_client.Exchange(self._backend),
            now,
            deadline,
            http_headers.from_retry_policy(
                retries.Policy(service.retry_percent, service.idempotent_methods)
            ),
        )
        self._request_by_stream[stream] = request
        if deadline is None:
            self._spawn(self._run(request))
            return
        queued_request = dispatch.Request(stream, request_class.size, deadline)
        self._apply(self._dispatcher.offer(queued_request, now))

    def cancel(self, stream: server_flow.Stream) -> None:
        """Cancel a request that its caller gave up."""
        self._metrics.count('requests_cancelled')
        request = self._request_by_stream.pop(stream, None)
        stream.flow.finish(stream)
        if request is None:
            return
        request.exchange.cancel()
        self._apply(self._dispatcher.cancel(stream, self._clock()))

    def expire(self) -> None:
        """Shed waiting requests that can no longer meet their deadline."""
        self._apply(self._dispatcher.expire(self._clock()))

    def _spawn(self, coroutine: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _apply(self, effects: list[dispatch.Effect]) -> None:
        for effect in effects:
            request = self._request_by_stream.get(
                typing.cast('server_flow.Stream', effect.key)
            )
            if request is None:
                continue
            if isinstance(effect, dispatch.Start):
                self._spawn(self._run(request))
            elif isinstance(effect, dispatch.Shed):
                self._shed(request, effect)

    def _shed(self, request: _Request, effect: dispatch.Shed) -> None:
        self._metrics.count('requests_shed')
        self._request_by_stream.pop(request.stream, None)
        self._respond_not_run(
            request.stream,
            HTTP_UNAVAILABLE,
            effect.reason,
            effect.retry_after_seconds,
        )

    def _respond_not_run(
        self,
        stream: server_flow.Stream,
        status: int,
        reason: str,
        retry_after_seconds: float = 0,
    ) -> None:
        """Send an error response with the verdict that the request was not run."""
        header_list = http_headers.failure(
            status,
            verdicts.Verdict.NOT_RUN,
            reason,
            retry_after_seconds,
        )
        self._spawn(self._send_and_finish(stream, header_list))

    async def _send_and_finish(
        self,
        stream: server_flow.Stream,
        header_list: http_headers.HeaderList,
    ) -> None:
        await stream.send_response_headers(header_list, is_last=True)
        stream.flow.finish(stream)

    async def _run(self, request: _Request) -> None:
        """Run one request and release its slot, whatever the outcome."""
        started_at = self._clock()
        self._metrics.latency('queue_wait', started_at - request.arrived_at)
        remaining_seconds = (
            None if request.deadline is None else request.deadline - started_at
        )
        try:
            await asyncio.wait_for(self._run_exchange(request), remaining_seconds)
        except server_flow.RequestEndedError:
            request.exchange.cancel()
        except TimeoutError:
            request.exchange.cancel()
            await self._fail(request, HTTP_GATEWAY_TIMEOUT, 'deadline has passed')
        except backend_client.BackendError as error:
            await self._on_backend_error(request, error)
        finally:
            self._release_slot(request, started_at)

    async def _run_exchange(self, request: _Request) -> None:
        stream = request.stream

        async def on_headers(
            status: int,
            headers: httputil.HTTPHeaders,
        ) -> None:
            request.has_response_started = True
            if http_headers.VERDICT not in headers:
                headers[http_headers.VERDICT] = verdicts.Verdict.RAN.value
            await stream.send_response_headers(
                http_headers.to_http3(status, headers) + request.retry_policy
            )

        async def on_data(chunk: bytes) -> None:
            try:
                await stream.send_data(chunk)
            except server_flow.RequestEndedError:
                stream.mark_cancelled()
                request.exchange.cancel()

        await request.exchange.run(request.head, stream.read, on_headers, on_data)
        await stream.send_data(b'', is_last=True)
        self._health.record_success(self._clock())
        self._metrics.count('requests_answered')

    async def _on_backend_error(
        self,
        request: _Request,
        error: backend_client.BackendError,
    ) -> None:
        if request.stream.is_cancelled:
            return
        if error.progress < verdicts.Progress.SENT:
            self._health.record_refused()
        else:
            self._health.record_failure(self._clock())
        logs.get().warning(
            'backend_server_failed',
            error=str(error),
            progress=error.progress.name.lower(),
            path=request.head.path,
        )
        is_unsent = error.progress < verdicts.Progress.SENT
        status = HTTP_UNAVAILABLE if is_unsent else HTTP_BAD_GATEWAY
        await self._fail(request, status, 'backend server failed')

    async def _fail(self, request: _Request, status: int, reason: str) -> None:
        """Send an error response with the verdict, or reset a response under way."""
        verdict = verdicts.verdict_at(request.exchange.progress)
        self._metrics.count(f'requests_failed_{verdict.value}'.replace('-', '_'))
        if request.has_response_started:
            request.stream.reset(h3.ErrorCode.H3_INTERNAL_ERROR)
            return
        await request.stream.send_response_headers(
            http_headers.failure(status, verdict, reason) + request.retry_policy,
            is_last=True,
        )

    def _release_slot(self, request: _Request, started_at: float) -> None:
        now = self._clock()
        self._metrics.latency('request', now - started_at)
        self._request_by_stream.pop(request.stream, None)
        request.stream.flow.finish(request.stream)
        self._apply(self._dispatcher.finish(request.stream, now))
