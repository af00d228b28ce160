"""Targets that shut down, are drained or fall silent under load."""

import asyncio
import itertools
import time

from rattanroute.standins.reference_models import reference_tokens
from rattanroute.tests.integration.cluster_support import ClusterTestCase
from rattanroute.tools.demo_configuration import LAYERS

LEAVING_BOUND_SECONDS = 3.0
OBSERVATION_SECONDS = 2.0
TOKENS = 8


class LeavingTest(ClusterTestCase):
    """A leaving target receives no new work from any VM after 3 s."""

    data_centres = {"dc-a": 2, "dc-b": 2}

    async def start_targets(self) -> None:
        for name, data_centre in (
            ("engine-a", "dc-a"),
            ("engine-b", "dc-b"),
            ("engine-c", "dc-a"),
            ("engine-d", "dc-b"),
            ("engine-e", "dc-b"),
        ):
            await self.cluster.add_engine(
                name,
                data_centre,
                model="chat",
                slots=4,
                tokens_per_second=40.0,
            )

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.failures: list[str] = []
        self.served = 0
        self.under_load = True

    async def send_load(self, vm: str, worker: int) -> None:
        """Sends requests to a VM until `under_load` is false."""
        for i in itertools.count():
            if not self.under_load:
                return
            prompt = f"{vm} {worker} question {i}"
            answer = await self.chat(vm, prompt, tokens=TOKENS)
            expected = reference_tokens(prompt, LAYERS, TOKENS)
            self.served += 1
            if not answer.done or answer.tokens != expected:
                self.failures.append(f"{prompt}: {answer.error}")

    async def read_request_ids(self, engine: str) -> set[str]:
        """Returns the identifiers of the requests that an engine has run."""
        entries = (await self.executions(engine))["executions"]
        return {entry[0] for entry in entries}

    async def assert_no_new_work(self, engine: str, left_at: float) -> None:
        """Checks that an engine gets no new request 3 s after it leaves.

        Under this load, every engine would get several requests a second.
        """
        await asyncio.sleep(max(0.0, left_at + LEAVING_BOUND_SECONDS - now()))
        known = await self.read_request_ids(engine)
        served = self.served
        await asyncio.sleep(OBSERVATION_SECONDS)
        self.assertEqual(await self.read_request_ids(engine) - known, set())
        self.assertGreater(self.served - served, 10)

    async def test_leaving_targets_get_no_new_work(self) -> None:
        """Guards against work for a leaving target, and lost requests.

        One engine is drained by an operator, one falls silent (its
        heartbeats stop while it still serves) and one gets SIGTERM, all
        under load from all VMs.
        """
        workers = [
            asyncio.create_task(self.send_load(vm, worker))
            for vm in self.cluster.vms
            for worker in range(3)
        ]
        await asyncio.sleep(1.5)
        for name in self.cluster.targets:
            self.assertTrue(await self.read_request_ids(name), name)
        drained = await self.cluster.run_tool("drain", "--target=engine-d")
        self.assertEqual(drained.code, 0, drained.errors)
        await self.assert_no_new_work("engine-d", now())
        await self.set_target_faults("engine-e", silent_heartbeats=True)
        await self.assert_no_new_work("engine-e", now())
        await self.check_terminated("engine-a")
        self.under_load = False
        await asyncio.gather(*workers)
        self.assertEqual(self.failures, [])

    async def check_terminated(self, engine: str) -> None:
        """Stops an engine during a long request, which must complete."""
        url = f"{self.cluster.targets[engine].url}/v1/chat/completions"
        body = {
            "model": "chat",
            "max_tokens": 240,
            "messages": [{"role": "user", "content": "holds the engine open"}],
        }
        holder = asyncio.create_task(self.send_long_request(url, body))
        await asyncio.sleep(0.3)
        left_at = now()
        stopped = asyncio.create_task(self.cluster.stop(engine))
        await self.assert_no_new_work(engine, left_at)
        self.assertFalse(stopped.done(), "the engine was not held open")
        self.assertEqual(await holder, 200)
        self.assertEqual(await stopped, 0)

    async def send_long_request(self, url: str, body: dict[str, object]) -> int:
        """Sends a request directly to an engine; returns its status."""
        async with self.cluster.client.post(url, json=body) as response:
            await response.read()
            return response.status


def now() -> float:
    """Returns the time of the monotonic clock."""
    return time.monotonic()
