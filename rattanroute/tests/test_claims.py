"""Tests of at-most-once execution by claims of idempotency keys."""

import collections
import dataclasses
import pathlib
from random import Random
import tempfile
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from rattanroute.actions import Action
from rattanroute.actions import AnswerStored
from rattanroute.actions import Claimed
from rattanroute.actions import Execution
from rattanroute.actions import PersistClaims
from rattanroute.messages.claims import ClaimRelease
from rattanroute.messages.claims import ClaimRequest
from rattanroute.messages.claims import CopyPiece
from rattanroute.messages.claims import Outcome
from rattanroute.storage.claim_files import ClaimFile
from rattanroute.storage.records import SystemFileAccess
from rattanroute.systems import claim_holders
from rattanroute.systems.claim_copiers import ClaimCopier
from rattanroute.systems.claim_holders import ClaimHolder
from rattanroute.systems.claim_holders import HolderStatus
from rattanroute.systems.claims import ClaimSystem
from rattanroute.systems.claims import MAX_KEY_BYTES
from rattanroute.systems.holder_sets import choose_home
from rattanroute.systems.holder_sets import HolderSet
from rattanroute.tables.claims import Claim
from rattanroute.tables.requests import RequestKind
from rattanroute.tests.memory_networks import MemoryNetwork
from rattanroute.tests.memory_networks import TICK_SECONDS
from rattanroute.tests.support import build_request

START_WALL_CLOCK_MS = 1_700_000_000_000
CREATED_MS = START_WALL_CLOCK_MS + 10


