"""WebSocket connections to pipeline stages, and copies of their caches."""

import asyncio
import dataclasses
import enum
import time
from urllib.parse import quote

import aiohttp
import msgspec
from yarl import URL

from rattanroute.actions import Hop
from rattanroute.clients.attempts import AttemptSpec
from rattanroute.clients.engines import EXCHANGE_ERRORS
from rattanroute.clients.failures import CONNECTION_LOST_ERRORS
from rattanroute.clients.failures import describe_error
from rattanroute.clients.failures import parse_retry_after

MAX_FRAME_BYTES = 16 * 1024 * 1024
"""Longest frame from a stage, in bytes; bounds the memory that a faulty engine
can make the router use."""
MAX_CACHE_BYTES = 1024 * 1024 * 1024
"""Largest cache that is copied, in bytes; a larger one is rebuilt by replay."""
CLOSE_TIMEOUT_S = 0.2
COPY_TIMEOUT_S = 5.0


class FailureKind(enum.StrEnum):
    """Why a stage needs a replacement."""

    CRASHED = "crashed"
    TIMEOUT = "timeout"
    PROTOCOL = "protocol"
    REFUSED = "refused"
    DEGRADED = "degraded"


@dataclasses.dataclass(kw_only=True, eq=False)
class StageError(Exception):
    """Raised when a stage fails or degrades.

    Attributes:
        kind: Kind of the failure.
        message: Description for logs.
        retry_after_s: Delay that the target asked for in `Retry-After`, in
            seconds; None for none.
        status: HTTP status of a refused connection; 0 if there was none.
    """

    kind: FailureKind
    message: str
    retry_after_s: float | None = None
    status: int = 0

    def __str__(self) -> str:
        return f"{self.kind}: {self.message}"


class StageFrame(msgspec.Struct, kw_only=True):
    """Inputs of consecutive positions, the first of which is `position`."""

    position: int
    inputs: list[bytes]


class StageAnswer(msgspec.Struct, kw_only=True):
    """Outputs of the positions of a frame, or an error."""

    position: int
    attempt: int
    layers: tuple[int, int]
    outputs: list[bytes] = []
    error: str = ""


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(StageAnswer)


def convert_error(error: Exception) -> StageError:
    """Converts an error of aiohttp, asyncio or the operating system."""
    if isinstance(error, aiohttp.WSServerHandshakeError):
        return StageError(
            kind=FailureKind.REFUSED,
            message=describe_error(error),
            retry_after_s=parse_retry_after(error.headers or {}),
            status=error.status,
        )
    if isinstance(error, TimeoutError):
        return StageError(kind=FailureKind.TIMEOUT, message="no answer in time")
    lost = isinstance(error, CONNECTION_LOST_ERRORS)
    kind = FailureKind.CRASHED if lost else FailureKind.PROTOCOL
    return StageError(kind=kind, message=describe_error(error))


