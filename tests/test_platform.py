"""The client against the stand-in, with its faults."""

import asyncio
import contextlib

import pytest

from egretjunction import errors
from egretjunction import platform
from egretjunction import settings
from egretjunction.standins import cluster
from egretjunction.standins import platform as standin


def _with_platform(work, **limits):
    """Run a coroutine against a stand-in of its own."""

    async def run():
        given = settings.Platform(listen=cluster.PortAllocator().take(), **limits)
        store = standin.Store(given)
        server = standin.serve(store, given)
        try:
            await work(platform.Platform(f'http://{given.listen}'), store)
        finally:
            server.stop()

    asyncio.run(run())


def test_swap_needs_the_present_revision():
    async def work(client, _store):
        first = await client.put('a', 'one', 0)
        with pytest.raises(errors.ConflictError):
            await client.put('a', 'two', 0)
        await client.put('a', 'two', first)
        assert (await client.get('a')).data == b'two'
        assert (await client.get('missing')).revision == 0

    _with_platform(work)


def test_lost_answer_and_lost_request_both_leave_the_effect_unknown():
    async def work(client, store):
        store.faults.lose_answers = 1
        with pytest.raises(errors.NotKnownError):
            await client.put('a', 'one', 0)
        store.faults.lose_requests = 1
        with pytest.raises(errors.NotKnownError):
            await client.put('b', 'one', 0)
        assert (await client.get('a')).data == b'one'
        assert (await client.get('b')).revision == 0

    _with_platform(work)


def test_refused_connection_surely_had_no_effect():
    async def work():
        client = platform.Platform(f'http://{cluster.PortAllocator().take()}')
        with pytest.raises(errors.PlatformUnavailableError) as raised:
            await client.put('a', 'one', 0)
        assert not isinstance(raised.value, errors.NotKnownError)

    asyncio.run(work())


def test_outage_fails_calls_and_ends_watches():
    async def work(client, store):
        revision = await client.put('a', 'one', 0)
        watch = asyncio.create_task(client.watch('a', revision))
        await asyncio.sleep(0.1)
        store.faults = standin.Faults(is_down=True)
        store.changed.set()
        with pytest.raises(errors.PlatformUnavailableError):
            await watch
        with pytest.raises(errors.PlatformUnavailableError):
            await client.get('a')

    _with_platform(work)


def test_watch_returns_with_the_next_change():
    async def work(client, _store):
        revision = await client.put('a', 'one', 0)
        watch = asyncio.create_task(client.watch('a', revision))
        await asyncio.sleep(0.05)
        await client.put('a', 'two', revision)
        assert (await watch).data == b'two'

    _with_platform(work)


def test_key_goes_with_its_lapsed_lease_and_the_lease_stays_lapsed():
    async def work(client, store):
        lease = await client.grant_lease(0.05)
        await client.put('a', 'one', 0, lease)
        await asyncio.sleep(0.1)
        store.expire_leases()
        assert not await client.renew_lease(lease)
        assert (await client.get('a')).revision == 0
        assert await client.grant_lease(1) > lease

    _with_platform(work)


def test_oversized_value_is_refused_before_it_is_sent():
    async def work(client, store):
        with pytest.raises(errors.RefusedError, match='exceeds'):
            await client.put('a', 'x' * (platform.MAX_VALUE_BYTES + 1), 0)
        assert not store.calls['write']

    _with_platform(work)


def test_calls_over_the_rate_are_refused_and_counted():
    async def work(client, store):
        for _ in range(3):
            with contextlib.suppress(errors.PlatformUnavailableError):
                await client.get('a')
        assert store.calls['read'] == 3

    _with_platform(work, reads_per_second=1)


@pytest.mark.parametrize('body', [b'', b'{}', b'[1]', b'\xff', b'{"key": 1}'])
def test_nonsense_answer_becomes_an_error_of_the_client(body, monkeypatch):
    async def work(client, _store):
        async def answer(*_arguments, **_options):
            return type('Response', (), {'body': body})

        monkeypatch.setattr(client._client, 'fetch', answer)
        with pytest.raises(errors.PlatformUnavailableError):
            await client.get('a')
        with pytest.raises(errors.PlatformUnavailableError):
            await client.list_prefix('a')
        with pytest.raises(errors.NotKnownError):
            await client.put('a', 'b', 0)

    _with_platform(work)
