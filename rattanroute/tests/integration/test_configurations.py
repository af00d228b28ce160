"""Configuration changes while voters and links fail."""

import asyncio
import shutil
import statistics
import time

import aiohttp

from rattanroute.proto import operators_pb2 as pb
from rattanroute.tests.integration.cluster_support import ClusterTestCase
from rattanroute.tools.cli_client import CliError
from rattanroute.tools.cli_client import ExitCode
from rattanroute.tools.cli_client import OperatorsClient
from rattanroute.tools.cluster_hosts import OPERATORS_TOKEN
from rattanroute.tools.proxies import Fault
from rattanroute.tools.proxies import FaultKind

ACTIVE_TIMEOUT_SECONDS = 10.0
CATCH_UP_SECONDS = 2.0
ACCEPT_TIMEOUT_SECONDS = 15.0
START_SECONDS = 20.0
# Longer than the leader's lease and the longest election timeout.
FROZEN_SECONDS = 5.0
# Within this time the repaired voter, which rejoins as a learner, may vote.
REPAIR_SECONDS = 5.0
MEASURED_CHANGES = 30
MANY_CHANGES = 300
POLL_SECONDS = 0.02


class ConfigurationTestCase(ClusterTestCase):
    """A cluster with a voter in each of three data centres.

    Attributes:
        accepted: Latest accepted version.
        reverted: Descriptions of VMs whose version decreased while they ran.
        restarts: Number of times that each VM was killed.
    """

    data_centres = {"dc-a": 2, "dc-b": 2, "dc-c": 2}

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.accepted = 1
        self.reverted: list[str] = []
        self.restarts: dict[str, int] = {}
        monitor = asyncio.create_task(self.monitor())
        self.addCleanup(monitor.cancel)

    async def read_state(self, vm: str) -> tuple[bool, int]:
        """Returns whether a VM is ready, and its active version or -1."""
        url = f"{self.cluster.vms[vm].callers_url}/readyz"
        try:
            async with self.cluster.client.get(
                url, timeout=aiohttp.ClientTimeout(total=0.5)
            ) as response:
                body = await response.json()
        except (aiohttp.ClientError, TimeoutError):
            return False, -1
        return body["ready"], body["configuration_version"]

    async def monitor(self) -> None:
        """Records each running VM that reverts to an earlier version."""
        seen: dict[tuple[str, int], int] = {}
        while True:
            for vm in self.cluster.vms:
                run = (vm, self.restarts.get(vm, 0))
                _, version = await self.read_state(vm)
                if run != (vm, self.restarts.get(vm, 0)):
                    continue
                if 0 <= version < seen.get(run, 0):
                    self.reverted.append(f"{run}: {seen[run]} to {version}")
                seen[run] = max(version, seen.get(run, 0))
            await asyncio.sleep(0.1)

    def client(self, *vms: str) -> OperatorsClient:
        """Returns an operators' client for the given VMs, by default all."""
        return OperatorsClient(
            addresses=tuple(
                self.cluster.vms[vm].operators_address
                for vm in vms or tuple(self.cluster.vms)
            ),
            metadata={"authorization": f"Bearer {OPERATORS_TOKEN}"},
            timeout_s=5.0,
        )

    def build_request(
        self, command_id: str, version: int, model: str
    ) -> pb.ApplyRequest:
        """Returns a request to put a model if `version` is current."""
        return pb.ApplyRequest(
            change=pb.Change(
                command_id=command_id,
                operator="tests",
                expected_version=version,
                operations=[
                    pb.Operation(put_model=pb.Model(name=model, layers=1))
                ],
            )
        )

    async def change(self, *vms: str) -> None:
        """Makes the next change, on the latest accepted version.

        The layers of the model `latest` are the version before the change.
        """
        version = self.accepted
        request = pb.ApplyRequest(
            change=pb.Change(
                command_id=f"change-{version}",
                operator="tests",
                expected_version=version,
                operations=[
                    pb.Operation(
                        put_model=pb.Model(name=f"m-{version % 7}", layers=8),
                    ),
                    pb.Operation(
                        put_model=pb.Model(name="latest", layers=version),
                    ),
                ],
            )
        )
        ends_at = time.monotonic() + ACCEPT_TIMEOUT_SECONDS
        while True:
            try:
                response = await self.client(*vms).change("Apply", request)
                break
            except CliError:
                if time.monotonic() > ends_at:
                    raise
        self.assertEqual(response.outcome, pb.ACCEPTED, response)
        self.assertEqual(response.version, version + 1)
        self.accepted = response.version

    async def wait_active(
        self, *vms: str, seconds: float = ACTIVE_TIMEOUT_SECONDS
    ) -> float:
        """Waits until the accepted version is active on ready VMs.

        Returns:
            The time that it took, in seconds.
        """
        started = time.monotonic()
        waiting = set(vms or self.cluster.vms)
        states: dict[str, str] = {}
        while waiting:
            for vm in list(waiting):
                ready, version = await self.read_state(vm)
                states[vm] = f"{ready=} {version=}"
                if ready and version >= self.accepted:
                    waiting.discard(vm)
            if time.monotonic() - started > seconds:
                found = [
                    f"{vm}: {states[vm]}, {self.cluster.describe_process(vm)}"
                    for vm in sorted(waiting)
                ]
                self.fail(f"{found} lack {self.accepted} after {seconds} s")
            await asyncio.sleep(POLL_SECONDS)
        return time.monotonic() - started

    async def assert_content(self) -> None:
        """Checks that the last change is active on each VM."""
        for vm in self.cluster.vms:
            response = await self.client(vm).call(
                "Get", pb.GetRequest(kind=pb.MODEL, name="latest", local=True)
            )
            self.assertEqual(response.entity.model.layers, self.accepted - 1)

    async def kill_vm(self, *names: str) -> None:
        """Kills VMs; the monitor compares versions within one run only."""
        for name in names:
            self.restarts[name] = self.restarts.get(name, 0) + 1
            await self.cluster.kill(name)

    async def find_leader(self) -> str:
        """Waits for a leader of the configuration log and returns it."""
        found = ""

        async def is_known() -> bool:
            nonlocal found
            response = await self.client().call("Status", pb.StatusRequest())
            found = response.leader
            return bool(found)

        await self.wait_for(is_known, seconds=ACCEPT_TIMEOUT_SECONDS)
        return found

    def list_voters(self) -> list[str]:
        """Returns the names of the voters."""
        return [vm.name for vm in self.cluster.vms.values() if vm.voter]

    def others(self, *names: str) -> tuple[str, ...]:
        """Returns all VMs except the given ones."""
        return tuple(vm for vm in self.cluster.vms if vm not in names)


