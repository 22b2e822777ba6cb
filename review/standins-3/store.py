"""A metadata store as the users' pages describe it, and the operator that writes to it."""

import asyncio
import base64
import json
import urllib.parse


class Store:
    """Items, their history, and an HTTP server of its own.

    ``refused_hosts`` holds machines that get 503 instead of an answer. ``silent`` holds
    open connections on which nothing is answered any more.
    """

    def __init__(self, address):
        self.address = address
        self.revision = 100
        self.item_by_key = {}
        self.events = []
        self.refused_hosts = set()
        self.silent = set()
        self._open = set()
        self.calls = 0
        self._changed = asyncio.Condition()

    async def start(self):
        """Listen for calls."""
        self._server = await asyncio.start_server(self._serve, *self.address)

    def silence_connections(self):
        """Never use the connections that are open now again; new ones work."""
        self.silent |= self._open
        return len(self._open)

    async def put(self, key, value):
        """Write an item; the return is its acknowledgement."""
        async with self._changed:
            self.revision += 1
            encoded = base64.b64encode(value).decode()
            before = self.item_by_key.get(key, {'created_at': self.revision})
            item = {
                'key': key,
                'value': encoded,
                'revision': self.revision,
                'created_at': before['created_at'],
                'lease': 0,
            }
            self.item_by_key[key] = item
            self.events.append(item)
            self._changed.notify_all()

    async def delete(self, key):
        """Delete an item."""
        async with self._changed:
            if self.item_by_key.pop(key, None) is not None:
                self.revision += 1
                self.events.append(
                    {'key': key, 'revision': self.revision, 'deleted': True}
                )
                self._changed.notify_all()

    async def _serve(self, reader, writer):
        self._open.add(writer)
        try:
            head = (await reader.readuntil(b'\r\n\r\n')).decode()
            method, target, _ = head.split('\r\n', 1)[0].split(' ')
            headers = dict(
                line.lower().split(': ', 1) for line in head.split('\r\n')[1:] if line
            )
            body = await reader.readexactly(int(headers.get('content-length', 0)))
            self.calls += 1
            if writer.get_extra_info('peername')[0] in self.refused_hosts:
                code, answer = 503, {}
            else:
                code, answer = await self._answer(method, target, body)
            raw = json.dumps(answer).encode()
            if writer in self.silent:
                await reader.read()  # until the other end gives up
                return
            writer.write(
                b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
                b'Content-Length: %d\r\nConnection: close\r\n\r\n' % (code, len(raw))
                + raw
            )
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._open.discard(writer)
            self.silent.discard(writer)
            writer.close()

    async def _answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if (method, url.path) == ('GET', '/kv-key'):
            item = self.item_by_key.get(query['key'])
            if item is None:
                return 404, {}
            return 200, {**item, 'store_revision': self.revision}
        if (method, url.path) == ('GET', '/kv-range'):
            keys = [
                key
                for key in sorted(self.item_by_key)
                if key.startswith(query['prefix']) and key > query.get('after', '')
            ]
            return 200, {
                'items': [self.item_by_key[key] for key in keys[:500]],
                'has_more': len(keys) > 500,
                'store_revision': self.revision,
            }
        if (method, url.path) == ('GET', '/kv-watch'):
            return await self._watch(query)
        if (method, url.path) == ('POST', '/kv-txn'):
            return await self._commit(json.loads(body))
        return 404, {}

    async def _watch(self, query):
        after, prefix = int(query['after']), query['prefix']

        def found():
            return [
                event
                for event in self.events
                if event['revision'] > after and event['key'].startswith(prefix)
            ]

        async with self._changed:
            try:
                wait_s = min(30_000, int(query['wait_ms'])) / 1000
                await asyncio.wait_for(self._changed.wait_for(found), wait_s)
            except TimeoutError:
                pass
            return 200, {'events': found(), 'store_revision': self.revision}

    async def _commit(self, call):
        rows = call['expected_rev']
        current = [self.item_by_key.get(row['key']) for row in rows]
        held = [item['revision'] if item else 0 for item in current]
        if held != [row['revision'] for row in rows]:
            return 412, {'items': [item for item in current if item]}
        for item in call['puts']:
            if item['key'].startswith(('op/', 'servers/')):
                return 403, {}
            await self.put(item['key'], base64.b64decode(item['value']))
        for key in call['deletes']:
            await self.delete(key)
        return 200, {'revision': self.revision}


def _target(service):
    if isinstance(service, str):
        return {'service': service}
    weights = [{'service': name, 'weight': share} for name, share in service.items()]
    return {'weighted_services': weights}


def configuration(version, routes, services):
    """Return a configuration of the operator.

    :param routes: for each, its name, address, service, kind, deadline and aim in ms;
        in place of a service, a dictionary of weights.
    """
    return json.dumps(
        {
            'version': version,
            'routes': [
                {
                    'name': name,
                    'host': address[0],
                    'prefix': f'/{address[1]}/',
                    'type': kind,
                    'timeout_ms': deadline_ms,
                    'target_latency_ms': aim_ms,
                    'priority': 1,
                    'max_attempts': 2,
                    **_target(service),
                }
                for name, address, service, kind, deadline_ms, aim_ms in routes
            ],
            'services': [
                {
                    'name': service,
                    'health_path': '/health',
                    'max_connections': 2000,
                    'protocol': 'h1',
                    'tls': False,
                }
                for service in services
            ],
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 262144,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
        }
    ).encode()
