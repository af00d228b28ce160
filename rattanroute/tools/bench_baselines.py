"""A bench-only daemon with a common balancing policy in place of routing.

It is the daemon of this tree with one class exchanged before it is built:
requests go to any live target of the pool and wait in that target's own
queue, as behind a usual balancer. No setting of the real daemon selects it.
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
    """Chooses among all live targets; subclasses say which."""

    def choose(
        self,
        request: Request,
        *,
        key: PoolKey,
        avoid: Set[str],
        now: float,
    ) -> Target | None:
        """Returns a live target of the pool that is not avoided."""
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
        """Returns one of some targets."""
        raise NotImplementedError


class RandomRouting(BaselineRouting):
    """Takes each target with equal probability."""

    def pick(self, rows: list[Target]) -> Target:
        """Returns a random target."""
        return rows[int(self.random.random() * len(rows))]


class RoundRobinRouting(BaselineRouting):
    """Takes the targets in turn."""

    # Daemons that all began with the same target would move in step.
    turn = random.randrange(1000)

    def pick(self, rows: list[Target]) -> Target:
        """Returns the next target by identifier."""
        type(self).turn += 1
        rows.sort(key=lambda row: row.report.target_id)
        return rows[self.turn % len(rows)]


class LeastLoadedRouting(BaselineRouting):
    """Takes a target of the least load in the last reports."""

    def pick(self, rows: list[Target]) -> Target:
        """Returns a random one of the least loaded targets."""
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
    """A local cluster whose daemons may route by a baseline policy.

    Args:
        policy: A name of `POLICIES`; empty for the real daemon.
        options: Arguments of `LocalCluster`.
    """

    def __init__(self, *, policy: str = "", **options: object) -> None:
        super().__init__(**options)
        self.policy = policy

    async def spawn(self, name: str, module: str, *arguments: str) -> None:
        """Starts a module; a daemon's is exchanged for the baseline's."""
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
    """Runs a daemon until the process ends."""
    await daemon.start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    main()
