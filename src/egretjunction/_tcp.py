"""Detection of TCP connections whose other end is gone without a notice."""

import socket

# A connection whose other end does not acknowledge probes fails after 3 s, also while a
# long poll waits on it.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2


def enable_keepalive(connection: socket.socket) -> None:
    """Have the kernel probe the other end of a connection while nothing arrives."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    value_by_option = {
        socket.TCP_KEEPIDLE: KEEPALIVE_IDLE_SECONDS,
        socket.TCP_KEEPINTVL: KEEPALIVE_INTERVAL_SECONDS,
        socket.TCP_KEEPCNT: KEEPALIVE_PROBES,
    }
    for option, setting in value_by_option.items():
        connection.setsockopt(socket.IPPROTO_TCP, option, setting)
