"""Reads little at once from each connection of a listener."""

import asyncio

# The event loop reads up to 256 KB at once otherwise, and all connections that
# are ready before it runs anything else: 600 connections then held 150 MB.
READ_BYTES = 32_768


class SmallReads(asyncio.BufferedProtocol):
    """Passes the events of a connection on to a protocol.

    All connections read into one buffer, which is free again when
    `buffer_updated` returns.

    Args:
        protocol: The protocol of the connection.
    """

    shared_buffer = memoryview(bytearray(READ_BYTES))

    def __init__(self, protocol: asyncio.Protocol) -> None:
        self.protocol = protocol
        self.pause_writing = protocol.pause_writing
        self.resume_writing = protocol.resume_writing

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Passes the start of the connection on."""
        self.protocol.connection_made(transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read."""
        del sizehint
        return self.shared_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Passes on a copy of what was read."""
        self.protocol.data_received(bytes(self.shared_buffer[:nbytes]))

    def eof_received(self) -> bool | None:
        """Passes the end of the client's direction on."""
        return self.protocol.eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Passes the end of the connection on."""
        self.protocol.connection_lost(exc)
