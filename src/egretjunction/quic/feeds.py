"""Feeds of the caller library: server-sent events and the wish to move."""

import asyncio
import typing

from egretjunction.quic import caller_flow

PROBE_SECONDS = 5.0
SILENT_SECONDS = 12.0
HTTP_SERVER_ERROR = 500


class Update:
    """One event of a feed.

    :param event_id: the server's number of the event.
    :param text: its data.
    """

    __slots__ = ('event_id', 'text')

    def __init__(self, event_id: int, text: str) -> None:
        self.event_id = event_id
        self.text = text


async def updates(
    flow: caller_flow.CallerFlow,
    answer: caller_flow.Answer,
) -> typing.AsyncIterator[Update]:
    """Yield the updates of one connection until its server wants the caller to move.

    :param flow: the connection.
    :param answer: the answer to the feed's request.
    :raises caller_flow.FlowError: when the feed is refused, broken or silent.
    """
    while not answer.is_complete and not flow.is_leaving:
        for update in _take_events(answer):
            yield update
        await _wait_for_either(answer, flow)
        if flow.silent_seconds > PROBE_SECONDS:
            flow.probe(SILENT_SECONDS)
        if answer.status >= HTTP_SERVER_ERROR:
            raise caller_flow.FlowError('feed was refused', answer.verdict)
    for update in _take_events(answer):
        yield update


async def _wait_for_either(
    answer: caller_flow.Answer,
    flow: caller_flow.CallerFlow,
) -> None:
    """Wait a while for more of the answer or for the server's wish to leave."""
    waits = [
        asyncio.create_task(answer.wait()),
        asyncio.create_task(flow.left.wait()),
    ]
    try:
        await asyncio.wait(
            waits,
            timeout=PROBE_SECONDS,
            return_when=asyncio.FIRST_COMPLETED,
        )
    finally:
        for each in waits:
            each.cancel()
    if waits[0].done() and not waits[0].cancelled():
        waits[0].result()


def _take_events(answer: caller_flow.Answer) -> list[Update]:
    """Remove the whole events from the front of a body."""
    taken = []
    while True:
        end = answer.body.find(b'\n\n')
        if end < 0:
            return taken
        block = bytes(answer.body[:end]).decode('utf-8', 'replace')
        answer.drop_body(end + 2)
        fields = dict(line.split(': ', 1) for line in block.split('\n') if ': ' in line)
        if fields.get('id', '').isdigit():
            taken.append(Update(int(fields['id']), fields.get('data', '')))
