"""The platform client against the stand-in, including injected faults."""

import asyncio
import contextlib
import time

import pytest

from egretjunction import errors
from egretjunction import platform
from egretjunction import settings
from egretjunction.standins import platform as standin
from egretjunction.standins import ports
from tests.platform import store_standin

PORTS = ports.PortAllocator()


def _with_platform(scenario, **limits):
    """Run a scenario with a client of a new stand-in and the stand-in's store."""

    async def run():
        stand_in_settings = settings.Platform(listen=PORTS.take(), **limits)
        store = standin.Store(stand_in_settings)
        server = standin.serve(store, stand_in_settings)
        try:
            await scenario(
                platform.Platform(f'http://{stand_in_settings.listen}'), store
            )
        finally:
            server.stop()

    asyncio.run(run())


def test_put_requires_the_current_revision():
    async def scenario(client, _store):
        first = await client.put('a', 'one', 0)
        with pytest.raises(errors.ConflictError):
            await client.put('a', 'two', 0)
        await client.put('a', 'two', first)
        assert (await client.get('a')).data == b'two'
        assert (await client.get('missing')).revision == 0

    _with_platform(scenario)


def test_lost_response_and_lost_request_leave_the_outcome_unknown():
    async def scenario(client, store):
        store.faults.lose_answers = 1
        with pytest.raises(errors.NotKnownError):
            await client.put('a', 'one', 0)
        store.faults.lose_requests = 1
        with pytest.raises(errors.NotKnownError):
            await client.put('b', 'one', 0)
        assert (await client.get('a')).data == b'one'
        assert (await client.get('b')).revision == 0

    _with_platform(scenario)


def test_put_on_a_refused_connection_has_no_effect():
    async def scenario():
        client = platform.Platform(f'http://{PORTS.take()}')
        with pytest.raises(errors.PlatformUnavailableError) as raised:
            await client.put('a', 'one', 0)
        assert not isinstance(raised.value, errors.NotKnownError)

    asyncio.run(scenario())


def test_outage_fails_calls_and_ends_watches():
    async def scenario(client, store):
        revision = await client.put('a', 'one', 0)
        watch = asyncio.create_task(client.watch('a', revision))
        await asyncio.sleep(0.1)
        store.faults = standin.Faults(is_down=True)
        store.changed.set()
        with pytest.raises(errors.PlatformUnavailableError):
            await watch
        with pytest.raises(errors.PlatformUnavailableError):
            await client.get('a')

    _with_platform(scenario)


def test_watch_returns_the_next_change():
    async def scenario(client, _store):
        revision = await client.put('a', 'one', 0)
        watch = asyncio.create_task(client.watch('a', revision))
        await asyncio.sleep(0.05)
        await client.put('a', 'two', revision)
        assert (await watch).data == b'two'

    _with_platform(scenario)


def test_expired_lease_deletes_its_key_and_cannot_be_renewed():
    async def scenario(client, store):
        lease = await client.grant_lease(0.05)
        await client.put('a', 'one', 0, lease)
        await asyncio.sleep(0.1)
        store.expire_leases()
        assert not await client.renew_lease(lease)
        assert (await client.get('a')).revision == 0
        assert (await client.grant_lease(1)).number > lease.number

    _with_platform(scenario)


def test_oversized_value_is_refused_before_it_is_sent():
    async def scenario(client, store):
        with pytest.raises(errors.RefusedError, match='exceeds'):
            await client.put('a', 'x' * (platform.MAX_VALUE_BYTES + 1), 0)
        assert not store.calls['write']

    _with_platform(scenario)


def test_calls_over_the_rate_limit_are_refused_and_counted():
    async def scenario(client, store):
        for _ in range(3):
            with contextlib.suppress(errors.PlatformUnavailableError):
                await client.get('a')
        assert store.calls['read'] == 3

    _with_platform(scenario, reads_per_second=1)


@pytest.mark.parametrize('body', [b'', b'{}', b'[1]', b'\xff', b'{"key": 1}'])
def test_malformed_response_raises_a_client_error(body, monkeypatch):
    async def scenario(client, _store):
        async def respond(*_arguments, **_options):
            return type('Response', (), {'body': body})

        monkeypatch.setattr(client._client, 'fetch', respond)
        with pytest.raises(errors.PlatformUnavailableError):
            await client.get('a')
        with pytest.raises(errors.PlatformUnavailableError):
            await client.list_prefix('a')
        with pytest.raises(errors.NotKnownError):
            await client.put('a', 'b', 0)

    _with_platform(scenario)


def test_restored_store_forgets_later_writes_and_gives_revisions_out_again():
    async def scenario(client, store):
        await client.put('a', 'one', 0)
        first = await client.get('a')
        await asyncio.sleep(0.1)
        revision = await client.put('b', 'lost', 0)
        lease = await client.grant_lease(9)
        watch = asyncio.create_task(client.watch('a', first.revision))
        await asyncio.sleep(0.05)
        store.restore(0.1)
        with pytest.raises(errors.PlatformUnavailableError):
            await watch
        missing = await client.get('b')
        assert (missing.revision, missing.era) == (0, first.era + 1)
        assert (await client.get('a')).data == b'one'
        assert await client.put('c', 'other', 0) == revision
        assert (await client.grant_lease(9)).number == lease.number

    _with_platform(scenario)


def test_lease_given_out_again_after_a_restore_is_not_renewed():
    """Guards against an entry that leaves the registry and renews another's lease."""

    async def scenario(client, store):
        lease = await client.grant_lease(9)
        assert await client.renew_lease(lease)
        store.restore(60)
        other = await client.grant_lease(9)
        assert other.number == lease.number
        assert not await client.renew_lease(lease)
        assert await client.renew_lease(other)

    _with_platform(scenario)


def test_silent_watch_ends_within_seconds():
    """Guards against a head that changes unseen for the length of a watch, 30 s."""

    async def run():
        connections = []

        async def accept(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            store_standin.drop_received(writer.get_extra_info('socket'))
            connections.append(writer)

        address = PORTS.take()
        async with await asyncio.start_server(accept, *address):
            started_at = time.monotonic()
            with pytest.raises(errors.PlatformUnavailableError):
                await platform.Platform(f'http://{address}').watch('a', 1)
            assert time.monotonic() - started_at < 5
            for connection in connections:
                connection.transport.abort()

    asyncio.run(asyncio.wait_for(run(), 20))
