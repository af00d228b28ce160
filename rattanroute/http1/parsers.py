"""Parsers of requests and responses over the C parser `httptools`.

They do no input or output: bytes go in, whole requests or the parts of a
response come out.
"""

import collections
from collections.abc import Iterator
import dataclasses
from typing import Protocol

import httptools

from rattanroute.errors import RouterError
from rattanroute.http1.heads import Request
from rattanroute.http1.heads import RequestHead
from rattanroute.http1.heads import ResponseHead

# A response head beyond this size is not one of a well-behaved target.
MAX_RESPONSE_HEAD_BYTES = 65_536
# Bytes of chunk lines and trailers after the last byte of a body.
MAX_FRAMING_BYTES = 16_384
# Bytes of chunk lines for each byte of a body; a chunk of one byte has five.
MAX_FRAMING_RATIO = 16
# Bytes that are fed at once, so that framing is counted often enough.
SLICE_BYTES = 16_384
SWITCHING_PROTOCOLS = 101
FIRST_FINAL_STATUS = 200
STATUSES_WITHOUT_BODY = frozenset({204, 304})


@dataclasses.dataclass(kw_only=True)
class ProtocolError(RouterError):
    """Bytes that are not HTTP/1.1, or that exceed a limit.

    Attributes:
        status: Status with which a server answers.
    """

    status: int = 400


