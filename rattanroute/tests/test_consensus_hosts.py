"""Tests of consensus hosts with real files and a simulated network."""

import asyncio
import pathlib
import random
import shutil
import tempfile
import unittest
from unittest import mock

from expression import Result
from loguru import logger

from rattanroute import codecs
from rattanroute.actions import SendMessage
from rattanroute.consensus import storages
from rattanroute.consensus.hosts import ConsensusHost
from rattanroute.consensus.proposals import Outcome
from rattanroute.errors import RouterError
from rattanroute.errors import StorageError
from rattanroute.messages.consensus import ProposeRequest
from rattanroute.messages.consensus import ReadResponse
from rattanroute.storage.records import SystemFileAccess
from rattanroute.tests.test_records import FaultyFileAccess
from rattanroute.tests.test_records import Killed

LARGE_CHANGES = 30
LARGE_CHANGE_BYTES = 600_000
STEP_SECONDS = 0.05


class History:
    """A state machine that stores all proposals."""

    def __init__(self) -> None:
        self.items: list[bytes] = []

    def apply(self, index: int, data: bytes) -> object:
        """Appends a proposal; returns its position."""
        self.items.append(data)
        return len(self.items)

    def snapshot(self) -> bytes:
        """Returns all proposals."""
        return b"\n".join(self.items)

    def restore(self, data: bytes) -> None:
        """Replaces all proposals."""
        self.items = data.split(b"\n") if data else []


class HostTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs hosts in virtual time.

    Attributes:
        now: Virtual time, in seconds.
        hosts: Running hosts by VM.
        files: File access of each VM.
        in_flight: Sender, receiver and content of undelivered messages.
        isolated_vms: VMs that can neither send nor receive messages.
    """

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = pathlib.Path(folder.name)
        self.now = 100.0
        self.rng = random.Random(11)
        self.hosts: dict[str, ConsensusHost] = {}
        self.files: dict[str, SystemFileAccess] = {}
        self.in_flight: list[tuple[str, str, object]] = []
        self.isolated_vms: set[str] = set()
        self.first_voters = ("v0", "v1", "v2")
        self.addCleanup(self.close_all)
        # These tests cause storage failures on purpose, so their log events
        # are disabled.
        logger.disable("rattanroute.consensus")
        self.addCleanup(logger.enable, "rattanroute.consensus")

    async def asyncSetUp(self) -> None:
        # In debug mode asyncio warns about each slow file operation.
        asyncio.get_running_loop().set_debug(False)

    def close_all(self) -> None:
        """Closes all data folders."""
        for host in self.hosts.values():
            host.close()

    def start(self, vm_id: str, files: SystemFileAccess | None = None) -> None:
        """Starts a host on the folder of its VM."""
        self.files[vm_id] = files or FaultyFileAccess()
        self.hosts[vm_id] = ConsensusHost(
            vm_id=vm_id,
            folder=self.root / vm_id,
            machine=History(),
            rng=random.Random(self.rng.random()),
            now=self.now,
            bootstrap_voters=self.first_voters,
            files=self.files[vm_id],
            clock=lambda: self.now,
            send=lambda actions: self.post(vm_id, actions),
        )

    def stop(self, vm_id: str, *, lose_folder: bool = False) -> None:
        """Stops a host without a clean end, and may delete its folder."""
        self.hosts.pop(vm_id).close()
        if lose_folder:
            shutil.rmtree(self.root / vm_id)

    def post(self, source: str, actions: list[object]) -> None:
        """Encodes, decodes and sends messages unless a VM is isolated."""
        for action in actions:
            assert isinstance(action, SendMessage)
            if source in self.isolated_vms or action.peer in self.isolated_vms:
                continue
            kind, body = codecs.encode(action.message)
            message = codecs.decode(kind=kind, body=body, peer=source)
            self.in_flight.append((source, action.peer, message))

    async def run_for(self, seconds: float) -> None:
        """Runs all hosts for a virtual time, in seconds."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            for vm_id, host in list(self.hosts.items()):
                self.run_host(vm_id, lambda h: h.tick(now=self.now), host)
            for _ in range(8):
                await asyncio.sleep(0)
                in_flight, self.in_flight = self.in_flight, []
                for source, target, message in in_flight:
                    self.deliver(source, target, message)

    def deliver(self, source: str, target: str, message: object) -> None:
        """Passes a message to a running host."""
        host = self.hosts.get(target)
        if host is not None:
            self.run_host(
                target,
                lambda h: h.receive(peer=source, message=message, now=self.now),
                host,
            )

    def run_host(self, vm_id: str, call: object, host: ConsensusHost) -> None:
        """Calls a host and sends the result; stops the host if it is killed."""
        try:
            self.post(vm_id, call(host))
        except Killed:
            self.stop(vm_id)

    async def run_until(self, task: asyncio.Task) -> object:
        """Runs all hosts until a task has ended."""
        for _ in range(2000):
            if task.done():
                return task.result()
            await self.run_for(STEP_SECONDS)
        raise AssertionError("the task does not end")

    async def propose(
        self, vm_id: str, data: bytes, timeout_s: float = 60
    ) -> Result[object, RouterError]:
        """Proposes at a host and returns the result."""
        host = self.hosts[vm_id]
        task = asyncio.create_task(host.propose(data, timeout_s))
        return await self.run_until(task)

    async def start_all(self) -> str:
        """Starts the first voters; returns the leader."""
        for vm_id in self.first_voters:
            self.start(vm_id)
        await self.run_for(6)
        return self.find_leader()

    def find_leader(self) -> str:
        """Returns the VM that holds the leader lease, or ""."""
        for vm_id, host in self.hosts.items():
            if host.is_leader_with_lease(self.now):
                return vm_id
        return ""