class ConfigurationTest(ConfigurationTestCase):
    """Accepted configuration becomes active everywhere, never reverts."""

    async def test_changes_and_operators(self) -> None:
        """Guards against slow, lost, doubled or conflicting changes.

        Two operators race with the same expected version, a command is sent
        again, and a VM starts while it is isolated.
        """
        seconds = []
        for _ in range(MEASURED_CHANGES):
            await self.change()
            seconds.append(await self.wait_active())
        print(
            f"active after acceptance: median "
            f"{statistics.median(seconds):.3f} s, "
            f"longest of {len(seconds)} {max(seconds):.3f} s"
        )
        await self.check_race()
        await self.check_resent()
        await self.check_isolated_start()
        self.assertEqual(self.reverted, [])

    async def check_race(self) -> None:
        """Sends two different changes with the same expected version."""
        version = self.accepted
        for _ in range(3):
            results = await asyncio.gather(
                *(
                    self.cluster.apply(
                        [{"put_model": {"name": f"by-{name}", "layers": 4}}],
                        f"--expected-version={version}",
                        f"--command-id=race-{version}-{name}",
                    )
                    for name in ("first", "second")
                )
            )
            codes = [result.code for result in results]
            self.assertEqual(sorted(codes), [ExitCode.OK, ExitCode.CONFLICT])
            winner = ("first", "second")[codes.index(ExitCode.OK)]
            loser = results[codes.index(ExitCode.CONFLICT)]
            self.assertIn(f"race-{version}-{winner}", loser.output)
            version += 1
        self.accepted = version
        await self.wait_active()

    async def check_resent(self) -> None:
        """Sends one command twice; the second gets the first response."""
        arguments = (
            [{"put_model": {"name": "resent", "layers": 4}}],
            f"--expected-version={self.accepted}",
            "--command-id=resent-1",
        )
        first = await self.cluster.apply(*arguments)
        self.accepted += 1
        await self.change()
        again = await self.cluster.apply(*arguments)
        self.assertEqual((first.code, again.code), (0, 0), again.errors)
        self.assertEqual(first.output, again.output)
        await self.wait_active()
        response = await self.client().call("Status", pb.StatusRequest())
        self.assertEqual(response.configuration_version, self.accepted)

    async def check_isolated_start(self) -> None:
        """Starts an isolated VM, which must report that it is not ready."""
        await self.cluster.set_faults(
            Fault(route="peer:dc-c-2:*", kind=FaultKind.HOLD),
            Fault(route="peer:*:dc-c-2", kind=FaultKind.HOLD),
        )
        await self.kill_vm("dc-c-2")
        await self.cluster.start_vm("dc-c-2")
        await self.cluster.wait_healthy("dc-c-2")
        ends_at = time.monotonic() + 3.0
        while time.monotonic() < ends_at:
            ready, _ = await self.read_state("dc-c-2")
            self.assertFalse(ready)
            await asyncio.sleep(POLL_SECONDS)
        answer = await self.chat("dc-c-2", "is anyone there")
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.error["type"], "not_ready")
        self.assertEqual(answer.error["execution"], "not_run")
        await self.cluster.set_faults()
        await self.wait_active("dc-c-2")

    async def test_voters_fail(self) -> None:
        """Guards against versions that revert when leaders fail.

        The leader is frozen past its lease and resumed, each voter is killed
        in turn, and a data centre is partitioned and reconnected.
        """
        await self.change()
        await self.check_frozen_leader()
        for name in self.list_voters():
            await self.kill_vm(name)
            await self.change(*self.others(name))
            await self.wait_active(*self.others(name))
            await self.cluster.start_vm(name)
            await self.wait_active(seconds=START_SECONDS)
            await self.change()
        await self.check_partition()
        await self.wait_active()
        await self.assert_content()
        self.assertEqual(self.reverted, [])

    async def check_frozen_leader(self) -> None:
        """Freezes the leader, which must not act in its old term later."""
        leader = await self.find_leader()
        others = self.others(leader)
        stale = self.accepted
        self.cluster.freeze(leader)
        started = time.monotonic()
        await self.change(*others)
        await self.wait_active(*others)
        await asyncio.sleep(max(0, started + FROZEN_SECONDS - time.monotonic()))
        await self.change(*others)
        self.cluster.thaw(leader)
        request = self.build_request("stale", stale, "stale")
        try:
            response = await self.client(leader).change("Apply", request)
            self.assertEqual(response.outcome, pb.CONFLICT, response)
        except CliError as error:
            self.assertIn(
                error.code, (ExitCode.UNREACHABLE, ExitCode.UNKNOWN), str(error)
            )
        await self.wait_active()
        self.assertNotEqual(await self.find_leader(), "")

    async def check_partition(self) -> None:
        """Partitions a data centre, which catches up once reconnected."""
        await self.cluster.set_faults(
            *self.cluster.partition_data_centre("dc-b")
        )
        await asyncio.sleep(3.0)
        others = self.others("dc-b-1", "dc-b-2")
        for _ in range(3):
            await self.change(*others)
        await self.wait_active(*others)
        _, version = await self.read_state("dc-b-2")
        self.assertLess(version, self.accepted)
        await self.cluster.set_faults()
        seconds = await self.wait_active(
            "dc-b-1", "dc-b-2", seconds=CATCH_UP_SECONDS
        )
        print(f"active after reconnection: {seconds:.3f} s")


