"""Many VMs that share engines, in virtual time, for tests of priorities.

Each VM has its own finder of chains, queue and tables, and knows the loads and
queues of the others only by the messages to the aggregators. The engines, the
clients and the delays of messages are simulated.
"""

import asyncio
import collections
import dataclasses
import random as randoms

from rattanroute.gateway.calls import Call
from rattanroute.gateway.chain_finders import build_demand
from rattanroute.gateway.chain_finders import ChainFinder
from rattanroute.gateway.header_codecs import ChainHop
from rattanroute.gateway.header_codecs import RequestMetadata
from rattanroute.gateway.outcomes import CallFinisher
from rattanroute.gateway.priority_admissions import PriorityAdmission
from rattanroute.gateway.stream_attempts import StreamRun
from rattanroute.gateway.stream_forwarders import MAX_SENDS
from rattanroute.gateway.stream_sinks import StreamState
from rattanroute.gateway.target_selectors import TargetSelector
from rattanroute.platform.headers import PlatformHeaderCodec
from rattanroute.systems.chain_choices import ChainChooser
from rattanroute.systems.chain_choices import MAX_CACHE_FILL
from rattanroute.systems.chain_rooms import ChainRoomEstimator
from rattanroute.systems.engine_loads import EngineLoadSystem
from rattanroute.systems.outlier_detections import OutlierDetectionSystem
from rattanroute.systems.priority_reservations import PriorityReservations
from rattanroute.tables.engine_loads import EngineLoadTable
from rattanroute.tables.routes import Accelerator
from rattanroute.tables.routes import BackendService
from rattanroute.tables.routes import Route
from rattanroute.tables.routes import RouteKind
from rattanroute.tables.service_queues import ServiceQueueTable
from rattanroute.tables.targets import TargetReport
from rattanroute.tables.targets import TargetTable
from rattanroute.tests.gateway_support import build_limiter
from rattanroute.tests.gateway_support import build_service
from rattanroute.tests.gateway_support import LAYERS
from rattanroute.tests.gateway_support import SERVICE
from rattanroute.tests.priority_measures import Outcome
from rattanroute.tests.support import MemberStub
from rattanroute.tests.virtual_loops import VirtualLoop

CENTRES = ("dc-a", "dc-b", "dc-c")
TICK_SECONDS = 0.05
# One way. With the intervals of the reports, loads are 0.25 to 0.5 s old.
MESSAGE_SECONDS = (0.05, 0.12)
# Time from the start at an engine to the first event.
FIRST_EVENT_SECONDS = 0.1
REJECTION_SECONDS = 0.005
RUN_SECONDS = (3.6, 8.4)
CLIENT_SECONDS = 20.0
MAX_RETURNS = 3
VMS = 40
ENGINES = 12
SLOTS = 60
LOAD_SECONDS = 20.0
SURGE_SECONDS = (8.0, 14.0)
# Target times to the first event by rank, as those of the first deployment.
GOALS_S = {0: 0.504, 1: 0.503, 2: 1.004}


@dataclasses.dataclass(kw_only=True, slots=True)
class Surge:
    """Arrivals of one rank during a time.

    Attributes:
        priority: The rank.
        rate: Requests per second at all VMs together.
        begin: First arrival, in seconds.
        end: Last arrival, in seconds.
        goal_s: Target time to the first event, in seconds.
    """

    priority: int
    rate: float
    begin: float
    end: float
    goal_s: float


@dataclasses.dataclass(kw_only=True, slots=True)
class ConnectionStub:
    """The client's connection, as the finisher reads it."""

    loop: asyncio.AbstractEventLoop


@dataclasses.dataclass(kw_only=True, slots=True)
class ExchangeStub:
    """The client's request, as finders and queues read it."""

    received_at: float
    connection: ConnectionStub
    started: bool = False


