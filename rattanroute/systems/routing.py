"""Choice of the target that completes a request first.

A decision scores a bounded number of samples: holders of the request's cached
prefix, open targets of the own data centre and open targets of any data
centre. Sampling keeps VMs that read the same stale report from choosing the
same target, and bounds the cost however many targets there are.
"""

from collections.abc import Callable
from collections.abc import Set
import dataclasses
import random as randoms

from rattanroute.actions import Hop
from rattanroute.systems.drains import DrainSystem
from rattanroute.tables.configurations import Configuration
from rattanroute.tables.pools import Pool
from rattanroute.tables.pools import PoolKey
from rattanroute.tables.pools import SampledSet
from rattanroute.tables.requests import Request
from rattanroute.tables.requests import RequestKind
from rattanroute.tables.targets import Target
from rattanroute.tables.targets import TargetHealth
from rattanroute.tables.targets import TargetKind
from rattanroute.tables.targets import TargetTable

# More samples find faster targets but make VMs with the same stale reports
# choose the same ones: in `tools/bench_policies.py` at 80% load the first token
# at the 95th percentile takes 2.2 s with 6 and 4 samples, 1.6 s with 2 and 2.
LOCAL_SAMPLES = 2
ANY_SAMPLES = 2
HOLDER_SAMPLES = 3
MORE_SAMPLES = 6
# Prefix hashes looked up per request, longest first.
MAX_PREFIX_LOOKUPS = 32
# Prompt tokens are processed in parallel, generated ones in sequence. The
# ratio of the two speeds is not reported; 20 is a low value for batched
# engines, so that affinity is rather under- than overrated.
PREFILL_RATIO = 20.0
# Part of a reported cached prefix that is counted on: cache events are late
# and incomplete.
PREFIX_TRUST = 0.8
# One-way delay to another data centre before a measurement.
REMOTE_LINK_SECONDS = 0.005
SERVICE_SECONDS = 0.05
SLOW_START_SECONDS = 10.0
SLOW_START_FACTOR = 3.0
# Added to the estimate per recent failure of a target under suspicion.
FAILURE_SECONDS = 0.25
# Part of the service time that a full target is expected to cost in waiting,
# as other VMs take its last slots between two reports.
CONTENTION = 0.5
# The same where other VMs compete for the few targets with a free slot. A slot
# that this VM freed itself is not known to them. With 8 instead of 0 the first
# token at the 95th percentile at 80% load takes 1.5 s instead of 2.0 s.
RIVALS = 8.0
# Relative noise that breaks ties between equal targets.
NOISE = 0.02
DEFAULT_TOKENS_OUT = 64
OUTPUT_WEIGHT = 0.05
# Generated tokens as part of the limit before enough answers are known. A low
# value admits requests whose limit is far above what they need.
INITIAL_OUTPUT_RATIO = 0.25
MIN_OUTPUT_SAMPLES = 10
# A streamed answer below this part of the known speed was slowed down by its
# reader rather than by the target.
READER_PART = 0.5


@dataclasses.dataclass(kw_only=True, slots=True)
class OutputRatio:
    """Mean generated tokens as part of the limit, with its samples."""

    mean: float = INITIAL_OUTPUT_RATIO
    samples: int = 0

    def add(self, ratio: float) -> None:
        """Adds an answer."""
        self.samples += 1
        weight = max(OUTPUT_WEIGHT, 1.0 / self.samples)
        self.mean += weight * (ratio - self.mean)

    @property
    def value(self) -> float:
        """The mean, or the initial value while there are few samples."""
        if self.samples < MIN_OUTPUT_SAMPLES:
            return INITIAL_OUTPUT_RATIO
        return self.mean