@dataclasses.dataclass(kw_only=True, slots=True)
class RequestLimits:
    """What a caller may send.

    Attributes:
        max_head_bytes: Largest request line with headers.
        max_body_bytes: Largest body.
        head_seconds: Longest time from the first byte of a request to its
            last one.
        idle_seconds: Time after which an unused connection is closed.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    head_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclasses.dataclass(kw_only=True, slots=True)
class FramingMeter:
    """Counts the bytes of a message that are neither head nor body.

    Chunk extensions, zeros before a chunk's size and trailers have no end of
    their own.

    Attributes:
        idle: Bytes of framing since the last byte of the body.
        total: Bytes of framing of the message.
        body: Bytes of the body.
    """

    idle: int = 0
    total: int = 0
    body: int = 0

    def count(self, size: int, body: int) -> None:
        """Counts bytes that were fed after the head.

        Args:
            size: Bytes that were fed.
            body: Bytes of the body among them.
        """
        framing = size - body
        self.idle = framing if body else self.idle + framing
        self.total += framing
        self.body += body

    @property
    def exceeded(self) -> bool:
        """Whether there is more framing than a sound sender needs."""
        allowed = MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * self.body
        return self.idle > MAX_FRAMING_BYTES or self.total > allowed


def slice_data(data: bytes) -> Iterator[bytes | memoryview]:
    """Yields bytes in pieces of a bounded size."""
    if len(data) <= SLICE_BYTES:
        yield data
        return
    view = memoryview(data)
    for start in range(0, len(data), SLICE_BYTES):
        yield view[start : start + SLICE_BYTES]


class RequestParser:
    """Turns the bytes of one connection into requests.

    Args:
        limits: Limits that may change while the connection is open.
    """

    def __init__(self, *, limits: RequestLimits) -> None:
        self.limits = limits
        self.parser = httptools.HttpRequestParser(self)
        self.requests: collections.deque[Request] = collections.deque()
        self.expects_continue = False
        self.head_complete = False
        self.is_reading = False
        # Of all requests, as a slice may end one and start the next.
        self.body_bytes = 0
        self.reset()

    def reset(self) -> None:
        """Starts a new request."""
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.head_bytes = 0
        self.body = bytearray()
        self.framing = FramingMeter()
        self.head_complete = False

    def feed(self, data: bytes) -> None:
        """Takes bytes; complete requests are added to `requests`.

        Raises:
            ProtocolError: If the bytes are no request or exceed a limit.
        """
        for part in slice_data(data):
            self.feed_slice(part)

    def feed_slice(self, data: bytes | memoryview) -> None:
        """Takes a bounded number of bytes.

        Raises:
            ProtocolError: If the bytes are no request or exceed a limit.
        """
        self.is_reading = True
        in_body = self.head_complete
        body_before = self.body_bytes
        try:
            self.parser.feed_data(data)
        except ProtocolError:
            raise
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, ProtocolError):
                raise cause from error
            raise reject(400, str(error)) from error
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            raise reject(400, str(error) or "not a request") from error
        if not self.is_reading:
            return
        if not self.head_complete:
            self.count_head(len(data))
        elif in_body:
            self.framing.count(len(data), self.body_bytes - body_before)
            if self.framing.exceeded:
                raise reject(400, "the body has too much framing")

    def count_head(self, size: int) -> None:
        """Bounds a head that arrives in pieces.

        Raises:
            ProtocolError: If it is too long.
        """
        self.head_bytes += size
        if self.head_bytes > self.limits.max_head_bytes:
            raise reject(431, "the head is too long")

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts a request."""
        self.reset()
        self.is_reading = True

    def on_url(self, target: bytes) -> None:
        """Takes a part of the target."""
        self.target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header; trailers are dropped."""
        if not self.head_complete:
            self.headers.append((name, value or b""))

    def on_headers_complete(self) -> None:
        """Checks the size of the head."""
        size = len(self.target) + sum(
            len(name) + len(value) + 4 for name, value in self.headers
        )
        if size > self.limits.max_head_bytes:
            raise reject(431, "the head is too long")
        self.head_complete = True
        self.expects_continue = any(
            name.lower() == b"expect" and value.lower() == b"100-continue"
            for name, value in self.headers
        )

    def on_body(self, data: bytes) -> None:
        """Takes a part of the body."""
        if len(self.body) + len(data) > self.limits.max_body_bytes:
            raise reject(413, "the body is too long")
        self.body += data
        self.body_bytes += len(data)

    def on_message_complete(self) -> None:
        """Ends a request."""
        head = RequestHead(
            method=self.parser.get_method(),
            target=self.target,
            headers=self.headers,
            keep_alive=self.parser.should_keep_alive(),
        )
        self.requests.append(Request(head=head, body=bytes(self.body)))
        self.is_reading = False
        self.reset()


def reject(status: int, message: str) -> ProtocolError:
    """Returns the error of bytes that a server does not take."""
    return ProtocolError(step="read request", message=message, status=status)


class ResponseReceiver(Protocol):
    """Takes the parts of a response as they arrive."""

    def take_head(self, head: ResponseHead) -> None:
        """Takes the head."""
        ...

    def take_body(self, data: bytes) -> None:
        """Takes a part of the body."""
        ...

    def take_end(self) -> None:
        """Notes that the body is complete."""
        ...


class ResponseParser:
    """Turns the bytes of one connection into responses.

    The receiver of a response is set before its request is sent; bytes
    without a receiver are surplus and make the connection unusable.

    Attributes:
        receiver: Takes the parts of the current response.
        surplus: Whether bytes arrived that no request asked for.
        until_close: Whether the body ends with the connection.
        started: Whether bytes of the current response arrived.
        keep_alive: Whether the connection may be used again after the last
            complete response.
    """

    def __init__(self) -> None:
        self.receiver: ResponseReceiver | None = None
        self.method = b""
        self.surplus = False
        self.reset()

    def reset(self) -> None:
        """Starts with a new parser."""
        self.parser = httptools.HttpResponseParser(self)
        self.headers: list[tuple[bytes, bytes]] = []
        self.reason = b""
        self.head_bytes = 0
        self.body_bytes = 0
        self.framing = FramingMeter()
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
        self.framing = FramingMeter()

    def feed(self, data: bytes) -> None:
        """Takes bytes and passes the parts of the response on.

        Raises:
            ProtocolError: If the bytes are no response.
        """
        for part in slice_data(data):
            if self.receiver is None:
                self.surplus = True
                return
            self.feed_slice(part)

    def feed_slice(self, data: bytes | memoryview) -> None:
        """Takes a bounded number of bytes.

        Raises:
            ProtocolError: If the bytes are no response.
        """
        self.started = True
        was_in_body = self.in_body
        body_before = self.body_bytes
        if not was_in_body:
            self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            raise ProtocolError(
                step="read response", message=str(error) or "not a response"
            ) from error
        if self.receiver is None:
            return
        if not self.in_body and self.head_bytes > MAX_RESPONSE_HEAD_BYTES:
            raise ProtocolError(
                step="read response", message="the head is too long"
            )
        if self.in_body and was_in_body:
            self.framing.count(len(data), self.body_bytes - body_before)
            if self.framing.exceeded:
                raise ProtocolError(
                    step="read response",
                    message="the body has too much framing",
                )

    def finish(self) -> bool:
        """Notes the end of the connection.

        Returns:
            Whether this completes the response.
        """
        if self.receiver is None or not (self.in_body and self.until_close):
            return False
        receiver, self.receiver = self.receiver, None
        receiver.take_end()
        return True

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts a response."""
        self.headers = []
        self.reason = b""
        self.in_body = False

    def on_status(self, reason: bytes) -> None:
        """Takes a part of the reason phrase."""
        self.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header; trailers are dropped."""
        if not self.in_body:
            self.headers.append((name, value or b""))

    def on_headers_complete(self) -> None:
        """Passes the head of a final response on."""
        status = self.parser.get_status_code()
        self.is_interim = status < FIRST_FINAL_STATUS
        if self.is_interim or self.receiver is None:
            self.surplus |= self.receiver is None
            return
        self.in_body = True
        names = {name.lower(): value for name, value in self.headers}
        chunked = b"chunked" in names.get(b"transfer-encoding", b"").lower()
        bodiless = status in STATUSES_WITHOUT_BODY or self.method == b"HEAD"
        self.until_close = not (
            chunked or b"content-length" in names or bodiless
        )
        self.receiver.take_head(
            ResponseHead(
                status=status, reason=self.reason, headers=self.headers
            )
        )

    def on_body(self, data: bytes) -> None:
        """Passes a part of the body on."""
        self.body_bytes += len(data)
        if self.receiver is None:
            self.surplus = True
        else:
            self.receiver.take_body(data)

    def on_message_complete(self) -> None:
        """Ends a response unless it is an interim one."""
        if self.is_interim:
            return
        self.in_body = False
        self.keep_alive = self.parser.should_keep_alive()
        receiver, self.receiver = self.receiver, None
        if receiver is not None:
            receiver.take_end()