class SingleVoterTest(HostTestCase):
    """Guards against changes that are accepted before they are durable."""

    def setUp(self) -> None:
        super().setUp()
        self.first_voters = ("v0",)

    async def test_changes_survive_a_restart(self) -> None:
        self.start("v0")
        items = [b"change %d" % number for number in range(300)]
        for item in items:
            self.assertTrue((await self.propose("v0", item)).is_ok())
        self.stop("v0")
        self.start("v0")
        await self.run_for(1)
        self.assertEqual(self.hosts["v0"].machine.items, items)

    async def test_failed_storage_accepts_nothing_and_recovers(self) -> None:
        for fault in ("full", "sync_fails"):
            self.start("v0")
            host, files = self.hosts["v0"], self.files["v0"]
            await self.run_for(1)
            setattr(files, fault, True)
            result = await self.propose("v0", b"lost " + fault.encode())
            self.assertTrue(result.is_error())
            self.assertFalse(host.is_leader_with_lease(self.now))
            setattr(files, fault, False)
            await self.run_for(3)
            result = await self.propose("v0", b"kept " + fault.encode())
            self.assertTrue(result.is_ok())
            kept = host.machine.items
            self.assertEqual(len(kept), len(set(kept)))
            self.stop("v0")
        self.start("v0")
        await self.run_for(1)
        items = self.hosts["v0"].machine.items
        self.assertEqual(items, [b"kept full", b"kept sync_fails"])

    async def test_large_changes_are_not_kept_behind_a_snapshot(self) -> None:
        """Guards against logs of large changes that fill memory and disk."""
        self.start("v0")
        await self.run_for(3)
        for number in range(LARGE_CHANGES):
            data = bytes([number]) * LARGE_CHANGE_BYTES
            self.assertTrue((await self.propose("v0", data)).is_ok())
            await self.run_for(STEP_SECONDS)
        most = storages.COMPACT_AFTER_BYTES + storages.KEEP_BYTES
        entries = self.hosts["v0"].node.state.log.entries
        kept = sum(len(x.data) for x in entries)
        self.assertLess(kept, most + LARGE_CHANGE_BYTES)

    async def test_kill_at_every_write_keeps_accepted_changes(self) -> None:
        patch = mock.patch.object(storages, "COMPACT_AFTER_ENTRIES", 5)
        with patch:
            for number in range(400):
                shutil.rmtree(self.root / "v0", ignore_errors=True)
                files = FaultyFileAccess(
                    number // 2, power_loss=number % 2 == 1
                )
                accepted = await self.propose_until_killed(files)
                self.start("v0")
                await self.run_for(2 * STEP_SECONDS)
                items = self.hosts["v0"].machine.items
                self.assertEqual(items[: len(accepted)], accepted)
                self.assertLessEqual(len(items), len(accepted) + 1)
                self.stop("v0")
                if files.operations <= files.kill_at:
                    break
            self.assertGreater(number, 50)

    async def propose_until_killed(
        self, files: FaultyFileAccess
    ) -> list[bytes]:
        """Proposes changes; returns those accepted before the kill."""
        accepted: list[bytes] = []
        try:
            self.start("v0", files)
        except Killed:
            return accepted
        self.hosts["v0"].send = None
        for number in range(8):
            host = self.hosts["v0"]
            data = b"%d" % number
            task = asyncio.create_task(host.propose(data, 60))
            await self.run_for(STEP_SECONDS * 2)
            if "v0" not in self.hosts:
                task.cancel()
                return accepted
            self.assertTrue(task.result().is_ok())
            accepted.append(data)
        self.stop("v0")
        return accepted


