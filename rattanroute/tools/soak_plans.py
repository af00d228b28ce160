"""Plans the faults of a soak from a seed."""

from collections.abc import Sequence
import dataclasses
import enum
import random as randoms

from rattanroute.platform.trial_deployments import Machine
from rattanroute.tools.proxies import Direction
from rattanroute.tools.proxies import Fault
from rattanroute.tools.proxies import FaultKind

# A core machine counts as lost until it has been back for so long. One may be
# lost at a time.
CATCH_UP_SECONDS = 4.0
FIRST_FAULT_SECONDS = 1.0
LAST_FAULT_SECONDS = 2.0
MIN_FAULTS = 7
MAX_FAULTS = 14
MIN_FAULT_SECONDS = 0.3
MAX_FAULT_SECONDS = 3.0
FINAL_FAULT_PART = 0.5
DELAY_SECONDS = 0.08


class Action(enum.StrEnum):
    """What is done to a process or to links."""

    FREEZE = "freeze"
    KILL = "kill"
    STOP = "stop"
    RELOAD = "reload"
    ROLL = "roll"
    LOSE_DISK = "lose_disk"
    REFUSE_WRITES = "refuse_writes"
    LINKS = "links"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlannedFault:
    """One fault of a plan.

    Attributes:
        at: Start, in seconds after that of the traffic.
        seconds: Duration; for a kill or a stop, the time until the restart.
        action: What is done.
        subjects: Names of the processes.
        faults: Faults of the proxy, for links.
    """

    at: float
    seconds: float
    action: Action
    subjects: tuple[str, ...]
    faults: tuple[Fault, ...] = ()

    @property
    def end(self) -> float:
        """When it is over."""
        return self.at + self.seconds


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SoakPlan:
    """All faults of a soak, in order.

    Attributes:
        seed: The seed.
        seconds: Duration of the traffic before the final part.
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
    planner = Planner(
        random=randoms.Random(seed),
        machines=machines,
        replicas=replicas,
        seconds=seconds,
    )
    count = planner.random.randint(MIN_FAULTS, MAX_FAULTS)
    found = [planner.draw() for _ in range(count)]
    faults = sorted((x for x in found if x), key=lambda x: x.at)
    return SoakPlan(
        seed=seed,
        seconds=seconds,
        faults=tuple(faults),
        final_fault=planner.random.random() < FINAL_FAULT_PART,
    )


@dataclasses.dataclass(kw_only=True)
class Planner:
    """Draws faults; those of the core do not overlap.

    Attributes:
        random: Source of all choices.
        machines: Machines by their place.
        replicas: Names of the replicas.
        seconds: Duration of the traffic.
        core_busy: Times during which a core machine counts as lost.
    """

    random: randoms.Random
    machines: Sequence[Machine]
    replicas: Sequence[str]
    seconds: float
    core_busy: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )

    def draw(self) -> PlannedFault | None:
        """Returns a fault, or None when the core has no time for it."""
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
        if fault is None or not self.touches_core(fault):
            return fault
        busy = (fault.at, fault.end + CATCH_UP_SECONDS)
        if any(a < busy[1] and busy[0] < b for a, b in self.core_busy):
            return None
        self.core_busy.append(busy)
        return fault

    def touches_core(self, fault: PlannedFault) -> bool:
        """Whether a fault makes a core machine count as lost."""
        core = {x.name for x in self.machines if x.core}
        return not core.isdisjoint(fault.subjects)

    def pick(self, *, core: bool) -> str:
        """Returns the name of a machine."""
        return self.random.choice(
            [x.name for x in self.machines if x.core is core]
        )

    def draw_front(self, at: float, seconds: float) -> PlannedFault:
        """Returns a fault of a front, or of all of a zone in turn."""
        action = self.random.choice(
            (
                Action.FREEZE,
                Action.KILL,
                Action.STOP,
                Action.RELOAD,
                Action.ROLL,
            )
        )
        subjects = (self.pick(core=False),)
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
            subjects=(self.pick(core=True),),
        )

    def draw_link(self, at: float, seconds: float) -> PlannedFault:
        """Returns a fault of links: of a zone, a front or a replica."""
        kind = self.random.choice(
            (FaultKind.DELAY, FaultKind.RESET, FaultKind.HOLD)
        )
        direction = self.random.choice(tuple(Direction))
        place = self.random.choice(("peer", "target", "zone"))
        if place == "target":
            name = self.random.choice(self.replicas)
            routes, subjects = (f"target:{name}",), (name,)
        elif place == "peer":
            name = self.pick(core=False)
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
