"""Decides which targets load which models, versions, adapters and layers.

Only the holder of the control lease decides. Targets that ignore fencing
tokens get orders only when no order of an earlier holder can still arrive.
"""

import collections
from collections.abc import Callable
import dataclasses
from typing import Protocol

from rattanroute.actions import Action
from rattanroute.messages.orders import DemandReport
from rattanroute.systems.replicas import build_replicas
from rattanroute.systems.replicas import find_gap
from rattanroute.systems.replicas import Replicas
from rattanroute.tables.configurations import Configuration
from rattanroute.tables.placements import Order
from rattanroute.tables.placements import OrderKind
from rattanroute.tables.placements import PlacementTable
from rattanroute.tables.placements import SendOrder
from rattanroute.tables.targets import Target
from rattanroute.tables.targets import TargetTable

LEASE_SECONDS = 10.0
"""Longest time that an earlier holder may believe in its lease."""
CLOCK_DRIFT_SECONDS = 0.5
"""Bound on the drift of two clocks during one lease: 5%, far above that of
the clocks of common hosts, so that a suspended clock correction is covered."""
ORDER_FLIGHT_SECONDS = 3.0
"""Bound on the time between the check of the lease before a send and the
arrival at the target; the order client gives up a send after it."""
ORDER_EXPIRY_SECONDS = 5.0
LOAD_INTERVAL_SECONDS = 5.0
"""Least time between two loads; the weight store is rate-limited."""
DECISION_SECONDS = 0.5
"""Interval of decisions; each one reads all targets."""
MAX_LOADING = 2
LOAD_TIMEOUT_SECONDS = 120.0
"""Time after which a load without effect no longer counts as running."""
HIGH_UTILISATION = 0.8
LOW_UTILISATION = 0.5
"""A model gives a replica away only if it stays below this without it. The
distance to the upper bound keeps a replica from moving back and forth."""
HOLD_SECONDS = 30.0
"""Time for which a need must last before it is met."""
COOLDOWN_SECONDS = 300.0
"""Time after an order before its target gets another one."""
MAX_ADAPTERS = 8

LOADS = frozenset(
    {OrderKind.LOAD_VERSION, OrderKind.LOAD_ADAPTER, OrderKind.CHANGE_ROLE}
)


