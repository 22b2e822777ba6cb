"""Feeds of the caller library: server-sent events until the server sends GOAWAY."""

import asyncio
import typing

from egretjunction import errors
from egretjunction.quic import caller_flow

PROBE_INTERVAL_SECONDS = 5.0
MAX_SILENCE_SECONDS = 12.0
HTTP_CLIENT_ERROR = 400
HTTP_SERVER_ERROR = 500
# Request Timeout, Too Early and Too Many Requests: a later attempt may succeed.
TEMPORARY_CLIENT_ERRORS = frozenset((408, 425, 429))


class Update:
    """One event of a feed.

    :param event_id: number that the server gave the event.
    :param text: data of the event.
    """

    __slots__ = ('event_id', 'text')

    def __init__(self, event_id: int, text: str) -> None:
        self.event_id = event_id
        self.text = text


async def updates(
    flow: caller_flow.CallerFlow,
    response: caller_flow.Response,
) -> typing.AsyncIterator[Update]:
    """Yield updates from one connection until the feed ends or the server sends GOAWAY.

    :param flow: the connection.
    :param response: the response to the feed's request.
    :raises caller_flow.FlowError: when the feed is broken, silent or refused for now.
    :raises errors.FeedRefusedError: when the server refuses the feed for good.
    """
    while not response.is_complete and not flow.is_goaway_received:
        for update in _pop_updates(response):
            yield update
        await _wait_for_data_or_goaway(response, flow)
        if flow.silent_seconds > PROBE_INTERVAL_SECONDS:
            flow.probe(MAX_SILENCE_SECONDS)
        _raise_if_refused(response)
    _raise_if_refused(response)
    for update in _pop_updates(response):
        yield update


def _raise_if_refused(response: caller_flow.Response) -> None:
    status = response.status
    if status < HTTP_CLIENT_ERROR:
        return
    if status < HTTP_SERVER_ERROR and status not in TEMPORARY_CLIENT_ERRORS:
        raise errors.FeedRefusedError(status)
    raise caller_flow.FlowError('server refused the feed', response.verdict)


async def _wait_for_data_or_goaway(
    response: caller_flow.Response,
    flow: caller_flow.CallerFlow,
) -> None:
    """Wait for response data or GOAWAY, at most ``PROBE_INTERVAL_SECONDS``."""
    wait_tasks = [
        asyncio.create_task(response.wait()),
        asyncio.create_task(flow.became_unusable.wait()),
    ]
    try:
        await asyncio.wait(
            wait_tasks,
            timeout=PROBE_INTERVAL_SECONDS,
            return_when=asyncio.FIRST_COMPLETED,
        )
    finally:
        for wait_task in wait_tasks:
            wait_task.cancel()
    if wait_tasks[0].done() and not wait_tasks[0].cancelled():
        wait_tasks[0].result()


def _pop_updates(response: caller_flow.Response) -> list[Update]:
    """Remove complete events from the front of a body and return them."""
    popped = []
    while True:
        event_end = response.body.find(b'\n\n')
        if event_end < 0:
            return popped
        event_text = bytes(response.body[:event_end]).decode('utf-8', 'replace')
        response.drop_body(event_end + 2)
        fields = dict(
            line.split(': ', 1) for line in event_text.split('\n') if ': ' in line
        )
        if fields.get('id', '').isdigit():
            popped.append(Update(int(fields['id']), fields.get('data', '')))
