"""Discrete-event simulation that compares routing policies.

Twenty VMs route to targets of different speeds and read delayed reports. A
target runs as many requests as it has slots and queues the rest in order of
arrival. The simulation has no failures, batching effects or network
congestion.
"""

import collections
from collections.abc import Callable
import dataclasses
import heapq
import random as randoms
import statistics

from rattanroute.actions import Action
from rattanroute.actions import CancelAttempt
from rattanroute.actions import Dispatch
from rattanroute.actions import Refuse
from rattanroute.events import AttemptStarted
from rattanroute.events import AttemptSucceeded
from rattanroute.events import RequestArrived
from rattanroute.requests.core_systems import CoreSettings
from rattanroute.requests.cores import RequestCore
from rattanroute.tables.configurations import Configuration
from rattanroute.tables.requests import Request
from rattanroute.tables.requests import RequestKind
from rattanroute.tables.requests import RequestTable
from rattanroute.tables.targets import TargetReport
from rattanroute.tables.targets import TargetTable

LOADS = (0.5, 0.8, 0.95, 1.2)
POLICIES = ("rattanroute", "random", "round-robin", "least-loaded")
FIRST_TOKEN_SECONDS = 1.6
VMS = 20
SEEDS = 5
TARGETS = 30
SLOTS = 4
ACCELERATOR_KINDS = 6
REPORT_SECONDS = 0.5
REPORT_LAG_SECONDS = 0.3
TICK_SECONDS = 0.05
LINK_SECONDS = 0.001
WARM_UP_SECONDS = 20.0
END_SECONDS = 60.0
DEADLINE_SECONDS = 20.0
MEAN_TOKENS_IN = 400
MEAN_TOKENS_OUT = 80
MAX_TOKENS_OUT = 400
PREFILL_RATIO = 20.0


@dataclasses.dataclass(kw_only=True, slots=True)
class Job:
    """A request with the number of tokens that it generates.

    Attributes:
        request: The request.
        vm: Index of the VM where it arrives.
        tokens_out: Number of generated tokens.
        attempt: Number of the latest attempt.
        cancelled: Whether that attempt was cancelled.
        first_token_at: Time of the first token, in seconds.
        ended_at: Time of completion, in seconds.
        refused: Whether the VM refused the request.
    """

    request: Request
    vm: int
    tokens_out: int
    attempt: int = 1
    cancelled: bool = False
    first_token_at: float | None = None
    ended_at: float | None = None
    refused: bool = False

    @property
    def work(self) -> float:
        """Work of the request in units of generated tokens."""
        return self.tokens_out + self.request.tokens_in / PREFILL_RATIO


