"""Choice of the target that is expected to complete a request first.

Each decision scores a bounded number of samples: targets that cache a prefix of
the prompt, targets with a free slot in this data centre and such targets in any
data centre. Sampling keeps VMs that read the same stale reports from choosing
the same target, and bounds the cost of a decision for any number of targets.
"""

from collections.abc import Callable
from collections.abc import Set
import dataclasses
import random as randoms

from rattanroute.actions import Hop
from rattanroute.systems.target_filters import TargetFilter
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

# More samples find faster targets, but make VMs with the same stale reports
# choose the same ones. In `tools/bench_policies.py` at 80% load, the 95th
# percentile time to the first token is 2.2 s with 6 and 4 samples and 1.6 s
# with 2 and 2.
LOCAL_SAMPLES = 2
ANY_SAMPLES = 2
HOLDER_SAMPLES = 3
# Samples of each further round when none of the first could be used.
FALLBACK_SAMPLES = 6
# Number of prefix hashes looked up per request, longest prefix first.
MAX_PREFIX_LOOKUPS = 32
# Speed of prompt processing, which is parallel, relative to token generation,
# which is sequential. Targets do not report it. 20 is a low value for batched
# engines. The intent is to underrate prefix affinity rather than overrate it.
PREFILL_RATIO = 20.0
# Fraction of a reported cached prefix that is assumed to be present, as cache
# events are late and incomplete.
PREFIX_CONFIDENCE = 0.8
# One-way delay to another data centre until one is measured.
DEFAULT_REMOTE_LINK_SECONDS = 0.005
# Duration of a service call until one is measured.
DEFAULT_SERVICE_SECONDS = 0.05
# For this long after its first report, the estimate of a target is raised by a
# factor that falls from 1 + `SLOW_START_FACTOR` to 1.
SLOW_START_SECONDS = 10.0
SLOW_START_FACTOR = 3.0
# Added to the estimate of a suspected target per recent failure.
FAILURE_PENALTY_SECONDS = 0.25
# Expected wait at a full target as a fraction of the run time, because other
# VMs take its last slots between two reports.
FULL_TARGET_WAIT = 0.5
# The same where other VMs compete for the few targets with a free slot. They do
# not know of a slot that an attempt of this VM has just freed. At 80% load, the
# 95th percentile time to the first token is 1.5 s with 8 and 2.0 s with 0.
CONTENTION_WEIGHT = 8.0
# Relative noise that breaks ties between equal targets.
TIE_BREAK_NOISE = 0.02
# Token limit assumed for requests without one.
DEFAULT_TOKENS_OUT = 64
# Weight of a new sample in the moving averages.
AVERAGE_WEIGHT = 0.05
# Assumed ratio of generated tokens to the limit until enough answers are known.
# A low value admits requests whose limit is far above what they need.
INITIAL_OUTPUT_RATIO = 0.25
MIN_OUTPUT_SAMPLES = 10
# A streamed answer below this fraction of the known speed was slowed down by
# the client that reads it rather than by the target.
MIN_STREAM_SPEED_RATIO = 0.5


@dataclasses.dataclass(kw_only=True, slots=True)
class OutputRatio:
    """Mean ratio of generated tokens to the limit, with its sample count."""

    mean: float = INITIAL_OUTPUT_RATIO
    samples: int = 0

    def add(self, ratio: float) -> None:
        """Adds the ratio of an answer."""
        self.samples += 1
        weight = max(AVERAGE_WEIGHT, 1.0 / self.samples)
        self.mean += weight * (ratio - self.mean)

    @property
    def value(self) -> float:
        """The mean, or the initial value until there are enough samples."""
        if self.samples < MIN_OUTPUT_SAMPLES:
            return INITIAL_OUTPUT_RATIO
        return self.mean


