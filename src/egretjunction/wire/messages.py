"""Control messages between entries and agents, authenticated with the shared key.

A message on the wire is a MAC of its body, keyed with the shared secret, followed by
the body in MessagePack.
"""

import hashlib
import hmac
import typing

import msgspec

from egretjunction import addresses
from egretjunction import document_changes
from egretjunction import errors
from egretjunction import member_records

MAC_BYTES = 8
MAX_MESSAGE_BYTES = 2_000_000


class Record(msgspec.Struct, array_like=True, frozen=True):
    """A membership record in its wire format."""

    name: str
    kind: member_records.Kind
    service: str
    domain: str
    address: bytes
    control: bytes
    incarnation: int
    sequence: int
    state: member_records.State
    fitness: int


class Announce(msgspec.Struct, tag='a', array_like=True, frozen=True):
    """A member's record, sent to one of its home entries.

    :param generation: generation of the configuration that the member follows.
    :param roster: hash of the entry lists that the member has, 0 for none.
    """

    record: Record
    generation: int
    roster: int


class Alive(msgspec.Struct, tag='l', array_like=True, frozen=True):
    """Keepalive of a member whose record is unchanged, sent to a home entry.

    :param incarnation: incarnation of the last announced record.
    :param sequence: sequence of that record.
    :param generation: generation of the configuration that the member follows.
    :param roster: hash of the entry lists that the member has, 0 for none.
    """

    name: str
    incarnation: int
    sequence: int
    generation: int
    roster: int


class Welcome(msgspec.Struct, tag='w', array_like=True, frozen=True):
    """A home entry's reply to an announcement or a keepalive.

    :param sender: control address of the entry.
    :param generation: generation of the configuration in force at the entry.
    :param roster: hash of ``homes`` and ``entries``.
    :param wants_record: whether the member should send its whole record.
    :param known: a newer record of the member than the announced one, if any.
    :param homes: entries to announce to; empty when the roster hashes match.
    :param entries: some entries that can forward answers to callers; empty when the
        roster hashes match.
    """

    sender: bytes
    generation: int
    roster: int
    wants_record: bool = False
    known: Record | None = None
    homes: tuple[Record, ...] = ()
    entries: tuple[Record, ...] = ()


class Deltas(msgspec.Struct, tag='d', array_like=True, frozen=True):
    """Changed membership records that one entry sends to another."""

    records: tuple[Record, ...]


class Digest(msgspec.Struct, tag='g', array_like=True, frozen=True):
    """Summary of the sender's view, for anti-entropy between entries.

    :param root: hash of the whole view.
    :param member_count: number of records in the view.
    :param generation: generation of the sender's configuration.
    :param ages: seconds since the last message from each failure domain.
    """

    sender: Record
    root: int
    member_count: int
    generation: int
    ages: dict[str, int]


class Buckets(msgspec.Struct, tag='b', array_like=True, frozen=True):
    """The hashes of all buckets of a view, sent when two root hashes differ.

    :param hashes: concatenated hashes of 4 bytes, one per bucket.
    :param is_joining: whether the sender knows fewer than half of the receiver's
        records, as after its start.
    """

    sender: Record
    hashes: bytes
    is_joining: bool


class Repair(msgspec.Struct, tag='r', array_like=True, frozen=True):
    """All records of some buckets whose hashes differ.

    :param member_count: number of records in the sender's view.
    :param wants_answer: whether the receiver should reply with its own records.
    """

    sender: Record
    buckets: tuple[int, ...]
    records: tuple[Record, ...]
    member_count: int
    wants_answer: bool


class ConfigurationRequest(msgspec.Struct, tag='c', array_like=True, frozen=True):
    """Request for the configuration changes after a generation.

    :param service: the only service to send sections of; empty for the whole document.
    """

    sender: Record
    generation: int
    service: str


class ConfigurationChanges(msgspec.Struct, tag='f', array_like=True, frozen=True):
    """The changes after the requested generation, oldest first."""

    changes: tuple[document_changes.Change, ...]


class ConfigurationSnapshot(msgspec.Struct, tag='s', array_like=True, frozen=True):
    """The whole document, or the sections of one service."""

    change: document_changes.Change
    text: str


Message = (
    Announce
    | Alive
    | Welcome
    | Deltas
    | Digest
    | Buckets
    | Repair
    | ConfigurationRequest
    | ConfigurationChanges
    | ConfigurationSnapshot
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def to_record(member: member_records.Member) -> Record:
    """Return the wire format of a membership record."""
    return Record(
        member.name,
        member.kind,
        member.service,
        member.domain,
        addresses.pack(member.address),
        addresses.pack(member.control),
        member.incarnation,
        member.sequence,
        member.state,
        member.fitness,
    )


def to_member(record: Record) -> member_records.Member:
    """Return the membership record that a wire record holds.

    :raises errors.PacketError: when an address is not six bytes long.
    """
    sizes = {len(record.address), len(record.control)}
    if sizes != {addresses.PACKED_BYTES}:
        raise errors.PacketError('record has a malformed address')
    return member_records.Member(
        name=record.name,
        kind=record.kind,
        service=record.service,
        domain=record.domain,
        address=addresses.unpack(record.address),
        control=addresses.unpack(record.control),
        incarnation=record.incarnation,
        sequence=record.sequence,
        state=record.state,
        fitness=record.fitness,
    )


def _mac(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2s(
        body,
        key=key,
        digest_size=MAC_BYTES,
        person=b'control',
    ).digest()


def encode(key: bytes, message: Message) -> bytes:
    """Return the bytes of a message, with its MAC in front."""
    body = _ENCODER.encode(message)
    return _mac(key, body) + body


def decode(key: bytes, frame: bytes) -> typing.Any:
    """Authenticate and decode a message.

    :param key: the shared secret.
    :param frame: MAC and body as received.
    :return: one of the message classes.
    :raises errors.PacketError: when the message is too long, its MAC is wrong, or it
        cannot be decoded.
    """
    if len(frame) > MAX_MESSAGE_BYTES:
        raise errors.PacketError('message is too long')
    body = frame[MAC_BYTES:]
    if not hmac.compare_digest(frame[:MAC_BYTES], _mac(key, body)):
        raise errors.PacketError('message authentication failed: wrong MAC')
    try:
        return _DECODER.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.PacketError(f'message cannot be decoded: {error}') from error
