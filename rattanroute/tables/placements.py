"""Placement orders sent to targets, and the demand that they serve."""

import collections
import dataclasses
import enum

from rattanroute.messages.orders import Demand

DEMAND_EXPIRY_S = 10.0
"""Age after which a VM's demand report no longer counts."""


class OrderKind(enum.StrEnum):
    """The operation that an order requests."""

    LOAD_VERSION = "load_version"
    UNLOAD_VERSION = "unload_version"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    CHANGE_ROLE = "change_role"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Order:
    """An order to one target.

    Attributes:
        order_id: Identifier; orders are idempotent by it.
        target_id: The target.
        address: Base URL of the target.
        kind: The requested operation.
        fencing_token: Fencing token of the control lease of its sender.
        expires_at: Time after which the order is invalid, in seconds of the
            host's clock.
        model: Model to load.
        version: Version to load or unload.
        adapter: Adapter to load or unload.
        first_layer: First layer of the new role.
        last_layer: Last layer of the new role, inclusive.
    """

    order_id: str
    target_id: str
    address: str
    kind: OrderKind
    fencing_token: int
    expires_at: float
    model: str = ""
    version: str = ""
    adapter: str = ""
    first_layer: int = 0
    last_layer: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SendOrder:
    """Action: send an order to its target."""

    order: Order


@dataclasses.dataclass(kw_only=True, slots=True)
class PlacementTable:
    """Orders by target and demand by VM.

    Attributes:
        orders: Latest order to each target, with the time of sending.
        demands: Latest demand of each VM, with the time of its arrival.
    """

    orders: dict[str, tuple[Order, float]] = dataclasses.field(
        default_factory=dict
    )
    demands: dict[str, tuple[tuple[Demand, ...], float]] = dataclasses.field(
        default_factory=dict
    )

    def record_demand(
        self, *, vm: str, demands: tuple[Demand, ...], now: float
    ) -> None:
        """Stores the latest demand of a VM."""
        self.demands[vm] = (demands, now)

    def sum_demand(self, now: float) -> dict[tuple[str, str, str], float]:
        """Returns the current demand by model, version and adapter.

        Demand is in tokens per second; expired reports are skipped.
        """
        sums: dict[tuple[str, str, str], float] = collections.defaultdict(float)
        for demands, received_at in self.demands.values():
            if now - received_at > DEMAND_EXPIRY_S:
                continue
            for item in demands:
                key = (item.model, item.version, item.adapter)
                sums[key] += item.tokens_per_second
        return sums
