"""Chat completions of a stand-in engine that holds a whole model."""

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
from rattanroute.standins.batches import QueueFullError
from rattanroute.standins.configurations import FaultSettings
from rattanroute.standins.hosts import break_connection
from rattanroute.standins.hosts import error_response
from rattanroute.standins.hosts import json_response
from rattanroute.standins.models import embed
from rattanroute.standins.models import LayerState
from rattanroute.standins.models import sample

if TYPE_CHECKING:
    from rattanroute.standins.engine import EngineHost

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
    """One running chat request."""

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
        """Usage numbers of the last chunk."""
        return {
            "prompt_tokens": len(self.words),
            "completion_tokens": self.tokens_out,
            "total_tokens": len(self.words) + self.tokens_out,
            "cached_tokens": self.cached_tokens,
        }


def parse_run(
    request: web.Request, data: bytes, faults: FaultSettings
) -> ChatRun:
    """Reads a chat request.

    Raises:
        msgspec.DecodeError: If the body does not fit.
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

    def __init__(self, host: "EngineHost") -> None:
        self.host = host

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answers a chat request, whole or as server-sent events."""
        host = self.host
        data = await request.read()
        try:
            run = parse_run(request, data, host.faults)
        except msgspec.DecodeError:
            return error_response(400, "invalid_request")
        if refusal := self.refuse(run):
            return refusal
        key = (run.request_id, run.attempt)
        task = asyncio.current_task()
        host.tasks[key] = task
        host.active += 1
        try:
            if run.body.stream:
                return await self.stream(request, run)
            return await self.answer_whole(request, run)
        except QueueFullError:
            return error_response(503, "overloaded", Retry_After="1")
        finally:
            host.active -= 1
            if host.tasks.get(key) is task:
                del host.tasks[key]
            self.state_usage(run)

    def refuse(self, run: ChatRun) -> web.Response | None:
        """Returns a refusal when the engine does not take the request."""
        host = self.host
        if run.faults.refuse or host.slots.full:
            return error_response(503, "overloaded", Retry_After="1")
        if not host.whole:
            return error_response(400, "layer_range_only")
        if run.body.model not in ("", host.model) or not host.version:
            return error_response(404, "model_not_held")
        if run.body.version not in ("", host.version):
            return error_response(409, "version_not_held")
        if run.body.adapter and run.body.adapter not in host.adapters:
            return error_response(409, "adapter_not_held")
        return None

    def state_usage(self, run: ChatRun) -> None:
        """States the usage of a run that held a slot."""
        if run.seconds == 0.0:
            return
        self.host.state_usage(
            UsageStatement(
                request_id=run.request_id,
                attempt=run.attempt,
                account=run.account,
                tokens_in=len(run.words),
                tokens_out=run.tokens_out,
                seconds=run.seconds,
                layers=self.host.settings.total_layers,
            )
        )

    async def generate(self, run: ChatRun) -> AsyncGenerator[tuple[int, str]]:
        """Yields the index and text of each further token."""
        host = self.host
        async with host.slots.slot(run.priority):
            started = time.monotonic()
            try:
                async with contextlib.aclosing(self.decode(run)) as items:
                    async for item in items:
                        yield item
            finally:
                run.seconds = max(1e-9, time.monotonic() - started)

    async def decode(self, run: ChatRun) -> AsyncGenerator[tuple[int, str]]:
        """Runs the prompt, then one position for each token."""
        faults = run.faults
        host = self.host
        if faults.crash_marker and any(
            faults.crash_marker in word for word in run.words
        ):
            host.crash()
        state = LayerState(
            first_layer=0, last_layer=host.settings.total_layers - 1
        )
        resumed = run.body.resume_tokens
        token = ""
        hidden = await self.prefill(run, state, [*run.words, *resumed])
        for index in range(len(resumed), run.body.max_tokens):
            if index > len(resumed):
                self.record(run, state.position)
                hidden = state.run(embed(token))
            token = sample(hidden)
            await host.pause(host.decode_seconds())
            run.tokens_out += 1
            yield index, token
            if index == faults.crash_at:
                host.crash()

    async def prefill(
        self, run: ChatRun, state: LayerState, words: list[str]
    ) -> bytes:
        """Runs the words; blocks of the prefix cache take no time."""
        host = self.host
        hashes = prefix_hashes(words)
        held = host.cache.match(hashes) * PREFIX_BLOCK_TOKENS
        run.cached_tokens = min(held, len(run.words))
        fresh = len(words) - held
        await host.pause(fresh / host.settings.prefill_tokens_per_second)
        host.cache.insert(hashes)
        hidden = b""
        for word in words:
            self.record(run, state.position)
            hidden = state.run(embed(word))
        return hidden

    def record(self, run: ChatRun, position: int) -> None:
        """Logs one position through all layers."""
        layers = range(self.host.settings.total_layers)
        self.host.record_run(run.request_id, run.attempt, position, layers)

    async def answer_whole(
        self, request: web.Request, run: ChatRun
    ) -> web.Response:
        """Answers with the complete text."""
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
                "model": self.host.model,
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
                    self.limit_buffers(request)
                await self.write_token(request, response, run, index, token)
        if not response.prepared:
            await response.prepare(request)
        chunk = build_chunk(run, self.host.model)
        chunk["choices"][0]["finish_reason"] = "length"
        chunk["usage"] = run.usage
        await response.write(encode_event(chunk) + b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    def limit_buffers(self, request: web.Request) -> None:
        """Makes a stream wait soon for a reader that is slow."""
        size = self.host.settings.send_buffer_bytes
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
        """Writes one chunk, with the configured faults."""
        faults = run.faults
        if index == faults.close_at:
            break_connection(request)
        if index == faults.skip_at:
            return
        if index == faults.malformed_at:
            await response.write(b'data: {"id": "broken\n\n')
            return
        chunk = build_chunk(run, self.host.model)
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
    """Builds a chunk without content."""
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
