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
    ) -> list[str]:
        """Returns the targets that stall a request; empty if it only waits.

        Args:
            call: The call.
            chain: Its chain.
            silent_s: Seconds since its last event or its start.
            started: Whether this chain has delivered an event.

        Returns:
            Target identifiers; only the first target of the chain if it does
            not answer. A paused target is not queried.
        """
        now = asyncio.get_running_loop().time()
        first = chain[0]
        if self.selector.is_paused(first.target_id, now):
            return []
        try:
            state = await wait_for_reply(
                self.engine_control.fetch_state(first.address),
                ANSWER_TIMEOUT_SECONDS,
            )
        except TargetPausedError:
            # The target answered a query of this VM.
            return []
        except (RouterError, TimeoutError) as error:
            call.failures.append(f"no engine state: {error or 'timed out'}")
            self.selector.note_failure(first.target_id, now=now, crashed=True)
            return [first.target_id]
        by_address = {hop.address: hop.target_id for hop in chain}
        found = []
        for item in state.stalled:
            target_id = by_address.get(item.address)
            if item.request_id == call.metadata.request_id and target_id:
                self.selector.note_failure(target_id, now=now, crashed=True)
                found.append(target_id)
        if found or silent_s < HANG_SECONDS or (state.queued and not started):
            return found
        # The engine reports no stall but sends no events either.
        self.selector.note_failure(first.target_id, now=now)
        return [first.target_id]
