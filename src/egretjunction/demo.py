"""Demo: runs a user's whole system on loopback, with planned changes under load."""

import asyncio
import collections
import contextlib
import functools
import pathlib
import signal
import sys
import time
import typing

import msgspec
import rich.console
import rich.table

from egretjunction import imbalance
from egretjunction import metrics
from egretjunction.standins import cluster
from egretjunction.standins import customers
from egretjunction.standins import sizes

SETTLE_TIMEOUT_SECONDS = 20.0
PROGRESS_INTERVAL_SECONDS = 5.0
IMBALANCE_WINDOW_SECONDS = 10.0
TARGET_UTILISATION = 0.6
SMALL_WORK_MS = 500
LARGE_WORK_MS = 2000
LARGE_BODY_BYTES = 200_000
SMALL_BODY_BYTES = 200
FEEDS_PER_SERVICE = 6
COLD_START_SECONDS = 3.0
ENTRY_REPLACEMENT_SHARE = 0.3
SERVER_REPLACEMENT_SHARE = 0.5
RESTORE_SHARE = 0.7
RESTORED_COPY_SECONDS = 9.0
FABRIC_UPDATE_DELAY_SECONDS = 1.0
SLOTS_PER_SERVER = 2
POLL_INTERVAL_SECONDS = 0.2
BOOKING_SHARE = 0.8


class Event(msgspec.Struct):
    """A planned change.

    :param at: seconds since the load started.
    :param text: what changed.
    """

    at: float
    text: str


class Result(msgspec.Struct, kw_only=True):
    """Result of a demo run, as written by ``egretjunction demo --report``.

    :param seconds: duration of the load.
    :param imbalance_by_service: max/mean and coefficient of variation.
    :param latency_by_kind: latency quantiles in seconds, by names such as ``p50``.
    :param verdicts_by_kind: number of requests by verdict.
    """

    user: str
    seconds: float
    seed: int
    totals: customers.Totals
    imbalance_by_service: dict[str, tuple[float, float]]
    latency_by_kind: dict[str, dict[str, float]]
    verdicts_by_kind: dict[str, dict[str, int]]
    events: list[Event]
    samples: list[customers.Sample]
    feeds: list[customers.FeedResult]


