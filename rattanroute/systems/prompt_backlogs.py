"""Estimates how long a prompt waits at engines that still read earlier ones.

Engines read prompts in chunks between the decode steps of other requests. If
all VMs send their requests to the chain that seems fastest, the prompts queue
there and all first events are late, while other chains would answer in time.

VMs learn of each other's prompts with a delay. All that choose within that
delay see the same backlog, so each sends only a fraction of its requests to a
chain: as many as the chain can read in time if the other VMs do the same.
"""

from collections.abc import Callable
import dataclasses
import math
import random as randoms

from rattanroute.systems.chain_searches import ChainPath
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
# Age of the backlogs of other VMs: each reports four times a second to an
# aggregator, and these exchange their sums as often.
REPORT_DELAY_SECONDS = 0.4


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Bottleneck:
    """The target of a chain at which a prompt waits longest.

    Attributes:
        target_id: The target.
        wait_s: Time in which it reads the prompts that it has, in seconds.
        prompt_s: Time in which it reads a typical prompt, in seconds.
    """

    target_id: str
    wait_s: float
    prompt_s: float


@dataclasses.dataclass(kw_only=True, slots=True)
class PromptBacklogs:
    """Decides whether a chain reads another prompt in time.

    Attributes:
        targets: All targets.
        loads: Open requests and unread prompts on engines.
        random: Source of randomness for the fraction of requests.
        arrival_rate: Returns the requests per second that all VMs receive
            for a service, at a time in seconds.
    """

    targets: TargetTable
    loads: EngineLoadTable
    random: randoms.Random
    arrival_rate: Callable[[str, float], float]

    def find_bottleneck(self, engine: Engine, path: ChainPath) -> Bottleneck:
        """Returns the target of a path at which a prompt waits longest."""
        found = [
            self.estimate_stage(engine, candidate.target_id, end - begin)
            for candidate, begin, end in path.steps()
        ]
        return max(found, key=lambda x: (x.wait_s, x.prompt_s))

    def estimate_stage(
        self, engine: Engine, target_id: str, layers: int
    ) -> Bottleneck:
        """Returns the times of one target of a path."""
        target = self.targets.get(target_id)
        accelerator = engine.accelerators[target.report.accelerator]
        load = self.loads.get(target_id)
        token_s = target.pace * estimate_token_seconds(
            engine, accelerator, load, layers
        )
        return Bottleneck(
            target_id=target_id,
            wait_s=load.all_prompt_units / layers * token_s,
            prompt_s=engine.typical_prompt * token_s,
        )

    def draw_arrivals(self, service: BackendService, now: float) -> float:
        """Returns the requests that arrive while a report is under way."""
        return self.arrival_rate(service.name, now) * REPORT_DELAY_SECONDS

    def count_room(self, bottleneck: Bottleneck, first_event_s: float) -> float:
        """Returns how many more prompts a chain reads in time.

        Args:
            bottleneck: The slowest target of the chain.
            first_event_s: Time until the first event is due, in seconds.
        """
        allowed_s = max(MIN_WAIT_SECONDS, WAIT_FRACTION * first_event_s)
        # On average, half of the prompts that arrive meanwhile are read.
        spare_s = allowed_s + REPORT_DELAY_SECONDS / 2 - bottleneck.wait_s
        if bottleneck.wait_s >= allowed_s or spare_s <= 0:
            return 0.0
        if not bottleneck.prompt_s:
            return math.inf
        return spare_s / bottleneck.prompt_s

    def accepts(self, room: float, arrivals: float) -> bool:
        """Decides whether a request goes to a chain.

        Args:
            room: Prompts that the chain can still read in time.
            arrivals: Requests of all VMs that may go there meanwhile.
        """
        if room <= 0:
            return False
        return room >= arrivals or self.random.random() * arrivals < room


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
