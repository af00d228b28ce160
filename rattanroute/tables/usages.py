"""Resource usage of attempts, from entry VMs and from targets.

A record is identified by its account tag, which the entry VM assigns when it
dispatches the attempt and which the target repeats in its statement. Both
sources therefore use the same identifier, and a record is counted once, no
matter how often and from which source it arrives. In this module a report is
the entry VM's account of an attempt and a statement is a target's account.
"""

import dataclasses
import enum
from urllib.parse import quote
from urllib.parse import unquote

import msgspec

from rattanroute.tables.sequence_sets import SequenceSet

SECONDS_PER_DAY = 86_400
# Accepted relative difference of accelerator times: targets measure their own
# time, and the entry VM's measurement includes its link.
TIME_TOLERANCE = 0.1
# Least accepted difference of accelerator times, in milliseconds.
MIN_TOLERANCE_MS = 100
TAG_PARTS = 7


class UsageState(enum.StrEnum):
    """Whether entry VM and targets have reported, and whether they agree."""

    REPORTED = "reported"
    STATED = "stated"
    CONFIRMED = "confirmed"
    DISPUTED = "disputed"


class AccountTag(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Identifier of an attempt in the accounts.

    Attributes:
        neighbour: Owner of the workspace.
        workspace: The calling workspace.
        model: Model or service.
        source: Entry VM and its start time, `<vm_id>/<milliseconds>`.
        sequence: Number of the attempt at the source, from 1.
        opened_s: Time of dispatch on the source's wall clock, in seconds since
            1970.
    """

    neighbour: str
    workspace: str
    model: str
    source: str
    sequence: int
    opened_s: int

    @property
    def day(self) -> int:
        """Day in which the attempt is counted, in days since 1970."""
        return self.opened_s // SECONDS_PER_DAY


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Usage:
    """Usage of a finished attempt as measured by the entry VM.

    Attributes:
        request_id: The request.
        attempt: Attempt number.
        neighbour: Owner of the workspace.
        workspace: The calling workspace.
        model: Model or service.
        tokens_in: Prompt tokens.
        tokens_out: Generated tokens that reached this VM.
        accelerator_seconds: Accelerator time; 0 when unknown.
        layers: Layers run by all targets together.
        targets: Targets of the chain; empty when nothing was dispatched.
        outcome: How the attempt ended, for example "done".
        max_tokens_out: Most tokens that the request allows.
        elapsed_seconds: Time from dispatch to the end, in seconds.
    """

    request_id: str
    attempt: int
    neighbour: str
    workspace: str
    model: str
    tokens_in: int = 0
    tokens_out: int = 0
    accelerator_seconds: float = 0.0
    layers: int = 0
    targets: tuple[str, ...] = ()
    outcome: str = ""
    max_tokens_out: int = 0
    elapsed_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetStatement:
    """Usage of a finished attempt that a target states in a heartbeat.

    Attributes:
        target_id: The target.
        request_id: The request.
        attempt: Attempt number.
        account: Value of the attempt's `X-Account` header.
        tokens_in: Prompt tokens.
        tokens_out: Generated tokens.
        seconds: Accelerator time of this target, in seconds.
        layers: Layers run by this target.
    """

    target_id: str
    request_id: str
    attempt: int
    account: str
    tokens_in: int = 0
    tokens_out: int = 0
    seconds: float = 0.0
    layers: int = 0


class UsageReport(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """The entry VM's account of an attempt.

    Attributes:
        tag: Identifier in the accounts.
        request_id: The request.
        attempt: Attempt number.
        tokens_in: Prompt tokens.
        tokens_out: Generated tokens that reached the entry VM.
        accelerator_ms: Accelerator time; 0 when unknown to the entry VM.
        layers: Layers run by all targets together.
        targets: Targets of the chain; empty when nothing was dispatched.
        outcome: How the attempt ended, for example "done".
        max_tokens_out: Most tokens that the request allows.
        max_accelerator_ms: Longest plausible accelerator time.
    """

    tag: AccountTag
    request_id: str
    attempt: int
    tokens_in: int
    tokens_out: int
    accelerator_ms: int
    layers: int
    targets: tuple[str, ...]
    outcome: str
    max_tokens_out: int
    max_accelerator_ms: int


class UsageStatement(
    msgspec.Struct, array_like=True, frozen=True, kw_only=True, order=True
):
    """A target's account of an attempt.

    Attributes:
        target_id: The target.
        request_id: The request.
        attempt: Attempt number.
        tokens_in: Prompt tokens.
        tokens_out: Generated tokens.
        accelerator_ms: Accelerator time of this target.
        layers: Layers run by this target.
    """

    target_id: str
    request_id: str
    attempt: int
    tokens_in: int
    tokens_out: int
    accelerator_ms: int
    layers: int


class Amounts(msgspec.Struct, array_like=True, kw_only=True):
    """Sums of usage; integers, so that sums do not depend on the order."""

    attempts: int = 0
    tokens_in: int = 0
    tokens_out: int = 0
    accelerator_ms: int = 0
    layers: int = 0

    def add(self, other: "Amounts", sign: int = 1) -> None:
        """Adds another sum; subtracts it if `sign` is -1."""
        self.attempts += sign * other.attempts
        self.tokens_in += sign * other.tokens_in
        self.tokens_out += sign * other.tokens_out
        self.accelerator_ms += sign * other.accelerator_ms
        self.layers += sign * other.layers


class AccountKey(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Key of the totals."""

    neighbour: str
    workspace: str
    model: str
    day: int


class UsageRecord(msgspec.Struct, array_like=True, kw_only=True):
    """The report and statements about one attempt.

    Attributes:
        tag: Identifier in the accounts.
        report: The entry VM's report; None until it arrives.
        statements: The targets' statements, by target.
    """

    tag: AccountTag
    report: UsageReport | None = None
    statements: dict[str, UsageStatement] = msgspec.field(default_factory=dict)

    @property
    def state(self) -> UsageState:
        """Which sources have reported, and whether they agree."""
        if self.report is None:
            return UsageState.STATED
        statements = self.statements.values()
        if any(not self.tokens_agree(statement) for statement in statements):
            return UsageState.DISPUTED
        if len(self.statements) < len(set(self.report.targets)):
            return UsageState.REPORTED
        if not self.sums_agree():
            return UsageState.DISPUTED
        return UsageState.CONFIRMED

    def tokens_agree(self, statement: UsageStatement) -> bool:
        """Whether the tokens of one statement match the report."""
        return (
            statement.target_id in self.report.targets
            and statement.tokens_in == self.report.tokens_in
            and statement.tokens_out == self.report.tokens_out
        )

    def sums_agree(self) -> bool:
        """Whether the time and layers of all statements match the report."""
        reported = self.report.accelerator_ms
        stated = self.sum_stated("accelerator_ms")
        tolerance = max(MIN_TOLERANCE_MS, reported * TIME_TOLERANCE)
        return self.sum_stated("layers") == self.report.layers and (
            reported == 0 or abs(stated - reported) <= tolerance
        )

    def sum_stated(self, field: str) -> int:
        """Returns the sum of a field over the chain's statements."""
        return sum(getattr(s, field) for s in self.list_counted())

    def max_stated(self, field: str) -> int:
        """Returns the maximum of a field over the chain's statements."""
        values = [getattr(s, field) for s in self.list_counted()]
        return max(values, default=0)

    def list_counted(self) -> list[UsageStatement]:
        """Returns the statements of targets that belong to the chain."""
        return [
            statement
            for statement in self.statements.values()
            if self.report is None or statement.target_id in self.report.targets
        ]

    def count(self) -> Amounts:
        """Returns the amounts that count in the totals.

        A confirmed record counts as reported. For a disputed one the greater
        tokens and time count, because a target may have continued after its
        link broke; statements count only up to the request's limits.
        """
        report = self.report
        if report is None:
            return Amounts(
                attempts=1,
                tokens_in=self.max_stated("tokens_in"),
                tokens_out=self.max_stated("tokens_out"),
                accelerator_ms=self.sum_stated("accelerator_ms"),
                layers=self.sum_stated("layers"),
            )
        amounts = Amounts(
            attempts=1,
            tokens_in=report.tokens_in,
            tokens_out=report.tokens_out,
            accelerator_ms=report.accelerator_ms,
            layers=report.layers,
        )
        state = self.state
        if state == UsageState.DISPUTED:
            amounts.tokens_out = max(
                report.tokens_out,
                min(self.max_stated("tokens_out"), report.max_tokens_out),
            )
        if state == UsageState.DISPUTED or report.accelerator_ms == 0:
            amounts.accelerator_ms = max(
                report.accelerator_ms,
                min(
                    self.sum_stated("accelerator_ms"),
                    report.max_accelerator_ms,
                ),
            )
        return amounts


def format_tag(tag: AccountTag) -> str:
    """Returns the tag as the value of the `X-Account` header."""
    parts = (
        tag.neighbour,
        tag.workspace,
        tag.model,
        *tag.source.split("/"),
        str(tag.sequence),
        str(tag.opened_s),
    )
    return "/".join(quote(part, safe="") for part in parts)


def parse_tag(text: str) -> AccountTag | None:
    """Parses the value of an `X-Account` header.

    Returns:
        The tag, or None when the value is not a tag.
    """
    parts = [unquote(part) for part in text.split("/")]
    if len(parts) != TAG_PARTS or not all(
        part.isascii() and part.isdigit() and len(part) < 16
        for part in parts[4:]
    ):
        return None
    neighbour, workspace, model, vm_id, started, sequence, opened = parts
    return AccountTag(
        neighbour=neighbour,
        workspace=workspace,
        model=model,
        source=f"{vm_id}/{started}",
        sequence=int(sequence),
        opened_s=int(opened),
    )


@dataclasses.dataclass(kw_only=True, slots=True)
class UsageTable:
    """Totals over all records, and the records that may still change.

    A record is open until it is settled. Of a closed record only its number
    is stored, in the closed numbers of its source; reports and statements
    that arrive for it afterwards are ignored.

    Attributes:
        totals: Sums over all records, open and closed.
        open: Open records by source and sequence.
        closed: Sequence numbers of closed records, by source.
        late: Number of reports and statements for closed records.
    """

    totals: dict[AccountKey, Amounts] = dataclasses.field(default_factory=dict)
    open: dict[tuple[str, int], UsageRecord] = dataclasses.field(
        default_factory=dict
    )
    closed: dict[str, SequenceSet] = dataclasses.field(default_factory=dict)
    late: int = 0

    def add(
        self, tag: AccountTag, fact: UsageReport | UsageStatement
    ) -> UsageRecord | None:
        """Adds a report or statement to its record and to the totals.

        Returns:
            The record, or None when it is closed.
        """
        if tag.sequence in self.closed.get(tag.source, ()):
            self.late += 1
            return None
        record = self.open.get((tag.source, tag.sequence))
        if record is None:
            record = UsageRecord(tag=tag)
            self.open[tag.source, tag.sequence] = record
        else:
            self.count(record, -1)
        if isinstance(fact, UsageReport):
            if record.report is None:
                record.report = fact
        else:
            known = record.statements.get(fact.target_id, fact)
            record.statements[fact.target_id] = max(known, fact)
        self.count(record, 1)
        return record

    def count(self, record: UsageRecord, sign: int) -> None:
        """Adds a record to the totals; subtracts it if `sign` is -1."""
        tag = record.tag if record.report is None else record.report.tag
        key = AccountKey(
            neighbour=tag.neighbour,
            workspace=tag.workspace,
            model=tag.model,
            day=tag.day,
        )
        total = self.totals.get(key)
        if total is None:
            total = self.totals[key] = Amounts()
        total.add(record.count(), sign)

    def close(self, key: tuple[str, int]) -> None:
        """Closes an open record; the totals do not change."""
        source, sequence = key
        del self.open[key]
        self.closed.setdefault(source, SequenceSet()).add(sequence)
