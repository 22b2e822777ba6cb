"""Builders for tests of relayed flows, with a packet format for these tests."""

import random

import msgspec

from egretjunction import addresses
from egretjunction import errors
from egretjunction.decisions import relay_agent
from egretjunction.decisions import relay_announcing
from egretjunction.decisions import relay_cold
from egretjunction.decisions import relay_effects as effects
from egretjunction.decisions import relay_entry
from egretjunction.decisions import relay_heartbeats
from egretjunction.decisions import relay_members
from egretjunction.decisions import relay_routes
from egretjunction.decisions import relay_server
from egretjunction.decisions.load import placing
from egretjunction.relay import packets
from egretjunction.wire import relaying

ENTRY = addresses.Address('127.0.0.1', 7000)
OTHER_ENTRY = addresses.Address('127.0.0.2', 7000)
ROUTE = addresses.Address('198.18.0.1', 443)
SERVICE = 'bookings'
SERVICE_TAG = relaying.compute_service_tag(SERVICE)
MAX_FLOW_SECONDS = 60.0
CONFIGURATION_SECONDS = 3.0
KEY = b'\x64\x40\x00\x07\x9c\x41' + addresses.pack(ROUTE)


class Codec:
    """Encodes packets as lists: key, sequence, acknowledged, data bytes, flags, token."""

    opening = packets.Opening((0, 0.2, 0.6), 1.4)
    segment_bytes = 1200

    def from_client(self, raw):
        return self._read(raw)

    def from_server(self, raw):
        return self._read(raw)

    def with_token(self, raw, token):
        fields = msgspec.msgpack.decode(raw)
        return msgspec.msgpack.encode([*fields[:5], token])

    def restore_bounced(self, raw):
        fields = msgspec.msgpack.decode(raw)
        kept = [flag for flag in fields[4] if flag != 'is_bounced']
        return msgspec.msgpack.encode([*fields[:4], kept, 0])

    def reset(self, key, sequence):
        return encode(key, sequence=sequence, flags=('is_reset',))

    def client_of(self, key):
        return addresses.unpack(key[:6])

    def destination_of(self, key):
        return addresses.unpack(key[6:12])

    def _read(self, raw):
        try:
            key, sequence, acknowledged, data_bytes, flags, token = (
                msgspec.msgpack.decode(raw)
            )
        except (msgspec.DecodeError, ValueError) as error:
            raise errors.PacketError(str(error)) from error
        return packets.Packet(
            key,
            raw,
            sequence,
            acknowledged,
            data_bytes,
            token=token,
            **dict.fromkeys(flags, True),
        )


def encode(key=KEY, sequence=0, acknowledged=0, data_bytes=0, flags=(), token=0):
    """Return an encoded packet."""
    return msgspec.msgpack.encode(
        [key, sequence, acknowledged, data_bytes, list(flags), token]
    )


def packet(key=KEY, sequence=0, acknowledged=0, data_bytes=0, flags=(), token=0):
    """Return a packet."""
    raw = encode(key, sequence, acknowledged, data_bytes, flags, token)
    return Codec().from_client(raw)


def first_packet(key=KEY, sequence=100, retransmissions=0):
    """Return a first packet, or its retransmission with a given number."""
    return packet(key, sequence, retransmissions, flags=('is_first',))


def opening(key=KEY, sequence=500):
    """Return a server's answer to a first packet."""
    return packet(key, sequence, 101, flags=('is_accept',))


def request(key=KEY, sequence=101, acknowledged=501, data_bytes=200):
    """Return a client's packet with data."""
    return packet(key, sequence, acknowledged, data_bytes)


def answer(key=KEY, sequence=501, acknowledged=301, data_bytes=900):
    """Return a server's packet with data."""
    return packet(key, sequence, acknowledged, data_bytes)


def bounced(original, token):
    """Return a packet as bounced by a server."""
    flags = ['is_bounced'] + (['is_first'] if original.is_first else [])
    return packet(
        original.key,
        original.sequence,
        original.acknowledged,
        original.data_bytes,
        flags,
        token,
    )