class ControlLease(Protocol):
    """The lease of the leader of the replicated log.

    Attributes:
        fencing_token: Grows with each holder.
        expires_at: End of the lease on the host's clock.
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
        configuration: Returns the configuration in force.
        eligible: Whether a target is healthy and stays.
        hold_seconds: Time for which a need must last before it is met.
        cooldown_seconds: Time after an order before its target gets another
            one.
        table: Orders and demand.
        token: Fencing token of the present tenure; None without the lease.
        acquired_at: Start of the present tenure.
        last_load_at: Time of the latest load.
        next_decision: Time of the next decision.
        needs: Start of each need that still lasts.
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
    needs: dict[tuple[str, ...], float] = dataclasses.field(
        default_factory=dict
    )
    count: int = 0
    next_decision: float = 0.0
    message_types: tuple[type, ...] = (DemandReport,)

    def receive(
        self, *, peer: str, message: DemandReport, now: float
    ) -> list[Action]:
        """Takes the demand of a VM."""
        self.table.record_demand(vm=peer, demands=message.demands, now=now)
        return []

    def tick(self, *, now: float) -> list[Action]:
        """Returns at most one order."""
        if now < self.next_decision:
            return []
        self.next_decision = now + DECISION_SECONDS
        if not self.lease.held(now):
            self.token = None
            self.needs.clear()
            return []
        if self.token != self.lease.fencing_token:
            self.token = self.lease.fencing_token
            self.acquired_at = now
        if not self.may_load(now):
            return []
        order = self.decide(now)
        if order is None:
            return []
        self.table.orders[order.target_id] = (order, now)
        if order.kind in LOADS:
            self.last_load_at = now
        return [SendOrder(order=order)]

    def may_load(self, now: float) -> bool:
        """Returns whether the weight store takes another load.

        A new holder does not know the loads of the one before, so it waits
        for one interval.
        """
        latest = max(self.last_load_at, self.acquired_at)
        loading = sum(
            order.kind in LOADS and self.pending(order, sent_at, now)
            for order, sent_at in self.table.orders.values()
        )
        return now - latest >= LOAD_INTERVAL_SECONDS and loading < MAX_LOADING

    def pending(self, order: Order, sent_at: float, now: float) -> bool:
        """Returns whether a load has neither had effect nor timed out."""
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

    def may_order(self, row: Target, now: float) -> bool:
        """Returns whether a target may get an order now."""
        if not self.eligible(row, now):
            return False
        known = self.table.orders.get(row.report.target_id)
        if known is not None and now - known[1] < self.cooldown_seconds:
            return False
        if row.report.checks_fencing:
            return True
        wait = LEASE_SECONDS + CLOCK_DRIFT_SECONDS + ORDER_FLIGHT_SECONDS
        return now - self.acquired_at >= wait

    def decide(self, now: float) -> Order | None:
        """Returns the most urgent order, if any is due."""
        configuration = self.configuration()
        demand = self.table.sum_demand(now)
        replicas = build_replicas(
            targets=[row for row in self.targets if self.eligible(row, now)],
            orders=self.orders_under_way(now),
            configuration=configuration,
            demand=demand,
        )
        return (
            self.place_versions(replicas, now)
            or self.close_gaps(configuration, now)
            or self.place_adapters(demand, now)
        )

    def orders_under_way(self, now: float) -> dict[str, Order]:
        """Returns the loads that have not yet had effect, by target."""
        return {
            target_id: order
            for target_id, (order, sent_at) in self.table.orders.items()
            if self.pending(order, sent_at, now)
        }

    def lasts(self, need: tuple[str, ...], present: bool, now: float) -> bool:
        """Returns whether a need has been present for long enough."""
        if not present:
            self.needs.pop(need, None)
            return False
        return now - self.needs.setdefault(need, now) >= self.hold_seconds

    def place_versions(self, replicas: Replicas, now: float) -> Order | None:
        """Gives the version that lacks most another replica."""
        lacking: list[tuple[float, tuple[str, str]]] = []
        for key, group in sorted(replicas.groups.items()):
            missing = group.count < group.wanted
            busy = group.utilisation > HIGH_UTILISATION
            present = bool(key[1] and group.wanted) and (missing or busy)
            if self.lasts(("version", *key), present, now):
                urgency = float("inf") if missing else group.utilisation
                lacking.append((urgency, key))
        for _, (model, version) in sorted(lacking, reverse=True):
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
        self, replicas: Replicas, key: tuple[str, str], now: float
    ) -> Target | None:
        """Returns the target that is missed least, if one may be taken."""
        choices: list[tuple[float, int, str, Target]] = []
        for held, group in replicas.groups.items():
            if held == key or not group.can_give(LOW_UTILISATION):
                continue
            for row in group.rows:
                if self.may_order(row, now):
                    report = row.report
                    load = report.running + report.queued
                    use = group.utilisation if group.wanted else -1.0
                    choices.append((use, load, report.target_id, row))
        return min(choices, key=lambda item: item[:3])[3] if choices else None

    def close_gaps(
        self, configuration: Configuration, now: float
    ) -> Order | None:
        """Gives a spare stage the layers that too few targets hold."""
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
            for target_id, order in self.orders_under_way(now).items()
            if order.kind is OrderKind.CHANGE_ROLE
        }
        for key, group in sorted(rows.items()):
            wanted = configuration.models[key[0]].min_replicas
            donors = [row for row in group if self.may_order(row, now)]
            found = find_gap(group, donors, orders, wanted)
            if self.lasts(("layers", *key), found is not None, now):
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
        """Loads a wanted adapter that no target holds, on the idlest one."""
        loading = {
            order.adapter for order in self.orders_under_way(now).values()
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
            if not self.lasts(("adapter", model, adapter), present, now):
                continue
            rows = [row for row in rows if self.may_order(row, now)]
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
        """Loads an adapter, or makes room by unloading an unused one."""
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
        """Builds an order that expires with the lease at the latest."""
        self.count += 1
        expiry = min(self.lease.expires_at, now + ORDER_EXPIRY_SECONDS)
        return Order(
            order_id=f"{self.token}-{self.count}",
            target_id=row.report.target_id,
            address=row.report.address,
            fencing_token=self.lease.fencing_token,
            expires_at=expiry,
            **values,
        )
