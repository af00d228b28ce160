"""Content of the answers to VMs that lack versions of the configuration."""

from collections.abc import Iterable
import dataclasses

import msgspec

from rattanroute.messages.distributions import ManifestPatch
from rattanroute.messages.distributions import VersionQuery
from rattanroute.tables.changes import Delta
from rattanroute.tables.changes import merge_deltas
from rattanroute.tables.changes import Operation
from rattanroute.tables.changes import PutManifest
from rattanroute.tables.configuration_replicas import ConfigurationReplica
from rattanroute.tables.configuration_replicas import measure_delta
from rattanroute.tables.configurations import Manifest
from rattanroute.tables.manifest_contents import apply_patch
from rattanroute.tables.manifest_contents import build_patch
from rattanroute.tables.manifest_contents import measure_patch

# Maximum bytes of deltas in one answer; the next query fetches the rest.
MAX_ANSWER_BYTES = 262_144


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Update:
    """What leads from one version to a later one.

    Attributes:
        deltas: Deltas, oldest first; without the content of a manifest that
            `patches` names.
        patches: Patches of manifests.
    """

    deltas: tuple[Delta, ...]
    patches: tuple[ManifestPatch, ...] = ()


@dataclasses.dataclass(kw_only=True, slots=True)
class UpdateBuilder:
    """Builds updates; VMs with the same version share one.

    Attributes:
        replica: The configuration to send.
        content_hash: Hash of the configuration to which `updates` lead.
        updates: Updates by the version that they begin at.
    """

    replica: ConfigurationReplica
    content_hash: int = 0
    updates: dict[int, Update | None] = dataclasses.field(default_factory=dict)

    def build(self, query: VersionQuery) -> Update | None:
        """Returns what the sender of a query lacks; None for a snapshot."""
        if not query.merges:
            return self.build_plain(query.version)
        deltas = self.replica.deltas_covering(query.version)
        if not deltas:
            return None if deltas is None else Update(deltas=())
        if self.content_hash != self.replica.content_hash:
            self.content_hash = self.replica.content_hash
            self.updates.clear()
        if query.version not in self.updates:
            self.updates[query.version] = self.build_merged(
                deltas, query.version
            )
        return self.updates[query.version]

    def build_plain(self, since: int) -> Update | None:
        """Returns whole deltas of one version each, which all releases read."""
        deltas = self.replica.deltas_since(since)
        if deltas is None or any(x.span != 1 for x in deltas):
            return None
        return Update(deltas=limit_deltas(deltas))

    def build_merged(
        self, deltas: tuple[Delta, ...], since: int
    ) -> Update | None:
        """Returns deltas without what later ones replace."""
        is_aligned = deltas[0].base == since
        merged = merge_deltas(deltas, since)
        count = sum(len(x.operations) for x in deltas)
        if is_aligned and len(deltas) > 1 and count == len(merged.operations):
            return Update(deltas=limit_deltas(deltas))
        patched, patches = self.replace_contents(merged, since)
        if measure_delta(patched) <= MAX_ANSWER_BYTES:
            return Update(deltas=(patched,), patches=patches)
        whole = self.replica.deltas_since(since)
        return Update(deltas=limit_deltas(whole)) if whole else None

    def replace_contents(
        self, delta: Delta, since: int
    ) -> tuple[Delta, tuple[ManifestPatch, ...]]:
        """Replaces the contents of manifests by patches where it pays off."""
        operations: list[Operation] = []
        patches: list[ManifestPatch] = []
        for operation in delta.operations:
            patch = self.build_patch(operation, since)
            if patch is None:
                operations.append(operation)
            else:
                patches.append(patch)
                operations.append(replace_content(operation, b""))
        patched = dataclasses.replace(delta, operations=tuple(operations))
        return patched, tuple(patches)

    def build_patch(
        self, operation: Operation, since: int
    ) -> ManifestPatch | None:
        """Returns the patch of an operation; None if it would not help."""
        if not isinstance(operation, PutManifest):
            return None
        manifest = operation.entity
        base = self.replica.manifest_until(manifest.name, since)
        if base is None:
            return None
        steps = build_patch(base.content, manifest.content)
        if measure_patch(steps) >= len(manifest.content):
            return None
        return ManifestPatch(name=manifest.name, steps=steps)


def measure_update(update: Update) -> int:
    """Returns the approximate encoded size of an update, in bytes."""
    deltas = sum(measure_delta(x) for x in update.deltas)
    return deltas + sum(measure_patch(x.steps) for x in update.patches)


def restore_contents(
    update: Update, manifests: dict[str, Manifest]
) -> tuple[Delta, ...]:
    """Returns the deltas of an update with the contents of its manifests.

    A patch whose base is not held gives another content, so that the hash of
    the delta does not match.

    Args:
        update: The received update.
        manifests: Manifests that the receiver holds, by name.
    """
    if not update.patches:
        return update.deltas
    contents = {
        x.name: apply_patch(manifests[x.name].content, x.steps)
        for x in update.patches
        if x.name in manifests
    }
    return tuple(
        dataclasses.replace(
            delta,
            operations=tuple(
                restore_content(x, contents) for x in delta.operations
            ),
        )
        for delta in update.deltas
    )


def restore_content(
    operation: Operation, contents: dict[str, bytes]
) -> Operation:
    """Returns an operation with the content of its manifest."""
    if not isinstance(operation, PutManifest):
        return operation
    content = contents.get(operation.entity.name)
    return operation if content is None else replace_content(operation, content)


def replace_content(operation: PutManifest, content: bytes) -> PutManifest:
    """Returns an operation that puts a manifest with another content."""
    entity = dataclasses.replace(operation.entity, content=content)
    return msgspec.structs.replace(operation, entity=entity)


def limit_deltas(deltas: Iterable[Delta]) -> tuple[Delta, ...]:
    """Returns the first deltas that fit into one answer; at least one."""
    taken: list[Delta] = []
    size = 0
    for delta in deltas:
        size += measure_delta(delta)
        if taken and size > MAX_ANSWER_BYTES:
            break
        taken.append(delta)
    return tuple(taken)
