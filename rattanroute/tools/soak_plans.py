"""Fault plans of a soak, derived from a seed."""

from collections.abc import Sequence
import dataclasses
import enum
import random as randoms

from rattanroute.platform.trial_deployments import Machine
from rattanroute.tools.proxies import Direction
from rattanroute.tools.proxies import Fault
from rattanroute.tools.proxies import FaultKind

# Time after a fault until a core machine has caught up. Faults of the core are
# planned so that at most one core machine is unavailable at a time.
CATCH_UP_SECONDS = 4.0
FIRST_FAULT_SECONDS = 1.0
LAST_FAULT_SECONDS = 2.0
MIN_FAULTS = 7
MAX_FAULTS = 14
MIN_FAULT_SECONDS = 0.3
MAX_FAULT_SECONDS = 3.0
FINAL_FAULT_PROBABILITY = 0.5
DELAY_SECONDS = 0.08


class Action(enum.StrEnum):
    """Kinds of planned faults of processes and links."""

    FREEZE = "freeze"
    KILL = "kill"
    STOP = "stop"
    RELOAD = "reload"
    ROLL = "roll"
    LOSE_DISK = "lose_disk"
    REFUSE_WRITES = "refuse_writes"
    LINKS = "links"


# Work that operators plan; it must not interrupt a request.
PLANNED_ACTIONS = frozenset({Action.RELOAD, Action.ROLL, Action.STOP})


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RepeatedSignal:
    """A signal to a process that is stopping.

    Attributes:
        after_s: Seconds after the first SIGTERM.
        action: RELOAD for SIGHUP, STOP for another SIGTERM.
    """

    after_s: float
    action: Action


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlannedFault:
    """One fault of a plan.

    Attributes:
        at: Start, in seconds after the start of the traffic.
        seconds: Duration; for a kill or a stop, the time until the restart.
        action: Kind of the fault.
        subjects: Names of the affected processes.
        faults: Faults of the proxy, for LINKS.
        repeated_signals: Further signals during the stop, for STOP.
        needs_start: Whether a process that may not have finished its start is
            left alone, for RELOAD.
    """

    at: float
    seconds: float
    action: Action
    subjects: tuple[str, ...]
    faults: tuple[Fault, ...] = ()
    repeated_signals: tuple[RepeatedSignal, ...] = ()
    needs_start: bool = False

    @property
    def end(self) -> float:
        """End, in seconds after the start of the traffic."""
        return self.at + self.seconds


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SoakPlan:
    """All faults of a soak, ordered by start time.

    Attributes:
        seed: Seed of the plan.
        seconds: Duration of the traffic before the final fault.
        faults: The faults.
        final_fault: Whether all machines are killed at the end.
    """

    seed: int
    seconds: float
    faults: tuple[PlannedFault, ...]
    final_fault: bool


def plan_soak(
    seed: int,
    *,
    machines: Sequence[Machine],
    replicas: Sequence[str],
    seconds: float,
) -> SoakPlan:
    """Returns the plan of a seed."""
    planner = FaultPlanner(
        random=randoms.Random(seed),
        machines=machines,
        replicas=replicas,
        seconds=seconds,
    )
    count = planner.random.randint(MIN_FAULTS, MAX_FAULTS)
    drawn = [planner.draw_fault() for _ in range(count)]
    faults = sorted((x for x in drawn if x), key=lambda x: x.at)
    return SoakPlan(
        seed=seed,
        seconds=seconds,
        faults=tuple(faults),
        final_fault=planner.random.random() < FINAL_FAULT_PROBABILITY,
    )


