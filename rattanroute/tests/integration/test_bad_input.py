"""Invalid and hostile input from clients and targets."""

import asyncio
from collections.abc import AsyncIterator
import json
import socket
import time
import unittest

import aiohttp

from rattanroute.tools.cluster_hosts import CALLERS_PORT
from rattanroute.tools.cluster_hosts import TARGETS_PORT
from rattanroute.tools.clusters import LocalCluster
from rattanroute.tools.demo_configuration import apply_configuration
from rattanroute.tools.demo_configuration import NOTES_KEY

MAX_BODY_BYTES = 64 * 1024
BODY_TIMEOUT_SECONDS = 1.0
ANSWER_TIMEOUT_SECONDS = 3.0
# A connection whose headers stay incomplete is closed within this time.
HEADERS_TIMEOUT_SECONDS = 15.0
CHAT_PATH = "/v1/chat/completions"
VM = "dc-a-1"
CHAT = {
    "model": "chat",
    "max_tokens": 2,
    "messages": [{"role": "user", "content": "a fair question"}],
}
TARGET = {
    "target_id": "liar",
    "address": "http://127.0.0.1:9",
    "data_centre": "dc-a",
    "model": "instruct",
    "incarnation": 1,
}


async def start_cluster() -> LocalCluster:
    """Starts one VM with an engine and a service."""
    cluster = LocalCluster(
        data_centres={"dc-a": 1},
        settings={
            "limits": {
                "max_body_bytes": MAX_BODY_BYTES,
                "body_timeout_s": BODY_TIMEOUT_SECONDS,
            }
        },
    )
    await cluster.__aenter__()
    try:
        await cluster.add_engine("engine-a", "dc-a", model="chat")
        await cluster.add_service("records-a", "dc-a")
        await apply_configuration(cluster)
    except BaseException:
        await cluster.close()
        raise
    return cluster


