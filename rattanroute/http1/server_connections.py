"""Connections of callers to the HTTP/1.1 server."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from rattanroute.http1.connection_limits import CloseCause
from rattanroute.http1.connection_memory import ConnectionMemory
from rattanroute.http1.exchanges import Disconnect
from rattanroute.http1.exchanges import Exchange
from rattanroute.http1.heads import encode_response_head
from rattanroute.http1.heads import RequestHead
from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.lingering_closes import LingeringClose
from rattanroute.http1.lingering_closes import MAX_DISCARDED_BYTES
from rattanroute.http1.paced_readers import PacedReader
from rattanroute.http1.parsers import ProtocolError
from rattanroute.http1.request_parsers import build_request_error
from rattanroute.http1.request_parsers import RequestParser
from rattanroute.http1.socket_buffers import LARGE_BODY_BYTES
from rattanroute.http1.socket_options import abort_with_reset
from rattanroute.logs import get_logger

if TYPE_CHECKING:
    from rattanroute.http1.servers import HttpServer

# Bytes behind an open request that are not parsed yet; above this number,
# reading is paused. One more read of the transport may be kept.
MAX_UNREAD_BYTES = 16_384
# Unsent bytes of responses above which the next request of the connection is
# not parsed. Many responses are smaller than what a write costs in memory.
MAX_PIPELINED_UNSENT_BYTES = 8_192
# Response bytes buffered for a slow caller before the source is paused.
WRITE_BUFFER_BYTES = 65_536
# After this time in seconds a caller whose body was refused may return.
BODY_RETRY_SECONDS = 0.5
# A slower request only occupies the connection and is refused.
MIN_BYTES_PER_SECOND = 4_096

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
        memory: What the connection holds.
        paused: Whether reading is paused because of bytes behind an invalid
            request.
        reading: Whether the transport reads.
        awaits_reader: Whether the next request waits until the caller reads
            the responses before it.
        awaits_turn: Whether it waits for its turn among those of other
            connections.
        active_at: Time of the event loop of the latest bytes or response.
        reading_since: Time at which the incomplete request started.
        progress_at: Time at which its head or body last grew.
        progress_bytes: Size of its head and body at that time.
        enlarged: Whether the receive buffer of the socket is large.
        request_error: Error of the request that cannot be read.
        ignored_bytes: Bytes that arrived behind it.
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
            on_resume=self.handle_unread,
        )
        self.exchange: Exchange | None = None
        self.task: asyncio.Task[None] | None = None
        self.transport: asyncio.Transport | None = None
        self.writable = True
        self.closing = False
        self.linger: LingeringClose | None = None
        self.paused = False
        self.reading = True
        self.awaits_reader = False
        self.awaits_turn = False
        self.active_at = self.loop.time()
        self.reading_since: float | None = None
        self.progress_at = self.active_at
        self.progress_bytes = 0
        self.enlarged = False
        self.request_error: ProtocolError | None = None
        self.ignored_bytes = 0
        self.memory = ConnectionMemory(connection=self, budget=server.budget)
        self.on_written: list[Callable[[], None]] = []
        self.disconnect_reason = Disconnect.CALLER

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and limits its write buffer."""
        self.transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self.server.connections.add(self)
        self.memory.start()
        self.server.connection_limit.add(self)

    def data_received(self, data: bytes) -> None:
        """Passes bytes from the caller to the parser."""
        if self.linger is not None:
            self.linger.discard(len(data))
        if self.closing:
            return
        self.active_at = self.loop.time()
        if self.request_error is not None:
            self.ignore(len(data))
            return
        self.reader.feed(data)
        if self.reader.unread:
            self.handle_unread()

    def handle_unread(self) -> None:
        """Counts the bytes that wait, and pauses or resumes reading."""
        self.memory.update()
        self.update_reading()

    def parse(self, data: bytes | memoryview) -> bytes | memoryview | None:
        """Parses bytes from the caller and starts the next request.

        Returns:
            The bytes that were not parsed, if any.
        """
        if self.closing:
            return None
        if self.request_error is not None:
            self.ignore(len(data))
            return None
        now = self.loop.time()
        used = len(data)
        try:
            used = self.parser.feed_request(data)
        except ProtocolError as error:
            self.request_error = error
        self.update_progress(now)
        self.update_receive_buffer()
        # A request may be refused for its memory until it is handed over.
        self.memory.update()
        self.start_next_request()
        if used == len(data) or self.closing or self.request_error is not None:
            return None
        return data[used:]

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
        received = self.parser.received_bytes
        if self.reading_since is None or received != self.progress_bytes:
            self.progress_at = now
        self.reading_since = self.reading_since or now
        self.progress_bytes = received

    def update_receive_buffer(self) -> None:
        """Uses a large receive buffer while a large body arrives."""
        buffers = self.server.buffers
        if buffers is None:
            return
        if not self.parser.is_reading:
            if self.enlarged:
                buffers.shrink(self.transport)
                self.enlarged = False
        elif not self.enlarged and self.parser.expects_bytes(LARGE_BODY_BYTES):
            self.enlarged = buffers.enlarge(self.transport)

    def refuse_unhandled(self) -> None:
        """Refuses what was received and not handed over, and frees it."""
        self.request_error = build_request_error(
            503, "clients hold too much memory"
        )
        self.free_unhandled()
        self.reading_since = None
        if not self.awaits_reader:
            self.start_next_request()

    def break_off(self) -> None:
        """Closes the connection at once; unsent bytes are lost."""
        self.closing = True
        self.free_unhandled()
        abort_with_reset(self.transport)

    def free_unhandled(self) -> None:
        """Frees what was received and not handed over.

        The connection and its parser refer to each other, so that they live
        until the next garbage collection.
        """
        self.reader.close()
        self.parser.discard()

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
        self.log_dropped_requests()
        self.free_unhandled()
        if self.linger is not None:
            self.linger.cancel()
        if self.exchange is not None:
            self.exchange.handle_disconnect()
        self.server.pacer.discard(self)
        self.notify_written()
        self.memory.end()
        if self.enlarged:
            self.server.buffers.shrink(self.transport)
        self.server.connection_limit.discard(self)
        self.server.check_empty()

    def log_dropped_requests(self) -> None:
        """Logs what was read behind a request and will not be handled."""
        if self.request_error is not None:
            return
        unread = sum(len(data) for data in self.reader.unread)
        if self.parser.requests or unread:
            log.info(
                "pipelined requests dropped",
                requests=len(self.parser.requests),
                unread_bytes=unread,
                draining=self.server.draining,
            )

    def pause_writing(self) -> None:
        """Marks the write buffer as full."""
        self.writable = False
        self.memory.update()

    def resume_writing(self) -> None:
        """Marks the write buffer as drained and notifies the open exchange."""
        self.writable = True
        self.memory.update()
        self.notify_written()
        if self.awaits_reader:
            self.awaits_reader = False
            self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
            self.continue_reading()
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
        reader = self.reader
        pauses = self.paused or reader.waiting or self.awaits_reader
        if reader.held and reader.retained_bytes > MAX_UNREAD_BYTES:
            pauses = True
        if pauses and self.reading:
            self.transport.pause_reading()
        elif not (pauses or self.reading):
            self.transport.resume_reading()
        self.reading = not pauses

    # Requests.

    def start_next_request(self) -> None:
        """Starts the next request unless one is being answered."""
        if self.exchange is not None or self.closing:
            return
        if self.parser.requests:
            request = self.parser.requests.popleft()
            self.exchange = Exchange(request=request, connection=self)
            self.reader.hold()
            self.memory.begin_exchange(request)
            self.task = self.loop.create_task(self.run_handler(self.exchange))
        elif self.request_error is not None:
            self.reject_request(self.request_error)
        elif self.parser.expects_continue and not self.reader.unread:
            self.request_body()

    def continue_reading(self) -> None:
        """Continues with the next request after a response.

        A request that has arrived already waits for its turn. It also waits
        while the caller does not read the responses before it, so that a
        caller cannot pile them up.
        """
        if self.closing:
            return
        behind = self.reader.unread or self.parser.requests
        if behind and self.has_unsent(MAX_PIPELINED_UNSENT_BYTES):
            self.awaits_reader = True
            self.transport.set_write_buffer_limits(
                high=MAX_PIPELINED_UNSENT_BYTES
            )
            self.update_pressure()
        elif behind:
            self.awaits_turn = True
            self.server.pacer.add(self)
            self.update_pressure()
        else:
            self.start_pipelined()

    def start_pipelined(self) -> None:
        """Parses and starts the next request, if any."""
        self.awaits_turn = False
        self.start_next_request()
        if self.exchange is None and not self.closing:
            self.reader.release()
        self.update_pressure()

    def update_pressure(self) -> None:
        """Counts the memory and pauses or resumes reading."""
        self.memory.update()
        if self.reader.unread or not self.reading:
            self.update_reading()

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

    def reject_request(self, error: ProtocolError) -> None:
        """Refuses an invalid or slow request and closes the connection."""
        if error.status != 503:
            log.info(
                "invalid or slow request refused",
                status=error.status,
                error=error,
            )
        self.write_refusal(error.status)
        self.close_after_response()

    def write_refusal(self, status: int) -> None:
        """Writes the response to a request that is not handled."""
        head = ResponseHead(status=status)
        framing = [(b"Content-Length", b"0"), (b"Connection", b"close")]
        if status == 503:
            framing.append((b"Retry-After", b"%.1f" % BODY_RETRY_SECONDS))
        self.write(encode_response_head(head, framing))

    def finish_exchange(self, exchange: Exchange) -> None:
        """Starts the next request, or closes the connection."""
        if exchange is not self.exchange:
            return
        self.exchange = None
        self.memory.exchange_bytes = 0
        self.active_at = self.loop.time()
        if exchange.last:
            self.close_after_response()
            return
        self.continue_reading()
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
            self.parser.requests
            or self.parser.is_reading
            or self.reader.unread
            or self.request_error is not None
        )

    # Output.

    def write(self, data: bytes) -> None:
        """Writes bytes unless the connection is closing."""
        if not (self.closing or self.transport.is_closing()):
            self.memory.note_write(len(data))
            self.transport.write(data)

    def close_after_response(self) -> None:
        """Closes the connection so that the caller gets the whole response."""
        if not (self.closing or self.transport.is_closing()):
            self.closing = True
            self.log_dropped_requests()
            self.free_unhandled()
            self.memory.update()
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

        It must not stop growing for the timeout, and must keep
        `MIN_BYTES_PER_SECOND` on average after that time.
        """
        seconds = self.parser.head_timeout_s
        elapsed = now - self.reading_since
        grown = self.parser.received_bytes / MIN_BYTES_PER_SECOND
        return now - self.progress_at > seconds or elapsed > seconds + grown

    def sweep(self, now: float) -> None:
        """Closes the connection if it is idle or its request is too slow."""
        self.memory.check_progress(now)
        if self.exchange is not None or self.linger is not None:
            return
        if self.awaits_turn and not self.closing:
            return
        if self.closing or self.awaits_reader:
            # A transport that closes keeps its descriptor until all is sent.
            if now - self.memory.progress_at > self.parser.idle_timeout_s:
                self.break_off()
            return
        if self.reader.unread:
            return
        if self.reading_since is not None:
            if self.is_too_slow(now):
                self.request_error = self.request_error or build_request_error(
                    408, "timed out"
                )
                self.reject_request(self.request_error)
        elif (
            now - self.active_at > self.parser.idle_timeout_s
            or self.server.closing_idle
        ):
            self.close_idle()

    # Calls of the limit of connections.

    def close_cause(self) -> CloseCause | None:
        """Returns the state; None if the caller waits for an answer."""
        if self.exchange is not None:
            return None
        if self.linger is not None:
            return CloseCause.ANSWERED
        if self.closing:
            return None
        if self.awaits_reader or self.awaits_turn:
            return CloseCause.PIPELINED
        if self.reader.unread or self.parser.is_reading:
            return CloseCause.READING
        return None if self.has_unsent(0) else CloseCause.IDLE

    def close_for_another(self, cause: CloseCause) -> None:
        """Closes the connection, so that another one gets its descriptor."""
        if self.has_unsent(0):
            self.break_off()
            return
        if cause is CloseCause.ANSWERED:
            # The kernel still sends the end of the response.
            self.transport.abort()
            return
        if cause is not CloseCause.IDLE:
            self.write_refusal(503)
        self.close()

    def close_idle(self) -> None:
        """Closes the connection; bytes that a caller never reads are lost."""
        if self.has_unsent(0):
            self.close_after_response()
        else:
            self.close()
