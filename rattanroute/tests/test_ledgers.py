"""Tests of the accounts."""

import pathlib
from random import Random
import tempfile
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from rattanroute.actions import Action
from rattanroute.actions import PersistUsages
from rattanroute.storage.ledger_files import LedgerFile
from rattanroute.storage.records import SystemFileAccess
from rattanroute.systems import ledger_holders
from rattanroute.systems import usages
from rattanroute.systems.ledgers import LedgerSystem
from rattanroute.tables.sequence_sets import build_sequence_set
from rattanroute.tables.sequence_sets import SequenceSet
from rattanroute.tables.usages import format_tag
from rattanroute.tables.usages import parse_tag
from rattanroute.tables.usages import TargetStatement
from rattanroute.tables.usages import Usage
from rattanroute.tables.usages import UsageState
from rattanroute.tests.memory_networks import MemoryNetwork
from rattanroute.tests.memory_networks import TICK_SECONDS

WALL_MS = 1_700_000_000_000
HOLDERS = ("h0", "h1", "h2")
ENTRIES = ("e0", "e1")


def build_usage(request_id: str, **changes: object) -> Usage:
    """Builds the usage of an attempt of 10 + 20 tokens and 0.5 s."""
    values: dict[str, object] = {
        "request_id": request_id,
        "attempt": 1,
        "neighbour": "n",
        "workspace": "w",
        "model": "m",
        "tokens_in": 10,
        "tokens_out": 20,
        "accelerator_seconds": 0.5,
        "layers": 8,
        "targets": ("t1",),
        "outcome": "done",
        "max_tokens_out": 50,
        "elapsed_seconds": 1.0,
    }
    values.update(changes)
    return Usage(**values)


def build_statement(
    request_id: str, account: str, **changes: object
) -> TargetStatement:
    """Builds the statement that agrees with `build_usage`."""
    values: dict[str, object] = {
        "target_id": "t1",
        "request_id": request_id,
        "attempt": 1,
        "account": account,
        "tokens_in": 10,
        "tokens_out": 20,
        "seconds": 0.5,
        "layers": 8,
    }
    values.update(changes)
    return TargetStatement(**values)


class LedgerWorld:
    """Three ledger holders with real files and two entry VMs."""

    def __init__(self, folder: pathlib.Path, seed: int = 1) -> None:
        """Starts all VMs."""
        self.folder = folder
        self.random = Random(seed)
        self.network = MemoryNetwork(random=self.random, deliver=self.deliver)
        self.systems: dict[str, LedgerSystem] = {}
        self.files: dict[str, LedgerFile] = {}
        self.count = 0
        self.sync_crash = 0.0
        for vm_id in (*HOLDERS, *ENTRIES):
            self.start(vm_id)

    def start(self, vm_id: str) -> None:
        """Starts a VM with what its file contains."""
        restored = None
        if vm_id in HOLDERS:
            file = LedgerFile(self.folder / vm_id, files=SystemFileAccess())
            self.files[vm_id] = file
            restored = file.restored
        self.systems[vm_id] = LedgerSystem(
            vm_id=vm_id,
            started_ms=WALL_MS + int(self.network.now * 1000),
            now=self.network.now,
            holders=HOLDERS,
            restored=restored,
        )

    def crash(self, vm_id: str) -> None:
        """Ends a VM without warning."""
        self.systems.pop(vm_id, None)
        file = self.files.pop(vm_id, None)
        if file is not None:
            file.close()

    def close(self) -> None:
        """Ends all VMs."""
        for vm_id in list(self.systems):
            self.crash(vm_id)

    def deliver(self, sender: str, receiver: str, message: object) -> None:
        """Hands a message to a VM that is up."""
        system = self.systems.get(receiver)
        if system is not None:
            actions = system.receive(
                peer=sender, message=message, now=self.network.now
            )
            self.execute(receiver, actions)

    def execute(self, vm_id: str, actions: list[Action]) -> None:
        """Executes the actions of a VM."""
        for action in self.network.take_actions(vm_id, actions):
            if not isinstance(action, PersistUsages):
                continue
            if self.random.random() < self.sync_crash:
                self.crash(vm_id)
                return
            self.files[vm_id].write(action.records)
            system = self.systems[vm_id]
            persisted = system.persisted(
                ticket=action.ticket, now=self.network.now
            )
            self.execute(vm_id, persisted)

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        end = self.network.now + seconds
        while self.network.now < end - 1e-9:
            self.network.run_until(self.network.now + TICK_SECONDS)
            for vm_id, system in list(self.systems.items()):
                self.execute(vm_id, system.tick(now=self.network.now))

    def dispatch(self, vm_id: str) -> tuple[str, str]:
        """Opens an attempt; returns its request and account tag."""
        self.count += 1
        request_id = f"r{self.count}"
        tag = self.systems[vm_id].open(
            request_id=request_id,
            attempt=1,
            neighbour="n",
            workspace="w",
            model="m",
            now=self.network.now,
        )
        return request_id, tag

    def record(self, vm_id: str, usage: Usage) -> None:
        """Records usage at an entry VM."""
        self.systems[vm_id].record(usage, self.network.now)

    def attempts(self, vm_id: str) -> int:
        """Returns the attempts in a holder's totals."""
        return sum(r.amounts.attempts for r in self.systems[vm_id].totals())

    def tokens(self, vm_id: str) -> int:
        """Returns the generated tokens in a holder's totals."""
        return sum(r.amounts.tokens_out for r in self.systems[vm_id].totals())


