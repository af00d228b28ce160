"""Finds the target of a chain at which a stream has stalled."""

import asyncio
import dataclasses

from rattanroute.errors import RouterError
from rattanroute.gateway.calls import Call
from rattanroute.gateway.engine_control_clients import EngineControlClient
from rattanroute.gateway.engine_control_clients import TargetPausedError
from rattanroute.gateway.header_codecs import ChainHop
from rattanroute.gateway.target_selectors import TargetSelector
from rattanroute.tasks import wait_for_reply

# A healthy target answers within a few milliseconds plus the link delay.
ANSWER_TIMEOUT_SECONDS = 0.25
# A stream without an event for this long hangs, unless it waits in the queue of
# its engine. Clients give up after about two seconds.
HANG_SECONDS = 1.2
# Multiple of the route's goal after which a target without engines is silent.
GOAL_FACTOR = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Stall:
    """What an inspection found.

    Attributes:
        target_ids: Targets that stall the request; empty if it only waits.
        crashed: Whether they seem to have failed, rather than to be slow.
    """

    target_ids: tuple[str, ...] = ()
    crashed: bool = False


@dataclasses.dataclass(kw_only=True, slots=True)
class StallInspector:
    """Asks the first target of a chain which other target it waits for.

    Attributes:
        engine_control: Client for state queries.
        selector: Health of targets.
    """

    engine_control: EngineControlClient
    selector: TargetSelector

    async def find_stalled(
        self,
        call: Call,
        chain: tuple[ChainHop, ...],
        *,
        silent_s: float,
        started: bool,
    ) -> Stall:
        """Finds the targets that stall a request.

        Args:
            call: The call.
            chain: Its chain.
            silent_s: Seconds since its last event or its start.
            started: Whether this chain has delivered an event.

        Returns:
            The finding; only the first target of the chain if it does not
            answer. A paused target is not queried.
        """
        if call.service.engine is None:
            return judge_silence(call, chain[0], silent_s)
        return await self.query(call, chain, silent_s, started)

    async def query(
        self,
        call: Call,
        chain: tuple[ChainHop, ...],
        silent_s: float,
        started: bool,
    ) -> Stall:
        """Asks the first target of a chain; see `find_stalled`."""
        now = asyncio.get_running_loop().time()
        first = chain[0]
        if self.selector.is_paused(first.target_id, now):
            return Stall()
        try:
            state = await wait_for_reply(
                self.engine_control.fetch_state(first.address),
                ANSWER_TIMEOUT_SECONDS,
            )
        except TargetPausedError:
            # The target answered a query of this VM.
            return Stall()
        except (RouterError, TimeoutError) as error:
            call.failures.append(
                f"no engine state: {str(error) or 'timed out'}"
            )
            return Stall(target_ids=(first.target_id,), crashed=True)
        by_address = {hop.address: hop.target_id for hop in chain}
        found = [
            by_address[item.address]
            for item in state.stalled
            if item.request_id == call.metadata.request_id
            and item.address in by_address
        ]
        if found:
            return Stall(target_ids=tuple(found), crashed=True)
        if silent_s < HANG_SECONDS or (state.queued and not started):
            return Stall()
        # The engine reports no stall but sends no events either.
        return Stall(target_ids=(first.target_id,))


def judge_silence(call: Call, target: ChainHop, silent_s: float) -> Stall:
    """Judges a target without engines, which answers no state queries.

    Args:
        call: The call.
        target: Its target.
        silent_s: Seconds since its last event or its start.
    """
    if silent_s < max(HANG_SECONDS, GOAL_FACTOR * call.route.goal_s):
        return Stall()
    return Stall(target_ids=(target.target_id,))