@dataclasses.dataclass(kw_only=True)
class ClaimCluster:
    """Simulates holders h0, h1 ... of data centre dc-a, entry VMs, a target.

    Attributes:
        count: Number of holders.
        durable: Whether holders write a file.
        seed: Seed of all injected faults.
        entries: Identifiers of the entry VMs.
        max_claims: Maximum number of claims at a holder.
        runs: Number of runs at the target, by key and content; the key
            includes the workspace.
        requests: Entry VM, key and content of each request.
        decisions: Decision on each request.
        stored: Whether the answer of each request was stored.
        violations: Decisions that break a guarantee.
        auto_run: Whether granted requests run immediately.
        sync_crash_rate: Chance that a VM crashes instead of a sync.
    """

    count: int = 3
    durable: bool = False
    seed: int = 1
    entries: tuple[str, ...] = ("e0", "e1")
    max_claims: int = 1000

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.network = MemoryNetwork(random=self.random, deliver=self.deliver)
        self.holder_ids = tuple(f"h{i}" for i in range(self.count))
        self.systems: dict[str, ClaimSystem] = {}
        self.files: dict[str, list[bytes]] = {}
        self.created_ms = CREATED_MS
        self.runs: collections.Counter[tuple[str, str]] = collections.Counter()
        self.requests: dict[str, tuple[str, tuple[str, str]]] = {}
        self.decisions: dict[str, Claimed] = {}
        self.stored: dict[str, bool] = {}
        self.violations: list[str] = []
        self.auto_run = True
        self.sync_crash_rate = 0.0
        for vm_id in (*self.holder_ids, *self.entries):
            self.start(vm_id)
        self.run(1.2)

    def start(self, vm_id: str) -> None:
        """Starts a VM, with the records of its file if it has one."""
        self.systems[vm_id] = ClaimSystem(
            vm_id=vm_id,
            data_centres=("dc-a", "dc-b"),
            claim_holders={"dc-a": self.holder_ids},
            created_ms={"dc-a": self.created_ms},
            started_ms=START_WALL_CLOCK_MS + int(self.network.now * 1000),
            now=self.network.now,
            durable=self.durable and vm_id in self.holder_ids,
            restored=self.files.get(vm_id),
            max_claims=self.max_claims,
        )

    def crash(self, vm_id: str) -> None:
        """Stops a VM without a handover."""
        self.systems.pop(vm_id, None)

    def deliver(self, sender: str, receiver: str, message: object) -> None:
        """Delivers a message to a VM if it is running."""
        system = self.systems.get(receiver)
        if system is not None:
            now = self.network.now
            self.execute(
                receiver,
                system.receive(peer=sender, message=message, now=now),
            )

    def execute(self, vm_id: str, actions: list[Action]) -> None:
        """Executes actions of a VM; a sync may crash it."""
        for action in self.network.take_actions(vm_id, actions):
            if isinstance(action, PersistClaims):
                if self.random.random() < self.sync_crash_rate:
                    self.crash(vm_id)
                    return
                self.files.setdefault(vm_id, []).extend(action.records)
                system = self.systems[vm_id]
                now = self.network.now
                self.execute(
                    vm_id, system.persisted(ticket=action.ticket, now=now)
                )
            elif isinstance(action, AnswerStored):
                self.stored[action.request_id] = action.stored
            elif isinstance(action, Claimed):
                self.conclude(vm_id, action)

    def conclude(self, vm_id: str, decision: Claimed) -> None:
        """Checks a decision and runs the request if it is granted."""
        request_id = decision.request_id
        self.decisions[request_id] = decision
        _, work = self.requests[request_id]
        if decision.answer is not None and decision.answer != answer_of(work):
            self.violations.append(f"{request_id}: wrong answer")
        refusal = decision.refusal
        not_run = refusal and refusal.execution == Execution.NOT_RUN
        if not_run and self.runs[work]:
            self.violations.append(f"{request_id}: false not_run")
        if decision.granted and self.auto_run:
            self.run_target(vm_id, request_id)

    def run_target(self, vm_id: str, request_id: str) -> None:
        """Runs a request at the target and stores its answer."""
        _, work = self.requests[request_id]
        self.runs[work] += 1
        system = self.systems[vm_id]
        now = self.network.now
        self.execute(
            vm_id, system.store_answer(request_id, answer_of(work), now)
        )

    def claim(
        self, vm_id: str, key: str, content: str = "c", **changes: object
    ) -> str:
        """Sends a request to an entry VM and returns its identifier."""
        request_id = f"r{len(self.requests)}"
        now = self.network.now
        request = build_request(
            request_id,
            kind=RequestKind.SERVICE,
            repeatable=False,
            idempotency_key=key,
            deadline=now + 30.0,
            **changes,
        )
        self.requests[request_id] = (vm_id, (request.workspace + key, content))
        self.execute(
            vm_id,
            self.systems[vm_id].claim(
                request=request, content_hash=content, now=now
            ),
        )
        return request_id

    def run(self, seconds: float) -> None:
        """Advances the time of all VMs."""
        end = self.network.now + seconds
        while self.network.now < end - 1e-9:
            self.network.run_until(self.network.now + TICK_SECONDS)
            for vm_id, system in list(self.systems.items()):
                self.execute(vm_id, system.tick(now=self.network.now))

    def ask(self, vm_id: str, key: str, content: str = "c") -> Claimed:
        """Sends a request and returns the decision after 3 s."""
        request_id = self.claim(vm_id, key, content)
        self.run(3.0)
        return self.decisions[request_id]

    def refusal_type(self, decision: Claimed) -> str:
        """Returns the type of a decision's refusal."""
        return decision.refusal.type if decision.refusal else ""

    def status(self, vm_id: str) -> HolderStatus:
        """Returns the status of a holder."""
        return self.systems[vm_id].get_status()["dc-a"]


def answer_of(work: tuple[str, str]) -> bytes:
    """Returns the target's answer to a key and content."""
    return f"answer to {work}".encode()


class HomeTest(unittest.TestCase):
    """Guards against VMs that disagree on the home of a key."""

    def test_prefix_names_the_home_only_if_configured(self) -> None:
        names = ("dc-a", "dc-b", "dc-c")
        self.assertEqual(choose_home("dc-b/order-1", names), "dc-b")
        hashed = choose_home("dc-x/order-1", names)
        self.assertEqual(choose_home("dc-x/order-1", names[::-1]), hashed)

    def test_removing_a_data_centre_moves_only_its_keys(self) -> None:
        names = ("dc-a", "dc-b", "dc-c")
        for i in range(100):
            home = choose_home(f"k{i}", names)
            if home != "dc-c":
                self.assertEqual(choose_home(f"k{i}", names[:2]), home)

    def test_even_holder_sets_are_refused(self) -> None:
        with self.assertRaises(ValueError):
            HolderSet(home="dc-a", holders=("a", "b"))


