"""Shared by both relay daemons: effects, signals, threads and calls to the store."""

import signal
import threading
import time
import typing

from egretjunction import _udp
from egretjunction import errors
from egretjunction import metrics
from egretjunction.decisions import relay_effects as effects
from egretjunction.relay import _loop
from egretjunction.relay import packets
from egretjunction.relay import settings
from egretjunction.wire import relaying

TICK_SECONDS = 0.025
RETRY_SECONDS = 0.4  # longest delay between the end of a store outage and a retry
Logger = typing.Callable[..., None]
Task = typing.Callable[[], None]


class EffectExecutor:
    """Executes the effects that the decision modules return.

    :param codec: encodes resets.
    :param log: writes one event.
    :param process_metrics: counts each event and records its duration, if any.
    :param peer_socket: socket for messages to entries or agents.
    :param client_socket: socket for packets to clients.
    :param forward_to_server: sends a packet and its token to the backend server; None
        at an entry.
    """

    __slots__ = (
        '_apply_by_type',
        '_client_socket',
        '_codec',
        '_forward_to_server',
        '_log',
        '_metrics',
        '_peer_socket',
    )

    def __init__(
        self,
        codec: packets.Codec,
        log: Logger,
        process_metrics: metrics.Metrics,
        peer_socket: _udp.DatagramSocket,
        client_socket: _udp.DatagramSocket,
        forward_to_server: typing.Callable[[bytes, int], None] | None = None,
    ) -> None:
        self._codec = codec
        self._log = log
        self._metrics = process_metrics
        self._peer_socket = peer_socket
        self._client_socket = client_socket
        self._forward_to_server = forward_to_server
        self._apply_by_type: dict[type, typing.Callable[[typing.Any], None]] = {
            effects.Send: self._send,
            effects.ToClient: self._send_to_client,
            effects.ToServer: self._send_to_server,
            effects.Reset: self._reset,
            effects.Log: self._log_event,
        }

    def apply(self, pending: typing.Iterable[effects.Effect]) -> None:
        """Execute effects in order."""
        for effect in pending:
            self._apply_by_type[type(effect)](effect)

    def _send(self, effect: effects.Send) -> None:
        self._peer_socket.send(relaying.encode(effect.message), effect.address)

    def _send_to_client(self, effect: effects.ToClient) -> None:
        self._client_socket.send(effect.raw, self._codec.client_of(effect.key))

    def _send_to_server(self, effect: effects.ToServer) -> None:
        if self._forward_to_server is not None:
            self._forward_to_server(effect.raw, effect.token)

    def _reset(self, effect: effects.Reset) -> None:
        raw = self._codec.reset(effect.key, effect.sequence)
        self._client_socket.send(raw, self._codec.client_of(effect.key))
        self._metrics.count(f'flow_reset_{effect.reason}')
        self._log_event(
            effects.Log(
                'flow_reset',
                flow=effect.key.hex(),
                reason=effect.reason,
                **effect.fields,
            ),
        )

    def _log_event(self, event: effects.Log) -> None:
        self._metrics.count(event.event)
        duration_ms = event.fields.get('ms')
        if isinstance(duration_ms, float):
            self._metrics.latency(
                event.event, duration_ms / effects.MILLISECONDS_PER_SECOND
            )
        self._log(event.event, **event.fields)


def install_handlers(loop: _loop.Loop, tick: Task, drain: Task, reload: Task) -> None:
    """Register a daemon's periodic tick and its signal handlers.

    :param tick: called every ``TICK_SECONDS``.
    :param drain: called on SIGTERM; starts the shutdown of the process.
    :param reload: called on SIGHUP; reads the settings again.
    """
    loop.on_signal(signal.SIGTERM, drain)
    loop.on_signal(signal.SIGHUP, reload)
    loop.every(TICK_SECONDS, tick)


def reload_settings(
    current: typing.Any, read_settings: typing.Callable[[], typing.Any], log: Logger
) -> typing.Any:
    """Read the settings again; return those in force.

    A file with errors changes nothing: each error is logged, and the daemon goes on
    with the settings that it has.

    :param current: the settings in force.
    :param read_settings: reads the file.
    """
    try:
        reload = settings.merge_reloaded(current, read_settings())
    except (errors.SettingsError, errors.SettingsErrors) as error:
        for line in errors.describe(error):
            log('settings_rejected', error=line)
        return current
    log('settings_reloaded', applied=reload.applied, needs_restart=reload.postponed)
    return reload.settings


def start(task: Task, log: Logger) -> threading.Thread:
    """Start a thread that runs a task, and runs it again after an exception."""
    thread = threading.Thread(target=_run_with_restarts, args=(task, log), daemon=True)
    thread.start()
    return thread


def _run_with_restarts(task: Task, log: Logger) -> None:
    while True:
        try:
            return task()
        except Exception as error:  # the thread must survive unexpected exceptions
            log('task_failed', error=repr(error))
            time.sleep(RETRY_SECONDS)


def retry_until_answered(
    call: typing.Callable[[], typing.Any],
    log: Logger,
    call_name: str,
) -> typing.Any:
    """Make a call to the store; retry it for as long as the store is unavailable.

    :param call: makes the call once.
    :param call_name: name of the call in the log.
    """
    failures = 0
    while True:
        started_at = time.monotonic()
        try:
            result = call()
        except errors.PlatformUnavailableError as error:
            failures += 1
            if failures == 1:
                seconds = round(time.monotonic() - started_at, 3)
                log('store_lost', call=call_name, seconds=seconds, error=str(error))
            time.sleep(RETRY_SECONDS)
            continue
        if failures:
            log('store_regained', call=call_name, failures=failures)
        return result
