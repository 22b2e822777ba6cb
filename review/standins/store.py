"""The platform's metadata store, for one process: reads, watches and transactions.

``python3 store.py HOST PORT``; the operator writes below ``op/`` with the header
``X-Operator``.
"""

import http.server
import json
import sys
import threading
import time
import urllib.parse

PAGE = 500
RETENTION_SECONDS = 20.0  # of events; older ones are no longer available


class Store:
    """Items by key, and all events since the start."""

    def __init__(self):
        self.revision = 1
        self.item_by_key = {}
        self.events = []
        self.dropped_revision = 0  # of the newest event that was dropped
        self.changed = threading.Condition()

    def commit(self, expected, puts, deletes):
        """Apply a transaction; return the status and the body of the response."""
        with self.changed:
            for row in expected:
                item = self.item_by_key.get(row['key'])
                if (item['revision'] if item else 0) != row['revision']:
                    return 412, {'items': [item] if item else []}
            for put in puts:
                self.revision += 1
                before = self.item_by_key.get(put['key'])
                item = {
                    'key': put['key'],
                    'value': put['value'],
                    'revision': self.revision,
                    'created_at': before['created_at'] if before else self.revision,
                    'lease': 0,
                }
                self.item_by_key[put['key']] = item
                self.add_event(item)
            for key in deletes:
                self.revision += 1
                self.item_by_key.pop(key, None)
                self.add_event({'key': key, 'revision': self.revision, 'deleted': True})
            self.changed.notify_all()
            return 200, {'revision': self.revision}

    def add_event(self, event):
        """Add an event to the history."""
        self.events.append((time.monotonic(), event))

    def drop_old_events(self):
        """Drop the events that are older than the retention."""
        while self.events and time.monotonic() - self.events[0][0] > RETENTION_SECONDS:
            self.dropped_revision = self.events.pop(0)[1]['revision']

    def events_after(self, prefix, revision):
        """Return the events of a prefix after a revision."""
        return [
            event
            for _, event in self.events
            if event['revision'] > revision and event['key'].startswith(prefix)
        ]


STORE = Store()


class Handler(http.server.BaseHTTPRequestHandler):
    """One connection to the store."""

    protocol_version = 'HTTP/1.1'

    def log_message(self, *_):
        """Log nothing."""

    def do_GET(self):
        """Answer a read or a watch."""
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == '/kv-key':
            with STORE.changed:
                item = STORE.item_by_key.get(query['key'])
                found = {**(item or {}), 'store_revision': STORE.revision}
            self._respond(200 if item else 404, found)
        elif url.path == '/kv-range':
            self._respond(200, self._range(query))
        elif url.path == '/kv-watch':
            self._respond(*self._watch(query))
        else:
            self._respond(404, {})

    def do_POST(self):
        """Answer a transaction."""
        body = json.loads(self.rfile.read(int(self.headers['Content-Length'])))
        if self.path != '/kv-txn':
            self._respond(404, {})
            return
        changed = [put['key'] for put in body['puts']] + body['deletes']
        is_operator = bool(self.headers.get('X-Operator'))
        if not is_operator and any(key.startswith(('op/', 'servers/')) for key in changed):
            self._respond(403, {})
            return
        self._respond(*STORE.commit(body['expected_rev'], body['puts'], body['deletes']))

    def _range(self, query):
        with STORE.changed:
            keys = sorted(
                key
                for key in STORE.item_by_key
                if key.startswith(query['prefix']) and key > query.get('after', '')
            )
            return {
                'items': [STORE.item_by_key[key] for key in keys[:PAGE]],
                'has_more': len(keys) > PAGE,
                'store_revision': STORE.revision,
            }

    def _watch(self, query):
        prefix, after = query['prefix'], int(query['after'])
        with STORE.changed:
            STORE.drop_old_events()
            if after < STORE.dropped_revision:
                return 410, {}
            STORE.changed.wait_for(
                lambda: STORE.events_after(prefix, after), int(query['wait_ms']) / 1000
            )
            return 200, {
                'events': STORE.events_after(prefix, after),
                'store_revision': STORE.revision,
            }

    def _respond(self, code, body):
        raw = json.dumps(body).encode()
        try:
            self.send_response(code)
            self.send_header('Content-Type', 'application/json')
            self.send_header('Content-Length', str(len(raw)))
            self.end_headers()
            self.wfile.write(raw)
        except ConnectionError:
            self.close_connection = True


class Server(http.server.ThreadingHTTPServer):
    """A server that stays silent about connections that its callers reset."""

    daemon_threads = True

    def handle_error(self, *_):
        """Print nothing."""


if __name__ == '__main__':
    server = Server((sys.argv[1], int(sys.argv[2])), Handler)
    server.serve_forever()
