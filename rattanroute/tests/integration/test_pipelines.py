"""Pipelines of layer-range engines while stages and links fail."""

import asyncio
import collections
import itertools

import aiohttp

from rattanroute.clients.attempts import prompt_words
from rattanroute.standins.reference_models import reference_tokens
from rattanroute.tests.integration.cluster_support import ClientAnswer
from rattanroute.tests.integration.cluster_support import ClusterTestCase
from rattanroute.tools.demo_configuration import LAYERS
from rattanroute.tools.proxies import Fault
from rattanroute.tools.proxies import FaultKind

TOKENS = 24
KILL_INDEX = 8
START_SECONDS = 15.0
# A frame of the stand-in model has about 60 bytes.
SLOW_BYTES_PER_SECOND = 600.0
STAGES = (
    ("first-a", "dc-a", 0, 3),
    ("first-b", "dc-b", 0, 3),
    ("last-a", "dc-a", 4, 7),
    ("last-b", "dc-b", 4, 7),
)


class PipelineTest(ClusterTestCase):
    """Every layer runs exactly once for each token, in order."""

    data_centres = {"dc-a": 2, "dc-b": 1}

    async def start_targets(self) -> None:
        await self.add_stages(*STAGES)

    async def read_runs(
        self, request_id: str
    ) -> dict[str, list[tuple[int, int, int]]]:
        """Returns (attempt, position, layer) of each stage in run order."""
        return {
            name: [
                tuple(entry[1:])
                for entry in (await self.executions(name))["executions"]
                if entry[0] == request_id
            ]
            for name in self.cluster.targets
            if self.cluster.processes[name].returncode is None
        }

    def assert_tokens(self, answer: ClientAnswer, prompt: str) -> None:
        """Checks the tokens, each of which depends on all layers."""
        self.assertEqual(answer.status, 200, answer.error)
        self.assertTrue(answer.done, answer)
        self.assertEqual(
            answer.tokens, reference_tokens(prompt, LAYERS, TOKENS)
        )

    def assert_in_order(
        self, runs: dict[str, list[tuple[int, int, int]]]
    ) -> None:
        """Checks that each stage runs its layers in order.

        Within an attempt no (position, layer) runs twice on a stage, and
        (position, layer) pairs only increase.
        """
        for name, entries in runs.items():
            for attempt, group in itertools.groupby(
                sorted(entries, key=lambda e: e[0]), key=lambda e: e[0]
            ):
                pairs = [(position, layer) for _, position, layer in group]
                self.assertEqual(pairs, sorted(set(pairs)), (name, attempt))

    async def test_fault_free_pipeline(self) -> None:
        """Guards against a layer that is skipped, repeated or out of order.

        Several clients send concurrently, to all VMs.
        """
        prompts = [f"pipe question {i} of some words" for i in range(6)]
        vms = list(self.cluster.vms)
        answers = await asyncio.gather(
            *(
                self.chat(
                    vms[i % len(vms)], prompt, model="split", tokens=TOKENS
                )
                for i, prompt in enumerate(prompts)
            )
        )
        for prompt, answer in zip(prompts, answers, strict=True):
            self.assert_tokens(answer, prompt)
            runs = await self.read_runs(answer.request_id)
            self.assert_in_order(runs)
            counts = collections.Counter(
                (position, layer)
                for entries in runs.values()
                for _, position, layer in entries
            )
            self.assertEqual(set(counts.values()), {1})
            words = prompt_words([{"role": "user", "content": prompt}])
            positions = len(words) + TOKENS - 1
            self.assertEqual(len(counts), positions * LAYERS)

    async def test_killed_stages(self) -> None:
        """Guards against a wrong rebuild when a stage crashes mid-stream.

        The first stage is killed in the middle of one stream and the last
        one in the middle of another; only the killed stage is rebuilt.
        """
        for stage in ("first", "last"):
            victim = ""

            async def kill(count: int, stage: str = stage) -> None:
                nonlocal victim
                if count == KILL_INDEX:
                    victim = await self.find_active(stage)
                    await self.cluster.kill(victim)

            prompt = f"{stage} stage dies in the middle"
            answer = await self.chat(
                "dc-a-1", prompt, model="split", tokens=TOKENS, on_token=kill
            )
            self.assert_tokens(answer, prompt)
            runs = await self.read_runs(answer.request_id)
            self.assert_in_order(runs)
            self.assert_others_ran_once(runs, stage)
            await self.cluster.start_target(victim)
            await self.wait_targets(len(STAGES))
            await self.wait_for(self.are_all_running, seconds=START_SECONDS)

    async def are_all_running(self) -> bool:
        """Returns whether all stages answer."""
        try:
            for name in self.cluster.targets:
                await self.executions(name)
        except aiohttp.ClientError:
            return False
        return True

    async def find_active(self, stage: str) -> str:
        """Returns the engine of a stage that is running a request."""
        active = ""
        for name in self.cluster.targets:
            url = f"{self.cluster.targets[name].url}/healthz"
            async with self.cluster.client.get(url) as response:
                running = (await response.json())["running"]
            if running and name.startswith(stage):
                active = name
        self.assertTrue(active, f"no {stage} stage is running")
        return active

    def assert_others_ran_once(
        self, runs: dict[str, list[tuple[int, int, int]]], stage: str
    ) -> None:
        """Checks that the other stage ran each position exactly once."""
        counts = collections.Counter(
            (position, layer)
            for name, entries in runs.items()
            if not name.startswith(stage)
            for _, position, layer in entries
        )
        self.assertEqual(set(counts.values()), {1})

    async def test_slow_and_broken_links(self) -> None:
        """Guards against repeated positions when a stage answers late.

        In the middle of one stream each, the link to a stage becomes slow,
        is blocked and is reset.
        """
        for kind in (FaultKind.SLOW, FaultKind.HOLD, FaultKind.RESET):

            async def inject_fault(count: int, kind: FaultKind = kind) -> None:
                if count == KILL_INDEX:
                    name = await self.find_active("last")
                    await self.cluster.set_faults(
                        Fault(
                            route=f"target:{name}",
                            kind=kind,
                            bytes_per_second=SLOW_BYTES_PER_SECOND,
                        )
                    )

            prompt = f"the link gets {kind} in the middle"
            answer = await self.chat(
                "dc-a-1",
                prompt,
                model="split",
                tokens=TOKENS,
                on_token=inject_fault,
            )
            await self.cluster.set_faults()
            self.assert_tokens(answer, prompt)
            self.assert_in_order(await self.read_runs(answer.request_id))
