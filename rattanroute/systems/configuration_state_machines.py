"""State machine of the replicated log that accepts or refuses changes."""

import collections
import dataclasses

import msgspec
import xxhash

from rattanroute.errors import StorageError
from rattanroute.systems.change_validators import ChangeValidator
from rattanroute.systems.change_validators import IDENTIFIER
from rattanroute.tables.changes import ANY_VERSION
from rattanroute.tables.changes import AuditRecord
from rattanroute.tables.changes import Change
from rattanroute.tables.changes import ChangeOutcome
from rattanroute.tables.changes import decode_change
from rattanroute.tables.changes import Delta
from rattanroute.tables.changes import describe_operation
from rattanroute.tables.changes import ENCODER
from rattanroute.tables.changes import Operation
from rattanroute.tables.changes import Problem
from rattanroute.tables.changes import PutManifest
from rattanroute.tables.changes import Verdict
from rattanroute.tables.changes import Winner
from rattanroute.tables.configuration_replicas import ConfigurationContent
from rattanroute.tables.configuration_replicas import ConfigurationReplica
from rattanroute.tables.configuration_replicas import hash_content
from rattanroute.tables.configurations import Configuration

# Covers more than a day of changes at design scale, so a command that is
# resent within a day gets its first outcome again.
MAX_STORED_COMMANDS = 4096
MAX_AUDIT_RECORDS = 4096
# Operations that an audit record lists; bounds its size for a large change.
MAX_SUMMARY_OPERATIONS = 16


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CommandResult:
    """Stored outcome of a command, returned again when it is resent.

    Attributes:
        digest: Hash of the content of the change.
        outcome: Outcome of the first attempt.
    """

    digest: str
    outcome: ChangeOutcome


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MachineSnapshot:
    """Complete state of the state machine, as stored in snapshots."""

    applied_index: int
    content: ConfigurationContent
    deltas: tuple[Delta, ...]
    commands: dict[str, CommandResult]
    audits: tuple[AuditRecord, ...]


SNAPSHOT_DECODER = msgspec.msgpack.Decoder(MachineSnapshot)


def digest_change(change: Change) -> str:
    """Returns a hash of the content of a change.

    The creation time is left out, because it may differ when a change is
    resent.
    """
    content = (change.operator, change.expected_version, change.operations)
    return xxhash.xxh3_128_hexdigest(ENCODER.encode(content))


