"""Checks of a change beyond the rules that every accepted change meets."""

from collections.abc import Iterator
import copy
import dataclasses

from rattanroute.systems.change_validators import ChangeValidator
from rattanroute.tables.changes import Change
from rattanroute.tables.changes import DeleteEntity
from rattanroute.tables.changes import Drain
from rattanroute.tables.changes import Operation
from rattanroute.tables.changes import Undrain
from rattanroute.tables.configurations import Configuration
from rattanroute.tables.configurations import Entity
from rattanroute.tables.configurations import EntityKind
from rattanroute.tables.configurations import KIND_BY_CLASS
from rattanroute.tables.findings import build_warning
from rattanroute.tables.findings import Finding


def check_change(change: Change, in_force: Configuration) -> list[Finding]:
    """Returns the errors and warnings of a change.

    Args:
        change: The change.
        in_force: The configuration that it is made for.
    """
    validator = ChangeValidator(configuration=in_force, change=change)
    problems = validator.check_envelope()
    # They include those of the envelope.
    problems = validator.check_operations() or problems
    findings = [Finding(path=x.path, message=x.message) for x in problems]
    return findings + list(find_unused(change, in_force))


def find_unused(change: Change, in_force: Configuration) -> Iterator[Finding]:
    """Yields entities that the change puts and nothing uses afterwards."""
    after = apply_change(change, in_force)
    workspaces = after.workspaces.values()
    used = {name for workspace in workspaces for name in workspace.models}
    neighbours = {workspace.neighbour for workspace in workspaces}
    for index, operation in enumerate(change.operations):
        entity = getattr(operation, "entity", None)
        if entity is None:
            continue
        kind = KIND_BY_CLASS[type(entity)]
        path = f"operations[{index}].{kind}.name"
        if kind in (EntityKind.MODEL, EntityKind.SERVICE):
            if entity.name not in used:
                yield build_warning(path, "no workspace may call it")
        elif kind is EntityKind.NEIGHBOUR and entity.name not in neighbours:
            yield build_warning(path, "no workspace belongs to it")
        elif kind is EntityKind.WORKSPACE:
            yield from check_access(f"operations[{index}].{kind}", entity)


def check_access(path: str, workspace: Entity) -> Iterator[Finding]:
    """Yields a warning if a workspace cannot be used."""
    if not workspace.key_hashes:
        yield build_warning(f"{path}.key_hashes", "no key opens the workspace")
    if not workspace.models:
        yield build_warning(f"{path}.models", "it may call nothing")


def apply_change(change: Change, in_force: Configuration) -> Configuration:
    """Returns the configuration after a change; the original stays as it is."""
    after = copy.deepcopy(in_force)
    for operation in change.operations:
        apply_operation(operation, after)
    return after


def apply_operation(operation: Operation, configuration: Configuration) -> None:
    """Applies an operation to a configuration."""
    match operation:
        case DeleteEntity(kind=kind, name=name):
            configuration.delete(kind, name)
        case Drain(kind=kind, name=name):
            configuration.drains(kind).add(name)
        case Undrain(kind=kind, name=name):
            configuration.drains(kind).discard(name)
        case _:
            configuration.put(operation.entity)


def describe_configuration(configuration: Configuration) -> dict[str, object]:
    """Returns a configuration as a document whose versions can be compared."""
    document: dict[str, object] = {
        f"{kind}s": [
            describe_entity(entity)
            for entity in configuration.entities(kind).values()
        ]
        for kind in EntityKind
        if kind is not EntityKind.MANIFEST
    }
    document["drained_targets"] = sorted(configuration.drained_targets)
    document["drained_vms"] = sorted(configuration.drained_vms)
    return document


def describe_entity(entity: Entity) -> dict[str, object]:
    """Returns the fields of an entity, with lists in place of tuples."""
    return {
        name: list(value) if isinstance(value, tuple) else value
        for name, value in dataclasses.asdict(entity).items()
    }