@dataclasses.dataclass(kw_only=True, slots=True)
class Engine:
    """A simulated target.

    Attributes:
        target_id: Identifier of the target.
        accelerator: Accelerator kind.
        speed: Decode speed of a request, in tokens per second.
        running: Number of occupied slots.
        waiting: Queued requests with their attempt numbers.
    """

    target_id: str
    accelerator: str
    speed: float
    running: int = 0
    waiting: collections.deque[tuple[Job, int]] = dataclasses.field(
        default_factory=collections.deque
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PolicyResult:
    """Result of a run.

    Attributes:
        goodput: Work done before the deadline, as a fraction of the capacity.
        first_token_p50: Median time to first token, in seconds.
        first_token_p95: 95th percentile of that time, in seconds.
        refused: Fraction of refused requests.
    """

    goodput: float
    first_token_p50: float
    first_token_p95: float
    refused: float


class Simulation:
    """A discrete-event simulation of the slots of all targets."""

    def __init__(self, policy: str, load: float, seed: int = 0) -> None:
        self.policy = policy
        self.seed = seed
        # All policies see the same arrivals.
        self.arrivals = randoms.Random(f"{load} {seed}")
        self.random = randoms.Random(f"{policy} {seed}")
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.jobs: dict[str, Job] = {}
        self.engines = [
            Engine(
                target_id=f"t{number}",
                accelerator=f"kind-{number % ACCELERATOR_KINDS}",
                speed=20.0 * (1 + number % ACCELERATOR_KINDS),
            )
            for number in range(TARGETS)
        ]
        self.by_id = {engine.target_id: engine for engine in self.engines}
        self.capacity = sum(SLOTS * engine.speed for engine in self.engines)
        mean = MEAN_TOKENS_OUT + MEAN_TOKENS_IN / PREFILL_RATIO
        self.rate = load * self.capacity / mean
        self.reported = dict.fromkeys(self.by_id, 0)
        self.rotations = [self.random.randrange(TARGETS) for _ in range(VMS)]
        self.sequence = 0
        self.cores = [self.build_core(number) for number in range(VMS)]

    def build_core(self, number: int) -> RequestCore:
        """Builds the request core of a VM."""
        return RequestCore(
            vm_id=f"vm-{number}",
            data_centre="dc",
            targets=TargetTable(),
            requests=RequestTable(),
            configuration=Configuration,
            settings=CoreSettings(),
            random=randoms.Random(f"{number} {self.seed}"),
        )

    def schedule(self, seconds: float, call: Callable[[], None]) -> None:
        """Schedules a call after a delay in seconds."""
        self.count += 1
        heapq.heappush(self.events, (self.now + seconds, self.count, call))

    def run(self) -> PolicyResult:
        """Runs the simulation to its end."""
        self.report()
        self.add_arrival()
        if self.policy == "rattanroute":
            self.tick()
        while self.events and self.now < END_SECONDS + DEADLINE_SECONDS:
            self.now, _, call = heapq.heappop(self.events)
            call()
        return self.summarize()

    def report(self) -> None:
        """Reports the state of all targets with a delay."""
        self.sequence += 1
        taken_at = self.now
        snapshot = [
            TargetReport(
                target_id=engine.target_id,
                sequence=self.sequence,
                address="",
                data_centre="dc",
                model="m",
                last_layer=7,
                total_layers=8,
                accelerator=engine.accelerator,
                slots=SLOTS,
                tokens_per_second=engine.speed,
                running=engine.running,
                queued=len(engine.waiting),
            )
            for engine in self.engines
        ]

        def deliver() -> None:
            for report in snapshot:
                load = report.running + report.queued
                self.reported[report.target_id] = load
                if self.policy == "rattanroute":
                    for core in self.cores:
                        core.targets.record(
                            report=report, observer="x", received_at=taken_at
                        )

        if self.now:
            self.schedule(REPORT_LAG_SECONDS, deliver)
        else:
            deliver()
        self.schedule(REPORT_SECONDS, self.report)

    def tick(self) -> None:
        """Ticks the cores of all VMs."""
        for vm, core in enumerate(self.cores):
            self.execute_actions(vm, core.tick(now=self.now))
        self.schedule(TICK_SECONDS, self.tick)

    def add_arrival(self) -> None:
        """Simulates an arrival at a random VM and schedules the next one."""
        if self.now > END_SECONDS:
            return
        vm = self.arrivals.randrange(VMS)
        name = f"r{len(self.jobs)}"
        request = Request(
            request_id=name,
            kind=RequestKind.CHAT,
            workspace=f"w{vm}",
            neighbour="n",
            model="m",
            fingerprint=name,
            tokens_in=self.arrivals.randrange(1, 2 * MEAN_TOKENS_IN),
            max_tokens=MAX_TOKENS_OUT,
            arrived_at=self.now,
            deadline=self.now + DEADLINE_SECONDS,
            stream=True,
        )
        tokens_out = self.arrivals.expovariate(1 / MEAN_TOKENS_OUT)
        tokens_out = min(MAX_TOKENS_OUT, 1 + int(tokens_out))
        job = Job(request=request, vm=vm, tokens_out=tokens_out)
        self.jobs[name] = job
        if self.policy == "rattanroute":
            event = RequestArrived(request=request)
            self.execute_actions(vm, self.cores[vm].handle(event, now=self.now))
        else:
            engine = self.choose_target(vm)
            self.schedule(LINK_SECONDS, lambda: self.receive(engine, job))
        self.schedule(self.arrivals.expovariate(self.rate), self.add_arrival)

    def choose_target(self, vm: int) -> Engine:
        """Chooses a target by a baseline policy."""
        if self.policy == "random":
            return self.random.choice(self.engines)
        if self.policy == "round-robin":
            self.rotations[vm] = (self.rotations[vm] + 1) % TARGETS
            return self.engines[self.rotations[vm]]
        least = min(self.reported.values())
        return self.by_id[
            self.random.choice(
                [name for name, n in self.reported.items() if n == least]
            )
        ]

    def execute_actions(self, vm: int, actions: list[Action]) -> None:
        """Executes the actions of a core."""
        for action in actions:
            if isinstance(action, Dispatch):
                self.send(self.jobs[action.request_id], action)
            elif isinstance(action, CancelAttempt):
                job = self.jobs[action.request_id]
                job.cancelled = job.cancelled or action.attempt == job.attempt
            elif isinstance(action, Refuse):
                self.jobs[action.request_id].refused = True

    def send(self, job: Job, action: Dispatch) -> None:
        """Sends an attempt to its target."""
        job.attempt = action.attempt
        job.cancelled = False
        engine = self.by_id[action.chain[0].target_id]
        self.schedule(LINK_SECONDS, lambda: self.receive(engine, job))

    def receive(self, engine: Engine, job: Job) -> None:
        """Starts a request in a free slot or queues it at the target."""
        if engine.running < SLOTS:
            self.start_request(engine, job)
        else:
            engine.waiting.append((job, job.attempt))

    def start_request(self, engine: Engine, job: Job) -> None:
        """Occupies a slot for the duration of the request."""
        engine.running += 1
        prefill = job.request.tokens_in / (engine.speed * PREFILL_RATIO)
        decode = job.tokens_out / engine.speed
        names = {"request_id": job.request.request_id, "attempt": job.attempt}
        self.schedule(
            prefill + 1 / engine.speed,
            lambda: self.record_first_token(job, AttemptStarted(**names)),
        )
        done = AttemptSucceeded(**names, tokens_out=job.tokens_out)
        self.schedule(
            prefill + decode, lambda: self.finish_request(engine, job, done)
        )

    def record_first_token(self, job: Job, event: AttemptStarted) -> None:
        """Records the first token and notifies the core."""
        if job.first_token_at is None:
            job.first_token_at = self.now
        self.deliver_event(job, event)

    def finish_request(
        self, engine: Engine, job: Job, event: AttemptSucceeded
    ) -> None:
        """Frees the slot and starts the next request still needed."""
        if job.ended_at is None:
            job.ended_at = self.now
        self.deliver_event(job, event)
        engine.running -= 1
        while engine.waiting and engine.running < SLOTS:
            waiting, attempt = engine.waiting.popleft()
            late = waiting.request.deadline <= self.now
            stale = waiting.cancelled or attempt != waiting.attempt
            if not late and not stale:
                self.start_request(engine, waiting)

    def deliver_event(
        self, job: Job, event: AttemptStarted | AttemptSucceeded
    ) -> None:
        """Delivers an event to the core that owns the request."""
        if self.policy == "rattanroute" and not job.cancelled:
            core = self.cores[job.vm]
            self.execute_actions(job.vm, core.handle(event, now=self.now))

    def summarize(self) -> PolicyResult:
        """Summarizes the requests that arrived after the warm-up."""
        jobs = [
            job
            for job in self.jobs.values()
            if WARM_UP_SECONDS <= job.request.arrived_at <= END_SECONDS
        ]
        # Work counts at its completion, so that the work in the window is at
        # most the bound.
        work = sum(
            job.work
            for job in self.jobs.values()
            if job.ended_at is not None
            and WARM_UP_SECONDS <= job.ended_at <= END_SECONDS
            and job.ended_at <= job.request.deadline
        )
        delays = [
            job.first_token_at - job.request.arrived_at
            for job in jobs
            if job.first_token_at is not None
        ]
        percentiles = statistics.quantiles(delays, n=20)
        return PolicyResult(
            goodput=work / (self.capacity * (END_SECONDS - WARM_UP_SECONDS)),
            first_token_p50=percentiles[9],
            first_token_p95=percentiles[18],
            refused=sum(job.refused for job in jobs) / len(jobs),
        )


def simulate(policy: str, load: float) -> PolicyResult:
    """Returns the mean of several runs of a policy at a load.

    At 95% of the bound, the 95th percentile of the time to first token varies
    by more than a second between runs.
    """
    outcomes = [Simulation(policy, load, seed).run() for seed in range(SEEDS)]
    return PolicyResult(
        goodput=statistics.mean(o.goodput for o in outcomes),
        first_token_p50=statistics.mean(o.first_token_p50 for o in outcomes),
        first_token_p95=statistics.mean(o.first_token_p95 for o in outcomes),
        refused=statistics.mean(o.refused for o in outcomes),
    )
