"""Soaks the platform's programs: real processes, faults from outside.

Each seed gives a deployment of its own, with faults in series and at once.
The promises are checked on what callers, operators and replicas saw.
"""

import asyncio
import dataclasses
import random as randoms
import secrets
import signal
import sys
import time

import click
import uvloop

from rattanroute.platform.trial_deployments import SoakBounds
from rattanroute.tools.soak_callers import Caller
from rattanroute.tools.soak_callers import Entry
from rattanroute.tools.soak_callers import Operator
from rattanroute.tools.soak_checks import find_broken
from rattanroute.tools.soak_crashes import CRASH_MARKER
from rattanroute.tools.soak_crashes import CRASHING_CALLER
from rattanroute.tools.soak_crashes import CrashingCaller
from rattanroute.tools.soak_crashes import REPLICA_DOWN_SECONDS
from rattanroute.tools.soak_fleets import FRONTS_PER_ZONE
from rattanroute.tools.soak_fleets import SoakFleet
from rattanroute.tools.soak_fleets import ZONES
from rattanroute.tools.soak_plans import plan_soak
from rattanroute.tools.soak_plans import PlannedFault
from rattanroute.tools.soak_plans import SoakPlan
from rattanroute.tools.soak_records import Ending
from rattanroute.tools.soak_records import SoakLog

TRAFFIC_SECONDS = 20.0
# Traffic that is looked at after the time for the recovery.
AFTER_SECONDS = 3.0
START_TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.1
CALLERS_PER_ZONE = 4
MACHINES_DOWN_SECONDS = 1.0
SEED_BITS = 32
FINDINGS_SHOWN = 5


