"""Tells each VM the load that the others have put on the engines.

One voter keeps the sums: each VM sends it the own load at a short interval
while there is any, and gets the load of the others in answer. Without an
answer a VM goes on with the own load only.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
from typing import Protocol

from rattanroute.actions import Action
from rattanroute.actions import SendMessage
from rattanroute.messages.loads import EngineLoad
from rattanroute.messages.loads import OtherLoads
from rattanroute.messages.loads import OwnLoads
from rattanroute.tables.engineloads import EngineLoadTable

REPORT_SECONDS = 0.25
IDLE_REPORT_SECONDS = 1.0
# A VM that has not reported for so long has no load, or is gone.
EXPIRY_SECONDS = 2.5
# Without an answer for so long the load of the others is unknown.
SILENCE_SECONDS = 3.0


class MemberRow(Protocol):
    """What this system reads of a live VM."""

    vm_id: str
    voter: bool


@dataclasses.dataclass(kw_only=True, slots=True)
class HeardLoads:
    """The load of one VM and when it was heard."""

    loads: dict[str, EngineLoad]
    heard_at: float


class EngineLoadSystem:
    """Sends the own load and hears that of the others; keeps the sums.

    Args:
        vm_id: Identifier of this VM.
        members: Returns the live VMs, this one included.
        loads: Table of loads; None on a VM that serves no callers.
    """

    message_types: tuple[type, ...] = (OwnLoads, OtherLoads)

    def __init__(
        self,
        *,
        vm_id: str,
        members: Callable[[], Iterable[MemberRow]],
        loads: EngineLoadTable | None = None,
    ) -> None:
        self.vm_id = vm_id
        self.members = members
        self.loads = loads
        self.due = 0.0
        self.answered_at = 0.0
        self.heard: dict[str, HeardLoads] = {}
        self.turn = 0

    def receive(
        self, *, peer: str, message: object, now: float
    ) -> list[Action]:
        """Takes the load of a VM as the keeper, or the keeper's answer."""
        if isinstance(message, OwnLoads):
            self.heard[peer] = HeardLoads(
                loads={load.target_id: load for load in message.loads},
                heard_at=now,
            )
            return [SendMessage(peer=peer, message=self.sum_others(peer, now))]
        if self.loads is not None:
            self.answered_at = now
            self.loads.take_others(message.loads, message.vms)
        return []

    def sum_others(self, peer: str, now: float) -> OtherLoads:
        """Returns the load of all VMs but one."""
        requests: dict[str, int] = {}
        units: dict[str, int] = {}
        for vm_id, heard in list(self.heard.items()):
            if now - heard.heard_at > EXPIRY_SECONDS:
                del self.heard[vm_id]
                continue
            if vm_id == peer:
                continue
            for name, load in heard.loads.items():
                requests[name] = requests.get(name, 0) + load.requests
                units[name] = units.get(name, 0) + load.cache_units
        return OtherLoads(
            loads=tuple(
                EngineLoad(
                    target_id=name, requests=count, cache_units=units[name]
                )
                for name, count in requests.items()
            ),
            vms=len(self.heard),
        )

    def tick(self, *, now: float) -> list[Action]:
        """Sends the own load when that is due."""
        if self.loads is None or now < self.due:
            return []
        own = self.loads.own()
        self.due = now + (REPORT_SECONDS if own else IDLE_REPORT_SECONDS)
        if now - self.answered_at > SILENCE_SECONDS:
            self.turn += 1
            self.answered_at = now
            self.loads.take_others((), 1)
        voters = sorted(x.vm_id for x in self.members() if x.voter)
        if not voters:
            return []
        keeper = voters[self.turn % len(voters)]
        return [SendMessage(peer=keeper, message=OwnLoads(loads=own))]