class ClaimTest(unittest.TestCase):
    """Guards against second runs and wrong refusals in single scenarios."""

    def assert_no_violations(self, cluster: ClaimCluster) -> None:
        self.assertEqual(cluster.violations, [])
        self.assertLessEqual(max(cluster.runs.values(), default=0), 1)

    def test_repeat_gets_the_first_answer_at_any_vm(self) -> None:
        cluster = ClaimCluster()
        first = cluster.claim("e0", "dc-a/k")
        cluster.run(1.0)
        self.assertTrue(cluster.decisions[first].granted)
        self.assertTrue(cluster.stored[first])
        for vm_id in ("e0", "e1", "h2"):
            decision = cluster.ask(vm_id, "dc-a/k")
            self.assertEqual(decision.answer, answer_of(("wdc-a/k", "c")))
        self.assert_no_violations(cluster)

    def test_other_content_is_refused_as_reuse(self) -> None:
        cluster = ClaimCluster()
        cluster.ask("e0", "dc-a/k")
        refusal = cluster.ask("e1", "dc-a/k", "other").refusal
        self.assertEqual(refusal.type, "idempotency_key_reused")
        self.assertEqual(refusal.status, 422)
        self.assertEqual(refusal.execution, Execution.NOT_RUN)

    def test_reuse_of_an_open_claim_does_not_say_not_run(self) -> None:
        # The open claim may be released, after which the other content may run.
        cluster = ClaimCluster()
        cluster.auto_run = False
        cluster.ask("e0", "dc-a/k")
        refusal = cluster.ask("e1", "dc-a/k", "other").refusal
        self.assertEqual(refusal.status, 422)
        self.assertEqual(refusal.execution, Execution.UNKNOWN)

    def test_workspaces_do_not_share_keys(self) -> None:
        cluster = ClaimCluster()
        cluster.ask("e0", "dc-a/k")
        other = cluster.claim("e0", "dc-a/k", workspace="w2")
        cluster.run(1.0)
        self.assertTrue(cluster.decisions[other].granted)

    def test_repeat_while_the_first_runs_is_in_progress(self) -> None:
        cluster = ClaimCluster()
        cluster.auto_run = False
        self.assertTrue(cluster.ask("e0", "dc-a/k").granted)
        refusal = cluster.ask("e1", "dc-a/k").refusal
        self.assertEqual(refusal.type, "in_progress")
        self.assertEqual(refusal.execution, Execution.UNKNOWN)
        self.assertIsNotNone(refusal.retry_after_s)

    def test_racing_claimants_get_one_grant_at_most(self) -> None:
        for seed in range(30):
            cluster = ClaimCluster(seed=seed)
            for vm_id in ("e0", "e1", "h0", "h1"):
                cluster.claim(vm_id, "dc-a/k")
            cluster.run(4.0)
            self.assert_no_violations(cluster)
            # Refused requests release their grants, so the key is not blocked.
            decision = cluster.ask("e1", "dc-a/k")
            self.assertTrue(decision.granted or decision.answer, seed)
            self.assert_no_violations(cluster)

    def test_released_claim_may_run_on_retry(self) -> None:
        cluster = ClaimCluster()
        cluster.auto_run = False
        first = cluster.claim("e0", "dc-a/k")
        cluster.run(1.0)
        now = cluster.network.now
        cluster.execute("e0", cluster.systems["e0"].release_request(first, now))
        cluster.run(1.0)
        self.assertTrue(cluster.ask("e1", "dc-a/k").granted)

    def test_dead_claimant_leaves_the_key_unknown(self) -> None:
        cluster = ClaimCluster()
        cluster.auto_run = False
        self.assertTrue(cluster.ask("e0", "dc-a/k").granted)
        cluster.crash("e0")
        cluster.run(40.0)
        refusal = cluster.ask("e1", "dc-a/k").refusal
        self.assertEqual(refusal.type, "outcome_unknown")
        self.assertEqual(refusal.execution, Execution.UNKNOWN)

    def test_reported_unknown_is_told_before_the_deadline(self) -> None:
        cluster = ClaimCluster()
        cluster.auto_run = False
        first = cluster.claim("e0", "dc-a/k")
        cluster.run(1.0)
        now = cluster.network.now
        cluster.execute("e0", cluster.systems["e0"].mark_unknown(first, now))
        cluster.run(1.0)
        decision = cluster.ask("e1", "dc-a/k")
        self.assertEqual(cluster.refusal_type(decision), "outcome_unknown")

    def test_partition_serves_its_own_keys_and_refuses_elsewhere(self) -> None:
        cluster = ClaimCluster(entries=("e0", "far"))
        cluster.network.cut({"far"}, {"e0", *cluster.holder_ids})
        self.assertTrue(cluster.ask("e0", "dc-a/k").granted)
        refusal = cluster.ask("far", "dc-a/k").refusal
        self.assertEqual(refusal.type, "claim_unreachable")
        self.assertEqual(refusal.execution, Execution.UNKNOWN)
        self.assert_no_violations(cluster)

    def test_one_holder_down_does_not_stop_claims(self) -> None:
        cluster = ClaimCluster()
        cluster.crash("h1")
        decision = cluster.ask("e0", "dc-a/k")
        self.assertTrue(decision.granted)
        self.assertTrue(cluster.stored[decision.request_id])

    def test_memory_lost_one_at_a_time_forgets_nothing(self) -> None:
        for count in (3, 5):
            cluster = ClaimCluster(count=count)
            cluster.ask("e0", "dc-a/k")
            for vm_id in cluster.holder_ids * 2:
                cluster.crash(vm_id)
                cluster.run(0.5)
                cluster.start(vm_id)
                cluster.run(2.0)
                self.assertEqual(cluster.status(vm_id), HolderStatus.INTACT)
            decision = cluster.ask("e1", "dc-a/k")
            self.assertEqual(decision.answer, answer_of(("wdc-a/k", "c")))

    def test_memory_lost_at_more_holders_stops_grants(self) -> None:
        # Without the declared time, a loss at all holders could not be told
        # from the first start of the set.
        for lost in (("h0", "h1"), ("h0", "h1", "h2")):
            cluster = ClaimCluster()
            cluster.ask("e0", "dc-a/k")
            for vm_id in lost:
                cluster.crash(vm_id)
                cluster.start(vm_id)
            cluster.run(5.0)
            self.assertEqual(cluster.status("h0"), HolderStatus.RECOVERING)
            refusal = cluster.ask("e1", "dc-a/k2").refusal
            self.assertEqual(refusal.execution, Execution.UNKNOWN)
            self.assertFalse(cluster.ask("e1", "dc-a/k").granted)
            self.assert_no_violations(cluster)

    def test_files_survive_the_loss_of_all_processes(self) -> None:
        cluster = ClaimCluster(durable=True)
        cluster.ask("e0", "dc-a/k")
        for vm_id in cluster.holder_ids:
            cluster.crash(vm_id)
        for vm_id in cluster.holder_ids:
            cluster.start(vm_id)
        decision = cluster.ask("e1", "dc-a/k")
        self.assertEqual(decision.answer, answer_of(("wdc-a/k", "c")))

    def test_snapshot_restores_the_same_claims(self) -> None:
        cluster = ClaimCluster(durable=True)
        cluster.ask("e0", "dc-a/k")
        for vm_id in cluster.holder_ids:
            cluster.files[vm_id] = cluster.systems[vm_id].snapshot()
            cluster.crash(vm_id)
            cluster.start(vm_id)
        self.assertIsNotNone(cluster.ask("e1", "dc-a/k").answer)

    def test_failed_file_stops_the_holder(self) -> None:
        # A restart would treat the outdated file as complete.
        cluster = ClaimCluster(durable=True)
        cluster.systems["h0"].storage_failed()
        cluster.systems["h1"].storage_failed()
        decision = cluster.ask("e0", "dc-a/k")
        self.assertEqual(cluster.refusal_type(decision), "claim_unreachable")

    def test_late_start_is_a_loss_and_early_start_founds(self) -> None:
        cluster = ClaimCluster(count=1)
        self.assertEqual(cluster.status("h0"), HolderStatus.INTACT)
        cluster.crash("h0")
        cluster.start("h0")
        cluster.run(5.0)
        self.assertEqual(cluster.status("h0"), HolderStatus.RECOVERING)

    def test_lost_memory_expires_with_the_retention(self) -> None:
        cluster = ClaimCluster(count=1)
        cluster.crash("h0")
        cluster.start("h0")
        cluster.network.run_until(claim_holders.KEY_RETENTION_SECONDS + 60.0)
        cluster.run(0.2)
        self.assertEqual(cluster.status("h0"), HolderStatus.INTACT)

    def test_grant_before_loss_does_not_count_after_recovery(self) -> None:
        # h0 grants and loses its memory; h1 and h2 may receive the request
        # only after they served h0's copy. If h0's first grant counted, a
        # second request could get h0 and h2 as another majority.
        cluster = ClaimCluster()
        cluster.auto_run = False
        cluster.network.cut({"e0"}, {"h1", "h2"})
        first = cluster.claim("e0", "dc-a/k")
        cluster.run(0.2)
        cluster.network.cuts.clear()
        cluster.network.cut({"e0"}, {"h0", "h1", "h2"})
        cluster.crash("h0")
        cluster.start("h0")
        cluster.run(0.8)
        self.assertEqual(cluster.status("h0"), HolderStatus.INTACT)
        cluster.network.cuts.clear()
        cluster.network.cut({"e0"}, {"h0", "h2"})
        cluster.run(0.9)
        second = cluster.ask("e1", "dc-a/k")
        granted = cluster.decisions[first].granted + second.granted
        self.assertLessEqual(granted, 1)

    def test_planned_stop_hands_claims_over(self) -> None:
        cluster = ClaimCluster()
        cluster.network.cut({"e0"}, {"h2"})
        cluster.ask("e0", "dc-a/k")
        self.assertEqual(len(cluster.systems["h2"].holders["dc-a"].table), 0)
        now = cluster.network.now
        cluster.execute("h0", cluster.systems["h0"].start_handover(now))
        cluster.run(1.0)
        self.assertTrue(cluster.systems["h0"].is_handover_finished(now + 1.0))
        self.assertEqual(len(cluster.systems["h2"].holders["dc-a"].table), 1)

    def test_full_table_refuses_and_keeps_young_keys(self) -> None:
        cluster = ClaimCluster(max_claims=2)
        for key in ("dc-a/1", "dc-a/2"):
            self.assertTrue(cluster.ask("e0", key).granted)
        refusal = cluster.ask("e0", "dc-a/3").refusal
        self.assertEqual(refusal.type, "claims_full")
        self.assertEqual(refusal.execution, Execution.NOT_RUN)
        self.assertIsNotNone(cluster.ask("e0", "dc-a/1").answer)

    def test_keys_expire_after_the_retention(self) -> None:
        cluster = ClaimCluster()
        cluster.ask("e0", "dc-a/k")
        cluster.network.run_until(claim_holders.KEY_RETENTION_SECONDS + 60.0)
        cluster.run(0.1)
        self.assertEqual(len(cluster.systems["h0"].holders["dc-a"].table), 0)

    def test_unusable_keys_are_refused_at_once(self) -> None:
        cluster = ClaimCluster()
        for key in ("", "k" * (MAX_KEY_BYTES + 1)):
            request_id = cluster.claim("e0", key)
            refusal = cluster.decisions[request_id].refusal
            self.assertEqual(refusal.status, 400)
        request_id = cluster.claim("e0", "dc-b/k")
        refusal = cluster.decisions[request_id].refusal
        self.assertEqual(refusal.type, "claim_unreachable")

    def test_large_answer_is_not_kept_but_never_run_again(self) -> None:
        cluster = ClaimCluster()
        cluster.auto_run = False
        first = cluster.claim("e0", "dc-a/k")
        cluster.run(1.0)
        answer = b"x" * (claim_holders.MAX_ANSWER_BYTES + 1)
        now = cluster.network.now
        cluster.execute(
            "e0", cluster.systems["e0"].store_answer(first, answer, now)
        )
        cluster.run(1.0)
        self.assertFalse(cluster.stored[first])
        decision = cluster.ask("e1", "dc-a/k")
        self.assertEqual(cluster.refusal_type(decision), "answer_not_kept")

    def test_other_holder_set_is_not_mixed_in(self) -> None:
        cluster = ClaimCluster()
        cluster.created_ms += 1
        cluster.start("e1")
        decision = cluster.ask("e1", "dc-a/k")
        self.assertEqual(cluster.refusal_type(decision), "claim_unreachable")
        self.assertGreater(cluster.systems["h0"].mismatches, 0)


