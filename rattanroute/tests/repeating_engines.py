"""Engines that answer some requests twice, for tests.

A second answer precedes the next answer on its connection, or is sent while
the connection is idle.
"""

import asyncio
import base64
from collections.abc import Callable
import contextlib
import dataclasses
import hashlib
import random

import msgspec

STREAM_TOKENS = 3
IDLE_SECONDS = 0.01
# Answers that come twice, and refusals, as in the troubles known of targets.
TWICE_SHARE = 0.35
REFUSED_SHARE = 0.3
REFUSAL_STATUSES = (400, 429, 500, 503)
WEBSOCKET_KEY_SUFFIX = b"258EAFA5-E914-47DA-95CA-C5AB0DC85B11"


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineRequest:
    """A request as an engine received it.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        headers: Headers by their names in lower case.
        body: The body.
        connection: Number of the connection.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    connection: int

    @property
    def request_id(self) -> str:
        """Identifier of the request, also where only the path names it."""
        return self.headers.get("x-request-id", self.path.rsplit("/", 1)[-1])

    @property
    def attempt(self) -> int:
        """Number of the attempt."""
        return int(self.headers["x-attempt"])


@dataclasses.dataclass(frozen=True, kw_only=True)
class ScriptedAnswer:
    """An answer, and the second one to the same request.

    Attributes:
        first: The answer.
        second: The second answer; empty for none.
        idle: Whether the second answer is sent while the connection is idle.
    """

    first: bytes
    second: bytes = b""
    idle: bool = False


Script = Callable[[EngineRequest], ScriptedAnswer]


class RepeatingEngine:
    """A server whose answers come from a script.

    Attributes:
        script: Builds the answer to a request.
        requests: The requests, in the order of their arrival.
        connections: Number of connections so far.
        address: Base URL.
    """

    def __init__(self, script: Script) -> None:
        self.script = script
        self.requests: list[EngineRequest] = []
        self.connections = 0
        self.address = ""
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Opens the server on loopback."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"http://127.0.0.1:{port}"

    def close(self) -> None:
        """Closes the server."""
        self.server.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers the requests of a connection."""
        number = self.connections
        self.connections += 1
        due = b""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                request = await read_request(reader, number)
                self.requests.append(request)
                answer = self.script(request)
                writer.write(due + answer.first)
                due = answer.second
                if answer.idle:
                    await asyncio.sleep(IDLE_SECONDS)
                    writer.write(due)
                    due = b""
        writer.close()


class RandomEngine:
    """Script of engines that refuse often and answer some requests twice.

    Attributes:
        statuses: Status of the answer to each attempt, by request.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.statuses: dict[str, int] = {}

    def __call__(self, request: EngineRequest) -> ScriptedAnswer:
        """Chooses an answer, and whether it comes twice."""
        status = 200
        if self.random.random() < REFUSED_SHARE:
            status = self.random.choice(REFUSAL_STATUSES)
        self.statuses[request.request_id] = status
        first = build_engine_answer(request, status)
        if self.random.random() >= TWICE_SHARE:
            return ScriptedAnswer(first=first)
        again = self.random.choice((status, 200, 503))
        return ScriptedAnswer(
            first=first,
            second=build_engine_answer(request, again),
            idle=self.random.random() < 0.5,
        )


async def read_request(
    reader: asyncio.StreamReader, connection: int
) -> EngineRequest:
    """Reads a request whose body has a length, or none."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    start, *lines = head.strip().split("\r\n")
    method, target, _ = start.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return EngineRequest(
        method=method,
        path=target.partition("?")[0],
        headers=headers,
        body=body,
        connection=connection,
    )


def build_answer(status: int, body: bytes = b"", headers: str = "") -> bytes:
    """Builds an answer with a length."""
    head = f"HTTP/1.1 {status} X\r\n{headers}Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def build_engine_answer(request: EngineRequest, status: int) -> bytes:
    """Builds a stream of tokens, or a refusal whose text names the request."""
    if status != 200:
        return build_answer(status, request.request_id.encode())
    events = [
        {
            "id": request.request_id,
            "attempt": request.attempt,
            "index": index,
            "choices": [{"delta": {"content": build_token(request, index)}}],
        }
        for index in range(STREAM_TOKENS)
    ]
    last = {"delta": {}, "finish_reason": "stop"}
    events.append(
        {
            "id": request.request_id,
            "attempt": request.attempt,
            "choices": [last],
        }
    )
    lines = [b"data: " + msgspec.json.encode(event) for event in events]
    return build_answer(200, b"\n\n".join([*lines, b"data: [DONE]\n\n"]))


def build_token(request: EngineRequest, index: int) -> str:
    """Returns a token that tells the request to which it belongs."""
    return f" {request.request_id}.{index}"


def build_upgrade(request: EngineRequest) -> bytes:
    """Builds the answer that opens a WebSocket."""
    key = request.headers["sec-websocket-key"].encode()
    accept = base64.b64encode(
        hashlib.sha1(key + WEBSOCKET_KEY_SUFFIX).digest()
    ).decode()
    return (
        "HTTP/1.1 101 X\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
        f"Sec-WebSocket-Accept: {accept}\r\n\r\n"
    ).encode()


def build_cache(request: EngineRequest, position: int) -> bytes:
    """Builds an exported cache that names its request."""
    cache = {"position": position, "request": request.request_id}
    return build_answer(200, msgspec.msgpack.encode(cache))
