"""Changes of the configuration: operations, verdicts and audit records."""

from collections.abc import Sequence
import dataclasses
import enum

import msgspec

from rattanroute.tables.configurations import Configuration
from rattanroute.tables.configurations import DrainKind
from rattanroute.tables.configurations import EntityKind
from rattanroute.tables.configurations import KIND_BY_CLASS
from rattanroute.tables.configurations import Manifest
from rattanroute.tables.configurations import Model
from rattanroute.tables.configurations import Neighbour
from rattanroute.tables.configurations import Service
from rattanroute.tables.configurations import Workspace

# Expected version of a change that contains only drains or manifests. Drains
# commute with every other operation, and manifests are ordered by their own
# revisions, so neither has to conflict with concurrent changes.
ANY_VERSION = -1


# Operations are msgspec structs, because msgspec decodes a union by tag only
# for structs.
class PutNeighbour(msgspec.Struct, frozen=True, kw_only=True, tag="pn"):
    """Adds or replaces a neighbour, with its share."""

    entity: Neighbour


class PutWorkspace(msgspec.Struct, frozen=True, kw_only=True, tag="pw"):
    """Adds or replaces a workspace."""

    entity: Workspace


class PutModel(msgspec.Struct, frozen=True, kw_only=True, tag="pm"):
    """Adds or replaces a model, with its versions."""

    entity: Model


class PutService(msgspec.Struct, frozen=True, kw_only=True, tag="ps"):
    """Adds or replaces a service."""

    entity: Service


class PutManifest(msgspec.Struct, frozen=True, kw_only=True, tag="pf"):
    """Adds or replaces a manifest if its revision is higher."""

    entity: Manifest


class DeleteEntity(msgspec.Struct, frozen=True, kw_only=True, tag="de"):
    """Removes an entity."""

    kind: EntityKind
    name: str


class Drain(msgspec.Struct, frozen=True, kw_only=True, tag="dr"):
    """Takes a target or a VM out of service."""

    kind: DrainKind
    name: str


class Undrain(msgspec.Struct, frozen=True, kw_only=True, tag="ud"):
    """Returns a target or a VM to service."""

    kind: DrainKind
    name: str


