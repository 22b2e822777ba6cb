"""The HTTP endpoint of a daemon: metrics, status and, for agents, drain."""

import typing

import msgspec
from tornado import httpserver
from tornado import web

from egretjunction import addresses
from egretjunction import metrics

METRICS_TYPE = 'text/plain; version=0.0.4; charset=utf-8'


class _Metrics(web.RequestHandler):
    def initialize(self, figures: metrics.Metrics) -> None:
        self._figures = figures

    def get(self) -> None:
        self.set_header('Content-Type', METRICS_TYPE)
        self.write(self._figures.text())


class _Status(web.RequestHandler):
    def initialize(self, read: typing.Callable[[], dict[str, object]]) -> None:
        self._read = read

    def get(self) -> None:
        self.set_header('Content-Type', 'application/json')
        self.write(msgspec.json.encode(self._read()))


class _Drain(web.RequestHandler):
    def initialize(self, drain: typing.Callable[[], None]) -> None:
        self._drain = drain

    def post(self) -> None:
        self._drain()
        self.write('draining\n')


def serve(
    address: addresses.Address,
    figures: metrics.Metrics,
    status: typing.Callable[[], dict[str, object]],
    drain: typing.Callable[[], None],
) -> httpserver.HTTPServer:
    """Listen for scrapers and operators.

    :param address: where to listen.
    :param figures: what ``/metrics`` shows.
    :param status: returns what ``/status`` shows.
    :param drain: begins a graceful shutdown.
    """
    application = web.Application(
        [
            ('/metrics', _Metrics, {'figures': figures}),
            ('/status', _Status, {'read': status}),
            ('/drain', _Drain, {'drain': drain}),
        ],
    )
    server = httpserver.HTTPServer(application)
    server.listen(address.port, address.host)
    return server
