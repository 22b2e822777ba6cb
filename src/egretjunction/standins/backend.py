"""Stand-in for a backend server: slots, cold start, drain, shedding, a feed."""

import asyncio
import collections
import hashlib
import random
import time

import msgspec
from tornado import httpserver
from tornado import iostream
from tornado import web

from egretjunction import settings
from egretjunction import verdicts
from egretjunction.quic import http_headers

COLD_FACTOR = 4
DEFAULT_WORK_MS = 50
MS_PER_SECOND = 1000
HTTP_UNAVAILABLE = 503
MIN_INTERVAL_SECONDS = 0.001
SHOWN_KEPT = 1000
MAX_BODY_BYTES = 1_000_000_000_000


Shown = dict[str, object]


class Behaviour(msgspec.Struct, kw_only=True):
    """What the backend server does on command.

    :param is_draining: it says that it wants to leave.
    :param says_healthy: what its health endpoint claims.
    :param load_shown: the load that its endpoint shows, -1 for the true one.
    :param lag_seconds: how old the news at its endpoints is.
    :param cut_answers: so many answers are cut before their first byte.
    :param slowness: factor on the time of all work.
    """

    is_draining: bool = False
    says_healthy: bool = True
    load_shown: int = -1
    lag_seconds: float = 0
    cut_answers: int = 0
    slowness: float = 1


class Backend:
    """State of one backend server.

    :param given: checked settings.
    """

    def __init__(self, given: settings.Backend) -> None:
        self.given = given
        self.behaviour = Behaviour()
        self.running = 0
        self.feeds = 0
        self.connections = 0
        self.runs_by_request: collections.Counter[str] = collections.Counter()
        self.slot_seconds = float(0)
        self.most_running = 0
        self._started = time.monotonic()
        self._random = random.Random(given.seed)
        self._shown: list[tuple[float, Shown]] = []

    @property
    def is_cold(self) -> bool:
        """Tell whether it has just started."""
        return time.monotonic() - self._started < self.given.cold_start_seconds

    def work_seconds(self, asked_ms: float) -> float:
        """Return how long a request takes now."""
        factor = COLD_FACTOR if self.is_cold else 1
        return asked_ms / MS_PER_SECOND * factor * self.behaviour.slowness

    def state(self) -> str:
        """Return what the health endpoint calls its state."""
        if self.behaviour.is_draining:
            return 'draining'
        return 'cold' if self.is_cold else 'warm'

    def shown(self) -> Shown:
        """Return health and load as the endpoints show them, late if so set."""
        load = self.behaviour.load_shown
        news: Shown = {
            'state': self.state(),
            'healthy': self.behaviour.says_healthy,
            'load': self.running if load < 0 else load,
        }
        now = time.monotonic()
        self._shown.append((now, news))
        due = [
            each for each in self._shown if each[0] <= now - self.behaviour.lag_seconds
        ]
        self._shown = self._shown[-SHOWN_KEPT:]
        return due[-1][1] if due else self._shown[0][1]


class _Handler(web.RequestHandler):
    def initialize(self, backend: Backend) -> None:
        self.backend = backend
        self.backend.connections += 1
        self.is_gone = False
        self.gone = asyncio.Event()

    @property
    def is_over_limit(self) -> bool:
        """Tell whether this connection is one too many."""
        return self.backend.connections > self.backend.given.max_connections

    def on_finish(self) -> None:
        self.backend.connections -= 1

    def on_connection_close(self) -> None:
        self.is_gone = True
        self.gone.set()

    def shed(self) -> None:
        """Refuse the request without running it."""
        self.set_status(HTTP_UNAVAILABLE)
        self.set_header('Retry-After', '1')
        self.set_header(http_headers.VERDICT, verdicts.Verdict.NOT_RUN.value)
        self.finish()


class _Health(_Handler):
    def get(self) -> None:
        self.finish(msgspec.json.encode(self.backend.shown()))


class _Runs(_Handler):
    def get(self) -> None:
        backend = self.backend
        self.finish(
            msgspec.json.encode(
                {
                    'name': backend.given.name,
                    'runs': dict(backend.runs_by_request),
                    'slot_seconds': backend.slot_seconds,
                    'most_running': backend.most_running,
                    'running': backend.running,
                    'feeds': backend.feeds,
                },
            ),
        )