class BadInputTest(unittest.TestCase):
    """Bad input is answered with a JSON error within a bounded time.

    All tests share one VM, which must serve a valid request after each.
    """

    @classmethod
    def setUpClass(cls) -> None:
        cls.runner = asyncio.Runner()
        cls.addClassCleanup(cls.runner.close)
        cls.cluster = cls.runner.run(start_cluster())
        cls.addClassCleanup(lambda: cls.runner.run(cls.cluster.close()))

    def tearDown(self) -> None:
        self.runner.run(self.check_valid_request())

    async def check_valid_request(self) -> None:
        """Checks that the VM still answers a valid request."""
        ends_at = time.monotonic() + ANSWER_TIMEOUT_SECONDS
        while True:
            status, body = await self.post(data=json.dumps(CHAT).encode())
            if status == 200:
                return
            self.assertLess(time.monotonic(), ends_at, body)
            await asyncio.sleep(0.1)

    async def post(
        self,
        path: str = CHAT_PATH,
        *,
        port: int = CALLERS_PORT,
        data: object = b"",
        method: str = "POST",
        **headers: str,
    ) -> tuple[int, dict[str, object]]:
        """Sends a request; returns the status and the JSON body."""
        names = {"Authorization": f"Bearer {NOTES_KEY}"}
        names.update({k.replace("_", "-"): v for k, v in headers.items()})
        async with self.cluster.client.request(
            method,
            f"http://{self.cluster.vms[VM].address}:{port}{path}",
            data=data,
            headers=names,
            timeout=aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_SECONDS),
        ) as response:
            text = await response.text()
            self.assertEqual(response.content_type, "application/json", text)
            return response.status, json.loads(text)

    def check_refused(
        self, status: int, kind: str, *args: str, **kwargs: object
    ) -> None:
        """Checks status, type and fields of the refusal of a request."""
        found, body = self.runner.run(self.post(*args, **kwargs))
        self.assertEqual((found, body["error"]["type"]), (status, kind), body)
        self.assertEqual(body["error"]["execution"], "not_run")
        self.assertTrue(body["error"]["message"])
        self.assertTrue(body["error"]["request_id"])

    def check_chat(self, status: int, kind: str, **changes: object) -> None:
        """Checks the refusal of a chat request with changed fields."""
        data = json.dumps({**CHAT, **changes}).encode()
        self.check_refused(status, kind, data=data)

    def test_oversized_body(self) -> None:
        """Guards against buffering a body above the size limit."""
        data = b" " * (MAX_BODY_BYTES + 1)
        self.check_refused(413, "body_too_large", data=data)

    def test_oversized_chunked_body(self) -> None:
        """Guards against a large body without a Content-Length."""

        async def chunks() -> AsyncIterator[bytes]:
            for _ in range(MAX_BODY_BYTES // 1024 + 1):
                yield b" " * 1024

        self.check_refused(413, "body_too_large", data=chunks())

    def test_invalid_json(self) -> None:
        """Guards against an internal error for a body that is not JSON."""
        for data in (b"", b"{", b'{"model": nan}', b"\xff\xfe{}", b"[]", b"1"):
            with self.subTest(data=data):
                self.check_refused(400, "invalid_request", data=data)

    def test_deep_nesting(self) -> None:
        """Guards against nested JSON that exhausts the stack."""
        for depth in (40, 30_000):
            data = b"[" * depth + b"]" * depth
            with self.subTest(depth=depth):
                self.check_refused(400, "invalid_request", data=data)

    def test_wrong_fields(self) -> None:
        """Guards against fields of a wrong type or size."""
        for changes in (
            {"messages": "text"},
            {"messages": []},
            {"messages": [{"role": "user", "content": None}]},
            {"max_tokens": 0},
            {"max_tokens": 10**30},
            {"model": ""},
            {"stream": "perhaps"},
            {"version": {"a": 1}},
        ):
            with self.subTest(changes=changes):
                self.check_chat(400, "invalid_request", **changes)

    def test_unknown_model(self) -> None:
        """Guards against an unclear answer for a model that does not exist."""
        self.check_chat(404, "model_not_found", model="no-such-model")

    def test_wrong_key(self) -> None:
        """Guards against access without a valid API key."""
        data = json.dumps(CHAT).encode()
        for value in ("", "Bearer", "Bearer wrong", "Basic eDp5", "x" * 4000):
            with self.subTest(value=value[:20]):
                self.check_refused(
                    401, "unauthenticated", data=data, Authorization=value
                )

    def test_bad_headers(self) -> None:
        """Guards against an internal error for headers that do not parse."""
        data = json.dumps(CHAT).encode()
        for headers in (
            {"X_Deadline_Ms": "soon"},
            {"X_Deadline_Ms": "-1"},
            {"X_Deadline_Ms": "1" * 5000},
            {"X_Priority": "high"},
            {"X_Priority": "9" * 5000},
        ):
            with self.subTest(headers=str(headers)[:40]):
                self.check_refused(400, "invalid_request", data=data, **headers)

    def test_oversized_header(self) -> None:
        """Guards against an unclear answer to a header of 64 KB."""
        status, body = self.runner.run(
            self.post(data=json.dumps(CHAT).encode(), X_Filler="x" * 65536)
        )
        self.assertIn(status, (400, 431))
        self.assertTrue(body["error"]["message"])

    def test_unknown_path_and_method(self) -> None:
        """Guards against an answer that is not JSON for a wrong path."""
        for method, path, status in (
            ("GET", "/v1/nothing", 404),
            ("GET", CHAT_PATH, 405),
            ("POST", "/v1/services/records", 404),
        ):
            with self.subTest(path=path):
                found, body = self.runner.run(self.post(path, method=method))
                self.assertEqual(found, status)
                self.assertTrue(body["error"]["message"])

    def test_service_calls(self) -> None:
        """Guards against records without a key and unknown services."""
        path = "/v1/services/records/record"
        data = b'{"weight": 1}'
        self.check_refused(400, "idempotency_key_required", path, data=data)
        for key in ("k" * 201, "a b"):
            self.check_refused(
                400, "invalid_request", path, data=data, Idempotency_Key=key
            )
        self.check_refused(
            404, "model_not_found", "/v1/services/none/record", data=data
        )
        self.check_refused(
            400, "invalid_request", path, data=b"{", Idempotency_Key="k"
        )

    async def exchange(
        self, chunks: list[bytes], *, pause: float = 0.0, end: bool = False
    ) -> tuple[bytes, float]:
        """Sends chunks on a new connection until the VM closes it.

        Returns:
            All bytes that the VM sent, and the seconds to the first one.
        """
        started = time.monotonic()
        address = self.cluster.vms[VM].address
        reader, writer = await asyncio.open_connection(address, CALLERS_PORT)
        answer = asyncio.ensure_future(reader.read(1))
        try:
            for chunk in chunks:
                if answer.done() or writer.is_closing():
                    break
                writer.write(chunk)
                await asyncio.sleep(pause)
            if end:
                writer.get_extra_info("socket").shutdown(socket.SHUT_WR)
            async with asyncio.timeout(HEADERS_TIMEOUT_SECONDS):
                first = await answer
                seconds = time.monotonic() - started
                return first + await reader.read(), seconds
        finally:
            answer.cancel()
            writer.close()

    def build_head(self, length: int) -> bytes:
        """Returns request line and headers of a chat request."""
        return (
            f"POST {CHAT_PATH} HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n"
            f"Authorization: Bearer {NOTES_KEY}\r\n"
            f"Content-Type: application/json\r\n"
            f"Content-Length: {length}\r\n\r\n"
        ).encode()

    def test_slow_body(self) -> None:
        """Guards against a client that sends its body very slowly."""
        chunks = [self.build_head(1000)] + [b" "] * 100
        answer, seconds = self.runner.run(self.exchange(chunks, pause=0.1))
        self.assertIn(b" 408 ", answer.split(b"\r\n", 1)[0])
        self.assertIn(b'"body_timeout"', answer)
        self.assertLess(seconds, BODY_TIMEOUT_SECONDS + ANSWER_TIMEOUT_SECONDS)

    def test_slow_headers(self) -> None:
        """Guards against connections kept open with incomplete headers."""
        chunks = [b"POST /v1/chat/completions HTTP/1.1\r\nHost: vm\r\n"]
        _, seconds = self.runner.run(self.exchange(chunks))
        self.assertLess(seconds, HEADERS_TIMEOUT_SECONDS)

    def test_half_closed_connection(self) -> None:
        """Guards against a hang when the client half-closes mid-body."""
        data = json.dumps(CHAT).encode()
        for length, body in ((len(data), data), (1000, data)):
            with self.subTest(length=length):
                _, seconds = self.runner.run(
                    self.exchange([self.build_head(length), body], end=True)
                )
                self.assertLess(
                    seconds, BODY_TIMEOUT_SECONDS + ANSWER_TIMEOUT_SECONDS
                )

    def test_not_http(self) -> None:
        """Guards against a hang when a peer does not speak HTTP."""
        answer, seconds = self.runner.run(
            self.exchange([b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\r\n\r\n"])
        )
        self.assertIn(b" 400 ", answer.split(b"\r\n", 1)[0])
        self.assertLess(seconds, ANSWER_TIMEOUT_SECONDS)

    def announce(self, data: object) -> tuple[int, dict[str, object]]:
        """Sends a target announcement; returns status and JSON body."""
        body = data if isinstance(data, bytes) else json.dumps(data).encode()
        return self.runner.run(
            self.post("/v1/targets/announce", port=TARGETS_PORT, data=body)
        )

    def test_malformed_announcements(self) -> None:
        """Guards against announcements that are invalid."""
        for data in (
            b"{",
            b"[]",
            b"[" * 30_000,
            {},
            {"target_id": "../../x"},
            {**TARGET, "address": "http://example.invalid"},
            {**TARGET, "slots": -1},
            {**TARGET, "slots": 10**9},
            {**TARGET, "tokens_per_second": 1e300},
            {**TARGET, "kind": "oracle"},
            {**TARGET, "cached_prefixes": list(range(1000))},
            {**TARGET, "first_layer": 5, "last_layer": 2},
            {**TARGET, "last_layer": 9, "total_layers": 8},
            {"target_id": "stranger", "model": "instruct"},
            b" " * (300 * 1024),
        ):
            with self.subTest(data=str(data)[:60]):
                status, body = self.announce(data)
                self.assertIn(status, (400, 409, 413), body)
                self.assertTrue(body["error"]["message"])

    def test_contradictory_announcements(self) -> None:
        """Guards against announcements that contradict reality.

        A target announces a high speed but nothing listens at its address,
        and another process announces the identity of a running engine.
        """
        status, body = self.announce({**TARGET, "tokens_per_second": 1e7})
        self.assertEqual(status, 200, body)
        started = time.monotonic()
        data = json.dumps({**CHAT, "model": "instruct"}).encode()
        status, body = self.runner.run(self.post(data=data))
        self.assertIn(status, (502, 503), body)
        self.assertEqual(body["error"]["execution"], "not_run")
        self.assertLess(time.monotonic() - started, ANSWER_TIMEOUT_SECONDS)
        self.announce({**TARGET, "target_id": "engine-a", "model": "chat"})
        self.runner.run(self.check_valid_request())
