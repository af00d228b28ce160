"""Layer ranges of a stand-in engine, driven over a WebSocket."""

import dataclasses
import time
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web
import msgspec

from rattanroute.standins.announcers import UsageStatement
from rattanroute.standins.batches import QueueFullError
from rattanroute.standins.hosts import break_connection
from rattanroute.standins.hosts import error_response
from rattanroute.standins.hosts import json_response
from rattanroute.standins.hosts import MAX_BODY_BYTES
from rattanroute.standins.models import embed
from rattanroute.standins.models import LayerState
from rattanroute.standins.models import sample

if TYPE_CHECKING:
    from rattanroute.standins.engine import EngineHost


class StageFrame(msgspec.Struct, kw_only=True):
    """A frame to a stage.

    Attributes:
        position: Position of the first input.
        inputs: One input for each position: the token's text for layer 0,
            else the outputs of the layer before.
    """

    position: int
    inputs: list[bytes]


class StageAnswer(msgspec.Struct, kw_only=True, omit_defaults=True):
    """A frame from a stage; `error` is empty unless it is refused."""

    position: int
    attempt: int
    layers: tuple[int, int]
    outputs: list[bytes] = []
    error: str = ""


class CacheBody(msgspec.Struct, kw_only=True):
    """The exported cache of one request on a range of layers."""

    position: int
    layers: dict[int, bytes]


@dataclasses.dataclass(kw_only=True, slots=True)
class StageSession:
    """One request on this engine's layers."""

    request_id: str
    attempt: int
    account: str
    priority: int
    state: LayerState
    seconds: float = 0.0
    tokens_in: int = 0
    tokens_out: int = 0

    @property
    def layers(self) -> range:
        """The layers of the session."""
        return range(self.state.first_layer, self.state.last_layer + 1)


