"""Client of the platform's key-value service: compare-and-swap, leases, watches."""

import typing

import msgspec
from tornado import httpclient
from tornado import httputil
from tornado import iostream
from tornado import simple_httpclient
from tornado import tcpclient

from egretjunction import _decoding
from egretjunction import _tcp
from egretjunction import errors
from egretjunction import store

HEAD_KEY = 'config/head'
ENTRIES_PREFIX = 'entries/'
CALL_TIMEOUT_SECONDS = 3.0
WATCH_SECONDS = 30.0
ERA_HEADER = 'Store-Era'
WATCH_GRACE_SECONDS = 5.0  # added to WATCH_SECONDS for the timeout of the call
MAX_VALUE_BYTES = 1_000_000
MAX_CONCURRENT_CALLS = 20
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_SERVER_ERROR = 500


class _Item(msgspec.Struct):
    """An item in the service's JSON format."""

    key: str
    value: str
    revision: int

    def to_item(self, era: int) -> store.Item:
        """Return the item, read in an era of the service, as a ``store.Item``."""
        return store.Item(self.key, self.value.encode(), self.revision, era)


class _Items(msgspec.Struct):
    items: list[_Item]


class _Revision(msgspec.Struct):
    revision: int


class _Lease(msgspec.Struct):
    lease: int


class _ProbingTCPClient(tcpclient.TCPClient):
    """Opens connections that fail when the other end no longer acknowledges probes."""

    async def connect(
        self, *arguments: typing.Any, **options: typing.Any
    ) -> iostream.IOStream:
        """Connect like the base class."""
        stream = await super().connect(*arguments, **options)
        _tcp.enable_keepalive(stream.socket)
        return stream