class ThreeVotersTest(HostTestCase):
    """Guards against wrong outcomes of proposals and reads."""

    async def test_follower_gets_result_and_reads_it(self) -> None:
        leader = await self.start_all()
        follower = next(v for v in self.first_voters if v != leader)
        for number in range(3):
            result = await self.propose(follower, b"%d" % number)
            self.assertEqual(result.ok, number + 1)
        other = next(
            v for v in self.first_voters if v not in (leader, follower)
        )
        for vm_id in (other, leader):
            host = self.hosts[vm_id]
            read = asyncio.create_task(host.read_barrier(60))
            self.assertTrue((await self.run_until(read)).is_ok())
            self.assertEqual(host.machine.items, [b"0", b"1", b"2"])

    async def test_read_waits_until_its_index_is_applied(self) -> None:
        leader = await self.start_all()
        follower = next(v for v in self.first_voters if v != leader)
        host = self.hosts[follower]
        self.isolated_vms.add(follower)
        read = asyncio.create_task(host.read_barrier(60))
        await self.run_for(STEP_SECONDS)
        response = ReadResponse(
            request_id=host.requests.reads[0].request_id,
            index=host.applied_index + 1,
        )
        self.deliver(leader, follower, response)
        await self.run_for(1)
        self.assertFalse(read.done())
        self.isolated_vms.clear()
        await self.propose(leader, b"x")
        self.assertTrue((await self.run_until(read)).is_ok())

    async def test_without_leader_a_proposal_is_not_accepted(self) -> None:
        leader = await self.start_all()
        for vm_id in self.first_voters:
            if vm_id != leader:
                self.stop(vm_id)
        await self.run_for(6)
        result = await self.propose(leader, b"x", 0.01)
        self.assertEqual(result.error.outcome, Outcome.NOT_ACCEPTED)
        read = asyncio.create_task(self.hosts[leader].read_barrier(0.01))
        self.assertTrue((await self.run_until(read)).is_error())

    async def test_isolated_leader_reports_unknown_outcome(self) -> None:
        leader = await self.start_all()
        self.isolated_vms.add(leader)
        host = self.hosts[leader]
        task = asyncio.create_task(host.propose(b"x", 0.05))
        await asyncio.sleep(0.1)
        result = await task
        self.assertEqual(result.error.outcome, Outcome.UNKNOWN)

    async def test_replaced_proposal_is_not_accepted(self) -> None:
        leader = await self.start_all()
        self.isolated_vms.add(leader)
        host = self.hosts[leader]
        task = asyncio.create_task(host.propose(b"lost", 60))
        await self.run_for(10)
        result = await self.propose(self.find_leader(), b"won")
        self.assertTrue(result.is_ok())
        self.isolated_vms.clear()
        result = await self.run_until(task)
        self.assertEqual(result.error.outcome, Outcome.NOT_ACCEPTED)
        self.assertEqual(host.machine.items, [b"won"])

    async def test_repeated_request_is_appended_once(self) -> None:
        leader = await self.start_all()
        follower = next(v for v in self.first_voters if v != leader)
        request = ProposeRequest(request_id=5, data=b"once")
        for _ in range(3):
            self.deliver(follower, leader, request)
            await self.run_for(0.2)
        self.assertEqual(self.hosts[leader].machine.items, [b"once"])

    async def test_storage_failure_sends_nothing(self) -> None:
        leader = await self.start_all()
        follower = next(v for v in self.first_voters if v != leader)
        host = self.hosts[follower]
        self.files[follower].full = True
        output = self.hosts[leader].node.propose((b"x",), now=self.now)[1]
        sent = [a for a in output.messages if a.peer == follower]
        self.assertTrue(sent[0].message.entries)
        answers = host.receive(
            peer=leader, message=sent[0].message, now=self.now
        )
        self.assertEqual(answers, [])
        self.assertIsNone(host.node)

    async def test_current_state_after_restart_of_all(self) -> None:
        leader = await self.start_all()
        tasks = [
            asyncio.create_task(self.hosts[leader].propose(b"%d" % n, 60))
            for n in range(300)
        ]
        for task in tasks:
            self.assertTrue((await self.run_until(task)).is_ok())
        for vm_id in self.first_voters:
            self.stop(vm_id)
        leader = await self.start_all()
        items = [b"%d" % n for n in range(300)]
        for vm_id in self.first_voters:
            self.assertEqual(self.hosts[vm_id].machine.items, items)

    async def test_kill_of_a_voter_at_every_write_loses_nothing(
        self,
    ) -> None:
        total = 0
        for kill_at in range(4, 40, 2):
            leader = await self.start_all()
            killed = self.first_voters[kill_at // 2 % 3]
            files = self.files[killed]
            files.power_loss = True
            files.kill_at = files.operations + kill_at
            # Without `send`, writes happen only in ticks and deliveries, where
            # `run_host` handles the kill.
            self.hosts[killed].send = None
            accepted = []
            kills = 0
            for number in range(12):
                data = b"%d" % number
                leader = self.find_leader()
                if leader:
                    task = asyncio.create_task(
                        self.hosts[leader].propose(data, 60)
                    )
                    await self.run_for(0.3)
                    if task.done() and task.result().is_ok():
                        accepted.append(data)
                    task.cancel()
                if killed not in self.hosts:
                    kills += 1
                    self.start(killed)
                    await self.run_for(5)
            await self.run_for(5)
            self.assertGreater(len(accepted), 5)
            for host in self.hosts.values():
                items = host.machine.items
                self.assertEqual([i for i in items if i in accepted], accepted)
            for vm_id in self.first_voters:
                self.stop(vm_id, lose_folder=True)
            total += kills
        self.assertGreater(total, 5)

    async def test_leadership_is_handed_over_before_a_stop(self) -> None:
        leader = await self.start_all()
        target = next(v for v in self.first_voters if v != leader)
        operations = self.hosts[leader].operations
        task = asyncio.create_task(operations.transfer_leadership(target, 60))
        self.assertTrue((await self.run_until(task)).is_ok())
        await self.run_for(1)
        self.assertEqual(self.find_leader(), target)


class BootstrapAndJoinTest(HostTestCase):
    """Guards against quorums that count lost or unknown folders."""

    async def test_no_leader_before_all_first_voters_agree(self) -> None:
        self.start("v0")
        self.start("v1")
        await self.run_for(20)
        self.assertEqual(self.find_leader(), "")
        self.start("v2")
        await self.run_for(6)
        self.assertNotEqual(self.find_leader(), "")

    async def test_folder_lost_during_bootstrap_is_not_accepted(self) -> None:
        self.start("v0")
        self.start("v1")
        await self.run_for(2)
        self.stop("v1", lose_folder=True)
        self.start("v1")
        self.start("v2")
        await self.run_for(20)
        self.assertEqual(self.find_leader(), "")

    async def test_recorded_identities_survive_a_restart(self) -> None:
        self.start("v0")
        self.start("v1")
        await self.run_for(2)
        self.stop("v0")
        self.stop("v1", lose_folder=True)
        for vm_id in self.first_voters:
            self.start(vm_id)
        await self.run_for(20)
        self.assertEqual(self.find_leader(), "")

    async def test_completed_voter_completes_the_others(self) -> None:
        for vm_id in self.first_voters:
            self.start(vm_id)
        while not self.hosts["v0"].membership.members:
            await self.run_for(STEP_SECONDS)
        self.stop("v1")
        self.start("v1")
        await self.run_for(6)
        for vm_id in self.first_voters:
            self.assertEqual(len(self.hosts[vm_id].membership.voters), 3, vm_id)

    async def test_lost_folder_rejoins_as_learner_then_voter(self) -> None:
        patch = mock.patch.object(storages, "COMPACT_AFTER_ENTRIES", 8)
        with patch:
            leader = await self.start_all()
            for number in range(20):
                await self.propose(leader, b"%d" % number)
            for _ in range(2):
                leader = self.find_leader()
                lost = next(v for v in self.first_voters if v != leader)
                old = self.hosts[lost].storage.state.storage_id
                self.stop(lost, lose_folder=True)
                self.start(lost)
                await self.run_for(8)
                host = self.hosts[lost]
                member = self.hosts[leader].membership.find(lost)
                self.assertTrue(member.voter)
                self.assertNotEqual(member.storage_id, old)
                self.assertEqual(len(host.machine.items), 20)

    async def test_operator_adds_and_removes_a_voter(self) -> None:
        leader = await self.start_all()
        self.start("v3")
        await self.run_for(3)
        operations = self.hosts[leader].operations
        add = asyncio.create_task(operations.add_learner("v3", 60))
        self.assertTrue((await self.run_until(add)).is_ok())
        await self.run_for(2)
        self.assertTrue(self.hosts[leader].membership.find("v3").voter)
        remove = asyncio.create_task(operations.remove("v3", 60))
        self.assertTrue((await self.run_until(remove)).is_ok())
        self.assertIsNone(self.hosts[leader].membership.find("v3"))

    async def test_damaged_folder_refuses_to_start(self) -> None:
        await self.start_all()
        self.stop("v1")
        path = next((self.root / "v1").iterdir())
        data = bytearray(path.read_bytes())
        data[len(data) // 2] ^= 1
        path.write_bytes(data)
        with self.assertRaisesRegex(StorageError, "byte offset"):
            self.start("v1")