@dataclasses.dataclass(kw_only=True, slots=True)
class RoutingSystem:
    """Estimates completion times and chooses targets.

    Attributes:
        data_centre: Data centre of this VM.
        targets: All targets.
        configuration: Returns the configuration in force.
        drains: Decides which targets may get new work.
        random: Random numbers for sampling.
        output_ratios: Mean generated tokens as part of the limit, by model.
        service_seconds: Mean duration of a service call, by service.
    """

    data_centre: str
    targets: TargetTable
    configuration: Callable[[], Configuration]
    drains: DrainSystem
    random: randoms.Random
    output_ratios: dict[str, OutputRatio] = dataclasses.field(
        default_factory=dict
    )
    service_seconds: dict[str, float] = dataclasses.field(default_factory=dict)

    def key_of(self, request: Request) -> PoolKey:
        """Returns the pool that a request needs."""
        version = request.version
        if not version:
            model = self.configuration().models.get(request.model)
            version = model.version if model is not None else ""
        return PoolKey(request.model, version, request.adapter)

    def choose(
        self,
        request: Request,
        *,
        key: PoolKey,
        avoid: Set[str],
        now: float,
    ) -> Target | None:
        """Returns the best sampled target with a free slot, or None.

        Args:
            request: The request.
            key: Its pool.
            avoid: Targets that must not run it.
            now: Time in seconds.
        """
        pool = self.targets.pool(key)
        if pool is None or not len(pool.open):
            return None
        drained = self.configuration().drained_targets
        held = self.held_parts(request, pool)
        found = {row.report.target_id: row for row, _ in held.values()}
        zone = pool.zones.get(self.data_centre)
        if zone is not None:
            self.sample(zone, LOCAL_SAMPLES, found)
        self.sample(pool.open, ANY_SAMPLES, found)
        fresh = self.take_freed(pool, found)
        tight = 1.0 - len(pool.open) / len(pool.members)
        best: Target | None = None
        best_seconds = 0.0
        while found:
            for target_id, row in found.items():
                if target_id in avoid:
                    continue
                if not self.is_open(row, drained, now):
                    self.targets.index.close(row)
                    continue
                part = held[target_id][1] if target_id in held else 0.0
                rivals = 0.0 if target_id == fresh else tight
                seconds = self.estimate(request, row, part, rivals, now)
                seconds *= 1.0 + NOISE * self.random.random()
                if best is None or seconds < best_seconds:
                    best = row
                    best_seconds = seconds
            if best is not None or not len(pool.open):
                return best
            found = self.next_samples(pool, avoid)
        return best

    def take_freed(self, pool: Pool, found: dict[str, Target]) -> str:
        """Adds the target whose slot this VM freed last; returns its id."""
        while pool.freed:
            row = pool.freed.pop()
            target_id = row.report.target_id
            if target_id in pool.open.positions:
                found[target_id] = row
                return target_id
        return ""

    def next_samples(self, pool: Pool, avoid: Set[str]) -> dict[str, Target]:
        """Returns further samples after a round without a usable target.

        Unusable samples have left the open sets, so that the rounds of all
        decisions together cost at most one check per report.
        """
        found: dict[str, Target] = {}
        if len(pool.open) <= MORE_SAMPLES + len(avoid):
            found = {row.report.target_id: row for row in pool.open.rows}
        else:
            self.sample(pool.open, MORE_SAMPLES, found)
        return {key: row for key, row in found.items() if key not in avoid}

    def sample(
        self, rows: SampledSet, count: int, found: dict[str, Target]
    ) -> None:
        """Adds up to `count` random targets to `found`."""
        if len(rows) <= count:
            for row in rows.rows:
                found[row.report.target_id] = row
            return
        for _ in range(count):
            row = rows.pick(self.random)
            found[row.report.target_id] = row

    def held_parts(
        self, request: Request, pool: Pool
    ) -> dict[str, tuple[Target, float]]:
        """Returns holders of the longest cached prefixes and their parts.

        A missing hash of a shorter prefix is a gap in the cache events and is
        skipped: a held longer prefix contains it.
        """
        hashes = request.prefix_hashes
        found: dict[str, tuple[Target, float]] = {}
        if not hashes:
            return found
        holders = self.targets.index.holders
        first = max(0, len(hashes) - MAX_PREFIX_LOOKUPS)
        for position in range(len(hashes) - 1, first - 1, -1):
            rows = holders.get(hashes[position])
            if rows is None:
                continue
            part = (position + 1) / len(hashes)
            for row in self.spread(rows):
                target_id = row.report.target_id
                if target_id in pool.open.positions and target_id not in found:
                    found[target_id] = (row, part)
            if len(found) >= HOLDER_SAMPLES:
                break
        return found

    def spread(self, rows: list[Target]) -> list[Target]:
        """Returns a bounded random part of a list."""
        if len(rows) <= HOLDER_SAMPLES:
            return rows
        start = int(self.random.random() * len(rows))
        return [
            rows[(start + step) % len(rows)] for step in range(HOLDER_SAMPLES)
        ]

    def is_open(self, row: Target, drained: Set[str], now: float) -> bool:
        """Tells whether a target takes new work and has a free slot."""
        return row.load < row.report.slots and self.drains.admits(
            row, drained, now
        )

    def estimate(
        self,
        request: Request,
        row: Target,
        held: float,
        rivals: float,
        now: float,
    ) -> float:
        """Returns the expected seconds until a target completes a request.

        Args:
            request: The request.
            row: The target.
            held: Part of the prompt in the target's prefix cache, 0 to 1.
            rivals: How contested its free slots are by other VMs, 0 to 1.
            now: Time in seconds.
        """
        report = row.report
        run = self.run_seconds(request, row, held)
        fill = row.load / report.slots
        wait = run * (CONTENTION * fill * fill + RIVALS * rivals * fill)
        wait /= 1 + max(0, request.priority)
        link = row.link_seconds
        if not link and report.data_centre != self.data_centre:
            link = REMOTE_LINK_SECONDS
        seconds = run + wait + 2 * link
        age = now - row.first_received_at
        if age < SLOW_START_SECONDS:
            seconds *= 1 + SLOW_START_FACTOR * (1 - age / SLOW_START_SECONDS)
        if row.health is TargetHealth.SUSPECT:
            seconds += FAILURE_SECONDS * row.failures
            seconds *= max(1.0, row.slowness)
        return seconds

    def run_seconds(
        self, request: Request, row: Target, held: float = 0.0
    ) -> float:
        """Returns the expected seconds of a request in a slot of a target."""
        if row.report.kind is TargetKind.SERVICE:
            return self.service_seconds.get(request.model, SERVICE_SECONDS)
        speed = self.targets.speed(row)
        prefill = request.tokens_in * (1.0 - PREFIX_TRUST * held)
        return (
            prefill / (speed * PREFILL_RATIO)
            + self.expected_tokens(request) / speed
        )

    def expected_tokens(self, request: Request) -> float:
        """Returns the generated tokens that are still to be expected."""
        known = self.output_ratios.get(request.model)
        ratio = known.value if known is not None else INITIAL_OUTPUT_RATIO
        limit = request.max_tokens or DEFAULT_TOKENS_OUT
        return max(1.0, ratio * limit - request.tokens_out)

    def usable(self, key: PoolKey, avoid: Set[str], now: float) -> bool:
        """Tells whether some target may run a request now or soon."""
        pool = self.targets.pool(key)
        if pool is None:
            return False
        drained = self.configuration().drained_targets
        return any(
            row.report.target_id not in avoid
            and self.drains.serves(row, drained, now)
            for row in pool.members.rows
        )

    def learn(
        self, request: Request, row: Target, seconds: float, tokens: int
    ) -> None:
        """Updates speeds and output lengths after a complete answer.

        Args:
            request: The request.
            row: The target that ran it.
            seconds: Time from dispatch to the end.
            tokens: Generated tokens of the attempt.
        """
        seconds = max(seconds - 2 * row.link_seconds, 1e-6)
        if request.kind is RequestKind.SERVICE:
            mean = self.service_seconds.get(request.model, seconds)
            mean += OUTPUT_WEIGHT * (seconds - mean)
            self.service_seconds[request.model] = mean
            return
        if tokens > 0:
            speed = (tokens + request.tokens_in / PREFILL_RATIO) / seconds
            if not request.stream or speed > READER_PART * self.targets.speed(
                row
            ):
                self.targets.note_speed(row, speed)
        if request.max_tokens > 0:
            known = self.output_ratios.get(request.model)
            if known is None:
                known = self.output_ratios[request.model] = OutputRatio()
            total = request.tokens_out + tokens
            known.add(min(1.0, total / request.max_tokens))

    def longest_seconds(self, request: Request, row: Target) -> float:
        """Returns the seconds of an answer that uses its whole limit."""
        if row.report.kind is TargetKind.SERVICE:
            return self.service_seconds.get(request.model, SERVICE_SECONDS)
        limit = request.max_tokens or DEFAULT_TOKENS_OUT
        work = limit + request.tokens_in / PREFILL_RATIO
        return work / self.targets.speed(row)

    def kind_seconds(self, request: Request, row: Target, tokens: int) -> float:
        """Returns the mean seconds of an answer on the accelerator kind."""
        if row.report.kind is TargetKind.SERVICE:
            return self.service_seconds.get(request.model, SERVICE_SECONDS)
        report = row.report
        speed = self.targets.kind_speeds.get(
            (report.model, report.accelerator)
        ) or self.targets.speed(row)
        return (max(1, tokens) + request.tokens_in / PREFILL_RATIO) / speed


def hop_of(row: Target) -> Hop:
    """Returns the single hop of a whole-model target or a service."""
    report = row.report
    return Hop(
        target_id=report.target_id,
        address=report.address,
        first_layer=report.first_layer,
        last_layer=report.last_layer,
    )
