"""Orders that a stand-in engine takes."""

import asyncio
import time
from typing import TYPE_CHECKING

from aiohttp import web
import msgspec

from rattanroute.standins.hosts import error_response
from rattanroute.standins.hosts import json_response

if TYPE_CHECKING:
    from rattanroute.standins.engine import EngineHost


class OrderBody(msgspec.Struct, kw_only=True):
    """Body of `POST /v1/orders`.

    Attributes:
        order_id: Identifier; a repeated order has no second effect.
        fencing_token: Grows with each holder of the control lease.
        expires_at_ms: Unix time after which the order is void.
        action: One of load_version, unload_version, load_adapter,
            unload_adapter and change_role.
        model: Model to load; empty for the one held.
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
    """An order that arrived.

    Attributes:
        order: The order.
        received_at: Time of arrival on the monotonic clock of the host.
        accepted: Whether it was put into effect.
    """

    order: OrderBody
    received_at: float
    accepted: bool = False


class OrderHandler:
    """Handles `POST /v1/orders`.

    Attributes:
        highest_token: Highest fencing token seen.
        done: Identifiers of orders already taken.
        received: Every order that arrived, refused ones included.
    """

    def __init__(self, host: "EngineHost") -> None:
        self.host = host
        self.highest_token = 0
        self.done: set[str] = set()
        self.received: list[ReceivedOrder] = []
        self.lock = asyncio.Lock()
        self.tasks: set[asyncio.Task[None]] = set()

    async def handle(self, request: web.Request) -> web.Response:
        """Checks an order and answers; loads go on in the background."""
        try:
            order = msgspec.json.decode(await request.read(), type=OrderBody)
        except msgspec.DecodeError:
            return error_response(400, "invalid_order")
        received = ReceivedOrder(order=order, received_at=time.monotonic())
        self.received.append(received)
        if order.expires_at_ms <= time.time() * 1000:
            return error_response(410, "expired_order")
        if self.host.settings.checks_fencing:
            if order.fencing_token < self.highest_token:
                return error_response(409, "outdated_fencing_token")
            self.highest_token = order.fencing_token
        if order.order_id in self.done:
            return json_response({"accepted": True, "repeated": True})
        self.done.add(order.order_id)
        received.accepted = True
        self.host.executions.append(
            ("order", order.fencing_token, order.action, order.order_id)
        )
        task = asyncio.create_task(self.execute(order))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return json_response({"accepted": True, "repeated": False})

    async def get_received(self, request: web.Request) -> web.Response:
        """Answers with every order that arrived, oldest first."""
        return json_response({"orders": msgspec.to_builtins(self.received)})

    async def execute(self, order: OrderBody) -> None:
        """Executes orders one by one; loads take the weight store's time."""
        async with self.lock:
            await self.load(order)

    async def load(self, order: OrderBody) -> None:
        """Puts one order into effect."""
        host = self.host
        if order.action in ("load_version", "load_adapter", "change_role"):
            await asyncio.sleep(host.settings.load_seconds)
        match order.action:
            case "load_version":
                host.model = order.model or host.model
                host.version = order.version
            case "unload_version":
                if host.version == order.version:
                    host.version = ""
            case "load_adapter":
                host.adapters.add(order.adapter)
            case "unload_adapter":
                host.adapters.discard(order.adapter)
            case "change_role":
                host.first_layer = order.first_layer
                host.last_layer = order.last_layer
