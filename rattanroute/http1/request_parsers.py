"""Parser of HTTP/1.1 requests, based on `httptools`; it does no I/O."""

import collections
import re

import httptools

from rattanroute.http1.heads import Request
from rattanroute.http1.heads import RequestHead
from rattanroute.http1.parsers import FramingCounter
from rattanroute.http1.parsers import ProtocolError
from rattanroute.http1.parsers import RequestLimits
from rattanroute.http1.parsers import slice_data
from rattanroute.http1.parsers import trim_value

# Of the headers that tell about the body; other names are not compared.
FRAMING_NAME_LENGTHS = frozenset(
    len(name) for name in (b"content-length", b"transfer-encoding", b"expect")
)
# Memory of a header: its tuple, its place in the list and its two objects
# without their bytes. Very short ones take up to half less.
HEADER_BYTES = 176
# Memory of an incomplete request without its bytes and headers.
REQUEST_BYTES = 1_024
END_OF_HEAD = b"\r\n\r\n"
HEAD_END = re.compile(END_OF_HEAD)
# End of a chunked body without trailers. With trailers, the rest of the slice
# is parsed at once.
CHUNKS_END = re.compile(rb"0\r\n\r\n")
LINE_BREAKS = b"\r\n"
# More headers of an incomplete head are packed into one block.
MAX_UNPACKED_HEADERS = 64
# Of packed headers; no name contains the first, and no value the second.
SEPARATOR = b":"
LINE_END = b"\n"
# Bytes of a header line without its name and value; no white space is needed.
MIN_LINE_BYTES = 3
# The same with the usual space before the value.
USUAL_LINE_BYTES = 4


def copy_limits(limits: RequestLimits) -> RequestLimits:
    """Returns a copy; `dataclasses.replace` takes several times as long."""
    return RequestLimits(
        max_head_bytes=limits.max_head_bytes,
        max_body_bytes=limits.max_body_bytes,
        head_timeout_s=limits.head_timeout_s,
        idle_timeout_s=limits.idle_timeout_s,
    )


