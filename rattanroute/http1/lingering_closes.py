"""Close of a connection in two steps after its last response.

A close with unread bytes resets the connection, and the peer may lose the end
of the response (RFC 9112, section 9.6). The end of the stream is therefore sent
first, and what still arrives is discarded for a while.
"""

import asyncio

from rattanroute.http1.socket_options import abort_with_reset

# Longer than bytes are under way when the caller reads the end of the stream. A
# caller that does not close its side must not hold the connection.
LINGER_SECONDS = 0.5
# Twice the default limit of a body: a caller may read only after it has sent a
# body that is refused.
MAX_DISCARDED_BYTES = 8_388_608
# A caller that reads nothing for this long loses the rest of the response.
MAX_STALL_SECONDS = 15.0


class LingeringClose:
    """Closes a transport after its buffered bytes and the end of the stream.

    Args:
        transport: The transport; nothing may be written to it afterwards.

    Attributes:
        discarded: Bytes that arrived since the end of the stream was sent.
        unsent: Bytes that were buffered at the latest check.
        progress_at: Time at which they last became fewer.
    """

    def __init__(self, *, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.loop = asyncio.get_running_loop()
        self.discarded = 0
        self.unsent = transport.get_write_buffer_size()
        self.progress_at = self.loop.time()
        transport.write_eof()
        transport.resume_reading()
        self.timer = self.loop.call_later(LINGER_SECONDS, self.check)

    def discard(self, size: int) -> None:
        """Counts bytes that arrived; closes the transport past the limit."""
        self.discarded += size
        if self.discarded > MAX_DISCARDED_BYTES:
            self.cancel()
            self.transport.close()

    def check(self) -> None:
        """Closes the transport unless a slow reader still makes progress."""
        now = self.loop.time()
        unsent = self.transport.get_write_buffer_size()
        if unsent < self.unsent:
            self.progress_at = now
        elif not unsent:
            self.transport.close()
            return
        elif now - self.progress_at > MAX_STALL_SECONDS:
            abort_with_reset(self.transport)
            return
        self.unsent = unsent
        self.timer = self.loop.call_later(LINGER_SECONDS, self.check)

    def cancel(self) -> None:
        """Stops the checks."""
        self.timer.cancel()
