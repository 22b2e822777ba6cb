"""Messages between entries and agents that relay opaque flows."""

import enum
import typing

import msgspec
import xxhash

from egretjunction import _decoding
from egretjunction import errors

ANNOUNCE_TAG = 11
NO_LIMIT = -1
NO_ESTIMATE = -1


class State(enum.IntEnum):
    """State of a backend server, as its agent reports it."""

    STARTING = 0
    READY = 1
    DRAINING = 2
    UNFIT = 3
    GONE = 4


class Reason(enum.IntEnum):
    """Why an agent did not accept a first packet."""

    BUSY = 0
    NOT_READY = 1
    WRONG_SERVICE = 2
    REFUSED = 3


class Status(msgspec.Struct, array_like=True):
    """Load and state that an agent reports with every reply.

    :param state: state of its backend server.
    :param work: requests in progress, and flows whose first request has not come yet.
    :param flows: open flows.
    :param slots: requests that the backend server can process concurrently, 0 if there
        is no server.
    :param version: highest configuration version that it has learned of.
    :param cold_ms: remaining time in which the backend server is slow after its start.
    :param knows_all_flows: whether it knows every flow of its backend server; an agent
        that started after the server does not, and must ask the server.
    :param is_evacuated: whether it declines first packets because its failure domain
        is evacuated.
    :param openings_left: first packets that a cold backend server still accepts in
        the current second, ``NO_LIMIT`` if there is no limit.
    :param wait_ms: expected time until a new request starts, ``NO_ESTIMATE`` if
        unknown.
    :param request_ms: typical duration of a request, 0 if unknown.
    :param failure_percent: share of recent flows that failed.
    :param server_born: start time of its backend server, as the server states it; it
        names the incarnation, and is 0 if there is none.
    :param process: random number that the process of the agent drew at its start.
    :param leaves_flows: whether the process of the agent is ending while its backend
        server, which may hold flows, goes on.
    """

    state: State
    work: int
    flows: int
    slots: int
    version: int
    cold_ms: int = 0
    knows_all_flows: bool = True
    is_evacuated: bool = False
    openings_left: int = NO_LIMIT
    wait_ms: int = NO_ESTIMATE
    request_ms: int = 0
    failure_percent: int = 0
    server_born: int = 0
    process: int = 0
    leaves_flows: bool = False


class Offer(msgspec.Struct, array_like=True, tag=1):
    """Entry to agent: accept this first packet or pass.

    :param token: identifies the offer in replies.
    :param service_tag: ``compute_service_tag`` of the service of the route.
    :param is_final: whether a busy agent should accept it nevertheless.
    :param timeout_ms: request timeout of the route in milliseconds, 0 if unknown.
    """

    token: int
    service_tag: int
    is_final: bool
    packet: bytes
    timeout_ms: int = 0


class Deliver(msgspec.Struct, array_like=True, tag=2):
    """Entry to agent: a packet of a flow that the agent holds."""

    packet: bytes


class Question(msgspec.Struct, array_like=True):
    """One flow whose owner the entry looks for.

    :param token: identifies the search in replies.
    :param acknowledged: acknowledgement number of the client's packet.
    """

    token: int
    key: bytes
    acknowledged: int


class Find(msgspec.Struct, array_like=True, tag=3):
    """Entry to agent: asks which of these flows the agent holds."""

    questions: list[Question]


class Ask(msgspec.Struct, array_like=True, tag=4):
    """Entry to agent: asks it to query the backend server for this flow."""

    token: int
    packet: bytes


class Ping(msgspec.Struct, array_like=True, tag=5):
    """Entry to agent: requests its status.

    :param version: configuration version that the entry follows.
    :param is_unlisted: whether the agent's key is missing from the store.
    :param is_vouched: whether the entry can read the store, and so tell.
    :param is_evacuated: whether the agent's failure domain is evacuated.
    :param evacuation_era: era of the store in which the entry learned this.
    :param evacuation_revision: revision of the store at which it learned this, 0 if it
        has never learned of an evacuation.
    :param cold_per_second: requests that a cold backend server of the agent's service
        bears in a second, ``NO_LIMIT`` if not known or not limited.
    :param older_server_born: ``server_born`` of an incarnation that an earlier process
        of the agent has reported too, 0 if none is known.
    """

    version: int
    is_unlisted: bool = False
    is_vouched: bool = True
    is_evacuated: bool = False
    evacuation_era: int = 0
    evacuation_revision: int = 0
    cold_per_second: float = NO_LIMIT
    older_server_born: int = 0


class Held(msgspec.Struct, array_like=True, tag=6):
    """Agent to entry: this agent holds the flow.

    :param sequence: sequence number of the backend server's first packet.
    """

    token: int
    key: bytes
    sequence: int
    status: Status


class Passed(msgspec.Struct, array_like=True, tag=7):
    """Agent to entry: the offered first packet was not accepted."""

    token: int
    reason: Reason
    status: Status


class NotHeld(msgspec.Struct, array_like=True, tag=8):
    """Agent to entry: neither the agent nor its backend server holds the flows."""

    tokens: list[int]
    status: Status


class Unsure(msgspec.Struct, array_like=True, tag=9):
    """Agent to entry: only the backend server can say whether it holds the flows."""

    tokens: list[int]
    status: Status


class Returned(msgspec.Struct, array_like=True, tag=10):
    """Agent to entry: returns a packet of a flow that it does not hold."""

    packet: bytes
    status: Status


class Pong(msgspec.Struct, array_like=True, tag=0):
    """Agent to entry: its status, in reply to a ping or after a change."""

    service_tag: int
    status: Status


class Announce(msgspec.Struct, array_like=True, tag=ANNOUNCE_TAG):
    """Agent to entry: a new agent, sent until the entry answers with any message.

    :param name: name of the agent.
    :param service: service of its backend server.
    :param domain: its failure domain.
    """

    name: str
    service: str
    domain: str
    status: Status


Message = (
    Announce
    | Offer
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
    """Return the bytes of a message."""
    return _ENCODER.encode(message)


def decode(datagram: bytes) -> typing.Any:
    """Return the message in a datagram.

    :raises errors.PacketError: when the datagram holds no relay message.
    """
    try:
        return _decoding.decode_with(_DECODER, datagram)
    except msgspec.DecodeError as error:
        raise errors.PacketError(f'not a relay message: {error}') from error


def compute_service_tag(service: str) -> int:
    """Return the 32-bit hash that identifies a service on the wire."""
    return xxhash.xxh32_intdigest(service.encode())
