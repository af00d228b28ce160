"""Passing of target reports between VMs.

The VM that hears a target passes its report to the VMs of its own data centre
at a short interval and to those of other data centres at a longer one. A
notice that a target leaves is passed to all of them at once.

A report is sent whole when something but the load has changed, when the VMs of
the group have changed, and now and then in case a message was lost; otherwise
only the load is sent, which takes a tenth of the bytes.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
from typing import Protocol

from rattanroute.actions import Action
from rattanroute.actions import SendMessage
from rattanroute.messages.targets import TargetLoad
from rattanroute.messages.targets import TargetLoads
from rattanroute.messages.targets import TargetReports
from rattanroute.tables.targets import TargetReport
from rattanroute.tables.targets import TargetTable

LOCAL_INTERVAL_SECONDS = 0.25
REMOTE_INTERVAL_SECONDS = 0.75
# Bounds how long a VM that lost a whole report goes on with an older one.
WHOLE_REPORT_SECONDS = 5.0
# A record that no report renewed for this long is removed. It must be longer
# than a partition's usual blips, so that measured speeds survive them.
FORGET_SECONDS = 120.0


class MemberView(Protocol):
    """What this system reads of a live VM."""

    vm_id: str
    data_centre: str
    incarnation: int


@dataclasses.dataclass(kw_only=True, slots=True)
class HeardReport:
    """A report that a target gave to this VM and its time."""

    report: TargetReport
    received_at: float


@dataclasses.dataclass(kw_only=True, slots=True)
class Group:
    """The VMs of this data centre, or those of the others.

    Attributes:
        is_local: Whether the group is this data centre.
        interval: Seconds between two batches.
        due: Time of the next batch.
        batch: Reports that wait, by target.
        whole: Latest whole report and its time, by target.
        members: VMs that got the whole reports.
    """

    is_local: bool
    interval: float
    due: float = 0.0
    batch: dict[str, HeardReport] = dataclasses.field(default_factory=dict)
    whole: dict[str, HeardReport] = dataclasses.field(default_factory=dict)
    members: frozenset[str] = frozenset()

    def needs_whole(self, heard: HeardReport, now: float) -> bool:
        """Returns whether a report must be sent whole."""
        known = self.whole.get(heard.report.target_id)
        if known is None or now - known.received_at >= WHOLE_REPORT_SECONDS:
            return True
        return not is_same_but_load(known.report, heard.report)


class TargetReportSystem:
    """Passes reports on and stores those of peers.

    Args:
        vm_id: Identifier of this VM.
        data_centre: Data centre of this VM.
        targets: Table in which reports are stored.
        members: Returns the live VMs, this one included.
    """

    message_types: tuple[type, ...] = (TargetReports, TargetLoads)

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
        self.groups = (
            Group(is_local=True, interval=LOCAL_INTERVAL_SECONDS),
            Group(is_local=False, interval=REMOTE_INTERVAL_SECONDS),
        )
        # Incarnations of the VMs that know all that this VM heard; those that
        # were there before it get its reports in batches.
        self.told: dict[str, int] | None = None

    def announce(self, *, report: TargetReport, now: float) -> list[Action]:
        """Stores a report that a target gave to this VM.

        Returns:
            Messages for peers when the target leaves; other reports wait for
            the next batch.
        """
        is_new = self.targets.record(
            report=report, observer=self.vm_id, received_at=now
        )
        if not is_new:
            return []
        heard = HeardReport(report=report, received_at=now)
        if report.leaving:
            message = build_message([heard], now)
            return [
                SendMessage(peer=member.vm_id, message=message)
                for member in self.members()
                if member.vm_id != self.vm_id
            ]
        for group in self.groups:
            group.batch[report.target_id] = heard
        return []

    def receive(
        self, *, peer: str, message: object, now: float
    ) -> list[Action]:
        """Stores the reports and loads that a peer heard."""
        if isinstance(message, TargetLoads):
            for load in message.loads:
                self.take_load(peer, load, now)
            return []
        for report, age in zip(message.reports, message.ages, strict=False):
            self.targets.record(
                report=report, observer=peer, received_at=now - max(0.0, age)
            )
        return []

    def take_load(self, peer: str, load: TargetLoad, now: float) -> None:
        """Stores the load of a target that is known in this incarnation."""
        row = self.targets.get(load.target_id)
        if row is None or row.report.incarnation != load.incarnation:
            return
        report = dataclasses.replace(
            row.report,
            sequence=load.sequence,
            running=load.running,
            queued=load.queued,
        )
        self.targets.record(
            report=report, observer=peer, received_at=now - max(0.0, load.age)
        )

    def tick(self, *, now: float) -> list[Action]:
        """Sends the batches that are due and forgets old targets."""
        actions = self.tell_newcomers(now)
        for group in self.groups:
            if now >= group.due:
                group.due = now + group.interval
                actions += self.flush(group, now)
                self.forget(now)
        return actions

    def tell_newcomers(self, now: float) -> list[Action]:
        """Sends what this VM heard itself to VMs that have just started.

        They would otherwise wait for the next report of each target.
        """
        members = {
            member.vm_id: member.incarnation
            for member in self.members()
            if member.vm_id != self.vm_id
        }
        told, self.told = self.told, members
        if told is None:
            return []
        newcomers = [
            vm_id
            for vm_id, incarnation in members.items()
            if told.get(vm_id) != incarnation
        ]
        if not newcomers:
            return []
        heard = [
            HeardReport(report=row.report, received_at=row.received_at)
            for row in self.targets
            if row.observer == self.vm_id
            and now - row.received_at < WHOLE_REPORT_SECONDS
        ]
        if not heard:
            return []
        message = build_message(heard, now)
        return [SendMessage(peer=x, message=message) for x in newcomers]

    def flush(self, group: Group, now: float) -> list[Action]:
        """Returns a group's batch as messages and empties it."""
        if not group.batch:
            return []
        members = frozenset(
            member.vm_id
            for member in self.members()
            if member.vm_id != self.vm_id
            and (member.data_centre == self.data_centre) == group.is_local
        )
        if not members <= group.members:
            group.whole.clear()
        group.members = members
        batch = list(group.batch.values())
        group.batch.clear()
        whole = [item for item in batch if group.needs_whole(item, now)]
        loads = [item for item in batch if not group.needs_whole(item, now)]
        for item in whole:
            group.whole[item.report.target_id] = HeardReport(
                report=item.report, received_at=now
            )
        messages: list[object] = []
        if whole:
            messages.append(build_message(whole, now))
        if loads:
            messages.append(build_loads(loads, now))
        return [
            SendMessage(peer=peer, message=message)
            for peer in sorted(members)
            for message in messages
        ]

    def forget(self, now: float) -> None:
        """Removes targets that were not heard for long."""
        for target in list(self.targets):
            if (
                target.in_flight == 0
                and now - target.received_at > FORGET_SECONDS
            ):
                self.targets.remove(target.report.target_id)
                for group in self.groups:
                    group.whole.pop(target.report.target_id, None)


def build_message(heard: list[HeardReport], now: float) -> TargetReports:
    """Builds a message with the ages of its reports."""
    return TargetReports(
        reports=tuple(item.report for item in heard),
        ages=tuple(now - item.received_at for item in heard),
    )


def build_loads(heard: list[HeardReport], now: float) -> TargetLoads:
    """Builds a message with the loads only."""
    return TargetLoads(
        loads=tuple(
            TargetLoad(
                target_id=item.report.target_id,
                incarnation=item.report.incarnation,
                sequence=item.report.sequence,
                running=item.report.running,
                queued=item.report.queued,
                age=round(now - item.received_at, 3),
            )
            for item in heard
        )
    )


def is_same_but_load(old: TargetReport, new: TargetReport) -> bool:
    """Returns whether two reports differ at most in load and number."""
    return old == dataclasses.replace(
        new, sequence=old.sequence, running=old.running, queued=old.queued
    )
