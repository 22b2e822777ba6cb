"""What both daemons that relay share: effects, signals, calls to the store."""

import itertools
import signal
import threading
import time
import typing

from egretjunction import _udp
from egretjunction import errors
from egretjunction import metrics
from egretjunction import store
from egretjunction.decisions import relay_effects as effects
from egretjunction.relay import _loop
from egretjunction.relay import packets
from egretjunction.wire import relaying

TICK_SECONDS = 0.025
RETRY_SECONDS = 0.4  # an outage of the store ends at most this long before a call
Logger = typing.Callable[..., None]
Work = typing.Callable[[], None]


class Outlet:
    """Carries out the effects of decisions.

    :param codec: writes resets.
    :param figures: counts every event, and the time that it took.
    :param own: socket that messages to other processes leave by.
    :param to_client: socket that packets to clients leave by.
    :param to_server: gives a packet and a token to the backend server.
    """

    __slots__ = (
        '_apply_by_kind',
        '_codec',
        '_figures',
        '_log',
        '_own',
        '_to_client',
        '_to_server',
    )

    def __init__(
        self,
        codec: packets.Codec,
        log: Logger,
        figures: metrics.Metrics,
        own: _udp.DatagramSocket,
        to_client: _udp.DatagramSocket,
        to_server: typing.Callable[[bytes, int], None] | None = None,
    ) -> None:
        self._codec = codec
        self._log = log
        self._figures = figures
        self._own = own
        self._to_client = to_client
        self._to_server = to_server
        self._apply_by_kind: dict[type, typing.Callable[[typing.Any], None]] = {
            effects.Send: self._send,
            effects.ToClient: self._send_to_client,
            effects.ToServer: self._send_to_server,
            effects.Reset: self._reset,
            effects.Log: self._tell,
        }

    def apply(self, found: typing.Iterable[effects.Effect]) -> None:
        """Carry out effects in their order."""
        for effect in found:
            self._apply_by_kind[type(effect)](effect)

    def _send(self, effect: effects.Send) -> None:
        self._own.send(relaying.encode(effect.message), effect.address)

    def _send_to_client(self, effect: effects.ToClient) -> None:
        self._to_client.send(effect.raw, self._codec.client_of(effect.key))

    def _send_to_server(self, effect: effects.ToServer) -> None:
        if self._to_server is not None:
            self._to_server(effect.raw, effect.token)

    def _reset(self, effect: effects.Reset) -> None:
        raw = self._codec.reset(effect.key, effect.sequence)
        self._to_client.send(raw, self._codec.client_of(effect.key))
        self._tell(
            effects.Log('flow_reset', flow=effect.key.hex(), reason=effect.reason),
        )

    def _tell(self, event: effects.Log) -> None:
        self._figures.count(event.event)
        taken = event.fields.get('ms')
        if isinstance(taken, float):
            self._figures.latency(event.event, taken / effects.MILLISECONDS_PER_SECOND)
        self._log(event.event, **event.fields)


def attend(loop: _loop.Loop, tick: Work, drain: Work, log: Logger) -> None:
    """Let a daemon tick, and answer the platform's signals.

    :param tick: does what is due.
    :param drain: begins the end of the process.
    """
    loop.on_signal(signal.SIGTERM, drain)
    loop.on_signal(signal.SIGHUP, lambda: log('settings_unchanged'))
    loop.every(TICK_SECONDS, tick)


def start(work: Work, log: Logger) -> threading.Thread:
    """Begin a thread; when its work fails, log that and begin it anew."""
    thread = threading.Thread(target=_repeat, args=(work, log), daemon=True)
    thread.start()
    return thread


def _repeat(work: Work, log: Logger) -> None:
    while True:
        try:
            return work()
        except Exception as error:  # a thread must outlive faults nobody foresaw
            log('task_failed', error=repr(error))
            time.sleep(RETRY_SECONDS)


def until_answered(
    call: typing.Callable[[], typing.Any],
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
            answer = call()
        except errors.PlatformUnavailableError as error:
            failures += 1
            if failures == 1:
                log('store_lost', call=name, error=str(error))
            time.sleep(RETRY_SECONDS)
            continue
        if failures:
            log('store_regained', call=name, failures=failures)
        return answer


def follow_prefix(
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

    def list_all() -> store.Listing:
        return client.list_prefix(prefix)

    for _ in itertools.count():
        listing = until_answered(list_all, log, f'list {prefix}')
        on_listing(listing)
        _follow(client, prefix, wait_seconds, listing.revision, on_changes, log)


def _follow(
    client: store.Store,
    prefix: str,
    wait_seconds: float,
    revision: int,
    on_changes: typing.Callable[[store.Changes], None],
    log: Logger,
) -> None:
    def watch() -> store.Changes:
        return client.watch(prefix, revision, wait_seconds)

    while True:
        try:
            changes = until_answered(watch, log, f'watch {prefix}')
        except store.HistoryGoneError:
            log('history_gone', prefix=prefix, revision=revision)
            return
        on_changes(changes)
        revision = max(revision, changes.revision)