Put = PutNeighbour | PutWorkspace | PutModel | PutService | PutManifest
Operation = (
    PutNeighbour
    | PutWorkspace
    | PutModel
    | PutService
    | PutManifest
    | DeleteEntity
    | Drain
    | Undrain
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """A batch of operations that is accepted or refused as a whole.

    Attributes:
        command_id: Chosen by the sender; a resent change has the same one.
        operator: Name of the operator.
        expected_version: Version that the change is based on, or ANY_VERSION.
        operations: The operations, each entity at most once.
        created_at: Time in seconds since 1970, set by the VM that received
            the change; a resent change may have another one.
        dry_run: Whether the change is only validated and not applied.
    """

    command_id: str
    operator: str
    expected_version: int
    operations: tuple[Operation, ...]
    created_at: float = 0.0
    dry_run: bool = False


class Verdict(enum.StrEnum):
    """Result of a change.

    IGNORED is the result of a log entry that was already applied.
    """

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REFUSED = "refused"
    IGNORED = "ignored"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
    """A reason for which a change is refused.

    Attributes:
        path: Location in the change, for example `operations[0].model.version`.
        message: One sentence without a final full stop.
    """

    path: str
    message: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Winner:
    """The accepted change that took the version expected by another one."""

    version: int
    operator: str
    command_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ChangeOutcome:
    """The answer to a change.

    Attributes:
        verdict: Result of the change.
        version: Version in force after the change.
        problems: Reasons for a refusal; empty otherwise.
        winner: On a conflict, the change that was accepted instead.
    """

    verdict: Verdict
    version: int
    problems: tuple[Problem, ...] = ()
    winner: Winner | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AuditRecord:
    """Audit entry of an accepted change.

    Attributes:
        version: Version that the change made.
        command_id: Its command identifier.
        operator: Name of the operator who sent it.
        created_at: Time in seconds since 1970.
        summary: One description per operation, up to a limit.
        operation_count: Number of operations.
    """

    version: int
    command_id: str
    operator: str
    created_at: float
    summary: tuple[str, ...]
    operation_count: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Delta:
    """The operations that lead from a version to a later one.

    Attributes:
        version: Version after the operations.
        content_hash: Hash of the whole configuration after the operations.
        operations: The operations of the accepted changes; each entity at
            most once.
        span: Number of versions that the operations lead over.
    """

    version: int
    content_hash: int
    operations: tuple[Operation, ...]
    span: int = 1

    @property
    def base(self) -> int:
        """Version before the operations."""
        return self.version - self.span


ENCODER = msgspec.msgpack.Encoder()
CHANGE_DECODER = msgspec.msgpack.Decoder(Change)
OUTCOME_DECODER = msgspec.msgpack.Decoder(ChangeOutcome)


def encode_change(change: Change) -> bytes:
    """Encodes a change as the data of a log entry."""
    return ENCODER.encode(change)


def decode_change(data: bytes) -> Change:
    """Decodes the data of a log entry.

    Raises:
        msgspec.DecodeError: If the data is not a change.
    """
    return CHANGE_DECODER.decode(data)


def encode_outcome(outcome: ChangeOutcome) -> bytes:
    """Encodes an outcome for the VM that forwarded the change."""
    return ENCODER.encode(outcome)


def decode_outcome(data: bytes) -> ChangeOutcome:
    """Decodes an outcome.

    Raises:
        msgspec.DecodeError: If the data is not an outcome.
    """
    return OUTCOME_DECODER.decode(data)


def describe_operation(operation: Operation) -> str:
    """Returns a short description such as `put workspace w`."""
    match operation:
        case DeleteEntity(kind=kind, name=name):
            return f"delete {kind} {name}"
        case Drain(kind=kind, name=name):
            return f"drain {kind} {name}"
        case Undrain(kind=kind, name=name):
            return f"undrain {kind} {name}"
        case _:
            kind = type(operation.entity).__name__.lower()
            return f"put {kind} {operation.entity.name}"


def merge_deltas(deltas: Sequence[Delta], base: int) -> Delta:
    """Merges deltas without gaps; the last operation on each entity counts.

    Operations from before the base are harmless: an entity that no later one
    changes has their result already.

    Args:
        deltas: The deltas, oldest first; at least one.
        base: Version to which the result applies, not before the first delta.
    """
    operations: dict[tuple[str, str], Operation] = {}
    for delta in deltas:
        for operation in delta.operations:
            subject = find_subject(operation)
            # Operations that move a key between workspaces stay in order.
            operations.pop(subject, None)
            operations[subject] = operation
    return Delta(
        version=deltas[-1].version,
        content_hash=deltas[-1].content_hash,
        operations=tuple(operations.values()),
        span=deltas[-1].version - base,
    )


def find_subject(operation: Operation) -> tuple[str, str]:
    """Returns what an operation changes, as its kind and name."""
    match operation:
        case DeleteEntity(kind=kind, name=name):
            return kind, name
        case Drain(kind=kind, name=name) | Undrain(kind=kind, name=name):
            return f"drained {kind}", name
        case _:
            entity = operation.entity
            return KIND_BY_CLASS[type(entity)], entity.name


def apply_operation(configuration: Configuration, operation: Operation) -> None:
    """Applies an operation that was validated before."""
    match operation:
        case DeleteEntity(kind=kind, name=name):
            configuration.delete(kind, name)
        case Drain(kind=kind, name=name):
            configuration.drains(kind).add(name)
        case Undrain(kind=kind, name=name):
            configuration.drains(kind).discard(name)
        case _:
            configuration.put(operation.entity)
