"""Tests of the codec of the platform's headers."""

import unittest

from rattanroute.gateway.header_codecs import ChainHop
from rattanroute.gateway.header_codecs import UpstreamMetadata
from rattanroute.http1.heads import find_header
from rattanroute.http1.heads import RequestHead
from rattanroute.http1.heads import ResponseHead
from rattanroute.platform.headers import MAX_PART_ID_BYTES
from rattanroute.platform.headers import MAX_SHARED_PARTS
from rattanroute.platform.headers import PlatformHeaderCodec

HEAD = RequestHead(
    method=b"POST",
    target=b"/a/2f",
    headers=[
        (b"Host", b"A.example:80"),
        (b"rattanroute-request-id", b"r1"),
        (b"Rattanroute-Token-Count", b"1460,80"),
        (b"Rattanroute-Model", b"m"),
        (b"Rattanroute-Request-Deadline", b"20002"),
        (b"Rattanroute-Tenant", b"forged"),
        (b"Rattanroute-Hop-Count", b"forged"),
        (b"Rattanroute-Expect-Replica", b"forged"),
        (b"Authorization", b"Bearer secret"),
        (b"Last-Event-Id", b"12"),
        (b"X-Other", b"kept"),
        (b"Connection", b"keep-alive"),
    ],
)


class RequestHeaderTest(unittest.TestCase):
    """Guards against keys, forged or altered headers that reach a target."""

    def setUp(self) -> None:
        self.codec = PlatformHeaderCodec()

    def build(self, **changes: object) -> RequestHead:
        """Builds the head of the request to a target."""
        values = {"target_id": "i-1", "time_left_s": 1.5, "workspace": "t1"}
        return self.codec.build_request(
            HEAD, UpstreamMetadata(**{**values, **changes})
        )

    def list_values(self, head: RequestHead, name: bytes) -> list[bytes]:
        """Returns all values of a header."""
        return [v for k, v in head.headers if k.lower() == name.lower()]

    def test_metadata(self) -> None:
        metadata = self.codec.read_request(HEAD)
        self.assertEqual(metadata.request_id, "r1")
        self.assertEqual(metadata.host, "a.example")
        self.assertEqual(metadata.time_left_s, 20.002)
        self.assertEqual(metadata.key, "secret")
        self.assertEqual(metadata.prompt_tokens, 1460)
        self.assertEqual(metadata.max_answer_tokens, 80)
        self.assertEqual(metadata.last_event_id, b"12")

    def read_parts(self, value: bytes) -> tuple[str, ...]:
        """Returns the shared parts of a prompt that a header states."""
        head = RequestHead(
            method=b"POST",
            target=b"/",
            headers=[(b"rattanroute-prompt-prefix", value)],
        )
        return self.codec.read_request(head).shared_parts

    def test_shared_parts_are_all_but_the_last(self) -> None:
        """Guards against a request's own part that counts as shared."""
        self.assertEqual(
            self.read_parts(b"5C1e07a2:800, 91bd3f06:410,e4402b7d:250"),
            ("5c1e07a2", "91bd3f06"),
        )
        self.assertEqual(self.read_parts(b"e4402b7d:250"), ())
        self.assertEqual(self.read_parts(b""), ())

    def test_malformed_parts_are_ignored(self) -> None:
        """Guards against parts that fill the logs or the memory."""
        long = b"a" * (MAX_PART_ID_BYTES + 1)
        self.assertEqual(
            self.read_parts(b":,zz:1,," + long + b":1,a1:x,b2,c3:1"),
            ("a1", "b2"),
        )
        many = b",".join(b"%x:1" % n for n in range(2 * MAX_SHARED_PARTS))
        self.assertEqual(len(self.read_parts(many)), MAX_SHARED_PARTS)

    def test_malformed_numbers_are_ignored(self) -> None:
        head = RequestHead(
            method=b"GET",
            target=b"/",
            headers=[
                (b"Rattanroute-Request-Deadline", b"soon"),
                (b"Rattanroute-Token-Count", b"x"),
            ],
        )
        metadata = self.codec.read_request(head)
        self.assertIsNone(metadata.time_left_s)
        self.assertEqual(metadata.prompt_tokens, 0)

    def test_router_headers_replace_client_values(self) -> None:
        chain = (
            ChainHop(
                target_id="i-1",
                address="10.1.64.9:8080",
                first_layer=0,
                end_layer=20,
            ),
            ChainHop(
                target_id="i-2",
                address="10.2.64.3:8080",
                first_layer=20,
                end_layer=80,
            ),
        )
        head = self.build(chain=chain)
        self.assertEqual(
            self.list_values(head, b"Rattanroute-Hop-Count"),
            [b"10.1.64.9:8080=0-20,10.2.64.3:8080=20-80"],
        )
        self.assertEqual(self.list_values(head, b"Rattanroute-Tenant"), [b"t1"])
        self.assertEqual(
            self.list_values(head, b"Rattanroute-Expect-Replica"), [b"i-1"]
        )
        self.assertEqual(
            self.list_values(head, b"Rattanroute-Request-Deadline"), [b"1500"]
        )

    def test_key_is_removed_and_other_headers_are_unchanged(self) -> None:
        head = self.build()
        self.assertEqual(self.list_values(head, b"Authorization"), [])
        self.assertEqual(self.list_values(head, b"Rattanroute-Hop-Count"), [])
        self.assertEqual(self.list_values(head, b"X-Other"), [b"kept"])
        self.assertEqual(self.list_values(head, b"Rattanroute-Model"), [b"m"])
        self.assertEqual(self.list_values(head, b"Last-Event-Id"), [b"12"])
        self.assertEqual(head.target, HEAD.target)

    def test_resumed_stream_has_one_last_event_id(self) -> None:
        head = self.build(last_event_id=b"31")
        self.assertEqual(self.list_values(head, b"Last-Event-Id"), [b"31"])

    def test_forged_workspace_is_removed_on_a_public_route(self) -> None:
        head = self.build(workspace="")
        self.assertEqual(self.list_values(head, b"Rattanroute-Tenant"), [])


