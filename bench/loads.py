"""Computes the load of each role at the target size from the measurements."""

import msgspec

from bench import fitting
from egretjunction import platform
from egretjunction.decisions import configuration
from egretjunction.decisions import entry_control
from egretjunction.decisions import membership
from egretjunction.decisions import repairs
from egretjunction.quic import entry

ENTRIES = 1200
SERVERS = 13_000
SERVICES = 1200
FLOWS = 35_000_000
NEW_FLOWS_PER_SECOND = 110_000
DOMAINS = 12
CHANGES_PER_DAY = 1400
REPLACEMENTS_PER_DAY = 3514
MEMBERS = ENTRIES + SERVERS
SECONDS_PER_DAY = 86_400

PROCESSOR_LIMIT_CORES = 0.039
MEMORY_LIMIT_BYTES = 256e6
TRAFFIC_LIMIT_BYTES_PER_SECOND = 5000
IN_FORCE_LIMIT_SECONDS = 10
PLATFORM_READS_PER_SECOND = 2000
PLATFORM_WRITES_PER_SECOND = 200
PLATFORM_VALUE_LIMIT_BYTES = 1e6

RECORDS_PER_REPLACEMENT = 6
HEADER_BYTES_PER_MESSAGE = 61
ACKNOWLEDGEMENT_BYTES = 55
BUCKETS_PER_REPAIR = 2
# The head value holds the recent changes and about 400 bytes more.
HEAD_BYTES = configuration.MAX_RECENT_BYTES + 400
GOSSIP_HOPS = 8


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """One line of the table.

    :param role: the daemon or program that carries the load.
    :param figure: what the value states.
    :param limit: upper limit of the target, None if it sets none.
    :param mechanism: what bounds the value.
    """

    role: str
    figure: str
    value: float
    unit: str
    limit: float | None
    mechanism: str

    @property
    def verdict(self) -> str:
        """Return ``holds`` or ``MISSES``, or ``-`` if there is no limit."""
        if self.limit is None:
            return '-'
        return 'holds' if self.value <= self.limit else 'MISSES'


class Measurements(msgspec.Struct, frozen=True, kw_only=True):
    """Committed results of the benchmarks.

    :param lines: fitted lines of ``bench.slopes`` by name.
    :param agent: figures of ``bench.agent`` by name.
    :param sockets: processor seconds per packet by payload size.
    :param passes_per_flow: mean number of times that a first packet is passed on, in
        the morning rush of ``bench.policy``.
    """

    lines: dict[str, fitting.Line]
    agent: dict[str, float]
    sockets: dict[str, float]
    passes_per_flow: float


class Rates(msgspec.Struct, frozen=True, kw_only=True):
    """Messages per second of one entry at the target size.

    :param announcements_received: announcements of the members whose home entry it is.
    :param announcements_sent: announcements of its own record.
    :param digests: digests sent to its neighbours.
    :param records: new membership records in the whole system.
    :param rumors: records sent to its neighbours.
    :param repairs: bucket exchanges with its neighbours.
    :param changes: configuration changes.
    """

    announcements_received: float
    announcements_sent: float
    digests: float
    records: float
    rumors: float
    repairs: float
    changes: float


def message_rates(measurements: Measurements) -> Rates:
    """Return the message rates that follow from the constants of the protocol."""
    records = REPLACEMENTS_PER_DAY * RECORDS_PER_REPLACEMENT / SECONDS_PER_DAY
    copies_per_record = entry_control.NEIGHBOUR_COUNT * membership.GOSSIP_SENDS
    buckets_bytes = measurements.lines['buckets_bytes'].intercept
    home_members = MEMBERS * membership.HOME_COUNT / ENTRIES
    return Rates(
        announcements_received=home_members / membership.ANNOUNCE_SECONDS,
        announcements_sent=membership.HOME_COUNT / membership.ANNOUNCE_SECONDS,
        digests=entry_control.NEIGHBOUR_COUNT / membership.DIGEST_SECONDS,
        records=records,
        rumors=records * copies_per_record,
        repairs=repairs.BYTES_PER_SECOND / buckets_bytes,
        changes=CHANGES_PER_DAY / SECONDS_PER_DAY,
    )


