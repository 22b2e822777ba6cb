"""A backend beside an agent, as one process; its settings are JSON, its only argument.

It writes an event a line to ``events``: flows that open, requests that run, resets
that it sends, heartbeats that were acknowledged. On standard input it takes
``drain`` (report ``draining`` from now on) and ``leave`` (the leave call, then exit).
"""

import heapq
import http.client
import http.server
import itertools
import json
import random
import select
import socket
import sys
import threading
import time

import packet

RESEND_SECONDS, MAX_RESEND_SECONDS, MAX_RESENDS = 0.2, 1.6, 8
BEAT_TIMEOUT_SECONDS = 1.0
BEAT_RETRY_SECONDS = 0.1
MAX_RESPONSE_BYTES = 1000


class Flow:
    """One flow; ``unacknowledged`` is the packet that is sent again until it is."""

    def __init__(self, client_seq):
        self.client_seq = client_seq
        self.seq = random.randrange(packet.RANGE)
        self.first_seq = self.seq
        self.received = (client_seq + 1) % packet.RANGE
        self.is_open = False
        self.is_closing = False
        self.unacknowledged = None
        self.sent_again = 0


class Backend:
    """Flows, requests and heartbeats of one incarnation."""

    def __init__(self, settings):
        self.settings = settings
        self.events = open(settings['events'], 'a', buffering=1)
        host, port = settings['app'].rsplit(':', 1)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_000_000)
        self.socket.bind((host, int(port)))
        outbound, outbound_port = settings['outbound'].rsplit(':', 1)
        self.outbound = (outbound, int(outbound_port))
        self.flows = {}
        self.ended = {}
        self.running = 0
        self.queued = []
        self.timers = []
        self.order = itertools.count()
        self.state = 'ready'
        self.beats = 0
        self.beat_now = threading.Event()
        # The Unix time of the machine's clock, which may be stepped.
        self.born = int(time.time() * 1000) + settings.get('clock_offset_ms', 0)
        self.cold_until = time.monotonic() + settings.get('cold_ms', 0) / 1000
        self.note('started', born=self.born)

    def note(self, event, **fields):
        """Write an event."""
        line = {'t': time.time(), 'id': self.settings['id'], 'event': event, **fields}
        self.events.write(json.dumps(line) + '\n')

    def run(self):
        """Serve until the leave call."""
        threading.Thread(target=self.serve_health, daemon=True).start()
        threading.Thread(target=self.send_beats, daemon=True).start()
        while True:
            wait = max(0, self.timers[0][0] - time.monotonic()) if self.timers else 1
            readable, _, _ = select.select([self.socket, sys.stdin], [], [], min(wait, 1))
            if self.socket in readable:
                raw = self.socket.recv(2048)
                self.on_packet(raw, packet.decode(raw))
            if sys.stdin in readable and not self.on_command(sys.stdin.readline().strip()):
                return
            while self.timers and self.timers[0][0] <= time.monotonic():
                heapq.heappop(self.timers)[2]()

    def later(self, seconds, action):
        """Call an action after a time."""
        heapq.heappush(self.timers, (time.monotonic() + seconds, next(self.order), action))

    def on_command(self, command):
        """Carry out a command; tell whether the process goes on."""
        if command == 'drain':
            self.state = 'draining'
            self.beat_now.set()
        if command in ('leave', ''):
            self.call('DELETE', '')
            self.note('left')
            return False
        return True

    def on_packet(self, raw, received):
        """Handle a packet of a client."""
        key = (received.source, received.destination)
        if not received.is_genuine or received.flags & packet.BOUNCED:
            self.note('forged', client=received.source)
            return
        flow = self.flows.get(key)
        if received.flags & packet.SYN:
            self.on_first(key, flow, received)
        elif flow is None and key in self.ended:
            self.on_ended(key, received)
        elif flow is None or not self.opens(key, flow, received):
            self.socket.sendto(packet.bounce(raw), self.outbound)
        elif received.flags & packet.RST:
            self.flows.pop(key)
        else:
            self.on_open(key, flow, received)

    def on_first(self, key, flow, received):
        if flow is None or (flow.client_seq != received.seq and not flow.is_open):
            flow = self.flows[key] = Flow(received.seq)
            self.note('accepted', client=key[0], ack=received.ack)
            self.send(key, flow, packet.SYN | packet.ACK)
        elif not flow.is_open:
            self.socket.sendto(flow.unacknowledged, self.outbound)

    def opens(self, key, flow, received):
        """Tell whether a packet belongs to the flow; open the flow with the first."""
        if not flow.is_open and received.ack == (flow.first_seq + 1) % packet.RANGE:
            flow.is_open = True
            flow.unacknowledged = None
            self.note('opened', client=key[0])
        return flow.is_open

    def on_open(self, key, flow, received):
        if flow.unacknowledged and received.ack == flow.seq:
            flow.unacknowledged = None
            if flow.is_closing:
                self.end(key)
        if received.data and received.seq == flow.received:
            flow.received = (flow.received + len(received.data)) % packet.RANGE
            self.queued.append((key, flow, received.data))
            self.start_requests()
        elif received.data:
            self.acknowledge(key, flow)
        if received.flags & packet.FIN and received.seq + len(received.data) == flow.received:
            flow.received = (flow.received + 1) % packet.RANGE
            flow.is_closing = True
            self.send(key, flow, packet.ACK | packet.FIN)

    def on_ended(self, key, received):
        if received.flags & packet.FIN:
            raw = packet.encode(key[1], key[0], packet.ACK, *self.ended[key])
            self.socket.sendto(raw, self.outbound)
        elif received.data:
            self.note('reset_sent', client=key[0])
            seq, ack = self.ended[key]
            raw = packet.encode(key[1], key[0], packet.RST, seq, ack)
            self.socket.sendto(raw, self.outbound)

    def start_requests(self):
        while self.queued and self.running < self.settings['capacity']:
            key, flow, data = self.queued.pop(0)
            self.running += 1
            request = data.split(b'X-Request-Id: ')[1].split(b'\r\n')[0].decode()
            self.note('ran', client=key[0], request=request)
            self.later(
                random.uniform(*self.settings['work_ms']) / 1000,
                lambda key=key, flow=flow, request=request: self.answer(key, flow, request),
            )

    def answer(self, key, flow, request):
        self.running -= 1
        self.start_requests()
        if self.flows.get(key) is not flow:
            return
        body = f'{self.settings["id"]} {request}'.encode()
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'.encode()
        flags = packet.ACK
        if self.state == 'draining':
            flags |= packet.FIN
        self.send(key, flow, flags, (head + body)[:MAX_RESPONSE_BYTES])

    def acknowledge(self, key, flow):
        raw = packet.encode(key[1], key[0], packet.ACK, flow.seq, flow.received)
        self.socket.sendto(raw, self.outbound)

    def send(self, key, flow, flags, data=b''):
        """Send a packet that the client has to acknowledge."""
        raw = packet.encode(key[1], key[0], flags, flow.seq, flow.received, data)
        count = len(data) + bool(flags & packet.SYN) + bool(flags & packet.FIN)
        flow.seq = (flow.seq + count) % packet.RANGE
        flow.is_closing = flow.is_closing or bool(flags & packet.FIN)
        flow.unacknowledged = raw
        flow.sent_again = 0
        self.socket.sendto(raw, self.outbound)
        self.later(RESEND_SECONDS, lambda: self.send_again(key, flow, raw))

    def send_again(self, key, flow, raw):
        if self.flows.get(key) is not flow or flow.unacknowledged is not raw:
            return
        flow.sent_again += 1
        if flow.sent_again > MAX_RESENDS:
            self.end(key)
            return
        self.socket.sendto(raw, self.outbound)
        wait = min(MAX_RESEND_SECONDS, RESEND_SECONDS * 2**flow.sent_again)
        self.later(wait, lambda: self.send_again(key, flow, raw))

    def end(self, key):
        flow = self.flows.pop(key)
        self.ended[key] = (flow.seq, flow.received)
        self.note('ended', client=key[0])

    def send_beats(self):
        """Send heartbeats; an unanswered one is followed by another soon."""
        while True:
            state = self.state
            self.beats += 1
            body = {
                'service': self.settings['service'],
                'address': self.settings['app'],
                'zone': self.settings['zone'],
                'version': 'v1',
                'capacity': self.settings['capacity'],
                'state': state,
                'cold_remaining_ms': self.cold_ms(),
                'sequence': self.beats,
                'born': self.born,
            }
            is_acknowledged = self.call('PUT', json.dumps(body))
            if is_acknowledged:
                self.note('beat_acknowledged', state=state, sequence=self.beats)
            share = random.uniform(0.95, 1.05)
            seconds = self.settings['heartbeat_ms'] / 1000 * share
            self.beat_now.wait(seconds if is_acknowledged else BEAT_RETRY_SECONDS)
            self.beat_now.clear()

    def cold_ms(self):
        """Return how much longer the backend is slow after its start."""
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    def call(self, method, body):
        """Call the agent's control address; tell whether it acknowledged the call."""
        host, port = self.settings['control'].rsplit(':', 1)
        connection = http.client.HTTPConnection(
            host, int(port), timeout=BEAT_TIMEOUT_SECONDS
        )
        try:
            headers = {'Content-Type': 'application/json'}
            connection.request(method, '/instances/' + self.settings['id'], body, headers)
            return connection.getresponse().status // 100 == 2
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def serve_health(self):
        """Answer the health check at the TCP port of the same address."""
        backend = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def log_message(self, *_):
                """Log nothing."""

            def do_GET(self):
                self.send_response(200 if backend.state == 'ready' else 503)
                self.send_header('Content-Length', '0')
                self.end_headers()

        http.server.ThreadingHTTPServer(self.socket.getsockname(), Handler).serve_forever()


if __name__ == '__main__':
    Backend(json.loads(sys.argv[1])).run()
