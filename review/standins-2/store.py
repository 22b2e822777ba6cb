"""Stand-in for the platform's metadata store: keys, listings, watches, transactions."""

import base64
import http.server
import json
import threading
import time
import urllib.parse

PAGE_ITEMS = 500
MAX_WAIT_SECONDS = 30.0


class Store:
    """A store that loses nothing it has acknowledged and answers at once.

    :param address: host and port to listen at.
    """

    def __init__(self, address):
        self.revision = 1
        self.item_by_key = {}
        self.events = []
        self.changed = threading.Condition()
        handler = type('Handler', (_Handler,), {'store': self})
        self._server = _Server(address, handler)
        threading.Thread(target=self._server.serve_forever, args=(0.05,), daemon=True).start()

    def close(self):
        """Stop listening."""
        self._server.shutdown()
        self._server.server_close()

    def put(self, key, document):
        """Write a key as the operator does; return the revision."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        return self.commit([], [{'key': key, 'value': value, 'lease': 0}], [])[1]

    def commit(self, conditions, puts, deletes):
        """Apply a transaction; return the status and the revision or current items."""
        with self.changed:
            for condition in conditions:
                item = self.item_by_key.get(condition['key'])
                if (item['revision'] if item else 0) != condition['revision']:
                    keys = [row['key'] for row in conditions]
                    items = [self.item_by_key[key] for key in keys if key in self.item_by_key]
                    return 412, items
            self.revision += 1
            for put in puts:
                before = self.item_by_key.get(put['key'])
                item = {
                    'key': put['key'],
                    'value': put['value'],
                    'revision': self.revision,
                    'created_at': before['created_at'] if before else self.revision,
                    'lease': 0,
                }
                self.item_by_key[put['key']] = item
                self.events.append(item)
            for key in deletes:
                if self.item_by_key.pop(key, None) is not None:
                    event = {'key': key, 'revision': self.revision, 'deleted': True}
                    self.events.append(event)
            self.changed.notify_all()
            return 200, self.revision

    def watch(self, prefix, after, wait_seconds):
        """Wait for events under a prefix; return them and the store's revision."""
        deadline = time.monotonic() + min(wait_seconds, MAX_WAIT_SECONDS)
        with self.changed:
            while True:
                found = [
                    event
                    for event in self.events
                    if event['revision'] > after and event['key'].startswith(prefix)
                ]
                remaining = deadline - time.monotonic()
                if found or remaining <= 0:
                    return found, self.revision
                self.changed.wait(remaining)


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, _request, _client_address):
        """Ignore callers that close their connections."""


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    store = None

    def log_message(self, *_args):
        """Write no access log."""

    def do_GET(self):
        """Serve reads."""
        parts = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(parts.query))
        store = self.store
        if parts.path == '/kv-key':
            with store.changed:
                item = store.item_by_key.get(query['key'])
                revision = store.revision
            body = {**(item or {}), 'store_revision': revision}
            return self._answer(200 if item else 404, body)
        if parts.path == '/kv-range':
            with store.changed:
                items = [
                    item
                    for key, item in sorted(store.item_by_key.items())
                    if key.startswith(query['prefix']) and key > query.get('after', '')
                ]
                revision = store.revision
            return self._answer(
                200,
                {
                    'items': items[:PAGE_ITEMS],
                    'has_more': len(items) > PAGE_ITEMS,
                    'store_revision': revision,
                },
            )
        if parts.path == '/kv-watch':
            events, revision = store.watch(
                query['prefix'], int(query['after']), int(query['wait_ms']) / 1000
            )
            return self._answer(200, {'events': events, 'store_revision': revision})
        return self._answer(404, {})

    def do_POST(self):
        """Serve writes."""
        length = int(self.headers.get('Content-Length') or 0)
        body = json.loads(self.rfile.read(length) or b'{}')
        if self.path != '/kv-txn':
            return self._answer(404, {})
        status, outcome = self.store.commit(
            body['expected_rev'], body['puts'], body['deletes']
        )
        answer = {'revision': outcome} if status == 200 else {'items': outcome}
        return self._answer(status, answer)

    def _answer(self, status, body):
        raw = json.dumps(body).encode()
        self.send_response(status)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(raw)))
        self.end_headers()
        self.wfile.write(raw)
