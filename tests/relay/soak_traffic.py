"""Backend servers and clients of a soak: they speak packets of the relay over UDP."""

import select
import socket
import time

import flow_packets

from tests.relay import test_daemons as daemons

SYN, ACK, RST, BOUNCED = 8, 2, 64, 1
ROUTE = ('198.18.0.1', 443)
RESEND_SECONDS = 0.2
REOPEN_SECONDS = 0.3  # between the reset of a flow and the first packet of the next
ANSWER_SECONDS = 3.0  # after which a request of an open flow counts as unanswered


def _decode(raw):
    """Return source, destination, flags, sequence, acknowledged and body."""
    fields = flow_packets._HEADER.unpack(raw[: flow_packets.HEADER_BYTES])
    source = (socket.inet_ntoa(fields[2]), fields[3])
    destination = (socket.inet_ntoa(fields[4]), fields[5])
    return source, destination, fields[7], fields[9], fields[10], raw[36:]


class Server:
    """A backend server that accepts every flow and answers every request.

    It bounces packets that acknowledge the first packet of another server: when two
    servers accept a flow, its client has opened one of them.

    :param address: its UDP address.
    :param outbound: address of its agent for packets that it sends or bounces.
    :param number: identifies the server in answers.
    """

    def __init__(self, address, outbound, number):
        self.socket = _bound(address)
        self.outbound = outbound
        self.number = number
        self.requests = 0
        self._sources = set()

    def receive(self):
        """Handle one packet."""
        raw = self.socket.recv(2048)
        source, route, flags, sequence, acknowledged, body = _decode(raw)
        is_own = acknowledged == self.number * 1000 + 1
        if flags & SYN:
            self._sources.add(source)
            self._send(source, route, SYN | ACK, self.number * 1000, sequence + 1)
        elif source not in self._sources or not is_own:
            bounced = bytearray(raw)
            bounced[22] |= BOUNCED
            bounced[23:28] = bytes(5)
            self.socket.sendto(bytes(bounced), self.outbound)
        elif body:
            self.requests += 1
            answer = b'%d:%s' % (self.number, body)
            self._send(source, route, ACK, self.number * 1000 + 1, sequence, answer)

    def _send(self, client, route, flags, sequence, acknowledged, body=b''):
        raw = daemons._encode_packet(route, client, flags, sequence, acknowledged, body)
        self.socket.sendto(raw, self.outbound)


class _Flow:
    def __init__(self, port):
        self.port = port
        self.server = None
        self.request = 0
        self.sent_at = self.asked_at = float('-inf')
        self.is_answered = True
        self.answered_at = None
        self.copies = 0


class Clients:
    """Clients that keep their flows open and send one request after the other.

    :param host: their IP address.
    :param port: port at which they receive packets.
    :param draw: source of randomness.
    """

    def __init__(self, host, port, draw):
        self.host = host
        self.socket = _bound((host, port))
        self.broken = []
        self.answers = 0
        self.unanswered = 0
        self.unopened = 0
        self.longest_silence = 0.0
        self._draw = draw
        self._flow_by_port = {}
        self._last_port = 2000

    def open(self, count, first_at=float('-inf')):
        """Open more flows.

        :param first_at: time of their first packets; by default they are due at once.
        """
        for _ in range(count):
            self._last_port += 1
            flow = self._flow_by_port[self._last_port] = _Flow(self._last_port)
            flow.sent_at = first_at

    def ports_of(self, server):
        """Return the ports of the flows that are open at a server."""
        return {
            port for port, flow in self._flow_by_port.items() if flow.server == server
        }

    def send_due(self, entries, now):
        """Send first packets and requests that are due, each through any entry."""
        for flow in list(self._flow_by_port.values()):
            if flow.server is None:
                self._open_or_give_up(flow, entries, now)
            elif flow.is_answered:
                if now - flow.asked_at > self._draw.uniform(0.1, 0.4):
                    flow.request += 1
                    flow.is_answered = False
                    flow.asked_at = now
                    self._send_request(flow, entries, now)
            elif now - flow.asked_at > ANSWER_SECONDS:
                self.unanswered += 1
                flow.is_answered = True
            elif now - flow.sent_at > RESEND_SECONDS:
                self._send_request(flow, entries, now)

    def receive(self):
        """Handle one packet."""
        _, client, flags, sequence, _, body = _decode(self.socket.recv(2048))
        flow = self._flow_by_port.get(client[1])
        if flow is None:
            return
        if flags & RST:
            if flow.server is not None:
                self.broken.append((client[1], 'reset', flow.request))
            self._flow_by_port.pop(flow.port)
            self.open(1, time.monotonic() + REOPEN_SECONDS)
        elif flags & SYN:
            flow.server = flow.server or sequence // 1000
        elif body:
            self._check_answer(flow, *body.split(b':', 1))

    def _check_answer(self, flow, server, request):
        if int(server) != flow.server:
            self.broken.append((flow.port, 'other server', flow.request))
        if int(request) == flow.request and not flow.is_answered:
            flow.is_answered = True
            self.answers += 1
            now = time.monotonic()
            silence = now - (flow.answered_at or now)
            self.longest_silence = max(self.longest_silence, silence)
            flow.answered_at = now

    def _open_or_give_up(self, flow, entries, now):
        if flow.copies == 3 and now - flow.sent_at > 1:
            self.unopened += 1
            self._flow_by_port.pop(flow.port)
            self.open(1)
        elif flow.copies < 3 and now - flow.sent_at > RESEND_SECONDS * flow.copies:
            self._send(flow, entries, SYN, 100, flow.copies, now)
            flow.copies += 1

    def _send_request(self, flow, entries, now):
        acknowledged = flow.server * 1000 + 1
        body = b'%d' % flow.request
        self._send(flow, entries, ACK, 101, acknowledged, now, body)

    def _send(self, flow, entries, flags, sequence, acknowledged, now, body=b''):
        flow.sent_at = now
        source = (self.host, flow.port)
        raw = daemons._encode_packet(source, ROUTE, flags, sequence, acknowledged, body)
        self.socket.sendto(raw, self._draw.choice(entries))


def _bound(address):
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_000_000)
    udp_socket.bind(address)
    return udp_socket


def receive_all(receivers, seconds):
    """Let clients and servers handle the packets that arrive within a time."""
    receiver_by_socket = {receiver.socket: receiver for receiver in receivers}
    readable, _, _ = select.select(list(receiver_by_socket), [], [], seconds)
    for ready_socket in readable:
        receiver_by_socket[ready_socket].receive()
