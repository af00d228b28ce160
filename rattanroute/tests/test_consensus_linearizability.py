"""Checks that a register in the consensus log is linearizable."""

import dataclasses
import math
import random
import unittest

from rattanroute.consensus.node_states import Role
from rattanroute.tests.consensus_support import Cluster
from rattanroute.tests.test_consensus_raft_nodes import inject_fault

SEEDS = 100
CLIENTS = 3
STEPS = 120
TIMEOUT_SECONDS = 5.0


@dataclasses.dataclass(kw_only=True)
class Operation:
    """One operation of a client on the register.

    Attributes:
        expected: Expected value of a compare-and-set; "" for a read.
        new: New value of a compare-and-set.
        start: Time of the invocation, in seconds.
        end: Time of the result; infinity while the outcome is unknown.
        result: Whether the register changed, or the value read.
    """

    expected: str = ""
    new: str = ""
    start: float
    end: float = math.inf
    result: object = None

    def run(self, value: str) -> tuple[str, object]:
        """Returns the value after the operation, and its correct result."""
        if not self.expected:
            return value, value
        if self.expected == value:
            return self.new, True
        return value, False


def is_linearizable(operations: list[Operation], initial: str) -> bool:
    """Returns whether some sequential order explains all results.

    An operation may come next if no remaining one returned before it was
    invoked. An operation with an unknown outcome may take effect or not.
    """
    seen: set[tuple[frozenset[int], str]] = set()
    pending = [(frozenset(range(len(operations))), initial)]
    while pending:
        remaining, value = pending.pop()
        if (remaining, value) in seen:
            continue
        seen.add((remaining, value))
        bound = min((operations[n].end for n in remaining), default=math.inf)
        if bound == math.inf:
            return True
        for number in remaining:
            operation = operations[number]
            if operation.start > bound:
                continue
            changed, result = operation.run(value)
            if operation.end == math.inf or result == operation.result:
                pending.append((remaining - {number}, changed))
    return False


class Client:
    """A client that runs one operation at a time on a random leader."""

    def __init__(self, number: int, cluster: Cluster) -> None:
        self.number = number
        self.cluster = cluster
        self.rng = random.Random(cluster.rng.random())
        self.history: list[Operation] = []
        self.key: tuple[int, int, str] | int | None = None
        self.known = "0"

    def step(self) -> None:
        """Finishes the current operation or starts another one."""
        if self.key is not None:
            self.finish()
        if self.key is None:
            self.start()

    def finish(self) -> None:
        """Records the result, or stops waiting after `TIMEOUT_SECONDS`."""
        operation = self.history[-1]
        if isinstance(self.key, int):
            found = self.cluster.reads.get(self.key)
            result = found[2] if found else None
        else:
            result = self.cluster.results.get(self.key)
        if result is not None:
            operation.end = self.cluster.now
            operation.result = result
            self.key = None
            if not operation.expected:
                self.known = result
            elif result:
                self.known = operation.new
        elif self.cluster.now > operation.start + TIMEOUT_SECONDS:
            self.key = None

    def start(self) -> None:
        """Starts an operation if a random node claims leadership."""
        cluster = self.cluster
        vm_id = self.rng.choice(sorted(cluster.vms))
        vm = cluster.vms[vm_id]
        if vm.node is None or vm.frozen_until > cluster.now:
            return
        if vm.node.state.role != Role.LEADER:
            return
        if self.rng.random() < 0.5:
            context = self.rng.randrange(1 << 40)
            self.history.append(Operation(start=cluster.now))
            self.key = context
            output = vm.node.read_index((context,), now=cluster.now)
            cluster.execute(vm_id, output)
            return
        operation = Operation(
            expected=self.known,
            new=f"{self.number}.{len(self.history)}",
            start=cluster.now,
        )
        data = f"{self.number}:{operation.expected}:{operation.new}"
        entry = cluster.propose(vm_id, data.encode())
        if entry is not None:
            self.history.append(operation)
            self.key = (entry.index, entry.term, vm_id)


class CheckerTest(unittest.TestCase):
    """Guards against a checker that accepts wrong histories."""

    def test_stale_read_is_refused(self) -> None:
        write = Operation(expected="0", new="1", start=0, end=1, result=True)
        stale = Operation(start=2, end=3, result="0")
        self.assertFalse(is_linearizable([write, stale], "0"))
        stale.start = 0.5
        self.assertTrue(is_linearizable([write, stale], "0"))

    def test_unknown_write_may_take_effect_or_not(self) -> None:
        write = Operation(expected="0", new="1", start=0)
        for value in ("0", "1"):
            read = Operation(start=2, end=3, result=value)
            self.assertTrue(is_linearizable([write, read], "0"))
        back = [
            Operation(start=2, end=3, result="1"),
            Operation(start=4, end=5, result="0"),
        ]
        self.assertFalse(is_linearizable([write, *back], "0"))


class LinearizabilityTest(unittest.TestCase):
    """Guards against stale reads and changes that are lost or repeated."""

    def test_register_history(self) -> None:
        finished = 0
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                history = self.run_clients(seed)
                finished += sum(o.end < math.inf for o in history)
                self.assertTrue(is_linearizable(history, "0"))
        self.assertGreater(finished, SEEDS * 20)

    def run_clients(self, seed: int) -> list[Operation]:
        """Runs clients under faults and returns all operations."""
        rng = random.Random(seed)
        cluster = Cluster(seed=seed, voters=3)
        cluster.run(5)
        clients = [Client(number, cluster) for number in range(CLIENTS)]
        for step in range(STEPS):
            cluster.run(0.2)
            for client in clients:
                client.step()
            if step % 4 == 0 and rng.random() < 0.6:
                inject_fault(cluster, rng)
        return [o for client in clients for o in client.history]
