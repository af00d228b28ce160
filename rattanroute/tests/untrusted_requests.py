"""Requests of clients that hold as much memory as they may."""

from hpack import Encoder
from hyperframe.frame import ContinuationFrame
from hyperframe.frame import HeadersFrame
from hyperframe.frame import PingFrame
from hyperframe.frame import SettingsFrame

HEAD_BYTES = 14_000
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
FRAME_BYTES = 16_384
EMPTY_LINE = b"a:\r\n"
ODD_LINE = b"~!#$%&'*+:\t \x80\xff\r\n"


def build_head(path: str, key: str, *lines: bytes) -> bytes:
    """Returns the start of a head, without the empty line at its end."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: vm\r\n"
        f"Authorization: Bearer {key}\r\n"
        "Content-Type: application/json\r\n"
    ).encode() + b"".join(lines)


def build_many_lines(path: str, key: str, line: bytes) -> bytes:
    """Returns an incomplete head of many equal lines."""
    return build_head(path, key, line * (HEAD_BYTES // len(line)))


def build_short_body(path: str, key: str, size: int) -> bytes:
    """Returns a request with one chunk that stops before its end."""
    head = build_head(path, key, b"Transfer-Encoding: chunked\r\n\r\n")
    return head + b"%x\r\n" % size + b" " * (size - 1)


def build_tiny_chunks(path: str, key: str, count: int) -> bytes:
    """Returns a request with chunks of one byte that lacks its last one."""
    head = build_head(path, key, b"Transfer-Encoding: chunked\r\n\r\n")
    return head + b"1\r\n \r\n" * count


def build_pipelined(path: str, count: int) -> bytes:
    """Returns pipelined requests."""
    return f"GET {path} HTTP/1.1\r\nHost: vm\r\n\r\n".encode() * count


def build_pings(count: int) -> bytes:
    """Returns HTTP/2 pings, each of which asks for an answer."""
    ping = PingFrame(0, opaque_data=b"01234567").serialize()
    return PREFACE + SettingsFrame(0).serialize() + ping * count


def build_endless_headers(frames: int) -> bytes:
    """Returns an HTTP/2 header block that never ends."""
    block = b"\x00" * FRAME_BYTES
    start = HeadersFrame(1, data=block).serialize()
    more = ContinuationFrame(1, data=block).serialize()
    return PREFACE + SettingsFrame(0).serialize() + start + more * frames


def build_unanswered_calls(path: str, count: int) -> bytes:
    """Returns gRPC calls without a token."""
    encoder = Encoder()
    fields = [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", path),
        (":authority", "vm"),
        ("te", "trailers"),
        ("content-type", "application/grpc+proto"),
    ]
    flags = ["END_HEADERS", "END_STREAM"]
    calls = [
        HeadersFrame(
            2 * number + 1, data=encoder.encode(fields), flags=flags
        ).serialize()
        for number in range(count)
    ]
    return PREFACE + SettingsFrame(0).serialize() + b"".join(calls)
