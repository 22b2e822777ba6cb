"""Stand-in for the platform's key-value service, with fault injection."""

import asyncio
import collections
import time

import msgspec
from tornado import httpserver
from tornado import web

from egretjunction import settings

MAX_VALUE_BYTES = 1_000_000
LEASE_EXPIRY_INTERVAL_SECONDS = 0.2
MAX_COPIES = 200  # older contents that the store may be restored from
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_TOO_LARGE = 413
HTTP_TOO_MANY = 429


class Faults(msgspec.Struct, kw_only=True):
    """Injected faults, set through ``/admin/faults``.

    :param is_down: whether every connection is closed without a response.
    :param slow_seconds: latency added to each call.
    :param lose_requests: number of writes to drop before they take effect.
    :param lose_answers: number of writes that take effect without a response.
    :param stale: whether reads return the value before the last write of a key.
    """

    is_down: bool = False
    slow_seconds: float = 0
    lose_requests: int = 0
    lose_answers: int = 0
    stale: bool = False


class _PutRequest(msgspec.Struct):
    value: str
    if_revision: int
    lease: int = 0


class _RestoreRequest(msgspec.Struct):
    seconds: float


class _Copy(msgspec.Struct):
    """Contents of the store after a change.

    :param made_at: time of the change on the monotonic clock.
    :param expiry_by_lease: time to live and expiry of each lease, in seconds.
    """

    made_at: float
    stored_by_key: dict[str, '_StoredValue']
    last_revision: int
    last_lease: int
    expiry_by_lease: dict[int, tuple[float, float]]


class _LeaseRequest(msgspec.Struct):
    ttl_seconds: float


class _StoredValue:
    __slots__ = ('lease', 'previous', 'revision', 'value')

    def __init__(self, value: str, revision: int, lease: int) -> None:
        self.value = value
        self.revision = revision
        self.lease = lease
        self.previous: _StoredValue | None = None


def revision_of(stored: _StoredValue | None) -> int:
    """Return the revision of a stored value, 0 when the key does not exist."""
    return 0 if stored is None else stored.revision


