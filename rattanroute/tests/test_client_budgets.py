"""Tests of the budget of what clients make a process hold."""

import unittest

from rattanroute.systems.client_budgets import ClientBudget
from rattanroute.systems.client_budgets import derive_max_connections
from rattanroute.systems.client_budgets import estimate_body_bytes
from rattanroute.systems.client_budgets import MIN_CONNECTIONS
from rattanroute.systems.client_budgets import PROGRESS_SECONDS
from rattanroute.systems.client_budgets import RESERVED_DESCRIPTORS
from rattanroute.tables.client_connections import ClientConnectionRow
from rattanroute.tables.client_connections import ClientConnectionTable

MAX_BYTES = 1000
MAX_CONNECTIONS = 10


def build_budget() -> ClientBudget:
    """Builds a small budget without connections."""
    return ClientBudget(
        table=ClientConnectionTable(),
        max_bytes=MAX_BYTES,
        max_connections=MAX_CONNECTIONS,
    )


class BudgetTestCase(unittest.TestCase):
    """A test case with a small budget."""

    def setUp(self) -> None:
        self.budget = build_budget()
        self.now = 0.0

    def add(
        self, listener: str = "callers", **values: object
    ) -> ClientConnectionRow:
        """Adds a connection, each a second after the one before."""
        self.now += 1.0
        row = ClientConnectionRow(
            listener=listener,
            refuse=lambda cause: None,
            opened_at=self.now,
            used_at=self.now,
            **values,
        )
        self.budget.table.add(row)
        return row


class MemoryTest(BudgetTestCase):
    """Guards against refusing clients that are not the cause."""

    def test_nothing_is_refused_below_the_bound(self) -> None:
        self.add(body_bytes=MAX_BYTES)
        self.assertIsNone(self.budget.choose_for_memory())

    def test_costliest_connection_is_refused(self) -> None:
        self.add(body_bytes=300)
        costly = self.add(unparsed_bytes=200, body_bytes=400)
        self.add(body_bytes=200)
        self.assertIs(self.budget.choose_for_memory(), costly)

    def test_least_advanced_of_equal_ones_is_refused(self) -> None:
        self.add(body_bytes=600, answered=3)
        new = self.add(body_bytes=600)
        self.assertIs(self.budget.choose_for_memory(), new)

    def test_client_that_waits_is_kept(self) -> None:
        """Guards against dropping a request that may have run."""
        self.add(body_bytes=900, waiting=True)
        small = self.add(body_bytes=200)
        self.assertIs(self.budget.choose_for_memory(), small)

    def test_client_that_does_not_read_is_refused(self) -> None:
        costly = self.add(unsent_bytes=900, waiting=True)
        self.add(body_bytes=200)
        self.assertIs(self.budget.choose_for_memory(), costly)

    def test_client_that_pipelines_much_is_refused(self) -> None:
        costly = self.add(unparsed_bytes=20_000, waiting=True)
        self.add(unparsed_bytes=800, waiting=True)
        self.assertIs(self.budget.choose_for_memory(), costly)

    def test_authenticated_peer_is_kept(self) -> None:
        self.add("peers", unsent_bytes=2000, trusted=True)
        self.assertIsNone(self.budget.choose_for_memory())

    def test_sum_follows_changes_and_closes(self) -> None:
        """Guards against a sum that drifts and refuses idle clients."""
        table = self.budget.table
        rows = [self.add() for _ in range(3)]
        for size in (100, 700, 50):
            for row in rows:
                table.set_part(row, "body_bytes", size)
        self.assertEqual(table.held_bytes, 150)
        table.remove(rows[0])
        table.remove(rows[0])
        table.set_part(rows[0], "body_bytes", 0)
        self.assertEqual(table.held_bytes, 100)

    def test_decoded_body_is_charged(self) -> None:
        """Guards against small bodies that take much memory once decoded."""
        flat = b'{"text": "' + b"x" * 3000 + b'"}'
        nested = b"[" + b"[]," * 1000 + b"[]]"
        self.assertLess(estimate_body_bytes(flat), 3 * len(flat))
        self.assertGreater(estimate_body_bytes(nested), 30 * len(nested))

    def test_single_costly_request_is_served(self) -> None:
        """Guards against a limit that refuses a request without pressure."""
        size = self.budget.limit_charge(100 * MAX_BYTES)
        self.add(body_bytes=size)
        self.assertIsNone(self.budget.choose_for_memory())


class ConnectionsTest(BudgetTestCase):
    """Guards against a flood that displaces working connections.

    The load: a crowd of idle connections to one listener.
    """

    def test_idle_connection_of_the_crowd_is_closed(self) -> None:
        target = self.add("targets")
        busy = self.add(waiting=True)
        closed = []
        for _ in range(100):
            self.add()
            while row := self.budget.choose_for_connections(self.now):
                closed.append(row)
                self.budget.table.remove(row)
        self.assertEqual(len(self.budget.table.rows), MAX_CONNECTIONS)
        self.assertIn(target, self.budget.table.rows)
        self.assertIn(busy, self.budget.table.rows)
        times = [row.used_at for row in closed]
        self.assertEqual(times, sorted(times))

    def test_new_connection_is_closed_if_all_are_busy(self) -> None:
        for _ in range(MAX_CONNECTIONS):
            self.add(waiting=True)
        new = self.add()
        self.assertIs(self.budget.choose_for_connections(self.now), new)

    def test_stalled_body_counts_as_idle(self) -> None:
        """Guards against bodies that stop and exclude other clients."""
        stalled = self.add(receiving=True)
        self.now += 2 * PROGRESS_SECONDS
        for _ in range(MAX_CONNECTIONS):
            self.add(receiving=True)
        chosen = self.budget.choose_for_connections(self.now)
        self.assertIs(chosen, stalled)

    def test_bound_leaves_the_reserve(self) -> None:
        self.assertEqual(derive_max_connections(1535), 1335)
        few = derive_max_connections(RESERVED_DESCRIPTORS)
        self.assertEqual(few, MIN_CONNECTIONS)
