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
from egretjunction.quic import backend_client
from egretjunction.quic import http_headers
from egretjunction.quic import server_flow

HTTP_BAD_REQUEST = 400
HTTP_BAD_GATEWAY = 502
HTTP_UNAVAILABLE = 503
HTTP_GATEWAY_TIMEOUT = 504


class _Request:
    """A request from its arrival to the end of its answer."""

    __slots__ = ('arrived', 'deadline', 'exchange', 'head', 'is_answering', 'stream')

    def __init__(
        self,
        stream: server_flow.Stream,
        head: backend_client.Head,
        exchange: backend_client.Exchange,
        arrived: float,
        deadline: float | None,
    ) -> None:
        self.stream = stream
        self.head = head
        self.exchange = exchange
        self.arrived = arrived
        self.deadline = deadline
        self.is_answering = False


class Requests:
    """All open requests of one agent, and the slots of its backend server.

    :param backend: the backend server.
    :param dispatcher: decides which request runs next.
    :param fitness: learns what becomes of the requests.
    :param figures: where outcomes are counted.
    """

    def __init__(
        self,
        backend: addresses.Address,
        dispatcher: dispatch.Dispatcher,
        fitness: health.Health,
        figures: metrics.Metrics,
    ) -> None:
        self._backend = backend
        self._dispatcher = dispatcher
        self._health = fitness
        self._figures = figures
        self._clock = time.monotonic
        self._request_by_stream: dict[server_flow.Stream, _Request] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def accept(
        self,
        stream: server_flow.Stream,
        service: document.Service | None,
    ) -> None:
        """Take a new request: run it, queue it or shed it."""
        if service is None:
            self._answer_soon(stream, HTTP_UNAVAILABLE, 'service is not configured')
            return
        try:
            pseudo, headers = http_headers.to_http1(stream.pairs)
        except httputil.HTTPInputError as error:
            self._answer_soon(stream, HTTP_BAD_REQUEST, str(error))
            return
        length = headers.get('Content-Length', '')
        request_class = policy.request_class(
            service,
            pseudo.get(':path', '/'),
            int(length) if length.isdigit() else None,
        )
        self._figures.count(f'requests_{request_class.value}')
        now = self._clock()
        deadline = None
        if request_class is not policy.RequestClass.FEED:
            default = service.default_deadline_seconds
            deadline = now + http_headers.seconds_to_deadline(headers, default)
        request = _Request(
            stream,
            backend_client.Head(pseudo[':method'], pseudo.get(':path', '/'), headers),
            backend_client.Exchange(self._backend),
            now,
            deadline,
        )
        self._request_by_stream[stream] = request
        if deadline is None:
            self._spawn(self._run(request))
            return
        offered = dispatch.Request(stream, request_class.size, deadline)
        self._apply(self._dispatcher.offer(offered, now))

    def cancel(self, stream: server_flow.Stream) -> None:
        """Stop a request whose caller is gone."""
        self._figures.count('requests_cancelled')
        request = self._request_by_stream.pop(stream, None)
        stream.flow.finish(stream)
        if request is None:
            return
        request.exchange.cancel()
        self._apply(self._dispatcher.cancel(stream, self._clock()))

    def expire(self) -> None:
        """Shed waiting requests that cannot meet their deadline any more."""
        self._apply(self._dispatcher.expire(self._clock()))

    def _spawn(self, work: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _apply(self, found: list[dispatch.Effect]) -> None:
        for effect in found:
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
        self._figures.count('requests_shed')
        self._request_by_stream.pop(request.stream, None)
        self._answer_soon(
            request.stream,
            HTTP_UNAVAILABLE,
            effect.reason,
            effect.retry_after_seconds,
        )

    def _answer_soon(
        self,
        stream: server_flow.Stream,
        status: int,
        reason: str,
        retry_after_seconds: float = 0,
    ) -> None:
        """Tell the caller that its request was not run."""
        pairs = http_headers.failure(
            status,
            verdicts.Verdict.NOT_RUN,
            reason,
            retry_after_seconds,
        )
        self._spawn(self._finish_with(stream, pairs))

    async def _finish_with(
        self,
        stream: server_flow.Stream,
        pairs: http_headers.Pairs,
    ) -> None:
        await stream.send_head(pairs, is_last=True)
        stream.flow.finish(stream)

    async def _run(self, request: _Request) -> None:
        """Run one request and free its slot, whatever becomes of it."""
        started = self._clock()
        self._figures.latency('queue_wait', started - request.arrived)
        left = None if request.deadline is None else request.deadline - started
        try:
            await asyncio.wait_for(self._exchange(request), left)
        except server_flow.RequestEndedError:
            request.exchange.cancel()
        except TimeoutError:
            request.exchange.cancel()
            await self._fail(request, HTTP_GATEWAY_TIMEOUT, 'deadline has passed')
        except backend_client.BackendError as error:
            await self._on_backend_error(request, error)
        finally:
            self._close(request, started)

    async def _exchange(self, request: _Request) -> None:
        stream = request.stream

        async def on_head(
            status: int,
            headers: httputil.HTTPHeaders,
        ) -> None:
            request.is_answering = True
            if http_headers.VERDICT not in headers:
                headers[http_headers.VERDICT] = verdicts.Verdict.RAN.value
            await stream.send_head(http_headers.to_http3(status, headers))

        async def on_data(part: bytes) -> None:
            try:
                await stream.send_data(part)
            except server_flow.RequestEndedError:
                stream.abandon()
                request.exchange.cancel()

        await request.exchange.run(request.head, stream.read, on_head, on_data)
        await stream.send_data(b'', is_last=True)
        self._health.record_success(self._clock())
        self._figures.count('requests_answered')

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
        """Answer with the verdict, or cut an answer that has begun."""
        verdict = verdicts.verdict_at(request.exchange.progress)
        self._figures.count(f'requests_failed_{verdict.value}'.replace('-', '_'))
        if request.is_answering:
            request.stream.reset(h3.ErrorCode.H3_INTERNAL_ERROR)
            return
        await request.stream.send_head(
            http_headers.failure(status, verdict, reason),
            is_last=True,
        )

    def _close(self, request: _Request, started: float) -> None:
        now = self._clock()
        self._figures.latency('request', now - started)
        self._request_by_stream.pop(request.stream, None)
        request.stream.flow.finish(request.stream)
        self._apply(self._dispatcher.finish(request.stream, now))
