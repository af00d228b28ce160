"""Handling of orders that change what a stand-in engine holds."""

import asyncio
import time
from typing import TYPE_CHECKING

from aiohttp import web
import msgspec

from rattanroute.standins.servers import error_response
from rattanroute.standins.servers import json_response

if TYPE_CHECKING:
    from rattanroute.standins.engine import StandinEngine


class OrderBody(msgspec.Struct, kw_only=True):
    """Body of `POST /v1/orders`.

    Attributes:
        order_id: Identifier; a repeated order takes effect only once.
        fencing_token: Fencing token; increases with each new holder of the
            control lease.
        expires_at_ms: Unix time in milliseconds from which the order is
            refused.
        action: One of load_version, unload_version, load_adapter,
            unload_adapter and change_role.
        model: Model to load; empty for the loaded one.
        version: Model version to load or unload.
        adapter: Adapter to load or unload.
        first_layer: First layer of the new role.
        last_layer: Last layer of the new role, inclusive.
    """

    order_id: str
    fencing_token: int
    expires_at_ms: int
    action: str
    model: str = ""
    version: str = ""
    adapter: str = ""
    first_layer: int = 0
    last_layer: int = 0


class ReceivedOrder(msgspec.Struct, kw_only=True):
    """A received order.

    Attributes:
        order: The order.
        received_at: Arrival time, in seconds of the monotonic clock.
        accepted: Whether the order was accepted for execution.
    """

    order: OrderBody
    received_at: float
    accepted: bool = False


class OrderHandler:
    """Handles `POST /v1/orders`.

    Attributes:
        highest_fencing_token: Highest fencing token received so far.
        accepted_ids: Identifiers of accepted orders.
        received: All received orders, refused ones included.
        lock: Held while an order is executed.
        tasks: Running executions.
    """

    def __init__(self, engine: "StandinEngine") -> None:
        self.engine = engine
        self.highest_fencing_token = 0
        self.accepted_ids: set[str] = set()
        self.received: list[ReceivedOrder] = []
        self.lock = asyncio.Lock()
        self.tasks: set[asyncio.Task[None]] = set()

    async def handle(self, request: web.Request) -> web.Response:
        """Validates an order, answers, and executes it in the background."""
        try:
            order = msgspec.json.decode(await request.read(), type=OrderBody)
        except msgspec.DecodeError:
            return error_response(400, "invalid_order")
        received = ReceivedOrder(order=order, received_at=time.monotonic())
        self.received.append(received)
        if order.expires_at_ms <= time.time() * 1000:
            return error_response(410, "expired_order")
        if self.engine.settings.checks_fencing:
            if order.fencing_token < self.highest_fencing_token:
                return error_response(409, "outdated_fencing_token")
            self.highest_fencing_token = order.fencing_token
        if order.order_id in self.accepted_ids:
            return json_response({"accepted": True, "repeated": True})
        self.accepted_ids.add(order.order_id)
        received.accepted = True
        self.engine.executions.append(
            ("order", order.fencing_token, order.action, order.order_id)
        )
        task = asyncio.create_task(self.execute(order))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return json_response({"accepted": True, "repeated": False})

    async def get_received(self, request: web.Request) -> web.Response:
        """Answers with all received orders, oldest first."""
        return json_response({"orders": msgspec.to_builtins(self.received)})

    async def execute(self, order: OrderBody) -> None:
        """Executes an order after all earlier ones have ended."""
        async with self.lock:
            await self.apply(order)

    async def apply(self, order: OrderBody) -> None:
        """Applies an order; loading takes the time of the weight store."""
        engine = self.engine
        if order.action in ("load_version", "load_adapter", "change_role"):
            await asyncio.sleep(engine.settings.load_seconds)
        match order.action:
            case "load_version":
                engine.model = order.model or engine.model
                engine.version = order.version
            case "unload_version":
                if engine.version == order.version:
                    engine.version = ""
            case "load_adapter":
                engine.adapters.add(order.adapter)
            case "unload_adapter":
                engine.adapters.discard(order.adapter)
            case "change_role":
                engine.first_layer = order.first_layer
                engine.last_layer = order.last_layer
