"""Broadcasts departure notices of targets, so that no VM sends them new work.

A target sends its notice to one VM or includes it in its answers. A voter
broadcasts the notice at once and repeats it for a while, because a link may
lose messages without an error. The other voters confirm it, and one of them
takes the broadcast over if the first one does not repeat it. Other VMs have few
links; they send the notice to the voters, which broadcast those that are new to
them. A notice is kept longer than the record of its target, so that a delayed
report does not restore the target.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
from typing import Protocol

from rattanroute.actions import Action
from rattanroute.actions import SendMessage
from rattanroute.messages.departures import Departure
from rattanroute.messages.departures import DepartureReceipt
from rattanroute.messages.departures import Departures
from rattanroute.tables.targets import TargetReport
from rattanroute.tables.targets import TargetTable

REPEAT_SECONDS = 0.5
MAX_REPEATS = 12
# A voter that has not repeated a notice by then is taken for lost; a lost
# message alone costs a broadcast.
TAKEOVER_SECONDS = 0.75
# Delayed reports arrive within seconds; a restarted target has a later
# incarnation.
RETENTION_SECONDS = 120.0


class MemberRow(Protocol):
    """Attributes of a live VM that this system uses."""

    vm_id: str
    voter: bool


@dataclasses.dataclass(kw_only=True, slots=True)
class DepartureNotice:
    """A departure notice and its remaining repetitions.

    Attributes:
        until_incarnation: Latest incarnation that the notice applies to.
        received_at: Time in seconds at which it was first received.
        repeats: Number of repetitions that remain.
        confirmed: Whether another voter holds the notice.
        takeover_at: Time in seconds at which this voter takes the broadcast
            over; None if it does not.
    """

    until_incarnation: int
    received_at: float
    repeats: int = 0
    confirmed: bool = False
    takeover_at: float | None = None


class DepartureSystem:
    """Broadcasts notices and applies those of other VMs.

    Args:
        vm_id: Identifier of this VM.
        voter: Whether this VM is a voter.
        targets: All targets.
        members: Returns the live VMs, this one included.

    Attributes:
        rows: Known notices by target.
        next_repeat_at: Time in seconds of the next repetition.
        on_confirmed: Called with a target whose notice another voter holds.
    """

    message_types: tuple[type, ...] = (Departures, DepartureReceipt)

    def __init__(
        self,
        *,
        vm_id: str,
        voter: bool,
        targets: TargetTable,
        members: Callable[[], Iterable[MemberRow]],
    ) -> None:
        self.vm_id = vm_id
        self.voter = voter
        self.targets = targets
        self.members = members
        self.rows: dict[str, DepartureNotice] = {}
        self.next_repeat_at = 0.0
        self.on_confirmed: Callable[[str], None] = lambda target_id: None

    def announce(
        self, *, target_id: str, until_incarnation: int, now: float
    ) -> list[Action]:
        """Applies and sends a notice that a target gave to this VM."""
        known = self.rows.get(target_id)
        if (
            known is not None
            and known.repeats
            and known.until_incarnation >= until_incarnation
        ):
            return []
        notice = Departure(
            target_id=target_id, until_incarnation=until_incarnation
        )
        self.apply(notice, now)
        self.rows[target_id].repeats = MAX_REPEATS
        return self.build_messages((notice,), confirm=self.voter)

    def is_confirmed(self, target_id: str) -> bool:
        """Returns whether another voter holds a notice, if there is one."""
        row = self.rows.get(target_id)
        if row is None or row.confirmed:
            return True
        return not any(
            x.voter and x.vm_id != self.vm_id for x in self.members()
        )

    def covers(self, report: TargetReport) -> bool:
        """Returns whether a report comes from a departing target."""
        row = self.rows.get(report.target_id)
        return row is not None and report.incarnation <= row.until_incarnation

    def apply(self, notice: Departure, now: float) -> None:
        """Stores a notice and marks its target as leaving."""
        known = self.rows.get(notice.target_id)
        until = notice.until_incarnation
        if known is not None:
            known.confirmed &= until <= known.until_incarnation
            known.until_incarnation = max(known.until_incarnation, until)
        else:
            self.rows[notice.target_id] = DepartureNotice(
                until_incarnation=until, received_at=now
            )
        row = self.targets.get(notice.target_id)
        if row is not None and row.report.incarnation <= until:
            row.report.leaving = True
            self.targets.update_open_sets(row)

    def build_messages(
        self, notices: tuple[Departure, ...], *, confirm: bool = False
    ) -> list[Action]:
        """Returns actions that send notices to other VMs.

        A voter sends to all VMs, any other VM to the voters.

        Args:
            notices: The notices.
            confirm: Whether the other voters confirm them and may take the
                broadcast over.
        """
        message = Departures(departures=notices, confirm=confirm)
        return [
            SendMessage(peer=member.vm_id, message=message)
            for member in self.members()
            if member.vm_id != self.vm_id and (self.voter or member.voter)
        ]

    def receive(
        self, *, peer: str, message: object, now: float
    ) -> list[Action]:
        """Applies or confirms the notices of a peer."""
        if isinstance(message, DepartureReceipt):
            self.confirm(message.departures)
            return []
        actions = self.receive_notices(peer, message, now)
        if message.confirm and self.voter:
            receipt = DepartureReceipt(departures=message.departures)
            actions.append(SendMessage(peer=peer, message=receipt))
        return actions

    def confirm(self, notices: tuple[Departure, ...]) -> None:
        """Records that another voter holds notices."""
        for notice in notices:
            row = self.rows.get(notice.target_id)
            if row is None or row.until_incarnation > notice.until_incarnation:
                continue
            row.confirmed = True
            self.on_confirmed(notice.target_id)

    def receive_notices(
        self, peer: str, message: Departures, now: float
    ) -> list[Action]:
        """Applies the notices of a peer; a voter broadcasts new ones.

        Those from another voter are not broadcast as long as it repeats them.
        """
        new_notices = []
        for notice in message.departures:
            known = self.rows.get(notice.target_id)
            until = notice.until_incarnation
            if known is None or known.until_incarnation < until:
                new_notices.append(notice)
            self.apply(notice, now)
        if not self.voter:
            return []
        if self.is_voter(peer):
            self.schedule_takeovers(message, new_notices, now)
            return []
        if not new_notices:
            return []
        for notice in new_notices:
            self.rows[notice.target_id].repeats = MAX_REPEATS
        return self.build_messages(tuple(new_notices))

    def schedule_takeovers(
        self, message: Departures, new_notices: list[Departure], now: float
    ) -> None:
        """Plans to broadcast the notices of a voter that fails.

        A repeated notice has been broadcast twice, which ends the plan.
        """
        for notice in message.departures:
            self.rows[notice.target_id].takeover_at = None
        if message.confirm:
            for notice in new_notices:
                row = self.rows[notice.target_id]
                row.takeover_at = now + TAKEOVER_SECONDS

    def is_voter(self, vm_id: str) -> bool:
        """Returns whether a VM is a live voter."""
        return any(x.vm_id == vm_id and x.voter for x in self.members())

    def tick(self, *, now: float) -> list[Action]:
        """Repeats recent notices and removes old ones."""
        if now < self.next_repeat_at:
            return []
        self.next_repeat_at = now + REPEAT_SECONDS
        notices = []
        for target_id, row in list(self.rows.items()):
            target = self.targets.get(target_id)
            if target is not None and self.covers(target.report):
                target.report.leaving = True
            if row.takeover_at is not None and now >= row.takeover_at:
                row.takeover_at = None
                row.repeats = MAX_REPEATS
            if row.repeats:
                row.repeats -= 1
                notices.append(
                    Departure(
                        target_id=target_id,
                        until_incarnation=row.until_incarnation,
                    )
                )
            elif now - row.received_at > RETENTION_SECONDS:
                del self.rows[target_id]
        return self.build_messages(tuple(notices)) if notices else []
