"""Exchanges of the HTTP/1.1 server: a request and the response to it."""

from collections.abc import Callable
import enum
from typing import TYPE_CHECKING

from rattanroute.http1.heads import encode_response_head
from rattanroute.http1.heads import Request
from rattanroute.http1.heads import ResponseHead

if TYPE_CHECKING:
    from rattanroute.http1.server_connections import ServerConnection


class Framing(enum.StrEnum):
    """How the end of a response is marked."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


class Disconnect(enum.StrEnum):
    """Why a connection closed before the response ended."""

    CALLER = "caller left"
    HALF_CLOSE = "caller closed its sending direction"
    STOP = "cut at the end of the stop"


class Exchange:
    """A request of a caller and the response to it.

    Attributes:
        request: The request.
        disconnected: Whether the connection closed before the response ended.
        started: Whether the head of the response was sent.
        ended: Whether the response is complete or was aborted.
        last: Whether its head announced that the connection closes.
        on_disconnect: Called once when the caller closes the connection, or
            when the response must end at once; only in the first case is
            `disconnected` set before.
        on_writable: Called when the write buffer of a slow caller has drained.
    """

    def __init__(
        self, *, request: Request, connection: "ServerConnection"
    ) -> None:
        self.request = request
        self.connection = connection
        self.received_at = connection.loop.time()
        self.disconnected = False
        self.started = False
        self.ended = False
        self.last = False
        self.on_disconnect: Callable[[], None] | None = None
        self.on_writable: Callable[[], None] | None = None
        self.framing = Framing.LENGTH

    def send(self, head: ResponseHead, body: bytes = b"") -> None:
        """Sends a complete response."""
        if self.disconnected or self.ended:
            return
        framing = [(b"Content-Length", b"%d" % len(body))]
        framing += self.build_connection_headers()
        self.started = True
        data = encode_response_head(head, framing)
        self.connection.write(data + body if self.carries_body else data)
        self.finish()

    def start(self, head: ResponseHead) -> None:
        """Sends the head of a response whose body follows in chunks."""
        if self.disconnected or self.ended:
            return
        self.started = True
        self.framing = Framing.CHUNKED
        framing = [(b"Transfer-Encoding", b"chunked")]
        framing += self.build_connection_headers()
        self.connection.write(encode_response_head(head, framing))

    def build_connection_headers(self) -> list[tuple[bytes, bytes]]:
        """Returns `Connection: close` if this is the last response.

        A response that says so is the last one of its connection (RFC 9112,
        section 9.6); until then each request that was read is answered.
        """
        self.last = self.connection.closes_after(self.request.head)
        return [(b"Connection", b"close")] if self.last else []

    def write(self, data: bytes) -> None:
        """Sends a chunk of the body."""
        if not data or self.disconnected or self.ended:
            return
        if self.carries_body:
            self.connection.write(b"%x\r\n%b\r\n" % (len(data), data))

    def end(self) -> None:
        """Sends the end of the chunked body."""
        if self.disconnected or self.ended:
            return
        if self.carries_body:
            self.connection.write(b"0\r\n\r\n")
        self.finish()

    @property
    def carries_body(self) -> bool:
        """Whether bytes may follow the head; none do after `HEAD`."""
        return self.request.head.method != b"HEAD"

    def abort(self) -> None:
        """Closes the connection, so that the response stays incomplete."""
        if not self.ended:
            self.ended = True
            self.connection.abort()

    def call_when_written(self, callback: Callable[[], None]) -> None:
        """Calls a function once few bytes of the response are unsent."""
        self.connection.call_when_written(callback)

    @property
    def writable(self) -> bool:
        """Whether the write buffer has room."""
        return self.connection.writable

    def finish(self) -> None:
        """Marks the response as complete and ends the exchange."""
        self.ended = True
        self.connection.finish_exchange(self)

    @property
    def draining_s(self) -> float:
        """Seconds since the server started to drain; 0 if it does not."""
        started_at = self.connection.server.draining_at
        if started_at is None:
            return 0.0
        return self.connection.loop.time() - started_at

    def end_early(self) -> None:
        """Makes the handler end the response at once.

        It may still refuse the request if it has not started a response.
        """
        if self.ended or self.disconnected:
            return
        if self.on_disconnect is None:
            self.abort()
        else:
            self.on_disconnect()

    def handle_disconnect(self) -> None:
        """Handles a connection that closed before the response ended."""
        if self.ended or self.disconnected:
            return
        self.disconnected = True
        if self.on_disconnect is not None:
            self.on_disconnect()