class SharedEngines:
    """The engines, with what really runs on them.

    Args:
        count: Number of engines.
        slots: Requests with which VMs fill each of them. It takes a few more,
            as engines do whose memory is the limit.
    """

    def __init__(self, *, count: int, slots: int) -> None:
        self.names = [f"t{number}" for number in range(count)]
        self.slots = slots
        self.capacity = round(slots / MAX_CACHE_FILL)
        self.running: collections.Counter[str] = collections.Counter()
        self.rejections = 0

    def build_targets(self) -> TargetTable:
        """Builds the targets as a VM knows them."""
        targets = TargetTable()
        for number, name in enumerate(self.names):
            report = TargetReport(
                target_id=name,
                address=f"10.0.0.{number}:80",
                data_centre="dc-a",
                model=SERVICE,
                first_layer=0,
                last_layer=LAYERS - 1,
                total_layers=LAYERS,
                accelerator="big",
            )
            targets.record(report=report, observer="v", received_at=0.0)
        return targets

    def build_service(self) -> BackendService:
        """Builds the service; its memory is never short."""
        accelerator = Accelerator(
            name="big", memory_bytes=9e12, step_factor=1.0, prefill_factor=1.0
        )
        return build_service(
            slots=self.slots, accelerators={"big": accelerator}
        )


class SimulatedVm:
    """A VM with its finder and tables.

    Args:
        vm_id: Its identifier.
        system: Exchanges its loads and queues.
        finder: Finds chains for its calls.
        random: Source of its choices.
    """

    def __init__(
        self,
        *,
        vm_id: str,
        system: EngineLoadSystem,
        finder: ChainFinder,
        random: randoms.Random,
    ) -> None:
        self.vm_id = vm_id
        self.system = system
        self.finder = finder
        self.finisher = CallFinisher(codec=PlatformHeaderCodec(), random=random)


