"""The entry daemon: forwards packets from the fabric to agents, and back."""

import asyncio
import signal
import time

import msgspec
from tornado import ioloop

from egretjunction import _admin
from egretjunction import _decoding
from egretjunction import _udp
from egretjunction import document_changes
from egretjunction import errors
from egretjunction import lifecycles
from egretjunction import logs
from egretjunction import member_records
from egretjunction import metrics
from egretjunction import platform
from egretjunction import settings
from egretjunction import store
from egretjunction.decisions import document
from egretjunction.decisions import entry_control
from egretjunction.decisions import incarnations
from egretjunction.decisions import routing
from egretjunction.quic import control
from egretjunction.quic import drops
from egretjunction.wire import packets

LEASE_SECONDS = 60.0
HEAD_POLL_SECONDS = 60.0
NO_REVISION = -1  # a watch of a head with another revision returns at once
PLATFORM_RETRY_SECONDS = 1.0
DRAIN_SECONDS = 3.0


class Entry:
    """One entry process with its sockets and state.

    :param entry_settings: validated settings.
    """

    def __init__(self, entry_settings: settings.Entry) -> None:
        self._settings = entry_settings
        self._clock = time.monotonic
        self._key = settings.read_key(entry_settings.key_file)
        self._metrics = metrics.Metrics('entry')
        self._lifecycle = lifecycles.Lifecycle('entry')
        self._control = entry_control.EntryControl(
            self._own_record(), entry_settings.seeds
        )
        self._router = routing.Router(
            self._key,
            self._control.view,
            self._control.active_configuration,
            self._control.domains,
        )
        self._control_sockets = control.ControlSockets(
            self._key,
            self._on_message,
            self._metrics,
            self._clock,
        )
        self._platform = platform.Platform(entry_settings.platform)
        self._drops = drops.DropCounter(self._metrics)
        self._stopped = asyncio.Event()
        self._head_revision = NO_REVISION

    async def run(self) -> None:
        """Serve until the drain is complete."""
        self._data = _udp.DatagramSocket(
            self._settings.data,
            self._on_datagram,
            asyncio.get_running_loop(),
        )
        self._control_sockets.listen(self._settings.control)
        self._register_gauges()
        admin = _admin.serve(
            self._settings.admin,
            self._metrics,
            self._status,
            self.drain,
        )
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.drain)
        ticker = ioloop.PeriodicCallback(
            self._tick,
            entry_control.TICK_SECONDS * 1000,
        )
        ticker.start()
        tasks = [
            asyncio.create_task(self._follow_head()),
            asyncio.create_task(self._keep_registered()),
        ]
        logs.get().info('entry_started', data=str(self._settings.data))
        await self._stopped.wait()
        for task in tasks:
            task.cancel()
        ticker.stop()
        self._data.close()
        self._control_sockets.close()
        admin.stop()
        logs.get().info('entry_stopped')

    def drain(self) -> None:
        """Announce the departure, then stop after ``DRAIN_SECONDS``."""
        if not self._lifecycle.send('drain'):
            return
        self._control_sockets.apply(
            self._control.change_state(member_records.State.GONE, self._clock()),
        )
        ioloop.IOLoop.current().call_later(DRAIN_SECONDS, self._finish_drain)

    def _finish_drain(self) -> None:
        self._lifecycle.send('quiet')
        self._stopped.set()

    def _own_record(self) -> member_records.Member:
        return member_records.Member(
            name=self._settings.name,
            kind=member_records.Kind.ENTRY,
            service='',
            domain=self._settings.domain,
            address=self._settings.data,
            control=self._settings.control,
            incarnation=incarnations.from_clock(time.time()),
            sequence=0,
            state=member_records.State.SERVING,
        )

    def _register_gauges(self) -> None:
        self._metrics.gauge('members', lambda: len(self._control.view))
        self._metrics.gauge(
            'watched_members', lambda: len(self._control.failure_detector)
        )
        self._metrics.gauge('datagrams_unsent', lambda: self._data.dropped)
        self._metrics.gauge(
            'configuration_generation',
            lambda: self._control.active_configuration.generation,
        )
        self._metrics.gauge(
            'domains_evacuated',
            lambda: len(self._control.active_configuration.document.evacuated_domains),
        )

    def _status(self) -> dict[str, object]:
        view = self._control.view
        active_document = self._control.active_configuration.document
        return {
            'name': self._settings.name,
            'state': self._lifecycle.state,
            'domain': self._settings.domain,
            'generation': self._control.active_configuration.generation,
            'change_id': self._control.active_configuration.change_id,
            'domains_evacuated': sorted(active_document.evacuated_domains),
            'entries': [entry.name for entry in view.entries()],
            'agents': {
                name: {
                    agent.name: {
                        'state': agent.state.value,
                        'fitness': agent.fitness,
                        'incarnation': agent.incarnation,
                        'sequence': agent.sequence,
                        'address': str(agent.address),
                        'domain': agent.domain,
                    }
                    for agent in view.agents(name)
                }
                for name in active_document.services
            },
        }

    def _on_datagram(self, datagram: bytes, sender: tuple[str, int]) -> None:
        try:
            envelope = packets.decode(datagram)
        except errors.PacketError as error:
            self._drops.record('malformed', sender, str(error))
            return
        if self._router.service_at(envelope.source) is not None:
            self._metrics.count('packets_to_callers')
            self._data.send(datagram, self._settings.fabric)
            return
        decision = self._router.route(
            envelope.destination, envelope.payload, self._clock()
        )
        if isinstance(decision, routing.Drop):
            self._drops.record(decision.reason, sender, str(envelope.destination))
            return
        if isinstance(decision, routing.Refuse):
            self._refuse(decision.reason, envelope, sender)
            return
        envelope.placement = packets.Placement(
            0,
            0,
            packets.NO_LOAD_SEEN,
            self._settings.data,
            decision.candidates,
        )
        self._metrics.count('packets_to_agents')
        self._data.send(packets.encode(envelope), decision.address)

    def _refuse(
        self, reason: str, envelope: packets.Envelope, sender: tuple[str, int]
    ) -> None:
        """Tell the caller of a first packet that its flow is refused."""
        # Entries that refuse nothing start faster without the QUIC library.
        from egretjunction.quic import connections

        self._drops.record(reason, sender, str(envelope.destination))
        try:
            packet = connections.refusal_packet(envelope.payload)
        except ValueError as error:
            self._drops.record('malformed', sender, str(error))
            return
        self._metrics.count('flows_refused')
        reply = packets.Envelope(envelope.destination, envelope.source, packet)
        self._data.send(packets.encode(reply), self._settings.fabric)

    def _on_message(self, message: object) -> list:
        effects = self._control.receive(message, self._clock())
        self._check_caught_up()
        return effects

    def _tick(self) -> None:
        self._control_sockets.apply(self._control.tick(self._clock()))
        self._control_sockets.close_idle()
        self._check_caught_up()

    def _check_caught_up(self) -> None:
        is_learning = self._lifecycle.state == 'learning'
        if is_learning and self._control.is_caught_up(self._clock()):
            self._lifecycle.send('caught_up')

    async def _follow_head(self) -> None:
        """Follow the head of the configuration; an outage only delays changes."""
        was_available = True
        while not self._stopped.is_set():
            try:
                await self._apply_head(await self._next_head())
                was_available = True
            except errors.PlatformUnavailableError as error:
                if was_available:
                    logs.get().warning('platform_unavailable', error=str(error))
                was_available = False
                # A restored platform may give the known revision to another head.
                self._head_revision = NO_REVISION
                self._metrics.count('platform_failures')
                await asyncio.sleep(PLATFORM_RETRY_SECONDS)

    async def _next_head(self) -> store.Item:
        """Watch the head, or poll it when configured and not a representative."""
        is_configured = self._control.active_configuration.generation > 0
        if is_configured and not self._control.is_representative:
            await asyncio.sleep(HEAD_POLL_SECONDS)
            return await self._platform.get(platform.HEAD_KEY)
        return await self._platform.watch(platform.HEAD_KEY, self._head_revision)

    async def _apply_head(self, item: store.Item) -> None:
        self._head_revision = item.revision
        if not item.data:
            await asyncio.sleep(PLATFORM_RETRY_SECONDS)
            return
        try:
            head = _decoding.decode_json(item.data, document_changes.Head)
        except msgspec.DecodeError as error:
            logs.get().error('head_unreadable', error=str(error))
            await asyncio.sleep(PLATFORM_RETRY_SECONDS)
            return
        generation = self._control.active_configuration.generation
        if head.generation < generation:
            logs.get().warning(
                'platform_answered_with_old_head', generation=head.generation
            )
            await asyncio.sleep(PLATFORM_RETRY_SECONDS)
            return
        self._control_sockets.apply(self._control.adopt(head.recent, self._clock()))
        if self._control.active_configuration.generation < head.generation:
            await self._fetch_snapshot(head)
        self._check_caught_up()

    async def _fetch_snapshot(self, head: document_changes.Head) -> None:
        item = await self._platform.get(head.snapshot_key)
        document_text = item.data.decode()
        if document.digest(document_text) != head.snapshot_sha256:
            logs.get().error('snapshot_is_wrong', key=head.snapshot_key)
            raise errors.PlatformUnavailableError('snapshot does not match its digest')
        change = head.recent[-1]
        effects = self._control.adopt_snapshot(change, document_text, self._clock())
        self._control_sockets.apply(effects)

    async def _keep_registered(self) -> None:
        """Keep a leased registry record of this entry, for new processes to find."""
        lease: store.Lease | None = None
        while not self._stopped.is_set():
            try:
                if self._control.is_representative:
                    lease = await self._register_or_renew(lease)
                await asyncio.sleep(LEASE_SECONDS / 3)
            except (errors.PlatformUnavailableError, errors.ConflictError):
                self._metrics.count('platform_failures')
                await asyncio.sleep(PLATFORM_RETRY_SECONDS)

    async def _register_or_renew(self, lease: store.Lease | None) -> store.Lease:
        if lease is not None and await self._platform.renew_lease(lease):
            return lease
        lease = await self._platform.grant_lease(LEASE_SECONDS)
        key = platform.ENTRIES_PREFIX + self._settings.name
        item = await self._platform.get(key)
        await self._platform.put(key, str(self._settings.control), item.revision, lease)
        logs.get().info('entry_registered', lease=lease.number, era=lease.era)
        return lease
