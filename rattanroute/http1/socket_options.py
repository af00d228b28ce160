"""Options of the sockets of connections."""

import asyncio
import contextlib
import socket

# Time without a TCP acknowledgement after which the kernel closes a
# connection; a broken path may drop packets without a reset.
TCP_USER_TIMEOUT_MS = 2_000
# What the kernel receives ahead of a process that does not read is up to twice
# this size; by default it grows to megabytes.
RECEIVE_BUFFER_BYTES = 32_768


def set_connection_options(transport: asyncio.BaseTransport) -> None:
    """Sets the options of a connection to a target, or of a part of its way.

    These are the time without an acknowledgement that closes it, and the size
    of its receive buffer.
    """
    found = transport.get_extra_info("socket")
    if found is None:
        return
    with contextlib.suppress(OSError):
        found.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        found.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