class StageSocket:
    """A WebSocket to one stage for one attempt of a request."""

    def __init__(
        self,
        *,
        socket: aiohttp.ClientWebSocketResponse,
        hop: Hop,
        attempt: int,
    ) -> None:
        self.socket = socket
        self.hop = hop
        self.attempt = attempt

    @classmethod
    async def connect(
        cls,
        *,
        session: aiohttp.ClientSession,
        spec: AttemptSpec,
        hop: Hop,
        attempt: int,
        position: int,
        until: float,
    ) -> "StageSocket":
        """Opens a connection; the target runs nothing before the first frame.

        At position 0 the target starts with an empty cache, at any other
        position with the cache that was copied to it.

        Raises:
            StageError: If the target does not accept the request.
        """
        headers = spec.headers
        headers["X-Attempt"] = str(attempt)
        url = build_url(hop, "stages", spec.request_id, attempt)
        url = url.update_query(position=position)
        try:
            async with asyncio.timeout(max(0.0, until - time.monotonic())):
                socket = await session.ws_connect(
                    url,
                    headers=headers,
                    max_msg_size=MAX_FRAME_BYTES,
                    timeout=aiohttp.ClientWSTimeout(ws_close=CLOSE_TIMEOUT_S),
                )
        except EXCHANGE_ERRORS as error:
            raise convert_error(error) from error
        return cls(socket=socket, hop=hop, attempt=attempt)

    async def exchange(
        self, *, position: int, inputs: list[bytes], until: float
    ) -> list[bytes]:
        """Runs consecutive positions and returns their outputs.

        After a timeout, `receive_outputs` may go on waiting for them.

        Raises:
            StageError: If the stage fails or its answer does not match.
        """
        frame = StageFrame(position=position, inputs=inputs)
        try:
            async with asyncio.timeout(max(0.0, until - time.monotonic())):
                await self.socket.send_bytes(ENCODER.encode(frame))
        except EXCHANGE_ERRORS as error:
            raise convert_error(error) from error
        return await self.receive_outputs(
            position=position, count=len(inputs), until=until
        )

    async def receive_outputs(
        self, *, position: int, count: int, until: float
    ) -> list[bytes]:
        """Waits for the outputs of the frame that was just sent.

        Raises:
            StageError: If the stage fails or its answer does not match.
        """
        try:
            async with asyncio.timeout(max(0.0, until - time.monotonic())):
                answer = await self.receive()
        except EXCHANGE_ERRORS as error:
            raise convert_error(error) from error
        self.check(answer, position, count)
        return answer.outputs

    async def receive(self) -> StageAnswer:
        """Returns the next answer; skips those of earlier attempts."""
        while True:
            message = await self.socket.receive()
            if message.type != aiohttp.WSMsgType.BINARY:
                raise StageError(
                    kind=FailureKind.CRASHED,
                    message=f"connection closed ({message.type.name})",
                )
            answer = DECODER.decode(message.data)
            if answer.attempt >= self.attempt:
                return answer

    def check(self, answer: StageAnswer, position: int, count: int) -> None:
        """Checks that an answer belongs to the frame that was just sent."""
        layers = (self.hop.first_layer, self.hop.last_layer)
        problem = ""
        if answer.attempt != self.attempt:
            problem = f"attempt {answer.attempt}, expected {self.attempt}"
        elif answer.error:
            problem = answer.error
        elif answer.position != position:
            problem = f"position {answer.position}, expected {position}"
        elif answer.layers != layers:
            problem = f"layers {answer.layers}, expected {layers}"
        elif len(answer.outputs) != count:
            problem = f"{len(answer.outputs)} outputs, expected {count}"
        if problem:
            raise StageError(kind=FailureKind.PROTOCOL, message=problem)

    async def close(self) -> None:
        """Closes the connection, which cancels the request on the target."""
        await self.socket.close()


def build_url(hop: Hop, kind: str, request_id: str, attempt: int) -> URL:
    """Builds the URL of a request's stage or of its cache."""
    path = f"{hop.address}/v1/{kind}/{quote(request_id, safe='')}"
    query = f"attempt={attempt}&first={hop.first_layer}&last={hop.last_layer}"
    return URL(f"{path}?{query}", encoded=True)


class CachePosition(msgspec.Struct):
    """The only field of an exported cache that the router decodes."""

    position: int


async def copy_cache(
    *,
    session: aiohttp.ClientSession,
    request_id: str,
    old: Hop,
    hop: Hop,
    attempt: int,
    position: int,
) -> bool:
    """Copies a request's cache for the layers of `hop` to its target.

    Args:
        session: HTTP session.
        request_id: The request.
        old: Hop whose target holds the cache.
        hop: New target and its layers.
        attempt: Attempt number of `hop`.
        position: Exact number of positions that the cache must cover.

    Returns:
        Whether the cache was copied.
    """
    source = dataclasses.replace(hop, address=old.address)
    read = build_url(source, "kv", request_id, attempt)
    write = build_url(hop, "kv", request_id, attempt)
    try:
        async with asyncio.timeout(COPY_TIMEOUT_S):
            async with session.get(read, allow_redirects=False) as answer:
                size = answer.content_length
                if answer.status != 200 or (size or 0) > MAX_CACHE_BYTES:
                    return False
                data = await answer.read()
            found = msgspec.msgpack.decode(data, type=CachePosition)
            if found.position != position:
                return False
            async with session.put(
                write, data=data, allow_redirects=False
            ) as answer:
                return answer.status == 200
    except (*EXCHANGE_ERRORS, msgspec.DecodeError):
        return False
