"""Server side of HTTP/1.1 connections."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import enum

from rattanroute.http1.heads import encode_response_head
from rattanroute.http1.heads import Request
from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.parsers import ProtocolError
from rattanroute.http1.parsers import RequestLimits
from rattanroute.http1.parsers import RequestParser
from rattanroute.logs import get_logger

SWEEP_SECONDS = 0.5
# Unanswered requests of one connection; beyond them it is not read.
MAX_PIPELINED = 16
# Bytes of an answer that may wait for a slow reader before its source is
# paused.
WRITE_BUFFER_BYTES = 65_536
BACKLOG = 1_024
# A caller that sends its body more slowly only holds the connection.
MIN_BODY_BYTES_PER_SECOND = 4_096

log = get_logger(__name__)


class Framing(enum.StrEnum):
    """How the end of an answer is marked."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


class Exchange:
    """One request of a caller and the answer to it.

    Attributes:
        request: The request.
        gone: Whether the caller closed the connection.
        started: Whether the head of the answer was sent.
        ended: Whether the answer is complete or was broken off.
        on_gone: Called once when the caller closes the connection.
        on_writable: Called when a slow reader has caught up.
    """

    def __init__(
        self, *, request: Request, connection: "ServerConnection"
    ) -> None:
        self.request = request
        self.connection = connection
        self.received_at = connection.loop.time()
        self.gone = False
        self.started = False
        self.ended = False
        self.on_gone: Callable[[], None] | None = None
        self.on_writable: Callable[[], None] | None = None
        self.framing = Framing.LENGTH

    def send(self, head: ResponseHead, body: bytes = b"") -> None:
        """Sends a whole answer."""
        if self.gone or self.ended:
            return
        framing = [(b"Content-Length", b"%d" % len(body))]
        framing += self.connection.describe_persistence(self.request.head)
        self.started = True
        self.connection.write(encode_response_head(head, framing) + body)
        self.finish()

    def start(self, head: ResponseHead) -> None:
        """Sends the head of an answer whose body follows in parts."""
        if self.gone or self.ended:
            return
        self.started = True
        self.framing = Framing.CHUNKED
        framing = [(b"Transfer-Encoding", b"chunked")]
        framing += self.connection.describe_persistence(self.request.head)
        self.connection.write(encode_response_head(head, framing))

    def write(self, data: bytes) -> None:
        """Sends a part of the body."""
        if data and not (self.gone or self.ended):
            self.connection.write(b"%x\r\n%b\r\n" % (len(data), data))

    def end(self) -> None:
        """Marks the body as complete."""
        if not (self.gone or self.ended):
            self.connection.write(b"0\r\n\r\n")
            self.finish()

    def abort(self) -> None:
        """Breaks the answer off, so that it does not look complete."""
        if not self.ended:
            self.ended = True
            self.connection.abort()

    @property
    def writable(self) -> bool:
        """Whether the caller keeps up with what was written."""
        return self.connection.writable

    def finish(self) -> None:
        """Notes that the answer is complete."""
        self.ended = True
        self.connection.finish_exchange(self)

    def lose(self) -> None:
        """Notes that the caller closed the connection."""
        if self.ended or self.gone:
            return
        self.gone = True
        if self.on_gone is not None:
            self.on_gone()


Handler = Callable[[Exchange], Awaitable[None]]


