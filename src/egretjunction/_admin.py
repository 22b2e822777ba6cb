"""Admin HTTP endpoint of a daemon: ``/metrics``, ``/status`` and ``/drain``."""

import typing

import msgspec
from tornado import httpserver
from tornado import web

from egretjunction import addresses
from egretjunction import metrics

METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'


class _Metrics(web.RequestHandler):
    def initialize(self, process_metrics: metrics.Metrics) -> None:
        self._process_metrics = process_metrics

    def get(self) -> None:
        self.set_header('Content-Type', METRICS_CONTENT_TYPE)
        self.write(self._process_metrics.text())


class _Status(web.RequestHandler):
    def initialize(self, status: typing.Callable[[], dict[str, object]]) -> None:
        self._status = status

    def get(self) -> None:
        self.set_header('Content-Type', 'application/json')
        self.write(msgspec.json.encode(self._status()))


class _Drain(web.RequestHandler):
    def initialize(self, drain: typing.Callable[[], None]) -> None:
        self._drain = drain

    def post(self) -> None:
        self._drain()
        self.write('draining\n')


def serve(
    address: addresses.Address,
    process_metrics: metrics.Metrics,
    status: typing.Callable[[], dict[str, object]],
    drain: typing.Callable[[], None],
) -> httpserver.HTTPServer:
    """Serve the admin endpoint.

    :param address: address to listen on.
    :param process_metrics: the metrics that ``/metrics`` returns.
    :param status: returns the fields that ``/status`` writes as JSON.
    :param drain: starts a graceful shutdown.
    :return: the listening server.
    """
    application = web.Application(
        [
            ('/metrics', _Metrics, {'process_metrics': process_metrics}),
            ('/status', _Status, {'status': status}),
            ('/drain', _Drain, {'drain': drain}),
        ],
    )
    server = httpserver.HTTPServer(application)
    server.listen(address.port, address.host)
    return server
