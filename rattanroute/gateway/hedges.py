"""Decides on second attempts of the gateway's calls that are late.

Lateness is no sign of a failure: a hedge changes nothing about the health of
the first target, and nothing is concluded from the attempt that is cancelled.
"""

from collections.abc import Callable
import dataclasses
import math

from aioprometheus import Counter

from rattanroute.gateway.calls import Call
from rattanroute.gateway.calls import HedgeEvent
from rattanroute.gateway.crash_detectors import CrashDetector
from rattanroute.gateway.send_budgets import SendBudget
from rattanroute.systems.hedges import HedgeSystem
from rattanroute.systems.hedges import MIN_HEDGE_SECONDS


@dataclasses.dataclass(kw_only=True, slots=True)
class HedgePolicy:
    """Applies the limits of hedges to calls and counts what becomes of them.

    Attributes:
        hedges: Recent times and limits.
        budget: Retry budget, to which hedges are charged.
        crashes: Knows the requests under which targets crashed.
        is_stopping: Returns whether a planned stop has begun.
        events: Counts the hedges by service and event.
    """

    hedges: HedgeSystem
    budget: SendBudget
    crashes: CrashDetector
    is_stopping: Callable[[], bool]
    events: Counter

    def note_call(self, call: Call) -> None:
        """Counts a call, which allows a fraction of a hedge."""
        if self.is_eligible(call):
            self.hedges.earn()

    def is_eligible(self, call: Call) -> bool:
        """Returns whether a call may run on two targets at once.

        A stream that its client resumes is left out: an answer without an
        event may then be complete, but not beside another attempt.
        """
        route = call.route
        resumed = bool(call.metadata.last_event_id)
        return route.repeatable and route.max_attempts > 1 and not resumed

    def find_delay(self, call: Call, now: float) -> float:
        """Returns the seconds after which the first attempt is late.

        Args:
            call: A call that was just sent.
            now: Time in seconds.

        Returns:
            The delay; infinite if the call is not hedged.
        """
        if call.sends > 1 or not self.is_eligible(call):
            return math.inf
        late = self.hedges.find_late(build_key(call), now)
        return max(MIN_HEDGE_SECONDS, late) if late else math.inf

    def may_start(self, call: Call, now: float) -> bool:
        """Returns whether nothing but a missing target forbids a hedge."""
        if self.is_stopping() or call.sends > 1:
            return False
        # An ordinary answer would come after the deadline.
        if call.time_left(now) <= self.hedges.find_late(build_key(call), now):
            return False
        if self.crashes.is_suspect(call):
            return False
        return self.budget.allows_optional(call, now)

    def take(self, call: Call, now: float) -> bool:
        """Counts a hedge against all limits; returns whether it is allowed."""
        if not self.hedges.spend(now) or not self.budget.take(call, now):
            return False
        self.note_event(call, HedgeEvent.STARTED)
        return True

    def note_event(self, call: Call, event: HedgeEvent) -> None:
        """Counts an event of a call's hedge."""
        call.hedge = event
        self.events.inc({"service": call.service.name, "event": event.value})

    def note_time(self, call: Call, seconds: float, now: float) -> None:
        """Records the time that an attempt took, or has at least taken."""
        if self.is_eligible(call):
            self.hedges.record(build_key(call), seconds, now)


def build_key(call: Call) -> tuple[str, str]:
    """Returns the key of the recent times that a call is compared with.

    The times of streams end with the first event, those of other calls with
    the whole answer.
    """
    return (call.service.name, call.route.kind.value)
