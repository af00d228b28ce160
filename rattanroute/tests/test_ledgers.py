"""Tests of usage accounting."""

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
from rattanroute.systems import usage_senders
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

START_WALL_CLOCK_MS = 1_700_000_000_000
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
    """Builds a statement that agrees with `build_usage`."""
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


class LedgerCluster:
    """Simulates three ledger holders with files and two entry VMs.

    Attributes:
        sync_crash_rate: Chance that a VM crashes instead of a sync.
    """

    def __init__(self, folder: pathlib.Path, seed: int = 1) -> None:
        """Starts all VMs."""
        self.folder = folder
        self.random = Random(seed)
        self.network = MemoryNetwork(random=self.random, deliver=self.deliver)
        self.systems: dict[str, LedgerSystem] = {}
        self.files: dict[str, LedgerFile] = {}
        self.count = 0
        self.sync_crash_rate = 0.0
        for vm_id in (*HOLDERS, *ENTRIES):
            self.start(vm_id)

    def start(self, vm_id: str) -> None:
        """Starts a VM, with the records of its file on a holder."""
        restored = None
        if vm_id in HOLDERS:
            file = LedgerFile(self.folder / vm_id, files=SystemFileAccess())
            self.files[vm_id] = file
            restored = file.restored
        self.systems[vm_id] = LedgerSystem(
            vm_id=vm_id,
            started_ms=START_WALL_CLOCK_MS + int(self.network.now * 1000),
            now=self.network.now,
            holders=HOLDERS,
            restored=restored,
        )

    def crash(self, vm_id: str) -> None:
        """Stops a VM without a planned stop."""
        self.systems.pop(vm_id, None)
        file = self.files.pop(vm_id, None)
        if file is not None:
            file.close()

    def close(self) -> None:
        """Stops all VMs and closes their files."""
        for vm_id in list(self.systems):
            self.crash(vm_id)

    def deliver(self, sender: str, receiver: str, message: object) -> None:
        """Delivers a message to a VM if it is running."""
        system = self.systems.get(receiver)
        if system is not None:
            actions = system.receive(
                peer=sender, message=message, now=self.network.now
            )
            self.execute(receiver, actions)

    def execute(self, vm_id: str, actions: list[Action]) -> None:
        """Executes actions of a VM; a sync may crash it."""
        for action in self.network.take_actions(vm_id, actions):
            if not isinstance(action, PersistUsages):
                continue
            if self.random.random() < self.sync_crash_rate:
                self.crash(vm_id)
                return
            self.files[vm_id].write(action.records)
            system = self.systems[vm_id]
            persisted = system.persisted(
                ticket=action.ticket, now=self.network.now
            )
            self.execute(vm_id, persisted)

    def run(self, seconds: float) -> None:
        """Advances the time of all VMs."""
        end = self.network.now + seconds
        while self.network.now < end - 1e-9:
            self.network.run_until(self.network.now + TICK_SECONDS)
            for vm_id, system in list(self.systems.items()):
                self.execute(vm_id, system.tick(now=self.network.now))

    def dispatch(self, vm_id: str) -> tuple[str, str]:
        """Opens an attempt and returns its request and account tag."""
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
        """Records the usage of an attempt at an entry VM."""
        self.systems[vm_id].record(usage, self.network.now)

    def attempts(self, vm_id: str) -> int:
        """Returns the number of attempts in a holder's totals."""
        return sum(r.amounts.attempts for r in self.systems[vm_id].totals())

    def tokens(self, vm_id: str) -> int:
        """Returns the number of generated tokens in a holder's totals."""
        return sum(r.amounts.tokens_out for r in self.systems[vm_id].totals())


class LedgerTestCase(unittest.TestCase):
    """Builds clusters in temporary folders."""

    def build_cluster(self, seed: int = 1) -> LedgerCluster:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        cluster = LedgerCluster(pathlib.Path(folder.name), seed)
        self.addCleanup(cluster.close)
        return cluster

    def assert_totals(
        self, cluster: LedgerCluster, attempts: int, tokens: int
    ) -> None:
        for holder in HOLDERS:
            self.assertEqual(cluster.attempts(holder), attempts, holder)
            self.assertEqual(cluster.tokens(holder), tokens, holder)


class SequenceSetTest(unittest.TestCase):
    """Guards against numbers that are lost or reported as new twice."""

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


