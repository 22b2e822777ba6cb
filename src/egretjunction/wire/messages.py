"""Control messages between entries and agents, sealed with the shared key."""

import hashlib
import hmac
import typing

import msgspec

from egretjunction import addresses
from egretjunction import document_changes
from egretjunction import errors
from egretjunction import member_records

SEAL_BYTES = 8
MAX_MESSAGE_BYTES = 2_000_000


class Record(msgspec.Struct, array_like=True, frozen=True):
    """A membership record as it travels."""

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
    """A member tells a home entry about itself.

    :param generation: the configuration that the member follows.
    :param roster: hash of the entries that the member knows, 0 for none.
    """

    record: Record
    generation: int
    roster: int


class Alive(msgspec.Struct, tag='l', array_like=True, frozen=True):
    """A member whose record is unchanged tells a home entry that it lives on.

    :param incarnation: incarnation of the record that was announced.
    :param sequence: sequence of that record.
    :param generation: the configuration that the member follows.
    :param roster: hash of the entries that the member knows, 0 for none.
    """

    name: str
    incarnation: int
    sequence: int
    generation: int
    roster: int


class Welcome(msgspec.Struct, tag='w', array_like=True, frozen=True):
    """A home entry answers an announcement.

    :param sender: control address of the entry.
    :param generation: the configuration in force at the entry.
    :param roster: hash of the lists below.
    :param wants_record: whether the member should announce its whole record.
    :param known: a newer record of the member than the announced one, if any.
    :param homes: entries to announce to; empty while the hashes agree.
    :param entries: some entries that can carry answers; empty likewise.
    """

    sender: bytes
    generation: int
    roster: int
    wants_record: bool = False
    known: Record | None = None
    homes: tuple[Record, ...] = ()
    entries: tuple[Record, ...] = ()


class Deltas(msgspec.Struct, tag='d', array_like=True, frozen=True):
    """Records that one entry sends to another."""

    records: tuple[Record, ...]


class Digest(msgspec.Struct, tag='g', array_like=True, frozen=True):
    """One hash of the sender's view, with its configuration generation.

    :param member_count: number of records in the view.
    :param ages: seconds since something was heard from each failure domain.
    """

    sender: Record
    root: int
    member_count: int
    generation: int
    ages: dict[str, int]


class Buckets(msgspec.Struct, tag='b', array_like=True, frozen=True):
    """The hashes of all buckets, after two roots differed.

    :param hashes: four bytes a bucket.
    :param is_joining: whether the sender has just started and knows little.
    """

    sender: Record
    hashes: bytes
    is_joining: bool


class Repair(msgspec.Struct, tag='r', array_like=True, frozen=True):
    """All records of the buckets that differ.

    :param member_count: number of records in the sender's view.
    :param wants_answer: whether the receiver should send its own records back.
    """

    sender: Record
    buckets: tuple[int, ...]
    records: tuple[Record, ...]
    member_count: int
    wants_answer: bool


class ConfigurationRequest(msgspec.Struct, tag='c', array_like=True, frozen=True):
    """Asks for what came after a generation.

    :param service: the only service of interest, empty for the whole document.
    """

    sender: Record
    generation: int
    service: str


class ConfigurationChanges(msgspec.Struct, tag='f', array_like=True, frozen=True):
    """The changes after the asked generation, oldest first."""

    changes: tuple[document_changes.Change, ...]


class ConfigurationSnapshot(msgspec.Struct, tag='s', array_like=True, frozen=True):
    """A whole document, or the sections of one service."""

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
    """Return the travelling form of a membership record."""
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
    """Return the membership record of its travelling form.

    :raises errors.PacketError: when an address has not six bytes.
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


def _seal(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2s(
        body,
        key=key,
        digest_size=SEAL_BYTES,
        person=b'control',
    ).digest()


def encode(key: bytes, message: Message) -> bytes:
    """Return the sealed bytes of a message."""
    body = _ENCODER.encode(message)
    return _seal(key, body) + body


def decode(key: bytes, sealed: bytes) -> typing.Any:
    """Check and read a message.

    :param key: the shared secret.
    :param sealed: bytes as received.
    :return: one of the message classes.
    :raises errors.PacketError: when the seal or the content is wrong.
    """
    if len(sealed) > MAX_MESSAGE_BYTES:
        raise errors.PacketError('message is too long')
    body = sealed[SEAL_BYTES:]
    if not hmac.compare_digest(sealed[:SEAL_BYTES], _seal(key, body)):
        raise errors.PacketError('message has a wrong seal')
    try:
        return _DECODER.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.PacketError(f'message cannot be read: {error}') from error
