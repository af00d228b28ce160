"""Predicts when a chain of engines sends the first event of an answer."""

from collections.abc import Iterable
import math

from rattanroute.gateway.header_codecs import ChainHop
from rattanroute.systems.chain_choices import HOP_COST_SECONDS
from rattanroute.systems.chain_choices import RequestDemand
from rattanroute.systems.chain_choices import UNHEALTHY_FACTOR
from rattanroute.tables.engine_loads import EngineLoadTable
from rattanroute.tables.routes import Engine
from rattanroute.tables.targets import TargetHealth
from rattanroute.tables.targets import TargetTable


def estimate_first_event(
    engine: Engine,
    chain: Iterable[ChainHop],
    demand: RequestDemand,
    *,
    targets: TargetTable,
    loads: EngineLoadTable,
) -> float:
    """Returns the time from the dispatch to the first event, in seconds.

    It consists of the prompt, which each hop reads for its layers, and of one
    step of each hop with the requests that are open there. The time that the
    prompt waits behind others is not included.

    Args:
        engine: Performance model of the engines.
        chain: The chain.
        demand: Expected token counts of the request.
        targets: All targets.
        loads: Open requests on engines.

    Returns:
        The time; infinite if a target is unknown.
    """
    total = 0.0
    for hop in chain:
        target = targets.get(hop.target_id)
        if target is None:
            return math.inf
        accelerator = engine.accelerators.get(target.report.accelerator)
        if accelerator is None:
            return math.inf
        open_requests = loads.get(hop.target_id).all_requests
        prompt_s = demand.prompt_tokens * (
            engine.prefill_s * accelerator.prefill_factor
        )
        step_s = accelerator.step_factor * (
            engine.step_s
            + (open_requests + 1)
            * (
                engine.request_step_s
                + engine.context_step_s * demand.prompt_tokens
            )
        )
        seconds = (prompt_s + step_s) * target.pace
        if target.health is not TargetHealth.HEALTHY:
            seconds *= UNHEALTHY_FACTOR
        layers = hop.end_layer - hop.first_layer
        total += seconds * layers / engine.layers + HOP_COST_SECONDS
    return total
