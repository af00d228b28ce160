"""Tests of manifests in the configuration log."""

import unittest
import zlib

from rattanroute.errors import RouterError
from rattanroute.gateway.routing_caches import MANIFEST
from rattanroute.gateway.routing_caches import RoutingTableCache
from rattanroute.systems.configuration_state_machines import (
    ConfigurationStateMachine,
)
from rattanroute.tables.changes import ANY_VERSION
from rattanroute.tables.changes import Change
from rattanroute.tables.changes import ChangeOutcome
from rattanroute.tables.changes import encode_change
from rattanroute.tables.changes import PutManifest
from rattanroute.tables.changes import Verdict
from rattanroute.tables.configurations import Manifest
from rattanroute.tables.routes import RoutingTable


def decode_revision(data: bytes) -> RoutingTable:
    """Decodes a manifest that consists of its revision only.

    Raises:
        RouterError: If it is not a number.
    """
    if not data.isdigit():
        raise RouterError(step="check manifest", message="not a number")
    return RoutingTable(revision=int(data))


class ManifestChangeTest(unittest.TestCase):
    """Guards against manifests that are lost, undone or misordered."""

    def setUp(self) -> None:
        self.machine = ConfigurationStateMachine()
        self.index = 0

    def put(self, revision: int, content: str) -> ChangeOutcome:
        """Applies a manifest as the adapter sends it."""
        self.index += 1
        data = zlib.compress(content.encode())
        entity = Manifest(name=MANIFEST, revision=revision, content=data)
        change = Change(
            command_id=f"manifest:{revision}:{content}",
            operator="platform",
            expected_version=ANY_VERSION,
            operations=(PutManifest(entity=entity),),
        )
        return self.machine.apply(self.index, encode_change(change))

    @property
    def in_force(self) -> tuple[int, str]:
        """Revision and content of the manifest in force."""
        manifest = self.machine.configuration.manifests[MANIFEST]
        return manifest.revision, zlib.decompress(manifest.content).decode()

    def test_highest_revision_is_in_force(self) -> None:
        for revision in (3, 9, 5):
            outcome = self.put(revision, f"c{revision}")
            self.assertIs(outcome.verdict, Verdict.ACCEPTED)
        self.assertEqual(self.in_force, (9, "c9"))

    def test_repeated_change_is_acknowledged_again(self) -> None:
        self.put(3, "a")
        version = self.machine.replica.version
        for _ in range(3):
            outcome = self.put(3, "a")
            self.assertIs(outcome.verdict, Verdict.ACCEPTED)
        self.assertEqual(self.machine.replica.version, version)

    def test_other_content_under_the_same_revision_changes_nothing(
        self,
    ) -> None:
        self.put(3, "a")
        outcome = self.put(3, "b")
        self.assertIs(outcome.verdict, Verdict.ACCEPTED)
        self.assertEqual(self.in_force, (3, "a"))

    def test_older_change_does_not_move_the_version(self) -> None:
        self.put(9, "a")
        version = self.machine.replica.version
        self.put(5, "b")
        self.assertEqual(self.machine.replica.version, version)

    def test_snapshot_holds_the_manifest(self) -> None:
        self.put(9, "a")
        other = ConfigurationStateMachine()
        other.restore(self.machine.snapshot())
        self.assertEqual(
            other.replica.content_hash, self.machine.replica.content_hash
        )
        self.assertEqual(other.configuration.manifests[MANIFEST].revision, 9)

    def test_deltas_lead_to_the_same_content(self) -> None:
        other = ConfigurationStateMachine().replica
        for revision in (1, 4, 2, 8):
            self.put(revision, f"c{revision}")
        for delta in self.machine.replica.deltas_since(0):
            self.assertTrue(other.accepts(delta))
            other.apply_delta(delta)
        self.assertEqual(other.content_hash, self.machine.replica.content_hash)


class RoutingTableCacheTest(unittest.TestCase):
    """Guards against a routing table that is reverted or lost."""

    def setUp(self) -> None:
        self.configuration = ConfigurationStateMachine().configuration
        self.view = RoutingTableCache(
            configuration=self.configuration, decode=decode_revision
        )

    def put(self, revision: int, content: bytes) -> int | None:
        """Puts a manifest and returns the revision in force."""
        self.configuration.put(
            Manifest(
                name=MANIFEST,
                revision=revision,
                content=zlib.compress(content),
            )
        )
        table = self.view.current()
        return table.revision if table else None

    def test_no_table_before_the_first_manifest(self) -> None:
        self.assertIsNone(self.view.current())

    def test_table_is_never_reverted(self) -> None:
        self.assertEqual(self.put(5, b"5"), 5)
        self.assertEqual(self.put(4, b"4"), 5)
        self.assertEqual(self.put(6, b"6"), 6)

    def test_malformed_manifest_keeps_the_last_table(self) -> None:
        self.assertEqual(self.put(5, b"5"), 5)
        self.assertEqual(self.put(6, b"bad"), 5)
        self.assertEqual(self.put(7, b"7"), 7)
