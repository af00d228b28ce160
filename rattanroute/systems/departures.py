"""Keeps work from targets that said they end, on every VM.

A target tells one VM, or says so in its answers. A voter floods the notice at
once and repeats it for a while, because a link may lose messages without an
error; a VM that is no voter has few links and tells the voters, which flood
what is news to them. A notice outlives the target's record, so that a report
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
    voter: bool


@dataclasses.dataclass(kw_only=True, slots=True)
class DepartureRow:
    """A notice with what remains to be done about it.

    Attributes:
        until_incarnation: Latest incarnation that it is about.
        received_at: When it was heard.
        repeats: Times that it is still to be sent.
    """

    until_incarnation: int
    received_at: float
    repeats: int = 0


class DepartureSystem:
    """Floods notices and applies those of others.

    Args:
        vm_id: Identifier of this VM.
        voter: Whether this VM is a voter.
        targets: All targets.
        members: Returns the live VMs, this one included.
    """

    message_types: tuple[type, ...] = (Departures,)

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
        self.rows: dict[str, DepartureRow] = {}
        self.due = 0.0

    def announce(
        self, *, target_id: str, until_incarnation: int, now: float
    ) -> list[Action]:
        """Takes the notice that a target gave to this VM, or its answer."""
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
                until_incarnation=until, received_at=now
            )
        row = self.targets.get(notice.target_id)
        if row is not None and row.report.incarnation <= until:
            row.report.leaving = True
            self.targets.update_open_sets(row)

    def send(self, notices: tuple[Departure, ...]) -> list[Action]:
        """Returns the messages that tell the other VMs, or the voters."""
        message = Departures(departures=notices)
        return [
            SendMessage(peer=member.vm_id, message=message)
            for member in self.members()
            if member.vm_id != self.vm_id and (self.voter or member.voter)
        ]

    def receive(
        self, *, peer: str, message: object, now: float
    ) -> list[Action]:
        """Applies the notices that a peer heard; a voter passes news on."""
        news = []
        for notice in message.departures:
            known = self.rows.get(notice.target_id)
            until = notice.until_incarnation
            if known is None or known.until_incarnation < until:
                news.append(notice)
            self.apply(notice, now)
        if not news or not self.voter or self.is_voter(peer):
            return []
        for notice in news:
            self.rows[notice.target_id].repeats = REPEATS
        return self.send(tuple(news))

    def is_voter(self, vm_id: str) -> bool:
        """Whether a live VM is a voter."""
        return any(x.vm_id == vm_id and x.voter for x in self.members())

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
            elif now - row.received_at > FORGET_SECONDS:
                del self.rows[target_id]
        return self.send(tuple(notices)) if notices else []
