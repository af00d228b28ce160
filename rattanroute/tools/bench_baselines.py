"""A daemon with a common load balancing policy, for benchmarks only.

It is the regular daemon with its routing class replaced before construction:
requests go to any live target of the pool and wait in that target's own
queue, as behind a common load balancer. No setting of the regular daemon
selects this.
"""

import asyncio
from collections.abc import Set
import pathlib
import random

import click
import uvloop

from rattanroute.daemons import Daemon
from rattanroute.logs import configure_logs
from rattanroute.requests import cores
from rattanroute.settings import load_settings
from rattanroute.systems.routing import RoutingSystem
from rattanroute.tables.pools import PoolKey
from rattanroute.tables.requests import Request
from rattanroute.tables.targets import Target
from rattanroute.tools.clusters import LocalCluster

MODULE = "rattanroute.tools.bench_baselines"


class BaselineRouting(RoutingSystem):
    """Chooses among all live targets; subclasses define the policy."""

    def choose(
        self,
        request: Request,
        *,
        key: PoolKey,
        avoid: Set[str],
        now: float,
    ) -> Target | None:
        """Returns a live target of the pool outside `avoid`, if any."""
        pool = self.targets.pool(key)
        if pool is None:
            return None
        drained = self.configuration().drained_targets
        rows = [
            row
            for row in pool.members.rows
            if row.report.target_id not in avoid
            and self.target_filter.accepts_work(row, drained, now)
        ]
        return self.pick(rows) if rows else None

    def pick(self, rows: list[Target]) -> Target:
        """Returns one of the candidate targets."""
        raise NotImplementedError


class RandomRouting(BaselineRouting):
    """Chooses each target with equal probability."""

    def pick(self, rows: list[Target]) -> Target:
        """Returns a random target."""
        return rows[int(self.random.random() * len(rows))]


class RoundRobinRouting(BaselineRouting):
    """Chooses the targets round-robin."""

    # A random start keeps the daemons from choosing the same targets in
    # lockstep.
    rotation = random.randrange(1000)

    def pick(self, rows: list[Target]) -> Target:
        """Returns the next target by identifier."""
        type(self).rotation += 1
        rows.sort(key=lambda row: row.report.target_id)
        return rows[self.rotation % len(rows)]


class LeastLoadedRouting(BaselineRouting):
    """Chooses a target with the lowest load in the latest reports."""

    def pick(self, rows: list[Target]) -> Target:
        """Returns a random target among the least loaded ones."""
        loads = [row.report.running + row.report.queued for row in rows]
        least = min(loads)
        found = [
            row for row, load in zip(rows, loads, strict=True) if load == least
        ]
        return found[int(self.random.random() * len(found))]


POLICIES: dict[str, type[BaselineRouting]] = {
    "random": RandomRouting,
    "round-robin": RoundRobinRouting,
    "least-loaded": LeastLoadedRouting,
}


class BenchCluster(LocalCluster):
    """A local cluster whose daemons can use a baseline policy.

    Args:
        policy: A key of `POLICIES`; empty for the regular daemon.
        options: Arguments of `LocalCluster`.
    """

    def __init__(self, *, policy: str = "", **options: object) -> None:
        super().__init__(**options)
        self.policy = policy

    async def spawn(self, name: str, module: str, *arguments: str) -> None:
        """Starts a module; replaces a daemon by the baseline daemon."""
        if self.policy and name in self.vms:
            module, arguments = MODULE, (*arguments, "--policy", self.policy)
        await super().spawn(name, module, *arguments)


@click.command()
@click.option("--config", type=pathlib.Path, required=True)
@click.option("--policy", type=click.Choice(list(POLICIES)), required=True)
def main(config: pathlib.Path, policy: str) -> None:
    """Run a daemon with a baseline policy until it is killed."""
    settings = load_settings(config).ok
    configure_logs(level=settings.telemetry.log_level, vm_id=settings.vm_id)
    cores.RoutingSystem = POLICIES[policy]
    uvloop.run(serve(Daemon(settings=settings)))


async def serve(daemon: Daemon) -> None:
    """Runs a daemon until the process is killed."""
    await daemon.start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    main()
