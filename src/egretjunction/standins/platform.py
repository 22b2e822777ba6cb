"""Stand-in for the platform's key-value service, with faults on command."""

import asyncio
import collections
import time

import msgspec
from tornado import httpserver
from tornado import web

from egretjunction import settings

MAX_VALUE_BYTES = 1_000_000
LEASE_EXPIRY_INTERVAL_SECONDS = 0.2
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_TOO_LARGE = 413
HTTP_TOO_MANY = 429


class Faults(msgspec.Struct, kw_only=True):
    """What goes wrong on command.

    :param is_down: no call is answered.
    :param slow_seconds: extra time of each call.
    :param lose_requests: so many writes are dropped before they take effect.
    :param lose_answers: so many writes take effect without an answer.
    :param stale: reads show each key's value before its last write.
    """

    is_down: bool = False
    slow_seconds: float = 0
    lose_requests: int = 0
    lose_answers: int = 0
    stale: bool = False


class _Put(msgspec.Struct):
    value: str
    if_revision: int
    lease: int = 0


class _Grant(msgspec.Struct):
    ttl_seconds: float


class _Stored:
    __slots__ = ('before', 'lease', 'revision', 'value')

    def __init__(self, value: str, revision: int, lease: int) -> None:
        self.value = value
        self.revision = revision
        self.lease = lease
        self.before: _Stored | None = None


def revision_of(stored: _Stored | None) -> int:
    """Return the revision of a key, 0 when there is none."""
    return 0 if stored is None else stored.revision


class Store:
    """Keys, leases and counts of calls.

    :param given: limits of the service.
    """

    def __init__(self, given: settings.Platform) -> None:
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self.stored_by_key: dict[str, _Stored] = {}
        self._given = given
        self._expiry_by_lease: dict[int, tuple[float, float]] = {}
        self._last_lease = 0
        self._last_revision = 0
        self._window_start = float(0)
        self._in_window: collections.Counter[str] = collections.Counter()
        self.changed = asyncio.Event()

    def admit(self, kind: str) -> bool:
        """Count a call and tell whether the rate limit lets it through."""
        now = time.monotonic()
        if now - self._window_start >= 1:
            self._window_start = now
            self._in_window.clear()
        self.calls[kind] += 1
        self._in_window[kind] += 1
        limits = {
            'read': self._given.reads_per_second,
            'write': self._given.writes_per_second,
        }
        return self._in_window[kind] <= limits[kind]

    def read(self, key: str) -> _Stored | None:
        """Return a key, or its older value while reads are stale."""
        stored = self.stored_by_key.get(key)
        if stored is not None and self.faults.stale and stored.before is not None:
            return stored.before
        return stored

    def put(self, key: str, body: _Put) -> int | None:
        """Write a key if its revision matches; return None when it does not."""
        stored = self.stored_by_key.get(key)
        if body.if_revision != revision_of(stored):
            return None
        self._last_revision += 1
        created = _Stored(body.value, self._last_revision, body.lease)
        created.before = stored
        if stored is not None:
            stored.before = None
        self.stored_by_key[key] = created
        self._notify()
        return created.revision

    def grant(self, ttl_seconds: float) -> int:
        """Create a lease; its number is higher than any before."""
        self._last_lease += 1
        expiry = time.monotonic() + ttl_seconds
        self._expiry_by_lease[self._last_lease] = (ttl_seconds, expiry)
        return self._last_lease

    def renew(self, lease: int) -> bool:
        """Extend a lease that has not lapsed."""
        self.expire_leases()
        if lease not in self._expiry_by_lease:
            return False
        ttl_seconds = self._expiry_by_lease[lease][0]
        self._expiry_by_lease[lease] = (ttl_seconds, time.monotonic() + ttl_seconds)
        return True

    def expire_leases(self) -> None:
        """Drop lapsed leases and the keys that hang on them."""
        now = time.monotonic()
        lapsed = {
            lease
            for lease, (_, expiry) in self._expiry_by_lease.items()
            if expiry <= now
        }
        for lease in lapsed:
            self._expiry_by_lease.pop(lease)
        for key, stored in list(self.stored_by_key.items()):
            if stored.lease in lapsed:
                self.stored_by_key.pop(key)
                self._notify()

    def _notify(self) -> None:
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
            self._cut()

    def write_error(self, status_code: int, **_ignored: object) -> None:
        self.finish(f'{{"error": {status_code}}}')

    def _cut(self) -> None:
        """Close the connection without an answer."""
        self.detach().close()
        raise web.Finish

    def _finish_write(self, answer: dict[str, int]) -> None:
        if self.store.faults.lose_answers > 0:
            self.store.faults.lose_answers -= 1
            self._cut()
        self.finish(msgspec.json.encode(answer))

    def _lose_request(self) -> None:
        if self.store.faults.lose_requests > 0:
            self.store.faults.lose_requests -= 1
            self._cut()


