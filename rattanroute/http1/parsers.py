"""Parsers of HTTP/1.1 requests and responses, based on `httptools`.

The parsers do no I/O. They take bytes and return complete requests, or pass
the parts of a response to a receiver.
"""

from collections.abc import Iterator
import dataclasses
from typing import Protocol

import httptools

from rattanroute.errors import RouterError
from rattanroute.http1.heads import contains_status_line
from rattanroute.http1.heads import is_valid_status
from rattanroute.http1.heads import ResponseHead

# No well-behaved target sends a larger response head.
MAX_RESPONSE_HEAD_BYTES = 65_536
# Each header takes some hundred bytes of memory, however short it is.
MAX_RESPONSE_HEADERS = 1_000
# Framing bytes (chunk lines and trailers) allowed without a byte of the body.
MAX_FRAMING_BYTES = 16_384
# Framing bytes allowed for each byte of a body; a one-byte chunk has five.
MAX_FRAMING_RATIO = 16
# Bytes fed to the C parser per call. Limits are checked between calls.
SLICE_BYTES = 16_384
OPTIONAL_WHITE_SPACE = b" \t"
FIRST_FINAL_STATUS = 200
STATUSES_WITHOUT_BODY = frozenset({204, 304})


@dataclasses.dataclass(kw_only=True)
class ProtocolError(RouterError):
    """The bytes are not valid HTTP/1.1 or exceed a limit.

    Attributes:
        status: Status code of the server's response.
    """

    status: int = 400


