"""Client of the platform's key-value service: compare-and-swap, leases, watches."""

import typing

import msgspec
from tornado import httpclient
from tornado import httputil
from tornado import simple_httpclient

from egretjunction import errors
from egretjunction import store

HEAD_KEY = 'config/head'
ENTRIES_PREFIX = 'entries/'
CALL_SECONDS = 3.0
WATCH_SECONDS = 30.0
WATCH_GRACE_SECONDS = 5.0
MAX_VALUE_BYTES = 1_000_000
MAX_CALLS = 20
HTTP_BAD_REQUEST = 400
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_SERVER_ERROR = 500


class _Item(msgspec.Struct):
    """An item as the service writes it."""

    key: str
    value: str
    revision: int

    def decoded(self) -> store.Item:
        """Return the item as the rest of the package knows it."""
        return store.Item(self.key, self.value.encode(), self.revision)


class _Items(msgspec.Struct):
    items: list[_Item]


class _Revision(msgspec.Struct):
    revision: int


class _Lease(msgspec.Struct):
    lease: int


class Platform:
    """The service at a base URL.

    :param url: for example ``http://127.0.0.1:7900``.
    """

    __slots__ = ('_client', '_url')

    def __init__(self, url: str) -> None:
        self._url = url.rstrip('/')
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CALLS,
        )

    async def get(self, key: str) -> store.Item:
        """Return a key's item; its revision is 0 when there is none.

        :raises errors.PlatformUnavailableError: when the service does not answer.
        """
        return await self._read(f'/v1/kv/{key}', key, CALL_SECONDS)

    async def watch(self, key: str, revision: int) -> store.Item:
        """Wait until a key has another revision, or for ``WATCH_SECONDS``.

        :raises errors.PlatformUnavailableError: when the service does not answer.
        """
        query = f'?not_revision={revision}&wait_seconds={WATCH_SECONDS}'
        patience = WATCH_SECONDS + WATCH_GRACE_SECONDS
        return await self._read(f'/v1/kv/{key}{query}', key, patience)

    async def list_prefix(self, prefix: str) -> list[store.Item]:
        """Return the items whose key begins with a prefix.

        :raises errors.PlatformUnavailableError: when the service does not answer.
        """
        try:
            response = await self._call('GET', f'/v1/kv?prefix={prefix}')
            found = msgspec.json.decode(response.body, type=_Items)
            return [item.decoded() for item in found.items]
        except (OSError, httpclient.HTTPError, msgspec.DecodeError) as error:
            raise errors.PlatformUnavailableError(f'list failed: {error}') from error

    async def put(self, key: str, value: str, revision: int, lease: int = 0) -> int:
        """Write a key if it still has a revision.

        :param key: the key.
        :param value: new value, up to ``MAX_VALUE_BYTES``.
        :param revision: the expected revision, 0 for a new key.
        :param lease: lease that the key is deleted with, or 0.
        :return: the new revision.
        :raises errors.ConflictError: when the revision is another one.
        :raises errors.NotKnownError: when the write may have taken effect.
        :raises errors.PlatformUnavailableError: when it surely had no effect.
        :raises errors.RefusedError: when the value is too large.
        """
        if len(value.encode()) > MAX_VALUE_BYTES:
            raise errors.RefusedError(
                f'value of "{key}" exceeds {MAX_VALUE_BYTES} bytes'
            )
        body = {'value': value, 'if_revision': revision, 'lease': lease}
        response = await self._write('PUT', f'/v1/kv/{key}', body)
        return _decode_written(response, _Revision).revision

    async def grant_lease(self, ttl_seconds: float) -> int:
        """Return a new lease.

        :raises errors.PlatformUnavailableError: when the service does not answer.
        """
        response = await self._write('POST', '/v1/leases', {'ttl_seconds': ttl_seconds})
        return _decode_written(response, _Lease).lease

    async def renew_lease(self, lease: int) -> bool:
        """Extend a lease; return False when it has lapsed.

        :raises errors.PlatformUnavailableError: when the service does not answer.
        """
        try:
            await self._write('POST', f'/v1/leases/{lease}/renew', {})
        except errors.ConflictError:
            return False
        return True

    async def _read(self, path: str, key: str, seconds: float) -> store.Item:
        try:
            response = await self._call('GET', path, seconds=seconds)
        except httpclient.HTTPClientError as error:
            if error.code == HTTP_NOT_FOUND:
                return store.Item(key, b'', 0)
            raise errors.PlatformUnavailableError(f'read failed: {error}') from error
        except OSError as error:
            raise errors.PlatformUnavailableError(f'read failed: {error}') from error
        try:
            return msgspec.json.decode(response.body, type=_Item).decoded()
        except msgspec.DecodeError as error:
            raise errors.PlatformUnavailableError(f'bad answer: {error}') from error

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
                raise errors.PlatformUnavailableError(f'refused: {error}') from error
            raise errors.NotKnownError(f'write without answer: {error}') from error
        except OSError as error:
            raise errors.NotKnownError(f'write without answer: {error}') from error

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        seconds: float = CALL_SECONDS,
    ) -> httpclient.HTTPResponse:
        request = httpclient.HTTPRequest(
            self._url + path,
            method=method,
            body=body,
            headers=httputil.HTTPHeaders({'Content-Type': 'application/json'}),
            connect_timeout=min(seconds, CALL_SECONDS),
            request_timeout=seconds,
        )
        return await self._client.fetch(request)


def _decode_written(response: httpclient.HTTPResponse, kind: type) -> typing.Any:
    """Read the answer to a write; an unreadable one leaves its effect unknown."""
    try:
        return msgspec.json.decode(response.body, type=kind)
    except msgspec.DecodeError as error:
        raise errors.NotKnownError(f'unreadable answer: {error}') from error