class RequestParser:
    """Parses the bytes of one connection into requests.

    Args:
        limits: Limits of requests; may change while the connection is open.

    Attributes:
        first_limits: Limits at the start of the current request, or at the end
            of the one before. A request is refused only if it exceeds these
            and the present ones, as its client cannot know of a change.
        requests: Complete requests that the server has not taken yet.
        packed: Headers of an incomplete head, as lines, that precede `headers`.
        expects_continue: Whether the client waits for a 100 response.
        head_complete: Whether the head of the current request is complete.
        is_reading: Whether a request has started but is not complete.
        body_left: Bytes of the body that are still to come; None if its
            length is not known.
    """

    def __init__(self, *, limits: RequestLimits) -> None:
        self.limits = limits
        self.parser = httptools.HttpRequestParser(self)
        self.requests: collections.deque[Request] = collections.deque()
        self.is_reading = False
        self.fed_bytes = 0
        # Over all requests, because a slice may end one and start the next.
        self.total_body_bytes = 0
        self.reset()

    def reset(self) -> None:
        """Resets the state of the current request."""
        self.first_limits = copy_limits(self.limits)
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.packed = bytearray()
        self.head_bytes = 0
        self.head_tail = b""
        self.head_size = 0
        self.body = bytearray()
        self.body_left: int | None = None
        self.framing: FramingCounter | None = None
        self.head_complete = False
        self.expects_continue = False

    def discard(self) -> None:
        """Frees the requests; no further bytes may be fed."""
        self.requests.clear()
        self.is_reading = False
        self.reset()

    @property
    def received_bytes(self) -> int:
        """Bytes of the head, as far as counted, and of the body."""
        return self.head_bytes + len(self.body)

    def expects_bytes(self, size: int) -> bool:
        """Returns whether the body is large, or is likely to become so.

        Args:
            size: Bytes that are still to come, or that have arrived of a body
                of unknown length.
        """
        if not self.head_complete:
            return False
        if self.body_left is None:
            return len(self.body) > size
        return self.body_left > size

    def measure_incomplete(self) -> int:
        """Returns the memory of the incomplete request, in bytes."""
        text = max(self.head_bytes, self.head_size) + len(self.packed)
        headers = HEADER_BYTES * len(self.headers)
        return REQUEST_BYTES + text + headers + len(self.body)

    def feed_request(self, data: bytes | memoryview) -> int:
        """Parses bytes up to the end of a request.

        Requests behind a chunked one with trailers may be parsed with it, up
        to the end of the data.

        Args:
            data: At most `SLICE_BYTES` bytes.

        Returns:
            The number of bytes that were parsed.

        Raises:
            ProtocolError: If the bytes are invalid or exceed a limit.
        """
        position = 0
        count = len(self.requests)
        while position < len(data) and len(self.requests) == count:
            end = self.find_end(data, position)
            whole = position == 0 and end == len(data)
            self.feed_slice(data if whole else data[position:end])
            position = end
        return position

    def find_end(self, data: bytes | memoryview, start: int) -> int:
        """Returns the end of the head or of the body, or of the data."""
        if not self.head_complete:
            return self.find_head_end(data, start)
        if self.body_left:
            return min(len(data), start + self.body_left)
        found = CHUNKS_END.search(data, start)
        return found.end() if found else len(data)

    def find_head_end(self, data: bytes | memoryview, start: int) -> int:
        """Returns the end of the head, or of the data.

        The empty line may have begun in the slice before.
        """
        if self.head_bytes and not start:
            joined = self.head_tail + bytes(data[: len(END_OF_HEAD) - 1])
            found = joined.find(END_OF_HEAD)
            if found >= 0:
                return found + len(END_OF_HEAD) - len(self.head_tail)
        # Empty lines before a request do not end it.
        while start < len(data) and data[start] in LINE_BREAKS:
            start += 1
        found = HEAD_END.search(data, start)
        return found.end() if found else len(data)

    def feed(self, data: bytes) -> None:
        """Parses bytes; complete requests are added to `requests`.

        Raises:
            ProtocolError: If the bytes are invalid or exceed a limit.
        """
        for part in slice_data(data):
            position = 0
            while position < len(part):
                position += self.feed_request(part[position:])

    def feed_slice(self, data: bytes | memoryview) -> None:
        """Parses at most `SLICE_BYTES` bytes and checks the limits.

        Raises:
            ProtocolError: If the bytes are invalid or exceed a limit.
        """
        self.is_reading = True
        in_body = self.head_complete
        body_before = self.total_body_bytes
        self.fed_bytes = len(data)
        try:
            self.parser.feed_data(data)
        except ProtocolError:
            raise
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, ProtocolError):
                raise cause from error
            raise build_request_error(400, str(error)) from error
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            raise build_request_error(
                400, str(error) or "not a request"
            ) from error
        if not self.is_reading:
            return
        if not self.head_complete:
            self.add_head_bytes(data)
        elif in_body:
            self.framing = self.framing or FramingCounter()
            self.framing.count(len(data), self.total_body_bytes - body_before)
            if self.framing.exceeded:
                raise build_request_error(400, "the body has too much framing")

    def add_head_bytes(self, data: bytes | memoryview) -> None:
        """Counts bytes of an incomplete head.

        Raises:
            ProtocolError: If the head is too long.
        """
        self.head_bytes += len(data)
        size = len(END_OF_HEAD) - 1
        self.head_tail = (self.head_tail + bytes(data[-size:]))[-size:]
        if self.head_bytes > self.max_head_bytes:
            raise build_request_error(431, "the head is too long")
        if len(self.headers) > MAX_UNPACKED_HEADERS:
            self.pack_headers()

    def pack_headers(self) -> None:
        """Stores the headers of an incomplete head in one block.

        Many short headers take ten times their size as objects, and objects
        that live for seconds fragment the heap.
        """
        for name, value in self.headers:
            self.packed += name + SEPARATOR + value + LINE_END
        self.headers = []

    def unpack_headers(self) -> None:
        """Restores the headers that were packed, which came first."""
        lines = bytes(self.packed).split(LINE_END)[:-1]
        pairs = (line.partition(SEPARATOR) for line in lines)
        self.headers[:0] = [(name, value) for name, _, value in pairs]
        self.packed = bytearray()

    @property
    def max_head_bytes(self) -> int:
        """Largest head of the current request."""
        return max(self.first_limits.max_head_bytes, self.limits.max_head_bytes)

    @property
    def max_body_bytes(self) -> int:
        """Largest body of the current request."""
        return max(self.first_limits.max_body_bytes, self.limits.max_body_bytes)

    @property
    def head_timeout_s(self) -> float:
        """Longest time without progress of the current request."""
        return max(self.first_limits.head_timeout_s, self.limits.head_timeout_s)

    @property
    def idle_timeout_s(self) -> float:
        """Longest time without a request."""
        return max(self.first_limits.idle_timeout_s, self.limits.idle_timeout_s)

    # Callbacks of the C parser.

    def on_message_begin(self) -> None:
        """Starts a request; the state was reset after the one before."""
        self.first_limits = copy_limits(self.limits)
        self.head_bytes = 0
        self.head_tail = b""
        self.is_reading = True

    def on_url(self, target: bytes) -> None:
        """Appends a part of the request target."""
        self.target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; trailers are dropped."""
        if not self.head_complete:
            self.headers.append((name, trim_value(value)))

    def on_headers_complete(self) -> None:
        """Checks the size of the head and reads what frames the body."""
        if self.packed:
            self.unpack_headers()
        self.body_left = 0
        text_bytes = len(self.target)
        for name, value in self.headers:
            text_bytes += len(name) + len(value)
            if len(name) in FRAMING_NAME_LENGTHS:
                self.read_framing(name.lower(), value)
        self.check_head_size(text_bytes)
        self.head_size = text_bytes
        self.head_complete = True

    def check_head_size(self, text_bytes: int) -> None:
        """Checks the size of the complete head.

        The C parser does not tell the white space, nor, behind a chunked
        request, where the head began. The head is too long only if it is so by
        all that is known.

        Args:
            text_bytes: Bytes of the target, of all names and of all values.

        Raises:
            ProtocolError: If the head is too long.
        """
        usual = text_bytes + USUAL_LINE_BYTES * len(self.headers)
        if usual <= self.max_head_bytes:
            return
        least = text_bytes + MIN_LINE_BYTES * len(self.headers)
        fed = self.head_bytes + self.fed_bytes
        if least > self.max_head_bytes or fed > self.max_head_bytes:
            raise build_request_error(431, "the head is too long")

    def read_framing(self, name: bytes, value: bytes) -> None:
        """Stores what a header tells of the body."""
        if name == b"content-length":
            self.body_left = int(value)
        elif name == b"transfer-encoding":
            self.body_left = None
        elif name == b"expect" and value.lower() == b"100-continue":
            self.expects_continue = True

    def on_body(self, data: bytes) -> None:
        """Appends a part of the body; checks its size."""
        if len(self.body) + len(data) > self.max_body_bytes:
            raise build_request_error(413, "the body is too long")
        self.body += data
        self.total_body_bytes += len(data)
        if self.body_left is not None:
            self.body_left -= len(data)

    def on_message_complete(self) -> None:
        """Adds the complete request to `requests`."""
        head = RequestHead(
            method=self.parser.get_method(),
            target=self.target,
            headers=self.headers,
            keep_alive=self.parser.should_keep_alive(),
            size=self.head_size,
        )
        self.requests.append(Request(head=head, body=bytes(self.body)))
        self.is_reading = False
        self.reset()


def build_request_error(status: int, message: str) -> ProtocolError:
    """Returns the error of a request that the server refuses."""
    return ProtocolError(step="read request", message=message, status=status)