class Platform:
    """Client of the service at a base URL.

    :param url: base URL, for example ``http://127.0.0.1:7900``.
    """

    __slots__ = ('_client', '_url')

    def __init__(self, url: str) -> None:
        self._url = url.rstrip('/')
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CONCURRENT_CALLS,
        )
        self._client.tcp_client = _ProbingTCPClient()

    async def get(self, key: str) -> store.Item:
        """Return the item of a key, with revision 0 when the key does not exist.

        :raises errors.PlatformUnavailableError: when the read fails.
        """
        return await self._read(f'/v1/kv/{key}', key, CALL_TIMEOUT_SECONDS)

    async def watch(self, key: str, revision: int) -> store.Item:
        """Wait for a change of a key with a long poll of up to ``WATCH_SECONDS``.

        :param key: the key.
        :param revision: the known revision; any other one ends the wait.
        :return: the current item, unchanged when the wait timed out.
        :raises errors.PlatformUnavailableError: when the read fails.
        """
        query = f'?not_revision={revision}&wait_seconds={WATCH_SECONDS}'
        timeout_seconds = WATCH_SECONDS + WATCH_GRACE_SECONDS
        return await self._read(f'/v1/kv/{key}{query}', key, timeout_seconds)

    async def list_prefix(self, prefix: str) -> list[store.Item]:
        """Return the items whose key starts with a prefix.

        :raises errors.PlatformUnavailableError: when the read fails.
        """
        try:
            response = await self._call('GET', f'/v1/kv?prefix={prefix}')
            listing = _decoding.decode_json(response.body, _Items)
            era = _read_era(response.headers)
            return [item.to_item(era) for item in listing.items]
        except (OSError, httpclient.HTTPError, msgspec.DecodeError) as error:
            raise errors.PlatformUnavailableError(
                f'listing keys failed: {error}'
            ) from error

    async def put(
        self,
        key: str,
        value: str,
        revision: int,
        lease: store.Lease | None = None,
    ) -> int:
        """Write a key if its revision is still the expected one.

        :param key: the key.
        :param value: new value, up to ``MAX_VALUE_BYTES``.
        :param revision: the expected revision, 0 for a new key.
        :param lease: lease whose expiry deletes the key, if any.
        :return: the new revision.
        :raises errors.ConflictError: when the key has another revision.
        :raises errors.NotKnownError: when the write may have taken effect.
        :raises errors.PlatformUnavailableError: when the write had no effect.
        :raises errors.RefusedError: when the value is too large.
        """
        if len(value.encode()) > MAX_VALUE_BYTES:
            raise errors.RefusedError(
                f'value of "{key}" exceeds {MAX_VALUE_BYTES} bytes'
            )
        lease_number = 0 if lease is None else lease.number
        body = {'value': value, 'if_revision': revision, 'lease': lease_number}
        response = await self._write('PUT', f'/v1/kv/{key}', body)
        return _decode_write_response(response, _Revision).revision

    async def grant_lease(self, ttl_seconds: float) -> store.Lease:
        """Create a lease.

        :param ttl_seconds: time until it expires unless it is renewed.
        :raises errors.PlatformUnavailableError: when the service does not respond.
        """
        response = await self._write('POST', '/v1/leases', {'ttl_seconds': ttl_seconds})
        number = _decode_write_response(response, _Lease).lease
        return store.Lease(number, _read_era(response.headers))

    async def renew_lease(self, lease: store.Lease) -> bool:
        """Renew a lease.

        :param lease: the lease.
        :return: False when the lease has expired, or was granted before the service was
            restored: its number may belong to another process since.
        :raises errors.PlatformUnavailableError: when the service does not respond.
        """
        try:
            response = await self._write('POST', f'/v1/leases/{lease.number}/renew', {})
        except errors.ConflictError:
            return False
        return _read_era(response.headers) == lease.era

    async def _read(self, path: str, key: str, timeout_seconds: float) -> store.Item:
        try:
            response = await self._call('GET', path, timeout_seconds=timeout_seconds)
        except httpclient.HTTPClientError as error:
            if error.code == HTTP_NOT_FOUND and error.response is not None:
                return store.Item(key, b'', 0, _read_era(error.response.headers))
            raise errors.PlatformUnavailableError(f'read failed: {error}') from error
        except OSError as error:
            raise errors.PlatformUnavailableError(f'read failed: {error}') from error
        try:
            item = _decoding.decode_json(response.body, _Item)
        except msgspec.DecodeError as error:
            raise errors.PlatformUnavailableError(
                f'response cannot be decoded: {error}'
            ) from error
        return item.to_item(_read_era(response.headers))

    async def _write(
        self,
        method: str,
        path: str,
        body: dict[str, typing.Any],
    ) -> httpclient.HTTPResponse:
        try:
            return await self._call(method, path, msgspec.json.encode(body))
        except ConnectionRefusedError as error:
            raise errors.PlatformUnavailableError(f'write not sent: {error}') from error
        except httpclient.HTTPClientError as error:
            if error.code in {HTTP_CONFLICT, HTTP_NOT_FOUND}:
                raise errors.ConflictError(f'{path}: {error}') from error
            if HTTP_BAD_REQUEST <= error.code < HTTP_SERVER_ERROR:
                raise errors.PlatformUnavailableError(
                    f'write rejected: {error}'
                ) from error
            raise errors.NotKnownError(f'no response to a write: {error}') from error
        except OSError as error:
            raise errors.NotKnownError(f'no response to a write: {error}') from error

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> httpclient.HTTPResponse:
        request = httpclient.HTTPRequest(
            self._url + path,
            method=method,
            body=body,
            headers=httputil.HTTPHeaders({'Content-Type': 'application/json'}),
            connect_timeout=min(timeout_seconds, CALL_TIMEOUT_SECONDS),
            request_timeout=timeout_seconds,
        )
        return await self._client.fetch(request)


def _read_era(headers: httputil.HTTPHeaders) -> int:
    """Return the era of the service, 0 from a service that states none."""
    try:
        return int(headers.get(ERA_HEADER, '0'))
    except ValueError as error:
        raise errors.PlatformUnavailableError(
            f'malformed header "{ERA_HEADER}": {error}'
        ) from error


def _decode_write_response(
    response: httpclient.HTTPResponse, response_type: type
) -> typing.Any:
    """Decode the response to a write.

    :raises errors.NotKnownError: when it cannot be decoded; the write may have
        taken effect.
    """
    try:
        return _decoding.decode_json(response.body, response_type)
    except msgspec.DecodeError as error:
        raise errors.NotKnownError(
            f'response to a write cannot be decoded: {error}'
        ) from error
