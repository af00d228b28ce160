"""Bounds what the kernel holds for the connections of clients.

The kernel receives ahead of a process that does not read, and sends behind one
that writes to a client that does not read. Both count towards the memory of the
machine. By default its buffers grow to some megabytes for each connection.

All connections begin with small buffers. A connection that receives a large
body gets a large receive buffer while some are left, as a small one costs a
round trip for each of its fillings.
"""

import asyncio
import contextlib
import dataclasses
import socket

from rattanroute.http1.memory_budgets import measure_usable_bytes

# Part of the usable memory for the buffers of all connections.
SOCKET_FRACTION = 0.25
# Part of these for the large receive buffers.
LARGE_FRACTION = 0.25
# Holds the head and the body of a usual request.
MIN_BUFFER_BYTES = 4_096
MAX_BUFFER_BYTES = 32_768
# Keeps a body of the largest default size below a second at a round trip of 20
# milliseconds.
LARGE_BUFFER_BYTES = 65_536
# The kernel receives up to twice the size that is set.
LARGE_HELD_BYTES = 2 * LARGE_BUFFER_BYTES
MIN_LARGE_BUFFERS = 8
# What the kernel holds at most of the responses of one connection: one segment
# is filled whatever the size of the buffer.
MAX_UNSENT_BYTES = 49_152
MAX_UNCOUNTED = 256
# A body of which more is still to come gets a large buffer.
LARGE_BODY_BYTES = 65_536


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SocketBufferSizes:
    """Sizes of the kernel's buffers of all client connections.

    Attributes:
        small_bytes: Size of each buffer, in both directions.
        large_buffers: Number of connections with a large receive buffer.
        max_uncounted: Number of connections up to which unread responses in
            the kernel need not be counted.
    """

    small_bytes: int = MAX_BUFFER_BYTES
    large_buffers: int = MIN_LARGE_BUFFERS
    max_uncounted: int = MAX_UNCOUNTED


DEFAULT_BUFFER_SIZES = SocketBufferSizes()


def derive_buffer_sizes(
    memory_mb: float, *, connections: int, waiting: int
) -> SocketBufferSizes:
    """Returns the sizes for a machine; 0 MB stand for an unknown size.

    Args:
        memory_mb: Memory of the machine in MB.
        connections: Limit of the client connections.
        waiting: Connections that may wait at all listeners; the kernel
            receives their first bytes, too.
    """
    if not memory_mb:
        return DEFAULT_BUFFER_SIZES
    total = SOCKET_FRACTION * max(0, measure_usable_bytes(memory_mb))
    large = round(LARGE_FRACTION * total / LARGE_HELD_BYTES)
    buffers = 2 * connections + waiting
    small = round((1 - LARGE_FRACTION) * total / buffers)
    return SocketBufferSizes(
        small_bytes=min(MAX_BUFFER_BYTES, max(MIN_BUFFER_BYTES, small)),
        large_buffers=max(MIN_LARGE_BUFFERS, large),
        max_uncounted=round(total / MAX_UNSENT_BYTES),
    )


class SocketBuffers:
    """Sets the kernel's buffers of the connections of all listeners.

    Args:
        sizes: Sizes of the buffers.

    Attributes:
        large: Transports with a large receive buffer.
    """

    def __init__(self, *, sizes: SocketBufferSizes) -> None:
        self.sizes = sizes
        self.large: set[asyncio.Transport] = set()

    def open_listener(self, host: str, port: int) -> socket.socket:
        """Returns a bound socket; accepted connections inherit its buffers.

        Raises:
            OSError: If the address is unavailable.
        """
        opened = socket.socket()
        size = self.sizes.small_bytes
        try:
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)
            opened.bind((host, port))
        except OSError:
            opened.close()
            raise
        return opened

    def enlarge(self, transport: asyncio.Transport) -> bool:
        """Gives a connection a large receive buffer, if one is left.

        Returns:
            Whether it has one.
        """
        if len(self.large) < self.sizes.large_buffers:
            self.large.add(transport)
            resize_receive_buffer(transport, LARGE_BUFFER_BYTES)
        return transport in self.large

    def shrink(self, transport: asyncio.Transport) -> None:
        """Gives a connection the small receive buffer again."""
        if transport in self.large:
            self.large.remove(transport)
            resize_receive_buffer(transport, self.sizes.small_bytes)


def resize_receive_buffer(transport: asyncio.Transport, size: int) -> None:
    """Changes the receive buffer of a connection and the window it offers.

    The window of a connection that began with a small buffer stays small unless
    its limit (`TCP_WINDOW_CLAMP`) is changed as well.
    """
    found = transport.get_extra_info("socket")
    if found is None or transport.is_closing():
        return
    with contextlib.suppress(OSError):
        found.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        found.setsockopt(socket.IPPROTO_TCP, socket.TCP_WINDOW_CLAMP, size)