class PrioritySimulation:
    """VMs, aggregators, engines and clients in virtual time.

    Args:
        vms: Number of VMs.
        engines: The engines.
        ranked: Whether priorities count beyond the queue of a VM.
        seed: Seed of all random choices.

    Attributes:
        frozen: VMs that neither send nor receive; messages to them wait.
        held: Messages that wait for a frozen VM.
    """

    def __init__(
        self, *, vms: int, engines: SharedEngines, ranked: bool, seed: int
    ) -> None:
        self.random = randoms.Random(seed)
        self.engines = engines
        self.ranked = ranked
        self.service = engines.build_service()
        self.outcomes: list[Outcome] = []
        self.frozen: set[str] = set()
        self.held: list[tuple[str, str, object]] = []
        self.clients: list[asyncio.Task[None]] = []
        names = [f"f{number}" for number in range(vms)]
        self.members = [
            MemberStub(vm_id=f"core-{centre}", data_centre=centre, voter=True)
            for centre in CENTRES
        ]
        self.members += [
            MemberStub(vm_id=name, data_centre=CENTRES[number % 3])
            for number, name in enumerate(names)
        ]
        self.systems: dict[str, EngineLoadSystem] = {}
        for member in self.members[: len(CENTRES)]:
            self.systems[member.vm_id] = self.build_system(member)
        self.vms = [self.build_vm(x) for x in self.members[len(CENTRES) :]]

    def build_system(
        self, member: MemberStub, **tables: object
    ) -> EngineLoadSystem:
        """Builds the exchange of loads of a VM; it starts at a random time."""
        system = EngineLoadSystem(
            vm_id=member.vm_id,
            data_centre=member.data_centre,
            members=lambda: self.members,
            **tables,
        )
        system.next_send_at = self.random.uniform(0, 0.25)
        return system

    def build_vm(self, member: MemberStub) -> SimulatedVm:
        """Builds a VM."""
        targets = self.engines.build_targets()
        limiter = build_limiter(targets)
        random = randoms.Random(self.random.random())
        loads = EngineLoadTable()
        queues = ServiceQueueTable()
        system = self.build_system(member, loads=loads, queues=queues)
        self.systems[member.vm_id] = system
        selector = TargetSelector(
            data_centre="dc-a",
            targets=targets,
            detections=OutlierDetectionSystem(targets=targets),
            limiter=limiter,
            has_departed=lambda report: False,
            suspect=lambda target: None,
            announce_departure=lambda report: None,
            random=random,
        )
        finder = ChainFinder(
            selector=selector,
            chooser=ChainChooser(
                data_centre="dc-a",
                targets=targets,
                loads=loads,
                random=random,
                is_usable=selector.is_usable,
                vms=lambda: len(self.members) - len(CENTRES),
                limiter=limiter,
                rooms=ChainRoomEstimator(
                    targets=targets,
                    loads=loads,
                    random=random,
                    arrival_rate=lambda service, now: 0.0,
                ),
            ),
            admission=PriorityAdmission(
                reservations=PriorityReservations(queues=queues, random=random)
            ),
        )
        return SimulatedVm(
            vm_id=member.vm_id, system=system, finder=finder, random=random
        )

    async def run(self, surges: list[Surge], *, seconds: float) -> None:
        """Runs the load and waits until all clients have their answers.

        Args:
            surges: Arrivals.
            seconds: Time for which messages are exchanged at least.
        """
        exchange = asyncio.create_task(self.exchange_messages())
        loads = [
            asyncio.create_task(
                self.arrive(surge, randoms.Random(self.random.random()))
            )
            for surge in surges
        ]
        await asyncio.sleep(seconds)
        await asyncio.gather(*loads)
        await asyncio.gather(*self.clients)
        exchange.cancel()

    async def arrive(self, surge: Surge, random: randoms.Random) -> None:
        """Starts the clients of a surge at random times."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(surge.begin)
        while loop.time() < surge.end:
            vms = [random.choice(self.vms) for _ in range(MAX_RETURNS + 1)]
            task = asyncio.create_task(self.run_client(surge, vms))
            self.clients.append(task)
            await asyncio.sleep(random.expovariate(surge.rate))

    async def run_client(self, surge: Surge, vms: list[SimulatedVm]) -> None:
        """Sends a request until it is answered or the client gives up.

        Args:
            surge: The surge that the request belongs to.
            vms: The VMs that get the request, one after the other.
        """
        loop = asyncio.get_running_loop()
        outcome = Outcome(
            priority=surge.priority,
            arrived_at=loop.time(),
            goal_s=surge.goal_s,
        )
        self.outcomes.append(outcome)
        gives_up_at = loop.time() + CLIENT_SECONDS
        for vm in vms:
            outcome.attempts += 1
            retry_after_s = await self.send(vm, outcome, gives_up_at)
            if retry_after_s is None:
                return
            outcome.retry_delays.append(retry_after_s)
            await asyncio.sleep(retry_after_s)
            if loop.time() >= gives_up_at:
                return

    async def send(
        self, vm: SimulatedVm, outcome: Outcome, deadline: float
    ) -> float | None:
        """Runs a request at a VM.

        Returns:
            The delay with which it was refused; None if it was answered.
        """
        loop = asyncio.get_running_loop()
        call = self.build_call(outcome, deadline, loop)
        run = StreamRun(call=call, state=StreamState(call=call))
        while call.sends < MAX_SENDS:
            chain = await vm.finder.find_chain(run)
            if not chain:
                break
            call.sends += 1
            if await self.run_chain(vm, call, chain, outcome):
                return None
            run.rejected = True
        return vm.finisher.choose_retry_delay(
            call, None, vm.finder.estimate_queue_wait(run)
        )

    def build_call(
        self,
        outcome: Outcome,
        deadline: float,
        loop: asyncio.AbstractEventLoop,
    ) -> Call:
        """Builds a call that arrives now."""
        route = Route(
            name=f"rank-{outcome.priority}",
            host="a.example",
            prefix=b"/",
            kind=RouteKind.STREAM,
            timeout_s=CLIENT_SECONDS,
            goal_s=outcome.goal_s,
            priority=outcome.priority,
            max_attempts=2,
        )
        exchange = ExchangeStub(
            received_at=loop.time(), connection=ConnectionStub(loop=loop)
        )
        return Call(
            exchange=exchange,
            metadata=RequestMetadata(prompt_tokens=100, max_answer_tokens=100),
            route=route,
            service=self.service,
            workspace="w1",
            priority=outcome.priority,
            ranked=self.ranked,
            deadline=deadline,
            revision=1,
        )

    async def run_chain(
        self,
        vm: SimulatedVm,
        call: Call,
        chain: tuple[ChainHop, ...],
        outcome: Outcome,
    ) -> bool:
        """Runs a request on its engine.

        Returns:
            Whether the engine had a free slot.
        """
        loop = asyncio.get_running_loop()
        engine = chain[0].target_id
        tokens = build_demand(call).tokens
        vm.finder.count_load(chain, tokens, 1, loop.time())
        try:
            if self.engines.running[engine] >= self.engines.capacity:
                self.engines.rejections += 1
                await asyncio.sleep(REJECTION_SECONDS)
                vm.finder.selector.note_full(engine, loop.time())
                return False
            self.engines.running[engine] += 1
            outcome.started_at = loop.time() + FIRST_EVENT_SECONDS
            await asyncio.sleep(self.random.uniform(*RUN_SECONDS))
            self.engines.running[engine] -= 1
        finally:
            vm.finder.count_load(chain, tokens, -1, loop.time())
        vm.finder.selector.note_success(engine, loop.time())
        return True

    async def exchange_messages(self) -> None:
        """Exchanges loads and queues until it is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(TICK_SECONDS)
            for name, system in self.systems.items():
                if name not in self.frozen:
                    for action in system.tick(now=loop.time()):
                        self.post(name, action.peer, action.message)

    def post(self, sender: str, peer: str, message: object) -> None:
        """Delivers a message after a random delay."""
        delay = self.random.uniform(*MESSAGE_SECONDS)
        loop = asyncio.get_running_loop()
        loop.call_later(delay, self.deliver, sender, peer, message)

    def deliver(self, sender: str, peer: str, message: object) -> None:
        """Hands a message over, or keeps it for a frozen VM."""
        if peer in self.frozen:
            self.held.append((sender, peer, message))
            return
        now = asyncio.get_running_loop().time()
        answers = self.systems[peer].receive(
            peer=sender, message=message, now=now
        )
        for answer in answers:
            self.post(peer, answer.peer, answer.message)

    def thaw(self, vm_id: str) -> None:
        """Lets a frozen VM go on with the messages that it missed."""
        self.frozen.discard(vm_id)
        held, self.held = self.held, []
        for sender, peer, message in held:
            self.deliver(sender, peer, message)


def build_load(*, surge_rate: float) -> list[Surge]:
    """Builds the arrivals of three ranks and a surge of rank 2.

    The engines serve 120 requests per second; 90 arrive without the surge.
    """
    surges = [
        Surge(
            priority=rank, rate=30.0, begin=0.0, end=LOAD_SECONDS, goal_s=goal
        )
        for rank, goal in GOALS_S.items()
    ]
    surges.append(
        Surge(
            priority=2,
            rate=surge_rate,
            begin=SURGE_SECONDS[0],
            end=SURGE_SECONDS[1],
            goal_s=GOALS_S[2],
        )
    )
    return surges


def simulate(
    *, surge_rate: float, seed: int, ranked: bool = True
) -> PrioritySimulation:
    """Runs 40 VMs with a surge of rank 2; returns them after the load."""
    simulation = PrioritySimulation(
        vms=VMS,
        engines=SharedEngines(count=ENGINES, slots=SLOTS),
        ranked=ranked,
        seed=seed,
    )
    loop = VirtualLoop()
    try:
        loop.run_until_complete(
            simulation.run(
                build_load(surge_rate=surge_rate), seconds=LOAD_SECONDS
            )
        )
    finally:
        loop.close()
    return simulation