class ServerConnection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, *, server: "HttpServer") -> None:
        self.server = server
        self.loop = asyncio.get_running_loop()
        self.parser = RequestParser(limits=server.limits)
        self.exchange: Exchange | None = None
        self.task: asyncio.Task[None] | None = None
        self.transport: asyncio.Transport | None = None
        self.writable = True
        self.closing = False
        self.paused = False
        self.active_at = self.loop.time()
        self.reading_since: float | None = None
        self.progress_at = self.active_at
        self.progress_bytes = 0
        self.failure: ProtocolError | None = None

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the transport."""
        self.transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self.server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Takes bytes of the caller."""
        if self.closing or self.failure is not None:
            return
        now = self.loop.time()
        self.active_at = now
        try:
            self.parser.feed(data)
        except ProtocolError as error:
            self.failure = error
        self.note_progress(now)
        if self.parser.expects_continue and self.parser.is_reading:
            self.parser.expects_continue = False
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self.start_next()

    def note_progress(self, now: float) -> None:
        """Notes since when a request is read, and when its body grew."""
        if not self.parser.is_reading:
            self.reading_since = None
            return
        received = len(self.parser.body)
        if self.reading_since is None or received != self.progress_bytes:
            self.progress_at = now
        self.reading_since = self.reading_since or now
        self.progress_bytes = received

    def eof_received(self) -> bool:
        """Lets the transport close."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells the open exchange that its caller is gone."""
        self.server.connections.discard(self)
        self.closing = True
        if self.exchange is not None:
            self.exchange.lose()
        self.server.note_idle()

    def pause_writing(self) -> None:
        """Notes that the caller reads slowly."""
        self.writable = False

    def resume_writing(self) -> None:
        """Notes that the caller has caught up."""
        self.writable = True
        exchange = self.exchange
        if exchange is not None and exchange.on_writable is not None:
            exchange.on_writable()

    # Requests.

    def start_next(self) -> None:
        """Starts the next request when none is being answered."""
        if self.exchange is not None:
            full = len(self.parser.requests) >= MAX_PIPELINED
            if full and not self.paused:
                self.paused = True
                self.transport.pause_reading()
            return
        if self.closing:
            return
        if self.parser.requests:
            request = self.parser.requests.popleft()
            self.exchange = Exchange(request=request, connection=self)
            self.task = self.loop.create_task(self.serve(self.exchange))
        elif self.failure is not None:
            self.refuse(self.failure.status)

    async def serve(self, exchange: Exchange) -> None:
        """Runs the handler of one request."""
        try:
            await self.server.handler(exchange)
        except Exception as error:
            log.exception("request handler failed", error=error)
            if not exchange.ended and not exchange.started:
                exchange.send(ResponseHead(status=502))
        if not exchange.ended:
            exchange.abort()

    def refuse(self, status: int) -> None:
        """Answers bytes that are no acceptable request, and closes."""
        log.info("bytes refused", status=status, error=self.failure)
        head = ResponseHead(status=status)
        framing = [(b"Content-Length", b"0"), (b"Connection", b"close")]
        self.write(encode_response_head(head, framing))
        self.close()

    def finish_exchange(self, exchange: Exchange) -> None:
        """Goes on to the next request, or closes."""
        if exchange is not self.exchange:
            return
        self.exchange = None
        self.active_at = self.loop.time()
        if self.server.draining or not exchange.request.head.keep_alive:
            self.close()
            return
        if self.paused:
            self.paused = False
            self.transport.resume_reading()
        self.start_next()

    def describe_persistence(self, head: object) -> list[tuple[bytes, bytes]]:
        """Returns the headers that say whether the connection stays open."""
        if self.server.draining or not head.keep_alive:
            return [(b"Connection", b"close")]
        return []

    # Output.

    def write(self, data: bytes) -> None:
        """Writes bytes to the caller."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def close(self) -> None:
        """Closes the connection after what was written."""
        self.closing = True
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Closes the connection; a partial answer stays partial."""
        self.exchange = None
        self.close()

    def is_too_slow(self, now: float) -> bool:
        """Whether the request that is read stands still or trickles in.

        A head has a fixed time. A body may take longer as long as it grows.
        """
        seconds = self.server.limits.head_seconds
        elapsed = now - self.reading_since
        if not self.parser.head_complete:
            return elapsed > seconds
        grown = len(self.parser.body) / MIN_BODY_BYTES_PER_SECOND
        return now - self.progress_at > seconds or elapsed > seconds + grown

    def sweep(self, now: float) -> None:
        """Closes the connection when it has been idle or slow too long."""
        if self.exchange is not None or self.closing:
            return
        limits = self.server.limits
        if self.reading_since is not None:
            if self.is_too_slow(now):
                self.failure = self.failure or ProtocolError(
                    step="read request", message="timed out", status=408
                )
                self.refuse(self.failure.status)
        elif (
            now - self.active_at > limits.idle_seconds
            or self.server.closing_idle
        ):
            self.close()


class HttpServer:
    """A listener with its connections.

    Args:
        handler: Answers each request.
        limits: Limits of requests; its fields may be changed at any time.
    """

    def __init__(self, *, handler: Handler, limits: RequestLimits) -> None:
        self.handler = handler
        self.limits = limits
        self.connections: set[ServerConnection] = set()
        self.draining = False
        self.closing_idle = False
        self.empty = asyncio.Event()
        self.loop = asyncio.get_running_loop()
        self.listener: asyncio.Server | None = None
        self.sweeper: asyncio.Task[None] | None = None

    async def start(self, host: str, port: int) -> None:
        """Opens the listener.

        Raises:
            OSError: If the address cannot be used.
        """
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: ServerConnection(server=self), host, port, backlog=BACKLOG
        )
        self.sweeper = loop.create_task(self.sweep())

    async def sweep(self) -> None:
        """Ends idle and slow connections."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            for connection in list(self.connections):
                connection.sweep(loop.time())

    @property
    def busy(self) -> int:
        """Requests that are being answered."""
        return sum(x.exchange is not None for x in self.connections)

    def note_idle(self) -> None:
        """Notes when the last connection of a draining server has ended."""
        if self.closing_idle and not self.connections:
            self.empty.set()

    def start_draining(self) -> None:
        """Closes each connection after its next answer."""
        self.draining = True

    def stop_accepting(self) -> None:
        """Closes the listener and the connections without a request.

        `empty` is set once all other connections have ended.
        """
        self.closing_idle = True
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.sweep(self.loop.time())
        self.note_idle()

    async def close(self) -> None:
        """Closes everything."""
        if self.sweeper is not None:
            self.sweeper.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.sweeper
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.close()
