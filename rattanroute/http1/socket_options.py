"""Options of the sockets of connections."""

import asyncio
import contextlib
import socket

# Time without a TCP acknowledgement after which the kernel closes a
# connection; a broken path may drop packets without a reset.
TCP_USER_TIMEOUT_MS = 2_000


def set_user_timeout(transport: asyncio.BaseTransport) -> None:
    """Sets the time without an acknowledgement that closes a connection."""
    found = transport.get_extra_info("socket")
    if found is None:
        return
    with contextlib.suppress(OSError):
        found.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
