"""Applies the retry budget of a service to the attempts of its calls."""

from collections.abc import Callable
import dataclasses

from rattanroute.gateway.calls import Call
from rattanroute.systems.retry_budgets import RetryBudget


@dataclasses.dataclass(kw_only=True, slots=True)
class SendBudget:
    """Counts attempts against the retry budget that all VMs share.

    Attributes:
        retry_budget: Attempt counts and limits of each service.
        vms: Returns the number of VMs that share the budget.
    """

    retry_budget: RetryBudget
    vms: Callable[[], int]

    def take(self, call: Call, now: float) -> bool:
        """Counts the next attempt of a call; returns whether it is allowed.

        Attempts that ended before the request was sent reached no target and
        are no repetitions.
        """
        service = call.service.name
        if call.sends == 0:
            self.retry_budget.note_first(service, now)
            return True
        if call.dispatches == 0:
            return True
        return self.retry_budget.try_retry(service, vms=self.vms(), now=now)

    def allows_optional(self, call: Call, now: float) -> bool:
        """Returns whether the budget leaves room for an optional attempt."""
        return self.retry_budget.allows_optional(
            call.service.name, vms=self.vms(), now=now
        )