class LedgerCase(unittest.TestCase):
    """Builds a world in a folder that is removed afterwards."""

    def build_world(self, seed: int = 1) -> LedgerWorld:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        world = LedgerWorld(pathlib.Path(folder.name), seed)
        self.addCleanup(world.close)
        return world

    def assert_totals(
        self, world: LedgerWorld, attempts: int, tokens: int
    ) -> None:
        for holder in HOLDERS:
            self.assertEqual(world.attempts(holder), attempts, holder)
            self.assertEqual(world.tokens(holder), tokens, holder)


class SequenceSetTest(unittest.TestCase):
    """Guards against numbers that are forgotten or found twice."""

    @settings(derandomize=True, deadline=None)
    @given(
        numbers=strategies.lists(strategies.integers(1, 40)),
        others=strategies.lists(strategies.integers(1, 40)),
    )
    def test_behaves_like_a_set(
        self, numbers: list[int], others: list[int]
    ) -> None:
        first, second = SequenceSet(), SequenceSet()
        seen: set[int] = set()
        for number in numbers:
            self.assertEqual(first.add(number), number not in seen)
            seen.add(number)
        for number in others:
            second.add(number)
        self.assertEqual(len(first), len(seen))
        missing = sorted(seen - set(others))
        self.assertEqual(list(first.missing_from(second)), missing)
        self.assertEqual(build_sequence_set(first.ranges()), first)

    def test_overlapping_ranges_are_refused(self) -> None:
        with self.assertRaises(ValueError):
            build_sequence_set(((1, 5), (4, 6)))


class StateTest(LedgerCase):
    """Guards against wrong states and amounts of single records."""

    def play(
        self,
        usage: dict[str, object] | None,
        statements: list[dict[str, object]],
    ) -> LedgerWorld:
        """Plays one attempt with its report and statements."""
        world = self.build_world()
        request_id, tag = world.dispatch("e0")
        if usage is not None:
            world.record("e0", build_usage(request_id, **usage))
        for changes in statements:
            statement = build_statement(request_id, tag, **changes)
            world.systems["e1"].hear(statement)
        world.run(12.0)
        return world

    def assert_state(
        self, world: LedgerWorld, state: UsageState, tokens: int
    ) -> None:
        self.assert_totals(world, 1, tokens)
        for holder in HOLDERS:
            counts = world.systems[holder].count_states()
            self.assertEqual(counts[state].attempts, 1, counts)

    def test_report_alone_counts(self) -> None:
        self.assert_state(self.play({}, []), UsageState.REPORTED, 20)

    def test_statement_alone_counts_after_the_entry_vm_died(self) -> None:
        self.assert_state(self.play(None, [{}]), UsageState.STATED, 20)

    def test_agreeing_sources_confirm(self) -> None:
        self.assert_state(self.play({}, [{}]), UsageState.CONFIRMED, 20)

    def test_pipeline_confirms_when_all_stages_stated(self) -> None:
        usage = {"targets": ("t1", "t2"), "accelerator_seconds": 1.0}
        stages = [{"layers": 5}, {"target_id": "t2", "layers": 3}]
        world = self.play(usage, stages[:1])
        self.assert_state(world, UsageState.REPORTED, 20)
        world = self.play(usage, stages)
        self.assert_state(world, UsageState.CONFIRMED, 20)

    def test_greater_statement_counts_up_to_the_limit(self) -> None:
        # A target may work on after its link broke, but it may not charge
        # more than the request allows.
        world = self.play({}, [{"tokens_out": 30}])
        self.assert_state(world, UsageState.DISPUTED, 30)
        world = self.play({}, [{"tokens_out": 5000}])
        self.assert_state(world, UsageState.DISPUTED, 50)

    def test_smaller_statement_does_not_hide_tokens(self) -> None:
        world = self.play({}, [{"tokens_out": 1}])
        self.assert_state(world, UsageState.DISPUTED, 20)
        disputed = world.systems["h0"].unsettled(UsageState.DISPUTED)
        self.assertEqual(disputed[0].report.request_id, "r1")

    def test_target_outside_the_chain_adds_nothing(self) -> None:
        changes = {"target_id": "t9", "tokens_out": 45}
        world = self.play({}, [changes])
        self.assert_state(world, UsageState.DISPUTED, 20)

    def test_repeated_statement_through_two_vms_counts_once(self) -> None:
        world = self.build_world()
        request_id, tag = world.dispatch("e0")
        for vm_id in ("e1", "e1", "h2"):
            world.systems[vm_id].hear(build_statement(request_id, tag))
        world.run(12.0)
        self.assert_totals(world, 1, 20)

    def test_unknown_tag_is_rejected(self) -> None:
        world = self.build_world()
        for tag in ("", "w", "n/w/m/vm/1/x/2", "n/w/m/vm/1/-1/2"):
            statement = build_statement("r", tag)
            self.assertFalse(world.systems["e1"].hear(statement))
        self.assertEqual(world.systems["e1"].rejected, 4)

    @settings(derandomize=True, deadline=None)
    @given(name=strategies.text(max_size=20))
    def test_tag_survives_a_header(self, name: str) -> None:
        system = LedgerSystem(
            vm_id="vm-1", started_ms=WALL_MS, now=0.0, holders=HOLDERS
        )
        tag = system.assign(name, name, name, 0.0)
        text = format_tag(tag)
        self.assertTrue(text.isascii() and text.isprintable())
        self.assertEqual(parse_tag(text), tag)


