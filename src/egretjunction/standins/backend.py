"""Stand-in for a backend server with slots, cold start, draining and a feed."""

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

COLD_START_SLOWDOWN = 4
DEFAULT_WORK_MS = 50
MS_PER_SECOND = 1000
HTTP_UNAVAILABLE = 503
MIN_FEED_INTERVAL_SECONDS = 0.001
MAX_SNAPSHOTS = 1000
MAX_BODY_BYTES = 1_000_000_000_000


HealthReport = dict[str, object]


class Behaviour(msgspec.Struct, kw_only=True):
    """Injected behaviour, set through ``/admin/behaviour``.

    :param is_draining: whether the health endpoint reports the draining state.
    :param says_healthy: value of ``healthy`` at the health endpoint.
    :param load_shown: load reported by the endpoints; -1 reports the real load.
    :param lag_seconds: age of the health and load that the endpoints report.
    :param cut_answers: number of responses to cut before their first byte.
    :param slowness: factor applied to the duration of every request.
    """

    is_draining: bool = False
    says_healthy: bool = True
    load_shown: int = -1
    lag_seconds: float = 0
    cut_answers: int = 0
    slowness: float = 1


class Backend:
    """State of one backend server.

    :param server_settings: validated settings of the backend server.
    """

    def __init__(self, server_settings: settings.Backend) -> None:
        self.server_settings = server_settings
        self.behaviour = Behaviour()
        self.running = 0
        self.feeds = 0
        self.connections = 0
        self.runs_by_request: collections.Counter[str] = collections.Counter()
        self.slot_seconds = float(0)
        self.most_running = 0
        self._started = time.monotonic()
        self._random = random.Random(server_settings.seed)
        self._snapshots: list[tuple[float, HealthReport]] = []

    @property
    def is_cold(self) -> bool:
        """Return whether the cold start period has not passed yet."""
        return (
            time.monotonic() - self._started < self.server_settings.cold_start_seconds
        )

    def work_seconds(self, requested_ms: float) -> float:
        """Return how long a request takes in the current state.

        :param requested_ms: duration on a warm backend server, in milliseconds.
        """
        factor = COLD_START_SLOWDOWN if self.is_cold else 1
        return requested_ms / MS_PER_SECOND * factor * self.behaviour.slowness

    def state(self) -> str:
        """Return the state reported by the health endpoint."""
        if self.behaviour.is_draining:
            return 'draining'
        return 'cold' if self.is_cold else 'warm'

    def health_report(self) -> HealthReport:
        """Return the reported health and load, delayed by the configured lag."""
        load = self.behaviour.load_shown
        report: HealthReport = {
            'state': self.state(),
            'healthy': self.behaviour.says_healthy,
            'load': self.running if load < 0 else load,
        }
        now = time.monotonic()
        self._snapshots.append((now, report))
        visible = [
            snapshot
            for snapshot in self._snapshots
            if snapshot[0] <= now - self.behaviour.lag_seconds
        ]
        self._snapshots = self._snapshots[-MAX_SNAPSHOTS:]
        return visible[-1][1] if visible else self._snapshots[0][1]


class _Handler(web.RequestHandler):
    def initialize(self, backend: Backend) -> None:
        self.backend = backend
        self.backend.connections += 1
        self.is_disconnected = False
        self.disconnected = asyncio.Event()

    @property
    def is_over_limit(self) -> bool:
        """Return whether the connection limit is exceeded."""
        return self.backend.connections > self.backend.server_settings.max_connections

    def on_finish(self) -> None:
        self.backend.connections -= 1

    def on_connection_close(self) -> None:
        self.is_disconnected = True
        self.disconnected.set()

    def shed(self) -> None:
        """Reject the request with status 503 and the not-run verdict."""
        self.set_status(HTTP_UNAVAILABLE)
        self.set_header('Retry-After', '1')
        self.set_header(http_headers.VERDICT, verdicts.Verdict.NOT_RUN.value)
        self.finish()


class _HealthHandler(_Handler):
    def get(self) -> None:
        self.finish(msgspec.json.encode(self.backend.health_report()))


class _StatsHandler(_Handler):
    def get(self) -> None:
        backend = self.backend
        self.finish(
            msgspec.json.encode(
                {
                    'name': backend.server_settings.name,
                    'runs': dict(backend.runs_by_request),
                    'slot_seconds': backend.slot_seconds,
                    'most_running': backend.most_running,
                    'running': backend.running,
                    'feeds': backend.feeds,
                },
            ),
        )


