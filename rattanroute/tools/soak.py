"""Soak test of the platform's programs under injected faults.

Each seed runs its own deployment of real processes, with sequential and
overlapping faults. The invariants are then checked against the observations
of clients, operators and replicas.
"""

import asyncio
import collections
import dataclasses
import enum
import random as randoms
import secrets
import signal
import sys
import time

import click
import uvloop

from rattanroute.platform.standin_records import RunEnd
from rattanroute.platform.trial_deployments import DeploymentShape
from rattanroute.platform.trial_deployments import LONG_CHAINS
from rattanroute.platform.trial_deployments import LONG_STREAMS
from rattanroute.platform.trial_deployments import SHORT_STREAMS
from rattanroute.platform.trial_deployments import SoakBounds
from rattanroute.tools.soak_bursts import build_narrow_links
from rattanroute.tools.soak_bursts import choose_extra_routes
from rattanroute.tools.soak_bursts import plan_bursts
from rattanroute.tools.soak_checks import find_violations
from rattanroute.tools.soak_clients import FrontSelector
from rattanroute.tools.soak_clients import SoakClient
from rattanroute.tools.soak_crashing_clients import CRASH_MARKER
from rattanroute.tools.soak_crashing_clients import CRASH_PART
from rattanroute.tools.soak_crashing_clients import CRASHING_CLIENT
from rattanroute.tools.soak_crashing_clients import CRASHING_PART_CLIENT
from rattanroute.tools.soak_crashing_clients import CrashingClient
from rattanroute.tools.soak_crashing_clients import CrashingPartClient
from rattanroute.tools.soak_crashing_clients import FIRST_PART
from rattanroute.tools.soak_crashing_clients import REPLICA_DOWN_SECONDS
from rattanroute.tools.soak_fleets import FRONTS_PER_ZONE
from rattanroute.tools.soak_fleets import SoakFleet
from rattanroute.tools.soak_fleets import ZONES
from rattanroute.tools.soak_operators import SoakOperator
from rattanroute.tools.soak_planned_clients import build_planned_clients
from rattanroute.tools.soak_planned_work import plan_planned_work
from rattanroute.tools.soak_plans import plan_soak
from rattanroute.tools.soak_plans import PlannedFault
from rattanroute.tools.soak_plans import SoakPlan
from rattanroute.tools.soak_records import AttemptOutcome
from rattanroute.tools.soak_records import SoakLog
from rattanroute.tools.soak_repeating_clients import build_repeating_clients
from rattanroute.tools.soak_replicas import ReplicaOptions
from rattanroute.tools.soak_route_clients import RouteClient

TRAFFIC_SECONDS = 20.0
PLANNED_SECONDS = 60.0
# Traffic after the recovery time; it must be served again.
AFTER_RECOVERY_SECONDS = 3.0
START_TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.1
CLIENTS_PER_ZONE = 4
MACHINES_DOWN_SECONDS = 1.0
PAUSE_CHECK_SECONDS = 0.05
# Engines of long streams check the targets of a chain less often, because each
# check passes through the proxy.
MEMBER_CHECK_EVENTS = 5
PAUSE_PROBABILITY = 0.3
# Numbered tries that fail, and answers that come twice.
FAILURE_PROBABILITY = 0.4
SECOND_PROBABILITY = 0.35
# A planned end of a replica waits for its open streams.
REPLICA_GRACE_SECONDS = 45.0
SEED_BITS = 32
MAX_SHOWN_VIOLATIONS = 20


class SoakKind(enum.StrEnum):
    """Kinds of soaks.

    Attributes:
        FAULTS: Planned work and faults of processes, links and disks.
        PLANNED: Planned work only, with long streams, slow readers and second
            requests behind open ones.
        PLANNED_SEQUENTIAL: The same without second requests.
    """

    FAULTS = "faults"
    PLANNED = "planned"
    PLANNED_SEQUENTIAL = "planned-sequential"


def choose_shape(seed: int, kind: SoakKind) -> DeploymentShape:
    """Returns the shape of a soak's deployment."""
    shape = SHORT_STREAMS
    if kind is not SoakKind.FAULTS:
        random = randoms.Random(f"{seed} shape")
        shape = random.choice((LONG_STREAMS, LONG_CHAINS))
    return dataclasses.replace(shape, extra_routes=choose_extra_routes(seed))


