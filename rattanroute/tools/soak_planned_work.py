"""Plans of a soak with planned work only, derived from a seed."""

from collections.abc import Sequence
import dataclasses
import random as randoms

from rattanroute.platform.trial_deployments import Machine
from rattanroute.tools.soak_plans import Action
from rattanroute.tools.soak_plans import PlannedFault
from rattanroute.tools.soak_plans import RepeatedSignal
from rattanroute.tools.soak_plans import SoakPlan

FIRST_WORK_SECONDS = 2.0
LAST_WORK_SECONDS = 2.0
MAX_PAUSE_SECONDS = 3.0
MAX_SERIES = 4
MAX_SERIES_PAUSE_SECONDS = 4.0
MAX_PAIR_PAUSE_SECONDS = 1.0
MAX_DOWN_SECONDS = 1.5
# From SIGTERM until a front is ready again, without the time it is down.
FRONT_BUSY_SECONDS = 12.0
# The same for a replica with an open stream of the longest kind.
REPLICA_BUSY_SECONDS = 20.0
MAX_RELOADS = 3
RELOAD_PAUSE_SECONDS = 0.7
HANG_UP_PROBABILITY = 0.5
TERM_PROBABILITY = 0.3
# Signals during the stop come up to this long after the first SIGTERM.
MIN_REPEAT_SECONDS = 0.1
MAX_REPEAT_SECONDS = 7.0
# Fronts that may be stopping or starting at the same time, as a fraction.
MAX_BUSY_FRACTION = 0.67


def plan_planned_work(
    seed: int,
    *,
    machines: Sequence[Machine],
    replicas: Sequence[str],
    seconds: float,
) -> SoakPlan:
    """Returns the plan of a seed: no kill, freeze or fault of a link."""
    planner = WorkPlanner(
        random=randoms.Random(f"{seed} planned"),
        fronts=[x for x in machines if not x.core],
        replicas=replicas,
    )
    at = FIRST_WORK_SECONDS
    while at < seconds - LAST_WORK_SECONDS:
        planner.draw_work(at)
        at += planner.random.uniform(0.0, MAX_PAUSE_SECONDS)
    work = [x for x in planner.work if x.at < seconds]
    return SoakPlan(
        seed=seed,
        seconds=seconds,
        faults=tuple(sorted(work, key=lambda x: x.at)),
        final_fault=False,
    )


@dataclasses.dataclass(kw_only=True)
class WorkPlanner:
    """Draws planned work; a process is stopped again only after its start.

    Attributes:
        random: Random number generator.
        fronts: The fronts.
        replicas: Names of the replicas.
        work: Work drawn so far.
        busy_until: Time from which a process may be stopped again, by name.
    """

    random: randoms.Random
    fronts: Sequence[Machine]
    replicas: Sequence[str]
    work: list[PlannedFault] = dataclasses.field(default_factory=list)
    busy_until: dict[str, float] = dataclasses.field(default_factory=dict)

    def draw_work(self, at: float) -> None:
        """Draws work that starts at a time."""
        draw = self.random.choice(
            (
                self.draw_series,
                self.draw_series,
                self.draw_pair,
                self.draw_reloads,
                self.draw_replica,
            )
        )
        draw(at)

    def draw_series(self, at: float) -> None:
        """Draws stops of several fronts that overlap."""
        names = [x.name for x in self.fronts]
        self.random.shuffle(names)
        for name in names[: self.random.randint(2, MAX_SERIES)]:
            self.add_stop(name, at)
            at += self.random.uniform(0.0, MAX_SERIES_PAUSE_SECONDS)

    def draw_pair(self, at: float) -> None:
        """Draws stops of all fronts of one zone."""
        zone = self.random.choice(sorted({x.zone for x in self.fronts}))
        for front in self.fronts:
            if front.zone == zone:
                self.add_stop(front.name, at)
                at += self.random.uniform(0.0, MAX_PAIR_PAUSE_SECONDS)

    def draw_reloads(self, at: float) -> None:
        """Draws SIGHUPs of a front."""
        name = self.random.choice(self.fronts).name
        for _ in range(self.random.randint(1, MAX_RELOADS)):
            self.work.append(
                PlannedFault(
                    at=at,
                    seconds=0.0,
                    action=Action.RELOAD,
                    subjects=(name,),
                    needs_start=True,
                )
            )
            at += self.random.uniform(0.0, RELOAD_PAUSE_SECONDS)

    def draw_replica(self, at: float) -> None:
        """Draws the planned end of a replica; one replica at a time."""
        if any(self.is_busy(name, at) for name in self.replicas):
            return
        self.add(
            self.random.choice(self.replicas), at, REPLICA_BUSY_SECONDS, ()
        )

    def add_stop(self, name: str, at: float) -> None:
        """Adds the stop of a front unless it or too many others are busy."""
        busy = sum(self.is_busy(x.name, at) for x in self.fronts)
        if self.is_busy(name, at) or busy + 1 > MAX_BUSY_FRACTION * len(
            self.fronts
        ):
            return
        self.add(name, at, FRONT_BUSY_SECONDS, self.draw_signals())

    def add(
        self,
        name: str,
        at: float,
        busy_s: float,
        signals: tuple[RepeatedSignal, ...],
    ) -> None:
        """Adds the stop of a process and its restart."""
        seconds = self.random.uniform(0.0, MAX_DOWN_SECONDS)
        self.busy_until[name] = at + busy_s + seconds
        self.work.append(
            PlannedFault(
                at=at,
                seconds=seconds,
                action=Action.STOP,
                subjects=(name,),
                repeated_signals=signals,
            )
        )

    def draw_signals(self) -> tuple[RepeatedSignal, ...]:
        """Returns further signals during a stop."""
        signals = []
        for action, probability in (
            (Action.RELOAD, HANG_UP_PROBABILITY),
            (Action.STOP, TERM_PROBABILITY),
        ):
            after_s = self.random.uniform(
                MIN_REPEAT_SECONDS, MAX_REPEAT_SECONDS
            )
            if self.random.random() < probability:
                signals.append(RepeatedSignal(after_s=after_s, action=action))
        return tuple(signals)

    def is_busy(self, name: str, at: float) -> bool:
        """Returns whether a process is stopping or starting at a time."""
        return at < self.busy_until.get(name, 0.0)
