"""Heads of HTTP/1.1 messages; names and values stay as received."""

import dataclasses
import re

Headers = list[tuple[bytes, bytes]]

# Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)
# Start of a head. Within a head it means that the head before it broke off.
STATUS_LINE_PATTERN = re.compile(rb"HTTP/1\.\d \d{3}")
# Bounds of the statuses that HTTP defines (RFC 9110, section 15).
FIRST_STATUS = 100
LAST_STATUS = 599
SWITCHING_PROTOCOLS = 101
REASONS = {
    100: b"Continue",
    200: b"OK",
    202: b"Accepted",
    307: b"Temporary Redirect",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Returns the value of the first header with a name.

    Args:
        headers: The headers.
        name: Name in lower case.
    """
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def drop_connection_headers(headers: Headers) -> Headers:
    """Returns the headers without the hop-by-hop ones.

    Headers named in `Connection` are dropped as well.
    """
    named: set[bytes] = set()
    for key, value in headers:
        if key.lower() == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    dropped = CONNECTION_HEADERS | named
    return [item for item in headers if item[0].lower() not in dropped]


@dataclasses.dataclass(kw_only=True, slots=True)
class RequestHead:
    """The head of a request.

    Attributes:
        method: Request method.
        target: Request target (path and query), exactly as received.
        headers: Headers in the order received.
        keep_alive: Whether the connection stays open after the response.
        size: Bytes of the target and the headers; 0 if not counted.
    """

    method: bytes
    target: bytes
    headers: Headers
    keep_alive: bool = True
    size: int = 0

    @property
    def path(self) -> bytes:
        """The request target without its query."""
        return self.target.partition(b"?")[0]


@dataclasses.dataclass(kw_only=True, slots=True)
class Request:
    """A complete request: head and body."""

    head: RequestHead
    body: bytes


@dataclasses.dataclass(kw_only=True, slots=True)
class ResponseHead:
    """The head of a response.

    Attributes:
        status: Status code.
        reason: Reason phrase as received; if empty, the standard phrase is
            sent.
        headers: Headers in order.
    """

    status: int
    reason: bytes = b""
    headers: Headers = dataclasses.field(default_factory=list)


def encode_request(head: RequestHead, body: bytes) -> bytes:
    """Encodes a request and adds the `Content-Length` of its body.

    The headers of the head must not contain framing headers.
    """
    lines = [head.method + b" " + head.target + b" HTTP/1.1"]
    lines += [key + b": " + value for key, value in head.headers]
    if body or head.method not in (b"GET", b"HEAD"):
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def encode_response_head(head: ResponseHead, framing: Headers) -> bytes:
    """Encodes the head of a response.

    Args:
        head: The head without hop-by-hop or framing headers.
        framing: Headers for the length of the body and the persistence of
            the connection.
    """
    reason = head.reason or REASONS.get(head.status, b"Unknown")
    lines = [b"HTTP/1.1 %d " % head.status + reason]
    lines += [key + b": " + value for key, value in head.headers]
    lines += [key + b": " + value for key, value in framing]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def is_valid_status(status: int) -> bool:
    """Returns whether a status may answer a request.

    Targets in trouble have answered with the status 000. A request that does
    not ask to switch protocols is not answered by a switch.
    """
    is_defined = FIRST_STATUS <= status <= LAST_STATUS
    return is_defined and status != SWITCHING_PROTOCOLS


def contains_status_line(reason: bytes, headers: Headers) -> bool:
    """Returns whether a head contains the start of another one.

    A target may send a part of a head and then a whole one. The status and
    some headers would belong to one request, the others to another.
    """
    values = b"\n".join([reason, *(value for _, value in headers)])
    return STATUS_LINE_PATTERN.search(values) is not None
