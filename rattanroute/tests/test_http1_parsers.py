"""Tests of the HTTP/1.1 parsers."""

from collections.abc import Iterator
import itertools
import unittest

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from rattanroute.http1.heads import drop_connection_headers
from rattanroute.http1.heads import encode_request
from rattanroute.http1.heads import Request
from rattanroute.http1.heads import RequestHead
from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.parsers import ProtocolError
from rattanroute.http1.parsers import RequestLimits
from rattanroute.http1.parsers import ResponseParser
from rattanroute.http1.parsers import slice_data
from rattanroute.http1.request_parsers import RequestParser


class RequestParserTest(unittest.TestCase):
    """Guards against changed bytes and request smuggling."""

    def setUp(self) -> None:
        self.parser = RequestParser(
            limits=RequestLimits(max_head_bytes=400, max_body_bytes=20)
        )

    def test_target_and_body_are_kept_byte_for_byte(self) -> None:
        self.parser.feed(
            b"POST /a%2Fb//c?q=%20x&y HTTP/1.1\r\nHost: h\r\n"
            b"X-Odd:  v \r\nContent-Length: 3\r\n\r\n\x00\xffz"
        )
        (request,) = self.parser.requests
        self.assertEqual(request.head.target, b"/a%2Fb//c?q=%20x&y")
        self.assertEqual(request.head.path, b"/a%2Fb//c")
        self.assertEqual(request.body, b"\x00\xffz")

    def test_request_fed_byte_by_byte(self) -> None:
        data = (
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        for number in range(len(data)):
            self.parser.feed(data[number : number + 1])
        (request,) = self.parser.requests
        self.assertEqual(request.body, b"abcde")

    def test_pipelined_requests_are_separated(self) -> None:
        self.parser.feed(
            b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
            b"GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        )
        first, second = self.parser.requests
        self.assertEqual(first.head.target, b"/1")
        self.assertTrue(first.head.keep_alive)
        self.assertFalse(second.head.keep_alive)

    def test_ambiguous_or_malformed_requests_are_refused(self) -> None:
        for data in (
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\n"
            b"Content-Length: 2\r\n\r\nab",
            b"nonsense\r\n\r\n",
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        ):
            with self.subTest(data=data), self.assertRaises(ProtocolError):
                RequestParser(limits=RequestLimits()).feed(data)

    def check_status(self, status: int, *parts: bytes) -> None:
        """Checks that a request is refused with a status."""
        with self.assertRaises(ProtocolError) as caught:
            for part in parts:
                self.parser.feed(part)
        self.assertEqual(caught.exception.status, status)

    def test_long_head_is_refused(self) -> None:
        head = b"GET / HTTP/1.1\r\nX: " + b"a" * 500
        self.check_status(431, head, b"a")

    def test_long_body_is_refused(self) -> None:
        head = b"POST / HTTP/1.1\r\nContent-Length: 30\r\n\r\n"
        self.check_status(413, head, b"a" * 30)

    def test_limits_that_become_smaller(self) -> None:
        """Guards against refusing a request that began under larger ones."""
        head = b"POST / HTTP/1.1\r\nHost: h\r\nX-Long: %b\r\n" % (b"x" * 300)
        request = head + b"Content-Length: 20\r\n\r\n" + b"x" * 20
        self.parser.feed(request[:30])
        self.parser.limits.max_head_bytes = 200
        self.parser.limits.max_body_bytes = 10
        self.parser.feed(request[30:])
        self.assertEqual(len(self.parser.requests), 1)
        self.check_status(431, request)

    def test_limits_that_become_larger(self) -> None:
        """Guards against refusing a request that began under smaller ones."""
        request = (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 30\r\n\r\n"
            + b"x" * 30
        )
        self.parser.feed(request[:30])
        self.parser.limits.max_body_bytes = 30
        self.parser.feed(request[30:])
        self.assertEqual(len(self.parser.requests), 1)

    def test_longest_head_of_the_shortest_lines(self) -> None:
        """Guards against refusing a head for spaces that it does not have."""
        start = b"GET / HTTP/1.1\r\n"
        size = RequestLimits().max_head_bytes
        lines = b"a:\r\n" * ((size - len(start) - 2) // 4)
        head = start + lines + b"\r\n"
        self.assertGreater(len(head), size - 4)
        for piece in (len(head), 1_000, len(head) - 1, len(head) - 3):
            with self.subTest(piece=piece):
                parser = RequestParser(limits=RequestLimits())
                for part in split_data(head + head, [piece]):
                    parser.feed(part)
                self.assertEqual(len(parser.requests), 2)
        with self.assertRaises(ProtocolError) as caught:
            too_long = start + lines + b"a:\r\n" * 2 + b"\r\n"
            RequestParser(limits=RequestLimits()).feed(too_long)
        self.assertEqual(caught.exception.status, 431)

    def test_trailers_are_dropped(self) -> None:
        """Guards against a trailer that overrides a validated header."""
        self.parser.feed(
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
            b"\r\n1\r\na\r\n0\r\nAuthorization: Bearer other\r\n\r\n"
        )
        (request,) = self.parser.requests
        names = [name for name, _ in request.head.headers]
        self.assertEqual(names, [b"Host", b"Transfer-Encoding"])

    def test_endless_framing_is_refused(self) -> None:
        """Guards against endless bytes after the head that add no body."""
        head = (
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        for name, start, endless in ENDLESS_FRAMING:
            for size in (1, 700, 100_000):
                with self.subTest(name=name, size=size):
                    limits = RequestLimits()
                    parser = RequestParser(limits=limits)
                    parser.feed(head + start)
                    with self.assertRaises(ProtocolError):
                        feed_endless(parser, endless, size)

    def test_pipelined_uploads_are_complete(self) -> None:
        """Guards against counting a pipelined upload as framing bytes."""
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n"
        data = (head + b"x" * 200_000) * 3
        for size in (1_000, 16_384, 50_000, len(data)):
            with self.subTest(size=size):
                parser = RequestParser(limits=RequestLimits())
                for start in range(0, len(data), size):
                    parser.feed(data[start : start + size])
                bodies = [len(x.body) for x in parser.requests]
                self.assertEqual(bodies, [200_000] * 3)

    def test_body_of_small_chunks_is_complete(self) -> None:
        """Guards against refusing a valid body of one-byte chunks."""
        parser = RequestParser(limits=RequestLimits())
        parser.feed(
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        parser.feed(b"1\r\na\r\n" * 50_000 + b"0\r\n\r\n")
        (request,) = parser.requests
        self.assertEqual(request.body, b"a" * 50_000)


# Name of a case, the start of the body, and the bytes that repeat forever.
ENDLESS_FRAMING = (
    ("extension", b"1;a=", b"x" * 100),
    ("zeros", b"", b"0" * 100),
    ("trailers", b"0\r\n", b"X-T: " + b"x" * 90 + b"\r\n"),
    ("one trailer", b"0\r\nX-T: ", b"x" * 100),
    ("extensions", b"", b"1;" + b"x" * 9_000 + b"\r\na\r\n"),
)
ENDLESS_BYTES = 2_000_000


def feed_endless(
    parser: RequestParser | ResponseParser, endless: bytes, size: int
) -> None:
    """Feeds repeated bytes to a parser, in pieces of a size."""
    data = endless * (max(size, 20_000) // len(endless) + 1)
    for _ in range(0, ENDLESS_BYTES, len(data)):
        for start in range(0, len(data), size):
            parser.feed(data[start : start + size])


class Receiver:
    """Collects the parts of a response."""

    def __init__(self) -> None:
        self.head: ResponseHead | None = None
        self.body = b""
        self.ended = False

    def receive_head(self, head: ResponseHead) -> None:
        """Stores the head."""
        self.head = head

    def receive_body(self, data: bytes) -> None:
        """Stores a part of the body."""
        self.body += data

    def receive_end(self) -> None:
        """Records the end."""
        self.ended = True


class ResponseParserTest(unittest.TestCase):
    """Guards against accepting truncated, unexpected or invalid responses."""

    def setUp(self) -> None:
        self.parser = ResponseParser()
        self.receiver = Receiver()
        self.parser.expect(self.receiver, b"POST")

    def test_interim_response_is_skipped(self) -> None:
        self.parser.feed(
            b"HTTP/1.1 100 Continue\r\n\r\n"
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        )
        self.assertEqual(self.receiver.head.status, 200)
        self.assertEqual(self.receiver.body, b"ok")
        self.assertTrue(self.receiver.ended)
        self.assertTrue(self.parser.keep_alive)

    def test_second_response_makes_the_connection_unusable(self) -> None:
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        self.parser.feed(answer + answer)
        self.assertEqual(self.receiver.body, b"ok")
        self.assertTrue(self.parser.unexpected_data)

    def test_response_without_length_ends_with_the_connection(self) -> None:
        self.parser.feed(b"HTTP/1.1 200 OK\r\n\r\npart")
        self.assertFalse(self.receiver.ended)
        self.assertTrue(self.parser.handle_eof())
        self.assertTrue(self.receiver.ended)
        self.assertFalse(self.parser.keep_alive)

    def test_truncated_response_is_not_complete(self) -> None:
        self.parser.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart")
        self.assertFalse(self.parser.handle_eof())
        self.assertFalse(self.receiver.ended)

    def test_invalid_response_is_refused(self) -> None:
        with self.assertRaises(ProtocolError):
            self.parser.feed(b"\x16\x03\x01 nonsense\r\n\r\n")

    def test_reused_connection_carries_many_responses(self) -> None:
        """Guards against adding up the head sizes of several responses."""
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 800\r\n\r\n" + b"a" * 800
        for _ in range(200):
            receiver = Receiver()
            self.parser.expect(receiver, b"POST")
            self.parser.feed(answer)
            self.assertTrue(receiver.ended)

    def test_endless_interim_heads_are_refused(self) -> None:
        with self.assertRaises(ProtocolError):
            feed_endless(self.parser, b"HTTP/1.1 100 Continue\r\n\r\n", 700)

    def test_endless_framing_is_refused(self) -> None:
        """Guards against endless bytes after the head that add no body."""
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        for name, start, endless in ENDLESS_FRAMING:
            for size in (1, 700, 100_000):
                with self.subTest(name=name, size=size):
                    parser = ResponseParser()
                    receiver = Receiver()
                    parser.expect(receiver, b"POST")
                    parser.feed(head + start)
                    with self.assertRaises(ProtocolError):
                        feed_endless(parser, endless, size)
                    self.assertFalse(receiver.ended)


class HeadTest(unittest.TestCase):
    """Guards against forwarded hop-by-hop headers and missing lengths."""

    def test_hop_by_hop_headers_are_dropped(self) -> None:
        headers = [
            (b"Connection", b"close, X-Hop"),
            (b"x-hop", b"1"),
            (b"Transfer-Encoding", b"chunked"),
            (b"Keep-Alive", b"timeout=4"),
            (b"X-Kept", b"2"),
        ]
        self.assertEqual(drop_connection_headers(headers), [(b"X-Kept", b"2")])

    def test_content_length_is_added(self) -> None:
        head = RequestHead(method=b"POST", target=b"/", headers=[])
        self.assertIn(b"Content-Length: 3\r\n", encode_request(head, b"abc"))


def encode_body(body: bytes, chunk_sizes: list[int]) -> bytes:
    """Encodes the headers and the body of a message.

    Args:
        body: The body.
        chunk_sizes: Sizes of the chunks, repeated; empty to send a
            `Content-Length` instead.
    """
    if not chunk_sizes:
        return b"Content-Length: %d\r\n\r\n" % len(body) + body
    parts = [b"Transfer-Encoding: chunked\r\n\r\n"]
    sizes = itertools.cycle(chunk_sizes)
    while body:
        size = next(sizes)
        part, body = body[:size], body[size:]
        parts.append(b"%x\r\n%b\r\n" % (len(part), part))
    return b"".join(parts) + b"0\r\n\r\n"


def split_data(data: bytes, sizes: list[int]) -> Iterator[bytes]:
    """Yields bytes in pieces, with the sizes repeated."""
    start = 0
    for size in itertools.cycle(sizes):
        if start >= len(data):
            return
        yield data[start : start + size]
        start += size


BODIES = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 40_000),
        strategies.lists(strategies.integers(1, 9_000), max_size=3),
    ),
    min_size=1,
    max_size=4,
)
PIECES = strategies.lists(
    strategies.integers(1, 30_000), min_size=1, max_size=5
)


EMPTY_LINE = b"a:\r\n"
HEADER_LINES = strategies.sampled_from(
    [EMPTY_LINE, b"!!:\r\n", b"~~:\xff\r\n", b"A: b\r\n", b"x:\t \r\n"]
)
EMPTY_LINES = b"GET / HTTP/1.1\r\n" + EMPTY_LINE * 4_000 + b"\r\n"
TRAILERS = (
    b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\n\r\n\r\n0\r\n0\r\na: b\r\n\r\n"
)
# What clients sent that made a process hold much memory.
CROWD_REQUESTS = strategies.lists(
    strategies.one_of(
        strategies.builds(
            lambda line, count: b"GET / HTTP/1.1\r\n" + line * count + b"\r\n",
            HEADER_LINES,
            strategies.integers(0, 2_000),
        ),
        strategies.builds(
            lambda chunk, count: (
                b"POST / HTTP/1.1\r\n"
                + encode_body(chunk * count, [len(chunk)] * count)
            ),
            strategies.sampled_from([b"x", b"\r\n\r\n", b"0\r\n\r\n"]),
            strategies.integers(0, 3_000),
        ),
        strategies.just(TRAILERS),
    ),
    min_size=1,
    max_size=20,
)


def read_one_by_one(
    parser: RequestParser, data: bytes | memoryview
) -> Iterator[Request]:
    """Yields the requests that a slice completes."""
    while data:
        data = data[parser.feed_request(data) :]
        while parser.requests:
            yield parser.requests.popleft()


class IncompleteHeadTest(unittest.TestCase):
    """Guards against incomplete heads that take many times their size."""

    def test_many_short_lines(self) -> None:
        lines = b"".join(b"%x: \t \r\n" % number for number in range(1_500))
        head = b"GET / HTTP/1.1\r\n" + lines
        for sizes in ([len(head)], [7], [1_000, 1]):
            with self.subTest(sizes=sizes):
                parser = RequestParser(limits=RequestLimits())
                for piece in split_data(head, sizes):
                    parser.feed(piece)
                self.assertLess(parser.measure_incomplete(), 3 * len(head))
                parser.feed(b"\r\n")
                (request,) = parser.requests
                self.assertEqual(
                    request.head.headers,
                    [(b"%x" % number, b"") for number in range(1_500)],
                )


class SplitTest(unittest.TestCase):
    """Guards against results that depend on how messages are segmented."""

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(bodies=BODIES, pieces=PIECES)
    def test_requests(
        self, bodies: list[tuple[int, list[int]]], pieces: list[int]
    ) -> None:
        data = b"".join(
            b"POST /%d HTTP/1.1\r\nHost: h\r\n" % number
            + encode_body(b"x" * size, chunks)
            for number, (size, chunks) in enumerate(bodies)
        )
        parser = RequestParser(limits=RequestLimits())
        for piece in split_data(data, pieces):
            parser.feed(piece)
        found = [(x.head.target, len(x.body)) for x in parser.requests]
        expected = [
            (b"/%d" % number, size) for number, (size, _) in enumerate(bodies)
        ]
        self.assertEqual(found, expected)

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(requests=CROWD_REQUESTS, pieces=PIECES)
    @example(requests=[b"GET / HTTP/1.1\r\n\r\n"] * 900, pieces=[16_384])
    @example(requests=[b"\r\n" * 50 + EMPTY_LINES], pieces=[16_384])
    @example(requests=[TRAILERS] * 300, pieces=[16_384, 1])
    def test_requests_one_by_one(
        self, requests: list[bytes], pieces: list[int]
    ) -> None:
        """Guards against requests that depend on where parsing pauses."""
        data = b"".join(requests)
        parser = RequestParser(limits=RequestLimits())
        found = []
        for piece in split_data(data, pieces):
            for part in slice_data(piece):
                found += read_one_by_one(parser, part)
        expected = []
        for request in requests:
            alone = RequestParser(limits=RequestLimits())
            alone.feed(request)
            expected += alone.requests
        self.assertEqual(found, expected)
        self.assertEqual(len(found), len(requests))
        self.assertFalse(parser.is_reading)

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(bodies=BODIES, pieces=PIECES)
    def test_responses(
        self, bodies: list[tuple[int, list[int]]], pieces: list[int]
    ) -> None:
        parser = ResponseParser()
        for size, chunks in bodies:
            receiver = Receiver()
            parser.expect(receiver, b"POST")
            data = b"HTTP/1.1 200 OK\r\n" + encode_body(b"x" * size, chunks)
            for piece in split_data(data, pieces):
                parser.feed(piece)
            self.assertEqual(receiver.body, b"x" * size)
            self.assertTrue(receiver.ended)
            self.assertFalse(parser.unexpected_data)
