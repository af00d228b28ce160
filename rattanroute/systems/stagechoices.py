"""Chooses the chain of engines for a request by its expected duration.

The engines pass work on among themselves, so that one chain is chosen before
the request is sent. The duration of a stage follows from the published model
of the engines and from the open requests of all VMs.
"""

from collections.abc import Callable
import dataclasses
import itertools
import math
import random as randoms

from rattanroute.gateway.terms import ChainHop
from rattanroute.systems.chains import Candidate
from rattanroute.systems.chains import find_chain
from rattanroute.systems.chains import Path
from rattanroute.tables.engine_loads import EngineLoadRow
from rattanroute.tables.engine_loads import EngineLoadTable
from rattanroute.tables.routes import Accelerator
from rattanroute.tables.routes import BackendService
from rattanroute.tables.routes import Engine
from rattanroute.tables.targets import Target
from rattanroute.tables.targets import TargetHealth
from rattanroute.tables.targets import TargetTable

# Part of the memory beside the layers that requests may fill. The rest covers
# answers that are longer than expected and loads that are not yet known.
FILLED_PART = 0.92
# Fronts that read the same loads would otherwise all take the same chain.
JITTER = 0.05
# Makes the search prefer fewer hops among equal chains.
HOP_SECONDS = 0.001
# Part of the pipe between data centres that chains may fill; the rest covers
# answers that are longer than expected and bursts of transfers.
PIPE_PART = 0.4
PIPE_BURST_SECONDS = 2.0
# Factor on the expected time of a target whose last attempts failed.
SUSPECT_FACTOR = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """What a request needs of a chain.

    Attributes:
        service: Service of the engines.
        prompt_tokens: Tokens to read.
        answer_tokens: Expected tokens of the answer.
    """

    service: str
    prompt_tokens: int
    answer_tokens: int

    @property
    def tokens(self) -> int:
        """Tokens of cache at the end of the answer."""
        return self.prompt_tokens + self.answer_tokens


@dataclasses.dataclass(kw_only=True, slots=True)
class PipeMeter:
    """Bounds what this VM sends over the pipe between data centres.

    The pipe passes one transfer after the other: once it is full, every
    chain that crosses it stands still.

    Attributes:
        level: Bytes that may be sent now.
        updated_at: Time of the level.
    """

    level: float = 0.0
    updated_at: float = float("-inf")

    def take(self, size: float, *, rate: float, vms: int, now: float) -> bool:
        """Takes bytes from the share of this VM if they are left.

        Args:
            size: Bytes to send.
            rate: Rate of the pipe, in bytes per second; 0 for no limit.
            vms: VMs that share the pipe.
            now: Time in seconds.
        """
        if not rate:
            return True
        share = PIPE_PART * rate / max(1, vms)
        most = max(share * PIPE_BURST_SECONDS, size)
        elapsed = min(now - self.updated_at, PIPE_BURST_SECONDS)
        self.level = min(most, self.level + share * elapsed)
        self.updated_at = now
        if self.level < size:
            return False
        self.level -= size
        return True