class Store:
    """Stored keys, leases and call counters.

    ``era`` rises by one each time when the store is restored from an older copy.

    :param platform_settings: rate limits of the service.
    """

    def __init__(self, platform_settings: settings.Platform) -> None:
        self.era = 1
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self.stored_by_key: dict[str, _StoredValue] = {}
        self._platform_settings = platform_settings
        self._expiry_by_lease: dict[int, tuple[float, float]] = {}
        self._last_lease = 0
        self._last_revision = 0
        self._window_start = float(0)
        self._calls_in_window: collections.Counter[str] = collections.Counter()
        self.changed = asyncio.Event()
        self._copies: collections.deque[_Copy] = collections.deque(maxlen=MAX_COPIES)
        self._keep_copy()

    def restore(self, seconds: float) -> None:
        """Restore the contents of some seconds ago; what was written since is lost.

        Revisions and leases granted since are given out again.

        :param seconds: age of the copy; the oldest one is taken when none is as old.
        """
        before = time.monotonic() - seconds
        older = [copy for copy in self._copies if copy.made_at <= before]
        copy = older[-1] if older else self._copies[0]
        self.stored_by_key = dict(copy.stored_by_key)
        self._last_revision = copy.last_revision
        self._last_lease = copy.last_lease
        self._expiry_by_lease = dict(copy.expiry_by_lease)
        self.era += 1
        self._copies.clear()
        self._notify()

    def admit(self, kind: str) -> bool:
        """Count a call and return whether the rate limit admits it.

        :param kind: ``read`` or ``write``; each has its own limit.
        """
        now = time.monotonic()
        if now - self._window_start >= 1:
            self._window_start = now
            self._calls_in_window.clear()
        self.calls[kind] += 1
        self._calls_in_window[kind] += 1
        limits = {
            'read': self._platform_settings.reads_per_second,
            'write': self._platform_settings.writes_per_second,
        }
        return self._calls_in_window[kind] <= limits[kind]

    def read(self, key: str) -> _StoredValue | None:
        """Return the value of a key, or its previous value while reads are stale."""
        stored = self.stored_by_key.get(key)
        if stored is not None and self.faults.stale and stored.previous is not None:
            return stored.previous
        return stored

    def put(self, key: str, body: _PutRequest) -> int | None:
        """Write a key and return its new revision, or None on a revision conflict."""
        stored = self.stored_by_key.get(key)
        if body.if_revision != revision_of(stored):
            return None
        self._last_revision += 1
        created = _StoredValue(body.value, self._last_revision, body.lease)
        created.previous = stored
        if stored is not None:
            stored.previous = None
        self.stored_by_key[key] = created
        self._notify()
        return created.revision

    def grant(self, ttl_seconds: float) -> int:
        """Create a lease and return its number; numbers only increase."""
        self._last_lease += 1
        expiry = time.monotonic() + ttl_seconds
        self._expiry_by_lease[self._last_lease] = (ttl_seconds, expiry)
        self._keep_copy()
        return self._last_lease

    def renew(self, lease: int) -> bool:
        """Extend a lease and return True, or return False when it has expired."""
        self.expire_leases()
        if lease not in self._expiry_by_lease:
            return False
        ttl_seconds = self._expiry_by_lease[lease][0]
        self._expiry_by_lease[lease] = (ttl_seconds, time.monotonic() + ttl_seconds)
        return True

    def expire_leases(self) -> None:
        """Remove expired leases and the keys attached to them."""
        now = time.monotonic()
        expired = {
            lease
            for lease, (_, expiry) in self._expiry_by_lease.items()
            if expiry <= now
        }
        for lease in expired:
            self._expiry_by_lease.pop(lease)
        for key, stored in list(self.stored_by_key.items()):
            if stored.lease in expired:
                self.stored_by_key.pop(key)
                self._notify()

    def _keep_copy(self) -> None:
        copy = _Copy(
            time.monotonic(),
            dict(self.stored_by_key),
            self._last_revision,
            self._last_lease,
            dict(self._expiry_by_lease),
        )
        self._copies.append(copy)

    def _notify(self) -> None:
        self._keep_copy()
        self.changed.set()
        self.changed = asyncio.Event()


class _Handler(web.RequestHandler):
    kind = 'read'

    def initialize(self, store: Store) -> None:
        self.store = store

    async def prepare(self) -> None:
        if not self.store.admit(self.kind):
            raise web.HTTPError(HTTP_TOO_MANY)
        if self.store.faults.slow_seconds:
            await asyncio.sleep(self.store.faults.slow_seconds)
        if self.store.faults.is_down:
            self._drop_connection()

    def finish(self, chunk: str | bytes | None = None) -> 'asyncio.Future[None]':
        """Finish the response, which states the era of the store."""
        self.set_header('Store-Era', str(self.store.era))
        return super().finish(chunk)

    def write_error(self, status_code: int, **_options: object) -> None:
        self.finish(f'{{"error": {status_code}}}')

    def _drop_connection(self) -> None:
        """Close the connection without a response."""
        self.detach().close()
        raise web.Finish

    def _finish_write(self, response: dict[str, int]) -> None:
        if self.store.faults.lose_answers > 0:
            self.store.faults.lose_answers -= 1
            self._drop_connection()
        self.finish(msgspec.json.encode(response))

    def _inject_request_loss(self) -> None:
        if self.store.faults.lose_requests > 0:
            self.store.faults.lose_requests -= 1
            self._drop_connection()


