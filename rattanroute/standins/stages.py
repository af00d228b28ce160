"""Stage sessions: layers of a stand-in engine run over a WebSocket."""

import dataclasses
import time
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web
import msgspec

from rattanroute.standins.announcers import UsageStatement
from rattanroute.standins.reference_models import embed
from rattanroute.standins.reference_models import LayerState
from rattanroute.standins.reference_models import sample
from rattanroute.standins.resources import QueueFullError
from rattanroute.standins.servers import break_connection
from rattanroute.standins.servers import error_response
from rattanroute.standins.servers import json_response
from rattanroute.standins.servers import MAX_BODY_BYTES

if TYPE_CHECKING:
    from rattanroute.standins.engine import StandinEngine


class StageFrame(msgspec.Struct, kw_only=True):
    """A frame from the router to a stage.

    Attributes:
        position: Position of the first input.
        inputs: One input per position: the token text for layer 0, otherwise
            the output of the preceding layer.
    """

    position: int
    inputs: list[bytes]


class StageAnswer(msgspec.Struct, kw_only=True, omit_defaults=True):
    """A frame from a stage to the router.

    Attributes:
        position: Position of the first output.
        attempt: Attempt number of the session.
        layers: First and last layer of the session, inclusive.
        outputs: One output per position of the frame.
        error: Why the frame was refused; empty if it ran.
    """

    position: int
    attempt: int
    layers: tuple[int, int]
    outputs: list[bytes] = []
    error: str = ""


class ExportedCache(msgspec.Struct, kw_only=True):
    """Exported cache of a request for a range of layers.

    Attributes:
        position: Number of positions that have run.
        layers: Running cache by layer.
    """

    position: int
    layers: dict[int, bytes]


@dataclasses.dataclass(kw_only=True, slots=True)
class StageSession:
    """An attempt of a request on layers of this engine.

    Attributes:
        request_id: Identifier of the request.
        attempt: Attempt number.
        account: Account that the router named in the request.
        priority: Priority in the slot queue; higher ones go first.
        state: Running cache of the layers.
        seconds: Time spent running frames.
        tokens_in: Number of positions run in frames of several positions.
        tokens_out: Number of positions run one at a time.
    """

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
    """Handles the stage and cache routes of an engine.

    Attributes:
        sessions: Latest session of each request, by request ID.
    """

    def __init__(self, engine: "StandinEngine") -> None:
        self.engine = engine
        self.sessions: dict[str, StageSession] = {}

    def open_session(self, request: web.Request) -> StageSession | None:
        """Opens or resumes the session of a request; returns None to refuse.

        A session with imported state is resumed by a request with the same
        attempt number, unless the router starts again at position 0.
        """
        engine = self.engine
        request_id = request.match_info["request_id"]
        attempt = int(request.query.get("attempt", "1"))
        first = int(request.query.get("first", engine.first_layer))
        last = int(request.query.get("last", engine.last_layer))
        if not engine.first_layer <= first <= last <= engine.last_layer:
            return None
        existing = self.sessions.get(request_id)
        if existing is not None:
            if attempt < existing.attempt:
                return None
            if (
                attempt == existing.attempt
                and request.query.get("position") != "0"
            ):
                same = existing.layers == range(first, last + 1)
                return existing if same else None
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
        """Runs the frames of one session over a WebSocket."""
        engine = self.engine
        if engine.faults.refuse or engine.slots.full:
            return error_response(503, "overloaded", Retry_After="1")
        session = self.open_session(request)
        if session is None:
            return error_response(409, "layers_or_attempt_refused")
        socket = web.WebSocketResponse(
            max_msg_size=MAX_BODY_BYTES, compress=False
        )
        await socket.prepare(request)
        engine.active += 1
        try:
            async with engine.slots.hold_slot(session.priority):
                await self.run_frames(request, socket, session)
        except (QueueFullError, ConnectionResetError):
            await socket.close(code=aiohttp.WSCloseCode.TRY_AGAIN_LATER)
        finally:
            engine.active -= 1
            if self.sessions.get(session.request_id) is session:
                del self.sessions[session.request_id]
            self.report_usage(session)
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
        """Runs all positions of a frame on the layers of the session."""
        engine = self.engine
        state = session.state
        answer = StageAnswer(
            position=frame.position,
            attempt=session.attempt,
            layers=(state.first_layer, state.last_layer),
        )
        if frame.position != state.position or not frame.inputs:
            answer.error = f"expected position {state.position}"
            return answer
        fraction = len(session.layers) / engine.settings.total_layers
        count = len(frame.inputs)
        if count == 1:
            session.tokens_out += 1
            await engine.pause(fraction * engine.decode_seconds())
        else:
            session.tokens_in += count
            speed = engine.settings.prefill_tokens_per_second
            await engine.pause(fraction * count / speed)
        for value in frame.inputs:
            answer.outputs.append(self.run_position(session, value))
        return answer

    def run_position(self, session: StageSession, value: bytes) -> bytes:
        """Runs one position on the layers of the session.

        The first layer of the model embeds its input; the last one samples a
        token from its output.
        """
        engine = self.engine
        state = session.state
        marker = engine.faults.crash_marker.encode()
        if state.position == engine.faults.crash_at or (
            marker and marker in value
        ):
            engine.crash()
        engine.record_layers(
            session.request_id,
            session.attempt,
            state.position,
            session.layers,
        )
        hidden = embed(value.decode()) if state.first_layer == 0 else value
        hidden = state.run(hidden)
        if state.last_layer == engine.settings.total_layers - 1:
            return sample(hidden).encode()
        return hidden

    async def send_answer(
        self,
        request: web.Request,
        socket: web.WebSocketResponse,
        frame: StageFrame,
        answer: StageAnswer,
    ) -> None:
        """Sends an answer with the configured faults."""
        faults = self.engine.faults
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

    def report_usage(self, session: StageSession) -> None:
        """Reports the usage of a session that ran at least one frame."""
        if session.seconds == 0.0:
            return
        # The prefill yields the first token with its last position.
        tokens_out = session.tokens_out + (session.tokens_in > 0)
        self.engine.report_usage(
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
        """Answers with the cache of a request for a range of layers."""
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
        body = ExportedCache(position=session.state.position, layers=caches)
        return web.Response(body=msgspec.msgpack.encode(body))

    async def import_cache(self, request: web.Request) -> web.Response:
        """Opens a session from the cache that another engine exported."""
        data = await request.read()
        body = msgspec.msgpack.decode(data, type=ExportedCache)
        session = self.open_session(request)
        if session is None:
            return error_response(409, "layers_or_attempt_refused")
        if set(body.layers) != set(session.layers):
            return error_response(400, "layers_missing")
        session.state.position = body.position
        session.state.caches = dict(body.layers)
        return json_response({"position": body.position})
