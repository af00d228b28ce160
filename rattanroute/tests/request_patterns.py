"""Strategies for requests that hold as much memory as they may."""

import dataclasses

from hypothesis import strategies

START = b"POST /%b HTTP/1.1\r\nHost: h\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
LINES = (b"a:\r\n", b"~:\t\r\n", b"!#$%&'*+: \x80\xff\r\n", b"x-y:z\r\n")
# Heads and bodies stay within the default limits of a request.
MAX_LINES = 600
MAX_CHUNK_BYTES = 60_000
MAX_TINY_CHUNKS = 3_000
MAX_PIPELINED = 60


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestPattern:
    """Bytes of one or more requests.

    Attributes:
        data: The bytes.
        sizes: Sizes of the bodies of the complete requests among them.
        complete: Whether the last request is complete.
    """

    data: bytes
    sizes: tuple[int, ...]
    complete: bool = True


def build_lines(line: bytes, count: int, complete: bool) -> RequestPattern:
    """Returns a head of many equal lines, possibly without its end."""
    data = START % b"lines" + line * count
    if not complete:
        return RequestPattern(data=data, sizes=(), complete=False)
    return RequestPattern(data=data + b"\r\n", sizes=(0,))


def build_chunk(size: int, missing: int) -> RequestPattern:
    """Returns a body of one chunk that lacks some of its last bytes."""
    end = b"\r\n0\r\n\r\n"
    data = START % b"chunk" + CHUNKED + b"%x\r\n" % size + b"x" * size + end
    if not missing:
        return RequestPattern(data=data, sizes=(size,))
    kept = data[: -min(missing, size + len(end))]
    return RequestPattern(data=kept, sizes=(), complete=False)


def build_tiny_chunks(count: int, complete: bool) -> RequestPattern:
    """Returns a body of chunks of one byte, possibly without its last one."""
    data = START % b"tiny" + CHUNKED + b"1\r\nx\r\n" * count
    if not complete:
        return RequestPattern(data=data, sizes=(), complete=False)
    return RequestPattern(data=data + b"0\r\n\r\n", sizes=(count,))


def build_pipelined(count: int) -> RequestPattern:
    """Returns pipelined requests to a path without a route."""
    data = (START % b"nothing" + b"\r\n") * count
    return RequestPattern(data=data, sizes=(0,) * count)


PATTERNS = strategies.one_of(
    strategies.builds(
        build_lines,
        line=strategies.sampled_from(LINES),
        count=strategies.integers(0, MAX_LINES),
        complete=strategies.booleans(),
    ),
    strategies.builds(
        build_chunk,
        size=strategies.integers(1, MAX_CHUNK_BYTES),
        missing=strategies.integers(0, 12),
    ),
    strategies.builds(
        build_tiny_chunks,
        count=strategies.integers(1, MAX_TINY_CHUNKS),
        complete=strategies.booleans(),
    ),
    strategies.builds(
        build_pipelined, count=strategies.integers(1, MAX_PIPELINED)
    ),
)


def join_patterns(patterns: list[RequestPattern]) -> RequestPattern:
    """Joins patterns up to the first one that is not complete."""
    data = b""
    sizes: tuple[int, ...] = ()
    for pattern in patterns:
        data += pattern.data
        sizes += pattern.sizes
        if not pattern.complete:
            return RequestPattern(data=data, sizes=sizes, complete=False)
    return RequestPattern(data=data, sizes=sizes)


CONNECTIONS = strategies.builds(
    join_patterns, strategies.lists(PATTERNS, min_size=1, max_size=4)
)
PIECES = strategies.lists(
    strategies.integers(1, 30_000), min_size=1, max_size=4
)