class _Key(_Handler):
    async def prepare(self) -> None:
        self.kind = 'read' if self.request.method == 'GET' else 'write'
        await super().prepare()

    async def get(self, key: str) -> None:
        if 'not_revision' in self.request.arguments:
            await self._wait(key)
        stored = self.store.read(key)
        if self.store.faults.is_down:
            self._cut()
        if stored is None:
            raise web.HTTPError(HTTP_NOT_FOUND)
        item = {'key': key, 'value': stored.value, 'revision': stored.revision}
        self.finish(msgspec.json.encode(item))

    def put(self, key: str) -> None:
        if len(self.request.body) > 2 * MAX_VALUE_BYTES:
            raise web.HTTPError(HTTP_TOO_LARGE)
        try:
            body = msgspec.json.decode(self.request.body, type=_Put)
        except msgspec.DecodeError as error:
            raise web.HTTPError(HTTP_BAD_REQUEST) from error
        if len(body.value.encode()) > MAX_VALUE_BYTES:
            raise web.HTTPError(HTTP_TOO_LARGE)
        self._lose_request()
        revision = self.store.put(key, body)
        if revision is None:
            raise web.HTTPError(HTTP_CONFLICT)
        self._finish_write({'revision': revision})

    async def _wait(self, key: str) -> None:
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


class _Keys(_Handler):
    def get(self) -> None:
        prefix = self.get_argument('prefix')
        items = [
            {'key': key, 'value': stored.value, 'revision': stored.revision}
            for key, stored in sorted(self.store.stored_by_key.items())
            if key.startswith(prefix)
        ]
        self.finish(msgspec.json.encode({'items': items}))


class _Leases(_Handler):
    kind = 'write'

    def post(self) -> None:
        self._lose_request()
        grant = msgspec.json.decode(self.request.body, type=_Grant)
        self._finish_write({'lease': self.store.grant(grant.ttl_seconds)})


class _Renewals(_Handler):
    kind = 'write'

    def post(self, lease: str) -> None:
        self._lose_request()
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


class _CallsHandler(web.RequestHandler):
    def initialize(self, store: Store) -> None:
        self.store = store

    def get(self) -> None:
        self.finish(msgspec.json.encode(dict(self.store.calls)))


def serve(store: Store, given: settings.Platform) -> httpserver.HTTPServer:
    """Listen for calls of the system and of tests.

    :param store: the keys.
    :param given: where to listen.
    """
    shared = {'store': store}
    application = web.Application(
        [
            ('/v1/kv', _Keys, shared),
            ('/v1/kv/(.+)', _Key, shared),
            ('/v1/leases', _Leases, shared),
            (r'/v1/leases/(\d+)/renew', _Renewals, shared),
            ('/admin/faults', _FaultsHandler, shared),
            ('/admin/calls', _CallsHandler, shared),
        ],
    )
    server = httpserver.HTTPServer(application)
    server.listen(given.listen.port, given.listen.host)
    return server


async def run(given: settings.Platform) -> None:
    """Serve until the process is ended."""
    store = Store(given)
    serve(store, given)
    while True:
        await asyncio.sleep(LEASE_EXPIRY_INTERVAL_SECONDS)
        store.expire_leases()
