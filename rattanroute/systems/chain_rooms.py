"""Estimates how many more requests a chain can begin in time.

A request begins late if the first engine of its chain has no free slot, or if
an engine still reads earlier prompts. VMs learn of each other's requests with
a delay. If all send theirs to the chain that seems fastest, its engines queue
them until the next reports, and all first events are late although other
chains would answer in time.

All VMs that choose within that delay see the same loads. So each sends only a
fraction of its requests to a chain: as many as there is room for if the other
VMs do the same.
"""

from collections.abc import Callable
import dataclasses
import math
import random as randoms

from rattanroute.systems.chain_searches import ChainPath
from rattanroute.systems.priority_reservations import NOTHING_RESERVED
from rattanroute.systems.priority_reservations import Reservation
from rattanroute.tables.engine_loads import EngineLoadRow
from rattanroute.tables.engine_loads import EngineLoadTable
from rattanroute.tables.routes import Accelerator
from rattanroute.tables.routes import BackendService
from rattanroute.tables.routes import Engine
from rattanroute.tables.targets import TargetTable

# Fraction of the time until the first event is due that a prompt may wait for
# others. The rest covers its own passes through the chain and the network.
WAIT_FRACTION = 0.5
# Shortest wait that is allowed, so that a request that is nearly late, or has
# no objective, is also sent where it waits least.
MIN_WAIT_SECONDS = 0.05
# Fraction of the requests that should end within a time that count as ended.
ENDED_FRACTION = 0.5
# Fraction of the cache memory (memory not used by layers) that requests may
# use. The rest covers answers that are longer than expected and requests of
# other VMs that are not known yet.
MAX_CACHE_FILL = 0.92
# Time in which requests of other VMs are not in the loads that a VM knows: each
# reports four times a second to an aggregator, these exchange their sums as
# often, and the answer is used until the next one.
REPORT_DELAY_SECONDS = 0.75


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ChainRoom:
    """How many more requests a chain can begin in time.

    Attributes:
        requests: Their number; may be a fraction.
        target_id: The target that allows no more.
        only_first: Whether that holds only for chains that begin there.
    """

    requests: float
    target_id: str
    only_first: bool


@dataclasses.dataclass(kw_only=True, slots=True)
class ChainRoomEstimator:
    """Decides whether a chain has room for another request.

    Attributes:
        targets: All targets.
        loads: Open requests and unread prompts on engines.
        random: Decides which requests go to a chain with little room.
        arrival_rate: Returns the requests per second that all VMs receive
            for a service, at a time in seconds.
    """

    targets: TargetTable
    loads: EngineLoadTable
    random: randoms.Random
    arrival_rate: Callable[[str, float], float]

    def estimate_arrivals(self, service: BackendService, now: float) -> float:
        """Returns the requests that arrive while a report is under way."""
        return self.arrival_rate(service.name, now) * REPORT_DELAY_SECONDS

    def find_room(
        self,
        engine: Engine,
        path: ChainPath,
        first_event_s: float,
        reservation: Reservation = NOTHING_RESERVED,
    ) -> ChainRoom:
        """Returns how many more requests a chain can begin in time.

        Args:
            engine: Performance model of the engines.
            path: The chain.
            first_event_s: Time until the first event is due, in seconds.
            reservation: What the request must leave free of each engine.
        """
        steps = path.steps()
        first_id = steps[0][0].target_id
        busy = self.loads.get(first_id).all_first_requests
        # Some requests end meanwhile. On full engines they take longer than
        # the expected time.
        ended = busy * min(1.0, REPORT_DELAY_SECONDS / path.total)
        slots = reservation.limit_slots(engine.slots) - busy
        slots += ENDED_FRACTION * ended
        rooms = [
            ChainRoom(
                requests=max(0.0, slots), target_id=first_id, only_first=True
            )
        ]
        allowed_s = max(MIN_WAIT_SECONDS, WAIT_FRACTION * first_event_s)
        for candidate, begin, end in steps:
            target_id, layers = candidate.target_id, end - begin
            rooms.append(
                self.find_memory_room(engine, target_id, layers, reservation)
            )
            rooms.append(
                self.find_prompt_room(engine, target_id, layers, allowed_s)
            )
        return min(rooms, key=lambda room: room.requests)

    def find_memory_room(
        self,
        engine: Engine,
        target_id: str,
        layers: int,
        reservation: Reservation,
    ) -> ChainRoom:
        """Returns for how many more requests a target has memory."""
        report = self.targets.get(target_id).report
        accelerator = engine.accelerators[report.accelerator]
        held = report.last_layer + 1 - report.first_layer
        room = MAX_CACHE_FILL * cache_capacity(engine, accelerator, held)
        room = reservation.limit_room(room)
        room -= self.loads.get(target_id).all_cache_units
        tokens = engine.typical_prompt + engine.typical_answer
        return ChainRoom(
            requests=max(0.0, room / (max(1.0, tokens) * layers)),
            target_id=target_id,
            only_first=False,
        )

    def find_prompt_room(
        self, engine: Engine, target_id: str, layers: int, allowed_s: float
    ) -> ChainRoom:
        """Returns how many more prompts a target can read in time."""
        target = self.targets.get(target_id)
        accelerator = engine.accelerators[target.report.accelerator]
        load = self.loads.get(target_id)
        token_s = target.pace * estimate_token_seconds(
            engine, accelerator, load, layers
        )
        wait_s = load.all_prompt_units / layers * token_s
        prompt_s = engine.typical_prompt * token_s
        # On average, half of the prompts that arrive meanwhile are read.
        spare_s = allowed_s + REPORT_DELAY_SECONDS / 2 - wait_s
        requests = spare_s / prompt_s if prompt_s else math.inf
        if wait_s >= allowed_s:
            requests = 0.0
        return ChainRoom(
            requests=requests, target_id=target_id, only_first=False
        )

    def accepts(self, room: float, arrivals: float) -> bool:
        """Decides whether a request goes to a chain.

        Args:
            room: Requests that the chain can still begin in time.
            arrivals: Requests of all VMs that may go there meanwhile.
        """
        if room <= 0:
            return False
        return room >= arrivals or self.random.random() * arrivals < room


def cache_capacity(
    engine: Engine, accelerator: Accelerator, layers: int
) -> float:
    """Returns the cache capacity, in tokens times layers."""
    free = accelerator.memory_bytes - layers * engine.layer_bytes
    return free / (engine.cache_token_bytes / engine.layers)


def estimate_token_seconds(
    engine: Engine,
    accelerator: Accelerator,
    load: EngineLoadRow,
    layers: int,
) -> float:
    """Returns the time in which a target reads one token of a prompt.

    A pass reads at most a chunk of prompt tokens, beside the decode steps of
    the requests that are at the target.

    Args:
        engine: Performance model of the engines.
        accelerator: Kind of accelerator of the target.
        load: Open requests on it.
        layers: Layers that it runs for the prompt.
    """
    fraction = layers / engine.layers
    read_s = fraction * engine.prefill_s * accelerator.prefill_factor
    if not engine.prompt_chunk:
        return read_s
    context = engine.typical_prompt + engine.typical_answer / 2
    # The requests of a chain spread over its targets.
    batch = 1 + load.all_requests * fraction
    step_s = engine.step_s + batch * (
        engine.request_step_s + engine.context_step_s * context
    )
    decode_s = fraction * engine.steps_per_pass * step_s
    decode_s *= accelerator.step_factor
    return read_s + decode_s / engine.prompt_chunk
