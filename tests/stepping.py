"""Runs coroutines one platform call at a time, with faults injected into calls."""

import contextlib
import types

import msgspec

from egretjunction import errors
from egretjunction import store


@types.coroutine
def _call(name, *arguments):
    return (yield (name, arguments))


class InMemoryPlatform:
    """In-memory stand-in for ``platform.Platform``.

    Each call suspends the coroutine until ``SteppedRun`` performs it or fails it.
    """

    def __init__(self):
        self.item_by_key = {}
        self.lease_by_key = {}
        self.revision = 0
        self.era = 1
        self.lease_count = 0
        self.delayed_calls = []

    async def get(self, key):
        """Yield a read of a key."""
        return await _call('get', key)

    async def put(self, key, value, revision, lease=0):
        """Yield a write."""
        return await _call('put', key, value, revision, lease)

    async def grant_lease(self, ttl_seconds):
        """Yield the creation of a lease."""
        return await _call('grant_lease', ttl_seconds)

    def perform(self, name, arguments):
        """Perform a call and return its result."""
        return getattr(self, f'_{name}')(*arguments)

    def deliver_delayed_call(self):
        """Perform the oldest delayed call; a conflict is ignored."""
        name, arguments = self.delayed_calls.pop(0)
        with contextlib.suppress(errors.ConflictError):
            self.perform(name, arguments)

    def expire_leases(self):
        """Expire all leases and delete their keys."""
        for key in self.lease_by_key:
            self.item_by_key.pop(key, None)
        self.lease_by_key.clear()

    def copy(self):
        """Return a copy of the contents, to restore the platform from."""
        return self.revision, dict(self.item_by_key), dict(self.lease_by_key)

    def restore(self, copy):
        """Restore the contents from a copy; later revisions are given out again."""
        self.revision, self.item_by_key, self.lease_by_key = copy
        self.era += 1

    def _get(self, key):
        item = self.item_by_key.get(key, store.Item(key, b'', 0))
        return msgspec.structs.replace(item, era=self.era)

    def _put(self, key, value, revision, lease):
        if self._get(key).revision != revision:
            raise errors.ConflictError(key)
        self.revision += 1
        self.item_by_key[key] = store.Item(key, value.encode(), self.revision)
        if lease:
            self.lease_by_key[key] = lease
        return self.revision

    def _grant_lease(self, _ttl_seconds):
        self.lease_count += 1
        return self.lease_count


class SteppedRun:
    """A coroutine that is run one platform call at a time.

    :param service: the in-memory platform that performs the calls.
    :param coroutine: the coroutine to run.
    """

    def __init__(self, service, coroutine):
        self.service = service
        self.coroutine = coroutine
        self.result = None
        self.error = None
        self.is_finished = False
        self.pending_call = None
        self._resume(lambda: coroutine.send(None))

    def step(self, fault=''):
        """Perform the pending call, or fail it with a fault.

        Reads fail only with ``down``.

        :param fault: ``lost_request`` (a write fails and is not performed),
            ``lost_answer`` (a write is performed but its response is lost), ``late``
            (a write fails now and is performed later), ``down`` (the platform is
            unavailable), or empty.
        """
        name, arguments = self.pending_call
        is_write = name != 'get'
        if fault == 'down':
            error = errors.PlatformUnavailableError('down')
        elif fault == 'lost_request':
            error = errors.NotKnownError('lost') if is_write else None
        elif fault == 'late' and is_write:
            error = errors.NotKnownError('late')
            self.service.delayed_calls.append((name, arguments))
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
                response = self.service.perform(name, arguments)
            except errors.EgretjunctionError as rejected:
                error = rejected
        if error is not None:
            self._resume(lambda: self.coroutine.throw(error))
        else:
            self._resume(lambda: self.coroutine.send(response))

    def finish(self):
        """Run the remaining calls without faults and return this run."""
        while not self.is_finished:
            self.step()
        return self

    def _resume(self, resume):
        try:
            self.pending_call = resume()
        except StopIteration as stop:
            self.is_finished = True
            self.result = stop.value
        except (errors.EgretjunctionError, ExceptionGroup) as error:
            self.is_finished = True
            self.error = error
