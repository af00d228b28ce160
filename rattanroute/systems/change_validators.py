"""Validation of a change against the configuration that it produces."""

from collections.abc import Iterator
import dataclasses
import math
import re

from rattanroute.tables.changes import ANY_VERSION
from rattanroute.tables.changes import Change
from rattanroute.tables.changes import DeleteEntity
from rattanroute.tables.changes import Drain
from rattanroute.tables.changes import Operation
from rattanroute.tables.changes import Problem
from rattanroute.tables.changes import Put
from rattanroute.tables.changes import PutManifest
from rattanroute.tables.changes import Undrain
from rattanroute.tables.configurations import Configuration
from rattanroute.tables.configurations import Entity
from rattanroute.tables.configurations import EntityKind
from rattanroute.tables.configurations import KIND_BY_CLASS
from rattanroute.tables.configurations import Manifest
from rattanroute.tables.configurations import Model
from rattanroute.tables.configurations import Neighbour
from rattanroute.tables.configurations import Service
from rattanroute.tables.configurations import Workspace

# The limits keep a change small enough to be replicated and applied as a
# whole.
MAX_OPERATIONS = 2000
MAX_PROBLEMS = 50
MAX_MESSAGE_LENGTH = 256
MAX_KEY_HASHES = 32
MAX_NAMES = 256
MAX_LAYERS = 10_000
MAX_REPLICAS = 100_000
MAX_PRIORITY = 100
MAX_WEIGHT = 1e6
MAX_REVISION = 2**62
# Decimal shares such as 0.1 + 0.2 + 0.7 do not sum to exactly 1 in binary
# floating point.
SHARE_TOLERANCE = 1e-9

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
OPERATOR = re.compile(r"[A-Za-z0-9][A-Za-z0-9._@-]{0,62}")
IDENTIFIER = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
KEY_HASH = re.compile(r"[0-9a-f]{64}")