def entry_rows(measurements: Measurements) -> list[Row]:
    """Return the rows for the control traffic of one entry."""
    lines = measurements.lines
    rates = message_rates(measurements)
    announce_bytes = lines['announce_bytes'].intercept
    welcome_bytes = lines['welcome_bytes'].at(MEMBERS)
    digest_bytes = lines['digest_bytes'].at(DOMAINS)
    record_bytes = lines['record_bytes'].slope
    buckets_bytes = lines['buckets_bytes'].intercept
    record_bytes_per_bucket = MEMBERS / membership.BUCKET_COUNT * record_bytes
    repair_traffic = rates.repairs * (
        buckets_bytes + 2 * BUCKETS_PER_REPAIR * record_bytes_per_bucket
    )
    change_traffic = (
        lines['change_bytes'].at(1) * rates.changes * entry_control.NEIGHBOUR_COUNT
    )
    received_traffic = (
        rates.announcements_received * announce_bytes
        + rates.announcements_sent * welcome_bytes
        + rates.digests * digest_bytes
        + rates.rumors * record_bytes
        + repair_traffic
        + change_traffic
    )
    sent_traffic = (
        rates.announcements_received * welcome_bytes
        + rates.announcements_sent * announce_bytes
        + rates.digests * digest_bytes
        + rates.rumors * record_bytes
        + repair_traffic
        + change_traffic
    )
    message_rate = 2 * (
        rates.announcements_received
        + rates.announcements_sent
        + rates.digests
        + rates.rumors
        + 3 * rates.repairs
    )
    header_traffic = message_rate * HEADER_BYTES_PER_MESSAGE
    cores = (
        rates.announcements_received * lines['announce_us'].at(MEMBERS)
        + lines['tick_us'].at(MEMBERS)
        + rates.rumors * lines['delta_us'].at(MEMBERS)
        + rates.changes * lines['change_us'].at(SERVICES)
    ) / 1e6 + measurements.agent['entry_idle_core']
    memory_bytes = (
        measurements.agent['entry_idle_bytes']
        + lines['view_bytes'].at(MEMBERS)
        + lines['in_force_bytes'].at(SERVICES)
    )
    role = 'entry, control'
    return [
        Row(
            role=role,
            figure='messages sent and received',
            value=message_rate,
            unit='1/s',
            limit=None,
            mechanism='home entries, ring of neighbours',
        ),
        Row(
            role=role,
            figure='bytes sent',
            value=sent_traffic + header_traffic / 2,
            unit='B/s',
            limit=TRAFFIC_LIMIT_BYTES_PER_SECOND,
            mechanism='rosters by hash, rumors of fixed length, repair budget',
        ),
        Row(
            role=role,
            figure='bytes received',
            value=received_traffic + header_traffic / 2,
            unit='B/s',
            limit=TRAFFIC_LIMIT_BYTES_PER_SECOND,
            mechanism='two home entries for each member',
        ),
        Row(
            role=role,
            figure='bytes sent and received together',
            value=sent_traffic + received_traffic + header_traffic,
            unit='B/s',
            limit=TRAFFIC_LIMIT_BYTES_PER_SECOND,
            mechanism='all of the above',
        ),
        Row(
            role=role,
            figure='the same, for an entry that watches the platform',
            value=sent_traffic
            + received_traffic
            + header_traffic
            + rates.changes * HEAD_BYTES,
            unit='B/s',
            limit=TRAFFIC_LIMIT_BYTES_PER_SECOND,
            mechanism='the head value holds few recent changes',
        ),
        Row(
            role=role,
            figure='processor time',
            value=cores,
            unit='core',
            limit=PROCESSOR_LIMIT_CORES,
            mechanism='cached list of entries; only changed sections are parsed',
        ),
        Row(
            role=role,
            figure='memory',
            value=memory_bytes,
            unit='B',
            limit=MEMORY_LIMIT_BYTES,
            mechanism='one record per member, no state per flow',
        ),
    ]