@dataclasses.dataclass(kw_only=True, slots=True)
class RequestLimits:
    """Limits of the requests that a server accepts.

    Attributes:
        max_head_bytes: Largest request line and headers together.
        max_body_bytes: Largest body.
        head_timeout_s: Longest time in seconds to receive a head, and longest
            time without progress in a body.
        idle_timeout_s: Time in seconds after which an idle connection is
            closed.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(kw_only=True, slots=True)
class FramingCounter:
    """Counts the bytes of a message that are neither head nor body.

    Chunk extensions, leading zeros of a chunk size and trailers have no
    length limit of their own.

    Attributes:
        bytes_since_body: Framing bytes since the last byte of the body.
        framing_bytes: Framing bytes of the whole message.
        body: Bytes of the body.
    """

    bytes_since_body: int = 0
    framing_bytes: int = 0
    body: int = 0

    def count(self, size: int, body: int) -> None:
        """Counts bytes that were fed after the head.

        Args:
            size: Number of bytes that were fed.
            body: Number of body bytes among them.
        """
        framing = size - body
        self.bytes_since_body = (
            framing if body else self.bytes_since_body + framing
        )
        self.framing_bytes += framing
        self.body += body

    @property
    def exceeded(self) -> bool:
        """Whether there is more framing than a well-behaved sender needs."""
        allowed = MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * self.body
        return (
            self.bytes_since_body > MAX_FRAMING_BYTES
            or self.framing_bytes > allowed
        )


def trim_value(value: bytes | None) -> bytes:
    """Returns the value of a header without the white space behind it.

    It is no part of the value; the C parser removes only that before it.
    """
    return (value or b"").rstrip(OPTIONAL_WHITE_SPACE)


def slice_data(data: bytes) -> Iterator[bytes | memoryview]:
    """Yields bytes in slices of at most `SLICE_BYTES`."""
    if len(data) <= SLICE_BYTES:
        yield data
        return
    view = memoryview(data)
    for start in range(0, len(data), SLICE_BYTES):
        yield view[start : start + SLICE_BYTES]


class ResponseReceiver(Protocol):
    """Receives the parts of a response as they arrive."""

    def receive_head(self, head: ResponseHead) -> None:
        """Handles the head."""
        ...

    def receive_body(self, data: bytes) -> None:
        """Handles a part of the body."""
        ...

    def receive_end(self) -> None:
        """Handles the end of the body."""
        ...


class ResponseParser:
    """Parses the bytes of one connection into responses.

    The receiver of a response is set before its request is sent. Bytes that
    arrive without a receiver make the connection unusable.

    Attributes:
        receiver: Receives the parts of the current response.
        unexpected_data: Whether bytes arrived without an open request.
        until_close: Whether the body ends when the connection closes.
        started: Whether bytes of the current response have arrived.
        keep_alive: Whether the connection may be reused after the last
            complete response.
    """

    def __init__(self) -> None:
        self.receiver: ResponseReceiver | None = None
        self.method = b""
        self.unexpected_data = False
        self.reset()

    def reset(self) -> None:
        """Resets the state and creates a new C parser."""
        self.parser = httptools.HttpResponseParser(self)
        self.headers: list[tuple[bytes, bytes]] = []
        self.reason = b""
        self.head_bytes = 0
        self.total_body_bytes = 0
        self.body_parts: list[bytes] = []
        self.framing = FramingCounter()
        self.until_close = False
        self.in_body = False
        self.keep_alive = False
        self.started = False
        self.is_interim = False

    def expect(self, receiver: ResponseReceiver, method: bytes) -> None:
        """Sets the receiver of the next response."""
        self.receiver = receiver
        self.method = method
        self.started = False
        self.head_bytes = 0
        self.framing = FramingCounter()

    def feed(self, data: bytes) -> None:
        """Parses bytes and passes the parts of the response to the receiver.

        Raises:
            ProtocolError: If the bytes are invalid or exceed a limit.
        """
        for part in slice_data(data):
            if self.receiver is None:
                self.unexpected_data = True
                return
            self.feed_slice(part)

    def feed_slice(self, data: bytes | memoryview) -> None:
        """Parses at most `SLICE_BYTES` bytes and checks the limits.

        Raises:
            ProtocolError: If the bytes are invalid or exceed a limit.
        """
        self.started = True
        was_in_body = self.in_body
        body_before = self.total_body_bytes
        if not was_in_body:
            self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            if isinstance(error.__context__, ProtocolError):
                raise error.__context__ from error
            raise ProtocolError(
                step="read response", message=str(error) or "not a response"
            ) from error
        self.pass_body()
        if self.receiver is None:
            return
        if not self.in_body and self.head_bytes > MAX_RESPONSE_HEAD_BYTES:
            raise ProtocolError(
                step="read response", message="the head is too long"
            )
        if len(self.headers) > MAX_RESPONSE_HEADERS:
            raise ProtocolError(
                step="read response", message="the head has too many headers"
            )
        if self.in_body and was_in_body:
            self.framing.count(len(data), self.total_body_bytes - body_before)
            if self.framing.exceeded:
                raise ProtocolError(
                    step="read response",
                    message="the body has too much framing",
                )

    def handle_eof(self) -> bool:
        """Handles the end of the connection.

        Returns:
            Whether the end of the connection completes the response.
        """
        if self.receiver is None or not (self.in_body and self.until_close):
            return False
        receiver, self.receiver = self.receiver, None
        receiver.receive_end()
        return True

    # Callbacks of the C parser.

    def on_message_begin(self) -> None:
        """Starts a response."""
        self.unexpected_data |= self.receiver is None
        self.headers = []
        self.reason = b""
        self.in_body = False

    def on_status(self, reason: bytes) -> None:
        """Appends a part of the reason phrase."""
        self.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; trailers are dropped."""
        if not self.in_body:
            self.headers.append((name, trim_value(value)))

    def on_headers_complete(self) -> None:
        """Passes the head of a final response to the receiver.

        Raises:
            ProtocolError: If the head is made of parts of several heads, or
                its status is not valid.
        """
        if contains_status_line(self.reason, self.headers):
            raise ProtocolError(
                step="read response", message="a head within a head"
            )
        status = self.parser.get_status_code()
        if not is_valid_status(status):
            raise ProtocolError(
                step="read response", message=f"invalid status {status:03d}"
            )
        self.is_interim = status < FIRST_FINAL_STATUS
        if self.is_interim or self.receiver is None:
            self.unexpected_data |= self.receiver is None
            return
        self.in_body = True
        names = {name.lower(): value for name, value in self.headers}
        chunked = b"chunked" in names.get(b"transfer-encoding", b"").lower()
        bodiless = status in STATUSES_WITHOUT_BODY or self.method == b"HEAD"
        self.until_close = not (
            chunked or b"content-length" in names or bodiless
        )
        self.receiver.receive_head(
            ResponseHead(
                status=status, reason=self.reason, headers=self.headers
            )
        )

    def on_body(self, data: bytes) -> None:
        """Stores a part of the body until the end of the slice."""
        self.total_body_bytes += len(data)
        if self.receiver is None:
            self.unexpected_data = True
        else:
            self.body_parts.append(data)

    def pass_body(self) -> None:
        """Passes the parts of the body to the receiver as one.

        A slice may hold thousands of chunks, and each call costs time.
        """
        parts, self.body_parts = self.body_parts, []
        if parts and self.receiver is not None:
            self.receiver.receive_body(b"".join(parts))

    def on_message_complete(self) -> None:
        """Ends a final response; interim responses (1xx) are skipped."""
        if self.is_interim:
            return
        self.pass_body()
        self.in_body = False
        self.keep_alive = self.parser.should_keep_alive()
        receiver, self.receiver = self.receiver, None
        if receiver is not None:
            receiver.receive_end()
