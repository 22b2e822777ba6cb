"""What both daemons that relay share: effects, signals, calls to the store."""

import asyncio
import signal
import typing

from tornado import ioloop

from egretjunction import _udp
from egretjunction import errors
from egretjunction.decisions import relay_effects as effects
from egretjunction.relay import packets
from egretjunction.relay import store
from egretjunction.wire import relaying

RETRY_SECONDS = 0.4  # an outage of the store ends at most this long before a call
Logger = typing.Callable[..., None]
Task = asyncio.Task[None]
Work = typing.Coroutine[typing.Any, typing.Any, None]


class Outlet:
    """Carries out the effects of decisions.

    :param codec: writes resets.
    :param own: socket that messages to other processes leave by.
    :param to_client: socket that packets to clients leave by.
    :param to_server: gives a packet and a token to the backend server.
    """

    __slots__ = ('_codec', '_log', '_own', '_to_client', '_to_server')

    def __init__(
        self,
        codec: packets.Codec,
        log: Logger,
        own: _udp.DatagramSocket,
        to_client: _udp.DatagramSocket,
        to_server: typing.Callable[[bytes, int], None] | None = None,
    ) -> None:
        self._codec = codec
        self._log = log
        self._own = own
        self._to_client = to_client
        self._to_server = to_server

    def apply(self, found: typing.Iterable[effects.Effect]) -> None:
        """Carry out effects in their order."""
        for effect in found:
            if isinstance(effect, effects.Send):
                self._own.send(relaying.encode(effect.message), effect.address)
            elif isinstance(effect, effects.ToClient):
                self._to_client.send(effect.raw, self._codec.client_of(effect.key))
            elif isinstance(effect, effects.ToServer):
                if self._to_server is not None:
                    self._to_server(effect.raw, effect.token)
            elif isinstance(effect, effects.Reset):
                self._reset(effect)
            else:
                self._log(effect.event, **effect.fields)

    def _reset(self, effect: effects.Reset) -> None:
        raw = self._codec.reset(effect.key, effect.sequence)
        self._to_client.send(raw, self._codec.client_of(effect.key))
        self._log('flow_reset', flow=effect.key.hex(), reason=effect.reason)


def on_signals(
    terminate: typing.Callable[[], None],
    reload: typing.Callable[[], None],
) -> None:
    """Call functions when the process is told to end or to read its settings."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, terminate)
    loop.add_signal_handler(signal.SIGHUP, reload)


def start(begin: typing.Callable[[], Work], log: Logger) -> Task:
    """Begin a task; when it fails, log that and begin it anew.

    :param begin: returns what the task does.
    """
    return asyncio.get_running_loop().create_task(_repeated(begin, log))


async def _repeated(begin: typing.Callable[[], Work], log: Logger) -> None:
    while True:
        try:
            await begin()
        except Exception as error:  # a task must outlive faults that nobody foresaw
            log('task_failed', error=repr(error))
            await asyncio.sleep(RETRY_SECONDS)
        else:
            return


async def until_answered(
    call: typing.Callable[[], typing.Awaitable[typing.Any]],
    log: Logger,
    name: str,
) -> typing.Any:
    """Repeat a call to the store until it is answered.

    :param call: begins the call anew.
    :param name: what the call is for, for the log.
    """
    failures = 0
    while True:
        try:
            answer = await call()
        except errors.PlatformUnavailableError as error:
            failures += 1
            if failures == 1:
                log('store_lost', call=name, error=str(error))
            await asyncio.sleep(RETRY_SECONDS)
            continue
        if failures:
            log('store_regained', call=name, failures=failures)
        return answer


async def follow_prefix(
    client: store.Store,
    prefix: str,
    wait_seconds: float,
    on_listing: typing.Callable[[store.Listing], None],
    on_changes: typing.Callable[[store.Changes], None],
    log: Logger,
) -> None:
    """Keep up with a prefix of the store for ever.

    :param on_listing: gets everything under the prefix, at first and whenever
        changes were missed.
    :param on_changes: gets what has changed since.
    """
    while True:
        listing = await until_answered(
            lambda: client.list_prefix(prefix), log, f'list {prefix}'
        )
        on_listing(listing)
        revision = listing.revision
        try:
            while True:
                after = revision
                changes = await until_answered(
                    lambda after=after: client.watch(prefix, after, wait_seconds),
                    log,
                    f'watch {prefix}',
                )
                on_changes(changes)
                revision = max(revision, changes.revision)
        except store.HistoryGoneError:
            log('history_gone', prefix=prefix, revision=revision)


def every(seconds: float, call: typing.Callable[[], None]) -> ioloop.PeriodicCallback:
    """Call a function again and again, beginning now."""
    periodic = ioloop.PeriodicCallback(call, seconds * 1000)
    periodic.start()
    return periodic
