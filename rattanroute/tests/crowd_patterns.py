"""Requests of clients that make a server hold much memory.

Each pattern stays within the default limits: a head of 16,384 bytes and a body
of 4,194,304 bytes.
"""

HEAD_BYTES = 14_000
BODY_BYTES = 4_194_304
TINY_CHUNKS = 40_000
PIPELINED_REQUESTS = 3_000
# More than the kernel takes for a connection that is not read.
PIPELINED_BYTES = 4_000_000
UNKNOWN_PATH = b"/nowhere"
EMPTY_LINE = b"a:\r\n"
# Valid names and values that ordinary clients do not send. Names of two bytes
# cost most memory: objects of one byte exist once.
ODD_LINES = b"!!:\r\n~~:\xff\r\n"
END = b"\r\n"


def build_start(method: bytes, path: bytes, host: str) -> bytes:
    """Returns a request line and the header with the host."""
    return method + b" " + path + b" HTTP/1.1\r\nHost: " + host.encode() + END


def build_head(
    lines: bytes, *, host: str, complete: bool, path: bytes = UNKNOWN_PATH
) -> bytes:
    """Returns a head of `HEAD_BYTES` that repeats some header lines.

    Args:
        lines: The lines that are repeated.
        host: Host of the request.
        complete: Whether the empty line that ends the head follows.
        path: Path of the request.
    """
    start = build_start(b"GET", path, host)
    count = (HEAD_BYTES - len(start)) // len(lines)
    return start + lines * count + (END if complete else b"")


def build_chunked_start(path: bytes, host: str) -> bytes:
    """Returns the head of a request with a chunked body."""
    start = build_start(b"POST", path, host)
    return start + b"Transfer-Encoding: chunked\r\n\r\n"


def build_large_chunk(path: bytes, host: str) -> bytes:
    """Returns a request with one chunk that lacks its last byte."""
    head = build_chunked_start(path, host)
    return head + b"%x\r\n" % BODY_BYTES + b"x" * (BODY_BYTES - 1)


def build_tiny_chunks(path: bytes, host: str) -> bytes:
    """Returns a request of chunks of one byte that lacks the last chunk."""
    return build_chunked_start(path, host) + b"1\r\nx\r\n" * TINY_CHUNKS


def build_pipelined(path: bytes, host: str) -> bytes:
    """Returns many complete requests without a body."""
    return (build_start(b"GET", path, host) + END) * PIPELINED_REQUESTS


def repeat(request: bytes) -> bytes:
    """Returns complete requests of `PIPELINED_BYTES`, one behind the other."""
    return request * (PIPELINED_BYTES // len(request))


def build_bare(method: bytes, path: bytes) -> bytes:
    """Returns a request without any header."""
    return method + b" " + path + b" HTTP/1.1" + END + END


def build_with_host(method: bytes, path: bytes, host: str) -> bytes:
    """Returns a request with the header for the host only."""
    return build_start(method, path, host) + END
