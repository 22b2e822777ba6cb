"""Connection IDs that encode the agent that owns a flow.

An entry finds the owner from the packet alone, so a packet reaches its owner even
when entries disagree about membership or have just started. The tag binds an ID
to its service, so a packet of one service is refused at the address of another.
"""

import hashlib
import struct

from egretjunction import addresses

CONNECTION_ID_BYTES = 20
NONCE_BYTES = 3
RESET_TOKEN_BYTES = 16
_INCARNATION_BYTES = 5
_TAG_BYTES = 6
_BODY = struct.Struct(f'!6s{_INCARNATION_BYTES}s{NONCE_BYTES}s')
MAX_INCARNATION = (1 << (8 * _INCARNATION_BYTES)) - 1


class Owner:
    """The agent process that owns a flow.

    :param address: where entries send the flow's packets.
    :param incarnation: number of the process at that address; it increases with
        each start.
    """

    __slots__ = ('address', 'incarnation')

    def __init__(self, address: addresses.Address, incarnation: int) -> None:
        self.address = address
        self.incarnation = incarnation


def _tag(key: bytes, service: str, body: bytes) -> bytes:
    digest = hashlib.blake2s(service.encode(), key=key, digest_size=_TAG_BYTES)
    digest.update(body)
    return digest.digest()


def mint(key: bytes, service: str, owner: Owner, nonce: bytes) -> bytes:
    """Return a new connection ID for a flow.

    :param key: secret that all entries and agents share, at most 32 bytes.
    :param service: name of the service that the flow belongs to.
    :param owner: the agent that takes the flow.
    :param nonce: three bytes, unique among the owner's open flows.
    """
    body = _BODY.pack(
        addresses.pack(owner.address),
        owner.incarnation.to_bytes(_INCARNATION_BYTES),
        nonce,
    )
    return body + _tag(key, service, body)


def owner_of(key: bytes, service: str, connection_id: bytes) -> Owner | None:
    """Return the owner that a connection ID encodes, or None when its tag is wrong.

    :param key: the shared secret.
    :param service: the service whose address the packet was sent to.
    :param connection_id: the packet's destination connection ID.
    """
    if len(connection_id) != CONNECTION_ID_BYTES:
        return None
    body = connection_id[: _BODY.size]
    if _tag(key, service, body) != connection_id[_BODY.size :]:
        return None
    packed_address, incarnation, _ = _BODY.unpack(body)
    return Owner(addresses.unpack(packed_address), int.from_bytes(incarnation))


def reset_token(key: bytes, connection_id: bytes) -> bytes:
    """Return the stateless reset token of a connection ID.

    It depends only on the key and the ID, so a restarted agent can reset flows of
    the process that ran before it.
    """
    return hashlib.blake2s(
        connection_id,
        key=key,
        digest_size=RESET_TOKEN_BYTES,
        person=b'reset',
    ).digest()