class Soak:
    """One soak.

    Args:
        seed: Seed of the faults and of the callers.
        seconds: Duration of the traffic under faults.
        fronts: Fronts of each zone.
    """

    def __init__(
        self,
        *,
        seed: int,
        seconds: float,
        fronts: int = FRONTS_PER_ZONE,
    ) -> None:
        self.seed = seed
        self.bounds = SoakBounds()
        self.random = randoms.Random(seed)
        self.fleet = SoakFleet(
            bounds=self.bounds, fronts=fronts, crash_marker=CRASH_MARKER
        )
        self.plan: SoakPlan = plan_soak(
            seed,
            machines=list(self.fleet.machines.values()),
            replicas=list(self.fleet.replicas),
            seconds=seconds,
        )
        self.log = SoakLog(
            fronts=[x.name for x in self.fleet.fronts],
            core=[x.name for x in self.fleet.core],
        )
        self.entry = Entry(fleet=self.fleet, random=self.random)
        self.operator = Operator(
            fleet=self.fleet, log=self.log, random=self.random
        )
        self.callers = [
            Caller(
                name=f"{zone}-{i}",
                zone=zone,
                entry=self.entry,
                log=self.log,
                random=randoms.Random(f"{seed} {zone} {i}"),
            )
            for zone in ZONES
            for i in range(CALLERS_PER_ZONE)
        ]
        self.callers.append(
            CrashingCaller(
                name=CRASHING_CALLER,
                zone=ZONES[0],
                zones=ZONES,
                entry=self.entry,
                log=self.log,
                random=randoms.Random(f"{seed} {CRASHING_CALLER}"),
            )
        )
        self.over = False

    async def run(self) -> dict[str, list[str]]:
        """Runs the soak and returns what was broken, by check."""
        try:
            await self.fleet.start()
            await self.play()
            self.log.died += self.fleet.find_dead() + self.fleet.find_errors()
            self.log.records = self.fleet.read_records()
            self.log.disturbances = self.fleet.disturbances
            broken = find_broken(self.log, self.bounds)
            self.fleet.keep_folder |= bool(broken)
        finally:
            await self.fleet.close()
        return broken

    async def play(self) -> None:
        """Plays the day: start, traffic under faults, recovery."""
        followers = [
            asyncio.create_task(self.entry.follow(x)) for x in self.fleet.fronts
        ]
        await self.operator.change(lambda: False)
        await self.wait_ready()
        followers += [
            asyncio.create_task(self.operator.probe(x))
            for x in self.fleet.fronts
        ]
        followers.append(
            asyncio.create_task(self.fleet.revive_crashed(REPLICA_DOWN_SECONDS))
        )
        workers = [
            asyncio.create_task(x.run(self.is_over))
            for x in (*self.callers, self.operator)
        ]
        try:
            await self.disturb()
            await self.finish()
            self.over = True
            await asyncio.gather(*workers)
            await self.read_last()
        finally:
            for task in (*followers, *workers):
                task.cancel()
            await asyncio.gather(*followers, *workers, return_exceptions=True)

    def is_over(self) -> bool:
        """Whether callers end."""
        return self.over

    async def wait_ready(self) -> None:
        """Waits until all fronts take callers.

        Raises:
            TimeoutError: If they do not.
        """
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while any(
                self.entry.misses.get(x.name, 1) for x in self.fleet.fronts
            ):
                await asyncio.sleep(POLL_SECONDS)

    async def disturb(self) -> None:
        """Carries all faults out."""
        start = time.monotonic()
        tasks = [
            asyncio.create_task(self.carry_out(fault, start))
            for fault in self.plan.faults
        ]
        await asyncio.sleep(self.plan.seconds)
        await asyncio.gather(*tasks)

    async def carry_out(self, fault: PlannedFault, start: float) -> None:
        """Carries a fault out when it is due."""
        await asyncio.sleep(max(0.0, start + fault.at - time.monotonic()))
        await self.fleet.carry_out(fault)

    async def finish(self) -> None:
        """Kills all machines where planned, and waits for the recovery."""
        if self.plan.final_fault:
            await self.fleet.kill_all_machines(MACHINES_DOWN_SECONDS)
        self.log.settled_at = time.monotonic()
        await asyncio.sleep(self.bounds.recovery_s + AFTER_SECONDS)

    async def read_last(self) -> None:
        """Reads the configuration after the last change."""
        for machine in self.fleet.core:
            version = await self.operator.read(machine)
            self.log.final_version = max(self.log.final_version, version)

    def describe(self) -> str:
        """Returns what was played, in a line."""
        attempts = self.log.attempts
        served = sum(x.ending is Ending.COMPLETE for x in attempts)
        return (
            f"seed={self.seed} faults={len(self.plan.faults)} "
            f"final_fault={self.plan.final_fault} attempts={len(attempts)} "
            f"served={served} changes={len(self.log.acknowledgements)}"
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SoakOptions:
    """Options of the command line.

    Attributes:
        seeds: Seeds to run.
        seconds: Duration of the traffic under faults.
        jobs: Soaks side by side.
        fronts: Fronts of each zone.
    """

    seeds: list[int]
    seconds: float
    jobs: int
    fronts: int


async def run_seeds(options: SoakOptions) -> int:
    """Runs soaks side by side and returns how many broke a promise."""
    gate = asyncio.Semaphore(options.jobs)
    broken = 0

    async def run_seed(seed: int) -> None:
        nonlocal broken
        async with gate:
            soak = Soak(
                seed=seed, seconds=options.seconds, fronts=options.fronts
            )
            found = await soak.run()
        broken += bool(found)
        click.echo(f"{soak.describe()} broken={','.join(found) or 'none'}")
        for name, items in found.items():
            for item in items[:FINDINGS_SHOWN]:
                click.echo(f"  {name}: {item}")
        if found:
            click.echo(f"  logs: {soak.fleet.folder}")

    await asyncio.gather(*(run_seed(seed) for seed in options.seeds))
    return broken


@click.command()
@click.option("--seed", "seeds", multiple=True, type=int, help="Seed to run.")
@click.option("--first", type=int, help="First of a series of seeds.")
@click.option("--count", default=1, help="Number of seeds.")
@click.option("--seconds", default=TRAFFIC_SECONDS, help="Traffic of each.")
@click.option("--jobs", default=1, help="Soaks side by side.")
@click.option("--fronts", default=FRONTS_PER_ZONE, help="Fronts of each zone.")
def main(
    *,
    seeds: tuple[int, ...],
    first: int | None,
    count: int,
    seconds: float,
    jobs: int,
    fronts: int,
) -> None:
    """Run soaks of the platform's programs.

    Without --seed and --first, fresh seeds are drawn. The exit code is 1 when
    a promise was broken.
    """
    wanted = list(seeds)
    if first is not None:
        wanted += range(first, first + count)
    elif not wanted:
        wanted = [secrets.randbits(SEED_BITS) for _ in range(count)]
    # A terminated soak ends its processes as an interrupted one does.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    options = SoakOptions(
        seeds=wanted, seconds=seconds, jobs=jobs, fronts=fronts
    )
    sys.exit(bool(uvloop.run(run_seeds(options))))


if __name__ == "__main__":
    main()
