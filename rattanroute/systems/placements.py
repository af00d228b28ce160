"""Decides which targets load which models, versions, adapters and layers.

Only the holder of the control lease decides. Targets that do not check fencing
tokens get orders only once no order of an earlier holder can still arrive.
"""

import collections
from collections.abc import Callable
import dataclasses
from typing import Protocol

from rattanroute.actions import Action
from rattanroute.messages.orders import DemandReport
from rattanroute.systems.replica_groups import build_replica_groups
from rattanroute.systems.replica_groups import find_missing_layers
from rattanroute.systems.replica_groups import ReplicaGroups
from rattanroute.tables.configurations import Configuration
from rattanroute.tables.placements import Order
from rattanroute.tables.placements import OrderKind
from rattanroute.tables.placements import PlacementTable
from rattanroute.tables.placements import SendOrder
from rattanroute.tables.targets import Target
from rattanroute.tables.targets import TargetTable

LEASE_SECONDS = 10.0
"""Longest time for which an earlier holder may consider its lease valid."""
CLOCK_DRIFT_SECONDS = 0.5
"""Upper bound on the drift between two clocks during one lease. 5% is far above
the drift of common host clocks, so it covers suspended clock correction."""
ORDER_FLIGHT_SECONDS = 3.0
"""Upper bound on the time from the lease check before a send to the arrival at
the target. The order client abandons a send after this time."""
ORDER_EXPIRY_SECONDS = 5.0
LOAD_INTERVAL_SECONDS = 5.0
"""Shortest time between two loads; the weight store is rate-limited."""
DECISION_SECONDS = 0.5
"""Interval between decisions; each one reads all targets."""
MAX_CONCURRENT_LOADS = 2
LOAD_TIMEOUT_SECONDS = 120.0
"""Time after which a load without effect no longer counts as pending."""
HIGH_UTILISATION = 0.8
LOW_UTILISATION = 0.5
"""A model may lose a replica only if its utilisation without it is at most
this. The distance to HIGH_UTILISATION prevents a replica from moving back and
forth."""
HOLD_SECONDS = 30.0
"""Time for which a need must persist before an order is sent for it."""
COOLDOWN_SECONDS = 300.0
"""Time after an order during which its target gets no other one."""
MAX_ADAPTERS = 8

LOAD_KINDS = frozenset(
    {OrderKind.LOAD_VERSION, OrderKind.LOAD_ADAPTER, OrderKind.CHANGE_ROLE}
)


class ControlLease(Protocol):
    """Lease of the replicated log's leader; its holder may send orders.

    Attributes:
        fencing_token: Number that increases with each holder.
        expires_at: End of the lease on the host's clock, in seconds.
    """

    fencing_token: int
    expires_at: float

    def held(self, now: float) -> bool:
        """Returns whether this VM holds the lease at a time."""
        ...


