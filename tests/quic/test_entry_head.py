"""How an entry follows the head of the configuration."""

import asyncio
import types

import pytest

from egretjunction import errors
from egretjunction import store
from egretjunction.quic import entry


class _Finished(Exception):
    """Ends the endless loop of the entry."""


class _Platform:
    """Answers each watch with the next of the given results."""

    def __init__(self, *results):
        self.results = list(results)
        self.watched_revisions = []

    async def watch(self, _key, revision):
        self.watched_revisions.append(revision)
        if not self.results:
            raise _Finished
        result = self.results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result


def _follow(monkeypatch, *results):
    """Follow the head until the results are used up; return the platform."""

    async def no_sleep(_seconds):
        """Return at once."""

    monkeypatch.setattr(entry.asyncio, 'sleep', no_sleep)
    client = _Platform(*results)
    daemon = entry.Entry.__new__(entry.Entry)
    daemon._platform = client
    daemon._head_revision = -1
    daemon._stopped = asyncio.Event()
    daemon._metrics = types.SimpleNamespace(count=lambda _name: None)
    active = types.SimpleNamespace(generation=0)
    daemon._control = types.SimpleNamespace(active_configuration=active)
    with pytest.raises(_Finished):
        asyncio.run(daemon._follow_head())
    return client


def test_head_is_read_at_once_after_an_outage(monkeypatch):
    """Guards against a long wait for a revision that a restored store gave out again."""
    client = _follow(
        monkeypatch,
        store.Item('config/head', b'', 7, 1),
        errors.PlatformUnavailableError('down'),
        store.Item('config/head', b'', 7, 2),
    )
    assert client.watched_revisions == [-1, 7, -1, 7]
