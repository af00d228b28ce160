"""Chooses the chain of engines with the shortest expected time for a request.

The engines of a chain pass work directly to each other, so the whole chain is
chosen before the request is sent. The time of a stage is estimated from the
performance model in the manifest and from the open requests of all VMs.
"""

from collections.abc import Callable
import dataclasses
import enum
import itertools
import random as randoms

from rattanroute.gateway.header_codecs import ChainHop
from rattanroute.systems.chain_rooms import cache_capacity
from rattanroute.systems.chain_rooms import ChainRoomEstimator
from rattanroute.systems.chain_rooms import MAX_CACHE_FILL
from rattanroute.systems.chain_searches import ChainPath
from rattanroute.systems.chain_searches import find_chain
from rattanroute.systems.chain_searches import StageCandidate
from rattanroute.systems.local_chains import exclude_first_layer
from rattanroute.systems.local_chains import exclude_first_target
from rattanroute.systems.local_chains import LocalChainSearch
from rattanroute.systems.priority_reservations import NOTHING_RESERVED
from rattanroute.systems.priority_reservations import Reservation
from rattanroute.systems.target_limits import TargetLimiter
from rattanroute.tables.engine_loads import EngineLoadRow
from rattanroute.tables.engine_loads import EngineLoadTable
from rattanroute.tables.routes import Accelerator
from rattanroute.tables.routes import BackendService
from rattanroute.tables.routes import Engine
from rattanroute.tables.targets import Target
from rattanroute.tables.targets import TargetHealth
from rattanroute.tables.targets import TargetTable

# Largest random increase of a stage's time, as a fraction of it. Without it,
# VMs that read the same loads would all choose the same chain.
JITTER = 0.05
# Cost of each hop, in seconds, so that among equal chains the search prefers
# the one with fewer hops.
HOP_COST_SECONDS = 0.001
# Fraction of the rate of the links between data centres that chains may use.
# The rest covers answers that are longer than expected and bursts of
# transfers.
LINK_RATE_FRACTION = 0.4
# Time for which unused rate of these links accumulates.
LINK_BURST_SECONDS = 2.0
# Chains within one data centre that are considered for a request, as each one
# takes a search.
MAX_LOCAL_CHAINS = 6
# Factor on the expected time of a target that is not healthy.
UNHEALTHY_FACTOR = 3.0


class ChainChoice(enum.StrEnum):
    """Which of the chains within one data centre was chosen."""

    FASTEST = "fastest"
    OTHER = "other"
    LATE = "late"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestDemand:
    """Expected token counts of a request.

    Attributes:
        service: Service of the engines.
        prompt_tokens: Tokens of the prompt.
        answer_tokens: Expected tokens of the answer.
    """

    service: str
    prompt_tokens: int
    answer_tokens: int

    @property
    def tokens(self) -> int:
        """Expected tokens in the cache at the end of the answer."""
        return self.prompt_tokens + self.answer_tokens


@dataclasses.dataclass(kw_only=True, slots=True)
class LinkRateLimiter:
    """Token bucket for this VM's traffic on the links between data centres.

    The links, which all chains share, handle one transfer after another. Once
    they are saturated, every chain that spans data centres stalls.

    Attributes:
        available_bytes: Bytes that may be sent now.
        updated_at: Time of the last update, in seconds.
    """

    available_bytes: float = 0.0
    updated_at: float = float("-inf")

    def try_consume(
        self, size: float, *, rate: float, vms: int, now: float
    ) -> bool:
        """Consumes bytes from this VM's share if enough are available.

        Args:
            size: Bytes to send. A transfer larger than a whole burst passes
                once as many bytes have accumulated.
            rate: Rate of the links, in bytes per second; 0 for no limit.
            vms: Number of VMs that share the links.
            now: Time in seconds.

        Returns:
            Whether the bytes may be sent.
        """
        if not rate:
            return True
        share = LINK_RATE_FRACTION * rate / max(1, vms)
        capacity = max(share * LINK_BURST_SECONDS, size)
        elapsed = min(now - self.updated_at, LINK_BURST_SECONDS)
        self.available_bytes = min(
            capacity, self.available_bytes + share * elapsed
        )
        self.updated_at = now
        if self.available_bytes < size:
            return False
        self.available_bytes -= size
        return True


