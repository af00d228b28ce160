"""At-most-once service calls while VMs and links fail."""

import asyncio
import collections
from collections.abc import Iterable
import datetime
import itertools
import re
import time
import unittest

from rattanroute.tests.integration.cluster_support import ClientAnswer
from rattanroute.tests.integration.cluster_support import ClusterTestCase
from rattanroute.tools.clusters import LocalCluster
from rattanroute.tools.proxies import Direction
from rattanroute.tools.proxies import Fault
from rattanroute.tools.proxies import FaultKind

SERVICES = ("records-a", "records-b")
SERVICE_DELAY_SECONDS = 0.3
REPLAYED_HEADER = "Idempotent-Replayed"
LOAD_SECONDS = 8.0
LINK_DELAY_SECONDS = 0.05
RECOVERY_SECONDS = 15.0
REFUSAL_SECONDS = 5.0


class SlowStartTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a test cluster that cannot grant claims."""

    async def test_start_slower_than_claim_set_creation(self) -> None:
        """Guards against claim holders that start after their set is active.

        They count as holders that lost their memory and never grant claims,
        which made tests of claims fail on a loaded machine.
        """
        cluster = LocalCluster(data_centres={"dc-a": 1}, claim_sets_delay_s=0.1)
        async with cluster:
            started = re.findall(
                r"time=(\S+) .*daemon started", cluster.read_log("dc-a-1")
            )
            at = datetime.datetime.fromisoformat(started[-1])
            self.assertLess(at.timestamp() * 1000, cluster.created_ms)


class AtMostOnceTest(ClusterTestCase):
    """A record runs at most once for each idempotency key."""

    data_centres = {"dc-a": 3, "dc-b": 3}

    async def start_targets(self) -> None:
        for name, data_centre in zip(SERVICES, ("dc-a", "dc-b"), strict=True):
            await self.cluster.add_service(
                name, data_centre, delay_s=SERVICE_DELAY_SECONDS
            )

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.cluster.wait_claims()

    async def write(self, vm: str, key: str) -> ClientAnswer:
        """Sends a record with an idempotency key."""
        return await self.call(vm, "record", {"key": key}, idempotency_key=key)

    async def count_runs(self) -> collections.Counter[str]:
        """Returns how often the record of each key ran."""
        runs: collections.Counter[str] = collections.Counter()
        for name in SERVICES:
            for entry in (await self.executions(name))["executions"]:
                runs[entry[3]["key"]] += 1
        return runs

    async def assert_at_most_once(self) -> collections.Counter[str]:
        """Checks that no record ran twice and returns the counts."""
        runs = await self.count_runs()
        twice = {key: count for key, count in runs.items() if count > 1}
        self.assertEqual(twice, {})
        return runs

    async def assert_first_answer(
        self, key: str, first: ClientAnswer, vms: Iterable[str]
    ) -> None:
        """Checks that a repeated call replays the first answer at each VM."""
        for vm in vms:
            again = await self.write(vm, key)
            self.assertEqual(again.status, 200, (vm, key, again.error))
            self.assertEqual(again.headers.get(REPLAYED_HEADER), "true")
            self.assertEqual(again.body, first.body)

    async def wait_written(self, vm: str, key: str) -> ClientAnswer:
        """Repeats a record until it is answered with status 200."""
        answers: list[ClientAnswer] = []

        async def is_written() -> bool:
            answers.append(await self.write(vm, key))
            return answers[-1].status == 200

        await self.wait_for(is_written, seconds=RECOVERY_SECONDS)
        return answers[-1]

    async def test_same_key_at_several_vms(self) -> None:
        """Guards against a second run when clients repeat a call elsewhere.

        The same key goes to all VMs concurrently, and again after success.
        Then the entry VM is killed in the middle of calls and restarted
        without its memory.
        """
        vms = list(self.cluster.vms)
        keys = [f"{p}same-{i}" for p in ("dc-a/", "dc-b/", "") for i in (1, 2)]
        calls = list(itertools.product(keys, vms))
        answers = await asyncio.gather(*(self.write(v, k) for k, v in calls))
        first: dict[str, ClientAnswer] = {}
        for (key, _), answer in zip(calls, answers, strict=True):
            if answer.status == 200:
                known = first.setdefault(key, answer)
                self.assertEqual(answer.body, known.body)
            else:
                self.assertEqual(answer.error["execution"], "unknown")
        for key in keys:
            # Concurrent claims may all be refused; a later one succeeds.
            answer = await self.wait_written(vms[0], key)
            self.assertEqual(answer.body, first.setdefault(key, answer).body)
            await self.assert_first_answer(key, first[key], vms)
        runs = await self.assert_at_most_once()
        self.assertEqual(set(runs), set(keys))
        await self.check_entry_killed(keys, first)

    async def check_entry_killed(
        self, done: list[str], first: dict[str, ClientAnswer]
    ) -> None:
        """Kills the entry VM between the run and its answer.

        The clients repeat their calls at other VMs.
        """
        await self.cluster.set_faults(
            Fault(
                route="target:records-*",
                kind=FaultKind.DELAY,
                direction=Direction.TO_CLIENT,
                seconds=2 * SERVICE_DELAY_SECONDS,
            )
        )
        keys = [f"{p}killed-{i}" for p in ("dc-a/", "dc-b/") for i in (1, 2, 3)]
        tasks = [asyncio.create_task(self.write("dc-a-2", k)) for k in keys]
        await asyncio.sleep(2 * SERVICE_DELAY_SECONDS)
        await self.cluster.kill("dc-a-2")
        await self.cluster.set_faults()
        await asyncio.gather(*tasks)
        others = ("dc-a-1", "dc-b-1", "dc-b-2")
        for vm in others:
            await asyncio.gather(*(self.write(vm, key) for key in keys))
        runs = await self.assert_at_most_once()
        self.assertTrue(all(runs[key] for key in keys), runs)
        answer = await self.write("dc-a-1", "dc-a/after-kill")
        self.assertEqual(answer.status, 200, answer.error)
        await self.cluster.start_vm("dc-a-2")
        await self.cluster.wait_ready("dc-a-2")
        await self.wait_written("dc-a-2", "dc-a/after-restart")
        await asyncio.gather(*(self.write("dc-a-2", key) for key in keys))
        for key in done:
            await self.assert_first_answer(key, first[key], ("dc-a-2",))
        await self.assert_at_most_once()

    async def test_claim_holders_fail_under_load(self) -> None:
        """Guards against claims that are lost with the memory of holders.

        One holder after the other is killed and restarted while clients
        send each key to two VMs; then one is frozen.
        """
        ends_at = time.monotonic() + LOAD_SECONDS
        answered: dict[str, dict[str, object]] = {}

        async def work(worker: int) -> None:
            for i in itertools.count():
                if time.monotonic() > ends_at:
                    return
                key = f"dc-a/load-{worker}-{i}"
                for vm in ("dc-a-1", f"dc-b-{worker % 3 + 1}"):
                    answer = await self.write(vm, key)
                    if answer.status == 200:
                        known = answered.setdefault(key, answer.body)
                        self.assertEqual(answer.body, known)

        workers = [asyncio.create_task(work(i)) for i in range(6)]
        for name in ("dc-a-3", "dc-a-2"):
            await asyncio.sleep(0.5)
            await self.cluster.kill(name)
            await asyncio.sleep(1.0)
            await self.cluster.start_vm(name)
            await self.cluster.wait_ready(name)
            await asyncio.sleep(1.0)
        await asyncio.gather(*workers)
        runs = await self.assert_at_most_once()
        lost = [key for key in answered if runs[key] != 1]
        self.assertEqual(lost, [])
        self.assertGreater(len(answered), 20)
        # By now both holders without a disk have lost their memory.
        for key, body in answered.items():
            again = await self.write("dc-a-2", key)
            self.assertEqual(again.body, body, again.error)
        await self.assert_at_most_once()
        await self.check_frozen_holder()

    async def check_frozen_holder(self) -> None:
        """Freezes a holder; the others grant claims and it catches up."""
        self.cluster.freeze("dc-a-3")
        first = {}
        for i in range(3):
            key = f"dc-a/frozen-{i}"
            first[key] = await self.wait_written(f"dc-a-{i % 2 + 1}", key)
        self.cluster.thaw("dc-a-3")
        for key, answer in first.items():
            await self.wait_written("dc-a-3", key)
            await self.assert_first_answer(key, answer, ("dc-a-3", "dc-b-1"))
        await self.assert_at_most_once()

    async def test_partitioned_data_centre_keeps_own_keys(self) -> None:
        """Guards against a second run, or no run, during a partition."""
        before = await self.write("dc-a-2", "dc-b/before")
        self.assertEqual(before.status, 200, before.error)
        await self.cluster.set_faults(
            *self.cluster.partition_data_centre("dc-b")
        )
        await asyncio.sleep(3.5)
        local_answers: dict[str, ClientAnswer] = {}
        for vm in self.cluster.vms:
            key = f"{vm[:4]}/cut-{vm}"
            local_answers[key] = await self.write(vm, key)
            self.assertEqual(
                local_answers[key].status, 200, (key, local_answers[key].error)
            )
        remote_answers: dict[str, ClientAnswer] = {}
        for vm, key in (
            ("dc-a-1", "dc-b/far-1"),
            ("dc-b-2", "dc-a/far-2"),
            ("dc-a-1", "dc-b/before"),
        ):
            started = time.monotonic()
            remote_answers[key] = await self.write(vm, key)
            self.assertLess(time.monotonic() - started, REFUSAL_SECONDS)
            self.assertNotEqual(remote_answers[key].status, 200)
        runs = await self.assert_at_most_once()
        for key in ("dc-b/far-1", "dc-a/far-2"):
            self.assertEqual(runs[key], 0, remote_answers[key].error)
        self.assertEqual(
            remote_answers["dc-b/before"].error["execution"], "unknown"
        )
        await self.cluster.set_faults()
        for key in ("dc-b/far-1", "dc-a/far-2", "dc-b/before"):
            await self.wait_written("dc-a-2", key)
        await self.assert_first_answer("dc-b/before", before, ("dc-a-1",))
        for key, answer in local_answers.items():
            await self.assert_first_answer(key, answer, ("dc-a-1", "dc-b-1"))
        await self.assert_at_most_once()

    async def test_frozen_entry_vm_and_poor_links(self) -> None:
        """Guards against a late second run by a VM that was frozen.

        Messages between VMs are delayed, one VM's messages to the other data
        centre are lost in one direction, and the entry VM is frozen while it
        claims, calls and answers. The clients repeat their calls at other VMs.
        """
        await self.cluster.set_faults(
            Fault(
                route="peer:*", kind=FaultKind.DELAY, seconds=LINK_DELAY_SECONDS
            ),
            Fault(
                route="peer:dc-b-1:dc-a-*",
                kind=FaultKind.HOLD,
                direction=Direction.TO_SERVER,
            ),
        )
        keys = [f"dc-a/frozen-entry-{i}" for i in range(12)]
        tasks = []
        for key in keys:
            tasks.append(asyncio.create_task(self.write("dc-a-2", key)))
            await asyncio.sleep(SERVICE_DELAY_SECONDS / 8)
        self.cluster.freeze("dc-a-2")
        answers: dict[str, list[ClientAnswer]] = {key: [] for key in keys}
        for vm in ("dc-a-1", "dc-b-2", "dc-a-3"):
            await self.write_all(vm, keys, answers)
        await self.assert_at_most_once()
        self.cluster.thaw("dc-a-2")
        for key, task in zip(keys, tasks, strict=True):
            answers[key].append(await task)
        await self.cluster.set_faults()
        for vm in self.cluster.vms:
            await self.write_all(vm, keys, answers)
        runs = await self.assert_at_most_once()
        for key, known in answers.items():
            done = [answer.body for answer in known if answer.status == 200]
            self.assertEqual(done, done[:1] * len(done))
            self.assertLessEqual(bool(done), runs[key])
        await self.assert_refusals_correct(answers)

    async def write_all(
        self,
        vm: str,
        keys: list[str],
        answers: dict[str, list[ClientAnswer]],
    ) -> None:
        """Sends the record of each key to a VM.

        A refusal with `not_run` must be true when it is sent; a later call
        with the key may run.
        """
        before = await self.count_runs()
        found = await asyncio.gather(*(self.write(vm, key) for key in keys))
        for key, answer in zip(keys, found, strict=True):
            answers[key].append(answer)
            if reports_not_run(answer):
                self.assertEqual(before[key], 0, (vm, key, answer.error))

    async def assert_refusals_correct(
        self, answers: dict[str, list[ClientAnswer]]
    ) -> None:
        """Checks that no call ran that was refused with `not_run`."""
        ran = set()
        for name in SERVICES:
            for entry in (await self.executions(name))["executions"]:
                ran.add(entry[0])
        for answer in itertools.chain(*answers.values()):
            if reports_not_run(answer):
                self.assertNotIn(answer.request_id, ran, answer.error)

    async def test_key_that_was_refused_without_a_target(self) -> None:
        """Guards against a key that stays claimed by a call that did not run.

        The refusal is true when it is sent, and a later call may run.
        """
        for name in SERVICES:
            await self.cluster.stop(name)
        answers: dict[str, list[ClientAnswer]] = {}

        async def is_refused() -> bool:
            key = f"dc-a/no-target-{len(answers)}"
            answers[key] = [await self.write("dc-a-1", key)]
            return reports_not_run(answers[key][-1])

        await self.wait_for(is_refused, seconds=RECOVERY_SECONDS)
        for name in SERVICES:
            await self.cluster.start_target(name)
        for name in SERVICES:
            await self.cluster.wait_status(
                f"{self.cluster.targets[name].url}/healthz"
            )
        key = f"dc-a/no-target-{len(answers) - 1}"
        await self.wait_written("dc-a-2", key)
        runs = await self.assert_at_most_once()
        self.assertEqual(runs[key], 1)
        await self.assert_refusals_correct(answers)


def reports_not_run(answer: ClientAnswer) -> bool:
    """Returns whether an answer states that the call did not run."""
    return bool(answer.error) and answer.error["execution"] == "not_run"
