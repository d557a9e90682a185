"""How long bytes that a process reads have waited for it in the kernel."""

from __future__ import annotations

import socket
import struct

from dotterelpaddle.logs import get_logger

log = get_logger(name=__name__)

_LAST_DATA_RECEIVED = struct.Struct("=I")

_LAST_DATA_RECEIVED_OFFSET = 52
"""Offset of `tcpi_last_data_recv` in Linux's `struct tcp_info`."""

_LENGTH = _LAST_DATA_RECEIVED_OFFSET + _LAST_DATA_RECEIVED.size


def seconds_since_last_data(*, connection: socket.socket) -> float:
    """Return the seconds since a TCP connection received data; 0 where unknown."""
    if not hasattr(socket, "TCP_INFO"):
        return 0.0
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _LENGTH)
    except OSError as error:
        # The connection has ended, or is none of TCP.
        log.debug("arrival_unknown", cause=str(error))
        return 0.0
    if len(info) < _LENGTH:
        return 0.0
    (milliseconds,) = _LAST_DATA_RECEIVED.unpack_from(info, _LAST_DATA_RECEIVED_OFFSET)
    return milliseconds / 1000