@dataclasses.dataclass(kw_only=True, slots=True)
class ChainChooser:
    """Chooses chains of engines for requests.

    Attributes:
        data_centre: Data centre of this VM.
        targets: All targets.
        loads: Open requests on engines.
        random: Source of the jitter, and of the choice among chains without
            room for all requests.
        is_usable: Returns whether a target may get new work at a time.
        vms: Returns the number of VMs that share the targets.
        limiter: Keeps the limits that targets name; they count the requests
            that they receive as the first target of a chain.
        rooms: Estimates how many more requests chains can begin in time.
        link_limiter: Limits the traffic between data centres.
        is_suspect: Returns whether a data centre seems unreachable at a time.
        note_choice: Called with the kind of each choice within one data
            centre.
    """

    data_centre: str
    targets: TargetTable
    loads: EngineLoadTable
    random: randoms.Random
    is_usable: Callable[[Target, float], bool]
    vms: Callable[[], int]
    limiter: TargetLimiter
    rooms: ChainRoomEstimator
    link_limiter: LinkRateLimiter = dataclasses.field(
        default_factory=LinkRateLimiter
    )
    is_suspect: Callable[[str, float], bool] = lambda data_centre, now: False
    note_choice: Callable[[ChainChoice], None] = lambda choice: None

    def choose(
        self,
        service: BackendService,
        demand: RequestDemand,
        *,
        excluded: frozenset[str],
        first_targets: frozenset[str] | None = None,
        demanded: set[str],
        first_event_s: float = 0.0,
        reservation: Reservation = NOTHING_RESERVED,
        now: float,
    ) -> tuple[ChainHop, ...]:
        """Returns a chain that runs each layer once; empty if there is none.

        Chains within one data centre are preferred, because work that passes
        between data centres uses shared links.

        Args:
            service: Service with the performance model of its engines.
            demand: Expected token counts of the request.
            excluded: IDs of targets that must not be used.
            first_targets: IDs of the targets that may run the first layers;
                None for any.
            demanded: IDs of the targets with a limit for which the request has
                been counted as demand; the choice adds to them.
            first_event_s: Time until the first event is due, in seconds.
            reservation: What the request must leave free of each engine.
            now: Time in seconds.
        """
        engine = service.engine
        centres = self.group_candidates(
            service,
            demand,
            excluded,
            first_targets,
            now,
            reservation=reservation,
        )
        while True:
            path = None
            for group in self.list_groups(centres, now):
                search = LocalChainSearch(
                    engine=engine,
                    data_centre=self.data_centre,
                    answer_tokens=demand.answer_tokens,
                    centres=group,
                )
                path = self.choose_local_chain(
                    service,
                    search,
                    first_event_s,
                    now,
                    reservation=reservation,
                )
                if path is not None:
                    break
            if path is None:
                path = self.find_cross_centre_chain(
                    engine, centres, demand, now
                )
            if path is None:
                return ()
            steps = list(path.steps())
            first = steps[0][0]
            target = self.targets.get(first.target_id)
            if self.limiter.admit(target, demanded, now):
                break
            exclude_first_target(centres, first.target_id)
        return tuple(
            ChainHop(
                target_id=candidate.target_id,
                address=candidate.address,
                first_layer=begin,
                end_layer=end,
            )
            for candidate, begin, end in steps
        )

    def group_candidates(
        self,
        service: BackendService,
        demand: RequestDemand,
        excluded: frozenset[str],
        first_targets: frozenset[str] | None,
        now: float,
        *,
        reservation: Reservation,
    ) -> dict[str, list[StageCandidate]]:
        """Returns the targets with room for a request, by data centre.

        The arguments are those of `choose`.
        """
        engine = service.engine
        centres: dict[str, list[StageCandidate]] = {}
        for target in self.targets.serving(service.name):
            if target.report.target_id in excluded:
                continue
            if target.full_until > now or not self.is_usable(target, now):
                continue
            candidate = self.build_candidate(
                target, engine, demand, reservation
            )
            if candidate is not None:
                if (
                    first_targets is not None
                    and candidate.target_id not in first_targets
                ):
                    candidate = exclude_first_layer(candidate)
                group = centres.setdefault(target.report.data_centre, [])
                group.append(candidate)
        return centres

    def find_limited_rate(
        self, service: BackendService, *, excluded: set[str], now: float
    ) -> float:
        """Returns the rate at which this VM may send to first targets.

        Args:
            service: Service with the performance model of its engines.
            excluded: IDs of targets that do not count.
            now: Time in seconds.

        Returns:
            The sum over the usable targets that hold the first layer, in
            requests per second; infinite if one of them names no limit.
        """
        return sum(
            self.limiter.compute_own_rate(target, now)
            for target in self.targets.serving(service.name)
            if target.report.first_layer == 0
            and target.report.last_layer >= 0
            and target.report.target_id not in excluded
            and self.is_usable(target, now)
        )

    def is_covered(
        self, service: BackendService, *, excluded: set[str], now: float
    ) -> bool:
        """Returns whether the usable targets together hold all layers.

        Targets without room for more requests count as well.

        Args:
            service: Service with the performance model of its engines.
            excluded: IDs of targets that do not count.
            now: Time in seconds.
        """
        ranges = sorted(
            (x.report.first_layer, x.report.last_layer + 1)
            for x in self.targets.serving(service.name)
            if x.report.target_id not in excluded and self.is_usable(x, now)
        )
        end = 0
        for first, range_end in ranges:
            if first > end:
                break
            end = max(end, range_end)
        return end >= service.engine.layers

    def list_groups(
        self, centres: dict[str, list[StageCandidate]], now: float
    ) -> list[dict[str, list[StageCandidate]]]:
        """Returns the candidates in data centres, reachable ones first."""
        suspects = {x for x in centres if self.is_suspect(x, now)}
        if not suspects:
            return [dict(centres)]
        reachable = {x: y for x, y in centres.items() if x not in suspects}
        return [reachable, dict(centres)]

    def choose_local_chain(
        self,
        service: BackendService,
        search: LocalChainSearch,
        first_event_s: float,
        now: float,
        *,
        reservation: Reservation,
    ) -> ChainPath | None:
        """Returns a chain within one data centre, preferably one with room.

        Args:
            service: Service with the performance model of its engines.
            search: Finds the chains, fastest first.
            first_event_s: Time until the first event is due, in seconds.
            now: Time in seconds.
            reservation: What the request must leave free of each engine.

        Returns:
            The fastest chain with room for the requests that other VMs send
            at the same time; otherwise a random one of those that were
            considered, weighted by room. None if there is no chain.
        """
        arrivals = self.rooms.estimate_arrivals(service, now)
        passed_over: list[tuple[ChainPath, float]] = []
        for number in range(MAX_LOCAL_CHAINS):
            path = search.find_best()
            if path is None:
                break
            room = self.rooms.find_room(
                service.engine, path, first_event_s, reservation
            )
            if self.rooms.accepts(room.requests, arrivals):
                choice = ChainChoice.OTHER if number else ChainChoice.FASTEST
                self.note_choice(choice)
                return path
            arrivals = max(0.0, arrivals - room.requests)
            passed_over.append((path, room.requests))
            search.exclude(room.target_id, only_first=room.only_first)
        if not passed_over:
            return None
        self.note_choice(ChainChoice.LATE)
        paths, rooms = zip(*passed_over, strict=True)
        if not any(rooms):
            return paths[0]
        return self.random.choices(paths, rooms)[0]

    def find_cross_centre_chain(
        self,
        engine: Engine,
        centres: dict[str, list[StageCandidate]],
        demand: RequestDemand,
        now: float,
    ) -> ChainPath | None:
        """Returns the fastest chain that may span data centres.

        Returns None when no chain covers all layers or when the rate limit of
        the links between data centres does not allow the chain.
        """
        candidates = []
        centre_by_target = {}
        for centre, group in centres.items():
            delay = engine.delay_s(self.data_centre, centre)
            link_seconds = delay * demand.answer_tokens
            candidates += [
                dataclasses.replace(x, link_seconds=link_seconds) for x in group
            ]
            centre_by_target.update((x.target_id, centre) for x in group)
        path = find_chain(candidates, 0, engine.layers)
        if path is None:
            return None
        hop_centres = [
            centre_by_target[x.target_id] for x, _, _ in path.steps()
        ]
        crossings = sum(a != b for a, b in itertools.pairwise(hop_centres))
        size = crossings * demand.tokens * engine.activation_bytes
        rate = engine.link_bytes_per_s
        if not self.link_limiter.try_consume(
            size, rate=rate, vms=self.vms(), now=now
        ):
            return None
        return path

    def build_candidate(
        self,
        target: Target,
        engine: Engine,
        demand: RequestDemand,
        reservation: Reservation = NOTHING_RESERVED,
    ) -> StageCandidate | None:
        """Returns a target's stage costs; None when it has no room for more."""
        report = target.report
        accelerator = engine.accelerators.get(report.accelerator)
        layers = report.last_layer + 1 - report.first_layer
        if accelerator is None or layers <= 0:
            return None
        load = self.loads.get(report.target_id)
        room = cache_capacity(engine, accelerator, layers)
        room = reservation.limit_room(room * MAX_CACHE_FILL)
        room -= load.all_cache_units
        if room < demand.tokens * layers:
            return None
        # Only requests that a target receives as the first one take a slot.
        slots = reservation.limit_slots(engine.slots)
        is_full = load.all_first_requests >= slots
        seconds = estimate_layer_seconds(engine, accelerator, load, demand)
        if target.health is not TargetHealth.HEALTHY:
            seconds *= UNHEALTHY_FACTOR
        seconds *= target.pace * (1 + JITTER * self.random.random())
        return StageCandidate(
            target_id=report.target_id,
            address=report.address,
            first=max(1, report.first_layer) if is_full else report.first_layer,
            end=report.last_layer + 1,
            layer_seconds=seconds,
            link_seconds=HOP_COST_SECONDS,
        )


def is_served(service: BackendService, targets: TargetTable) -> bool:
    """Returns whether the known targets of a service can serve requests.

    The targets of a service with engines must together hold all layers.
    """
    rows = [x for x in targets.serving(service.name) if not x.report.leaving]
    if service.engine is None:
        return bool(rows)
    held = set()
    for row in rows:
        held.update(range(row.report.first_layer, row.report.last_layer + 1))
    return len(held) >= service.engine.layers


def estimate_layer_seconds(
    engine: Engine,
    accelerator: Accelerator,
    load: EngineLoadRow,
    demand: RequestDemand,
) -> float:
    """Returns the time of one layer for a whole request, in seconds."""
    open_requests = load.all_requests
    context = demand.prompt_tokens + demand.answer_tokens / 2
    step_seconds = engine.step_s + (open_requests + 1) * (
        engine.request_step_s + engine.context_step_s * context
    )
    decode_seconds = (
        demand.answer_tokens * step_seconds * accelerator.step_factor
    )
    prefill_seconds = (
        demand.prompt_tokens * engine.prefill_s * accelerator.prefill_factor
    )
    return (decode_seconds + prefill_seconds) / engine.layers
