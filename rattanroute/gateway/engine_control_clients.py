"""State queries and layer orders to engines over persistent connections."""

import asyncio
import dataclasses
from typing import Protocol

from rattanroute.errors import RouterError
from rattanroute.gateway.header_codecs import AnswerMetadata
from rattanroute.http1.clients import ConnectionPool
from rattanroute.http1.heads import RequestHead
from rattanroute.http1.heads import ResponseHead
from rattanroute.http1.response_sinks import CollectingSink
from rattanroute.systems.layer_assignments import LayerRange

CONNECT_TIMEOUT_SECONDS = 0.5
OK = 200
MAX_ANSWER_BYTES = 1_048_576
# Limits pauses that are implausibly long.
MAX_PAUSE_SECONDS = 600.0


@dataclasses.dataclass(kw_only=True)
class TargetPausedError(RouterError):
    """A target was not contacted because it asked this VM for a pause.

    Attributes:
        until: End of the pause, in seconds of the event loop's clock.
    """

    until: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StalledRequest:
    """A request that waits for a target of its chain.

    Attributes:
        request_id: Identifier of the request.
        address: Address of the target it waits for, as `IP:port`.
    """

    request_id: str
    address: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EngineState:
    """State that an engine reports in answer to a query.

    Attributes:
        orders: Number of layer orders accepted since its start.
        busy: Whether it is executing a layer order.
        pace: Factor on the usual time of its steps.
        layers: Layers that it holds; None if it is empty.
        queued: Requests in its queue that have not started.
        stalled: Requests for which it is the first target of the chain and
            that wait for another target of the chain.
        leaving: Whether it accepts no new work.
        incarnation: Its incarnation; 0 if not stated.
        limit_per_s: Requests per second that it takes from all VMs together;
            None if it names no limit.
    """

    orders: int = 0
    busy: bool = False
    pace: float = 1.0
    layers: LayerRange | None = None
    queued: int = 0
    stalled: tuple[StalledRequest, ...] = ()
    leaving: bool = False
    incarnation: int = 0
    limit_per_s: float | None = None

    def is_of_another(self, incarnation: int) -> bool:
        """Returns whether another lifetime, or engine, has answered.

        Args:
            incarnation: The incarnation that was asked; 0 if it is unknown.
        """
        return bool(
            self.incarnation and incarnation and self.incarnation != incarnation
        )


class EngineCodec(Protocol):
    """Encodes state queries and layer orders and decodes engine states."""

    def build_state_request(self, address: str) -> RequestHead:
        """Returns the head of a state query."""
        ...

    def decode_state(self, address: str, data: bytes) -> EngineState:
        """Decodes an engine's state.

        Raises:
            RouterError: If the data is malformed.
        """
        ...

    def read_answer(self, head: ResponseHead) -> AnswerMetadata:
        """Decodes the metadata in the head of an answer."""
        ...

    def build_order(self, address: str, target_id: str) -> RequestHead:
        """Returns the head of a layer order, which only that target obeys."""
        ...

    def encode_order(
        self, layers: LayerRange, *, fence: int, expected: int
    ) -> bytes:
        """Encodes the body of a layer order.

        Args:
            layers: Layers that the engine shall hold.
            fence: Fencing token of the control lease.
            expected: Number of orders that the engine has accepted so far.
        """
        ...


@dataclasses.dataclass(kw_only=True, slots=True)
class EngineControlClient:
    """Sends state queries and layer orders; callers set the time limits.

    Attributes:
        pool: Connections to targets.
        codec: Encodes the requests and decodes the answers.
        pauses: Ends of the pauses that targets asked for, by address.
    """

    pool: ConnectionPool
    codec: EngineCodec
    pauses: dict[str, float] = dataclasses.field(default_factory=dict)

    async def fetch_state(self, address: str) -> EngineState:
        """Returns the state of an engine.

        Raises:
            TargetPausedError: If the engine asked for a pause.
            RouterError: If the exchange fails or the status is not 200.
        """
        question = self.codec.build_state_request(address)
        head, body = await self.send(address, question, b"")
        self.check_pause(address)
        if head.status != OK:
            raise RouterError(
                step="query target",
                peer=address,
                message=f"status {head.status}",
            )
        state = self.codec.decode_state(address, body)
        metadata = self.codec.read_answer(head)
        return dataclasses.replace(
            state,
            leaving=metadata.leaving,
            limit_per_s=metadata.limit_per_s,
        )

    async def order_layers(
        self,
        address: str,
        layers: LayerRange,
        *,
        target_id: str,
        fence: int,
        expected: int,
    ) -> int:
        """Orders an engine to hold layers and returns the answer's status.

        Args:
            address: Address of the engine.
            layers: Layers that it shall hold.
            target_id: The engine; another one at the address refuses.
            fence: Fencing token of the control lease.
            expected: Number of orders that it has accepted so far.

        Raises:
            TargetPausedError: If the engine asked for a pause.
            RouterError: If there is no complete answer.
        """
        body = self.codec.encode_order(layers, fence=fence, expected=expected)
        head = self.codec.build_order(address, target_id)
        # A second answer to a query could be taken for the answer to the
        # order, and a second answer to the order for that to a query.
        answer, _ = await self.send(address, head, body, alone=True)
        return answer.status

    async def send(
        self,
        address: str,
        head: RequestHead,
        body: bytes,
        *,
        alone: bool = False,
    ) -> tuple[ResponseHead, bytes]:
        """Sends a request and returns the head and body of the answer.

        Args:
            address: The target.
            head: Head of the request.
            body: Body of the request.
            alone: Whether its connection carries no other request.

        Raises:
            TargetPausedError: If the target asked for a pause.
            RouterError: If there is no complete answer.
        """
        self.check_pause(address)
        connection = await self.pool.take(
            address,
            timeout_s=CONNECT_TIMEOUT_SECONDS,
            identifier=None,
            fresh=alone,
        )
        sink = CollectingSink(
            connection=connection,
            buffers=self.pool.buffers,
            max_bytes=MAX_ANSWER_BYTES,
            expects=self.is_unnamed,
        )
        try:
            connection.send(head, body, sink)
            if alone:
                connection.retire()
            await sink.done
            answer, data = sink.head, sink.body
            if not self.is_unnamed(answer):
                raise RouterError(
                    step="query target",
                    peer=address,
                    message="answer to another request",
                )
        finally:
            sink.release()
        pause_s = self.codec.read_answer(answer).pause_s
        if pause_s is not None:
            now = asyncio.get_running_loop().time()
            self.pauses[address] = now + min(pause_s, MAX_PAUSE_SECONDS)
        return answer, data

    def is_unnamed(self, head: ResponseHead) -> bool:
        """Returns whether a head may answer a query or an order.

        Neither has an identifier.
        """
        return not self.codec.read_answer(head).request_id

    def check_pause(self, address: str) -> None:
        """Checks that no pause of a target is running.

        Raises:
            TargetPausedError: If the target asked for a pause.
        """
        until = self.pauses.get(address, 0.0)
        if asyncio.get_running_loop().time() < until:
            raise TargetPausedError(
                step="query target",
                peer=address,
                message="target asked for a pause",
                until=until,
            )
        self.pauses.pop(address, None)
