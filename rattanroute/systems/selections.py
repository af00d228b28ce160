"""Selection of the chain of one or several targets that runs a request."""

import dataclasses
import random as randoms
from typing import Protocol

from rattanroute.actions import Hop
from rattanroute.systems.quarantines import QuarantineSystem
from rattanroute.systems.routing import build_hop
from rattanroute.systems.routing import RoutingSystem
from rattanroute.tables.requests import Request
from rattanroute.tables.targets import Target
from rattanroute.tables.targets import TargetTable


class ChainPlanner(Protocol):
    """Plans chains of targets that each hold a range of a model's layers."""

    def plan(
        self, *, model: str, version: str, targets: TargetTable, now: float
    ) -> tuple[Hop, ...] | None:
        """Returns a chain over all layers, or None if there is none."""
        ...

    def replace(
        self,
        *,
        request: Request,
        failed_target_id: str,
        targets: TargetTable,
        now: float,
    ) -> tuple[Hop, ...] | None:
        """Returns hops for the layers of a failed target, or None."""
        ...


@dataclasses.dataclass(kw_only=True, slots=True)
class SelectionSystem:
    """Finds targets with free slots that quarantine allows for a request.

    Attributes:
        targets: All targets.
        routing: Chooses among the targets of a pool.
        quarantines: Restricts requests that may crash targets.
        planner: Plans chains of several targets; None if there are none.
        random: Source of randomness for sampling.
    """

    targets: TargetTable
    routing: RoutingSystem
    quarantines: QuarantineSystem
    planner: ChainPlanner | None
    random: randoms.Random

    def select(self, request: Request, now: float) -> tuple[Hop, ...] | None:
        """Returns a chain that can run a request now, or None."""
        if self.quarantines.is_suspect_running(request.fingerprint, now):
            return None
        if self.quarantines.is_before_turn(request.fingerprint, now):
            return None
        target = self.choose(request, now)
        if target is None:
            return self.plan(request, now)
        run = self.routing.run_seconds(request, target)
        if run > request.deadline - now:
            return None
        return (build_hop(target),)

    def choose(self, request: Request, now: float) -> Target | None:
        """Returns a target with a free slot that may run the request."""
        key = request.pool
        avoid = request.tried
        busy: set[str] = set()
        if self.quarantines.is_suspect(request.fingerprint):
            busy = self.quarantines.suspect_targets(request.fingerprint, now)
            avoid |= self.quarantines.crashed_targets(request.fingerprint)
        target = self.routing.choose(
            request, key=key, avoid=avoid | busy, now=now
        )
        if target is not None or not avoid:
            return target
        if not self.routing.has_usable_target(key, avoid, now):
            # Targets that failed the request may run it again only if there
            # is no other.
            avoid = set()
            target = self.routing.choose(request, key=key, avoid=busy, now=now)
        shared = busy and self.quarantines.may_share_target(
            request.fingerprint, now
        )
        if target is None and shared:
            avoid = avoid | self.quarantines.likely_cause_targets(now)
            target = self.routing.choose(request, key=key, avoid=avoid, now=now)
        return target

    def hedge_target(self, request: Request, now: float) -> Target | None:
        """Returns a second target for a late request, or None."""
        if self.quarantines.is_suspect(request.fingerprint):
            return None
        return self.routing.choose(
            request, key=request.pool, avoid=request.tried, now=now
        )

    def replacement(
        self, request: Request, *, failed_target_id: str, now: float
    ) -> tuple[Hop, ...] | None:
        """Returns hops for a failed stage of the latest chain, or None."""
        if self.planner is None or len(request.attempts[-1].chain) < 2:
            return None
        if self.quarantines.is_suspect_running(request.fingerprint, now):
            return None
        return self.planner.replace(
            request=request,
            failed_target_id=failed_target_id,
            targets=self.targets,
            now=now,
        )

    def is_known(self, request: Request) -> bool:
        """Returns whether any target holds the model that a request needs."""
        if self.targets.pool(request.pool) is not None:
            return True
        return self.planner is not None and (
            request.model in self.targets.partial_targets
        )

    def plan(self, request: Request, now: float) -> tuple[Hop, ...] | None:
        """Returns a chain whose targets all have a free slot, or None."""
        chain = self.plan_ignoring_slots(request, now)
        for hop in chain or ():
            row = self.targets.get(hop.target_id)
            if row is None or row.load >= row.report.slots:
                return None
        return chain

    def plan_ignoring_slots(
        self, request: Request, now: float
    ) -> tuple[Hop, ...] | None:
        """Returns a chain over layer ranges, ignoring slots, or None."""
        if (
            self.planner is None
            or request.model not in self.targets.partial_targets
        ):
            return None
        return self.planner.plan(
            model=request.model,
            version=request.pool.version,
            targets=self.targets,
            now=now,
        )

    def is_servable(self, request: Request, now: float) -> bool:
        """Returns whether some target may run a request, ignoring slots."""
        return (
            self.routing.has_usable_target(request.pool, frozenset(), now)
            or self.plan_ignoring_slots(request, now) is not None
        )

    def run_seconds(self, request: Request) -> float:
        """Returns the expected duration of a request in a slot, in seconds."""
        pool = self.targets.pool(request.pool)
        if pool is not None:
            row = pool.members.pick(self.random)
            return self.routing.run_seconds(request, row)
        partial_targets = self.targets.partial_targets.get(request.model)
        if not partial_targets:
            return 0.0
        return self.routing.run_seconds(
            request, next(iter(partial_targets.values()))
        )
