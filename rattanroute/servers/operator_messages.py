"""Conversion between the operators' protobuf messages and data classes."""

from rattanroute.proto import operators_pb2 as pb
from rattanroute.servers import operator_sources as sources
from rattanroute.tables import changes
from rattanroute.tables.changes import Change
from rattanroute.tables.changes import ChangeOutcome
from rattanroute.tables.changes import DeleteEntity
from rattanroute.tables.changes import Drain
from rattanroute.tables.changes import Operation
from rattanroute.tables.changes import Problem
from rattanroute.tables.changes import PutModel
from rattanroute.tables.changes import PutNeighbour
from rattanroute.tables.changes import PutService
from rattanroute.tables.changes import PutWorkspace
from rattanroute.tables.changes import Undrain
from rattanroute.tables.changes import Verdict
from rattanroute.tables.configurations import DrainKind
from rattanroute.tables.configurations import Entity
from rattanroute.tables.configurations import EntityKind
from rattanroute.tables.configurations import KIND_BY_CLASS
from rattanroute.tables.configurations import Model
from rattanroute.tables.configurations import Neighbour
from rattanroute.tables.configurations import Service
from rattanroute.tables.configurations import Workspace

OUTCOME_BY_VERDICT = {
    Verdict.ACCEPTED: pb.ACCEPTED,
    Verdict.CONFLICT: pb.CONFLICT,
    Verdict.REFUSED: pb.REFUSED,
    # A duplicate entry; only the first response has the outcome.
    Verdict.IGNORED: pb.UNKNOWN,
}
ADVICE = {
    pb.ACCEPTED: "",
    pb.CONFLICT: (
        "read the current version, check the change against it, and send it "
        "with a new command id"
    ),
    pb.REFUSED: "correct the change and send it with a new command id",
    pb.NOT_ACCEPTED: "send the change again, with the same command id",
    pb.UNKNOWN: (
        "the change may have been accepted; send it again with the same "
        "command id to learn the outcome"
    ),
}
ENTITY_KINDS = {
    pb.NEIGHBOUR: EntityKind.NEIGHBOUR,
    pb.WORKSPACE: EntityKind.WORKSPACE,
    pb.MODEL: EntityKind.MODEL,
    pb.SERVICE: EntityKind.SERVICE,
}
DRAIN_KINDS = {
    pb.DRAINED_TARGET: DrainKind.TARGET,
    pb.DRAINED_VM: DrainKind.VM,
}


def read_neighbour(message: pb.Neighbour) -> Neighbour:
    """Converts a neighbour message to its data class."""
    return Neighbour(name=message.name, share=message.share)


def read_workspace(message: pb.Workspace) -> Workspace:
    """Converts a workspace message to its data class."""
    return Workspace(
        name=message.name,
        neighbour=message.neighbour,
        key_hashes=tuple(message.key_hashes),
        models=tuple(message.models),
        weight=message.weight if message.HasField("weight") else 1.0,
        priority=message.priority,
    )


def read_model(message: pb.Model) -> Model:
    """Converts a model message to its data class."""
    replicas = message.min_replicas if message.HasField("min_replicas") else 1
    return Model(
        name=message.name,
        version=message.version,
        versions=tuple(message.versions),
        layers=message.layers,
        min_replicas=replicas,
    )


def read_service(message: pb.Service) -> Service:
    """Converts a service message to its data class."""
    return Service(
        name=message.name,
        repeatable_operations=tuple(message.repeatable_operations),
    )


PUT_READERS = {
    "neighbour": (PutNeighbour, read_neighbour),
    "workspace": (PutWorkspace, read_workspace),
    "model": (PutModel, read_model),
    "service": (PutService, read_service),
}


def read_operation(message: pb.Operation) -> Operation | None:
    """Converts an operation message; returns None if it is empty."""
    field = message.WhichOneof("operation")
    if field is None:
        return None
    value = getattr(message, field)
    verb, _, kind = field.partition("_")
    if verb == "put":
        put_type, read = PUT_READERS[kind]
        return put_type(entity=read(value))
    if verb == "delete":
        return DeleteEntity(kind=EntityKind(kind), name=value)
    drain_type = Drain if verb == "drain" else Undrain
    return drain_type(kind=DrainKind(kind), name=value)


def read_change(
    message: pb.Change, *, operator: str, created_at: float, dry_run: bool
) -> tuple[Change, tuple[Problem, ...]]:
    """Converts a change message.

    Args:
        message: The change.
        operator: Operator authenticated by the token; if empty, the name in
            the message is used.
        created_at: Unix time in seconds.
        dry_run: Whether the change is only validated.

    Returns:
        The change without its empty operations, and a problem for each empty
        operation.
    """
    operations = [read_operation(x) for x in message.operations]
    problems = tuple(
        Problem(path=f"operations[{index}]", message="names no operation")
        for index, operation in enumerate(operations)
        if operation is None
    )
    change = Change(
        command_id=message.command_id,
        operator=operator or message.operator,
        expected_version=message.expected_version,
        operations=tuple(x for x in operations if x is not None),
        created_at=created_at,
        dry_run=dry_run,
    )
    return change, problems


def write_neighbour(entity: Neighbour) -> pb.Neighbour:
    """Converts a neighbour to its message."""
    return pb.Neighbour(name=entity.name, share=entity.share)


def write_workspace(entity: Workspace) -> pb.Workspace:
    """Converts a workspace to its message."""
    return pb.Workspace(
        name=entity.name,
        neighbour=entity.neighbour,
        key_hashes=entity.key_hashes,
        models=entity.models,
        weight=entity.weight,
        priority=entity.priority,
    )


