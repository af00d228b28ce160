"""Finds out at which target of a chain a stream has stalled."""

import asyncio
import dataclasses

from rattanroute.errors import RouterError
from rattanroute.gateway.calls import Call
from rattanroute.gateway.engine_control_clients import EngineControlClient
from rattanroute.gateway.target_selectors import TargetSelector
from rattanroute.gateway.header_codecs import ChainHop

# A healthy target answers within a few milliseconds and its link's delay.
ANSWER_TIMEOUT_SECONDS = 0.25
# A stream without an event for so long hangs, unless its engine has a queue.
# Callers leave after about two seconds.
HANG_SECONDS = 1.2


@dataclasses.dataclass(kw_only=True, slots=True)
class StallInspector:
    """Asks the first target of a chain which member it waits for.

    Attributes:
        questions: Asks targets.
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
        """Returns the targets that hold a request up; none if it only waits.

        Args:
            call: The call.
            chain: Its chain.
            silent_s: Seconds since its last event or its start.
            started: Whether an event came over this chain.

        Returns:
            Targets; the first one when it does not answer. It is not asked
            while it wants nothing from this VM.
        """
        now = asyncio.get_running_loop().time()
        first = chain[0]
        if self.selector.is_paused(first.target_id, now):
            return []
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                state = await self.engine_control.fetch_state(first.address)
        except (RouterError, TimeoutError) as error:
            call.failures.append(f"no report: {error}")
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
        # The engine says that all is well, and still sends no event.
        self.selector.note_failure(first.target_id, now=now)
        return [first.target_id]