def agent_rows(measurements: Measurements) -> list[Row]:
    """Return the rows for one agent."""
    lines = measurements.lines
    announcement_rate = membership.HOME_COUNT / membership.ANNOUNCE_SECONDS
    announcement_bytes = (
        lines['announce_bytes'].intercept + lines['welcome_bytes'].intercept
    )
    traffic = announcement_rate * (announcement_bytes + 2 * HEADER_BYTES_PER_MESSAGE)
    open_flows = FLOWS / SERVERS
    new_flow_rate = NEW_FLOWS_PER_SECOND / SERVERS
    acknowledgement_rate = 2 * new_flow_rate * measurements.passes_per_flow
    traffic += acknowledgement_rate * ACKNOWLEDGEMENT_BYTES
    control_cores = measurements.agent['agent_idle_core']
    return [
        Row(
            role='agent, control',
            figure='bytes sent and received together',
            value=traffic,
            unit='B/s',
            limit=TRAFFIC_LIMIT_BYTES_PER_SECOND,
            mechanism='two home entries; one acknowledgement for each packet passed on',
        ),
        Row(
            role='agent, control',
            figure='processor time, health checks included',
            value=control_cores,
            unit='core',
            limit=PROCESSOR_LIMIT_CORES,
            mechanism='no view of other members',
        ),
        Row(
            role='agent, control',
            figure='memory without flows',
            value=measurements.agent['agent_idle_bytes'],
            unit='B',
            limit=MEMORY_LIMIT_BYTES,
            mechanism='only its own section of the configuration',
        ),
        Row(
            role='agent, flows',
            figure='open flows',
            value=open_flows,
            unit='flows',
            limit=None,
            mechanism='the agent owns the flow and its keys',
        ),
        Row(
            role='agent, flows',
            figure='memory of flows',
            value=open_flows * measurements.agent['flow_bytes'],
            unit='B',
            limit=None,
            mechanism='one QUIC connection per flow',
        ),
        Row(
            role='agent, flows',
            figure='processor time of handshakes',
            value=new_flow_rate * measurements.agent['handshake_seconds'],
            unit='core',
            limit=None,
            mechanism='handshakes are spread over all agents',
        ),
    ]


def data_rows(measurements: Measurements) -> list[Row]:
    """Return the rows for the packets that one entry forwards."""
    flows_per_entry = FLOWS / ENTRIES
    seconds_per_packet = max(measurements.sockets.values())
    seconds_per_first_packet = (
        measurements.lines['first_packet_us'].at(SERVERS / SERVICES) / 1e6
    )
    return [
        Row(
            role='entry, packets',
            figure='flows whose packets it may forward',
            value=flows_per_entry,
            unit='flows',
            limit=None,
            mechanism='no state per flow',
        ),
        Row(
            role='entry, packets',
            figure='packets per second and flow that one core forwards',
            value=1 / seconds_per_packet / flows_per_entry,
            unit='1/s',
            limit=None,
            mechanism='the connection ID names the owner',
        ),
        Row(
            role='entry, packets',
            figure='processor time of first packets',
            value=NEW_FLOWS_PER_SECOND / ENTRIES * seconds_per_first_packet,
            unit='core',
            limit=None,
            mechanism='rendezvous hash over the servers of one service',
        ),
    ]


def caller_rows() -> list[Row]:
    """Return the rows for the caller library."""
    return [
        Row(
            role='caller library',
            figure='control messages',
            value=0,
            unit='1/s',
            limit=None,
            mechanism='knows only the service address',
        ),
    ]