class _Command(_Handler):
    def post(self) -> None:
        body = self.request.body
        self.backend.behaviour = msgspec.json.decode(body, type=Behaviour)
        self.finish('{}')


@web.stream_request_body
class _Work(_Handler):
    """Runs a request: reads its body, holds a slot, answers who ran it."""

    def prepare(self) -> None:
        self.received = 0
        self.hash = hashlib.sha256()
        self.request.connection.set_max_body_size(MAX_BODY_BYTES)
        has_slot = self.backend.running < self.backend.given.slots
        self.holds_slot = has_slot and not self.is_over_limit
        if not self.holds_slot:
            self.shed()
            return
        self.started = time.monotonic()
        self.backend.running += 1
        self.backend.most_running = max(self.backend.most_running, self.backend.running)
        request_id = self.request.headers.get(http_headers.REQUEST_ID, '')
        self.backend.runs_by_request[request_id] += 1

    def data_received(self, chunk: bytes) -> None:
        self.received += len(chunk)
        self.hash.update(chunk)

    async def _work(self, _path: str) -> None:
        asked = float(self.get_argument('work_ms', str(DEFAULT_WORK_MS)))
        try:
            await asyncio.wait_for(self.gone.wait(), self.backend.work_seconds(asked))
        except TimeoutError:
            self._answer()
        else:
            raise web.Finish

    get = _work
    put = _work
    post = _work
    delete = _work

    def on_finish(self) -> None:
        super().on_finish()
        self._free()

    def on_connection_close(self) -> None:
        super().on_connection_close()
        self._free()

    def _free(self) -> None:
        if self.holds_slot:
            self.holds_slot = False
            self.backend.running -= 1
            self.backend.slot_seconds += time.monotonic() - self.started

    def _answer(self) -> None:
        if self.backend.behaviour.cut_answers > 0:
            self.backend.behaviour.cut_answers -= 1
            self._free()
            self.detach().close()
            raise web.Finish
        request_id = self.request.headers.get(http_headers.REQUEST_ID, '')
        answer = {
            'server': self.backend.given.name,
            'request_id': request_id,
            'received': self.received,
            'sha256': self.hash.hexdigest(),
            'path': self.request.path,
        }
        self.set_header(http_headers.REQUEST_ID, request_id)
        self.finish(msgspec.json.encode(answer))


class _Feed(_Handler):
    """Sends the updates that fall due, from the one after Last-Event-ID."""

    async def get(self, _path: str) -> None:
        given = self.backend.given
        if self.is_over_limit:
            self.shed()
            return
        self.set_header('Content-Type', 'text/event-stream')
        last = self.request.headers.get('Last-Event-ID', '')
        wanted = int(last) + 1 if last.isdigit() else self._latest() + 1
        self.backend.feeds += 1
        try:
            await self.flush()
            while not self.is_gone:
                for number in range(wanted, self._latest() + 1):
                    self.write(f'id: {number}\ndata: update {number}\n\n')
                wanted = max(wanted, self._latest() + 1)
                await self.flush()
                await asyncio.sleep(given.feed_interval_seconds / 4)
        except iostream.StreamClosedError:
            self.is_gone = True
        finally:
            self.backend.feeds -= 1

    def _latest(self) -> int:
        given = self.backend.given
        age = time.time() - given.feed_epoch
        return int(age / max(given.feed_interval_seconds, MIN_INTERVAL_SECONDS))


async def run(given: settings.Backend) -> None:
    """Serve until the process is ended."""
    shared = {'backend': Backend(given)}
    application = web.Application(
        [
            ('/health', _Health, shared),
            ('/load', _Health, shared),
            ('/admin/runs', _Runs, shared),
            ('/admin/behaviour', _Command, shared),
            ('/(feed.*)', _Feed, shared),
            ('/(.*)', _Work, shared),
        ],
    )
    server = httpserver.HTTPServer(application, max_body_size=MAX_BODY_BYTES)
    server.listen(given.listen.port, given.listen.host)
    await asyncio.Event().wait()
