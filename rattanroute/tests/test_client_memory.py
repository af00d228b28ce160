"""Tests of the decisions about the memory and connections of clients."""

from collections.abc import Callable
from types import SimpleNamespace
import unittest

import loguru

from rattanroute.http1.connection_limits import CloseCause
from rattanroute.http1.connection_limits import ConnectionLimit
from rattanroute.http1.connection_limits import derive_backlog
from rattanroute.http1.connection_limits import derive_max_connections
from rattanroute.http1.connection_limits import RESERVED_FDS
from rattanroute.http1.connection_memory import ConnectionMemory
from rattanroute.http1.memory_budgets import BYTES_PER_MB
from rattanroute.http1.memory_budgets import derive_budget_bytes
from rattanroute.http1.memory_budgets import Eviction
from rattanroute.http1.memory_budgets import MemoryBudget
from rattanroute.http1.memory_budgets import SMALL_BYTES
from rattanroute.http1.response_buffers import ResponseBuffers
from rattanroute.http1.servers import SWEEP_INTERVAL_SECONDS
from rattanroute.platform.client_limits import build_connection_limit
from rattanroute.platform.client_limits import build_memory_budget
from rattanroute.platform.client_limits import ClientLimitOptions
from rattanroute.platform.settings import MachineLimits

LIMIT_BYTES = 1_000_000
LARGE_BYTES = 300_000
SMALL_VM_MB = 152
SMALL_VM_FDS = 1_535
# Resident memory of a front without clients.
FRONT_MB = 45
CROWD = 600


class ClientStub:
    """A connection that holds memory.

    Args:
        budget: The budget.
        waits: Whether the client waits for the answer to a request.
        stalled: Seconds since its request began.
    """

    def __init__(
        self, budget: MemoryBudget, *, waits: bool = False, stalled: float = 0.0
    ) -> None:
        self.budget = budget
        self.waits = waits
        self.stalled = stalled
        self.held_bytes = 0
        self.evicted = False
        budget.users.add(self)

    def removable_bytes(self) -> int:
        """Returns all bytes unless the client waits."""
        return 0 if self.waits else self.held_bytes

    def stalled_s(self) -> float:
        """Returns the seconds since its request began."""
        return self.stalled

    def evict(self) -> Eviction:
        """Frees all bytes."""
        self.evicted = True
        self.budget.resize(self, 0)
        return Eviction.REQUEST


class BudgetTestCase(unittest.TestCase):
    """Base of tests of a budget of one megabyte."""

    def setUp(self) -> None:
        """Creates the budget and its clock."""
        self.now = 0.0
        self.budget = MemoryBudget(
            clock=lambda: self.now, max_bytes=LIMIT_BYTES
        )

    def add(self, size: int, **values: float) -> ClientStub:
        """Adds a connection of a size."""
        client = ClientStub(self.budget, **values)
        self.budget.resize(client, size)
        return client


