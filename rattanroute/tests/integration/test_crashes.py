"""Chat requests that crash each engine that runs them."""

import asyncio

from rattanroute.tests.integration.cluster_support import ClusterTestCase

MARKER = "poison"
MAX_CRASHED = 2
TOKENS = 60
ENGINES = 6


class CrashingRequestTest(ClusterTestCase):
    """A request crashes at most two engines in the whole cluster."""

    data_centres = {"dc-a": 2, "dc-b": 2}

    async def start_targets(self) -> None:
        for i in range(ENGINES):
            await self.cluster.add_engine(
                f"engine-{i}",
                ("dc-a", "dc-b")[i % 2],
                model="chat",
                slots=8,
                tokens_per_second=30.0,
                faults={"crash_marker": MARKER},
            )

    def list_crashed(self) -> list[str]:
        """Returns the engines that have crashed."""
        return [
            name
            for name in self.cluster.targets
            if self.cluster.processes[name].returncode is not None
        ]

    async def test_crashing_request_is_refused(self) -> None:
        """Guards against a request that crashes all engines.

        Its client resends it to all VMs. Other requests that ran on the
        crashed engines must complete.
        """
        prompts = [f"harmless question {i}" for i in range(16)]
        vms = list(self.cluster.vms)
        harmless = [
            asyncio.create_task(
                self.chat(vms[i % len(vms)], prompt, tokens=TOKENS)
            )
            for i, prompt in enumerate(prompts)
        ]
        await asyncio.sleep(0.5)
        prompt = f"a {MARKER} question"
        first = await self.chat("dc-a-1", prompt)
        self.assertIsNotNone(first.error)
        self.assertNotEqual(first.error["execution"], "not_run")
        self.assertLessEqual(len(self.list_crashed()), MAX_CRASHED)
        self.assertGreater(len(self.list_crashed()), 0)
        for _ in range(2):
            for vm in vms:
                again = await self.chat(vm, prompt)
                self.assertEqual(again.error["type"], "request_quarantined")
                self.assertNotEqual(again.error["execution"], "not_run")
        self.assertLessEqual(len(self.list_crashed()), MAX_CRASHED)
        for prompt, answer in zip(
            prompts, await asyncio.gather(*harmless), strict=True
        ):
            self.assert_complete(answer, prompt, TOKENS)
        for vm in vms:
            answer = await self.chat(vm, "harmless question 1")
            self.assert_complete(answer, "harmless question 1")
