"""Keeps work from targets that said they end, on every VM.

A notice is flooded at once and repeated for a while, because a link may lose
messages without an error. It outlives the target's record, so that a report
that was delayed on its way does not bring the target back.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
from typing import Protocol

from rattanroute.actions import Action
from rattanroute.actions import SendMessage
from rattanroute.messages.departures import Departure
from rattanroute.messages.departures import Departures
from rattanroute.tables.targets import TargetReport
from rattanroute.tables.targets import TargetTable

REPEAT_SECONDS = 0.5
REPEATS = 12
# Delayed reports arrive within seconds; a target that starts again has a
# later incarnation.
FORGET_SECONDS = 120.0


class MemberRow(Protocol):
    """What this system reads of a live VM."""

    vm_id: str


@dataclasses.dataclass(kw_only=True, slots=True)
class DepartureRow:
    """A notice with what remains to be done about it.

    Attributes:
        until_incarnation: Latest incarnation that it is about.
        heard_at: When it was heard.
        repeats: Times that it is still to be sent.
    """

    until_incarnation: int
    heard_at: float
    repeats: int = 0


class DepartureSystem:
    """Floods notices and applies those of others.

    Args:
        vm_id: Identifier of this VM.
        targets: All targets.
        members: Returns the live VMs, this one included.
    """

    message_types: tuple[type, ...] = (Departures,)

    def __init__(
        self,
        *,
        vm_id: str,
        targets: TargetTable,
        members: Callable[[], Iterable[MemberRow]],
    ) -> None:
        self.vm_id = vm_id
        self.targets = targets
        self.members = members
        self.rows: dict[str, DepartureRow] = {}
        self.due = 0.0

    def announce(
        self, *, target_id: str, until_incarnation: int, now: float
    ) -> list[Action]:
        """Takes the notice that a target gave to this VM."""
        notice = Departure(
            target_id=target_id, until_incarnation=until_incarnation
        )
        self.apply(notice, now)
        self.rows[target_id].repeats = REPEATS
        return self.send((notice,))

    def covers(self, report: TargetReport) -> bool:
        """Whether a report comes from a target that said it ends."""
        row = self.rows.get(report.target_id)
        return row is not None and report.incarnation <= row.until_incarnation

    def apply(self, notice: Departure, now: float) -> None:
        """Marks a target as leaving."""
        known = self.rows.get(notice.target_id)
        until = notice.until_incarnation
        if known is not None:
            known.until_incarnation = max(known.until_incarnation, until)
        else:
            self.rows[notice.target_id] = DepartureRow(
                until_incarnation=until, heard_at=now
            )
        row = self.targets.get(notice.target_id)
        if row is not None and row.report.incarnation <= until:
            row.report.leaving = True
            self.targets.refresh(row)

    def send(self, notices: tuple[Departure, ...]) -> list[Action]:
        """Returns the messages that tell all other VMs."""
        message = Departures(departures=notices)
        return [
            SendMessage(peer=member.vm_id, message=message)
            for member in self.members()
            if member.vm_id != self.vm_id
        ]

    def receive(
        self, *, peer: str, message: object, now: float
    ) -> list[Action]:
        """Applies the notices that a peer heard."""
        for notice in message.departures:
            self.apply(notice, now)
        return []

    def tick(self, *, now: float) -> list[Action]:
        """Repeats notices and forgets old ones."""
        if now < self.due:
            return []
        self.due = now + REPEAT_SECONDS
        notices = []
        for target_id, row in list(self.rows.items()):
            target = self.targets.get(target_id)
            if target is not None and self.covers(target.report):
                target.report.leaving = True
            if row.repeats:
                row.repeats -= 1
                notices.append(
                    Departure(
                        target_id=target_id,
                        until_incarnation=row.until_incarnation,
                    )
                )
            elif now - row.heard_at > FORGET_SECONDS:
                del self.rows[target_id]
        return self.send(tuple(notices)) if notices else []