def platform_rows(measurements: Measurements) -> list[Row]:
    """Return the rows for the platform's key-value store and the operator command."""
    representatives = DOMAINS * entry_control.REPRESENTATIVES_PER_DOMAIN
    change_rate = CHANGES_PER_DAY / SECONDS_PER_DAY
    new_entry_rate = REPLACEMENTS_PER_DAY * ENTRIES / MEMBERS / SECONDS_PER_DAY
    read_rate = (
        representatives / platform.WATCH_SECONDS
        + (ENTRIES - representatives) / entry.HEAD_POLL_SECONDS
        + change_rate * (representatives + 3)
        + new_entry_rate * 2
    )
    write_rate = representatives / (entry.LEASE_SECONDS / 3) + change_rate * 4
    document_bytes = measurements.lines['document_bytes'].at(SERVICES)
    return [
        Row(
            role='platform',
            figure='reads and watches',
            value=read_rate,
            unit='1/s',
            limit=PLATFORM_READS_PER_SECOND,
            mechanism='three entries of each domain watch, the others poll',
        ),
        Row(
            role='platform',
            figure='reads in the second after a change',
            value=2.0 * representatives
            + (ENTRIES - representatives) / entry.HEAD_POLL_SECONDS,
            unit='1/s',
            limit=PLATFORM_READS_PER_SECOND,
            mechanism='changes travel by gossip',
        ),
        Row(
            role='platform',
            figure='writes',
            value=write_rate,
            unit='1/s',
            limit=PLATFORM_WRITES_PER_SECOND,
            mechanism='only the watching entries are in the registry',
        ),
        Row(
            role='operator command',
            figure='size of the document',
            value=document_bytes,
            unit='B',
            limit=PLATFORM_VALUE_LIMIT_BYTES,
            mechanism='one stored value; a larger document is rejected',
        ),
        Row(
            role='operator command',
            figure='time to read and check the document',
            value=measurements.lines['snapshot_us'].at(SERVICES) / 1e6,
            unit='s',
            limit=IN_FORCE_LIMIT_SECONDS,
            mechanism='one pass over the sections',
        ),
    ]


def event_rows(measurements: Measurements) -> list[Row]:
    """Return the rows for large events, such as the loss of a failure domain."""
    record_bytes = measurements.lines['record_bytes'].slope
    lost_members = MEMBERS / DOMAINS
    records_per_second = entry_control.RECORDS_PER_MESSAGE / entry_control.TICK_SECONDS
    send_seconds = lost_members * membership.GOSSIP_SENDS / records_per_second
    join_bytes = MEMBERS * record_bytes
    return [
        Row(
            role='events',
            figure='change in force at every entry',
            value=GOSSIP_HOPS * 0.05 + membership.ANNOUNCE_SECONDS,
            unit='s',
            limit=IN_FORCE_LIMIT_SECONDS,
            mechanism='watch, then immediate digests, then announcements',
        ),
        Row(
            role='events',
            figure='records of a lost failure domain',
            value=lost_members,
            unit='records',
            limit=None,
            mechanism='entries exclude the whole domain before the records spread',
        ),
        Row(
            role='events',
            figure='time until these records have been sent',
            value=send_seconds,
            unit='s',
            limit=None,
            mechanism='rumors of eight records a second',
        ),
        Row(
            role='events',
            figure='bytes that a new entry receives once',
            value=join_bytes,
            unit='B',
            limit=None,
            mechanism='whole buckets from its neighbours',
        ),
        Row(
            role='events',
            figure='the same, on average over all entries',
            value=join_bytes * REPLACEMENTS_PER_DAY / MEMBERS / SECONDS_PER_DAY,
            unit='B/s',
            limit=TRAFFIC_LIMIT_BYTES_PER_SECOND,
            mechanism='entries are replaced a few times a week',
        ),
    ]
