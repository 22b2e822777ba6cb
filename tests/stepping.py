"""Runs coroutines call by call against a platform in memory, with faults."""

import contextlib
import types

from egretjunction import errors
from egretjunction import store


@types.coroutine
def _call(name, *arguments):
    return (yield (name, arguments))


class MemoryPlatform:
    """Has the calls of ``platform.Platform``; each one waits for its turn."""

    def __init__(self):
        self.item_by_key = {}
        self.lease_by_key = {}
        self.revision = 0
        self.leases = 0
        self.late = []

    async def get(self, key):
        """Ask for a key."""
        return await _call('get', key)

    async def put(self, key, value, revision, lease=0):
        """Ask for a write."""
        return await _call('put', key, value, revision, lease)

    async def grant_lease(self, ttl_seconds):
        """Ask for a lease."""
        return await _call('grant_lease', ttl_seconds)

    def perform(self, name, arguments):
        """Carry a call out and return its answer."""
        return getattr(self, f'_{name}')(*arguments)

    def arrive(self):
        """Carry out the oldest call that was held up on its way."""
        name, arguments = self.late.pop(0)
        with contextlib.suppress(errors.ConflictError):
            self.perform(name, arguments)

    def lapse(self):
        """Drop the keys that hang on a lease."""
        for key in self.lease_by_key:
            self.item_by_key.pop(key, None)
        self.lease_by_key.clear()

    def _get(self, key):
        return self.item_by_key.get(key, store.Item(key, b'', 0))

    def _put(self, key, value, revision, lease):
        if self._get(key).revision != revision:
            raise errors.ConflictError(key)
        self.revision += 1
        self.item_by_key[key] = store.Item(key, value.encode(), self.revision)
        if lease:
            self.lease_by_key[key] = lease
        return self.revision

    def _grant_lease(self, _ttl_seconds):
        self.leases += 1
        return self.leases


class Run:
    """One coroutine, driven call by call.

    :param service: the platform in memory.
    :param coroutine: what runs.
    """

    def __init__(self, service, coroutine):
        self.service = service
        self.coroutine = coroutine
        self.result = None
        self.error = None
        self.is_over = False
        self.pending = None
        self._resume(lambda: coroutine.send(None))

    def step(self, fault=''):
        """Carry out the pending call, or let it fail.

        :param fault: ``lost_request``, ``lost_answer``, ``late``, ``down`` or
            nothing.
        """
        name, arguments = self.pending
        is_write = name != 'get'
        if fault == 'down':
            error = errors.PlatformUnavailableError('down')
        elif fault == 'lost_request':
            error = errors.NotKnownError('lost') if is_write else None
        elif fault == 'late' and is_write:
            error = errors.NotKnownError('late')
            self.service.late.append((name, arguments))
        elif fault == 'lost_answer' and is_write:
            error = errors.NotKnownError('lost')
            try:
                self.service.perform(name, arguments)
            except errors.ConflictError as conflict:
                error = conflict
        else:
            error = None
        if error is None:
            try:
                answer = self.service.perform(name, arguments)
            except errors.EgretjunctionError as refused:
                error = refused
        if error is not None:
            self._resume(lambda: self.coroutine.throw(error))
        else:
            self._resume(lambda: self.coroutine.send(answer))

    def finish(self):
        """Run to the end without faults."""
        while not self.is_over:
            self.step()
        return self

    def _resume(self, move):
        try:
            self.pending = move()
        except StopIteration as done:
            self.is_over = True
            self.result = done.value
        except (errors.EgretjunctionError, ExceptionGroup) as error:
            self.is_over = True
            self.error = error