def flow_key(number):
    """Return the key of the flow with a given client port."""
    return KEY[:4] + number.to_bytes(2) + KEY[6:]


def heartbeat(name='i-1', born=1000, sequence=1, slots=2, **fields):
    """Return a heartbeat."""
    return relay_heartbeats.Heartbeat(name, SERVICE, born, sequence, slots, **fields)


def announcer():
    """Return what announces the agent m-1."""
    return relay_announcing.Announcer('m-1', 'a')


def unheard_agent(started_at=0, process=0, **limits):
    """Return the flows of an agent that has not heard of its server.

    No earlier process of the agent has listed a server.

    :param started_at: start of the agent's process.
    :param limits: ``over`` and ``slack`` of a limit for the cold server.
    """
    server = relay_server.Server(SERVICE, 1.0, started_at)
    server.settle_start(0)
    limit = relay_cold.ColdLimit(server.is_cold, **limits)
    return relay_agent.AgentFlows(
        server, Codec(), MAX_FLOW_SECONDS, announcer(), limit, process
    )


def agent(is_known_since_start=True, slots=2, cold_ms=0, **limits):
    """Return the flows of an agent that has received a heartbeat of its server.

    :param is_known_since_start: whether that was the first heartbeat of the server.
    :param cold_ms: how long the server is cold.
    :param limits: ``over`` and ``slack`` of a limit for the cold server.
    """
    flows = unheard_agent(**limits)
    flows.on_heartbeat(
        heartbeat(
            sequence=1 if is_known_since_start else 9, slots=slots, cold_ms=cold_ms
        ),
        0,
    )
    return flows


def offer(packet, token=1, is_final=False, service=SERVICE):
    """Return an entry's offer of a first packet."""
    return relaying.Offer(
        token, relaying.compute_service_tag(service), is_final, packet.raw
    )


def find(token=5, key=KEY, acknowledged=501):
    """Return a message with which an entry searches for the owner of one flow."""
    return relaying.Find([relaying.Question(token, key, acknowledged)])


def member_address(name):
    """Return the address of a member by the number at the end of its name."""
    return addresses.Address(f'10.0.0.{name.rpartition("-")[2]}', 8000)


def status(state=relaying.State.READY, work=0, flows=0, slots=2, **fields):
    """Return an agent's status."""
    return relaying.Status(
        state, work, flows, slots, fields.pop('version', 1), **fields
    )


def entry(*names, domain='a', routes=None, link_mbps=1000, placement_seed=None):
    """Return the flows of an entry with ready members in its own domain.

    :param placement_seed: seed of placement by earliest finish; None for least loaded.
    """
    members = relay_members.Members(domain, MAX_FLOW_SECONDS)
    members.is_watched = True
    active_routes = relay_routes.Routes()
    route = relay_routes.Route('r', ROUTE, {SERVICE: 1})
    active_routes.adopt(routes or relay_routes.RouteTable(1, [route]))
    placer = None
    if placement_seed is not None:
        placer = placing.Placer(
            members, domain, random.Random(placement_seed), Codec.opening
        )
    flows = relay_entry.EntryFlows(
        members,
        active_routes,
        Codec(),
        link_mbps,
        MAX_FLOW_SECONDS,
        CONFIGURATION_SECONDS,
        placer,
    )
    for name in names:
        member = relay_members.Member(name, SERVICE, domain, member_address(name))
        members.add_or_update(member)
        member.record_status(status(), 0)
    return flows


def sent_messages(emitted, message_type):
    """Return the sent messages of a type with their addresses."""
    return [
        (effect.message, effect.address)
        for effect in emitted
        if isinstance(effect, effects.Send) and isinstance(effect.message, message_type)
    ]


def owner_questions(emitted):
    """Return the effects that send searches for owners of flows to agents."""
    return [
        effect
        for effect in of_type(emitted, effects.Send)
        if isinstance(effect.message, (relaying.Ask, relaying.Find))
    ]


def of_type(emitted, effect_type):
    """Return the effects of a type."""
    return [effect for effect in emitted if isinstance(effect, effect_type)]