class Demo:
    """One demo run.

    :param system: processes of the system.
    :param seconds: duration of the load.
    :param seed: seed of the load.
    """

    def __init__(self, system: cluster.Cluster, seconds: float, seed: int) -> None:
        self._system = system
        self._seconds = seconds
        self._seed = seed
        self._events: list[Event] = []

    async def run(self) -> Result:
        """Configure the system, run the load and return the result."""
        await self._configure()
        load = customers.LoadGenerator(self._system.caller, self._seed)
        activities = [
            load.run_kind(kind, self._seconds)
            for kind in request_kinds(self._system.size)
        ]
        activities.extend(
            load.run_feed(service.name, self._seconds)
            for service in self._system.size.services
            for _ in range(FEEDS_PER_SERVICE)
        )
        progress = asyncio.create_task(self._show_progress(load))
        await asyncio.gather(*activities, self._run_planned_changes(load))
        await load.finish()
        progress.cancel()
        return self._result(load)

    async def _configure(self) -> None:
        """Apply the configuration document and wait until every agent serves.

        A system that does not settle in time gets the load nevertheless.
        """
        await self._system.apply_document()
        deadline = time.monotonic() + SETTLE_TIMEOUT_SECONDS
        while not self._is_settled() and time.monotonic() < deadline:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    def _is_settled(self) -> bool:
        """Return whether every entry sees every agent in state ``serving``."""
        for entry in self._system.data_address_by_entry:
            entry_status = self._system.status(entry)
            for service in self._system.size.services:
                agents = entry_status['agents'].get(service.name, {}).values()
                serving = [agent for agent in agents if agent['state'] == 'serving']
                if len(serving) < service.servers:
                    return False
        return True

    async def _run_planned_changes(self, load: customers.LoadGenerator) -> None:
        """Replace an entry and a backend server, then restore the platform."""
        await asyncio.sleep(self._seconds * ENTRY_REPLACEMENT_SHARE)
        await self._replace_entry(load)
        await asyncio.sleep(
            self._seconds * (SERVER_REPLACEMENT_SHARE - ENTRY_REPLACEMENT_SHARE)
        )
        await self._replace_server(load)
        await self._restore_platform(load)

    async def _restore_platform(self, load: customers.LoadGenerator) -> None:
        await asyncio.sleep(self._seconds * (RESTORE_SHARE - SERVER_REPLACEMENT_SHARE))
        await asyncio.to_thread(self._system.restore_platform, RESTORED_COPY_SECONDS)
        self._record_event(
            load, f'platform restored, {RESTORED_COPY_SECONDS:.0f} s are lost'
        )

    def _record_event(self, load: customers.LoadGenerator, text: str) -> None:
        self._events.append(Event(round(load.elapsed_seconds, 2), text))

    async def _replace_entry(self, load: customers.LoadGenerator) -> None:
        system = self._system
        new_entry = f'entry-{system.size.entries + 1}'
        system.start_entry(new_entry, system.domain(0))
        await asyncio.to_thread(system.wait_until_reachable, [new_entry])
        await asyncio.to_thread(system.wait_for_state, new_entry, 'serving')
        self._record_event(load, f'{new_entry} joins')
        await asyncio.sleep(FABRIC_UPDATE_DELAY_SECONDS)
        old_entry = 'entry-1'
        system.send_signal(old_entry, signal.SIGTERM)
        self._record_event(load, f'{old_entry} leaves')
        await asyncio.sleep(FABRIC_UPDATE_DELAY_SECONDS)
        remaining = [name for name in system.data_address_by_entry if name != old_entry]
        delay = system.size.delay_seconds
        await asyncio.to_thread(system.set_fabric, remaining, delay_seconds=delay)

    async def _replace_server(self, load: customers.LoadGenerator) -> None:
        system = self._system
        service = system.size.services[0]
        old_server = f'{service.name}-1'
        system.send_signal(f'agent-{old_server}', signal.SIGTERM)
        self._record_event(load, f'{old_server} drains')
        new_server = system.start_server(service, service.servers, COLD_START_SECONDS)
        await asyncio.to_thread(system.wait_until_reachable, [f'agent-{new_server}'])
        self._record_event(load, f'{new_server} joins cold')

    async def _show_progress(self, load: customers.LoadGenerator) -> None:
        while True:
            await asyncio.sleep(PROGRESS_INTERVAL_SECONDS)
            broken = sum(1 for record in load.samples if record.broken)
            updates = sum(record.updates for record in load.feeds)
            sys.stderr.write(
                f'{load.elapsed_seconds:5.0f} s of {self._seconds:.0f}: '
                f'{len(load.samples)} requests, {updates} feed updates, '
                f'{broken} broken\n',
            )

    def _result(self, load: customers.LoadGenerator) -> Result:
        runs_by_request: collections.Counter[str] = collections.Counter()
        for server in self._system.backend_address_by_server:
            with contextlib.suppress(OSError):
                runs_by_request.update(self._system.backend_stats(server)['runs'])
        samples = load.samples
        return Result(
            user=self._system.size.user,
            seconds=self._seconds,
            seed=self._seed,
            totals=customers.count_totals(samples, load.feeds, runs_by_request),
            imbalance_by_service=self._measure_imbalance(samples),
            latency_by_kind=_latencies(samples),
            verdicts_by_kind=_verdicts(samples),
            events=self._events,
            samples=samples,
            feeds=load.feeds,
        )

    def _measure_imbalance(
        self,
        samples: typing.Sequence[customers.Sample],
    ) -> dict[str, tuple[float, float]]:
        """Return the imbalance before the planned replacement of a backend server."""
        ratios_by_service = {}
        for service in self._system.size.services:
            servers = [
                f'{service.name}-{number + 1}' for number in range(service.servers)
            ]
            usages = [
                imbalance.SlotUsage(sample.at, sample.server, sample.work_ms / 1000)
                for sample in samples
                if sample.server in servers
                and sample.at < self._seconds * SERVER_REPLACEMENT_SHARE
            ]
            measured = imbalance.measure(
                usages,
                functools.partial(_servers_in_window, servers),
                IMBALANCE_WINDOW_SECONDS,
            )
            ratios_by_service[service.name] = (
                measured.max_over_mean,
                measured.variation,
            )
        return ratios_by_service


def _servers_in_window(servers: list[str], _window: int) -> list[str]:
    """Return the same backend servers for every window."""
    return servers