@dataclasses.dataclass(kw_only=True, slots=True)
class RoutingSystem:
    """Estimates completion times and chooses targets.

    Attributes:
        data_centre: Data centre of this VM.
        targets: All targets.
        configuration: Returns the active configuration.
        drains: Decides which targets may get new work.
        random: Source of randomness for sampling.
        output_ratios: Ratio of generated tokens to the limit, by model.
        service_seconds: Mean duration of a call in seconds, by service.
    """

    data_centre: str
    targets: TargetTable
    configuration: Callable[[], Configuration]
    target_filter: TargetFilter
    random: randoms.Random
    output_ratios: dict[str, OutputRatio] = dataclasses.field(
        default_factory=dict
    )
    service_seconds: dict[str, float] = dataclasses.field(default_factory=dict)

    def find_pool_key(self, request: Request) -> PoolKey:
        """Returns the key of the pool whose targets can serve a request."""
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
            now: Current time in seconds.
        """
        pool = self.targets.pool(key)
        if pool is None or not len(pool.open):
            return None
        drained = self.configuration().drained_targets
        cached = self.find_cached_fractions(request, pool)
        found = {row.report.target_id: row for row, _ in cached.values()}
        zone = pool.zones.get(self.data_centre)
        if zone is not None:
            self.sample(zone, LOCAL_SAMPLES, found)
        self.sample(pool.open, ANY_SAMPLES, found)
        freed_id = self.take_freed(pool, found)
        scarcity = 1.0 - len(pool.open) / len(pool.members)
        best: Target | None = None
        best_seconds = 0.0
        while found:
            for target_id, row in found.items():
                if target_id in avoid:
                    continue
                if not self.is_open(row, drained, now):
                    self.targets.index.close(row)
                    continue
                fraction = cached[target_id][1] if target_id in cached else 0.0
                contention = 0.0 if target_id == freed_id else scarcity
                seconds = self.estimate(request, row, fraction, contention, now)
                seconds *= 1.0 + TIE_BREAK_NOISE * self.random.random()
                if best is None or seconds < best_seconds:
                    best = row
                    best_seconds = seconds
            if best is not None or not len(pool.open):
                return best
            found = self.next_samples(pool, avoid)
        return best

    def take_freed(self, pool: Pool, found: dict[str, Target]) -> str:
        """Adds the open target that this VM freed last; returns its id."""
        while pool.freed:
            row = pool.freed.pop()
            target_id = row.report.target_id
            if target_id in pool.open.positions:
                found[target_id] = row
                return target_id
        return ""

    def next_samples(self, pool: Pool, avoid: Set[str]) -> dict[str, Target]:
        """Returns further samples after a round without a usable target.

        Unusable samples have been removed from the open sets, so all rounds
        of all decisions together cost at most one check per report.
        """
        found: dict[str, Target] = {}
        if len(pool.open) <= FALLBACK_SAMPLES + len(avoid):
            found = {row.report.target_id: row for row in pool.open.rows}
        else:
            self.sample(pool.open, FALLBACK_SAMPLES, found)
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

    def find_cached_fractions(
        self, request: Request, pool: Pool
    ) -> dict[str, tuple[Target, float]]:
        """Returns targets that cache a prefix of the prompt.

        A missing hash of a shorter prefix is a gap in the cache events and is
        skipped, as a cached longer prefix contains the shorter one.

        Returns:
            Open targets with the longest cached prefixes, by target, each
            with the cached fraction of the prompt, 0 to 1.
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
            fraction = (position + 1) / len(hashes)
            for row in self.sample_holders(rows):
                target_id = row.report.target_id
                if target_id in pool.open.positions and target_id not in found:
                    found[target_id] = (row, fraction)
            if len(found) >= HOLDER_SAMPLES:
                break
        return found

    def sample_holders(self, rows: list[Target]) -> list[Target]:
        """Returns up to `HOLDER_SAMPLES` targets from a random position on."""
        if len(rows) <= HOLDER_SAMPLES:
            return rows
        start = int(self.random.random() * len(rows))
        return [
            rows[(start + step) % len(rows)] for step in range(HOLDER_SAMPLES)
        ]

    def is_open(self, row: Target, drained: Set[str], now: float) -> bool:
        """Returns whether a target accepts new work and has a free slot."""
        return row.load < row.report.slots and self.target_filter.accepts_work(
            row, drained, now
        )

    def estimate(
        self,
        request: Request,
        row: Target,
        cached: float,
        contention: float,
        now: float,
    ) -> float:
        """Returns the expected seconds until a target completes a request.

        Args:
            request: The request.
            row: The target.
            cached: Fraction of the prompt in the target's prefix cache, 0 to 1.
            contention: Competition of other VMs for its free slots, 0 to 1.
            now: Current time in seconds.
        """
        report = row.report
        run = self.run_seconds(request, row, cached)
        fill = row.load / report.slots
        wait = run * (
            FULL_TARGET_WAIT * fill * fill
            + CONTENTION_WEIGHT * contention * fill
        )
        wait /= 1 + max(0, request.priority)
        link = row.link_seconds
        if not link and report.data_centre != self.data_centre:
            link = DEFAULT_REMOTE_LINK_SECONDS
        seconds = run + wait + 2 * link
        age = now - row.first_received_at
        if age < SLOW_START_SECONDS:
            seconds *= 1 + SLOW_START_FACTOR * (1 - age / SLOW_START_SECONDS)
        if row.health is TargetHealth.SUSPECT:
            seconds += FAILURE_PENALTY_SECONDS * row.failures
            seconds *= max(1.0, row.slowness)
        return seconds

    def run_seconds(
        self, request: Request, row: Target, cached: float = 0.0
    ) -> float:
        """Returns the expected seconds of a request in a slot of a target."""
        if row.report.kind is TargetKind.SERVICE:
            return self.service_seconds.get(
                request.model, DEFAULT_SERVICE_SECONDS
            )
        speed = self.targets.speed(row)
        prefill = request.tokens_in * (1.0 - PREFIX_CONFIDENCE * cached)
        return (
            prefill / (speed * PREFILL_RATIO)
            + self.expected_tokens(request) / speed
        )

    def expected_tokens(self, request: Request) -> float:
        """Returns the expected number of tokens that are still to generate."""
        known = self.output_ratios.get(request.model)
        ratio = known.value if known is not None else INITIAL_OUTPUT_RATIO
        limit = request.max_tokens or DEFAULT_TOKENS_OUT
        return max(1.0, ratio * limit - request.tokens_out)

    def has_usable_target(
        self, key: PoolKey, avoid: Set[str], now: float
    ) -> bool:
        """Returns whether some target may run a request now or soon."""
        pool = self.targets.pool(key)
        if pool is None:
            return False
        drained = self.configuration().drained_targets
        return any(
            row.report.target_id not in avoid
            and self.target_filter.accepts_work_soon(row, drained, now)
            for row in pool.members.rows
        )

    def record_completion(
        self, request: Request, row: Target, seconds: float, tokens: int
    ) -> None:
        """Updates speed and output length estimates after a complete answer.

        Args:
            request: The request.
            row: The target that ran it.
            seconds: Time from the dispatch to the end, in seconds.
            tokens: Number of tokens that the attempt generated.
        """
        seconds = max(seconds - 2 * row.link_seconds, 1e-6)
        if request.kind is RequestKind.SERVICE:
            mean = self.service_seconds.get(request.model, seconds)
            mean += AVERAGE_WEIGHT * (seconds - mean)
            self.service_seconds[request.model] = mean
            return
        if tokens > 0:
            speed = (tokens + request.tokens_in / PREFILL_RATIO) / seconds
            if (
                not request.stream
                or speed > MIN_STREAM_SPEED_RATIO * self.targets.speed(row)
            ):
                self.targets.note_speed(row, speed)
        if request.max_tokens > 0:
            known = self.output_ratios.get(request.model)
            if known is None:
                known = self.output_ratios[request.model] = OutputRatio()
            total = request.tokens_out + tokens
            known.add(min(1.0, total / request.max_tokens))

    def max_seconds(self, request: Request, row: Target) -> float:
        """Returns the expected seconds of an answer of maximum length."""
        if row.report.kind is TargetKind.SERVICE:
            return self.service_seconds.get(
                request.model, DEFAULT_SERVICE_SECONDS
            )
        limit = request.max_tokens or DEFAULT_TOKENS_OUT
        work = limit + request.tokens_in / PREFILL_RATIO
        return work / self.targets.speed(row)

    def accelerator_seconds(
        self, request: Request, row: Target, tokens: int
    ) -> float:
        """Returns the mean seconds of an answer on this kind of accelerator."""
        if row.report.kind is TargetKind.SERVICE:
            return self.service_seconds.get(
                request.model, DEFAULT_SERVICE_SECONDS
            )
        report = row.report
        speed = self.targets.kind_speeds.get(
            (report.model, report.accelerator)
        ) or self.targets.speed(row)
        return (max(1, tokens) + request.tokens_in / PREFILL_RATIO) / speed


def build_hop(row: Target) -> Hop:
    """Returns the hop of a target that runs a complete model or a service."""
    report = row.report
    return Hop(
        target_id=report.target_id,
        address=report.address,
        first_layer=report.first_layer,
        last_layer=report.last_layer,
    )