class StateTest(LedgerTestCase):
    """Guards against wrong states and amounts of a single record."""

    def simulate(
        self,
        usage: dict[str, object] | None,
        statements: list[dict[str, object]],
    ) -> LedgerCluster:
        """Simulates one attempt with its report and statements."""
        cluster = self.build_cluster()
        request_id, tag = cluster.dispatch("e0")
        if usage is not None:
            cluster.record("e0", build_usage(request_id, **usage))
        for changes in statements:
            statement = build_statement(request_id, tag, **changes)
            cluster.systems["e1"].hear(statement)
        cluster.run(12.0)
        return cluster

    def assert_state(
        self, cluster: LedgerCluster, state: UsageState, tokens: int
    ) -> None:
        self.assert_totals(cluster, 1, tokens)
        for holder in HOLDERS:
            counts = cluster.systems[holder].count_states()
            self.assertEqual(counts[state].attempts, 1, counts)

    def test_report_alone_counts(self) -> None:
        self.assert_state(self.simulate({}, []), UsageState.REPORTED, 20)

    def test_statement_alone_counts_after_the_entry_vm_died(self) -> None:
        self.assert_state(self.simulate(None, [{}]), UsageState.STATED, 20)

    def test_agreeing_sources_confirm(self) -> None:
        self.assert_state(self.simulate({}, [{}]), UsageState.CONFIRMED, 20)

    def test_pipeline_confirms_when_all_stages_stated(self) -> None:
        usage = {"targets": ("t1", "t2"), "accelerator_seconds": 1.0}
        stages = [{"layers": 5}, {"target_id": "t2", "layers": 3}]
        cluster = self.simulate(usage, stages[:1])
        self.assert_state(cluster, UsageState.REPORTED, 20)
        cluster = self.simulate(usage, stages)
        self.assert_state(cluster, UsageState.CONFIRMED, 20)

    def test_greater_statement_counts_up_to_the_limit(self) -> None:
        # A target may continue after its connection broke, but it may not
        # charge more than the request allows.
        cluster = self.simulate({}, [{"tokens_out": 30}])
        self.assert_state(cluster, UsageState.DISPUTED, 30)
        cluster = self.simulate({}, [{"tokens_out": 5000}])
        self.assert_state(cluster, UsageState.DISPUTED, 50)

    def test_smaller_statement_does_not_hide_tokens(self) -> None:
        cluster = self.simulate({}, [{"tokens_out": 1}])
        self.assert_state(cluster, UsageState.DISPUTED, 20)
        disputed = cluster.systems["h0"].unsettled(UsageState.DISPUTED)
        self.assertEqual(disputed[0].report.request_id, "r1")

    def test_target_outside_the_chain_adds_nothing(self) -> None:
        changes = {"target_id": "t9", "tokens_out": 45}
        cluster = self.simulate({}, [changes])
        self.assert_state(cluster, UsageState.DISPUTED, 20)

    def test_repeated_statement_through_two_vms_counts_once(self) -> None:
        cluster = self.build_cluster()
        request_id, tag = cluster.dispatch("e0")
        for vm_id in ("e1", "e1", "h2"):
            cluster.systems[vm_id].hear(build_statement(request_id, tag))
        cluster.run(12.0)
        self.assert_totals(cluster, 1, 20)

    def test_unknown_tag_is_rejected(self) -> None:
        cluster = self.build_cluster()
        for tag in ("", "w", "n/w/m/vm/1/x/2", "n/w/m/vm/1/-1/2"):
            statement = build_statement("r", tag)
            self.assertFalse(cluster.systems["e1"].hear(statement))
        self.assertEqual(cluster.systems["e1"].rejected, 4)

    @settings(derandomize=True, deadline=None)
    @given(name=strategies.text(max_size=20))
    def test_tag_survives_a_header(self, name: str) -> None:
        system = LedgerSystem(
            vm_id="vm-1",
            started_ms=START_WALL_CLOCK_MS,
            now=0.0,
            holders=HOLDERS,
        )
        tag = system.assign(name, name, name, 0.0)
        text = format_tag(tag)
        self.assertTrue(text.isascii() and text.isprintable())
        self.assertEqual(parse_tag(text), tag)


