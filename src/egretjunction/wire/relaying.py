"""Messages between entries and agents that relay opaque flows."""

import enum
import typing

import msgspec
import xxhash

from egretjunction import errors


class State(enum.IntEnum):
    """What an agent says of its backend server."""

    STARTING = 0
    READY = 1
    DRAINING = 2
    UNFIT = 3
    GONE = 4


class Reason(enum.IntEnum):
    """Why an agent did not take a first packet."""

    BUSY = 0
    NOT_READY = 1
    WRONG_SERVICE = 2
    REFUSED = 3


class Status(msgspec.Struct, array_like=True):
    """What an agent tells with every answer.

    :param state: state of its backend server.
    :param work: requests at work, and flows whose first request is expected.
    :param flows: open flows.
    :param slots: requests that the backend server runs at once.
    :param version: highest version of the configuration that it has heard of.
    :param cold_ms: how much longer the backend server is slow after its start.
    :param knows_all_flows: whether it knows every flow of its backend server; one that
        was started later must ask the server.
    """

    state: State
    work: int
    flows: int
    slots: int
    version: int
    cold_ms: int = 0
    knows_all_flows: bool = True


class Offer(msgspec.Struct, array_like=True, tag=1):
    """Entry to agent: take this first packet or pass.

    :param token: names the offer in answers.
    :param service_tag: ``compute_service_tag`` the service that the route leads to.
    :param is_final: whether a busy agent takes it all the same.
    """

    token: int
    service_tag: int
    is_final: bool
    packet: bytes


class Deliver(msgspec.Struct, array_like=True, tag=2):
    """Entry to agent: a packet of a flow that the agent holds."""

    packet: bytes


class Question(msgspec.Struct, array_like=True):
    """One flow whose owner is searched.

    :param token: names the search in answers.
    :param acknowledged: acknowledgement number of the client's packet.
    """

    token: int
    key: bytes
    acknowledged: int


class Find(msgspec.Struct, array_like=True, tag=3):
    """Entry to agent: which of these flows do you hold?"""

    questions: list[Question]


class Ask(msgspec.Struct, array_like=True, tag=4):
    """Entry to agent: ask the backend server whether it holds this flow."""

    token: int
    packet: bytes


class Ping(msgspec.Struct, array_like=True, tag=5):
    """Entry to agent: tell your status.

    :param version: version of the configuration that the entry follows.
    :param is_unlisted: whether the store has lost the agent's key.
    """

    version: int
    is_unlisted: bool = False


class Held(msgspec.Struct, array_like=True, tag=6):
    """Agent to entry: this agent holds the flow.

    :param sequence: sequence number of its backend server's first packet.
    """

    token: int
    key: bytes
    sequence: int
    status: Status


class Passed(msgspec.Struct, array_like=True, tag=7):
    """Agent to entry: not taken."""

    token: int
    reason: Reason
    status: Status


class NotHeld(msgspec.Struct, array_like=True, tag=8):
    """Agent to entry: neither the agent nor its backend server holds the flows."""

    tokens: list[int]
    status: Status


class Unsure(msgspec.Struct, array_like=True, tag=9):
    """Agent to entry: only the backend server can tell."""

    tokens: list[int]
    status: Status


class Returned(msgspec.Struct, array_like=True, tag=10):
    """Agent to entry: a delivered packet of a flow that it does not hold."""

    packet: bytes
    status: Status


class Pong(msgspec.Struct, array_like=True, tag=0):
    """Agent to entry: its status, asked for or changed."""

    service_tag: int
    status: Status


Message = (
    Offer
    | Deliver
    | Find
    | Ask
    | Ping
    | Held
    | Passed
    | NotHeld
    | Unsure
    | Returned
    | Pong
)

_DECODER = msgspec.msgpack.Decoder(Message)
_ENCODER = msgspec.msgpack.Encoder()


def encode(message: Message) -> bytes:
    """Return the datagram of a message."""
    return _ENCODER.encode(message)


def decode(datagram: bytes) -> typing.Any:
    """Return the message in a datagram.

    :raises errors.PacketError: when it is none.
    """
    try:
        return _DECODER.decode(datagram)
    except msgspec.DecodeError as error:
        raise errors.PacketError(f'not a relay message: {error}') from error


def compute_service_tag(service: str) -> int:
    """Return the number that stands for a service on the wire."""
    return xxhash.xxh32_intdigest(service.encode())
