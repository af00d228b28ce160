"""Tests of the distribution of prompts over chains by many VMs.

The load is one that the fastest chain cannot serve alone. The VMs learn of
each other's requests with a delay.
"""

import collections
from collections.abc import Callable
import dataclasses
import heapq
import random
import unittest

import msgspec

from rattanroute.gateway.header_codecs import ChainHop
from rattanroute.messages.loads import EngineLoad
from rattanroute.systems.chain_choices import ChainChooser
from rattanroute.systems.chain_choices import RequestDemand
from rattanroute.systems.chain_rooms import estimate_token_seconds
from rattanroute.tables.engine_loads import EngineLoadTable
from rattanroute.tables.routes import Accelerator
from rattanroute.tests.gateway_support import build_chooser
from rattanroute.tests.gateway_support import build_service
from rattanroute.tests.gateway_support import build_targets
from rattanroute.tests.gateway_support import SERVICE

VMS = 60
GOAL_SECONDS = 0.5
# First events after the objective, of all.
MAX_LATE_FRACTION = 0.02
REPORT_SECONDS = 0.25
STREAM_SECONDS = 3.0
# Engines of three kinds in uneven data centres: memory in bytes, factor on the
# decode time and factor on the prefill time.
KINDS = {
    "big": (72e9, 2.4, 3.2),
    "tiny": (14.4e9, 5.3, 7.9),
    "small": (21.6e9, 16.0, 8.2),
}
CENTRES = {
    "dc-a": {"big": 4, "tiny": 10, "small": 11},
    "dc-b": {"big": 3, "tiny": 14, "small": 16},
    "dc-c": {"big": 2, "tiny": 24, "small": 9},
}
MODEL = {
    "cache_token_bytes": 984e3,
    "step_s": 1.02e-3,
    "request_step_s": 7.64e-6,
    "context_step_s": 1.024e-8,
    "prefill_s": 1 / 196e3,
    "steps_per_pass": 5,
    "prompt_chunk": 512,
    "accelerators": {
        name: Accelerator(
            name=name,
            memory_bytes=memory,
            step_factor=step,
            prefill_factor=prefill,
        )
        for name, (memory, step, prefill) in KINDS.items()
    },
}
DEMAND = RequestDemand(service=SERVICE, prompt_tokens=774, answer_tokens=203)