class FaultTest(LedgerTestCase):
    """Guards against usage that is lost or counted twice after faults."""

    def test_shares_follow_accelerator_time(self) -> None:
        cluster = self.build_cluster()
        cluster.record("e0", build_usage("a", accelerator_seconds=3.0))
        cluster.record(
            "e0", build_usage("b", neighbour="n2", accelerator_seconds=1.0)
        )
        cluster.run(8.0)
        day = START_WALL_CLOCK_MS // 1000 // 86_400
        shares = cluster.systems["h0"].shares(day)
        self.assertEqual(shares, {"n": 0.75, "n2": 0.25})
        self.assertEqual(cluster.systems["h0"].shares(day - 1), {})

    def test_items_wait_for_a_majority(self) -> None:
        cluster = self.build_cluster()
        cluster.crash("h0")
        cluster.crash("h1")
        cluster.record("e0", build_usage("a"))
        cluster.run(20.0)
        self.assertEqual(len(cluster.systems["e0"].sender.pending), 1)
        cluster.start("h0")
        cluster.run(20.0)
        self.assertEqual(len(cluster.systems["e0"].sender.pending), 0)

    def test_items_are_confirmed_only_after_the_sync(self) -> None:
        cluster = self.build_cluster()
        cluster.sync_crash_rate = 1.0
        cluster.record("e0", build_usage("a"))
        cluster.run(3.0)
        self.assertEqual(len(cluster.systems["e0"].sender.pending), 1)

    def test_holder_that_missed_items_gets_them_from_others(self) -> None:
        cluster = self.build_cluster()
        cluster.crash("h2")
        for number in range(250):
            cluster.record("e0", build_usage(f"x{number}"))
        cluster.run(10.0)
        cluster.crash("e0")
        cluster.start("h2")
        cluster.run(20.0)
        self.assert_totals(cluster, 250, 5000)

    def test_holder_away_for_long_takes_over_a_state(self) -> None:
        # The others have closed the records and dropped the items' content, so
        # the holder needs a snapshot.
        cluster = self.build_cluster()
        cluster.record("e0", build_usage("a"))
        cluster.run(8.0)
        cluster.crash("h2")
        for _ in range(50):
            request_id, tag = cluster.dispatch("e0")
            cluster.record("e0", build_usage(request_id))
            cluster.systems["e1"].hear(build_statement(request_id, tag))
        cluster.run(5.0)
        cluster.network.run_until(
            cluster.network.now + ledger_holders.KEEP_ITEMS_SECONDS
        )
        cluster.run(1.0)
        self.assertEqual(cluster.systems["h0"].holder.kept, {})
        self.assertLessEqual(len(cluster.systems["h0"].holder.table.open), 1)
        cluster.start("h2")
        cluster.record("e1", build_usage("late"))
        cluster.run(30.0)
        self.assert_totals(cluster, 52, 1040)
        for holder in HOLDERS:
            cluster.crash(holder)
            cluster.start(holder)
        self.assert_totals(cluster, 52, 1040)

    def test_late_copy_of_a_closed_record_is_not_counted(self) -> None:
        cluster = self.build_cluster()
        request_id, tag = cluster.dispatch("e0")
        cluster.record("e0", build_usage(request_id))
        cluster.systems["e1"].hear(build_statement(request_id, tag))
        cluster.run(1.0)
        cluster.network.run_until(100.0)
        cluster.run(1.0)
        self.assertEqual(len(cluster.systems["h0"].holder.table.open), 0)
        cluster.start("e1")
        cluster.systems["e1"].hear(build_statement(request_id, tag))
        cluster.run(12.0)
        self.assert_totals(cluster, 1, 20)

    def test_cut_entry_vm_keeps_items_until_the_heal(self) -> None:
        cluster = self.build_cluster()
        cluster.network.cut({"e0"}, set(HOLDERS))
        for number in range(300):
            cluster.record("e0", build_usage(f"x{number}"))
        cluster.run(60.0)
        self.assertEqual(cluster.attempts("h0"), 0)
        cluster.network.cuts.clear()
        cluster.run(20.0)
        self.assert_totals(cluster, 300, 6000)

    def test_full_buffer_drops_new_items_and_counts_them(self) -> None:
        sender = usage_senders.UsageSender(
            vm_id="e0", stream="e0/1", holders=HOLDERS
        )
        item = usage_senders.ReportItem(report=None)
        for _ in range(usage_senders.MAX_PENDING_ITEMS):
            self.assertTrue(sender.put(item))
        self.assertFalse(sender.put(item))
        self.assertEqual(sender.dropped, 1)

    def test_damaged_batch_changes_nothing(self) -> None:
        holder = ledger_holders.LedgerHolder(restored=[])
        good = usage_senders.pack_items([b"a"])
        for items in (b"x", good[:-3], usage_senders.pack_items([b"a", b"b"])):
            batch = ledger_holders.UsageBatch(
                stream="e0/1", sequences=(1,), items=items
            )
            self.assertFalse(holder.on_batch(batch, 0.0))
        self.assertEqual(holder.received, {})

    def test_state_taken_over_does_not_replace_own_items(self) -> None:
        cluster = self.build_cluster()
        cluster.record("e0", build_usage("a"))
        cluster.run(8.0)
        holder = cluster.systems["h0"].holder
        empty = ledger_holders.LedgerHolder(restored=[]).dump()
        self.assertTrue(holder.install_state(empty, 8.0))
        self.assertEqual(cluster.attempts("h0"), 1)
        holder.kept.clear()
        self.assertFalse(holder.install_state(empty, 8.0))
        self.assertEqual(cluster.attempts("h0"), 1)

    def test_compacted_file_restores_the_totals(self) -> None:
        cluster = self.build_cluster()
        for number in range(20):
            cluster.record("e0", build_usage(f"x{number}"))
        cluster.run(10.0)
        for holder in HOLDERS:
            cluster.files[holder].compact(cluster.systems[holder].snapshot())
        cluster.record("e0", build_usage("after"))
        cluster.run(10.0)
        for holder in HOLDERS:
            cluster.crash(holder)
            cluster.start(holder)
        self.assert_totals(cluster, 21, 420)

    @settings(derandomize=True, deadline=None, max_examples=15)
    @given(seed=strategies.integers(0, 10_000))
    def test_each_attempt_counts_once_under_faults(self, seed: int) -> None:
        with tempfile.TemporaryDirectory() as folder:
            cluster = LedgerCluster(pathlib.Path(folder), seed)
            self.run_with_faults(cluster, Random(seed + 1))
            cluster.close()

    def run_with_faults(self, cluster: LedgerCluster, random: Random) -> None:
        """Simulates attempts, crashes, partitions and loss, then a recovery."""
        cluster.network.loss = 0.2
        cluster.network.duplication = 0.2
        cluster.network.max_delay = 0.5
        cluster.sync_crash_rate = 0.02
        everyone = (*HOLDERS, *ENTRIES)
        attempts = 0
        for _ in range(100):
            entry = random.choice(ENTRIES)
            if entry in cluster.systems:
                attempts += self.simulate_attempt(cluster, random, entry)
            down = [vm for vm in everyone if vm not in cluster.systems]
            draw = random.random()
            if down and draw < 0.4:
                cluster.start(random.choice(down))
            elif draw < 0.5:
                cluster.crash(random.choice(HOLDERS))
            elif draw < 0.6:
                side = set(random.sample(everyone, 2))
                cluster.network.cut(side, set(everyone) - side)
            elif draw < 0.8:
                cluster.network.cuts.clear()
            cluster.run(0.3)
        cluster.network.cuts.clear()
        cluster.network.loss = 0.0
        cluster.sync_crash_rate = 0.0
        for vm_id in everyone:
            if vm_id not in cluster.systems:
                cluster.start(vm_id)
        cluster.run(60.0)
        self.assert_totals(cluster, attempts, 20 * attempts)

    def simulate_attempt(
        self, cluster: LedgerCluster, random: Random, entry: str
    ) -> int:
        """Simulates one attempt and returns how many must be counted.

        The entry VM may crash before it reports the attempt. The other entry
        VM has then received the target's statement and sends it.
        """
        request_id, tag = cluster.dispatch(entry)
        receivers = [vm for vm in ENTRIES if vm != entry]
        receiver_id = next(
            (vm for vm in receivers if vm in cluster.systems), None
        )
        if receiver_id is not None and random.random() < 0.7:
            statement = build_statement(request_id, tag)
            cluster.systems[receiver_id].hear(statement)
            if random.random() < 0.2:
                cluster.network.run_until(cluster.network.now + 0.01)
                self.crash_if_idle(cluster, entry)
                return 1
        cluster.record(entry, build_usage(request_id))
        return 1

    def crash_if_idle(self, cluster: LedgerCluster, entry: str) -> None:
        """Crashes an entry VM unless it has unconfirmed items."""
        if not cluster.systems[entry].sender.pending:
            cluster.crash(entry)
