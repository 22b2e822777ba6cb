"""The load of each role at the target size, from measured slopes."""

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
NEW_FLOWS = 110_000
DOMAINS = 12
CHANGES_PER_DAY = 1400
REPLACED_PER_DAY = 3514
MEMBERS = ENTRIES + SERVERS
SECONDS_PER_DAY = 86_400

LIMIT_CORE = 0.039
LIMIT_BYTES = 256e6
LIMIT_RATE = 5000
LIMIT_IN_FORCE = 10
PLATFORM_READS = 2000
PLATFORM_WRITES = 200
VALUE_BYTES = 1e6

RECORDS_PER_REPLACEMENT = 6
WIRE_BYTES_PER_MESSAGE = 61
ACKNOWLEDGEMENT_BYTES = 55
REPAIRED_BUCKETS = 2
HEAD_BYTES = configuration.MAX_RECENT_BYTES + 400
GOSSIP_HOPS = 8


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """One line of the table.

    :param limit: the stated limit, None where the target names none.
    :param mechanism: what keeps the figure where it is.
    """

    role: str
    figure: str
    value: float
    unit: str
    limit: float | None
    mechanism: str

    @property
    def verdict(self) -> str:
        """Return ``holds``, ``misses`` or a dash."""
        if self.limit is None:
            return '-'
        return 'holds' if self.value <= self.limit else 'MISSES'


class Measured(msgspec.Struct, frozen=True, kw_only=True):
    """What the benchmarks have written.

    :param lines: fitted lines of ``bench.slopes`` by name.
    :param agent: figures of ``bench.agent`` by name.
    :param sockets: processor seconds per packet by payload size.
    :param passes_per_flow: how often a first packet is passed on in the morning
        rush of ``bench.policy``.
    """

    lines: dict[str, fitting.Line]
    agent: dict[str, float]
    sockets: dict[str, float]
    passes_per_flow: float


class Rates(msgspec.Struct, frozen=True, kw_only=True):
    """Messages a second of one entry at the target size."""

    announced: float
    own_announced: float
    digests: float
    records: float
    rumors: float
    repairs: float
    changes: float


def rates(measured: Measured) -> Rates:
    """Return how often each control message is sent, from the protocol's numbers."""
    records = REPLACED_PER_DAY * RECORDS_PER_REPLACEMENT / SECONDS_PER_DAY
    copies = entry_control.NEIGHBOUR_COUNT * membership.RUMOR_SENDS
    buckets = measured.lines['buckets_bytes'].intercept
    watched = MEMBERS * membership.HOME_COUNT / ENTRIES
    return Rates(
        announced=watched / membership.ANNOUNCE_SECONDS,
        own_announced=membership.HOME_COUNT / membership.ANNOUNCE_SECONDS,
        digests=entry_control.NEIGHBOUR_COUNT / membership.DIGEST_SECONDS,
        records=records,
        rumors=records * copies,
        repairs=repairs.BYTES_PER_SECOND / buckets,
        changes=CHANGES_PER_DAY / SECONDS_PER_DAY,
    )