class AnswerHeaderTest(unittest.TestCase):
    """Guards against misread answers and wrong headers for the client."""

    def test_metadata(self) -> None:
        codec = PlatformHeaderCodec()
        head = ResponseHead(
            status=503,
            headers=[
                (b"Rattanroute-Not-Executed", b"1"),
                (b"At-Server", b"10.2.64.3:8080"),
                (b"Rattanroute-Request-Id", b"r1"),
                (b"Content-Length", b"3"),
                (b"Keep-Alive", b"timeout=5"),
            ],
        )
        metadata = codec.read_answer(head)
        self.assertTrue(metadata.not_run)
        self.assertFalse(metadata.stamped)
        self.assertEqual(metadata.faulty_address, "10.2.64.3:8080")
        kept = codec.build_answer(head).headers
        self.assertIsNone(find_header(kept, b"content-length"))
        self.assertIsNone(find_header(kept, b"keep-alive"))

    def test_refusal_has_retry_after(self) -> None:
        head = PlatformHeaderCodec().build_refusal(
            status=503, request_id="r1", retry_after_s=0.75
        )
        self.assertEqual(find_header(head.headers, b"retry-after"), b"0.75")

    def test_limit(self) -> None:
        """Guards against a limit of a target that is not read."""
        for value, limit_per_s in (
            (b"10.4", 10.4),
            (b"0", 0.0),
            (b"nan", None),
            (b"-1", None),
            (b"many", None),
        ):
            with self.subTest(value=value):
                head = ResponseHead(
                    status=200, headers=[(b"server-limit", value)]
                )
                metadata = PlatformHeaderCodec().read_answer(head)
                self.assertEqual(metadata.limit_per_s, limit_per_s)
        metadata = PlatformHeaderCodec().read_answer(ResponseHead(status=200))
        self.assertIsNone(metadata.limit_per_s)