def build_replica_options(seed: int, kind: SoakKind) -> ReplicaOptions:
    """Returns the options of a soak's replicas."""
    if kind is SoakKind.FAULTS:
        return ReplicaOptions(
            failure_probability=FAILURE_PROBABILITY,
            second_probability=SECOND_PROBABILITY,
            answer_seed=seed,
        )
    return ReplicaOptions(
        member_check_events=MEMBER_CHECK_EVENTS,
        pause_probability=PAUSE_PROBABILITY,
        pause_seed=seed,
        grace_s=REPLICA_GRACE_SECONDS,
    )


class SoakRun:
    """Runs the soak of one seed.

    Args:
        seed: Seed of the faults and of the traffic.
        seconds: Duration of the traffic under faults, in seconds.
        fronts: Number of fronts in each zone.
        kind: Kind of the soak.

    Attributes:
        longest_pause_s: Longest time for which this process got no processor
            time; long pauses of the whole machine delay all processes.
    """

    def __init__(
        self,
        *,
        seed: int,
        seconds: float,
        fronts: int = FRONTS_PER_ZONE,
        kind: SoakKind = SoakKind.FAULTS,
    ) -> None:
        self.seed = seed
        self.kind = kind
        self.bounds = SoakBounds()
        self.random = randoms.Random(seed)
        self.shape = choose_shape(seed, kind)
        self.fleet = SoakFleet(
            bounds=self.bounds,
            fronts=fronts,
            crash_marker=CRASH_MARKER,
            crash_part=CRASH_PART,
            shape=self.shape,
            options=build_replica_options(seed, kind),
        )
        plan = plan_soak if kind is SoakKind.FAULTS else plan_planned_work
        self.plan: SoakPlan = plan(
            seed,
            machines=list(self.fleet.machines.values()),
            replicas=list(self.fleet.replicas),
            seconds=seconds,
        )
        self.log = SoakLog(
            fronts=[x.name for x in self.fleet.fronts],
            core=[x.name for x in self.fleet.core],
            shape=self.shape,
        )
        self.front_selector = FrontSelector(
            fleet=self.fleet, random=self.random
        )
        self.route_client = RouteClient(
            fleet=self.fleet, log=self.log, bounds=self.bounds
        )
        self.operator = SoakOperator(
            fleet=self.fleet,
            log=self.log,
            random=self.random,
            route_client=self.route_client,
            bursts=plan_bursts(seed, faults=self.plan.faults, seconds=seconds),
        )
        self.clients = self.build_clients()
        self.finished = False
        self.longest_pause_s = 0.0

    def build_clients(self) -> list[SoakClient]:
        """Builds the clients of this kind of soak."""
        if self.kind is not SoakKind.FAULTS:
            return build_planned_clients(
                self.seed,
                zones=ZONES,
                front_selector=self.front_selector,
                log=self.log,
                pipelining=self.kind is SoakKind.PLANNED,
            )
        clients = [
            SoakClient(
                name=f"{zone}-{i}",
                zone=zone,
                front_selector=self.front_selector,
                log=self.log,
                random=randoms.Random(f"{self.seed} {zone} {i}"),
                parts=(FIRST_PART,),
            )
            for zone in ZONES
            for i in range(CLIENTS_PER_ZONE)
        ]
        clients += build_repeating_clients(
            self.seed,
            zones=ZONES,
            front_selector=self.front_selector,
            log=self.log,
            parts=(FIRST_PART,),
        )
        clients.append(
            CrashingClient(
                name=CRASHING_CLIENT,
                zone=ZONES[0],
                zones=ZONES,
                front_selector=self.front_selector,
                log=self.log,
                random=randoms.Random(f"{self.seed} {CRASHING_CLIENT}"),
            )
        )
        clients.append(
            CrashingPartClient(
                name=CRASHING_PART_CLIENT,
                zone=ZONES[0],
                zones=ZONES,
                front_selector=self.front_selector,
                log=self.log,
                random=randoms.Random(f"{self.seed} {CRASHING_PART_CLIENT}"),
                parts=(FIRST_PART, CRASH_PART),
            )
        )
        return clients

    async def run(self) -> dict[str, list[str]]:
        """Runs the soak and returns the violations by check."""
        try:
            await self.fleet.start()
            await self.run_phases()
            self.log.process_failures += (
                self.fleet.find_unexpected_exits()
                + self.fleet.find_tracebacks()
            )
            self.log.records = self.fleet.read_records()
            self.log.injected_faults = self.fleet.injected_faults
            violations = find_violations(self.log, self.bounds)
            self.fleet.keep_folder |= bool(violations)
        finally:
            await self.fleet.close()
        return violations

    async def run_phases(self) -> None:
        """Runs the start, the traffic under faults, and the recovery."""
        background_tasks = [
            asyncio.create_task(self.front_selector.poll_readiness(x))
            for x in self.fleet.fronts
        ]
        background_tasks.append(asyncio.create_task(self.measure_pauses()))
        await self.operator.change(lambda: False)
        await self.wait_fronts_ready()
        narrow_links = build_narrow_links(self.shape.extra_routes)
        await self.fleet.keep_link_faults(narrow_links)
        background_tasks += [
            asyncio.create_task(self.operator.probe(x))
            for x in self.fleet.fronts
        ]
        background_tasks.append(
            asyncio.create_task(
                self.fleet.restart_crashed_replicas(REPLICA_DOWN_SECONDS)
            )
        )
        traffic_tasks = [
            asyncio.create_task(x.run(self.is_finished))
            for x in (*self.clients, self.operator)
        ]
        try:
            await self.inject_faults()
            await self.run_recovery()
            self.finished = True
            await asyncio.gather(*traffic_tasks)
            await self.read_final_version()
        finally:
            for task in (*background_tasks, *traffic_tasks):
                task.cancel()
            await asyncio.gather(
                *background_tasks, *traffic_tasks, return_exceptions=True
            )
            await self.route_client.close()

    def is_finished(self) -> bool:
        """Returns whether the traffic must stop."""
        return self.finished

    async def wait_fronts_ready(self) -> None:
        """Waits until all fronts are ready.

        Raises:
            TimeoutError: If a front is not ready within the start timeout.
        """
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while any(
                self.front_selector.failed_readiness_checks.get(x.name, 1)
                for x in self.fleet.fronts
            ):
                await asyncio.sleep(POLL_SECONDS)

    async def inject_faults(self) -> None:
        """Injects all planned faults and waits until they end."""
        start = time.monotonic()
        tasks = [
            asyncio.create_task(self.inject_fault(fault, start))
            for fault in self.plan.faults
        ]
        await asyncio.sleep(self.plan.seconds)
        await asyncio.gather(*tasks)

    async def inject_fault(self, fault: PlannedFault, start: float) -> None:
        """Injects a fault at its planned time."""
        await asyncio.sleep(max(0.0, start + fault.at - time.monotonic()))
        await self.fleet.inject_fault(fault)

    async def run_recovery(self) -> None:
        """Injects the final fault if planned, and waits for the recovery."""
        if self.plan.final_fault:
            await self.fleet.kill_all_machines(MACHINES_DOWN_SECONDS)
        self.log.faults_ended_at = time.monotonic()
        await asyncio.sleep(self.bounds.recovery_s + AFTER_RECOVERY_SECONDS)

    async def measure_pauses(self) -> None:
        """Records the longest delay of a timer, until cancelled."""
        while True:
            start = time.monotonic()
            await asyncio.sleep(PAUSE_CHECK_SECONDS)
            pause_s = time.monotonic() - start - PAUSE_CHECK_SECONDS
            self.longest_pause_s = max(self.longest_pause_s, pause_s)

    async def read_final_version(self) -> None:
        """Reads the configuration from every core after the last change."""
        for machine in self.fleet.core:
            version = await self.operator.read(machine)
            self.log.final_version = max(self.log.final_version, version)

    def describe(self) -> str:
        """Returns a one-line summary of the run."""
        attempts = self.log.attempts
        served = sum(x.outcome is AttemptOutcome.COMPLETE for x in attempts)
        ends = collections.Counter(
            x.reason for x in self.log.records if x.event == "end"
        )
        runs = ",".join(f"{x}:{ends[x]}" for x in RunEnd)
        repeats = sum(x.try_number > 1 for x in attempts)
        statuses = collections.Counter(
            x.status for x in self.log.route_requests
        )
        new_routes = ",".join(f"{k}:{v}" for k, v in sorted(statuses.items()))
        return (
            f"seed={self.seed} kind={self.kind} shape={self.shape.name!r} "
            f"faults={len(self.plan.faults)} "
            f"final_fault={self.plan.final_fault} "
            f"extra_routes={self.shape.extra_routes} "
            f"bursts={len(self.operator.bursts)} attempts={len(attempts)} "
            f"served={served} repeats={repeats} runs={runs} "
            f"changes={len(self.log.acknowledgements)} "
            f"new_routes={new_routes or 'none'} "
            f"killed={','.join(self.fleet.killed_after_grace) or 'none'} "
            f"longest_pause={self.longest_pause_s:.2f}"
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SoakOptions:
    """Options of the command line.

    Attributes:
        seeds: Seeds to run.
        seconds: Duration of the traffic under faults, in seconds.
        jobs: Maximum number of concurrent soaks.
        fronts: Number of fronts in each zone.
        kind: Kind of the soaks.
    """

    seeds: list[int]
    seconds: float
    jobs: int
    fronts: int
    kind: SoakKind


async def run_seeds(options: SoakOptions) -> int:
    """Runs the seeds concurrently and returns how many failed a check."""
    semaphore = asyncio.Semaphore(options.jobs)
    failed_seeds = 0

    async def run_seed(seed: int) -> None:
        nonlocal failed_seeds
        async with semaphore:
            soak = SoakRun(
                seed=seed,
                seconds=options.seconds,
                fronts=options.fronts,
                kind=options.kind,
            )
            violations = await soak.run()
        failed_seeds += bool(violations)
        broken = ",".join(f"{k}:{len(v)}" for k, v in violations.items())
        click.echo(f"{soak.describe()} broken={broken or 'none'}")
        for name, messages in violations.items():
            for message in messages[:MAX_SHOWN_VIOLATIONS]:
                click.echo(f"  {name}: {message}")
        if violations:
            click.echo(f"  logs: {soak.fleet.folder}")

    await asyncio.gather(*(run_seed(seed) for seed in options.seeds))
    return failed_seeds


@click.command()
@click.option("--seed", "seeds", multiple=True, type=int, help="Seed to run.")
@click.option("--first", type=int, help="First of a series of seeds.")
@click.option("--count", default=1, help="Number of seeds.")
@click.option("--seconds", type=float, help="Traffic of each.")
@click.option("--jobs", default=1, help="Soaks side by side.")
@click.option("--fronts", default=FRONTS_PER_ZONE, help="Fronts of each zone.")
@click.option("--planned", is_flag=True, help="Planned work only.")
@click.option(
    "--sequential",
    is_flag=True,
    help="With --planned: no second request behind an open one.",
)
def main(
    *,
    seeds: tuple[int, ...],
    first: int | None,
    count: int,
    seconds: float | None,
    jobs: int,
    fronts: int,
    planned: bool,
    sequential: bool,
) -> None:
    """Run soaks of the platform's programs.

    Without --seed and --first, fresh seeds are drawn. The exit code is 1 when
    a promise was broken.
    """
    seeds_to_run = list(seeds)
    if first is not None:
        seeds_to_run += range(first, first + count)
    elif not seeds_to_run:
        seeds_to_run = [secrets.randbits(SEED_BITS) for _ in range(count)]
    # SIGTERM raises KeyboardInterrupt, so that the child processes are ended.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    kind = SoakKind.FAULTS
    if planned:
        kind = SoakKind.PLANNED_SEQUENTIAL if sequential else SoakKind.PLANNED
    if seconds is None:
        seconds = PLANNED_SECONDS if planned else TRAFFIC_SECONDS
    options = SoakOptions(
        seeds=seeds_to_run,
        seconds=seconds,
        jobs=jobs,
        fronts=fronts,
        kind=kind,
    )
    sys.exit(bool(uvloop.run(run_seeds(options))))


if __name__ == "__main__":
    main()
