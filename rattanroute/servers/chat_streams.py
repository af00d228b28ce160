"""Writer of a chat completion as server-sent events."""

import asyncio
from collections.abc import Callable
import socket
import time

from aiohttp import web
import msgspec

from rattanroute.actions import Refusal
from rattanroute.requests.refusals import build_refusal_event

DONE_EVENT = b"data: [DONE]\n\n"
# About 20 tokens; a buffered token takes several times its own length.
WRITE_BUFFER_BYTES = 4 * 1024
# By default, the kernel grows the send buffer to 4 MB for a slow client, in
# memory that no limit of the process counts. Linux doubles this value.
SOCKET_BUFFER_BYTES = 32 * 1024
# Time for a slow client to receive the buffered data and the error event. It
# is then disconnected, so that it cannot keep the connection open forever.
ERROR_SEND_TIMEOUT_SECONDS = 5.0


class ChatStream:
    """Writes tokens as events; the headers are sent with the first token.

    Args:
        http_request: The caller's request.
        request_id: Identifier of the request.
        model: Model name.
        headers: Returns the response headers; called when the response starts.
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
        common_fields = msgspec.json.encode(
            {
                "id": request_id,
                "object": "chat.completion.chunk",
                "created": created,
                "model": model,
            }
        )[:-1]
        self.prefix = (
            b"data: "
            + common_fields
            + b',"choices":[{"index":0,"delta":{"content":'
        )
        self.suffix = b'},"finish_reason":null}]}\n\n'
        self.final = (
            b"data: "
            + common_fields
            + b',"choices":[{"index":0,"delta":{},"finish_reason":%s}]}\n\n'
        )
        self.encoder = msgspec.json.Encoder()

    async def start(self) -> None:
        """Sends the status and headers and limits the connection's buffers."""
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
        # aiohttp itself waits for a slow client only every 64 KB.
        transport = self.http_request.transport
        if (
            transport is not None
            and transport.get_write_buffer_size() > WRITE_BUFFER_BYTES
        ):
            await self.http_request.writer.drain()

    async def finish(self, finish_reason: str) -> web.StreamResponse:
        """Sends the finish reason and the done event, and ends the response."""
        if not self.started:
            await self.start()
        reason = self.encoder.encode(finish_reason)
        await self.response.write(self.final % reason + DONE_EVENT)
        await self.response.write_eof()
        return self.response

    async def fail(self, refusal: Refusal) -> web.StreamResponse:
        """Sends an error event in place of the remaining tokens."""
        self.abort_after_timeout()
        event = build_refusal_event(refusal, self.request_id)
        await self.response.write(event)
        await self.response.write_eof()
        return self.response

    def abort_after_timeout(self) -> None:
        """Aborts the connection of a slow client after a timeout.

        Closing a connection waits until the client has received all buffered
        data. The abort leaves the response incomplete.
        """
        transport = self.http_request.transport
        if transport is None or not transport.get_write_buffer_size():
            return
        self.response.force_close()
        asyncio.get_running_loop().call_later(
            ERROR_SEND_TIMEOUT_SECONDS, transport.abort
        )