class RestartTest(ConfigurationTestCase):
    """Accepted configuration survives restarts and lost disks."""

    async def test_restart_after_many_changes(self) -> None:
        """Guards against an old version after all processes are killed."""
        for _ in range(MANY_CHANGES):
            await self.change("dc-a-1")
        await self.kill_vm(*self.cluster.vms)
        for name in self.cluster.vms:
            await self.cluster.start_vm(name)
        await self.wait_active(seconds=START_SECONDS)
        await self.assert_content()
        await self.change()
        await self.wait_active()
        await self.assert_content()
        self.assertEqual(self.reverted, [])

    async def test_lost_disk_and_second_loss(self) -> None:
        """Guards against a voter that votes after it lost its disk.

        One voter loses its data folder. Right after its repair, a second
        voter is frozen, killed and loses its data folder. No accepted change
        may be lost.
        """
        for _ in range(5):
            await self.change()
        first, second, _ = self.list_voters()
        await self.kill_vm(first)
        shutil.rmtree(self.cluster.folder / first)
        await self.change(*self.others(first))
        await self.cluster.start_vm(first)
        await self.wait_active(seconds=START_SECONDS)
        await asyncio.sleep(REPAIR_SECONDS)
        # Only the repaired voter and the third one can accept this change.
        self.cluster.freeze(second)
        await self.change(*self.others(second))
        await self.kill_vm(second)
        shutil.rmtree(self.cluster.folder / second)
        await self.wait_active(*self.others(second))
        await self.change(*self.others(second))
        await self.wait_active(*self.others(second))
        await self.cluster.start_vm(second)
        await self.wait_active(seconds=START_SECONDS)
        await self.assert_content()
        self.assertEqual(self.reverted, [])

    async def test_voter_without_disk_does_not_vote(self) -> None:
        """Guards against a majority that has lost an accepted change.

        Two voters accept a change without the third one. Then one of the two
        loses its data folder, the other one is down, and the third returns:
        together they must accept nothing.
        """
        await self.change()
        first, second, third = self.list_voters()
        stale = self.accepted
        await self.kill_vm(second)
        await self.change(*self.others(second))
        await self.kill_vm(first, third)
        shutil.rmtree(self.cluster.folder / first)
        for name in (first, second):
            await self.cluster.start_vm(name)
            await self.cluster.wait_healthy(name)
        ends_at = time.monotonic() + FROZEN_SECONDS
        request = self.build_request("forgotten", stale, "forgotten")
        while time.monotonic() < ends_at:
            with self.assertRaises(CliError):
                response = await self.client(second).change("Apply", request)
                self.fail(f"accepted without the last change: {response}")
        await self.cluster.start_vm(third)
        await self.wait_active(seconds=START_SECONDS)
        await self.assert_content()
        await self.change()
        await self.wait_active()
        self.assertEqual(self.reverted, [])
