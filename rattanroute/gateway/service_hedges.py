"""Second attempts of late calls of plain services."""

import asyncio
from collections.abc import Callable
import dataclasses

from rattanroute.gateway.calls import HedgeEvent
from rattanroute.gateway.hedges import HedgePolicy
from rattanroute.gateway.service_attempts import ServiceAttempt
from rattanroute.gateway.service_attempts import ServiceRun
from rattanroute.gateway.target_selectors import TargetSelector
from rattanroute.tables.targets import Target
from rattanroute.tables.targets import TargetHealth


@dataclasses.dataclass(kw_only=True, slots=True)
class ServiceHedger:
    """Starts hedges of calls and counts which attempt answers first.

    Attributes:
        policy: Limits of the hedges.
        selector: Selects targets.
    """

    policy: HedgePolicy
    selector: TargetSelector

    def schedule(
        self,
        run: ServiceRun,
        attempt: ServiceAttempt,
        start: Callable[[ServiceRun, ServiceAttempt], None],
    ) -> asyncio.TimerHandle | None:
        """Calls a function when an attempt that was just sent is late.

        Args:
            run: The call with its attempts.
            attempt: The attempt.
            start: Starts the hedge.

        Returns:
            The timer; None if the attempt is not hedged.
        """
        loop = asyncio.get_running_loop()
        delay = self.policy.find_delay(run.call, loop.time())
        if attempt.hedge or delay > run.call.time_left(loop.time()):
            return None
        return loop.call_later(delay, start, run, attempt)

    def choose(
        self, run: ServiceRun, first: ServiceAttempt, *, waiting: int
    ) -> Target | None:
        """Returns the target of a hedge and charges it; None if there is none.

        Args:
            run: The call with its attempts.
            first: Its only attempt.
            waiting: Number of calls that wait for the limits of targets.
        """
        call = run.call
        now = asyncio.get_running_loop().time()
        if waiting or first.late or run.attempts != [first]:
            return None
        # The answer may have arrived in this pass of the event loop.
        if first.connection.sink is None or not self.policy.may_start(
            call, now
        ):
            return None
        target = choose_hedge_target(
            self.selector,
            call.service.name,
            first_id=first.report.target_id,
            excluded=run.excluded,
            demanded=run.demanded,
            now=now,
        )
        if target is None or not self.policy.take(call, now):
            return None
        return target

    def note_answer(self, run: ServiceRun, attempt: ServiceAttempt) -> None:
        """Records the time of the first answer and what became of a hedge."""
        call = run.call
        now = asyncio.get_running_loop().time()
        self.policy.note_time(call, now - attempt.sent_at, now)
        if call.hedge is None:
            return
        if attempt.hedge:
            self.policy.note_event(call, HedgeEvent.WON)
            for other in run.attempts:
                if other.sent:
                    # Its answer would have taken longer. Without this time the
                    # percentile would fall with each hedge that wins.
                    self.policy.note_time(call, now - other.sent_at, now)
        elif any(other.hedge for other in run.attempts):
            self.policy.note_event(call, HedgeEvent.CANCELLED)


def choose_hedge_target(
    selector: TargetSelector,
    service: str,
    *,
    first_id: str,
    excluded: set[str],
    demanded: set[str],
    now: float,
) -> Target | None:
    """Returns a target that may answer sooner than the first one.

    It must be healthy and run no more requests of this VM than the first one.

    Args:
        selector: Selects targets.
        service: The service.
        first_id: Identifier of the first target.
        excluded: IDs of targets that must not be used.
        demanded: IDs of the targets with a limit that have counted the call.
        now: Time in seconds.
    """
    first = selector.targets.get(first_id)
    target = selector.choose(
        service, excluded=excluded | {first_id}, demanded=demanded, now=now
    )
    if first is None or target is None:
        return None
    if target.health is not TargetHealth.HEALTHY:
        return None
    return target if target.in_flight <= first.in_flight else None
