"""Options of the sockets of connections."""

import asyncio
import contextlib
import fcntl
import socket
import struct
import termios

# Time without a TCP acknowledgement after which the kernel closes a
# connection; a broken path may drop packets without a reset.
TCP_USER_TIMEOUT_MS = 2_000
# Both buffers of connections to a listener of the daemon. A body of 4 MiB then
# takes 32 round trips.
LISTENER_BUFFER_BYTES = 65_536
# Value of `SO_LINGER` that closes with a reset.
LINGER_RESET = struct.pack("ii", 1, 0)


def set_user_timeout(transport: asyncio.BaseTransport) -> None:
    """Sets the time without an acknowledgement that closes a connection."""
    found = transport.get_extra_info("socket")
    if found is None:
        return
    with contextlib.suppress(OSError):
        found.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )


def limit_listener_buffers(server: asyncio.Server) -> None:
    """Limits the buffers of the connections that a server accepts."""
    for listening in server.sockets:
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            listening.setsockopt(
                socket.SOL_SOCKET, option, LISTENER_BUFFER_BYTES
            )


def read_unsent_bytes(transport: asyncio.BaseTransport) -> int:
    """Returns the bytes in the kernel that the peer has not acknowledged.

    They are 0 if the system does not tell.
    """
    found = transport.get_extra_info("socket")
    if found is None or transport.is_closing():
        return 0
    with contextlib.suppress(OSError):
        reply = fcntl.ioctl(found.fileno(), termios.TIOCOUTQ, bytes(4))
        return struct.unpack("i", reply)[0]
    return 0


def abort_with_reset(transport: asyncio.Transport) -> None:
    """Closes a connection at once and drops its unsent bytes.

    Without a reset the kernel keeps them if the peer does not read.
    """
    found = transport.get_extra_info("socket")
    if found is not None:
        with contextlib.suppress(OSError):
            found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    transport.abort()
