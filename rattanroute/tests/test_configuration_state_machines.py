"""Tests of the configuration state machine and its change validation."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from rattanroute.errors import StorageError
from rattanroute.systems import configuration_state_machines
from rattanroute.systems.configuration_state_machines import (
    ConfigurationStateMachine,
)
from rattanroute.tables import configuration_replicas
from rattanroute.tables.changes import ANY_VERSION
from rattanroute.tables.changes import Change
from rattanroute.tables.changes import ChangeOutcome
from rattanroute.tables.changes import decode_outcome
from rattanroute.tables.changes import DeleteEntity
from rattanroute.tables.changes import Drain
from rattanroute.tables.changes import encode_change
from rattanroute.tables.changes import encode_outcome
from rattanroute.tables.changes import Operation
from rattanroute.tables.changes import PutModel
from rattanroute.tables.changes import PutNeighbour
from rattanroute.tables.changes import PutService
from rattanroute.tables.changes import PutWorkspace
from rattanroute.tables.changes import Undrain
from rattanroute.tables.changes import Verdict
from rattanroute.tables.configurations import DrainKind
from rattanroute.tables.configurations import EntityKind
from rattanroute.tables.configurations import Model
from rattanroute.tables.configurations import Neighbour
from rattanroute.tables.configurations import Service
from rattanroute.tables.configurations import Workspace

KEY = "a" * 64


def put_neighbour(name: str = "n", share: float = 0.5) -> Operation:
    """Builds an operation that puts a neighbour."""
    return PutNeighbour(entity=Neighbour(name=name, share=share))


def put_workspace(name: str = "w", **values: object) -> Operation:
    """Builds an operation that puts a workspace of neighbour n."""
    values = {"neighbour": "n", **values}
    return PutWorkspace(entity=Workspace(name=name, **values))


def put_model(name: str = "m", **values: object) -> Operation:
    """Builds an operation that puts a model."""
    return PutModel(entity=Model(name=name, **values))


def drain(name: str = "t1") -> Operation:
    """Builds an operation that drains a target."""
    return Drain(kind=DrainKind.TARGET, name=name)


def build_change(
    *operations: Operation, command_id: str = "c1", version: int = 0, **values
) -> Change:
    """Builds a change that operator alice sends."""
    values = {"operator": "alice", **values}
    return Change(
        command_id=command_id,
        expected_version=version,
        operations=operations,
        **values,
    )


class LoggedStateMachine:
    """A state machine with a log that holds one entry per change."""

    def __init__(self) -> None:
        self.machine = ConfigurationStateMachine()
        self.entries = []

    def apply(self, change: Change) -> ChangeOutcome:
        """Appends a change to the log and applies it."""
        self.entries.append(encode_change(change))
        return self.machine.apply(len(self.entries), self.entries[-1])

    def put(self, *operations: Operation) -> ChangeOutcome:
        """Applies a change at the current version."""
        return self.apply(
            build_change(
                *operations,
                command_id=f"put-{len(self.entries)}",
                version=self.machine.replica.version,
            )
        )


class ConflictTest(unittest.TestCase):
    """Guards against accepting two changes to the same version."""

    def test_conflict_names_the_accepted_change(self) -> None:
        log = LoggedStateMachine()
        first = log.apply(build_change(put_neighbour("x"), command_id="c1"))
        second = log.apply(
            build_change(put_neighbour("y"), command_id="c2", operator="bob")
        )
        self.assertEqual(first.verdict, Verdict.ACCEPTED)
        self.assertEqual(second.verdict, Verdict.CONFLICT)
        self.assertEqual(second.winner.version, 1)
        self.assertEqual(second.winner.operator, "alice")
        self.assertEqual(second.winner.command_id, "c1")
        self.assertEqual(list(log.machine.configuration.neighbours), ["x"])

    def test_named_winner_follows_the_expected_version(self) -> None:
        log = LoggedStateMachine()
        for number in range(5):
            log.put(put_neighbour(f"n{number}", 0.1))
        outcome = log.apply(build_change(drain(), command_id="c", version=2))
        self.assertEqual(outcome.winner.command_id, "put-2")
        self.assertEqual(outcome.version, 5)

    def test_version_ahead_of_the_log_is_a_conflict(self) -> None:
        outcome = LoggedStateMachine().apply(build_change(drain(), version=3))
        self.assertEqual(outcome.verdict, Verdict.CONFLICT)
        self.assertEqual(outcome.problems[0].path, "expected_version")

    def test_only_drains_may_leave_the_version_out(self) -> None:
        log = LoggedStateMachine()
        log.put(put_neighbour())
        free = build_change(drain(), command_id="d", version=ANY_VERSION)
        self.assertEqual(log.apply(free).verdict, Verdict.ACCEPTED)
        bound = build_change(
            drain("t2"), put_neighbour(), command_id="e", version=ANY_VERSION
        )
        self.assertEqual(log.apply(bound).problems[0].path, "expected_version")


class ResendTest(unittest.TestCase):
    """Guards against repeated commands and reused command identifiers."""

    def test_resent_command_gets_the_first_answer(self) -> None:
        log = LoggedStateMachine()
        first = log.apply(build_change(put_neighbour(), created_at=1.0))
        log.put(drain())
        again = log.apply(build_change(put_neighbour(), created_at=9.0))
        self.assertEqual(again, first)
        self.assertEqual(log.machine.replica.version, 2)

    def test_resent_conflict_gets_the_same_conflict(self) -> None:
        log = LoggedStateMachine()
        log.put(put_neighbour())
        change = build_change(drain(), command_id="late")
        first = log.apply(change)
        self.assertEqual(first.verdict, Verdict.CONFLICT)
        self.assertEqual(log.apply(change), first)

    def test_same_id_with_other_content_is_refused(self) -> None:
        log = LoggedStateMachine()
        log.apply(build_change(put_neighbour()))
        for other in (
            build_change(put_neighbour(share=0.4)),
            build_change(put_neighbour(), operator="bob"),
            build_change(put_neighbour(), version=1),
        ):
            outcome = log.apply(other)
            self.assertEqual(outcome.verdict, Verdict.REFUSED)
            self.assertEqual(outcome.problems[0].path, "command_id")

    def test_index_that_was_applied_is_ignored(self) -> None:
        log = LoggedStateMachine()
        log.apply(build_change(put_neighbour()))
        data = encode_change(build_change(drain(), command_id="c2", version=1))
        outcome = log.machine.apply(1, data)
        self.assertEqual(outcome.verdict, Verdict.IGNORED)
        self.assertEqual(log.machine.replica.version, 1)

    def test_memory_is_bounded_and_drops_the_oldest(self) -> None:
        log = LoggedStateMachine()
        count = configuration_state_machines.MAX_STORED_COMMANDS + 100
        for _ in range(count):
            log.put(drain())
        machine = log.machine
        self.assertEqual(
            len(machine.commands),
            configuration_state_machines.MAX_STORED_COMMANDS,
        )
        self.assertNotIn("put-99", machine.commands)
        self.assertIn("put-100", machine.commands)
        self.assertEqual(
            len(machine.audits), configuration_state_machines.MAX_AUDIT_RECORDS
        )
        self.assertEqual(
            len(machine.replica.deltas), configuration_replicas.MAX_DELTAS
        )

    def test_large_deltas_are_bounded_by_their_bytes(self) -> None:
        log = LoggedStateMachine()
        name = "t" * 100
        for start in range(30):
            log.put(*(drain(f"{name}{start}-{n}") for n in range(2000)))
        replica = log.machine.replica
        kept = sum(
            configuration_replicas.measure_delta(x) for x in replica.deltas
        )
        self.assertEqual(kept, replica.kept_bytes)
        self.assertLessEqual(kept, configuration_replicas.MAX_DELTA_BYTES)
        self.assertGreater(len(replica.deltas), 1)

    def test_memory_of_refused_changes_is_bounded(self) -> None:
        log = LoggedStateMachine()
        name = "x" * 100_000
        log.apply(build_change(drain(), command_id=name))
        self.assertFalse(log.machine.commands)
        log.put(
            put_workspace(neighbour=name, models=(name,)),
            DeleteEntity(kind=EntityKind.MODEL, name=name),
            Undrain(kind=DrainKind.VM, name=name),
        )
        self.assertLess(len(log.machine.snapshot()), 10_000)


class ValidationTest(unittest.TestCase):
    """Guards against inconsistent configurations."""

    def setUp(self) -> None:
        self.log = LoggedStateMachine()
        self.log.put(
            put_neighbour(),
            put_model(versions=("1", "2"), version="1"),
            PutService(entity=Service(name="s")),
            put_workspace(models=("m", "s"), key_hashes=(KEY,)),
        )

    def check(self, path: str, *operations: Operation) -> None:
        """Checks that a whole change is refused for a problem at one path."""
        outcome = self.log.put(drain("other"), *operations)
        self.assertEqual(outcome.verdict, Verdict.REFUSED)
        self.assertEqual([x.path for x in outcome.problems], [path])
        self.assertEqual(self.log.machine.replica.version, 1)
        self.assertFalse(self.log.machine.configuration.drained_targets)

    def test_references_exist(self) -> None:
        path = "operations[1].workspace"
        self.check(f"{path}.neighbour", put_workspace("v", neighbour="no"))
        self.check(f"{path}.models[1]", put_workspace("v", models=("m", "x")))

    def test_reference_to_an_entity_of_the_same_change(self) -> None:
        outcome = self.log.put(
            put_workspace("v", neighbour="new"), put_neighbour("new", 0.1)
        )
        self.assertEqual(outcome.verdict, Verdict.ACCEPTED)

    def test_shares(self) -> None:
        path = "operations[1].neighbour.share"
        self.check(path, put_neighbour("o", 0.51))
        for share in (-0.1, 1.5, float("nan"), float("inf")):
            with self.subTest(share=share):
                outcome = self.log.put(put_neighbour("o", share))
                self.assertEqual(outcome.verdict, Verdict.REFUSED)

    def test_shares_that_sum_to_one_in_decimal_are_accepted(self) -> None:
        operations = [put_neighbour(f"x{n}", 0.05) for n in range(10)]
        self.assertEqual(self.log.put(*operations).verdict, Verdict.ACCEPTED)

    def test_names_and_numbers(self) -> None:
        model = "operations[1].model"
        self.check(f"{model}.name", put_model("no spaces"))
        self.check(f"{model}.version", put_model(version="3"))
        self.check(f"{model}.versions[1]", put_model(versions=("1", "1")))
        self.check(f"{model}.layers", put_model(layers=-1))
        self.check(f"{model}.name", put_model("s"))
        workspace = "operations[1].workspace"
        self.check(f"{workspace}.weight", put_workspace(weight=float("nan")))
        self.check(f"{workspace}.priority", put_workspace(priority=1000))
        self.check(
            f"{workspace}.key_hashes[0]", put_workspace(key_hashes=("x",))
        )
        self.check("operations[1]", drain("a b"))
        self.check(
            "operations[1]", Undrain(kind=DrainKind.TARGET, name="never")
        )

    def test_key_of_two_workspaces(self) -> None:
        path = "operations[1].workspace.key_hashes[0]"
        self.check(path, put_workspace("v", key_hashes=(KEY,)))

    def test_key_that_moves_to_another_workspace(self) -> None:
        for operations in (
            (put_workspace("v", key_hashes=(KEY,)), put_workspace("w")),
            (put_workspace("v"), put_workspace("w", key_hashes=(KEY,))),
        ):
            outcome = self.log.put(*operations)
            self.assertEqual(outcome.verdict, Verdict.ACCEPTED)
        owners = self.log.machine.configuration.workspaces_by_key_hash
        self.assertEqual(owners, {KEY: "w"})

    def test_deletion_of_something_in_use(self) -> None:
        for kind, name in (
            ("neighbour", "n"),
            ("model", "m"),
            ("service", "s"),
        ):
            self.check(
                "operations[1]", DeleteEntity(kind=EntityKind(kind), name=name)
            )
        self.check(
            "operations[1]", DeleteEntity(kind=EntityKind.MODEL, name="none")
        )

    def test_deletion_together_with_the_last_user(self) -> None:
        outcome = self.log.put(
            *(
                DeleteEntity(kind=EntityKind(kind), name=name)
                for kind, name in (
                    ("neighbour", "n"),
                    ("workspace", "w"),
                    ("model", "m"),
                    ("service", "s"),
                )
            )
        )
        self.assertEqual(outcome.verdict, Verdict.ACCEPTED)
        self.assertFalse(self.log.machine.configuration.workspaces_by_key_hash)

    def test_entity_that_is_changed_twice(self) -> None:
        self.check("operations[2]", put_model("z"), put_model("z"))

    def test_malformed_entry_is_refused_and_later_ones_apply(self) -> None:
        self.assertEqual(
            self.log.machine.apply(2, b"\xff").problems[0].path, "change"
        )
        self.log.entries.append(b"\xff")
        self.assertEqual(self.log.put(drain()).verdict, Verdict.ACCEPTED)


NAMES = st.sampled_from(["a", "b", "c", "bad name"])
OPERATIONS = st.one_of(
    st.builds(put_neighbour, NAMES, st.sampled_from([0.2, 0.5, 1.5])),
    st.builds(
        lambda name, owner, models: put_workspace(
            name, neighbour=owner, models=models
        ),
        NAMES,
        NAMES,
        st.lists(NAMES, max_size=2).map(tuple),
    ),
    st.builds(put_model, NAMES, version=st.sampled_from(["", "1"])),
    st.builds(DeleteEntity, kind=st.sampled_from(list(EntityKind)), name=NAMES),
    st.builds(Drain, kind=st.sampled_from(list(DrainKind)), name=NAMES),
    st.builds(Undrain, kind=st.sampled_from(list(DrainKind)), name=NAMES),
)
CHANGES = st.tuples(
    st.lists(OPERATIONS, min_size=1, max_size=3),
    st.sampled_from([f"c{n}" for n in range(12)]),
    st.sampled_from([0, 0, 0, 1, -1]),
)


class HistoryTest(unittest.TestCase):
    """Guards against voters whose states differ after the same log."""

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(st.lists(CHANGES, max_size=14), st.integers(0, 14))
    def test_replay_and_restore_reach_the_same_state(
        self, commands: list[tuple], cut: int
    ) -> None:
        log = LoggedStateMachine()
        log.put(
            put_neighbour("a", 0.2),
            put_model("a", versions=("1",)),
            put_workspace("a", neighbour="a", key_hashes=(KEY,)),
        )
        replica = log.machine.replica
        restored = ConfigurationStateMachine()
        for position, (operations, command_id, lag) in enumerate(commands):
            if position == cut:
                restored.restore(log.machine.snapshot())
            change = build_change(
                *operations,
                command_id=command_id,
                version=replica.version - lag,
            )
            before = log.machine.snapshot()
            expected = log.machine.dry_run(change)
            self.assertEqual(log.machine.snapshot(), before)
            self.assertEqual(log.apply(change), expected)
            self.assertEqual(
                replica.content_hash,
                configuration_replicas.hash_content(replica.content()),
            )
        replayed = ConfigurationStateMachine()
        for index, entry in enumerate(log.entries):
            replayed.apply(index + 1, entry)
            restored.apply(index + 1, entry)
        self.assertEqual(replayed.snapshot(), log.machine.snapshot())
        self.assertEqual(restored.snapshot(), log.machine.snapshot())
        self.assertEqual(restored, log.machine)

    def test_drain_of_a_drained_target_keeps_the_hash_correct(self) -> None:
        log = LoggedStateMachine()
        log.put(drain())
        self.assertEqual(log.put(drain()).verdict, Verdict.ACCEPTED)
        replica = log.machine.replica
        self.assertEqual(
            replica.content_hash,
            configuration_replicas.hash_content(replica.content()),
        )

    def test_dry_run_entry_has_no_effect(self) -> None:
        log = LoggedStateMachine()
        outcome = log.apply(build_change(put_neighbour(), dry_run=True))
        self.assertEqual(outcome.verdict, Verdict.ACCEPTED)
        self.assertEqual(log.machine.replica.version, 0)
        self.assertEqual(log.apply(build_change(put_neighbour())).version, 1)

    def test_older_snapshot_does_not_revert_the_version(self) -> None:
        log = LoggedStateMachine()
        log.put(put_neighbour())
        old = log.machine.snapshot()
        log.put(drain())
        log.machine.restore(old)
        self.assertEqual(log.machine.replica.version, 2)

    def test_broken_snapshot_is_a_storage_error(self) -> None:
        with self.assertRaises(StorageError):
            ConfigurationStateMachine().restore(b"\xff")

    def test_audit_names_operator_command_time_and_entities(self) -> None:
        log = LoggedStateMachine()
        log.apply(build_change(put_neighbour(), drain(), created_at=5.0))
        record = log.machine.audits[0]
        self.assertEqual(record.operator, "alice")
        self.assertEqual(record.created_at, 5.0)
        self.assertEqual(record.summary, ("put neighbour n", "drain target t1"))

    def test_outcome_is_unchanged_by_encoding(self) -> None:
        log = LoggedStateMachine()
        log.put(put_neighbour())
        outcome = log.apply(build_change(drain()))
        self.assertEqual(decode_outcome(encode_outcome(outcome)), outcome)