class FaultTest(LedgerCase):
    """Guards against usage that is lost or counted twice under faults."""

    def test_shares_follow_accelerator_time(self) -> None:
        world = self.build_world()
        world.record("e0", build_usage("a", accelerator_seconds=3.0))
        world.record(
            "e0", build_usage("b", neighbour="n2", accelerator_seconds=1.0)
        )
        world.run(8.0)
        day = WALL_MS // 1000 // 86_400
        shares = world.systems["h0"].shares(day)
        self.assertEqual(shares, {"n": 0.75, "n2": 0.25})
        self.assertEqual(world.systems["h0"].shares(day - 1), {})

    def test_items_wait_for_a_majority(self) -> None:
        world = self.build_world()
        world.crash("h0")
        world.crash("h1")
        world.record("e0", build_usage("a"))
        world.run(20.0)
        self.assertEqual(len(world.systems["e0"].sender.pending), 1)
        world.start("h0")
        world.run(20.0)
        self.assertEqual(len(world.systems["e0"].sender.pending), 0)

    def test_items_are_confirmed_only_after_the_sync(self) -> None:
        world = self.build_world()
        world.sync_crash = 1.0
        world.record("e0", build_usage("a"))
        world.run(3.0)
        self.assertEqual(len(world.systems["e0"].sender.pending), 1)

    def test_holder_that_missed_items_gets_them_from_others(self) -> None:
        world = self.build_world()
        world.crash("h2")
        for number in range(250):
            world.record("e0", build_usage(f"x{number}"))
        world.run(10.0)
        world.crash("e0")
        world.start("h2")
        world.run(20.0)
        self.assert_totals(world, 250, 5000)

    def test_holder_away_for_long_takes_over_a_state(self) -> None:
        # The others have closed the records and dropped their content.
        world = self.build_world()
        world.record("e0", build_usage("a"))
        world.run(8.0)
        world.crash("h2")
        for _ in range(50):
            request_id, tag = world.dispatch("e0")
            world.record("e0", build_usage(request_id))
            world.systems["e1"].hear(build_statement(request_id, tag))
        world.run(5.0)
        world.network.run_until(
            world.network.now + ledger_holders.KEEP_ITEMS_SECONDS
        )
        world.run(1.0)
        self.assertEqual(world.systems["h0"].holder.kept, {})
        self.assertLessEqual(len(world.systems["h0"].holder.table.open), 1)
        world.start("h2")
        world.record("e1", build_usage("late"))
        world.run(30.0)
        self.assert_totals(world, 52, 1040)
        for holder in HOLDERS:
            world.crash(holder)
            world.start(holder)
        self.assert_totals(world, 52, 1040)

    def test_late_copy_of_a_closed_record_is_not_counted(self) -> None:
        world = self.build_world()
        request_id, tag = world.dispatch("e0")
        world.record("e0", build_usage(request_id))
        world.systems["e1"].hear(build_statement(request_id, tag))
        world.run(1.0)
        world.network.run_until(100.0)
        world.run(1.0)
        self.assertEqual(len(world.systems["h0"].holder.table.open), 0)
        world.start("e1")
        world.systems["e1"].hear(build_statement(request_id, tag))
        world.run(12.0)
        self.assert_totals(world, 1, 20)

    def test_cut_entry_vm_keeps_items_until_the_heal(self) -> None:
        world = self.build_world()
        world.network.cut({"e0"}, set(HOLDERS))
        for number in range(300):
            world.record("e0", build_usage(f"x{number}"))
        world.run(60.0)
        self.assertEqual(world.attempts("h0"), 0)
        world.network.cuts.clear()
        world.run(20.0)
        self.assert_totals(world, 300, 6000)

    def test_full_buffer_drops_new_items_and_counts_them(self) -> None:
        sender = usages.UsageSender(vm_id="e0", stream="e0/1", holders=HOLDERS)
        item = usages.ReportItem(report=None)
        for _ in range(usages.MAX_PENDING_ITEMS):
            self.assertTrue(sender.put(item))
        self.assertFalse(sender.put(item))
        self.assertEqual(sender.dropped, 1)

    def test_damaged_batch_changes_nothing(self) -> None:
        holder = ledger_holders.LedgerHolder(restored=[])
        good = usages.pack_items([b"a"])
        for items in (b"x", good[:-3], usages.pack_items([b"a", b"b"])):
            batch = ledger_holders.UsageBatch(
                stream="e0/1", sequences=(1,), items=items
            )
            self.assertFalse(holder.on_batch(batch, 0.0))
        self.assertEqual(holder.received, {})

    def test_state_taken_over_does_not_replace_own_items(self) -> None:
        world = self.build_world()
        world.record("e0", build_usage("a"))
        world.run(8.0)
        holder = world.systems["h0"].holder
        empty = ledger_holders.LedgerHolder(restored=[]).dump()
        self.assertTrue(holder.adopt(empty, 8.0))
        self.assertEqual(world.attempts("h0"), 1)
        holder.kept.clear()
        self.assertFalse(holder.adopt(empty, 8.0))
        self.assertEqual(world.attempts("h0"), 1)

    def test_compacted_file_restores_the_totals(self) -> None:
        world = self.build_world()
        for number in range(20):
            world.record("e0", build_usage(f"x{number}"))
        world.run(10.0)
        for holder in HOLDERS:
            world.files[holder].compact(world.systems[holder].snapshot())
        world.record("e0", build_usage("after"))
        world.run(10.0)
        for holder in HOLDERS:
            world.crash(holder)
            world.start(holder)
        self.assert_totals(world, 21, 420)

    @settings(derandomize=True, deadline=None, max_examples=15)
    @given(seed=strategies.integers(0, 10_000))
    def test_each_attempt_counts_once_under_faults(self, seed: int) -> None:
        with tempfile.TemporaryDirectory() as folder:
            world = LedgerWorld(pathlib.Path(folder), seed)
            self.play_faults(world, Random(seed + 1))
            world.close()

    def play_faults(self, world: LedgerWorld, random: Random) -> None:
        """Plays attempts, crashes of any VM, cuts and loss, then heals."""
        world.network.loss = 0.2
        world.network.duplication = 0.2
        world.network.max_delay = 0.5
        world.sync_crash = 0.02
        everyone = (*HOLDERS, *ENTRIES)
        attempts = 0
        for _ in range(100):
            entry = random.choice(ENTRIES)
            if entry in world.systems:
                attempts += self.play_attempt(world, random, entry)
            down = [vm for vm in everyone if vm not in world.systems]
            draw = random.random()
            if down and draw < 0.4:
                world.start(random.choice(down))
            elif draw < 0.5:
                world.crash(random.choice(HOLDERS))
            elif draw < 0.6:
                side = set(random.sample(everyone, 2))
                world.network.cut(side, set(everyone) - side)
            elif draw < 0.8:
                world.network.cuts.clear()
            world.run(0.3)
        world.network.cuts.clear()
        world.network.loss = 0.0
        world.sync_crash = 0.0
        for vm_id in everyone:
            if vm_id not in world.systems:
                world.start(vm_id)
        world.run(60.0)
        self.assert_totals(world, attempts, 20 * attempts)

    def play_attempt(
        self, world: LedgerWorld, random: Random, entry: str
    ) -> int:
        """Plays one attempt; returns whether it must be counted.

        The entry VM may die before it sends its report; the statement is then
        heard by h0's VM or the other entry VM, which keep it.
        """
        request_id, tag = world.dispatch(entry)
        hearers = [vm for vm in ENTRIES if vm != entry]
        hearer = next((vm for vm in hearers if vm in world.systems), None)
        if hearer is not None and random.random() < 0.7:
            statement = build_statement(request_id, tag)
            world.systems[hearer].hear(statement)
            if random.random() < 0.2:
                world.network.run_until(world.network.now + 0.01)
                self.crash_sent(world, entry)
                return 1
        world.record(entry, build_usage(request_id))
        return 1

    def crash_sent(self, world: LedgerWorld, entry: str) -> None:
        """Crashes an entry VM that has no unconfirmed items of others."""
        if not world.systems[entry].sender.pending:
            world.crash(entry)