@dataclasses.dataclass(kw_only=True)
class FaultPlanner:
    """Draws random faults; those of the core do not overlap.

    Attributes:
        random: Random number generator.
        machines: All machines.
        replicas: Names of the replicas.
        seconds: Duration of the traffic.
        core_outages: Start and end of the times during which a core machine is
            unavailable or catching up.
    """

    random: randoms.Random
    machines: Sequence[Machine]
    replicas: Sequence[str]
    seconds: float
    core_outages: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )

    def draw_fault(self) -> PlannedFault | None:
        """Returns a fault, or None if it overlaps another core outage."""
        latest = self.seconds - LAST_FAULT_SECONDS
        at = self.random.uniform(FIRST_FAULT_SECONDS, latest)
        seconds = self.random.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
        draw = self.random.choice(
            (
                self.draw_front,
                self.draw_front,
                self.draw_replica,
                self.draw_replica,
                self.draw_core,
                self.draw_link,
                self.draw_link,
            )
        )
        fault = draw(at, seconds)
        if fault is None or not self.affects_core(fault):
            return fault
        outage = (fault.at, fault.end + CATCH_UP_SECONDS)
        if any(
            start < outage[1] and outage[0] < end
            for start, end in self.core_outages
        ):
            return None
        self.core_outages.append(outage)
        return fault

    def affects_core(self, fault: PlannedFault) -> bool:
        """Returns whether a fault affects a core machine."""
        core = {x.name for x in self.machines if x.core}
        return not core.isdisjoint(fault.subjects)

    def choose_machine(self, *, core: bool) -> str:
        """Returns the name of a random core or front machine."""
        return self.random.choice(
            [x.name for x in self.machines if x.core is core]
        )

    def draw_front(self, at: float, seconds: float) -> PlannedFault:
        """Returns a fault of one front, or a rolling restart of a zone."""
        action = self.random.choice(
            (
                Action.FREEZE,
                Action.KILL,
                Action.STOP,
                Action.RELOAD,
                Action.ROLL,
            )
        )
        subjects = (self.choose_machine(core=False),)
        if action is Action.ROLL:
            zone = self.random.choice(sorted({x.zone for x in self.machines}))
            subjects = tuple(
                x.name for x in self.machines if x.zone == zone and not x.core
            )
        return PlannedFault(
            at=at, seconds=seconds, action=action, subjects=subjects
        )

    def draw_replica(self, at: float, seconds: float) -> PlannedFault:
        """Returns a fault of a replica."""
        action = self.random.choice((Action.FREEZE, Action.KILL, Action.STOP))
        subjects = (self.random.choice(self.replicas),)
        return PlannedFault(
            at=at, seconds=seconds, action=action, subjects=subjects
        )

    def draw_core(self, at: float, seconds: float) -> PlannedFault:
        """Returns a fault of a core machine or of its disk."""
        action = self.random.choice(
            (
                Action.FREEZE,
                Action.KILL,
                Action.STOP,
                Action.LOSE_DISK,
                Action.REFUSE_WRITES,
            )
        )
        return PlannedFault(
            at=at,
            seconds=seconds,
            action=action,
            subjects=(self.choose_machine(core=True),),
        )

    def draw_link(self, at: float, seconds: float) -> PlannedFault:
        """Returns a link fault of a zone, a front or a replica."""
        kind = self.random.choice(
            (FaultKind.DELAY, FaultKind.RESET, FaultKind.HOLD)
        )
        direction = self.random.choice(tuple(Direction))
        scope = self.random.choice(("peer", "target", "zone"))
        if scope == "target":
            name = self.random.choice(self.replicas)
            routes, subjects = (f"target:{name}",), (name,)
        elif scope == "peer":
            name = self.choose_machine(core=False)
            routes, subjects = (f"peer:{name}:*",), (name,)
        else:
            zone = self.random.choice(sorted({x.zone for x in self.machines}))
            routes = (
                f"peer:{zone}-*",
                f"peer:*:{zone}-*",
                f"control:{zone}-*",
            )
            subjects = tuple(x.name for x in self.machines if x.zone == zone)
        faults = tuple(
            Fault(
                route=route,
                kind=kind,
                direction=direction,
                seconds=DELAY_SECONDS if kind is FaultKind.DELAY else 0.0,
            )
            for route in routes
        )
        return PlannedFault(
            at=at,
            seconds=seconds,
            action=Action.LINKS,
            subjects=subjects,
            faults=faults,
        )
