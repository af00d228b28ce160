"""Chat completions of a stand-in engine that holds all layers."""

import asyncio
from collections.abc import AsyncGenerator
import contextlib
import dataclasses
import socket
import time
from typing import TYPE_CHECKING

from aiohttp import web
import msgspec

from rattanroute.clients.attempts import PREFIX_BLOCK_TOKENS
from rattanroute.clients.attempts import prefix_hashes
from rattanroute.clients.attempts import prompt_words
from rattanroute.standins.announcers import UsageStatement
from rattanroute.standins.reference_models import embed
from rattanroute.standins.reference_models import LayerState
from rattanroute.standins.reference_models import sample
from rattanroute.standins.resources import QueueFullError
from rattanroute.standins.servers import break_connection
from rattanroute.standins.servers import error_response
from rattanroute.standins.servers import json_response
from rattanroute.standins.settings import FaultSettings

if TYPE_CHECKING:
    from rattanroute.standins.engine import StandinEngine

DEFAULT_MAX_TOKENS = 16


class ChatBody(msgspec.Struct, kw_only=True):
    """Body of a chat request; other fields are ignored."""

    messages: list[dict[str, object]]
    model: str = ""
    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False
    resume_tokens: list[str] = []
    version: str = ""
    adapter: str = ""


@dataclasses.dataclass(kw_only=True, slots=True)
class ChatRun:
    """One running attempt of a chat request.

    Attributes:
        request_id: Identifier of the request.
        attempt: Attempt number.
        account: Account that the router named in the request.
        priority: Priority in the slot queue; higher ones go first.
        body: The request body.
        words: Words of the prompt; each is one token.
        faults: Injected faults that apply to this request.
        tokens_out: Number of generated tokens.
        cached_tokens: Number of prompt tokens found in the prefix cache.
        seconds: Time in a slot; 0 if the attempt never got one.
    """

    request_id: str
    attempt: int
    account: str
    priority: int
    body: ChatBody
    words: list[str]
    faults: FaultSettings
    tokens_out: int = 0
    cached_tokens: int = 0
    seconds: float = 0.0

    @property
    def usage(self) -> dict[str, int]:
        """The `usage` object of the answer."""
        return {
            "prompt_tokens": len(self.words),
            "completion_tokens": self.tokens_out,
            "total_tokens": len(self.words) + self.tokens_out,
            "cached_tokens": self.cached_tokens,
        }


def parse_run(
    request: web.Request, data: bytes, faults: FaultSettings
) -> ChatRun:
    """Parses a chat request.

    Raises:
        msgspec.DecodeError: If the body is malformed.
    """
    body = msgspec.json.decode(data, type=ChatBody)
    prompt = msgspec.json.encode(body.messages).decode()
    if faults.only_marker and faults.only_marker not in prompt:
        faults = FaultSettings(
            crash_marker=faults.crash_marker, refuse=faults.refuse
        )
    return ChatRun(
        request_id=request.headers.get("X-Request-Id", ""),
        attempt=int(request.headers.get("X-Attempt", "1")),
        account=request.headers.get("X-Account", ""),
        priority=int(request.headers.get("X-Priority", "0")),
        body=body,
        words=prompt_words(body.messages),
        faults=faults,
    )