def write_model(entity: Model) -> pb.Model:
    """Converts a model to its message."""
    return pb.Model(
        name=entity.name,
        version=entity.version,
        versions=entity.versions,
        layers=entity.layers,
        min_replicas=entity.min_replicas,
    )


def write_service(entity: Service) -> pb.Service:
    """Converts a service to its message."""
    return pb.Service(
        name=entity.name,
        repeatable_operations=entity.repeatable_operations,
    )


WRITERS = {
    EntityKind.NEIGHBOUR: write_neighbour,
    EntityKind.WORKSPACE: write_workspace,
    EntityKind.MODEL: write_model,
    EntityKind.SERVICE: write_service,
}


def write_entity(entity: Entity) -> pb.Entity:
    """Converts an entity to its message."""
    kind = KIND_BY_CLASS[type(entity)]
    return pb.Entity(**{kind: WRITERS[kind](entity)})


def write_drained(kind: DrainKind, name: str) -> pb.Entity:
    """Builds the entity message of a drained target or VM."""
    return pb.Entity(**{f"drained_{kind}": name})


def write_operation(operation: Operation) -> pb.Operation:
    """Converts an operation to its message."""
    match operation:
        case DeleteEntity(kind=kind, name=name):
            return pb.Operation(**{f"delete_{kind}": name})
        case Drain(kind=kind, name=name):
            return pb.Operation(**{f"drain_{kind}": name})
        case Undrain(kind=kind, name=name):
            return pb.Operation(**{f"undrain_{kind}": name})
        case _:
            kind = KIND_BY_CLASS[type(operation.entity)]
            message = WRITERS[kind](operation.entity)
            return pb.Operation(**{f"put_{kind}": message})


def write_outcome(outcome: ChangeOutcome, command_id: str) -> pb.ApplyResponse:
    """Converts the outcome of a change and adds advice for the operator."""
    value = OUTCOME_BY_VERDICT[outcome.verdict]
    response = pb.ApplyResponse(
        outcome=value,
        version=outcome.version,
        problems=[
            pb.Problem(path=x.path, message=x.message) for x in outcome.problems
        ],
        command_id=command_id,
        advice=ADVICE[value],
    )
    if outcome.winner is not None:
        response.winner.version = outcome.winner.version
        response.winner.operator = outcome.winner.operator
        response.winner.command_id = outcome.winner.command_id
    return response


def write_failure(outcome: int, command_id: str) -> pb.ApplyResponse:
    """Builds the response to a change that got no verdict from the log."""
    return pb.ApplyResponse(
        outcome=outcome, command_id=command_id, advice=ADVICE[outcome]
    )


def write_status(
    status: sources.VmStatus, version: int, content_hash: int
) -> pb.StatusResponse:
    """Converts the state of a VM; an unknown age becomes -1."""
    age = status.configuration_age_s
    return pb.StatusResponse(
        vm_id=status.vm_id,
        data_centre=status.data_centre,
        configuration_version=version,
        ready=status.ready,
        configuration_age_s=-1.0 if age is None else age,
        content_hash=f"{content_hash:016x}",
        voter=status.voter,
        leader=status.leader,
        draining=status.draining,
    )


def write_account(total: sources.AccountTotal) -> pb.AccountTotal:
    """Converts the usage total of a workspace."""
    return pb.AccountTotal(
        neighbour=total.neighbour,
        workspace=total.workspace,
        model=total.model,
        requests=total.requests,
        tokens_in=total.tokens_in,
        tokens_out=total.tokens_out,
    )


def write_share_use(use: sources.ShareUse) -> pb.ShareUse:
    """Converts a neighbour's share and use of the pooled capacity."""
    return pb.ShareUse(neighbour=use.neighbour, share=use.share, used=use.used)


def write_unsettled(total: sources.UnsettledTotal) -> pb.UnsettledTotal:
    """Converts the total of unsettled attempts in one state."""
    return pb.UnsettledTotal(
        state=total.state,
        attempts=total.attempts,
        tokens_in=total.tokens_in,
        tokens_out=total.tokens_out,
    )


def write_step(step: sources.TraceStep) -> pb.TraceStep:
    """Converts a step of a request's trace."""
    return pb.TraceStep(
        at=step.at, step=step.step, peer=step.peer, detail=step.detail
    )


def write_member(member: sources.MemberStatus) -> pb.Member:
    """Converts the status of a member VM."""
    return pb.Member(
        vm_id=member.vm_id,
        data_centre=member.data_centre,
        address=member.address,
        state=member.state,
        voter=member.voter,
    )


def write_target(
    target: sources.TargetStatus, drained: bool
) -> pb.TargetStatus:
    """Converts the status of a target."""
    return pb.TargetStatus(
        target_id=target.target_id,
        address=target.address,
        data_centre=target.data_centre,
        model=target.model,
        version=target.version,
        first_layer=target.first_layer,
        last_layer=target.last_layer,
        health=target.health,
        slots=target.slots,
        running=target.running,
        queued=target.queued,
        report_age_s=target.report_age_s,
        leaving=target.leaving,
        drained=drained,
    )


def write_audit(record: changes.AuditRecord) -> pb.AuditRecord:
    """Converts the audit record of an accepted change."""
    return pb.AuditRecord(
        version=record.version,
        command_id=record.command_id,
        operator=record.operator,
        created_at=record.created_at,
        summary=record.summary,
        operation_count=record.operation_count,
    )
