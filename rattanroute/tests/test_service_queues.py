"""Tests of the exchange of the queues of services between VMs."""

import unittest

import msgspec

from rattanroute.messages.loads import AttemptCount
from rattanroute.messages.loads import EngineLoad
from rattanroute.messages.loads import LimitUse
from rattanroute.messages.loads import OtherLoads
from rattanroute.messages.loads import OwnLoads
from rattanroute.messages.loads import ServiceQueue
from rattanroute.systems.engine_loads import ANSWER_TIMEOUT_SECONDS
from rattanroute.systems.engine_loads import EngineLoadSystem
from rattanroute.systems.engine_loads import IDLE_REPORT_INTERVAL_SECONDS
from rattanroute.systems.engine_loads import REPORT_INTERVAL_SECONDS
from rattanroute.tables.engine_loads import EngineLoadTable
from rattanroute.tables.service_queues import COUNT_SECONDS
from rattanroute.tables.service_queues import EXPIRY_SECONDS
from rattanroute.tables.service_queues import QueueCounts
from rattanroute.tables.service_queues import ServiceQueueTable
from rattanroute.tests.support import MemberStub

SERVICE = "llm"
VMS = 92
VOTERS = 6
RANKS = 3
MAX_BYTES_PER_SECOND = 1000
CENTRES = ("dc-a", "dc-b", "dc-c")
QUEUE = ServiceQueue(
    service=SERVICE, priority=2, waiting=3, refused=4, granted=5
)


class PreviousOwnLoads(
    msgspec.Struct, array_like=True, frozen=True, kw_only=True
):
    """`OwnLoads` of the release before queues were reported."""

    loads: tuple[EngineLoad, ...]
    attempts: tuple[AttemptCount, ...] = ()
    process: int = 0
    limits: tuple[LimitUse, ...] = ()


class PreviousOtherLoads(
    msgspec.Struct, array_like=True, frozen=True, kw_only=True
):
    """`OtherLoads` of the release before queues were reported."""

    loads: tuple[EngineLoad, ...]
    vms: int
    attempts: tuple[AttemptCount, ...] = ()
    limits: tuple[LimitUse, ...] = ()


class ReleaseTest(unittest.TestCase):
    """Guards against loads that are lost while VMs are upgraded."""

    def recode(self, message: object, kind: type) -> object:
        """Returns a message as the other release reads it."""
        data = msgspec.msgpack.encode(message)
        return msgspec.msgpack.decode(data, type=kind)

    def test_previous_release_reads_own_loads(self) -> None:
        count = AttemptCount(service=SERVICE, firsts=1, repeats=2)
        new = OwnLoads(loads=(), attempts=(count,), process=7, queues=(QUEUE,))
        old = self.recode(new, PreviousOwnLoads)
        self.assertEqual(old.attempts, (count,))
        self.assertEqual(old.process, 7)

    def test_previous_release_reads_sums(self) -> None:
        new = OtherLoads(loads=(), vms=9, queues=(QUEUE,))
        self.assertEqual(self.recode(new, PreviousOtherLoads).vms, 9)

    def test_messages_of_the_previous_release(self) -> None:
        own = self.recode(PreviousOwnLoads(loads=(), process=7), OwnLoads)
        self.assertEqual(own, OwnLoads(loads=(), process=7))
        sums = self.recode(PreviousOtherLoads(loads=(), vms=9), OtherLoads)
        self.assertEqual(sums, OtherLoads(loads=(), vms=9))

    def test_messages_of_this_release(self) -> None:
        own = OwnLoads(loads=(), queues=(QUEUE,))
        self.assertEqual(self.recode(own, OwnLoads), own)
        sums = OtherLoads(loads=(), vms=1, queues=(QUEUE,))
        self.assertEqual(self.recode(sums, OtherLoads), sums)


class ServiceQueueTableTest(unittest.TestCase):
    """Guards against counts that are too old or lost."""

    def setUp(self) -> None:
        self.table = ServiceQueueTable()

    def test_counts_of_the_last_second(self) -> None:
        self.table.note_granted(SERVICE, 0, 1.0)
        self.table.note_granted(SERVICE, 0, 1.8)
        self.table.note_refused(SERVICE, 2, 1.8)
        self.table.get(SERVICE, 2).waiting = 1
        sums = self.table.sum_ranks(SERVICE, 1.9)
        self.assertEqual(sums[0], QueueCounts(granted=2))
        self.assertEqual(sums[2], QueueCounts(waiting=1, refused=1))
        later = self.table.sum_ranks(SERVICE, 1.1 + COUNT_SECONDS)
        self.assertEqual(later[0].granted, 1)

    def test_rows_without_requests_are_dropped(self) -> None:
        """Guards against reports that grow with ranks of the past."""
        self.table.note_granted(SERVICE, 0, 1.0)
        self.assertEqual(len(self.table.count_own(1.0)), 1)
        self.assertEqual(self.table.count_own(1.1 + COUNT_SECONDS), ())
        self.assertEqual(self.table.rows, {})

    def test_old_sums_count_as_none(self) -> None:
        """Guards against decisions by what was true a while ago."""
        self.table.take_others((QUEUE,), 1.0)
        fresh = self.table.sum_ranks(SERVICE, 0.9 + EXPIRY_SECONDS)
        self.assertEqual(fresh[2].unserved, 7)
        stale = self.table.sum_ranks(SERVICE, 1.1 + EXPIRY_SECONDS)
        self.assertEqual(stale, {})

    def test_negative_counts(self) -> None:
        """Guards against a wrong VM that cancels the queues of others."""
        wrong = msgspec.structs.replace(QUEUE, waiting=-9, granted=-1)
        self.table.take_others((QUEUE, wrong), 1.0)
        counts = self.table.sum_ranks(SERVICE, 1.0)[2]
        self.assertEqual(counts, QueueCounts(waiting=3, refused=8, granted=5))