def request_kinds(size: sizes.Size) -> list[customers.RequestKind]:
    """Return small requests for the first service and large ones for the last."""
    small, large = size.services
    small_rate = (
        small.servers * SLOTS_PER_SERVER / (SMALL_WORK_MS / 1000) * TARGET_UTILISATION
    )
    large_rate = (
        large.servers * SLOTS_PER_SERVER / (LARGE_WORK_MS / 1000) * TARGET_UTILISATION
    )
    return [
        customers.RequestKind(
            name='booking',
            service=small.name,
            method='POST',
            path='/bookings',
            work_ms=SMALL_WORK_MS,
            body_bytes=SMALL_BODY_BYTES,
            requests_per_second=small_rate * BOOKING_SHARE,
        ),
        customers.RequestKind(
            name='reschedule',
            service=small.name,
            method='PUT',
            path='/bookings/1',
            work_ms=SMALL_WORK_MS,
            body_bytes=SMALL_BODY_BYTES,
            requests_per_second=small_rate * (1 - BOOKING_SHARE),
        ),
        customers.RequestKind(
            name='photo',
            service=large.name,
            method='POST',
            path='/photos',
            work_ms=LARGE_WORK_MS,
            body_bytes=LARGE_BODY_BYTES,
            requests_per_second=large_rate,
        ),
    ]


def _latencies(
    samples: typing.Sequence[customers.Sample],
) -> dict[str, dict[str, float]]:
    latencies_by_kind: dict[str, metrics.LatencyHistogram] = {}
    for sample in samples:
        if sample.server:
            latencies_by_kind.setdefault(
                sample.kind, metrics.LatencyHistogram()
            ).record(sample.seconds)
    return {
        kind: {
            f'p{fraction * 100:g}': latencies.quantile(fraction)
            for fraction in metrics.QUANTILES
        }
        for kind, latencies in latencies_by_kind.items()
    }


def _verdicts(samples: typing.Sequence[customers.Sample]) -> dict[str, dict[str, int]]:
    verdicts_by_kind: dict[str, collections.Counter[str]] = {}
    for sample in samples:
        verdicts_by_kind.setdefault(sample.kind, collections.Counter())[
            sample.verdict
        ] += 1
    return {kind: dict(counter) for kind, counter in verdicts_by_kind.items()}


def show(result: Result) -> None:
    """Print the result tables and the planned changes of a run."""
    console = rich.console.Console()
    console.print(_totals_table(result))
    console.print(_imbalance_table(result))
    console.print(_latency_table(result))
    for event in result.events:
        console.print(f'{event.at:7.2f} s  {event.text}')


def _totals_table(result: Result) -> rich.table.Table:
    totals = rich.table.Table(title=f'{result.user}: guarantees', show_header=False)
    for name, count in msgspec.structs.asdict(result.totals).items():
        formatted = f'{count:.3f}' if isinstance(count, float) else str(count)
        totals.add_row(name.replace('_', ' '), formatted)
    return totals


def _imbalance_table(result: Result) -> rich.table.Table:
    imbalance_table = rich.table.Table(
        'service', 'max/mean', 'variation', title='imbalance'
    )
    for name, (ratio, variation) in result.imbalance_by_service.items():
        imbalance_table.add_row(name, f'{ratio:.3f}', f'{variation:.3f}')
    return imbalance_table


def _latency_table(result: Result) -> rich.table.Table:
    latency_table = rich.table.Table(title='latency in seconds')
    latency_table.add_column('kind')
    for fraction in metrics.QUANTILES:
        latency_table.add_column(f'p{fraction * 100:g}')
    latency_table.add_column('verdicts')
    for kind, latency_by_quantile in result.latency_by_kind.items():
        seconds = [f'{latency:.3f}' for latency in latency_by_quantile.values()]
        count_by_verdict = result.verdicts_by_kind[kind]
        verdicts = ' '.join(
            f'{verdict}={count}' for verdict, count in count_by_verdict.items()
        )
        latency_table.add_row(kind, *seconds, verdicts)
    return latency_table


def run(
    folder: pathlib.Path,
    size: sizes.Size,
    seconds: float,
    seed: int,
) -> Result:
    """Start the system, run the load and stop the system.

    :param folder: directory for settings and logs.
    :param size: size of the user's system.
    :param seconds: duration of the load.
    :param seed: seed of the load.
    :return: the result of the run.
    """
    system = cluster.Cluster(folder, size)
    try:
        system.start()
        return asyncio.run(Demo(system, seconds, seed).run())
    finally:
        system.stop()