class ChatHandler:
    """Handles `POST /v1/chat/completions`."""

    def __init__(self, engine: "StandinEngine") -> None:
        self.engine = engine

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answers a chat request with JSON or server-sent events."""
        engine = self.engine
        data = await request.read()
        try:
            run = parse_run(request, data, engine.faults)
        except msgspec.DecodeError:
            return error_response(400, "invalid_request")
        if refusal := self.find_refusal(run):
            return refusal
        key = (run.request_id, run.attempt)
        task = asyncio.current_task()
        engine.tasks[key] = task
        engine.active += 1
        try:
            if run.body.stream:
                return await self.stream(request, run)
            return await self.answer_without_streaming(request, run)
        except QueueFullError:
            return error_response(503, "overloaded", Retry_After="1")
        finally:
            engine.active -= 1
            if engine.tasks.get(key) is task:
                del engine.tasks[key]
            self.report_usage(run)

    def find_refusal(self, run: ChatRun) -> web.Response | None:
        """Returns an error response if the engine cannot run the request."""
        engine = self.engine
        if run.faults.refuse or engine.slots.full:
            return error_response(503, "overloaded", Retry_After="1")
        if not engine.holds_all_layers:
            return error_response(400, "layer_range_only")
        if run.body.model not in ("", engine.model) or not engine.version:
            return error_response(404, "model_not_held")
        if run.body.version not in ("", engine.version):
            return error_response(409, "version_not_held")
        if run.body.adapter and run.body.adapter not in engine.adapters:
            return error_response(409, "adapter_not_held")
        return None

    def report_usage(self, run: ChatRun) -> None:
        """Reports the usage of a run that held a slot."""
        if run.seconds == 0.0:
            return
        self.engine.report_usage(
            UsageStatement(
                request_id=run.request_id,
                attempt=run.attempt,
                account=run.account,
                tokens_in=len(run.words),
                tokens_out=run.tokens_out,
                seconds=run.seconds,
                layers=self.engine.settings.total_layers,
            )
        )

    async def generate(self, run: ChatRun) -> AsyncGenerator[tuple[int, str]]:
        """Waits for a slot and yields the index and text of each new token."""
        engine = self.engine
        async with engine.slots.hold_slot(run.priority):
            started = time.monotonic()
            try:
                async with contextlib.aclosing(self.run_model(run)) as items:
                    async for item in items:
                        yield item
            finally:
                run.seconds = max(1e-9, time.monotonic() - started)

    async def run_model(self, run: ChatRun) -> AsyncGenerator[tuple[int, str]]:
        """Prefills the prompt, then decodes one token at a time."""
        faults = run.faults
        engine = self.engine
        if faults.crash_marker and any(
            faults.crash_marker in word for word in run.words
        ):
            engine.crash()
        state = LayerState(
            first_layer=0, last_layer=engine.settings.total_layers - 1
        )
        resumed = run.body.resume_tokens
        token = ""
        hidden = await self.prefill(run, state, [*run.words, *resumed])
        for index in range(len(resumed), run.body.max_tokens):
            if index > len(resumed):
                self.record_position(run, state.position)
                hidden = state.run(embed(token))
            token = sample(hidden)
            await engine.pause(engine.decode_seconds())
            run.tokens_out += 1
            yield index, token
            if index == faults.crash_at:
                engine.crash()

    async def prefill(
        self, run: ChatRun, state: LayerState, words: list[str]
    ) -> bytes:
        """Runs the words of a prompt; cached prefix blocks take no time."""
        engine = self.engine
        hashes = prefix_hashes(words)
        held = engine.cache.match(hashes) * PREFIX_BLOCK_TOKENS
        run.cached_tokens = min(held, len(run.words))
        uncached = len(words) - held
        await engine.pause(uncached / engine.settings.prefill_tokens_per_second)
        engine.cache.insert(hashes)
        hidden = b""
        for word in words:
            self.record_position(run, state.position)
            hidden = state.run(embed(word))
        return hidden

    def record_position(self, run: ChatRun, position: int) -> None:
        """Adds one position on all layers to the executions log."""
        layers = range(self.engine.settings.total_layers)
        self.engine.record_layers(run.request_id, run.attempt, position, layers)

    async def answer_without_streaming(
        self, request: web.Request, run: ChatRun
    ) -> web.Response:
        """Answers with the complete text as JSON."""
        tokens: list[str] = []
        async with contextlib.aclosing(self.generate(run)) as items:
            async for index, token in items:
                tokens.append(token)
                if index == run.faults.close_at:
                    break_connection(request)
        choice = {
            "index": 0,
            "message": {"role": "assistant", "content": "".join(tokens)},
            "finish_reason": "length",
        }
        wrong = run.faults.wrong_request_id_at >= 0
        return json_response(
            {
                "id": "another" if wrong else run.request_id,
                "object": "chat.completion",
                "model": self.engine.model,
                "attempt": run.attempt,
                "choices": [choice],
                "usage": run.usage,
            }
        )

    async def stream(
        self, request: web.Request, run: ChatRun
    ) -> web.StreamResponse:
        """Answers with one server-sent event for each token."""
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "X-Request-Id": run.request_id,
            }
        )
        async with contextlib.aclosing(self.generate(run)) as items:
            async for index, token in items:
                if not response.prepared:
                    await response.prepare(request)
                    self.limit_send_buffers(request)
                await self.write_token(request, response, run, index, token)
        if not response.prepared:
            await response.prepare(request)
        chunk = build_chunk(run, self.engine.model)
        chunk["choices"][0]["finish_reason"] = "length"
        chunk["usage"] = run.usage
        await response.write(encode_event(chunk) + b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    def limit_send_buffers(self, request: web.Request) -> None:
        """Limits send buffers so that a slow reader soon blocks the stream."""
        size = self.engine.settings.send_buffer_bytes
        if size and request.transport is not None:
            connection = request.transport.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)
            request.transport.set_write_buffer_limits(high=size)

    async def write_token(
        self,
        request: web.Request,
        response: web.StreamResponse,
        run: ChatRun,
        index: int,
        token: str,
    ) -> None:
        """Writes one chunk with the configured faults."""
        faults = run.faults
        if index == faults.close_at:
            break_connection(request)
        if index == faults.skip_at:
            return
        if index == faults.malformed_at:
            await response.write(b'data: {"id": "broken\n\n')
            return
        chunk = build_chunk(run, self.engine.model)
        chunk["index"] = index
        chunk["choices"][0]["delta"] = {"content": token}
        if index == faults.wrong_request_id_at:
            chunk["id"] = "another"
            chunk["choices"][0]["delta"] = {"content": " secret"}
        event = encode_event(chunk)
        await response.write(event)
        if index == faults.duplicate_at:
            await response.write(event)


def build_chunk(run: ChatRun, model: str) -> dict[str, object]:
    """Builds a response chunk without content."""
    return {
        "id": run.request_id,
        "object": "chat.completion.chunk",
        "model": model,
        "attempt": run.attempt,
        "choices": [{"index": 0, "delta": {}, "finish_reason": None}],
    }


def encode_event(chunk: dict[str, object]) -> bytes:
    """Encodes a server-sent event."""
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"
