"""Distribution of target reports between VMs.

The VM that receives the reports of a target forwards them in batches, to the
VMs of its own data centre at a short interval and to those of other data
centres at a longer one. The notice that a target is leaving is sent to all VMs
immediately.

A full report is sent if a field other than the load has changed, if VMs have
joined the group, and periodically. Otherwise only the load is sent, which takes
an eighth of the bytes, with a digest of the other fields. A VM that lacks the
full report requests it.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
from typing import Protocol

from rattanroute.actions import Action
from rattanroute.actions import SendMessage
from rattanroute.messages.targets import ReportsRequest
from rattanroute.messages.targets import TargetLoad
from rattanroute.messages.targets import TargetLoads
from rattanroute.messages.targets import TargetReports
from rattanroute.systems.report_digests import compute_digest
from rattanroute.systems.report_digests import KnownReports
from rattanroute.tables.targets import TargetReport
from rattanroute.tables.targets import TargetTable

# Batch intervals to VMs of this data centre and of the others.
LOCAL_INTERVAL_SECONDS = 0.25
REMOTE_INTERVAL_SECONDS = 0.75
# Bounds how long a VM of an earlier release, which requests no full report,
# uses an older one that it has.
FULL_REPORT_INTERVAL_SECONDS = 30.0
# Reports that are not older than this are sent to a VM that has joined.
RECENT_REPORT_SECONDS = 5.0
# Targets without a report for this long are removed. This is longer than short
# network partitions usually last, so that measured speeds survive them.
REMOVAL_SECONDS = 120.0


class MemberView(Protocol):
    """The fields of a live VM that this system reads."""

    vm_id: str
    data_centre: str
    incarnation: int


@dataclasses.dataclass(kw_only=True, slots=True)
class ReceivedReport:
    """A report with the time at which this VM received it.

    Attributes:
        report: The report.
        received_at: The time, in seconds.
        digest: Digest of its values beside the load.
    """

    report: TargetReport
    received_at: float
    digest: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SentReport:
    """A full report that was sent.

    Attributes:
        digest: Its digest.
        sent_at: The time of sending, in seconds.
    """

    digest: int
    sent_at: float


@dataclasses.dataclass(kw_only=True, slots=True)
class PeerGroup:
    """The VMs of this data centre, or those of all others.

    Attributes:
        is_local: Whether this is the group of this data centre.
        interval: Time between two batches, in seconds.
        next_send_at: Time of the next batch.
        batch: Reports to send with the next batch, by target.
        full: Last full report sent, by target.
        members: VMs to which the full reports were sent.
    """

    is_local: bool
    interval: float
    next_send_at: float = 0.0
    batch: dict[str, ReceivedReport] = dataclasses.field(default_factory=dict)
    full: dict[str, SentReport] = dataclasses.field(default_factory=dict)
    members: frozenset[str] = frozenset()

    def needs_full_report(self, received: ReceivedReport, now: float) -> bool:
        """Returns whether a report must be sent in full."""
        known = self.full.get(received.report.target_id)
        return (
            known is None
            or known.digest != received.digest
            or now - known.sent_at >= FULL_REPORT_INTERVAL_SECONDS
        )


class TargetReportSystem:
    """Forwards reports of targets and stores those from peers.

    Args:
        vm_id: Identifier of this VM.
        data_centre: Data centre of this VM.
        targets: Table in which reports are stored.
        members: Returns the live VMs, including this one.
    """

    message_types: tuple[type, ...] = (
        TargetReports,
        TargetLoads,
        ReportsRequest,
    )

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
            PeerGroup(is_local=True, interval=LOCAL_INTERVAL_SECONDS),
            PeerGroup(is_local=False, interval=REMOTE_INTERVAL_SECONDS),
        )
        # Incarnations of the VMs that have all reports of this VM. VMs that
        # were live before its first tick get the reports in batches.
        self.informed: dict[str, int] | None = None
        self.known = KnownReports()
        # Incarnations of the targets that were announced as leaving.
        self.leaving: dict[str, int] = {}

    def announce(self, *, report: TargetReport, now: float) -> list[Action]:
        """Stores a report that a target sent to this VM.

        Returns:
            Messages to peers if the target has begun to leave; other reports
            are added to the next batch.
        """
        is_new = self.targets.record(
            report=report, observer=self.vm_id, received_at=now
        )
        if not is_new:
            return []
        received = build_received(report, now)
        self.known.digests[report.target_id] = received.digest
        if report.leaving and self.is_newly_leaving(report):
            self.leaving[report.target_id] = report.incarnation
            message = build_message([received], now)
            return [
                SendMessage(peer=member.vm_id, message=message)
                for member in self.members()
                if member.vm_id != self.vm_id
            ]
        for group in self.groups:
            group.batch[report.target_id] = received
        return []

    def is_newly_leaving(self, report: TargetReport) -> bool:
        """Whether a leaving target was not announced as such."""
        return self.leaving.get(report.target_id) != report.incarnation

    def receive(
        self, *, peer: str, message: object, now: float
    ) -> list[Action]:
        """Stores the reports or loads of a peer, or answers its request."""
        match message:
            case TargetLoads():
                return self.handle_loads(peer, message, now)
            case ReportsRequest():
                return self.answer_request(peer, message, now)
        self.known.add(message)
        for report, age in zip(message.reports, message.ages, strict=False):
            self.targets.record(
                report=report, observer=peer, received_at=now - max(0.0, age)
            )
        return []

    def handle_loads(
        self, peer: str, message: TargetLoads, now: float
    ) -> list[Action]:
        """Stores loads; requests the full reports that this VM lacks."""
        for load in message.loads:
            if not self.known.lacks(load):
                self.apply_load(peer, load, now)
        due = self.known.take_due(message.loads, now)
        if not due:
            return []
        request = ReportsRequest(target_ids=due)
        return [SendMessage(peer=peer, message=request)]

    def answer_request(
        self, peer: str, message: ReportsRequest, now: float
    ) -> list[Action]:
        """Sends a VM the full reports that it lacks."""
        rows = [self.targets.get(x) for x in message.target_ids]
        received = [
            build_received(row.report, row.received_at)
            for row in rows
            if row is not None
        ]
        if not received:
            return []
        return [SendMessage(peer=peer, message=build_message(received, now))]

    def apply_load(self, peer: str, load: TargetLoad, now: float) -> None:
        """Stores a load unless its target or incarnation is unknown."""
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
        """Sends the batches that are due and removes silent targets."""
        actions = self.send_to_new_members(now)
        for group in self.groups:
            if now >= group.next_send_at:
                group.next_send_at = now + group.interval
                actions += self.flush(group, now)
                self.remove_silent_targets(now)
        return actions

    def send_to_new_members(self, now: float) -> list[Action]:
        """Sends the reports that this VM received from targets to new VMs.

        They would otherwise have to wait for the next report of each target.
        """
        members = {
            member.vm_id: member.incarnation
            for member in self.members()
            if member.vm_id != self.vm_id
        }
        informed, self.informed = self.informed, members
        if informed is None:
            return []
        new_members = [
            vm_id
            for vm_id, incarnation in members.items()
            if informed.get(vm_id) != incarnation
        ]
        if not new_members:
            return []
        received = [
            build_received(row.report, row.received_at)
            for row in self.targets
            if row.observer == self.vm_id
            and now - row.received_at < RECENT_REPORT_SECONDS
        ]
        if not received:
            return []
        message = build_message(received, now)
        return [SendMessage(peer=x, message=message) for x in new_members]

    def flush(self, group: PeerGroup, now: float) -> list[Action]:
        """Returns the batch of a group as messages and clears it."""
        if not group.batch:
            return []
        members = frozenset(
            member.vm_id
            for member in self.members()
            if member.vm_id != self.vm_id
            and (member.data_centre == self.data_centre) == group.is_local
        )
        if not members <= group.members:
            group.full.clear()
        group.members = members
        batch = list(group.batch.values())
        group.batch.clear()
        full = [item for item in batch if group.needs_full_report(item, now)]
        loads = [
            item for item in batch if not group.needs_full_report(item, now)
        ]
        for item in full:
            group.full[item.report.target_id] = SentReport(
                digest=item.digest, sent_at=now
            )
        messages: list[object] = []
        if full:
            messages.append(build_message(full, now))
        if loads:
            messages.append(build_loads(loads, now))
        return [
            SendMessage(peer=peer, message=message)
            for peer in sorted(members)
            for message in messages
        ]

    def remove_silent_targets(self, now: float) -> None:
        """Removes idle targets without a recent sign."""
        for target in list(self.targets):
            if target.in_flight == 0 and now - target.seen_at > REMOVAL_SECONDS:
                self.targets.remove(target.report.target_id)
                self.leaving.pop(target.report.target_id, None)
                self.known.remove(target.report.target_id)
                for group in self.groups:
                    group.full.pop(target.report.target_id, None)


def build_received(report: TargetReport, received_at: float) -> ReceivedReport:
    """Returns a report with its digest."""
    return ReceivedReport(
        report=report, received_at=received_at, digest=compute_digest(report)
    )


def build_message(received: list[ReceivedReport], now: float) -> TargetReports:
    """Builds a message of full reports and their ages."""
    return TargetReports(
        reports=tuple(item.report for item in received),
        ages=tuple(now - item.received_at for item in received),
        digests=tuple(item.digest for item in received),
    )


def build_loads(received: list[ReceivedReport], now: float) -> TargetLoads:
    """Builds a message that contains only the loads."""
    return TargetLoads(
        loads=tuple(
            TargetLoad(
                target_id=item.report.target_id,
                incarnation=item.report.incarnation,
                sequence=item.report.sequence,
                running=item.report.running,
                queued=item.report.queued,
                age=round(now - item.received_at, 3),
                digest=item.digest,
            )
            for item in received
        )
    )