def build_holder(index: int = 0, count: int = 3) -> ClaimHolder:
    """Builds an intact holder of a set with `count` holders."""
    holder_set = HolderSet(
        home="dc-a",
        holders=tuple(f"h{i}" for i in range(count)),
        created_ms=CREATED_MS,
    )
    holder = ClaimHolder(
        vm_id=f"h{index}", holder_set=holder_set, started_ms=START_WALL_CLOCK_MS
    )
    holder.tick(CREATED_MS + 5000)
    return holder


def build_claim(grant_id: str) -> Claim:
    """Builds an open claim of the key `k`."""
    return Claim(
        key_id=b"k",
        grant_id=grant_id,
        content_hash="c",
        created_ms=CREATED_MS,
        deadline_ms=CREATED_MS,
    )


class HolderTest(unittest.TestCase):
    """Guards against faults of one holder that simulations rarely hit."""

    def test_releasing_one_of_two_copied_grants_keeps_the_other(self) -> None:
        # Either grant may have won; dropping it would allow a second run.
        for dropped, kept in (("g1", "g2"), ("g2", "g1")):
            holder = build_holder()
            holder.merge(build_claim("g1"), CREATED_MS)
            holder.merge(build_claim("g2"), CREATED_MS)
            release = ClaimRelease(
                home="dc-a", set_id=0, key_id=b"k", grant_id=dropped
            )
            holder.on_release(release, CREATED_MS)
            self.assertEqual(holder.table.get(b"k").grant_id, kept)

    def test_request_after_its_release_is_not_granted(self) -> None:
        holder = build_holder()
        names = {"home": "dc-a", "set_id": 0, "key_id": b"k", "grant_id": "g"}
        holder.on_release(ClaimRelease(**names), CREATED_MS)
        request = ClaimRequest(**names, content_hash="c", remaining_ms=1000)
        reply = holder.on_request(request, CREATED_MS)
        self.assertEqual(reply.outcome, Outcome.ABSTAINED)

    def test_copy_of_a_source_that_lost_memory_since_is_repeated(self) -> None:
        # The source lost its memory after it served the copy, so it may have
        # granted a key again without knowing the copying holder's epoch.
        holder = build_holder(0, 5)
        holder.status = HolderStatus.RECOVERING
        copier = ClaimCopier(holder=holder)
        mine = holder.epoch
        for index, epochs in (
            (1, (mine, 10, 0, 0, 0)),
            (2, (mine, 10, 10, 0, 0)),
            (3, (mine, 11, 10, 10, 0)),
        ):
            piece = CopyPiece(
                home="dc-a",
                set_id=0,
                epoch=mine,
                epochs=epochs,
                cursor=0,
                next_cursor=0,
                claims=(),
                done=True,
            )
            copier.on_piece(index, piece, 0.0, CREATED_MS)
        self.assertEqual(holder.status, HolderStatus.RECOVERING)
        self.assertFalse(copier.progress[1].done)

    def test_epoch_below_an_earlier_one_is_raised(self) -> None:
        # A clock that is set back across a restart gives a smaller epoch.
        source = build_holder(1)
        source.epochs[0] = START_WALL_CLOCK_MS + 1000
        lost = build_holder(0)
        lost.status = HolderStatus.RECOVERING
        copier = ClaimCopier(holder=lost)
        _, request = copier.tick(0.0)[0]
        piece = ClaimCopier(holder=source).serve(0, request, 0.0)
        copier.on_piece(1, piece, 0.0, CREATED_MS)
        self.assertEqual(lost.epoch, START_WALL_CLOCK_MS + 1001)


