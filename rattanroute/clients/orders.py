"""Sends placement orders to targets while this VM holds the control lease."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import dataclasses
import time

import aiohttp
import msgspec

from rattanroute.clients.engines import EXCHANGE_ERRORS
from rattanroute.clients.failures import describe_error
from rattanroute.systems.placements import ControlLease
from rattanroute.systems.placements import ORDER_FLIGHT_SECONDS
from rattanroute.tables.placements import Order

MAX_ANSWER_BYTES = 4096


class LeaseLostError(Exception):
    """Raised when the lease or the order expired before it was sent."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OrderOutcome:
    """The result of sending an order.

    Attributes:
        order: The order.
        accepted: Whether the target accepted it.
        sent: Whether the order may have reached the target.
        reason: Why the order was not accepted; empty if it was.
    """

    order: Order
    accepted: bool
    sent: bool = True
    reason: str = ""


class OrderClient:
    """Sends each order at most once.

    The connections of its session must serve one order each, as nothing tells
    a second answer to an earlier order from the answer to this one.

    The lease is checked again when the connection is open, immediately before
    the body is written: a process that was frozen after its decision sends
    nothing when it resumes.
    """

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        lease: ControlLease,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.session = session
        self.lease = lease
        self.clock = clock

    def check(self, order: Order) -> None:
        """Checks that the lease and the order are still valid.

        Raises:
            LeaseLostError: If the order must not be sent.
        """
        now = self.clock()
        if not self.lease.held(now):
            raise LeaseLostError("the control lease is not held")
        if self.lease.fencing_token != order.fencing_token:
            raise LeaseLostError("the order belongs to an earlier lease")
        if now >= min(order.expires_at, self.lease.expires_at):
            raise LeaseLostError("the order has expired")

    async def send(self, order: Order) -> OrderOutcome:
        """Sends an order and returns its outcome."""
        sent: list[bool] = []
        try:
            self.check(order)
            async with asyncio.timeout(ORDER_FLIGHT_SECONDS):
                return await self.exchange(order, sent)
        except LeaseLostError as error:
            reason = str(error)
        except EXCHANGE_ERRORS as error:
            cause = error.__cause__ or error
            reason = describe_error(cause)
        return OrderOutcome(
            order=order, accepted=False, sent=bool(sent), reason=reason
        )

    async def exchange(self, order: Order, sent: list[bool]) -> OrderOutcome:
        """Posts the order and reads the response."""
        async with self.session.post(
            f"{order.address}/v1/orders",
            data=self.write_body(order, sent),
            headers={"Content-Type": "application/json"},
            allow_redirects=False,
        ) as answer:
            text = (await answer.content.read(MAX_ANSWER_BYTES)).decode(
                errors="replace"
            )
            accepted = answer.status == 200
            reason = "" if accepted else f"status {answer.status}: {text}"
            return OrderOutcome(order=order, accepted=accepted, reason=reason)

    async def write_body(
        self, order: Order, sent: list[bool]
    ) -> AsyncIterator[bytes]:
        """Yields the body after a last check of the lease.

        An error here leaves the request incomplete; targets do not execute an
        incomplete order.
        """
        self.check(order)
        sent.append(True)
        yield encode_order(order, self.clock())


def encode_order(order: Order, now: float) -> bytes:
    """Encodes an order with its expiry as Unix time in milliseconds."""
    left = order.expires_at - now
    return msgspec.json.encode(
        {
            "order_id": order.order_id,
            "fencing_token": order.fencing_token,
            "expires_at_ms": int((time.time() + left) * 1000),
            "action": order.kind,
            "model": order.model,
            "version": order.version,
            "adapter": order.adapter,
            "first_layer": order.first_layer,
            "last_layer": order.last_layer,
        }
    )