class EarlierLoad(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """`EngineLoad` of an earlier release."""

    target_id: str
    requests: int
    cache_units: int


def choose(chooser: ChainChooser, now: float) -> tuple[ChainHop, ...]:
    """Chooses a chain for a typical request."""
    return chooser.choose(
        build_service(**MODEL),
        DEMAND,
        excluded=frozenset(),
        demanded=set(),
        first_event_s=GOAL_SECONDS,
        now=now,
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Sent:
    """A request that a VM has sent over a chain."""

    vm: int
    chain: tuple[ChainHop, ...]
    sent_at: float


@dataclasses.dataclass(kw_only=True)
class Deployment:
    """VMs that share the engines of three data centres.

    The first target of a chain runs as many requests at once as it has slots;
    others wait. Each target reads the prompts that reach it one after the
    other, at the rate of the performance model.

    Attributes:
        arrival_rate: Requests per second of all VMs.
        choosers: Chooser of each VM.
        free_at: Time at which a target has read all prompts.
        slot_ends: Heap of the times at which the slots of a first target
            become free.
        events: Heap of (time, number, method, request).
        scheduled: Number of events so far.
        now: Time of the latest arrival, in seconds.
        exchange_at: Time of the next exchange of loads.
        lateness: Time until the prompt of each request was read.
    """

    arrival_rate: float
    seed: int = 1
    choosers: list[ChainChooser] = dataclasses.field(default_factory=list)
    free_at: dict[str, float] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(float)
    )
    slot_ends: dict[str, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    events: list[tuple] = dataclasses.field(default_factory=list)
    scheduled: int = 0
    now: float = 0.0
    exchange_at: float = 0.0
    lateness: list[float] = dataclasses.field(default_factory=list)

    def __post_init__(self) -> None:
        self.service = build_service(**MODEL)
        self.targets = build_targets(CENTRES, self.service.engine)
        self.random = random.Random(self.seed)
        for number in range(VMS):
            chooser = build_chooser(
                self.targets,
                data_centre=f"dc-{'abc'[number % 3]}",
                vms=VMS,
                arrival_rate=self.arrival_rate,
            )
            chooser.random = random.Random(number)
            chooser.rooms.random = random.Random(number)
            self.choosers.append(chooser)
        self.reports = collections.deque([self.list_loads()])

    def list_loads(self) -> list[dict[str, EngineLoad]]:
        """Returns the loads of each VM."""
        return [
            {x.target_id: x for x in chooser.loads.own_loads()}
            for chooser in self.choosers
        ]

    def exchange(self) -> None:
        """Gives each VM the sums of the loads of an earlier moment."""
        self.reports.append(self.list_loads())
        if len(self.reports) > 2:
            self.reports.popleft()
        reports = self.reports[0]
        total = collections.Counter()
        for report in reports:
            for name, load in report.items():
                total[name, "requests"] += load.requests
                total[name, "cache_units"] += load.cache_units
                total[name, "prompt_units"] += load.prompt_units
                total[name, "later_requests"] += load.later_requests
        names = {name for name, _ in total}
        for chooser, report in zip(self.choosers, reports, strict=True):
            others = []
            for name in names:
                own = report.get(
                    name, EngineLoad(target_id=name, requests=0, cache_units=0)
                )
                others.append(
                    EngineLoad(
                        target_id=name,
                        requests=total[name, "requests"] - own.requests,
                        cache_units=total[name, "cache_units"]
                        - own.cache_units,
                        prompt_units=total[name, "prompt_units"]
                        - own.prompt_units,
                        later_requests=total[name, "later_requests"]
                        - own.later_requests,
                    )
                )
            chooser.loads.take_others(tuple(others), VMS)

    def count(self, vm: int, chain: tuple, sign: int) -> None:
        """Adds a request to the load of its chain, or subtracts it."""
        loads = self.choosers[vm].loads
        for hop in chain:
            units = DEMAND.tokens * (hop.end_layer - hop.first_layer)
            loads.add(
                hop.target_id,
                requests=sign,
                cache_units=sign * units,
                is_first=hop is chain[0],
            )

    def count_prompt(self, vm: int, chain: tuple, sign: int) -> None:
        """Adds a prompt to the unread ones, or subtracts it."""
        loads = self.choosers[vm].loads
        for hop in chain:
            units = DEMAND.prompt_tokens * (hop.end_layer - hop.first_layer)
            loads.add_prompt(hop.target_id, sign * units)

    def send(self, vm: int, now: float) -> None:
        """Sends a request over the chain that its VM chooses."""
        chooser = self.choosers[vm]
        chain = choose(chooser, now)
        if not chain:
            self.lateness.append(float("inf"))
            return
        self.count(vm, chain, 1)
        self.count_prompt(vm, chain, 1)
        request = Sent(vm=vm, chain=chain, sent_at=now)
        begins_at = self.take_slot(chain[0].target_id, now)
        self.schedule(begins_at, self.begin, request)

    def schedule(
        self, at: float, action: Callable[[Sent, float], None], request: Sent
    ) -> None:
        """Schedules a step of a request."""
        self.scheduled += 1
        heapq.heappush(self.events, (at, self.scheduled, action, request))

    def begin(self, request: Sent, now: float) -> None:
        """Reads the prompt of a request that has a slot."""
        read_at = self.read_prompt(request, now)
        ends_at = read_at + STREAM_SECONDS
        heapq.heappush(self.slot_ends[request.chain[0].target_id], ends_at)
        self.lateness.append(read_at - request.sent_at)
        self.schedule(read_at, self.end_prompt, request)
        self.schedule(ends_at, self.end, request)

    def end_prompt(self, request: Sent, now: float) -> None:
        """Removes the prompt of a request from the unread ones."""
        self.count_prompt(request.vm, request.chain, -1)

    def end(self, request: Sent, now: float) -> None:
        """Ends a request."""
        self.count(request.vm, request.chain, -1)

    def take_slot(self, target_id: str, now: float) -> float:
        """Returns the time at which a slot of a first target is free."""
        ends = self.slot_ends[target_id]
        while ends and ends[0] <= now:
            heapq.heappop(ends)
        if len(ends) < self.service.engine.slots:
            return now
        return heapq.heappop(ends)

    def read_prompt(self, request: Sent, begun_at: float) -> float:
        """Returns the time at which all targets have read a prompt."""
        at = begun_at
        engine = self.service.engine
        chooser = self.choosers[request.vm]
        for hop in request.chain:
            target = self.targets.get(hop.target_id)
            token_s = estimate_token_seconds(
                engine,
                engine.accelerators[target.report.accelerator],
                chooser.loads.get(hop.target_id),
                hop.end_layer - hop.first_layer,
            )
            prompt_s = DEMAND.prompt_tokens * token_s
            begun = max(at, self.free_at[hop.target_id])
            self.free_at[hop.target_id] = begun + prompt_s
            # The next target begins with the first chunk.
            at = begun + prompt_s / 2
        return max(at, self.free_at[request.chain[-1].target_id])

    def set_arrival_rate(self, rate: float) -> None:
        """Changes the requests per second of all VMs."""
        self.arrival_rate = rate
        for chooser in self.choosers:
            chooser.rooms.arrival_rate = lambda service, now: rate

    def run(self, until: float) -> None:
        """Plays arrivals at random VMs until a time in seconds."""
        now = self.now
        while now < until:
            now += self.random.expovariate(self.arrival_rate)
            while self.exchange_at <= now:
                self.exchange()
                self.exchange_at += REPORT_SECONDS
            while self.events and self.events[0][0] <= now:
                at, _, action, request = heapq.heappop(self.events)
                action(request, at)
            self.send(self.random.randrange(VMS), now)
        self.now = now

    def count_late(self) -> float:
        """Returns the fraction of first events after the objective."""
        late = sum(x > GOAL_SECONDS for x in self.lateness)
        return late / len(self.lateness)


class SteadyLoadTest(unittest.TestCase):
    """Guards against VMs that all choose the same chain at the same time.

    Its slots and its prompts are then taken several times over until the next
    reports, while other chains could begin the requests in time.
    """

    def test_more_than_the_fastest_chain_can_run(self) -> None:
        deployment = Deployment(arrival_rate=132.0)
        deployment.run(7.0)
        self.assertLess(deployment.count_late(), MAX_LATE_FRACTION)

    def test_burst(self) -> None:
        deployment = Deployment(arrival_rate=80.0)
        deployment.run(3.0)
        deployment.set_arrival_rate(180.0)
        deployment.run(5.0)
        self.assertLess(deployment.count_late(), MAX_LATE_FRACTION)


class LostAggregatorTest(unittest.TestCase):
    """Guards against VMs that send nothing when they know no loads."""

    def test_vm_that_hears_of_no_other(self) -> None:
        targets = build_targets(CENTRES, build_service(**MODEL).engine)
        chooser = build_chooser(targets, vms=VMS, arrival_rate=132.0)
        chooser.loads.take_others((), 1)
        for _ in range(50):
            self.assertTrue(choose(chooser, 0.0))

    def test_all_chains_are_late(self) -> None:
        targets = build_targets(CENTRES, build_service(**MODEL).engine)
        chooser = build_chooser(targets, vms=VMS, arrival_rate=132.0)
        for target in targets:
            chooser.loads.add_prompt(target.report.target_id, 10**9)
        self.assertTrue(choose(chooser, 0.0))


class EarlierReleaseTest(unittest.TestCase):
    """Guards against loads that another release cannot read."""

    def test_earlier_release_counts_all_requests_as_first(self) -> None:
        body = msgspec.msgpack.encode(("t1", 7, 900))
        load = msgspec.msgpack.decode(body, type=EngineLoad)
        table = EngineLoadTable()
        table.take_others((load,), 2)
        self.assertEqual(table.get("t1").all_first_requests, 7)

    def test_earlier_release_reads_new_loads(self) -> None:
        load = EngineLoad(
            target_id="t1",
            requests=7,
            cache_units=900,
            prompt_units=5,
            later_requests=3,
        )
        body = msgspec.msgpack.encode(load)
        known = msgspec.msgpack.decode(body, type=EarlierLoad)
        self.assertEqual(known.requests, 7)


if __name__ == "__main__":
    unittest.main()
