"""Questions and orders to engines over kept connections."""

import asyncio
import dataclasses
from typing import Protocol

from rattanroute.errors import RouterError
from rattanroute.gateway.header_codecs import AnswerMetadata
from rattanroute.http1.clients import CollectingSink
from rattanroute.http1.clients import ConnectionPool
from rattanroute.http1.heads import RequestHead
from rattanroute.http1.heads import ResponseHead
from rattanroute.systems.layer_assignments import LayerRange

CONNECT_TIMEOUT_SECONDS = 0.5
OK = 200
MAX_ANSWER_BYTES = 1_048_576
# Bounds a pause that makes no sense.
MAX_PAUSE_SECONDS = 600.0


@dataclasses.dataclass(kw_only=True)
class TargetPausedError(RouterError):
    """A target was not asked, as it wants nothing from this VM for now.

    Attributes:
        until: End of the pause, in seconds of the loop.
    """

    until: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StalledRequest:
    """A request that waits for a member of its chain."""

    request_id: str
    address: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EngineState:
    """What an engine says when asked.

    Attributes:
        orders: Orders that it has accepted since its start.
        busy: Whether it is carrying one out.
        pace: Factor on the usual time of its steps.
        layers: Layers that it holds; None when it is empty.
        queued: Requests that wait for their start.
        stalled: Requests that it received first and that wait for a member
            of their chain.
        leaving: Whether it takes no new work.
        incarnation: Its incarnation; 0 when it does not say.
    """

    orders: int = 0
    busy: bool = False
    pace: float = 1.0
    layers: LayerRange | None = None
    queued: int = 0
    stalled: tuple[StalledRequest, ...] = ()
    leaving: bool = False
    incarnation: int = 0


class EngineCodec(Protocol):
    """Encodes questions and orders for engines, and decodes their state."""

    def build_state_request(self, address: str) -> RequestHead:
        """Returns the head of the question for an engine's state."""
        ...

    def decode_state(self, address: str, data: bytes) -> EngineState:
        """Decodes an engine's state.

        Raises:
            RouterError: If it cannot be read.
        """
        ...

    def read_answer(self, head: ResponseHead) -> AnswerMetadata:
        """Decodes what an answer says about the engine."""
        ...

    def build_order(self, address: str) -> RequestHead:
        """Returns the head of an order."""
        ...

    def encode_order(
        self, layers: LayerRange, *, fence: int, expected: int
    ) -> bytes:
        """Encodes the order to hold some layers."""
        ...


@dataclasses.dataclass(kw_only=True, slots=True)
class EngineControlClient:
    """Sends questions and orders; the caller bounds the time.

    Attributes:
        pool: Connections to targets.
        codec: Questions and orders.
        pauses: Ends of the pauses that targets asked for, by address.
    """

    pool: ConnectionPool
    codec: EngineCodec
    pauses: dict[str, float] = dataclasses.field(default_factory=dict)

    async def fetch_state(self, address: str) -> EngineState:
        """Returns the state of an engine.

        Raises:
            TargetPausedError: If the engine asked for a pause.
            RouterError: If there is no proper answer.
        """
        question = self.codec.build_state_request(address)
        head, body = await self.send(address, question, b"")
        self.check_pause(address)
        if head.status != OK:
            raise RouterError(
                step="ask target",
                peer=address,
                message=f"status {head.status}",
            )
        state = self.codec.decode_state(address, body)
        leaving = self.codec.read_answer(head).leaving
        return dataclasses.replace(state, leaving=leaving)

    async def order_layers(
        self, address: str, layers: LayerRange, *, fence: int, expected: int
    ) -> int:
        """Orders an engine to hold layers and returns the answer's status.

        Raises:
            RouterError: If there is no whole answer.
        """
        body = self.codec.encode_order(layers, fence=fence, expected=expected)
        head = self.codec.build_order(address)
        answer, _ = await self.send(address, head, body)
        return answer.status

    async def send(
        self, address: str, head: RequestHead, body: bytes
    ) -> tuple[ResponseHead, bytes]:
        """Sends a request and returns the answer.

        Raises:
            TargetPausedError: If the target asked for a pause.
            RouterError: If there is no whole answer.
        """
        self.check_pause(address)
        connection = await self.pool.take(address, timeout_s=CONNECT_TIMEOUT_SECONDS)
        sink = CollectingSink(max_bytes=MAX_ANSWER_BYTES)
        try:
            connection.send(head, body, sink)
            await sink.done
        finally:
            # A whole answer has given the connection back.
            if connection.sink is sink:
                connection.cancel()
        pause_s = self.codec.read_answer(sink.head).pause_s
        if pause_s is not None:
            now = asyncio.get_running_loop().time()
            self.pauses[address] = now + min(pause_s, MAX_PAUSE_SECONDS)
        return sink.head, sink.body

    def check_pause(self, address: str) -> None:
        """Checks that a target may be asked now.

        Raises:
            TargetPausedError: If it asked for a pause.
        """
        until = self.pauses.get(address, 0.0)
        if asyncio.get_running_loop().time() < until:
            raise TargetPausedError(
                step="ask target",
                peer=address,
                message="it asked for a pause",
                until=until,
            )
        self.pauses.pop(address, None)
