"""A simulated metadata store of the operators, in threads of the test process."""

import base64
import contextlib
import ctypes
import http.server
import json
import socket
import struct
import threading
import time
import urllib.parse

from egretjunction import addresses

CUT = 0  # in place of a status: the connection is closed without a response
CHUNK_BYTES = 16_384
SO_ATTACH_FILTER = 26  # of Linux; the module ``socket`` does not name it
_DROP_ALL = struct.pack('HBBI', 0x06, 0, 0, 0)  # the instruction "return 0 bytes"


class State:
    """Contents of the store, and the faults that it simulates.

    :param era: number of times that the store was restored from a copy, plus one.
    :param oldest_revision: first revision that watches may start after.
    :param page: maximum number of items in one page of a listing.
    :param status: HTTP status of every response, unless 0.
    :param is_silent: whether calls get no response.
    :param loses_responses: whether writes take effect without a response.
    :param bytes_per_second: what all responses together get of the link, 0 for no limit.
    :param preface: bytes that go before each response, such as an interim response.
    :param before_response: called with the path of each read before it is performed.
    """

    def __init__(self):
        self.era = 1
        self.revision = 1
        self.item_by_key = {}
        self.event_by_revision = {}
        self.oldest_revision = 0
        self.page = 500
        self.status = 0
        self.is_silent = False
        self.loses_responses = False
        self.bytes_per_second = 0
        self.link = threading.Lock()
        self.sent_bytes = 0
        self.preface = b''
        self.before_response = lambda _path: None
        self.changed = threading.Condition()
        self.connections = set()
        self.silent_connections = set()

    def write(self, puts, deletes):
        """Write and delete keys, each at a revision of its own."""
        with self.changed:
            for key, data in puts.items():
                self.revision += 1
                item = {
                    'key': key,
                    'value': base64.b64encode(data).decode(),
                    'revision': self.revision,
                    'created_at': self.revision,
                    'lease': 0,
                }
                self.item_by_key[key] = item
                self.event_by_revision[self.revision] = item
            for key in deletes:
                self.revision += 1
                self.item_by_key.pop(key, None)
                event = {'key': key, 'revision': self.revision, 'deleted': True}
                self.event_by_revision[self.revision] = event
            self.changed.notify_all()
        return self.revision

    def data_of(self, key):
        """Return the value of a key, empty if there is none."""
        item = self.item_by_key.get(key)
        return base64.b64decode(item['value']) if item else b''

    def silence_connections(self, *, answers_probes=False):
        """Never use the connections that are open now again; new ones work.

        :param answers_probes: whether the kernel still acknowledges what arrives, as
            that of a proxy would.
        """
        with self.changed:
            silenced = self.connections - self.silent_connections
            self.silent_connections |= silenced
        for connection in () if answers_probes else silenced:
            drop_received(connection)

    def copy(self):
        """Return a copy of the contents, to restore the store from."""
        with self.changed:
            return self.revision, dict(self.item_by_key), dict(self.event_by_revision)

    def restore(self, copy):
        """Restore the contents from a copy; waiting watches end without a response.

        What was written since is forgotten, and its revisions are given out again.
        """
        with self.changed:
            self.revision, self.item_by_key, self.event_by_revision = copy
            self.era += 1
            self.changed.notify_all()

    def events(self, prefix, after):
        """Return the events under a prefix after a revision."""
        return [
            event
            for revision, event in sorted(self.event_by_revision.items())
            if revision > after and event['key'].startswith(prefix)
        ]


def drop_received(connection):
    """Have the kernel drop, without an acknowledgement, all that a socket receives."""
    instructions = ctypes.create_string_buffer(_DROP_ALL, len(_DROP_ALL))
    program = struct.pack('HP', 1, ctypes.addressof(instructions))
    connection.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


@contextlib.contextmanager
def running():
    """Yield the state and the address of a running store."""
    state = State()

    class Handler(_Handler):
        store = state

    server = _Server(('127.0.0.1', 0), Handler)
    thread = threading.Thread(target=server.serve_forever, args=(0.01,), daemon=True)
    thread.start()
    try:
        yield state, addresses.Address(*server.server_address)
    finally:
        server.shutdown()
        server.server_close()


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128  # all entries call at once when a key has changed


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'

    def setup(self):
        super().setup()
        self.store.connections.add(self.connection)

    def finish(self):
        self.store.connections.discard(self.connection)
        super().finish()

    def log_message(self, *_):
        """Log nothing."""

    def do_GET(self):
        self.store.before_response(self.path)
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        self._respond(
            *getattr(self, '_' + url.path.strip('/').replace('-', '_'))(query)
        )

    def do_POST(self):
        body = json.loads(self.rfile.read(int(self.headers['Content-Length'])))
        self._respond(*self._kv_txn(body))

    def _kv_key(self, query):
        item = self.store.item_by_key.get(query['key'])
        if item is None:
            return 404, {}
        return 200, {**item, 'store_revision': self.store.revision}

    def _kv_range(self, query):
        keys = sorted(
            key
            for key in self.store.item_by_key
            if key.startswith(query['prefix']) and key > query.get('after', '')
        )
        page = keys[: self.store.page]
        return 200, {
            'items': [self.store.item_by_key[key] for key in page],
            'has_more': len(keys) > len(page),
            'store_revision': self.store.revision,
        }

    def _kv_watch(self, query):
        after = int(query['after'])
        era = self.store.era
        if not self.store.oldest_revision <= after <= self.store.revision:
            return 410, {}
        with self.store.changed:
            self.store.changed.wait_for(
                lambda: (
                    self.store.era != era or self.store.events(query['prefix'], after)
                ),
                int(query['wait_ms']) / 1000,
            )
            if self.store.era != era:
                return CUT, {}
            events = self.store.events(query['prefix'], after)
            return 200, {'events': events, 'store_revision': self.store.revision}

    def _kv_txn(self, body):
        for condition in body['expected_rev']:
            item = self.store.item_by_key.get(condition['key'], {'revision': 0})
            if item['revision'] != condition['revision']:
                return 412, {'items': [item]}
        puts = {put['key']: base64.b64decode(put['value']) for put in body['puts']}
        revision = self.store.write(puts, body['deletes'])
        if self.store.loses_responses:
            self.store.is_silent = True
        return 200, {'revision': revision}

    def _respond(self, code, body):
        if self.connection in self.store.silent_connections:
            threading.Event().wait()
        if self.store.is_silent or code == CUT:
            self.close_connection = True
            return
        raw = json.dumps(body).encode()
        with contextlib.suppress(ConnectionError):
            self.wfile.write(self.store.preface)
        self.send_response(self.store.status or code)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Store-Era', str(self.store.era))
        self.send_header('Content-Length', str(len(raw)))
        self.end_headers()
        with contextlib.suppress(ConnectionError):  # closed by the caller
            for start in range(0, len(raw), CHUNK_BYTES):
                self._write(raw[start : start + CHUNK_BYTES])

    def _write(self, chunk):
        if not self.store.bytes_per_second:
            self.wfile.write(chunk)
            return
        with self.store.link:
            time.sleep(len(chunk) / self.store.bytes_per_second)
            self.wfile.write(chunk)
            self.store.sent_bytes += len(chunk)