@dataclasses.dataclass(kw_only=True, slots=True)
class StageChooser:
    """Chooses chains.

    Attributes:
        data_centre: Data centre of this VM.
        targets: All targets.
        loads: Open requests on engines.
        random: Source of the jitter.
        is_usable: Whether a target may get new work.
        vms: Returns the number of VMs that share the targets.
        pipe: Bounds the work that passes between data centres.
    """

    data_centre: str
    targets: TargetTable
    loads: EngineLoadTable
    random: randoms.Random
    is_usable: Callable[[Target, float], bool]
    vms: Callable[[], int]
    pipe: PipeMeter = dataclasses.field(default_factory=PipeMeter)

    def choose(
        self,
        service: BackendService,
        demand: Demand,
        *,
        excluded: frozenset[str],
        starts: frozenset[str] | None = None,
        now: float,
    ) -> tuple[ChainHop, ...]:
        """Returns a chain that runs each layer once, or nothing.

        A chain within one data centre is preferred: work that passes between
        data centres takes a shared pipe.

        Args:
            service: Service with the model of its engines.
            demand: What the request needs.
            excluded: Targets that must not be used.
            starts: Targets that may be the first of the chain; None for any.
            now: Time in seconds.
        """
        engine = service.engine
        centres: dict[str, list[Candidate]] = {}
        for target in self.targets.serving(service.name):
            if target.report.target_id in excluded:
                continue
            if target.full_until > now or not self.is_usable(target, now):
                continue
            candidate = self.build_candidate(target, engine, demand)
            if candidate is not None:
                if starts is not None and candidate.target_id not in starts:
                    candidate = keep_from_start(candidate)
                group = centres.setdefault(target.report.data_centre, [])
                group.append(candidate)
        path = self.find_local(engine, centres, demand)
        if path is None:
            path = self.find_mixed(engine, centres, demand, now)
        if path is None:
            return ()
        return tuple(
            ChainHop(
                target_id=candidate.target_id,
                address=candidate.address,
                first_layer=first,
                end_layer=end,
            )
            for candidate, first, end in path.steps()
        )

    def is_covered(
        self, service: BackendService, *, excluded: set[str], now: float
    ) -> bool:
        """Whether usable targets hold all layers, with room or without."""
        ranges = sorted(
            (x.report.first_layer, x.report.last_layer + 1)
            for x in self.targets.serving(service.name)
            if x.report.target_id not in excluded and self.is_usable(x, now)
        )
        end = 0
        for first, after in ranges:
            if first > end:
                break
            end = max(end, after)
        return end >= service.engine.layers

    def find_local(
        self,
        engine: Engine,
        centres: dict[str, list[Candidate]],
        demand: Demand,
    ) -> Path | None:
        """Returns the fastest chain that stays in one data centre."""
        best = None
        best_seconds = math.inf
        for centre, group in centres.items():
            path = find_chain(group, 0, engine.layers)
            if path is None:
                continue
            delay = engine.delay_s(self.data_centre, centre)
            seconds = path.cost + delay * demand.answer_tokens
            if seconds < best_seconds:
                best, best_seconds = path, seconds
        return best

    def find_mixed(
        self,
        engine: Engine,
        centres: dict[str, list[Candidate]],
        demand: Demand,
        now: float,
    ) -> Path | None:
        """Returns the fastest chain over all data centres.

        Returns nothing when the pipe between them has no room.
        """
        candidates = []
        place = {}
        for centre, group in centres.items():
            delay = engine.delay_s(self.data_centre, centre)
            link_seconds = delay * demand.answer_tokens
            candidates += [
                dataclasses.replace(x, link_seconds=link_seconds) for x in group
            ]
            place.update((x.target_id, centre) for x in group)
        path = find_chain(candidates, 0, engine.layers)
        if path is None:
            return None
        hops = [place[x.target_id] for x, _, _ in path.steps()]
        crossings = sum(a != b for a, b in itertools.pairwise(hops))
        size = crossings * demand.tokens * engine.activation_bytes
        rate = engine.pipe_bytes_per_s
        if not self.pipe.take(size, rate=rate, vms=self.vms(), now=now):
            return None
        return path

    def build_candidate(
        self, target: Target, engine: Engine, demand: Demand
    ) -> Candidate | None:
        """Returns a target as the search sees it, unless it is full."""
        report = target.report
        accelerator = engine.accelerators.get(report.accelerator)
        layers = report.last_layer + 1 - report.first_layer
        if accelerator is None or layers <= 0:
            return None
        load = self.loads.get(report.target_id)
        room = cache_capacity(engine, accelerator, layers)
        room = room * FILLED_PART - load.all_cache_units
        if room < demand.tokens * layers or load.all_requests >= engine.slots:
            return None
        seconds = estimate_layer_seconds(engine, accelerator, load, demand)
        if target.health is not TargetHealth.HEALTHY:
            seconds *= SUSPECT_FACTOR
        seconds *= target.pace * (1 + JITTER * self.random.random())
        return Candidate(
            target_id=report.target_id,
            address=report.address,
            first=report.first_layer,
            end=report.last_layer + 1,
            layer_seconds=seconds,
            link_seconds=HOP_SECONDS,
        )


def is_served(service: BackendService, targets: TargetTable) -> bool:
    """Whether the known targets of a service could answer a request.

    Those of engines must hold all layers together.
    """
    rows = [x for x in targets.serving(service.name) if not x.report.leaving]
    if service.engine is None:
        return bool(rows)
    held = set()
    for row in rows:
        held.update(range(row.report.first_layer, row.report.last_layer + 1))
    return len(held) >= service.engine.layers


def keep_from_start(candidate: Candidate) -> Candidate:
    """Returns a candidate that cannot be the first of a chain."""
    return dataclasses.replace(candidate, first=max(1, candidate.first))


def cache_capacity(
    engine: Engine, accelerator: Accelerator, layers: int
) -> float:
    """Returns the room for requests, in tokens times layers."""
    free = accelerator.memory_bytes - layers * engine.layer_bytes
    return free / (engine.cache_token_bytes / engine.layers)


def estimate_layer_seconds(
    engine: Engine,
    accelerator: Accelerator,
    load: EngineLoadRow,
    demand: Demand,
) -> float:
    """Returns the time that one layer takes for the whole request."""
    others = load.all_requests
    context = demand.prompt_tokens + demand.answer_tokens / 2
    step = engine.step_s + (others + 1) * (
        engine.request_step_s + engine.context_step_s * context
    )
    writing = demand.answer_tokens * step * accelerator.step_factor
    reading = demand.prompt_tokens * engine.read_s * accelerator.prefill_factor
    return (writing + reading) / engine.layers