class StageHandler:
    """Handles the stage and cache routes.

    Attributes:
        sessions: The latest session of each request.
    """

    def __init__(self, host: "EngineHost") -> None:
        self.host = host
        self.sessions: dict[str, StageSession] = {}

    def open_session(self, request: web.Request) -> StageSession | None:
        """Returns the session of a request; None when it is refused.

        A session with imported state is taken over by its attempt number,
        unless the router starts at position 0.
        """
        host = self.host
        request_id = request.match_info["request_id"]
        attempt = int(request.query.get("attempt", "1"))
        first = int(request.query.get("first", host.first_layer))
        last = int(request.query.get("last", host.last_layer))
        if not host.first_layer <= first <= last <= host.last_layer:
            return None
        known = self.sessions.get(request_id)
        if known is not None:
            if attempt < known.attempt:
                return None
            if (
                attempt == known.attempt
                and request.query.get("position") != "0"
            ):
                same = known.layers == range(first, last + 1)
                return known if same else None
        session = StageSession(
            request_id=request_id,
            attempt=attempt,
            account=request.headers.get("X-Account", ""),
            priority=int(request.headers.get("X-Priority", "0")),
            state=LayerState(first_layer=first, last_layer=last),
        )
        self.sessions[request_id] = session
        return session

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Runs one request's frames over a WebSocket."""
        host = self.host
        if host.faults.refuse or host.slots.full:
            return error_response(503, "overloaded", Retry_After="1")
        session = self.open_session(request)
        if session is None:
            return error_response(409, "layers_or_attempt_refused")
        socket = web.WebSocketResponse(
            max_msg_size=MAX_BODY_BYTES, compress=False
        )
        await socket.prepare(request)
        host.active += 1
        try:
            async with host.slots.slot(session.priority):
                await self.run_frames(request, socket, session)
        except (QueueFullError, ConnectionResetError):
            await socket.close(code=aiohttp.WSCloseCode.TRY_AGAIN_LATER)
        finally:
            host.active -= 1
            if self.sessions.get(session.request_id) is session:
                del self.sessions[session.request_id]
            self.state_usage(session)
        return socket

    async def run_frames(
        self,
        request: web.Request,
        socket: web.WebSocketResponse,
        session: StageSession,
    ) -> None:
        """Answers each frame until the router closes the socket."""
        async for message in socket:
            if message.type != aiohttp.WSMsgType.BINARY:
                break
            frame = msgspec.msgpack.decode(message.data, type=StageFrame)
            started = time.monotonic()
            answer = await self.run_frame(session, frame)
            session.seconds += time.monotonic() - started
            await self.send_answer(request, socket, frame, answer)

    async def run_frame(
        self, session: StageSession, frame: StageFrame
    ) -> StageAnswer:
        """Runs all positions of a frame on the session's layers."""
        host = self.host
        state = session.state
        answer = StageAnswer(
            position=frame.position,
            attempt=session.attempt,
            layers=(state.first_layer, state.last_layer),
        )
        if frame.position != state.position or not frame.inputs:
            answer.error = f"expected position {state.position}"
            return answer
        part = len(session.layers) / host.settings.total_layers
        count = len(frame.inputs)
        if count == 1:
            session.tokens_out += 1
            await host.pause(part * host.decode_seconds())
        else:
            session.tokens_in += count
            speed = host.settings.prefill_tokens_per_second
            await host.pause(part * count / speed)
        for value in frame.inputs:
            answer.outputs.append(self.run_position(session, value))
        return answer

    def run_position(self, session: StageSession, value: bytes) -> bytes:
        """Runs one position; embeds and samples at the model's ends."""
        host = self.host
        state = session.state
        marker = host.faults.crash_marker.encode()
        if state.position == host.faults.crash_at or (
            marker and marker in value
        ):
            host.crash()
        host.record_run(
            session.request_id,
            session.attempt,
            state.position,
            session.layers,
        )
        hidden = embed(value.decode()) if state.first_layer == 0 else value
        hidden = state.run(hidden)
        if state.last_layer == host.settings.total_layers - 1:
            return sample(hidden).encode()
        return hidden

    async def send_answer(
        self,
        request: web.Request,
        socket: web.WebSocketResponse,
        frame: StageFrame,
        answer: StageAnswer,
    ) -> None:
        """Sends an answer, with the configured faults."""
        faults = self.host.faults
        positions = range(frame.position, frame.position + len(frame.inputs))
        if faults.close_at in positions:
            break_connection(request)
        if faults.malformed_at in positions:
            await socket.send_bytes(b"\xc1")
            return
        if faults.skip_at in positions:
            answer.position += 1
        if faults.wrong_request_id_at in positions:
            answer.attempt += 1
        data = msgspec.msgpack.encode(answer)
        await socket.send_bytes(data)
        if faults.duplicate_at in positions:
            await socket.send_bytes(data)

    def state_usage(self, session: StageSession) -> None:
        """States the usage of a session that ran a position."""
        if session.seconds == 0.0:
            return
        # The last position of the prefill leads to the first token.
        tokens_out = session.tokens_out + (session.tokens_in > 0)
        self.host.state_usage(
            UsageStatement(
                request_id=session.request_id,
                attempt=session.attempt,
                account=session.account,
                tokens_in=session.tokens_in,
                tokens_out=tokens_out,
                seconds=session.seconds,
                layers=len(session.layers),
            )
        )

    async def export_cache(self, request: web.Request) -> web.Response:
        """Answers with a request's cache on a range of layers."""
        session = self.sessions.get(request.match_info["request_id"])
        if session is None:
            return error_response(404, "unknown_request")
        first = int(request.query.get("first", session.state.first_layer))
        last = int(request.query.get("last", session.state.last_layer))
        caches = {
            layer: cache
            for layer, cache in session.state.caches.items()
            if first <= layer <= last
        }
        body = CacheBody(position=session.state.position, layers=caches)
        return web.Response(body=msgspec.msgpack.encode(body))

    async def import_cache(self, request: web.Request) -> web.Response:
        """Starts a session from another engine's cache."""
        data = await request.read()
        body = msgspec.msgpack.decode(data, type=CacheBody)
        session = self.open_session(request)
        if session is None:
            return error_response(409, "layers_or_attempt_refused")
        if set(body.layers) != set(session.layers):
            return error_response(400, "layers_missing")
        session.state.position = body.position
        session.state.caches = dict(body.layers)
        return json_response({"position": body.position})
