"""Passing of target reports between VMs.

The VM that hears a target passes its report to the VMs of its own data centre
at a short interval and to those of other data centres at a longer one. A
notice that a target leaves is passed to all of them at once.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
from typing import Protocol

from rattanroute.actions import Action
from rattanroute.actions import SendMessage
from rattanroute.messages.targets import TargetReports
from rattanroute.tables.targets import TargetReport
from rattanroute.tables.targets import TargetTable

LOCAL_INTERVAL_SECONDS = 0.25
REMOTE_INTERVAL_SECONDS = 0.75
# A record that no report renewed for this long is removed. It must be longer
# than a partition's usual blips, so that measured speeds survive them.
FORGET_SECONDS = 120.0


class MemberView(Protocol):
    """What this system reads of a live VM."""

    vm_id: str
    data_centre: str


@dataclasses.dataclass(kw_only=True, slots=True)
class HeardReport:
    """A report that a target gave to this VM and its time."""

    report: TargetReport
    heard_at: float


class TargetReportSystem:
    """Passes reports on and stores those of peers.

    Args:
        vm_id: Identifier of this VM.
        data_centre: Data centre of this VM.
        targets: Table in which reports are stored.
        members: Returns the live VMs, this one included.
    """

    message_types: tuple[type, ...] = (TargetReports,)

    def __init__(
        self,
        *,
        vm_id: str,
        data_centre: str,
        targets: TargetTable,
        members: Callable[[], Iterable[MemberView]],
    ) -> None:
        self.vm_id = vm_id
        self.data_centre = data_centre
        self.targets = targets
        self.members = members
        self.local_batch: dict[str, HeardReport] = {}
        self.remote_batch: dict[str, HeardReport] = {}
        self.local_due = 0.0
        self.remote_due = 0.0

    def announce(self, *, report: TargetReport, now: float) -> list[Action]:
        """Stores a report that a target gave to this VM.

        Returns:
            Messages for peers when the target leaves; other reports wait for
            the next batch.
        """
        is_new = self.targets.record(
            report=report, observer=self.vm_id, heard_at=now
        )
        if not is_new:
            return []
        heard = HeardReport(report=report, heard_at=now)
        if report.leaving:
            message = build_message([heard], now)
            return [
                SendMessage(peer=member.vm_id, message=message)
                for member in self.members()
                if member.vm_id != self.vm_id
            ]
        self.local_batch[report.target_id] = heard
        self.remote_batch[report.target_id] = heard
        return []

    def receive(
        self, *, peer: str, message: object, now: float
    ) -> list[Action]:
        """Stores the reports that a peer heard."""
        assert isinstance(message, TargetReports)
        for report, age in zip(message.reports, message.ages, strict=False):
            self.targets.record(
                report=report, observer=peer, heard_at=now - max(0.0, age)
            )
        return []

    def tick(self, *, now: float) -> list[Action]:
        """Sends the batches that are due and forgets old targets."""
        actions: list[Action] = []
        if now >= self.local_due:
            self.local_due = now + LOCAL_INTERVAL_SECONDS
            actions += self.flush(self.local_batch, local=True, now=now)
        if now >= self.remote_due:
            self.remote_due = now + REMOTE_INTERVAL_SECONDS
            actions += self.flush(self.remote_batch, local=False, now=now)
            self.forget(now)
        return actions

    def flush(
        self, batch: dict[str, HeardReport], *, local: bool, now: float
    ) -> list[Action]:
        """Returns a batch as messages to one group of VMs and empties it."""
        if not batch:
            return []
        message = build_message(list(batch.values()), now)
        batch.clear()
        return [
            SendMessage(peer=member.vm_id, message=message)
            for member in self.members()
            if member.vm_id != self.vm_id
            and (member.data_centre == self.data_centre) == local
        ]

    def forget(self, now: float) -> None:
        """Removes targets that were not heard for long."""
        for target in list(self.targets):
            if target.in_flight == 0 and now - target.heard_at > FORGET_SECONDS:
                self.targets.remove(target.report.target_id)


def build_message(heard: list[HeardReport], now: float) -> TargetReports:
    """Builds a message with the ages of its reports."""
    return TargetReports(
        reports=tuple(item.report for item in heard),
        ages=tuple(now - item.heard_at for item in heard),
    )
