"""Bootstrap: the first voters agree on their storage identities.

The settings name the first voters by VM only. Each data folder has a random
storage identity, and the voters must learn these identities without counting
a VM that has already lost its folder:

1. Each first voter durably records the first identity that it receives
   directly from each other voter, never changes it, and reports all
   identities that it has recorded.
2. A voter completes the bootstrap once every first voter reports the same
   complete set, or once a voter that has completed reports a set with this
   voter's own identity.
3. Before it completes, a voter neither votes nor accepts changes.

A set is complete only if the folder of every identity in it has durably
recorded exactly this set. Two different complete sets would need a folder
that recorded both, so there is at most one while any first folder is intact.
A VM that loses its folder after the others recorded it gets a new identity.
If the others have completed, their reports show it that it is not in the set,
and it asks to join as a learner. If none has completed, the bootstrap cannot
complete. Nothing has been accepted by then, so the operator can empty the
folders of all first voters and start again.
"""

import dataclasses

from rattanroute.actions import SendMessage
from rattanroute.consensus.entries import build_first_membership
from rattanroute.consensus.entries import Membership
from rattanroute.messages.consensus import BootstrapReport

REPORT_INTERVAL_SECONDS = 0.5


@dataclasses.dataclass(kw_only=True, slots=True)
class Bootstrap:
    """State of a first voter that has not completed the bootstrap.

    Attributes:
        vm_id: This VM.
        storage_id: Identity of its data folder.
        voters: VM identifiers of the first voters.
        ids: Recorded identities by VM; the host makes a change durable
            before it sends a report.
        reports: The latest report of each other first voter.
        is_excluded: Whether the set of a completed voter lacks this folder.
        report_at: Time of the next report, in seconds.
    """

    vm_id: str
    storage_id: str
    voters: tuple[str, ...]
    ids: dict[str, str]
    reports: dict[str, BootstrapReport] = dataclasses.field(
        default_factory=dict
    )
    is_excluded: bool = False
    report_at: float = float("-inf")

    def record_report(self, peer: str, report: BootstrapReport) -> bool:
        """Records a report; returns whether `ids` has a new identity."""
        if peer not in self.voters or peer == self.vm_id:
            return False
        if report.final:
            self.apply_final_report(report)
            return False
        is_new = peer not in self.ids
        if is_new:
            self.ids[peer] = report.storage_id
            self.report_at = float("-inf")
        if self.ids[peer] == report.storage_id:
            self.reports[peer] = report
        return is_new

    def apply_final_report(self, report: BootstrapReport) -> None:
        """Copies a completed set, or marks this folder as excluded."""
        if report.ids.get(self.vm_id) != self.storage_id:
            self.is_excluded = True
            return
        self.ids = dict(report.ids)
        for voter in self.voters:
            self.reports[voter] = report

    def build_membership(self) -> Membership | None:
        """Returns the first membership, or None until all voters agree."""
        if self.is_excluded or set(self.ids) != set(self.voters):
            return None
        for voter in self.voters:
            if voter == self.vm_id:
                continue
            report = self.reports.get(voter)
            if report is None or report.ids != self.ids:
                return None
        return build_first_membership(self.ids)

    def build_due_reports(self, now: float) -> list[SendMessage]:
        """Returns the reports to the other first voters if they are due."""
        if now < self.report_at or self.is_excluded:
            return []
        self.report_at = now + REPORT_INTERVAL_SECONDS
        message = BootstrapReport(
            storage_id=self.storage_id, ids=dict(self.ids), final=False
        )
        return [
            SendMessage(peer=voter, message=message)
            for voter in self.voters
            if voter != self.vm_id
        ]
