"""Connections of callers to the HTTP/1.1 server."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from rattanroute.http1.exchanges import Disconnect
from rattanroute.http1.exchanges import Exchange
from rattanroute.http1.heads import encode_response_head
from rattanroute.http1.heads import RequestHead
from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.lingering_closes import LingeringClose
from rattanroute.http1.lingering_closes import MAX_DISCARDED_BYTES
from rattanroute.http1.paced_readers import PacedReader
from rattanroute.http1.parsers import ProtocolError
from rattanroute.http1.parsers import RequestParser
from rattanroute.logs import get_logger

if TYPE_CHECKING:
    from rattanroute.http1.servers import HttpServer

# Unanswered requests per connection; reading is paused at this number.
MAX_PIPELINED_REQUESTS = 16
# Response bytes buffered for a slow caller before the source is paused.
WRITE_BUFFER_BYTES = 65_536
# After this time in seconds a caller whose body was refused may return.
BODY_RETRY_SECONDS = 0.5
# A slower upload only occupies the connection and is refused.
MIN_BODY_BYTES_PER_SECOND = 4_096

log = get_logger(__name__)


class ServerConnection(asyncio.Protocol):
    """A connection of a caller.

    Attributes:
        exchange: The request that is being answered.
        task: Task of the latest request's handler.
        writable: Whether the write buffer is below its limit.
        closing: Whether the connection is closing; further bytes are ignored.
        linger: Close in progress after the last response; None before it.
        reader: Passes the received bytes to the parser.
        paused: Whether reading is paused because of pipelined requests or of
            bytes behind an invalid one.
        active_at: Time of the event loop of the latest bytes or response.
        reading_since: Time at which the incomplete request started.
        progress_at: Time at which its body last grew.
        progress_bytes: Size of its body at that time.
        request_error: Error of the request that cannot be read.
        ignored_bytes: Bytes that arrived behind it.
        held_bytes: Bytes of the bodies of its requests.
        on_written: Called once few bytes are unsent, or the connection is
            closed.
        disconnect_reason: Why the connection closed, if it closes before the
            response to its open request ends.
    """

    def __init__(self, *, server: "HttpServer") -> None:
        self.server = server
        self.loop = asyncio.get_running_loop()
        self.parser = RequestParser(limits=server.limits)
        self.reader = PacedReader(
            read=self.parse,
            on_wait=self.update_reading,
            on_resume=self.update_reading,
        )
        self.exchange: Exchange | None = None
        self.task: asyncio.Task[None] | None = None
        self.transport: asyncio.Transport | None = None
        self.writable = True
        self.closing = False
        self.linger: LingeringClose | None = None
        self.paused = False
        self.active_at = self.loop.time()
        self.reading_since: float | None = None
        self.progress_at = self.active_at
        self.progress_bytes = 0
        self.request_error: ProtocolError | None = None
        self.ignored_bytes = 0
        self.held_bytes = 0
        self.on_written: list[Callable[[], None]] = []
        self.disconnect_reason = Disconnect.CALLER

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and limits its write buffer."""
        self.transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self.server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Passes bytes from the caller to the parser."""
        if self.linger is not None:
            self.linger.discard(len(data))
        if not self.closing:
            self.active_at = self.loop.time()
            self.reader.feed(data)

    def parse(self, data: bytes | memoryview) -> None:
        """Parses bytes from the caller and starts the next request."""
        if self.closing:
            return
        if self.request_error is not None:
            self.ignore(len(data))
            return
        now = self.loop.time()
        try:
            self.parser.feed(data)
        except ProtocolError as error:
            self.request_error = error
        self.update_progress(now)
        self.update_held_bytes()
        self.server.limit_bodies()
        self.start_next_request()

    def ignore(self, size: int) -> None:
        """Counts bytes behind an invalid request; stops reading at a limit.

        The response to the request before it may still be open.
        """
        self.ignored_bytes += size
        if self.ignored_bytes > MAX_DISCARDED_BYTES and not self.paused:
            self.pause()

    def update_progress(self, now: float) -> None:
        """Records when the incomplete request started and last grew."""
        if not self.parser.is_reading:
            self.reading_since = None
            return
        received = len(self.parser.body)
        if self.reading_since is None or received != self.progress_bytes:
            self.progress_at = now
        self.reading_since = self.reading_since or now
        self.progress_bytes = received

    def update_held_bytes(self) -> None:
        """Counts the bodies of the requests that are not answered yet."""
        held = len(self.parser.body)
        held += sum(len(request.body) for request in self.parser.requests)
        if self.exchange is not None:
            held += len(self.exchange.request.body)
        self.server.held_bytes += held - self.held_bytes
        self.held_bytes = held

    def refuse_body(self) -> None:
        """Refuses the request whose body is incomplete, and frees it."""
        self.request_error = ProtocolError(
            step="read request",
            message="too many bytes of requests are held",
            status=503,
        )
        self.parser.body = bytearray()
        self.update_held_bytes()
        self.start_next_request()

    def eof_received(self) -> bool:
        """Cancels the open request and lets the transport close.

        A caller that left cannot be told from one that closed its sending
        direction only. The bytes that were written are still sent.
        """
        self.disconnect_reason = Disconnect.HALF_CLOSE
        if self.exchange is not None:
            self.exchange.handle_disconnect()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Notifies the open exchange that its caller has disconnected."""
        self.server.connections.discard(self)
        self.closing = True
        self.reader.close()
        if self.linger is not None:
            self.linger.cancel()
        if self.exchange is not None:
            self.exchange.handle_disconnect()
        self.notify_written()
        self.log_dropped_requests()
        self.server.held_bytes -= self.held_bytes
        self.held_bytes = 0
        self.server.check_empty()

    def log_dropped_requests(self) -> None:
        """Logs requests that were read but will not be handled."""
        if self.parser.requests:
            log.info(
                "pipelined requests dropped",
                requests=len(self.parser.requests),
                draining=self.server.draining,
            )

    def pause_writing(self) -> None:
        """Marks the write buffer as full."""
        self.writable = False

    def resume_writing(self) -> None:
        """Marks the write buffer as drained and notifies the open exchange."""
        self.writable = True
        self.notify_written()
        exchange = self.exchange
        if exchange is not None and exchange.on_writable is not None:
            exchange.on_writable()

    def call_when_written(self, callback: Callable[[], None]) -> None:
        """Calls a function once the write buffer is below its limit."""
        is_open = self in self.server.connections
        if is_open and self.has_unsent(WRITE_BUFFER_BYTES):
            self.on_written.append(callback)
        else:
            callback()

    def has_unsent(self, size: int) -> bool:
        """Returns whether more than some bytes are unsent."""
        return self.transport.get_write_buffer_size() > size

    def notify_written(self) -> None:
        """Calls the functions that wait for the write buffer."""
        callbacks, self.on_written = self.on_written, []
        for callback in callbacks:
            callback()

    def pause(self) -> None:
        """Pauses reading until the open request is answered."""
        self.paused = True
        self.update_reading()

    def update_reading(self) -> None:
        """Pauses or resumes reading."""
        if self.closing or self.transport.is_closing():
            return
        if self.paused or self.reader.waiting:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    # Requests.

    def start_next_request(self) -> None:
        """Starts the next request unless one is being answered."""
        if self.exchange is not None:
            full = len(self.parser.requests) >= MAX_PIPELINED_REQUESTS
            if full and not self.paused:
                self.pause()
            return
        if self.closing:
            return
        if self.parser.requests:
            request = self.parser.requests.popleft()
            self.exchange = Exchange(request=request, connection=self)
            self.task = self.loop.create_task(self.run_handler(self.exchange))
        elif self.request_error is not None:
            self.reject_request(self.request_error.status)
        elif self.parser.expects_continue and self.parser.is_reading:
            self.request_body()

    def request_body(self) -> None:
        """Sends the 100 response that the caller waits for.

        It follows the responses to earlier requests; until then the caller
        cannot be too slow.
        """
        self.parser.expects_continue = False
        self.reading_since = self.progress_at = self.loop.time()
        self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    async def run_handler(self, exchange: Exchange) -> None:
        """Runs the handler of one request; aborts an unfinished response."""
        try:
            await self.server.handler(exchange)
        except Exception as error:
            log.exception("request handler failed", error=error)
            if not exchange.ended and not exchange.started:
                exchange.send(ResponseHead(status=502))
        if not exchange.ended:
            exchange.abort()

    def reject_request(self, status: int) -> None:
        """Refuses an invalid or slow request and closes the connection."""
        log.info(
            "invalid or slow request refused",
            status=status,
            error=self.request_error,
        )
        head = ResponseHead(status=status)
        framing = [(b"Content-Length", b"0"), (b"Connection", b"close")]
        if status == 503:
            framing.append((b"Retry-After", b"%.1f" % BODY_RETRY_SECONDS))
        self.write(encode_response_head(head, framing))
        self.close_after_response()

    def finish_exchange(self, exchange: Exchange) -> None:
        """Starts the next request, or closes the connection."""
        if exchange is not self.exchange:
            return
        self.exchange = None
        self.update_held_bytes()
        self.active_at = self.loop.time()
        if exchange.last:
            self.close_after_response()
            return
        if self.paused:
            self.paused = False
            self.update_reading()
        self.start_next_request()
        if self.server.closing_idle:
            self.sweep(self.active_at)

    def closes_after(self, head: RequestHead) -> bool:
        """Returns whether the response to the open request is the last one.

        On a draining connection this is the response after which no request
        is left that has been read, wholly or in part.
        """
        if not head.keep_alive:
            return True
        if not self.server.draining:
            return False
        return not (
            self.parser.requests or self.parser.is_reading or self.reader.unread
        )

    # Output.

    def write(self, data: bytes) -> None:
        """Writes bytes unless the connection is closing."""
        if not (self.closing or self.transport.is_closing()):
            self.transport.write(data)

    def close_after_response(self) -> None:
        """Closes the connection so that the caller gets the whole response."""
        if not (self.closing or self.transport.is_closing()):
            self.closing = True
            self.reader.close()
            self.linger = LingeringClose(transport=self.transport)

    def close(self) -> None:
        """Closes the connection after the buffered bytes are sent."""
        self.closing = True
        self.reader.close()
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Closes the connection and leaves the response incomplete."""
        self.exchange = None
        self.close()

    def end_request(self) -> None:
        """Ends the open request at the end of a stop."""
        self.disconnect_reason = Disconnect.STOP
        if self.exchange is not None:
            self.exchange.end_early()

    def log_unsent(self) -> None:
        """Logs bytes of responses that the caller has not received yet."""
        unsent = self.transport.get_write_buffer_size()
        if unsent:
            log.info("closing with unsent bytes", bytes=unsent)

    def is_too_slow(self, now: float) -> bool:
        """Returns whether the incomplete request arrives too slowly.

        A head has a fixed timeout. A body must not stop growing for that
        time, and must keep `MIN_BODY_BYTES_PER_SECOND` on average.
        """
        seconds = self.parser.head_timeout_s
        elapsed = now - self.reading_since
        if not self.parser.head_complete:
            return elapsed > seconds
        grown = len(self.parser.body) / MIN_BODY_BYTES_PER_SECOND
        return now - self.progress_at > seconds or elapsed > seconds + grown

    def sweep(self, now: float) -> None:
        """Closes the connection if it is idle or its request is too slow."""
        if self.exchange is not None or self.closing or self.reader.unread:
            return
        if self.reading_since is not None:
            if self.is_too_slow(now):
                self.request_error = self.request_error or ProtocolError(
                    step="read request", message="timed out", status=408
                )
                self.reject_request(self.request_error.status)
        elif (
            now - self.active_at > self.parser.idle_timeout_s
            or self.server.closing_idle
        ):
            self.close_idle()

    def close_idle(self) -> None:
        """Closes the connection; bytes that a caller never reads are lost."""
        if self.has_unsent(0):
            self.close_after_response()
        else:
            self.close()
