"""The demo: a user's whole system on loopback, with planned changes midway."""

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

SETTLE_SECONDS = 20.0
PROGRESS_SECONDS = 5.0
WINDOW_SECONDS = 10.0
LOAD_SHARE = 0.6
SMALL_MS = 500
LARGE_MS = 2000
LARGE_BYTES = 200_000
SMALL_BYTES = 200
FEEDS_PER_SERVICE = 6
COLD_SECONDS = 3.0
ENTRY_AT = 0.3
DRAIN_AT = 0.5
FABRIC_NOTICE_SECONDS = 1.0
SLOTS = 2
POLL_SECONDS = 0.2
BOOKING_SHARE = 0.8


class Event(msgspec.Struct):
    """A planned change, with the second of the run that it happened in."""

    at: float
    text: str


class Result(msgspec.Struct, kw_only=True):
    """All that a run has shown.

    :param imbalance_by_service: max/mean and coefficient of variation.
    :param latency_by_kind: p50, p90, p99 and maximum in seconds.
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
    """One run.

    :param system: the processes.
    :param seconds: length of the load.
    :param seed: seed of the load.
    """

    def __init__(self, system: cluster.Cluster, seconds: float, seed: int) -> None:
        self._system = system
        self._seconds = seconds
        self._seed = seed
        self._events: list[Event] = []

    async def run(self) -> Result:
        """Configure the system, drive the load and return what was seen."""
        await self._configure()
        crowd = customers.Load(self._system.caller, self._seed)
        work = [
            crowd.run_kind(kind, self._seconds) for kind in kinds(self._system.size)
        ]
        work.extend(
            crowd.run_feed(service.name, self._seconds)
            for service in self._system.size.services
            for _ in range(FEEDS_PER_SERVICE)
        )
        progress = asyncio.create_task(self._show_progress(crowd))
        await asyncio.gather(*work, self._changes(crowd))
        await crowd.finish()
        progress.cancel()
        return self._result(crowd)

    async def _configure(self) -> None:
        """Have the document accepted and wait until every agent serves."""
        await self._system.accept_document()
        deadline = time.monotonic() + SETTLE_SECONDS
        while not self._is_settled() and time.monotonic() < deadline:
            await asyncio.sleep(POLL_SECONDS)

    def _is_settled(self) -> bool:
        """Tell whether every entry sees every agent serve."""
        for entry in self._system.data_by_entry:
            shown = self._system.status(entry)
            for service in self._system.size.services:
                agents = shown['agents'].get(service.name, {}).values()
                serving = [each for each in agents if each['state'] == 'serving']
                if len(serving) < service.servers:
                    return False
        return True

    async def _changes(self, crowd: customers.Load) -> None:
        """Replace an entry and a backend server while the load goes on."""
        await asyncio.sleep(self._seconds * ENTRY_AT)
        await self._replace_entry(crowd)
        await asyncio.sleep(self._seconds * (DRAIN_AT - ENTRY_AT))
        await self._replace_server(crowd)

    def _note(self, crowd: customers.Load, text: str) -> None:
        self._events.append(Event(round(crowd.elapsed, 2), text))

    async def _replace_entry(self, crowd: customers.Load) -> None:
        system = self._system
        new = f'entry-{system.size.entries + 1}'
        system.start_entry(new, system.domain(0))
        await asyncio.to_thread(system.wait_for, [new])
        await asyncio.to_thread(system.wait_for_state, new, 'serving')
        self._note(crowd, f'{new} joins')
        await asyncio.sleep(FABRIC_NOTICE_SECONDS)
        old = 'entry-1'
        system.send_signal(old, signal.SIGTERM)
        self._note(crowd, f'{old} leaves')
        await asyncio.sleep(FABRIC_NOTICE_SECONDS)
        live = [name for name in system.data_by_entry if name != old]
        delay = system.size.delay_seconds
        await asyncio.to_thread(system.set_fabric, live, delay_seconds=delay)

    async def _replace_server(self, crowd: customers.Load) -> None:
        system = self._system
        service = system.size.services[0]
        leaving = f'{service.name}-1'
        system.send_signal(f'agent-{leaving}', signal.SIGTERM)
        self._note(crowd, f'{leaving} drains')
        name = system.start_server(service, service.servers, COLD_SECONDS)
        await asyncio.to_thread(system.wait_for, [f'agent-{name}'])
        self._note(crowd, f'{name} joins cold')

    async def _show_progress(self, crowd: customers.Load) -> None:
        while True:
            await asyncio.sleep(PROGRESS_SECONDS)
            broken = sum(1 for each in crowd.samples if each.broken)
            updates = sum(each.updates for each in crowd.feeds)
            sys.stderr.write(
                f'{crowd.elapsed:5.0f} s of {self._seconds:.0f}: '
                f'{len(crowd.samples)} requests, {updates} feed updates, '
                f'{broken} broken\n',
            )

    def _result(self, crowd: customers.Load) -> Result:
        runs: collections.Counter[str] = collections.Counter()
        for server in self._system.backend_by_server:
            with contextlib.suppress(OSError):
                runs.update(self._system.record_of(server)['runs'])
        samples = crowd.samples
        return Result(
            user=self._system.size.user,
            seconds=self._seconds,
            seed=self._seed,
            totals=customers.total(samples, crowd.feeds, runs),
            imbalance_by_service=self._imbalance(samples),
            latency_by_kind=_latencies(samples),
            verdicts_by_kind=_verdicts(samples),
            events=self._events,
            samples=samples,
            feeds=crowd.feeds,
        )

    def _imbalance(
        self,
        samples: typing.Sequence[customers.Sample],
    ) -> dict[str, tuple[float, float]]:
        """Measure before the first change of backend servers."""
        found = {}
        for service in self._system.size.services:
            servers = [
                f'{service.name}-{number + 1}' for number in range(service.servers)
            ]
            done = [
                imbalance.Work(each.at, each.server, each.work_ms / 1000)
                for each in samples
                if each.server in servers and each.at < self._seconds * DRAIN_AT
            ]
            measured = imbalance.measure(
                done,
                functools.partial(_same, servers),
                WINDOW_SECONDS,
            )
            found[service.name] = (measured.max_over_mean, measured.variation)
        return found


def _same(servers: list[str], _window: int) -> list[str]:
    """Return the same servers for every window."""
    return servers


def kinds(size: sizes.Size) -> list[customers.Kind]:
    """Return the work for a user: small on the first service, large on the last."""
    small, large = size.services
    small_rate = small.servers * SLOTS / (SMALL_MS / 1000) * LOAD_SHARE
    large_rate = large.servers * SLOTS / (LARGE_MS / 1000) * LOAD_SHARE
    return [
        customers.Kind(
            name='booking',
            service=small.name,
            method='POST',
            path='/bookings',
            work_ms=SMALL_MS,
            body_bytes=SMALL_BYTES,
            per_second=small_rate * BOOKING_SHARE,
        ),
        customers.Kind(
            name='reschedule',
            service=small.name,
            method='PUT',
            path='/bookings/1',
            work_ms=SMALL_MS,
            body_bytes=SMALL_BYTES,
            per_second=small_rate * (1 - BOOKING_SHARE),
        ),
        customers.Kind(
            name='photo',
            service=large.name,
            method='POST',
            path='/photos',
            work_ms=LARGE_MS,
            body_bytes=LARGE_BYTES,
            per_second=large_rate,
        ),
    ]


def _latencies(
    samples: typing.Sequence[customers.Sample],
) -> dict[str, dict[str, float]]:
    by_kind: dict[str, metrics.LatencyHistogram] = {}
    for each in samples:
        if each.server:
            by_kind.setdefault(each.kind, metrics.LatencyHistogram()).record(
                each.seconds
            )
    return {
        kind: {
            f'p{share * 100:g}': found.quantile(share) for share in metrics.QUANTILES
        }
        for kind, found in by_kind.items()
    }


def _verdicts(samples: typing.Sequence[customers.Sample]) -> dict[str, dict[str, int]]:
    by_kind: dict[str, collections.Counter[str]] = {}
    for each in samples:
        by_kind.setdefault(each.kind, collections.Counter())[each.verdict] += 1
    return {kind: dict(found) for kind, found in by_kind.items()}


def show(result: Result) -> None:
    """Print the tables that end a run."""
    console = rich.console.Console()
    console.print(_totals_table(result))
    console.print(_imbalance_table(result))
    console.print(_latency_table(result))
    for event in result.events:
        console.print(f'{event.at:7.2f} s  {event.text}')


def _totals_table(result: Result) -> rich.table.Table:
    totals = rich.table.Table(title=f'{result.user}: promises', show_header=False)
    for name, count in msgspec.structs.asdict(result.totals).items():
        shown = f'{count:.3f}' if isinstance(count, float) else str(count)
        totals.add_row(name.replace('_', ' '), shown)
    return totals


def _imbalance_table(result: Result) -> rich.table.Table:
    balance = rich.table.Table('service', 'max/mean', 'variation', title='imbalance')
    for name, (ratio, variation) in result.imbalance_by_service.items():
        balance.add_row(name, f'{ratio:.3f}', f'{variation:.3f}')
    return balance


def _latency_table(result: Result) -> rich.table.Table:
    latency = rich.table.Table(title='latency in seconds')
    latency.add_column('kind')
    for share in metrics.QUANTILES:
        latency.add_column(f'p{share * 100:g}')
    latency.add_column('verdicts')
    for kind, found in result.latency_by_kind.items():
        seconds = [f'{each:.3f}' for each in found.values()]
        counted = result.verdicts_by_kind[kind]
        shown = ' '.join(f'{verdict}={count}' for verdict, count in counted.items())
        latency.add_row(kind, *seconds, shown)
    return latency


def run(
    folder: pathlib.Path,
    size: sizes.Size,
    seconds: float,
    seed: int,
) -> Result:
    """Start everything, run the load, stop everything.

    :param folder: where settings and logs go.
    :param size: the user's size.
    :param seconds: length of the load.
    :param seed: seed of the load.
    """
    system = cluster.Cluster(folder, size)
    try:
        system.start()
        return asyncio.run(Demo(system, seconds, seed).run())
    finally:
        system.stop()