class _KeyHandler(_Handler):
    async def prepare(self) -> None:
        self.kind = 'read' if self.request.method == 'GET' else 'write'
        await super().prepare()

    async def get(self, key: str) -> None:
        era = self.store.era
        if 'not_revision' in self.request.arguments:
            await self._wait_for_change(key)
        stored = self.store.read(key)
        if self.store.faults.is_down or self.store.era != era:
            self._drop_connection()
        if stored is None:
            raise web.HTTPError(HTTP_NOT_FOUND)
        item = {'key': key, 'value': stored.value, 'revision': stored.revision}
        self.finish(msgspec.json.encode(item))

    def put(self, key: str) -> None:
        if len(self.request.body) > 2 * MAX_VALUE_BYTES:
            raise web.HTTPError(HTTP_TOO_LARGE)
        try:
            body = msgspec.json.decode(self.request.body, type=_PutRequest)
        except msgspec.DecodeError as error:
            raise web.HTTPError(HTTP_BAD_REQUEST) from error
        if len(body.value.encode()) > MAX_VALUE_BYTES:
            raise web.HTTPError(HTTP_TOO_LARGE)
        self._inject_request_loss()
        revision = self.store.put(key, body)
        if revision is None:
            raise web.HTTPError(HTTP_CONFLICT)
        self._finish_write({'revision': revision})

    async def _wait_for_change(self, key: str) -> None:
        revision = int(self.get_argument('not_revision'))
        deadline = time.monotonic() + float(self.get_argument('wait_seconds', '0'))
        while time.monotonic() < deadline and not self.store.faults.is_down:
            stored = self.store.read(key)
            if revision_of(stored) != revision:
                return
            changed = self.store.changed
            try:
                await asyncio.wait_for(changed.wait(), deadline - time.monotonic())
            except TimeoutError:
                return


class _KeyListHandler(_Handler):
    def get(self) -> None:
        prefix = self.get_argument('prefix')
        items = [
            {'key': key, 'value': stored.value, 'revision': stored.revision}
            for key, stored in sorted(self.store.stored_by_key.items())
            if key.startswith(prefix)
        ]
        self.finish(msgspec.json.encode({'items': items}))


class _LeasesHandler(_Handler):
    kind = 'write'

    def post(self) -> None:
        self._inject_request_loss()
        grant = msgspec.json.decode(self.request.body, type=_LeaseRequest)
        self._finish_write({'lease': self.store.grant(grant.ttl_seconds)})


class _RenewalsHandler(_Handler):
    kind = 'write'

    def post(self, lease: str) -> None:
        self._inject_request_loss()
        if not self.store.renew(int(lease)):
            raise web.HTTPError(HTTP_NOT_FOUND)
        self._finish_write({'lease': int(lease)})


class _FaultsHandler(web.RequestHandler):
    def initialize(self, store: Store) -> None:
        self.store = store

    def post(self) -> None:
        self.store.faults = msgspec.json.decode(self.request.body, type=Faults)
        self.store.changed.set()
        self.store.changed = asyncio.Event()
        self.finish('{}')


class _RestoreHandler(web.RequestHandler):
    def initialize(self, store: Store) -> None:
        self.store = store

    def post(self) -> None:
        body = msgspec.json.decode(self.request.body, type=_RestoreRequest)
        self.store.restore(body.seconds)
        self.finish('{}')


class _CallsHandler(web.RequestHandler):
    def initialize(self, store: Store) -> None:
        self.store = store

    def get(self) -> None:
        self.finish(msgspec.json.encode(dict(self.store.calls)))


def serve(store: Store, platform_settings: settings.Platform) -> httpserver.HTTPServer:
    """Listen for API calls and for fault injection.

    :param store: the store to serve.
    :param platform_settings: settings with the address to listen on.
    :return: the started HTTP server.
    """
    handler_options = {'store': store}
    application = web.Application(
        [
            ('/v1/kv', _KeyListHandler, handler_options),
            ('/v1/kv/(.+)', _KeyHandler, handler_options),
            ('/v1/leases', _LeasesHandler, handler_options),
            (r'/v1/leases/(\d+)/renew', _RenewalsHandler, handler_options),
            ('/admin/faults', _FaultsHandler, handler_options),
            ('/admin/restore', _RestoreHandler, handler_options),
            ('/admin/calls', _CallsHandler, handler_options),
        ],
    )
    server = httpserver.HTTPServer(application)
    server.listen(platform_settings.listen.port, platform_settings.listen.host)
    return server


async def run(platform_settings: settings.Platform) -> None:
    """Serve requests and expire leases until the process is terminated."""
    store = Store(platform_settings)
    serve(store, platform_settings)
    while True:
        await asyncio.sleep(LEASE_EXPIRY_INTERVAL_SECONDS)
        store.expire_leases()