@dataclasses.dataclass(kw_only=True, slots=True)
class ConfigurationStateMachine:
    """Applies committed changes in the order of the log.

    The result depends only on the log entries, so all voters reach the same
    state and return the same outcomes.

    Attributes:
        replica: The configuration, shared with the voter's distribution
            system.
        applied_index: Index of the last applied log entry.
        commands: Stored outcomes by command identifier, oldest first.
        audits: Audit records of accepted changes with consecutive versions,
            oldest first.
    """

    replica: ConfigurationReplica = dataclasses.field(
        default_factory=ConfigurationReplica
    )
    applied_index: int = 0
    commands: dict[str, CommandResult] = dataclasses.field(default_factory=dict)
    audits: collections.deque[AuditRecord] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_AUDIT_RECORDS)
    )

    @property
    def configuration(self) -> Configuration:
        """The configuration after all accepted changes."""
        return self.replica.configuration

    def apply(self, index: int, data: bytes) -> ChangeOutcome:
        """Applies a committed log entry.

        Args:
            index: Index of the entry in the log; an entry that was already
                applied is ignored.
            data: An encoded `Change`.

        Returns:
            The outcome to report to the operator who sent the change.
        """
        version = self.replica.version
        if index <= self.applied_index:
            return ChangeOutcome(verdict=Verdict.IGNORED, version=version)
        self.applied_index = index
        try:
            change = decode_change(data)
        except msgspec.DecodeError as error:
            problem = Problem(path="change", message=str(error))
            return ChangeOutcome(
                verdict=Verdict.REFUSED, version=version, problems=(problem,)
            )
        outcome = self.dry_run(change)
        if change.dry_run or change.command_id in self.commands:
            return outcome
        if outcome.version > version:
            self._apply_accepted(change)
        self._store_result(change, outcome)
        return outcome

    def dry_run(self, change: Change) -> ChangeOutcome:
        """Returns the outcome that `apply` would give, without applying it."""
        earlier = self.commands.get(change.command_id)
        if earlier is not None:
            return self._answer_repeat(earlier, change)
        # A malformed change is refused before its version is compared, so
        # that the reported problems do not depend on concurrent changes.
        validator = ChangeValidator(
            configuration=self.configuration, change=change
        )
        version = self.replica.version
        problems = validator.check_envelope()
        if not problems:
            if change.expected_version not in (version, ANY_VERSION):
                return self._build_conflict(change.expected_version)
            problems = validator.check_operations()
        if problems:
            return ChangeOutcome(
                verdict=Verdict.REFUSED, version=version, problems=problems
            )
        if not self._select_effective(change):
            return ChangeOutcome(verdict=Verdict.ACCEPTED, version=version)
        return ChangeOutcome(verdict=Verdict.ACCEPTED, version=version + 1)

    def _answer_repeat(
        self, earlier: CommandResult, change: Change
    ) -> ChangeOutcome:
        if earlier.digest == digest_change(change):
            return earlier.outcome
        problem = Problem(
            path="command_id",
            message=f"{change.command_id!r} was used for another change",
        )
        return ChangeOutcome(
            verdict=Verdict.REFUSED,
            version=self.replica.version,
            problems=(problem,),
        )

    def _build_conflict(self, expected_version: int) -> ChangeOutcome:
        version = self.replica.version
        if expected_version > version:
            problem = Problem(
                path="expected_version",
                message=f"{expected_version} is ahead of version {version}",
            )
            return ChangeOutcome(
                verdict=Verdict.CONFLICT, version=version, problems=(problem,)
            )
        # The winner is the change that produced the version after the
        # expected one, or the oldest recorded change after it if that audit
        # record has been dropped.
        winner = None
        if self.audits:
            offset = expected_version + 1 - self.audits[0].version
            record = self.audits[max(offset, 0)]
            winner = Winner(
                version=record.version,
                operator=record.operator,
                command_id=record.command_id,
            )
        return ChangeOutcome(
            verdict=Verdict.CONFLICT, version=version, winner=winner
        )

    def _is_outdated(self, operation: Operation) -> bool:
        """Whether an operation puts a manifest without a newer revision."""
        if not isinstance(operation, PutManifest):
            return False
        held = self.configuration.manifests.get(operation.entity.name)
        return held is not None and operation.entity.revision <= held.revision

    def _select_effective(self, change: Change) -> tuple[Operation, ...]:
        """Returns the operations of a change that are not outdated."""
        return tuple(
            operation
            for operation in change.operations
            if not self._is_outdated(operation)
        )

    def _apply_accepted(self, change: Change) -> None:
        delta = self.replica.advance(self._select_effective(change))
        summary = tuple(
            describe_operation(operation)
            for operation in change.operations[:MAX_SUMMARY_OPERATIONS]
        )
        self.audits.append(
            AuditRecord(
                version=delta.version,
                command_id=change.command_id,
                operator=change.operator,
                created_at=change.created_at,
                summary=summary,
                operation_count=len(change.operations),
            )
        )

    def _store_result(self, change: Change, outcome: ChangeOutcome) -> None:
        # A malformed identifier has no length limit; as it is always refused,
        # its outcome need not be stored.
        if not IDENTIFIER.fullmatch(change.command_id):
            return
        self.commands[change.command_id] = CommandResult(
            digest=digest_change(change), outcome=outcome
        )
        if len(self.commands) > MAX_STORED_COMMANDS:
            del self.commands[next(iter(self.commands))]

    def snapshot(self) -> bytes:
        """Encodes the complete state."""
        return ENCODER.encode(
            MachineSnapshot(
                applied_index=self.applied_index,
                content=self.replica.content(),
                deltas=self.replica.whole_deltas(),
                commands=self.commands,
                audits=tuple(self.audits),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replaces the state with a snapshot.

        A snapshot older than the applied index is ignored, so the version in
        force never decreases.

        Raises:
            StorageError: If the data is not a snapshot.
        """
        try:
            snapshot = SNAPSHOT_DECODER.decode(data)
        except msgspec.DecodeError as error:
            raise StorageError(
                step="restore snapshot", message=str(error)
            ) from error
        if snapshot.applied_index < self.applied_index:
            return
        self.replica.load(snapshot.content, hash_content(snapshot.content))
        for delta in snapshot.deltas:
            self.replica.store_delta(delta)
        self.applied_index = snapshot.applied_index
        self.commands = dict(snapshot.commands)
        self.audits.clear()
        self.audits.extend(snapshot.audits)