class QueueExchangeTest(unittest.TestCase):
    """Guards against VMs that do not see the queues of the others."""

    def setUp(self) -> None:
        self.members = [
            MemberStub(
                vm_id=f"core-{number}",
                data_centre=CENTRES[number % 3],
                voter=True,
            )
            for number in range(VOTERS)
        ]
        self.members += [
            MemberStub(vm_id=f"f{number}", data_centre=CENTRES[number % 3])
            for number in range(VMS)
        ]
        self.queues = {
            x.vm_id: ServiceQueueTable() for x in self.members if not x.voter
        }
        self.systems = {
            x.vm_id: EngineLoadSystem(
                vm_id=x.vm_id,
                data_centre=x.data_centre,
                members=lambda: self.members,
                loads=EngineLoadTable() if x.vm_id in self.queues else None,
                queues=self.queues.get(x.vm_id),
            )
            for x in self.members
        }
        self.queue_bytes = dict.fromkeys(self.systems, 0)

    def count_bytes(self, vm_id: str, message: OwnLoads | OtherLoads) -> None:
        """Adds the bytes of the queues of a message to those of a VM."""
        self.queue_bytes[vm_id] += len(msgspec.msgpack.encode(message.queues))

    def exchange(self, now: float, *, frozen: str = "") -> None:
        """Delivers the messages of all VMs but a frozen one."""
        for name, system in self.systems.items():
            if name == frozen:
                continue
            for action in system.tick(now=now):
                if action.peer == frozen:
                    continue
                answers = self.systems[action.peer].receive(
                    peer=name, message=action.message, now=now
                )
                if name in self.queues:
                    self.count_bytes(name, action.message)
                for answer in answers:
                    self.count_bytes(name, answer.message)
                    system.receive(
                        peer=action.peer, message=answer.message, now=now
                    )

    def test_all_vms_have_the_same_sums(self) -> None:
        for table in self.queues.values():
            table.get(SERVICE, 0).waiting = 1
            table.get(SERVICE, 2).waiting = 2
        for step in range(1, 5):
            self.exchange(step * REPORT_INTERVAL_SECONDS)
        for table in self.queues.values():
            sums = table.sum_ranks(SERVICE, 1.0)
            self.assertEqual(sums[0].waiting, VMS)
            self.assertEqual(sums[2].waiting, 2 * VMS)

    def test_queues_take_less_than_their_share_of_the_link(self) -> None:
        """Guards against more than 1 KB/s of new bytes at a VM."""
        name = "conversations"
        for table in self.queues.values():
            for rank in range(RANKS):
                table.get(name, rank).waiting = 5
        seconds = 4
        for step in range(1, seconds * 4 + 1):
            now = step * REPORT_INTERVAL_SECONDS
            for table in self.queues.values():
                for rank in range(RANKS):
                    table.note_granted(name, rank, now)
                    table.note_refused(name, rank, now)
            self.exchange(now)
        most = max(self.queue_bytes[name] for name in self.queues)
        self.assertLess(most / seconds, MAX_BYTES_PER_SECOND)
        self.assertGreater(most, 0)

    def test_vm_without_queues_reports_as_rarely_as_before(self) -> None:
        now = 10.0
        self.exchange(now)
        system = self.systems["f0"]
        self.assertEqual(system.tick(now=now + 0.9), [])
        self.assertEqual(
            system.next_send_at, now + IDLE_REPORT_INTERVAL_SECONDS
        )

    def test_waiting_requests_are_reported_soon(self) -> None:
        """Guards against queues unseen where other VMs load all engines."""
        self.queues["f0"].get(SERVICE, 0).waiting = 1
        self.systems["f0"].tick(now=10.0)
        self.assertTrue(self.systems["f0"].tick(now=10.25))

    def test_queues_of_a_stopped_vm_expire(self) -> None:
        self.queues["f0"].get(SERVICE, 0).waiting = 1
        self.exchange(10.0)
        sums = self.systems["core-0"].sum_reported(10.1 + EXPIRY_SECONDS)
        self.assertEqual(sums.queues, ())

    def test_former_aggregator_is_not_believed(self) -> None:
        """Guards against old sums of an aggregator that was frozen."""
        for table in self.queues.values():
            table.get(SERVICE, 0).waiting = 1
        steps = int(2 * ANSWER_TIMEOUT_SECONDS / REPORT_INTERVAL_SECONDS)
        now = 0.0
        for step in range(1, steps):
            now = step * REPORT_INTERVAL_SECONDS
            self.exchange(now, frozen="core-0")
        system = self.systems["f0"]
        self.assertNotEqual(system.aggregator, "core-0")
        old = OtherLoads(loads=(), vms=VMS, queues=(QUEUE,))
        system.receive(peer="core-0", message=old, now=now)
        sums = self.queues["f0"].sum_ranks(SERVICE, now)
        self.assertNotIn(QUEUE.priority, sums)
        self.assertGreater(sums[0].waiting, 1)
