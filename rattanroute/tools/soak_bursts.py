"""Plans of bursts of configuration changes, derived from a seed."""

from collections.abc import Sequence
import dataclasses
import random as randoms

from rattanroute.tools.proxies import Fault
from rattanroute.tools.proxies import FaultKind
from rattanroute.tools.soak_plans import Action
from rattanroute.tools.soak_plans import PlannedFault

MIN_BURST_SECONDS = 1.0
MAX_BURST_SECONDS = 2.0
MIN_INTERVAL_SECONDS = 0.05
MAX_INTERVAL_SECONDS = 0.08
SECONDS_PER_BURST = 10.0
LAST_BURST_SECONDS = 4.0
EXTRA_ROUTES = (0, 0, 250, 1000, 1750)
# From this number on the links of the fronts are narrow as well.
LARGE_ROUTES = 1000
# Share of one of eight peers in the 7 Mbit/s of a front.
FRONT_LINK_BYTES_PER_SECOND = 109_000.0
FRONT_LINKS = ("peer:*-front-*:*", "peer:*-core:*-front-*")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlannedBurst:
    """A burst of changes.

    Attributes:
        at: Start, in seconds after the start of the traffic.
        seconds: Duration.
        interval_s: Time from one change to the next, in seconds.
    """

    at: float
    seconds: float
    interval_s: float


def choose_extra_routes(seed: int) -> int:
    """Returns the number of routes that no version changes."""
    return randoms.Random(f"{seed} routes").choice(EXTRA_ROUTES)


def plan_bursts(
    seed: int, *, faults: Sequence[PlannedFault], seconds: float
) -> tuple[PlannedBurst, ...]:
    """Returns the bursts of a seed, beside its faults.

    A fault begins during each burst, unless the seed has fewer of them.

    Args:
        seed: Seed of the soak.
        faults: Its faults; those of links alone have no burst.
        seconds: Duration of its traffic.
    """
    random = randoms.Random(f"{seed} bursts")
    times = [
        x.at
        for x in faults
        if x.action is not Action.LINKS and x.at < seconds - LAST_BURST_SECONDS
    ]
    count = max(1, int(seconds / SECONDS_PER_BURST))
    while len(times) < count:
        times.append(
            random.uniform(0.0, max(0.0, seconds - LAST_BURST_SECONDS))
        )
    bursts = []
    for at in sorted(random.sample(times, count)):
        burst_s = random.uniform(MIN_BURST_SECONDS, MAX_BURST_SECONDS)
        bursts.append(
            PlannedBurst(
                at=max(0.0, at - random.uniform(0.0, burst_s)),
                seconds=burst_s,
                interval_s=random.uniform(
                    MIN_INTERVAL_SECONDS, MAX_INTERVAL_SECONDS
                ),
            )
        )
    return tuple(sorted(bursts, key=lambda x: x.at))


def build_narrow_links(extra_routes: int) -> tuple[Fault, ...]:
    """Returns the limits of the fronts' links beside a large configuration."""
    if extra_routes < LARGE_ROUTES:
        return ()
    return tuple(
        Fault(
            route=route,
            kind=FaultKind.SLOW,
            bytes_per_second=FRONT_LINK_BYTES_PER_SECOND,
        )
        for route in FRONT_LINKS
    )