def entry_rows(measured: Measured) -> list[Row]:
    """Work out the control part of one entry."""
    lines = measured.lines
    now = rates(measured)
    announce = lines['announce_bytes'].intercept
    welcome = lines['welcome_bytes'].at(MEMBERS)
    digest = lines['digest_bytes'].at(DOMAINS)
    record = lines['record_bytes'].slope
    buckets = lines['buckets_bytes'].intercept
    per_bucket = MEMBERS / membership.BUCKET_COUNT * record
    repair = now.repairs * (buckets + 2 * REPAIRED_BUCKETS * per_bucket)
    change = lines['change_bytes'].at(1) * now.changes * entry_control.NEIGHBOUR_COUNT
    received = (
        now.announced * announce
        + now.own_announced * welcome
        + now.digests * digest
        + now.rumors * record
        + repair
        + change
    )
    sent = (
        now.announced * welcome
        + now.own_announced * announce
        + now.digests * digest
        + now.rumors * record
        + repair
        + change
    )
    count = 2 * (
        now.announced + now.own_announced + now.digests + now.rumors + 3 * now.repairs
    )
    headers = count * WIRE_BYTES_PER_MESSAGE
    core = (
        now.announced * lines['announce_us'].at(MEMBERS)
        + lines['tick_us'].at(MEMBERS)
        + now.rumors * lines['delta_us'].at(MEMBERS)
        + now.changes * lines['change_us'].at(SERVICES)
    ) / 1e6 + measured.agent['entry_idle_core']
    memory = (
        measured.agent['entry_idle_bytes']
        + lines['view_bytes'].at(MEMBERS)
        + lines['in_force_bytes'].at(SERVICES)
    )
    role = 'entry, control'
    return [
        Row(
            role=role,
            figure='messages sent and received',
            value=count,
            unit='1/s',
            limit=None,
            mechanism='home entries, ring of neighbours',
        ),
        Row(
            role=role,
            figure='bytes sent',
            value=sent + headers / 2,
            unit='B/s',
            limit=LIMIT_RATE,
            mechanism='rosters by hash, rumors of fixed length, repair budget',
        ),
        Row(
            role=role,
            figure='bytes received',
            value=received + headers / 2,
            unit='B/s',
            limit=LIMIT_RATE,
            mechanism='two home entries for each member',
        ),
        Row(
            role=role,
            figure='bytes sent and received together',
            value=sent + received + headers,
            unit='B/s',
            limit=LIMIT_RATE,
            mechanism='all of the above',
        ),
        Row(
            role=role,
            figure='the same, for an entry that watches the platform',
            value=sent + received + headers + now.changes * HEAD_BYTES,
            unit='B/s',
            limit=LIMIT_RATE,
            mechanism='the head holds few recent changes',
        ),
        Row(
            role=role,
            figure='processor time',
            value=core,
            unit='core',
            limit=LIMIT_CORE,
            mechanism='kept list of entries, only changed sections are read',
        ),
        Row(
            role=role,
            figure='memory',
            value=memory,
            unit='B',
            limit=LIMIT_BYTES,
            mechanism='one record a member, no state of flows',
        ),
    ]


def agent_rows(measured: Measured) -> list[Row]:
    """Work out one agent."""
    lines = measured.lines
    per_second = membership.HOME_COUNT / membership.ANNOUNCE_SECONDS
    payload = lines['announce_bytes'].intercept + lines['welcome_bytes'].intercept
    wire = per_second * (payload + 2 * WIRE_BYTES_PER_MESSAGE)
    flows = FLOWS / SERVERS
    new_flows = NEW_FLOWS / SERVERS
    acknowledged = 2 * new_flows * measured.passes_per_flow
    wire += acknowledged * ACKNOWLEDGEMENT_BYTES
    control = measured.agent['agent_idle_core']
    return [
        Row(
            role='agent, control',
            figure='bytes sent and received together',
            value=wire,
            unit='B/s',
            limit=LIMIT_RATE,
            mechanism='two home entries; one acknowledgement for each packet passed on',
        ),
        Row(
            role='agent, control',
            figure='processor time, health checks included',
            value=control,
            unit='core',
            limit=LIMIT_CORE,
            mechanism='no view of other members',
        ),
        Row(
            role='agent, control',
            figure='memory without flows',
            value=measured.agent['agent_idle_bytes'],
            unit='B',
            limit=LIMIT_BYTES,
            mechanism='only its own section of the configuration',
        ),
        Row(
            role='agent, flows',
            figure='open flows',
            value=flows,
            unit='flows',
            limit=None,
            mechanism='the agent owns the flow and its keys',
        ),
        Row(
            role='agent, flows',
            figure='memory of flows',
            value=flows * measured.agent['flow_bytes'],
            unit='B',
            limit=None,
            mechanism='one QUIC connection a flow',
        ),
        Row(
            role='agent, flows',
            figure='processor time of handshakes',
            value=new_flows * measured.agent['handshake_seconds'],
            unit='core',
            limit=None,
            mechanism='handshakes are spread over all agents',
        ),
    ]


