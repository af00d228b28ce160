"""Tells each VM what the others have put on the engines and services.

That is the load of engines, and attempts beyond the first, whose budget all
VMs share.

A voter of each data centre keeps the sums there: each VM sends it the own load
at a short interval while there is any, and gets the load of all others in
answer. The keepers tell each other their sums, so that what passes between
data centres does not grow with the VMs. Without an answer a VM asks another
voter; until then it goes on with the own load only.

The attempts of a VM that ends or starts anew still count for the window of the
budget; the VM itself has forgotten them.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
from typing import Protocol

from rattanroute.actions import Action
from rattanroute.actions import SendMessage
from rattanroute.messages.loads import AttemptCount
from rattanroute.messages.loads import EngineLoad
from rattanroute.messages.loads import OtherLoads
from rattanroute.messages.loads import OwnLoads
from rattanroute.systems.budgets import RepeatBudget
from rattanroute.tables.engine_loads import EngineLoadTable

REPORT_SECONDS = 0.25
IDLE_REPORT_SECONDS = 1.0
# A VM that has not reported for so long has no load, or is gone.
EXPIRY_SECONDS = 2.5
# Keepers tell each other their sums at this interval.
KEEPER_SECONDS = 0.25
# Without an answer for so long the load of the others is unknown.
SILENCE_SECONDS = 3.0


class MemberRow(Protocol):
    """What this system reads of a live VM."""

    vm_id: str
    data_centre: str
    voter: bool


@dataclasses.dataclass(kw_only=True, slots=True)
class HeardLoads:
    """The load of one VM, or of those that report to a keeper.

    Attributes:
        loads: The load by target.
        attempts: Attempts by service.
        vms: VMs that it comes from.
        received_at: When it was heard.
        process: Process of the VM that it comes from.
    """

    loads: dict[str, EngineLoad]
    attempts: tuple[AttemptCount, ...]
    vms: int
    received_at: float
    process: int = 0


class LoadSum:
    """Adds the load of several VMs up."""

    def __init__(self) -> None:
        self.requests: dict[str, int] = {}
        self.units: dict[str, int] = {}
        self.firsts: dict[str, int] = {}
        self.repeats: dict[str, int] = {}
        self.vms = 0

    def add(self, heard: HeardLoads) -> None:
        """Adds the load of one VM or keeper."""
        self.vms += heard.vms
        for name, load in heard.loads.items():
            self.requests[name] = self.requests.get(name, 0) + load.requests
            self.units[name] = self.units.get(name, 0) + load.cache_units
        for count in heard.attempts:
            name = count.service
            self.firsts[name] = self.firsts.get(name, 0) + count.firsts
            self.repeats[name] = self.repeats.get(name, 0) + count.repeats

    def build(self, vms: int) -> OtherLoads:
        """Returns the sums as a message about a number of VMs."""
        return OtherLoads(
            loads=tuple(
                EngineLoad(
                    target_id=name,
                    requests=count,
                    cache_units=self.units[name],
                )
                for name, count in self.requests.items()
            ),
            vms=vms,
            attempts=tuple(
                AttemptCount(
                    service=name, firsts=count, repeats=self.repeats[name]
                )
                for name, count in self.firsts.items()
            ),
        )


class EngineLoadSystem:
    """Sends the own load and hears that of the others; keeps the sums.

    Args:
        vm_id: Identifier of this VM.
        data_centre: Data centre of this VM.
        members: Returns the live VMs, this one included.
        loads: Table of loads; None on a VM that serves no callers.
        budget: Budget of further attempts that all VMs share; None on a VM
            that serves no callers.
        process: Differs between the processes of this VM.
        window_s: Window of the budget, in seconds.
    """

    message_types: tuple[type, ...] = (OwnLoads, OtherLoads)

    def __init__(
        self,
        *,
        vm_id: str,
        data_centre: str,
        members: Callable[[], Iterable[MemberRow]],
        loads: EngineLoadTable | None = None,
        budget: RepeatBudget | None = None,
        process: int = 0,
        window_s: float = 0.0,
    ) -> None:
        self.vm_id = vm_id
        self.process = process
        self.window_s = window_s
        self.data_centre = data_centre
        self.members = members
        self.loads = loads
        self.budget = budget
        self.due = 0.0
        self.answered_at = 0.0
        self.reported: dict[str, HeardLoads] = {}
        self.kept: dict[str, HeardLoads] = {}
        self.former: list[HeardLoads] = []
        self.turn = 0

    def receive(
        self, *, peer: str, message: object, now: float
    ) -> list[Action]:
        """Takes the load of a VM or of a keeper, or the keeper's answer."""
        is_own = isinstance(message, OwnLoads)
        heard = HeardLoads(
            loads={load.target_id: load for load in message.loads},
            attempts=message.attempts,
            vms=1 if is_own else message.vms,
            received_at=now,
            process=message.process if is_own else 0,
        )
        if is_own:
            known = self.reported.get(peer)
            if known is not None and known.process != heard.process:
                self.retire(known)
            self.reported[peer] = heard
            return [SendMessage(peer=peer, message=self.sum_others(peer, now))]
        if self.loads is None:
            self.kept[peer] = heard
            return []
        self.answered_at = now
        if self.budget is not None:
            self.budget.take_others(message.attempts, vms=message.vms, now=now)
        self.loads.take_others(message.loads, message.vms)
        return []

    def sum_others(self, peer: str, now: float) -> OtherLoads:
        """Returns the load of all VMs but one."""
        self.forget(now)
        total = LoadSum()
        for vm_id, heard in self.reported.items():
            if vm_id != peer:
                total.add(heard)
        for heard in (*self.kept.values(), *self.former):
            total.add(heard)
        return total.build(vms=total.vms + 1)

    def sum_reported(self, now: float) -> OtherLoads:
        """Returns the load of the VMs that report to this keeper."""
        self.forget(now)
        total = LoadSum()
        for heard in (*self.reported.values(), *self.former):
            total.add(heard)
        return total.build(vms=total.vms)

    def forget(self, now: float) -> None:
        """Forgets the load of VMs and keepers that are silent."""
        for vm_id, heard in list(self.kept.items()):
            if now - heard.received_at > EXPIRY_SECONDS:
                del self.kept[vm_id]
        for vm_id, heard in list(self.reported.items()):
            if now - heard.received_at > EXPIRY_SECONDS:
                self.retire(self.reported.pop(vm_id))
        self.former = [
            x for x in self.former if now - x.received_at < self.window_s
        ]

    def retire(self, heard: HeardLoads) -> None:
        """Keeps the attempts of a process that ended, without its load."""
        if heard.attempts:
            former = dataclasses.replace(heard, loads={}, vms=0)
            self.former.append(former)

    def tick(self, *, now: float) -> list[Action]:
        """Sends the own load, or the sums of a keeper, when that is due."""
        if now < self.due:
            return []
        if self.loads is None:
            return self.tell_keepers(now)
        own_loads = self.loads.own_loads()
        self.due = now + (REPORT_SECONDS if own_loads else IDLE_REPORT_SECONDS)
        if now - self.answered_at > SILENCE_SECONDS:
            self.turn += 1
            self.answered_at = now
            self.loads.take_others((), 1)
        voters = self.list_voters()
        if not voters:
            return []
        keeper = voters[self.turn % len(voters)]
        attempts = self.budget.count_own(now) if self.budget else ()
        message = OwnLoads(
            loads=own_loads, attempts=attempts, process=self.process
        )
        return [SendMessage(peer=keeper, message=message)]

    def tell_keepers(self, now: float) -> list[Action]:
        """Sends the sums of this keeper to the other voters."""
        self.due = now + KEEPER_SECONDS
        if not self.reported and not self.former:
            return []
        message = self.sum_reported(now)
        return [
            SendMessage(peer=vm_id, message=message)
            for vm_id in self.list_voters()
            if vm_id != self.vm_id
        ]

    def list_voters(self) -> list[str]:
        """Returns the live voters, those of the own data centre first."""
        voters = [x for x in self.members() if x.voter]
        voters.sort(key=lambda x: (x.data_centre != self.data_centre, x.vm_id))
        return [x.vm_id for x in voters]
