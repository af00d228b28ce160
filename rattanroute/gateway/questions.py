"""Questions and orders to engines over kept connections."""

import dataclasses
from typing import Protocol

from rattanroute.http1.clients import CollectingSink
from rattanroute.http1.clients import ConnectionPool
from rattanroute.http1.heads import RequestHead
from rattanroute.systems.stageplans import LayerRange

CONNECT_SECONDS = 0.5
MAX_ANSWER_BYTES = 1_048_576


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
        stalled: Requests that it received first and that wait for a member
            of their chain.
    """

    orders: int = 0
    busy: bool = False
    pace: float = 1.0
    layers: LayerRange | None = None
    stalled: tuple[StalledRequest, ...] = ()


class EngineCodec(Protocol):
    """Encodes questions and orders for engines, and decodes their state."""

    def build_question(self, address: str) -> RequestHead:
        """Returns the head of the question for an engine's state."""
        ...

    def decode_state(self, address: str, data: bytes) -> EngineState:
        """Decodes an engine's state.

        Raises:
            RouterError: If it cannot be read.
        """
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
class TargetQuestions:
    """Sends questions and orders; the caller bounds the time.

    Attributes:
        pool: Connections to targets.
        codec: Questions and orders.
    """

    pool: ConnectionPool
    codec: EngineCodec

    async def ask_state(self, address: str) -> EngineState:
        """Returns the state of an engine.

        Raises:
            RouterError: If there is no proper answer.
        """
        question = self.codec.build_question(address)
        _, body = await self.send(address, question, b"")
        return self.codec.decode_state(address, body)

    async def order_layers(
        self, address: str, layers: LayerRange, *, fence: int, expected: int
    ) -> int:
        """Orders an engine to hold layers and returns the answer's status.

        Raises:
            RouterError: If there is no whole answer.
        """
        body = self.codec.encode_order(layers, fence=fence, expected=expected)
        head = self.codec.build_order(address)
        status, _ = await self.send(address, head, body)
        return status

    async def send(
        self, address: str, head: RequestHead, body: bytes
    ) -> tuple[int, bytes]:
        """Sends a request and returns status and body.

        Raises:
            RouterError: If there is no whole answer.
        """
        connection = await self.pool.take(address, timeout_s=CONNECT_SECONDS)
        sink = CollectingSink(max_bytes=MAX_ANSWER_BYTES)
        try:
            connection.send(head, body, sink)
            await sink.done
        finally:
            if not sink.done.done() or sink.done.cancelled():
                connection.cancel()
        return sink.head.status, sink.body