class _BehaviourHandler(_Handler):
    def post(self) -> None:
        body = self.request.body
        self.backend.behaviour = msgspec.json.decode(body, type=Behaviour)
        self.finish('{}')


@web.stream_request_body
class _WorkHandler(_Handler):
    """Occupies a slot for the requested time, then reports server and body hash."""

    def prepare(self) -> None:
        self.received_bytes = 0
        self.hash = hashlib.sha256()
        self.request.connection.set_max_body_size(MAX_BODY_BYTES)
        has_slot = self.backend.running < self.backend.server_settings.slots
        self.holds_slot = has_slot and not self.is_over_limit
        if not self.holds_slot:
            self.shed()
            return
        self.started_at = time.monotonic()
        self.backend.running += 1
        self.backend.most_running = max(self.backend.most_running, self.backend.running)
        request_id = self.request.headers.get(http_headers.REQUEST_ID, '')
        self.backend.runs_by_request[request_id] += 1

    def data_received(self, chunk: bytes) -> None:
        self.received_bytes += len(chunk)
        self.hash.update(chunk)

    async def _work(self, _path: str) -> None:
        requested_ms = float(self.get_argument('work_ms', str(DEFAULT_WORK_MS)))
        try:
            await asyncio.wait_for(
                self.disconnected.wait(), self.backend.work_seconds(requested_ms)
            )
        except TimeoutError:
            self._respond()
        else:
            raise web.Finish

    get = _work
    put = _work
    post = _work
    delete = _work

    def on_finish(self) -> None:
        super().on_finish()
        self._release_slot()

    def on_connection_close(self) -> None:
        super().on_connection_close()
        self._release_slot()

    def _release_slot(self) -> None:
        if self.holds_slot:
            self.holds_slot = False
            self.backend.running -= 1
            self.backend.slot_seconds += time.monotonic() - self.started_at

    def _respond(self) -> None:
        if self.backend.behaviour.cut_answers > 0:
            self.backend.behaviour.cut_answers -= 1
            self._release_slot()
            self.detach().close()
            raise web.Finish
        request_id = self.request.headers.get(http_headers.REQUEST_ID, '')
        response = {
            'server': self.backend.server_settings.name,
            'request_id': request_id,
            'received': self.received_bytes,
            'sha256': self.hash.hexdigest(),
            'path': self.request.path,
        }
        self.set_header(http_headers.REQUEST_ID, request_id)
        self.finish(msgspec.json.encode(response))


class _FeedHandler(_Handler):
    """Streams feed updates as they fall due, resuming after ``Last-Event-ID``."""

    async def get(self, _path: str) -> None:
        server_settings = self.backend.server_settings
        if self.is_over_limit:
            self.shed()
            return
        self.set_header('Content-Type', 'text/event-stream')
        last_id = self.request.headers.get('Last-Event-ID', '')
        next_number = (
            int(last_id) + 1 if last_id.isdigit() else self._latest_number() + 1
        )
        self.backend.feeds += 1
        try:
            await self.flush()
            while not self.is_disconnected:
                for number in range(next_number, self._latest_number() + 1):
                    self.write(f'id: {number}\ndata: update {number}\n\n')
                next_number = max(next_number, self._latest_number() + 1)
                await self.flush()
                await asyncio.sleep(server_settings.feed_interval_seconds / 4)
        except iostream.StreamClosedError:
            self.is_disconnected = True
        finally:
            self.backend.feeds -= 1

    def _latest_number(self) -> int:
        server_settings = self.backend.server_settings
        age = time.time() - server_settings.feed_epoch
        return int(
            age / max(server_settings.feed_interval_seconds, MIN_FEED_INTERVAL_SECONDS)
        )


async def run(server_settings: settings.Backend) -> None:
    """Serve requests until the process is terminated."""
    handler_options = {'backend': Backend(server_settings)}
    application = web.Application(
        [
            ('/health', _HealthHandler, handler_options),
            ('/load', _HealthHandler, handler_options),
            ('/admin/runs', _StatsHandler, handler_options),
            ('/admin/behaviour', _BehaviourHandler, handler_options),
            ('/(feed.*)', _FeedHandler, handler_options),
            ('/(.*)', _WorkHandler, handler_options),
        ],
    )
    server = httpserver.HTTPServer(application, max_body_size=MAX_BODY_BYTES)
    server.listen(server_settings.listen.port, server_settings.listen.host)
    await asyncio.Event().wait()