@dataclasses.dataclass(kw_only=True, slots=True)
class ChangeValidator:
    """Checks a change against the configuration that it would produce.

    Attributes:
        configuration: The configuration in force.
        change: The change.
        staged: Entities that the change writes, by kind and name; None for a
            deleted entity.
        staged_owners: Workspaces that the change puts, by key hash.
        problems: Problems found so far.
    """

    configuration: Configuration
    change: Change
    staged: dict[tuple[EntityKind, str], Entity | None] = dataclasses.field(
        default_factory=dict
    )
    staged_owners: dict[str, list[str]] = dataclasses.field(
        default_factory=dict
    )
    problems: list[Problem] = dataclasses.field(default_factory=list)

    def check_envelope(self) -> tuple[Problem, ...]:
        """Returns the problems that do not depend on the configuration."""
        change = self.change
        self.check_name("command_id", change.command_id, IDENTIFIER)
        self.check_name("operator", change.operator, OPERATOR)
        count = len(change.operations)
        if not 0 < count <= MAX_OPERATIONS:
            self.report(
                "operations",
                f"{count} operations; 1 to {MAX_OPERATIONS} are allowed",
            )
        version = change.expected_version
        version_optional = all(
            isinstance(operation, Drain | Undrain | PutManifest)
            for operation in change.operations
        )
        if version < 0 and not (version == ANY_VERSION and version_optional):
            self.report(
                "expected_version",
                "must be at least 0; only a change of drains or manifests may "
                "leave it out",
            )
        return tuple(self.problems)

    def check_operations(self) -> tuple[Problem, ...]:
        """Returns at most MAX_PROBLEMS problems of the operations."""
        self.stage()
        for index, operation in enumerate(self.change.operations):
            self.check_operation(f"operations[{index}]", operation)
        self.check_deletions()
        self.check_share_sum()
        return tuple(self.problems[:MAX_PROBLEMS])

    def report(self, path: str, message: str) -> None:
        """Adds a problem; truncates its text, as names may be of any length."""
        message = message[:MAX_MESSAGE_LENGTH]
        self.problems.append(Problem(path=path, message=message))

    def stage(self) -> None:
        """Collects the written entities; reports any that occurs twice."""
        seen = set()
        for index, operation in enumerate(self.change.operations):
            match operation:
                case (
                    Drain(kind=kind, name=name) | Undrain(kind=kind, name=name)
                ):
                    key = (kind, name)
                case DeleteEntity(kind=kind, name=name):
                    key = (kind, name)
                    self.staged[key] = None
                case _:
                    entity = operation.entity
                    key = (KIND_BY_CLASS[type(entity)], entity.name)
                    self.staged[key] = entity
                    if isinstance(entity, Workspace):
                        self.stage_keys(entity)
            if key in seen:
                self.report(
                    f"operations[{index}]",
                    f"changes {key[0]} {key[1]!r} a second time",
                )
            seen.add(key)

    def stage_keys(self, workspace: Workspace) -> None:
        """Records the keys of a workspace that the change puts."""
        for key_hash in workspace.key_hashes:
            owners = self.staged_owners.setdefault(key_hash, [])
            owners.append(workspace.name)

    def find(self, kind: EntityKind, name: str) -> Entity | None:
        """Returns an entity as it is after the change."""
        if (kind, name) in self.staged:
            return self.staged[kind, name]
        return self.configuration.entities(kind).get(name)

    def entities(self, kind: EntityKind) -> Iterator[Entity]:
        """Yields the entities of a kind as they are after the change."""
        for name, entity in self.configuration.entities(kind).items():
            if (kind, name) not in self.staged:
                yield entity
        for (staged_kind, _), entity in self.staged.items():
            if staged_kind is kind and entity is not None:
                yield entity

    def check_operation(self, path: str, operation: Operation) -> None:
        """Checks one operation against the configuration after the change."""
        match operation:
            case DeleteEntity(kind=kind, name=name):
                if name not in self.configuration.entities(kind):
                    self.report(path, f"{kind} {name!r} does not exist")
            case Drain(name=name):
                self.check_name(path, name, IDENTIFIER)
            case Undrain(kind=kind, name=name):
                if name not in self.configuration.drains(kind):
                    self.report(path, f"{kind} {name!r} is not drained")
            case _:
                self.check_put(path, operation)

    def check_put(self, path: str, operation: Put) -> None:
        """Checks an entity that the change adds or replaces."""
        entity = operation.entity
        path = f"{path}.{KIND_BY_CLASS[type(entity)]}"
        self.check_name(f"{path}.name", entity.name, NAME)
        match entity:
            case Neighbour(share=share):
                self.check_number(f"{path}.share", share, 0.0, 1.0)
            case Workspace():
                self.check_workspace(path, entity)
            case Model():
                self.check_model(path, entity)
            case Service():
                self.check_service(path, entity)
            case Manifest():
                self.check_number(
                    f"{path}.revision", entity.revision, 0, MAX_REVISION
                )

    def check_workspace(self, path: str, workspace: Workspace) -> None:
        """Checks a workspace, its references and its keys."""
        if not self.find(EntityKind.NEIGHBOUR, workspace.neighbour):
            self.report(
                f"{path}.neighbour",
                f"neighbour {workspace.neighbour!r} does not exist",
            )
        self.check_names(f"{path}.models", workspace.models, NAME)
        for index, name in enumerate(workspace.models):
            if not self.find(EntityKind.MODEL, name) and not self.find(
                EntityKind.SERVICE, name
            ):
                self.report(
                    f"{path}.models[{index}]",
                    f"model or service {name!r} does not exist",
                )
        if workspace.weight <= 0:
            self.report(f"{path}.weight", "must be greater than 0")
        self.check_number(f"{path}.weight", workspace.weight, 0.0, MAX_WEIGHT)
        self.check_number(
            f"{path}.priority", workspace.priority, -MAX_PRIORITY, MAX_PRIORITY
        )
        self.check_keys(path, workspace)

    def check_keys(self, path: str, workspace: Workspace) -> None:
        """Checks the key hashes; no two workspaces may share one."""
        hashes = workspace.key_hashes
        if len(hashes) > MAX_KEY_HASHES:
            self.report(
                f"{path}.key_hashes",
                f"{len(hashes)} hashes; at most {MAX_KEY_HASHES} are allowed",
            )
            return
        self.check_names(f"{path}.key_hashes", hashes, KEY_HASH)
        for index, key_hash in enumerate(hashes):
            owner = self.find_key_owner(key_hash, workspace.name)
            if owner is not None:
                self.report(
                    f"{path}.key_hashes[{index}]",
                    f"the key belongs to workspace {owner!r} too",
                )

    def find_key_owner(self, key_hash: str, workspace: str) -> str | None:
        """Returns another workspace with the same key after the change."""
        owner = self.configuration.workspaces_by_key_hash.get(key_hash)
        candidates = set(self.staged_owners.get(key_hash, ()))
        if owner is not None:
            known = self.find(EntityKind.WORKSPACE, owner)
            if known is not None and key_hash in known.key_hashes:
                candidates.add(owner)
        candidates.discard(workspace)
        return min(candidates, default=None)

    def check_model(self, path: str, model: Model) -> None:
        """Checks a model and its versions."""
        self.check_names(f"{path}.versions", model.versions, NAME)
        if model.version and model.version not in model.versions:
            self.report(
                f"{path}.version",
                f"version {model.version!r} is not among the versions",
            )
        self.check_number(f"{path}.layers", model.layers, 0, MAX_LAYERS)
        self.check_number(
            f"{path}.min_replicas", model.min_replicas, 0, MAX_REPLICAS
        )
        if self.find(EntityKind.SERVICE, model.name):
            self.report(f"{path}.name", "a service has the same name")

    def check_service(self, path: str, service: Service) -> None:
        """Checks a service and its operations."""
        self.check_names(
            f"{path}.repeatable_operations",
            service.repeatable_operations,
            NAME,
        )
        if self.find(EntityKind.MODEL, service.name):
            self.report(f"{path}.name", "a model has the same name")

    def check_deletions(self) -> None:
        """Checks that no workspace refers to a deleted entity."""
        deleted = {
            (operation.kind, operation.name): f"operations[{index}]"
            for index, operation in enumerate(self.change.operations)
            if isinstance(operation, DeleteEntity)
            and operation.kind is not EntityKind.WORKSPACE
        }
        if not deleted:
            return
        used = {}
        for workspace in self.entities(EntityKind.WORKSPACE):
            key = (EntityKind.NEIGHBOUR, workspace.neighbour)
            used.setdefault(key, workspace.name)
            for name in workspace.models:
                used.setdefault((EntityKind.MODEL, name), workspace.name)
                used.setdefault((EntityKind.SERVICE, name), workspace.name)
        for key, path in deleted.items():
            if key in used:
                self.report(
                    path,
                    f"{key[0]} {key[1]!r} is used by workspace {used[key]!r}",
                )

    def check_share_sum(self) -> None:
        """Checks that the shares of all neighbours sum to at most 1."""
        paths = [
            f"operations[{index}].neighbour.share"
            for index, operation in enumerate(self.change.operations)
            if isinstance(getattr(operation, "entity", None), Neighbour)
        ]
        if not paths:
            return
        shares = [x.share for x in self.entities(EntityKind.NEIGHBOUR)]
        # fsum rounds only once, so the sum does not depend on the order of the
        # shares.
        total = math.fsum(shares)
        if total > 1.0 + SHARE_TOLERANCE:
            self.report(paths[0], f"the shares sum to {total:.6g}, over 1")

    def check_name(
        self, path: str, name: str, pattern: re.Pattern[str]
    ) -> None:
        """Checks that a name is well formed."""
        if not pattern.fullmatch(name):
            self.report(
                path,
                f"{name[:64]!r} does not match {pattern.pattern}",
            )

    def check_names(
        self, path: str, names: tuple[str, ...], pattern: re.Pattern[str]
    ) -> None:
        """Checks that names are well formed, distinct and not too many."""
        if len(names) > MAX_NAMES:
            self.report(
                path, f"{len(names)} names; at most {MAX_NAMES} are allowed"
            )
            return
        for index, name in enumerate(names):
            self.check_name(f"{path}[{index}]", name, pattern)
            if name in names[:index]:
                self.report(f"{path}[{index}]", "is listed twice")

    def check_number(
        self, path: str, value: float, lowest: float, highest: float
    ) -> None:
        """Checks that a number is finite and within bounds."""
        if not (math.isfinite(value) and lowest <= value <= highest):
            self.report(path, f"must be between {lowest} and {highest}")
