"""Counts the sends of a call against the budget of its service."""

from collections.abc import Callable
import dataclasses

from rattanroute.gateway.calls import Call
from rattanroute.systems.retry_budgets import RetryBudget


@dataclasses.dataclass(kw_only=True, slots=True)
class SendBudget:
    """The budget that all VMs share, as calls draw on it.

    Attributes:
        repeats: Counts of each service.
        vms: Returns the number of VMs that share the budget.
    """

    retry_budget: RetryBudget
    vms: Callable[[], int]

    def take(self, call: Call, now: float) -> bool:
        """Counts the next send of a call; returns whether it is allowed."""
        service = call.service.name
        if call.sends == 0:
            self.retry_budget.note_first(service, now)
            return True
        return self.retry_budget.try_retry(service, vms=self.vms(), now=now)