class ClaimFileTest(unittest.TestCase):
    """Guards against lost records and against the use of damaged files."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def open(self) -> ClaimFile:
        file = ClaimFile(self.folder, files=SystemFileAccess())
        self.addCleanup(file.close)
        return file

    def test_records_survive_reopening_and_compaction(self) -> None:
        file = self.open()
        self.assertIsNone(file.restored)
        file.write((b"a", b"b"))
        self.assertEqual(self.open().restored, [b"a", b"b"])
        file.compact([b"c"])
        file.write((b"d",))
        self.assertEqual(self.open().restored, [b"c", b"d"])

    def test_damaged_file_counts_as_lost_memory(self) -> None:
        file = self.open()
        file.write((b"a" * 100, b"b" * 100))
        data = bytearray(file.path.read_bytes())
        data[60] ^= 1
        file.path.write_bytes(bytes(data))
        self.assertIsNone(self.open().restored)
        self.assertTrue(file.path.with_suffix(".damaged").exists())


class ChaosTest(unittest.TestCase):
    """Guards against second runs under random combinations of faults."""

    keys = 4

    def simulate(
        self, *, seed: int, count: int, durable: bool, losses: int
    ) -> ClaimCluster:
        """Simulates requests, crashes, restarts, partitions and releases."""
        cluster = ClaimCluster(count=count, durable=durable, seed=seed)
        cluster.auto_run = False
        cluster.sync_crash_rate = 0.01
        cluster.network.loss = 0.1
        cluster.network.duplication = 0.1
        cluster.network.max_delay = 0.4
        random = Random(seed + 1)
        vms = [*cluster.holder_ids, *cluster.entries]
        for _ in range(120):
            self.inject_fault(cluster, random, vms, losses)
            up = [vm for vm in vms if vm in cluster.systems]
            if up:
                key = f"dc-a/{random.randrange(self.keys)}"
                content = random.choice("aab")
                cluster.claim(random.choice(up), key, content)
            cluster.run(random.choice((0.05, 0.1, 0.3)))
            self.finish_granted(cluster, random)
        self.assertEqual(cluster.violations, [])
        for work, runs in cluster.runs.items():
            self.assertLessEqual(runs, 1, work)
        keys = collections.Counter(key for key, _ in cluster.runs)
        self.assertLessEqual(max(keys.values(), default=0), 1)
        return cluster

    def inject_fault(
        self, cluster: ClaimCluster, random: Random, vms: list[str], losses: int
    ) -> None:
        """Injects at most one random fault or repair."""
        draw = random.random()
        down = [vm for vm in vms if vm not in cluster.systems]
        if down and draw < 0.5:
            cluster.start(random.choice(down))
        elif draw < 0.6 and len(down) < losses:
            cluster.crash(random.choice(vms))
        elif draw < 0.7:
            side = set(random.sample(vms, random.randrange(len(vms))))
            cluster.network.cut(side, set(vms) - side)
        elif draw < 0.85:
            cluster.network.cuts.clear()
        elif draw < 0.87:
            vm_id = random.choice(vms)
            if vm_id in cluster.systems:
                now = cluster.network.now
                cluster.execute(
                    vm_id, cluster.systems[vm_id].start_handover(now)
                )

    def finish_granted(self, cluster: ClaimCluster, random: Random) -> None:
        """Runs or releases granted requests, or crashes their entry VMs."""
        for request_id, decision in list(cluster.decisions.items()):
            if not decision.granted:
                continue
            del cluster.decisions[request_id]
            vm_id, work = cluster.requests[request_id]
            system = cluster.systems.get(vm_id)
            if system is None or request_id not in system.claimants:
                continue
            draw = random.random()
            now = cluster.network.now
            if draw < 0.3:
                cluster.execute(vm_id, system.release_request(request_id, now))
            elif draw < 0.8:
                cluster.run_target(vm_id, request_id)
            elif draw < 0.9:
                cluster.runs[work] += 1
                cluster.execute(vm_id, system.mark_unknown(request_id, now))
            else:
                cluster.runs[work] += 1
                cluster.crash(vm_id)

    @settings(derandomize=True, deadline=None, max_examples=40)
    @given(
        seed=strategies.integers(0, 10_000),
        count=strategies.sampled_from((1, 3, 5)),
        durable=strategies.booleans(),
        losses=strategies.integers(0, 3),
    )
    def test_no_key_runs_twice(
        self, seed: int, count: int, durable: bool, losses: int
    ) -> None:
        self.simulate(seed=seed, count=count, durable=durable, losses=losses)

    def test_requests_still_run_under_faults(self) -> None:
        # A system that refuses every request would pass the test above.
        runs = 0
        self.keys = 40
        for seed in range(5):
            cluster = self.simulate(seed=seed, count=3, durable=False, losses=1)
            runs += sum(cluster.runs.values())
        self.assertGreater(runs, 20)
