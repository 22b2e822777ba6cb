"""Requests to the backend server that their callers cancel."""

import asyncio
import gc

import pytest
from tornado import httputil

from egretjunction import addresses
from egretjunction.quic import backend_client
from egretjunction.quic import server_flow


async def _cancelled_body():
    raise server_flow.RequestEndedError


async def _ignore(*_):
    """Ignore a part of the response."""


async def _run_cancelled_request():
    """Run a request whose body ends early; return what the event loop reported."""
    reported = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _loop, context: reported.append(context))
    server = await asyncio.start_server(
        lambda reader, _writer: reader.read(), '127.0.0.1', 0
    )
    address = addresses.Address(*server.sockets[0].getsockname())
    headers = httputil.HTTPHeaders({'Content-Length': '100'})
    head = backend_client.RequestHead('POST', '/', headers)
    exchange = backend_client.Exchange(address)
    with pytest.raises(backend_client.BackendError):
        await asyncio.wait_for(exchange.run(head, _cancelled_body, _ignore, _ignore), 2)
    server.close()
    gc.collect()
    await asyncio.sleep(0)
    return reported


def test_body_that_its_caller_cancels_ends_the_exchange_without_a_stray_error():
    """Guards against a request that held its slot, since only its sender had failed."""
    assert not asyncio.run(_run_cancelled_request())