class EvictionTest(BudgetTestCase):
    """Guards against a process that clients drive out of memory."""

    def test_nothing_is_refused_within_the_budget(self) -> None:
        clients = [self.add(LARGE_BYTES) for _ in range(3)]
        self.assertFalse(any(x.evicted for x in clients))

    def test_the_largest_is_refused_first(self) -> None:
        small, large = self.add(LARGE_BYTES), self.add(2 * LARGE_BYTES)
        other = self.add(LARGE_BYTES)
        self.assertEqual(
            [x.evicted for x in (small, large, other)], [False, True, False]
        )

    def test_of_equals_the_one_that_began_first(self) -> None:
        old = self.add(LARGE_BYTES, stalled=2.0)
        new = [self.add(LARGE_BYTES, stalled=0.1) for _ in range(3)]
        self.assertTrue(old.evicted)
        self.assertFalse(any(x.evicted for x in new))

    def test_a_client_that_waits_is_never_refused(self) -> None:
        waiting = [self.add(2 * LARGE_BYTES, waits=True) for _ in range(4)]
        new = self.add(LARGE_BYTES)
        self.assertTrue(new.evicted)
        self.assertFalse(any(x.evicted for x in waiting))

    def test_small_connections_are_spared_at_first(self) -> None:
        """Guards against refusals of ordinary requests beside large ones."""
        self.add(LIMIT_BYTES, waits=True)
        small = self.add(SMALL_BYTES - 1)
        self.assertFalse(small.evicted)

    def test_small_connections_have_a_limit_together(self) -> None:
        for _ in range(CROWD):
            self.add(SMALL_BYTES // 2)
        self.assertLessEqual(self.budget.held_bytes, 1.25 * LIMIT_BYTES)

    def test_crowd_of_each_size(self) -> None:
        """Guards against a sum above the budget, whatever clients send."""
        for size in (SMALL_BYTES, LARGE_BYTES, LIMIT_BYTES, 4 * LIMIT_BYTES):
            with self.subTest(size=size):
                for _ in range(CROWD):
                    self.add(size)
                self.assertLessEqual(self.budget.held_bytes, LIMIT_BYTES)

    def test_closed_connections_hold_nothing(self) -> None:
        clients = [self.add(SMALL_BYTES) for _ in range(5)]
        for client in clients:
            self.budget.remove(client)
        self.assertEqual(self.budget.held_bytes, 0)
        self.assertFalse(self.budget.users)

    def test_evictions_are_counted_and_rarely_logged(self) -> None:
        """Guards against a crowd that fills the log."""
        lines: list[str] = []
        sink = loguru.logger.add(lines.append, level="WARNING")
        self.addCleanup(loguru.logger.remove, sink)
        for _ in range(CROWD):
            self.add(LIMIT_BYTES + 1)
        self.assertEqual(self.budget.evictions[Eviction.REQUEST], CROWD)
        self.assertEqual(len(lines), 1)

    def test_release_is_noted_once(self) -> None:
        """Guards against a costly release of memory in each second."""
        self.budget.max_bytes = 100 * LIMIT_BYTES
        client = self.add(20 * LIMIT_BYTES)
        self.assertFalse(self.budget.note_release())
        self.budget.resize(client, 0)
        self.assertTrue(self.budget.note_release())
        self.assertFalse(self.budget.note_release())


class ResponsePartTest(BudgetTestCase):
    """Guards against responses and requests that exceed the budget together."""

    def setUp(self) -> None:
        """Makes the responses a part of the budget."""
        super().setUp()
        self.responses = ResponseBuffers()
        self.budget.include(self.responses)
        self.dropped: list[str] = []

    def respond(self, name: str, size: int) -> None:
        """Buffers a part of a response."""
        buffer = self.responses.create(
            peer=name, on_evicted=lambda: self.dropped.append(name)
        )
        buffer.append(bytes(size))

    def test_request_gives_way_to_a_response(self) -> None:
        self.respond("ordinary", LARGE_BYTES)
        client = self.add(LIMIT_BYTES - LARGE_BYTES + 1)
        self.assertTrue(client.evicted)
        self.assertEqual(self.dropped, [])

    def test_endless_response_is_dropped(self) -> None:
        client = self.add(LARGE_BYTES)
        self.respond("endless", LIMIT_BYTES)
        self.assertEqual(self.dropped, ["endless"])
        self.assertFalse(client.evicted)

    def test_response_is_dropped_if_all_clients_wait(self) -> None:
        client = self.add(2 * LARGE_BYTES, waits=True)
        self.respond("large", LARGE_BYTES + LARGE_BYTES // 2)
        self.assertEqual(self.dropped, ["large"])
        self.assertFalse(client.evicted)


class ConnectionStub:
    """A connection in a state.

    Args:
        cause: State; None if it must not close.
        active_at: Time of its latest bytes.
        on_close: Called when it is closed.
    """

    def __init__(
        self,
        cause: CloseCause | None,
        active_at: float,
        on_close: Callable[[CloseCause], None],
    ) -> None:
        self.cause = cause
        self.active_at = active_at
        self.on_close = on_close

    def close_cause(self) -> CloseCause | None:
        """Returns the state."""
        return self.cause

    def close_for_another(self, cause: CloseCause) -> None:
        """Records the close."""
        self.on_close(cause)


class SlowReaderTest(unittest.TestCase):
    """Guards against evictions of clients that read slowly."""

    def setUp(self) -> None:
        """Creates the memory of a connection with a transport of a test."""
        self.now = 0.0
        self.unsent = 0
        connection = SimpleNamespace(
            loop=SimpleNamespace(time=lambda: self.now),
            transport=SimpleNamespace(
                get_write_buffer_size=lambda: self.unsent
            ),
        )
        self.memory = ConnectionMemory(
            connection=connection, budget=MemoryBudget(clock=lambda: self.now)
        )

    def run_checks(self, *, written: int, taken: int) -> None:
        """Writes and takes bytes before each of the checks of five seconds."""
        for _ in range(10):
            self.now += SWEEP_INTERVAL_SECONDS
            self.memory.note_write(written)
            self.unsent += written - taken
            self.memory.check_progress(self.now)

    def test_client_that_reads_less_than_is_written(self) -> None:
        self.run_checks(written=3_000, taken=2_000)
        self.assertFalse(self.memory.is_stalled)

    def test_client_that_reads_nothing(self) -> None:
        self.run_checks(written=3_000, taken=0)
        self.assertTrue(self.memory.is_stalled)
        self.unsent -= 1
        self.assertFalse(self.memory.is_stalled)


class ConnectionLimitTest(unittest.TestCase):
    """Guards against clients that take all descriptors of a process."""

    def setUp(self) -> None:
        """Creates a limit of three connections."""
        self.limit = ConnectionLimit(clock=lambda: 0.0, max_connections=3)
        self.closed: list[tuple[CloseCause, float]] = []

    def add(self, cause: CloseCause | None, active_at: float) -> None:
        """Adds a connection."""
        connection = ConnectionStub(
            cause, active_at, lambda x: self.closed.append((x, active_at))
        )
        self.limit.add(connection)

    def test_oldest_idle_connection_closes_first(self) -> None:
        self.add(CloseCause.READING, 0.0)
        for active_at in (2.0, 1.0, 3.0):
            self.add(CloseCause.IDLE, active_at)
        self.assertEqual(self.closed, [(CloseCause.IDLE, 1.0)])

    def test_unread_requests_close_if_none_is_idle(self) -> None:
        self.add(None, 0.0)
        for active_at in (2.0, 1.0, 3.0):
            self.add(CloseCause.READING, active_at)
        self.assertEqual(self.closed, [(CloseCause.READING, 1.0)])

    def test_clients_that_wait_keep_their_connections(self) -> None:
        for active_at in range(5):
            self.add(None, active_at)
        self.assertEqual(
            self.closed, [(CloseCause.NEW, 3.0), (CloseCause.NEW, 4.0)]
        )
        self.assertEqual(len(self.limit.connections), 3)

    def test_no_limit(self) -> None:
        self.limit.max_connections = 0
        for active_at in range(CROWD):
            self.add(CloseCause.IDLE, active_at)
        self.assertEqual(self.closed, [])


class DerivedLimitTest(unittest.TestCase):
    """Guards against limits that exceed a machine."""

    def test_memory_of_the_smallest_machine(self) -> None:
        budget_mb = derive_budget_bytes(SMALL_VM_MB) / BYTES_PER_MB
        self.assertLess(FRONT_MB + 1.25 * budget_mb, 0.9 * SMALL_VM_MB)
        self.assertGreater(budget_mb, 40)

    def test_unknown_machine_has_the_former_limits(self) -> None:
        """Guards against refusals that a release without the budget had not.

        48 MiB of request bodies and 64 MiB of responses were allowed.
        """
        budget = build_memory_budget(MachineLimits(), ClientLimitOptions())
        responses = ResponseBuffers()
        budget.include(responses)
        self.assertEqual(budget.max_bytes, (48 + 64) * 2**20)
        self.assertEqual(responses.max_bytes, 64 * 2**20)

    def test_options_override_the_machine(self) -> None:
        machine = MachineLimits(memory_mb=SMALL_VM_MB, max_fds=SMALL_VM_FDS)
        options = ClientLimitOptions(memory_mb=20.0, max_connections=7)
        self.assertEqual(
            build_memory_budget(machine, options).max_bytes, 20 * BYTES_PER_MB
        )
        limit = build_connection_limit(machine, options)
        self.assertEqual(limit.max_connections, 7)

    def test_descriptors_of_the_smallest_machine(self) -> None:
        """Guards against accepted connections that take reserved ones."""
        limit = derive_max_connections(SMALL_VM_FDS)
        waiting = 3 * derive_backlog(SMALL_VM_FDS)
        self.assertLessEqual(limit + waiting + RESERVED_FDS, SMALL_VM_FDS)
        self.assertGreater(limit, CROWD)
