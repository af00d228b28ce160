"""Server-sent events of a chat completion."""

import asyncio
from collections.abc import Callable
import socket
import time

from aiohttp import web
import msgspec

from rattanroute.actions import Refusal
from rattanroute.requests.refusals import build_refusal_event

DONE_EVENT = b"data: [DONE]\n\n"
# About 20 tokens; each costs several times its length while it waits.
WRITE_BUFFER_BYTES = 4 * 1024
# The system's own choice grows to 4 MB for a reader that is slow, in memory
# that no limit of the process counts. Linux doubles this value.
SOCKET_BUFFER_BYTES = 32 * 1024
# A reader that does not take the rest and the error event within this time is
# disconnected, so that it cannot hold its connection for ever.
FAIL_TIMEOUT_SECONDS = 5.0


class ChatStream:
    """Writes tokens as chunks; the headers leave with the first token.

    Args:
        http_request: The caller's request.
        request_id: Identifier of the request.
        model: Model name.
        headers: Returns the headers of the response when it starts.
    """

    def __init__(
        self,
        *,
        http_request: web.Request,
        request_id: str,
        model: str,
        headers: Callable[[], dict[str, str]],
    ) -> None:
        self.http_request = http_request
        self.request_id = request_id
        self.headers = headers
        self.response = web.StreamResponse()
        self.started = False
        created = int(time.time())
        opening = msgspec.json.encode(
            {
                "id": request_id,
                "object": "chat.completion.chunk",
                "created": created,
                "model": model,
            }
        )[:-1]
        self.prefix = (
            b"data: " + opening + b',"choices":[{"index":0,"delta":{"content":'
        )
        self.suffix = b'},"finish_reason":null}]}\n\n'
        self.final = (
            b"data: "
            + opening
            + b',"choices":[{"index":0,"delta":{},"finish_reason":%s}]}\n\n'
        )
        self.encoder = msgspec.json.Encoder()

    async def start(self) -> None:
        """Sends the status and headers."""
        self.started = True
        self.response.headers.update(self.headers())
        self.response.content_type = "text/event-stream"
        self.response.headers["Cache-Control"] = "no-store"
        await self.response.prepare(self.http_request)
        transport = self.http_request.transport
        if transport is not None:
            transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
            transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES
            )

    async def write(self, text: str) -> None:
        """Sends one token."""
        if not self.started:
            await self.start()
        await self.response.write(
            self.prefix + self.encoder.encode(text) + self.suffix
        )
        # The library itself waits for a slow reader only every 64 KB.
        transport = self.http_request.transport
        if (
            transport is not None
            and transport.get_write_buffer_size() > WRITE_BUFFER_BYTES
        ):
            await self.http_request.writer.drain()

    async def finish(self, finish_reason: str) -> web.StreamResponse:
        """Sends the end of a complete answer."""
        if not self.started:
            await self.start()
        reason = self.encoder.encode(finish_reason)
        await self.response.write(self.final % reason + DONE_EVENT)
        await self.response.write_eof()
        return self.response

    async def fail(self, refusal: Refusal) -> web.StreamResponse:
        """Sends an error event in place of the rest of the answer."""
        self.bound_close()
        event = build_refusal_event(refusal, self.request_id)
        await self.response.write(event)
        await self.response.write_eof()
        return self.response

    def bound_close(self) -> None:
        """Bounds the time in which a reader that is behind takes the rest.

        Closing a connection waits until all is taken, so that it is aborted
        after that time; an aborted connection is no complete answer.
        """
        transport = self.http_request.transport
        if transport is None or not transport.get_write_buffer_size():
            return
        self.response.force_close()
        asyncio.get_running_loop().call_later(
            FAIL_TIMEOUT_SECONDS, transport.abort
        )