def data_rows(measured: Measured) -> list[Row]:
    """Work out the packets of one entry."""
    flows = FLOWS / ENTRIES
    per_packet = max(measured.sockets.values())
    first = measured.lines['first_packet_us'].at(SERVERS / SERVICES) / 1e6
    return [
        Row(
            role='entry, packets',
            figure='flows whose packets it may carry',
            value=flows,
            unit='flows',
            limit=None,
            mechanism='no state per flow',
        ),
        Row(
            role='entry, packets',
            figure='packets a second and flow that one core carries',
            value=1 / per_packet / flows,
            unit='1/s',
            limit=None,
            mechanism='the connection ID names the owner',
        ),
        Row(
            role='entry, packets',
            figure='processor time of first packets',
            value=NEW_FLOWS / ENTRIES * first,
            unit='core',
            limit=None,
            mechanism='rendezvous hash over one service',
        ),
    ]


def caller_rows() -> list[Row]:
    """Work out the caller library."""
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


def platform_rows(measured: Measured) -> list[Row]:
    """Work out the calls of the platform's service and the operators' command."""
    representatives = DOMAINS * entry_control.REPRESENTATIVES_PER_DOMAIN
    changes = CHANGES_PER_DAY / SECONDS_PER_DAY
    new_entries = REPLACED_PER_DAY * ENTRIES / MEMBERS / SECONDS_PER_DAY
    reads = (
        representatives / platform.WATCH_SECONDS
        + (ENTRIES - representatives) / entry.HEAD_POLL_SECONDS
        + changes * (representatives + 3)
        + new_entries * 2
    )
    writes = representatives / (entry.LEASE_SECONDS / 3) + changes * 4
    document = measured.lines['document_bytes'].at(SERVICES)
    return [
        Row(
            role='platform',
            figure='reads and watches',
            value=reads,
            unit='1/s',
            limit=PLATFORM_READS,
            mechanism='three entries of each domain watch, the others look rarely',
        ),
        Row(
            role='platform',
            figure='reads in the second after a change',
            value=2.0 * representatives
            + (ENTRIES - representatives) / entry.HEAD_POLL_SECONDS,
            unit='1/s',
            limit=PLATFORM_READS,
            mechanism='changes travel by gossip',
        ),
        Row(
            role='platform',
            figure='writes',
            value=writes,
            unit='1/s',
            limit=PLATFORM_WRITES,
            mechanism='only these entries stand in the registry',
        ),
        Row(
            role='operator command',
            figure='size of the document',
            value=document,
            unit='B',
            limit=VALUE_BYTES,
            mechanism='one value; a larger document is refused',
        ),
        Row(
            role='operator command',
            figure='time to read and check the document',
            value=measured.lines['snapshot_us'].at(SERVICES) / 1e6,
            unit='s',
            limit=LIMIT_IN_FORCE,
            mechanism='one pass over the sections',
        ),
    ]


def event_rows(measured: Measured) -> list[Row]:
    """Work out what a large event takes."""
    record = measured.lines['record_bytes'].slope
    lost = MEMBERS / DOMAINS
    per_second = entry_control.RECORDS_PER_MESSAGE / entry_control.TICK_SECONDS
    rounds = lost * membership.RUMOR_SENDS / per_second
    join = MEMBERS * record
    return [
        Row(
            role='events',
            figure='change in force at every entry',
            value=GOSSIP_HOPS * 0.05 + membership.ANNOUNCE_SECONDS,
            unit='s',
            limit=LIMIT_IN_FORCE,
            mechanism='watch, then digests at once, then announcements',
        ),
        Row(
            role='events',
            figure='records of a lost failure domain',
            value=lost,
            unit='records',
            limit=None,
            mechanism='the domain is left out as a group before they travel',
        ),
        Row(
            role='events',
            figure='time until these records have been sent',
            value=rounds,
            unit='s',
            limit=None,
            mechanism='rumors of eight records a second',
        ),
        Row(
            role='events',
            figure='bytes that a new entry receives once',
            value=join,
            unit='B',
            limit=None,
            mechanism='whole buckets from its neighbours',
        ),
        Row(
            role='events',
            figure='the same, on average over all entries',
            value=join * REPLACED_PER_DAY / MEMBERS / SECONDS_PER_DAY,
            unit='B/s',
            limit=LIMIT_RATE,
            mechanism='entries are replaced a few times a week',
        ),
    ]
