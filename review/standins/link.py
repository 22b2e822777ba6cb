"""The link of a machine to the store, as a TCP proxy with a bandwidth.

``python3 link.py HOST PORT STORE_HOST STORE_PORT MBPS``; all connections of the machine
share the bandwidth of each direction in turns.
"""

import select
import socket
import sys
import time

CHUNK_BYTES = 8192
BURST_SECONDS = 0.02  # of the bandwidth that may be used at once
IDLE_SECONDS = 0.002


class Direction:
    """What may cross the link in one direction now."""

    def __init__(self, mbps):
        self.bytes_per_second = mbps * 1_000_000 / 8
        self.credit = 0.0
        self.refilled_at = time.monotonic()

    def refill(self):
        """Add the credit of the time since the last call."""
        now = time.monotonic()
        gained = (now - self.refilled_at) * self.bytes_per_second
        self.credit = min(
            self.credit + gained, max(CHUNK_BYTES, self.bytes_per_second * BURST_SECONDS)
        )
        self.refilled_at = now


class Link:
    """The proxy; ``peer`` maps each socket to the one that its bytes go to."""

    def __init__(self, own, store, mbps):
        self.listener = socket.create_server(own, backlog=64)
        self.store = store
        self.peer = {}
        self.direction = {}
        self.up, self.down = Direction(mbps), Direction(mbps)

    def run(self):
        """Forward until the process ends."""
        while True:
            ready, _, _ = select.select([self.listener, *self.peer], [], [], 0.05)
            for direction in (self.up, self.down):
                direction.refill()
            if self.listener in ready:
                self.accept()
            is_blocked = False
            for source in ready:
                if source in self.peer:
                    is_blocked |= not self.forward(source)
            if is_blocked:
                time.sleep(IDLE_SECONDS)

    def accept(self):
        """Accept a connection, and open one to the store."""
        client, _ = self.listener.accept()
        try:
            server = socket.create_connection(self.store, 1)
        except OSError:
            client.close()
            return
        for one, other, direction in (
            (client, server, self.up),
            (server, client, self.down),
        ):
            one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            one.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
            self.peer[one] = other
            self.direction[one] = direction

    def forward(self, source):
        """Forward a chunk if the link has room for it; tell whether it had."""
        direction = self.direction[source]
        if direction.credit <= 0:
            return False
        try:
            data = source.recv(CHUNK_BYTES)
            if data:
                self.peer[source].settimeout(1)
                self.peer[source].sendall(data)
        except OSError:
            data = b''
        direction.credit -= len(data)
        if not data:
            for end in (source, self.peer[source]):
                self.peer.pop(end)
                self.direction.pop(end)
                end.close()
        return True


if __name__ == '__main__':
    Link(
        (sys.argv[1], int(sys.argv[2])),
        (sys.argv[3], int(sys.argv[4])),
        float(sys.argv[5]),
    ).run()