@dataclasses.dataclass(kw_only=True, slots=True)
class PlacementSystem:
    """Places models on targets within the limits of the weight store.

    Attributes:
        lease: The control lease.
        targets: Known targets.
        configuration: Returns the current configuration.
        eligible: Returns whether a target is healthy and not leaving.
        hold_seconds: Time for which a need must persist before an order is
            sent for it.
        cooldown_seconds: Time after an order during which its target gets no
            other one.
        table: Sent orders and reported demand.
        token: Fencing token of the lease that this VM holds; None without the
            lease.
        acquired_at: Time at which this VM acquired the lease.
        last_load_at: Time of the latest order that loads something.
        needed_since: Start of each need that persists.
        order_count: Number of orders built; part of the order ID.
        next_decision: Time of the next decision.
        message_types: Types of the messages that `receive` accepts.
    """

    lease: ControlLease
    targets: TargetTable
    configuration: Callable[[], Configuration]
    eligible: Callable[[Target, float], bool]
    hold_seconds: float = HOLD_SECONDS
    cooldown_seconds: float = COOLDOWN_SECONDS
    table: PlacementTable = dataclasses.field(default_factory=PlacementTable)
    token: int | None = None
    acquired_at: float = 0.0
    last_load_at: float = float("-inf")
    needed_since: dict[tuple[str, ...], float] = dataclasses.field(
        default_factory=dict
    )
    order_count: int = 0
    next_decision: float = 0.0
    message_types: tuple[type, ...] = (DemandReport,)

    def receive(
        self, *, peer: str, message: DemandReport, now: float
    ) -> list[Action]:
        """Records the demand reported by a VM."""
        self.table.record_demand(vm=peer, demands=message.demands, now=now)
        return []

    def tick(self, *, now: float) -> list[Action]:
        """Decides when it is due and returns at most one order."""
        if now < self.next_decision:
            return []
        self.next_decision = now + DECISION_SECONDS
        if not self.lease.held(now):
            self.token = None
            self.needed_since.clear()
            return []
        if self.token != self.lease.fencing_token:
            self.token = self.lease.fencing_token
            self.acquired_at = now
        if not self.is_load_allowed(now):
            return []
        order = self.choose_order(now)
        if order is None:
            return []
        self.table.orders[order.target_id] = (order, now)
        if order.kind in LOAD_KINDS:
            self.last_load_at = now
        return [SendOrder(order=order)]

    def is_load_allowed(self, now: float) -> bool:
        """Returns whether the rate limits allow another load.

        A new lease holder does not know when the previous one ordered a load,
        so it waits for one interval first.
        """
        latest = max(self.last_load_at, self.acquired_at)
        loading = sum(
            order.kind in LOAD_KINDS and self.is_pending(order, sent_at, now)
            for order, sent_at in self.table.orders.values()
        )
        return (
            now - latest >= LOAD_INTERVAL_SECONDS
            and loading < MAX_CONCURRENT_LOADS
        )

    def is_pending(self, order: Order, sent_at: float, now: float) -> bool:
        """Returns whether a load has neither taken effect nor timed out."""
        if now - sent_at > LOAD_TIMEOUT_SECONDS:
            return False
        row = self.targets.get(order.target_id)
        if row is None:
            return False
        report = row.report
        match order.kind:
            case OrderKind.LOAD_VERSION:
                held = (report.model, report.version)
                return held != (order.model, order.version)
            case OrderKind.LOAD_ADAPTER:
                return order.adapter not in report.adapters
            case OrderKind.CHANGE_ROLE:
                layers = (report.first_layer, report.last_layer)
                return layers != (order.first_layer, order.last_layer)
        return False

    def is_order_allowed(self, row: Target, now: float) -> bool:
        """Returns whether a target may get an order now."""
        if not self.eligible(row, now):
            return False
        known = self.table.orders.get(row.report.target_id)
        if known is not None and now - known[1] < self.cooldown_seconds:
            return False
        if row.report.checks_fencing:
            return True
        lease_wait = LEASE_SECONDS + CLOCK_DRIFT_SECONDS + ORDER_FLIGHT_SECONDS
        return now - self.acquired_at >= lease_wait

    def choose_order(self, now: float) -> Order | None:
        """Returns the most urgent order, or None when none is due."""
        configuration = self.configuration()
        demand = self.table.sum_demand(now)
        replicas = build_replica_groups(
            targets=[row for row in self.targets if self.eligible(row, now)],
            orders=self.list_pending_orders(now),
            configuration=configuration,
            demand=demand,
        )
        return (
            self.place_versions(replicas, now)
            or self.cover_missing_layers(configuration, now)
            or self.place_adapters(demand, now)
        )

    def list_pending_orders(self, now: float) -> dict[str, Order]:
        """Returns the loads that have not taken effect yet, by target."""
        return {
            target_id: order
            for target_id, (order, sent_at) in self.table.orders.items()
            if self.is_pending(order, sent_at, now)
        }

    def has_persisted(
        self, need: tuple[str, ...], present: bool, now: float
    ) -> bool:
        """Returns whether a need has persisted for the hold time.

        Args:
            need: Key of the need.
            present: Whether the need exists now.
            now: Time on the host's clock, in seconds.
        """
        if not present:
            self.needed_since.pop(need, None)
            return False
        return (
            now - self.needed_since.setdefault(need, now) >= self.hold_seconds
        )

    def place_versions(
        self, replicas: ReplicaGroups, now: float
    ) -> Order | None:
        """Returns an order for a replica of the version that needs it most."""
        shortages: list[tuple[float, tuple[str, str]]] = []
        for key, group in sorted(replicas.groups.items()):
            missing = group.count < group.wanted
            busy = group.utilisation > HIGH_UTILISATION
            present = bool(key[1] and group.wanted) and (missing or busy)
            if self.has_persisted(("version", *key), present, now):
                urgency = float("inf") if missing else group.utilisation
                shortages.append((urgency, key))
        for _, (model, version) in sorted(shortages, reverse=True):
            donor = self.find_donor(replicas, (model, version), now)
            if donor is not None:
                return self.build_order(
                    donor,
                    now,
                    kind=OrderKind.LOAD_VERSION,
                    model=model,
                    version=version,
                )
        return None

    def find_donor(
        self, replicas: ReplicaGroups, key: tuple[str, str], now: float
    ) -> Target | None:
        """Returns the target whose replica is least needed, or None."""
        choices: list[tuple[float, int, str, Target]] = []
        for held, group in replicas.groups.items():
            if held == key or not group.has_spare_replica(LOW_UTILISATION):
                continue
            for row in group.rows:
                if self.is_order_allowed(row, now):
                    report = row.report
                    load = report.running + report.queued
                    use = group.utilisation if group.wanted else -1.0
                    choices.append((use, load, report.target_id, row))
        return min(choices, key=lambda item: item[:3])[3] if choices else None

    def cover_missing_layers(
        self, configuration: Configuration, now: float
    ) -> Order | None:
        """Orders a spare target to hold layers that too few targets hold."""
        rows: dict[tuple[str, str], list[Target]]
        rows = collections.defaultdict(list)
        for row in self.targets:
            report = row.report
            known = report.model in configuration.models
            if (
                known
                and not row.report.holds_all_layers
                and self.eligible(row, now)
            ):
                rows[report.model, report.version].append(row)
        orders = {
            target_id: order
            for target_id, order in self.list_pending_orders(now).items()
            if order.kind is OrderKind.CHANGE_ROLE
        }
        for key, group in sorted(rows.items()):
            wanted = configuration.models[key[0]].min_replicas
            donors = [row for row in group if self.is_order_allowed(row, now)]
            found = find_missing_layers(group, donors, orders, wanted)
            if self.has_persisted(("layers", *key), found is not None, now):
                row, first, last = found
                return self.build_order(
                    row,
                    now,
                    kind=OrderKind.CHANGE_ROLE,
                    first_layer=first,
                    last_layer=last,
                )
        return None

    def place_adapters(
        self, demand: dict[tuple[str, str, str], float], now: float
    ) -> Order | None:
        """Loads a requested adapter that no target holds on the idlest one."""
        loading = {
            order.adapter for order in self.list_pending_orders(now).values()
        }
        for (model, _, adapter), speed in sorted(demand.items()):
            if not adapter or adapter in loading:
                continue
            rows = [
                row
                for row in self.targets.serving(model)
                if self.eligible(row, now)
            ]
            held = any(adapter in row.report.adapters for row in rows)
            present = speed > 0 and not held
            if not self.has_persisted(
                ("adapter", model, adapter), present, now
            ):
                continue
            rows = [row for row in rows if self.is_order_allowed(row, now)]
            if rows:
                row = min(
                    rows,
                    key=lambda row: (row.report.running, row.report.target_id),
                )
                return self.order_adapter(row, adapter, demand, now)
        return None

    def order_adapter(
        self,
        row: Target,
        adapter: str,
        demand: dict[tuple[str, str, str], float],
        now: float,
    ) -> Order | None:
        """Returns an order that loads an adapter or makes room for it.

        Args:
            row: The target.
            adapter: Adapter to load.
            demand: Tokens per second by model, version and adapter.
            now: Time on the host's clock, in seconds.

        Returns:
            An order to load the adapter. If the target already holds the most
            adapters, an order to unload an unused one; None when all are used.
        """
        held = row.report.adapters
        if len(held) < MAX_ADAPTERS:
            return self.build_order(
                row, now, kind=OrderKind.LOAD_ADAPTER, adapter=adapter
            )
        used = {key[2] for key, speed in demand.items() if speed > 0}
        unused = sorted(set(held) - used)
        if not unused:
            return None
        return self.build_order(
            row, now, kind=OrderKind.UNLOAD_ADAPTER, adapter=unused[0]
        )

    def build_order(self, row: Target, now: float, **values: object) -> Order:
        """Builds an order that expires no later than the lease."""
        self.order_count += 1
        expiry = min(self.lease.expires_at, now + ORDER_EXPIRY_SECONDS)
        return Order(
            order_id=f"{self.token}-{self.order_count}",
            target_id=row.report.target_id,
            address=row.report.address,
            fencing_token=self.lease.fencing_token,
            expires_at=expiry,
            **values,
        )
