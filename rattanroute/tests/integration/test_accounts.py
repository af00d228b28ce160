"""Accounts after an entry VM is killed, and isolation of workspaces."""

import asyncio
import collections
import json

from rattanroute.clients.attempts import prompt_words
from rattanroute.systems.share_allocators import LEASE_SECONDS
from rattanroute.systems.shares import BURST_SECONDS
from rattanroute.tests.integration.cluster_support import ClientAnswer
from rattanroute.tests.integration.cluster_support import ClusterTestCase
from rattanroute.tools.demo_configuration import ADVICE_KEY
from rattanroute.tools.demo_configuration import build_workspace
from rattanroute.tools.demo_configuration import NOTES_KEY

ENGINES = ("engine-a", "engine-b")
ACCOUNTS_TIMEOUT_SECONDS = 20.0
TOKENS = 12
LONG_TOKENS = 200
# The streams need all slots of the data centre, part of which the other VM
# holds for one lease; a second of work is then started each second. No stream
# has ended by then.
START_TIMEOUT_SECONDS = LEASE_SECONDS + BURST_SECONDS
KEYS = {"notes": NOTES_KEY, "advice": ADVICE_KEY}
PROMPT = "how much is this"
PROMPT_WORDS = len(prompt_words([{"role": "user", "content": PROMPT}]))
PRIVATE_KEY = "key-of-workspace-private"


class AccountsTest(ClusterTestCase):
    """Accounts match the work that engines did."""

    data_centres = {"dc-a": 2, "dc-b": 1, "dc-c": 1}

    async def start_targets(self) -> None:
        for name, data_centre in zip(ENGINES, ("dc-a", "dc-b"), strict=True):
            await self.cluster.add_engine(
                name,
                data_centre,
                model="chat",
                slots=8,
                tokens_per_second=40.0,
            )

    async def read_accounts(self) -> dict[str, dict[str, int]]:
        """Returns requests and tokens of each workspace, by workspace."""
        result = await self.cluster.run_tool("--output=json", "accounts")
        self.assertEqual(result.code, 0, result.errors)
        totals = json.loads(result.output)["totals"]
        return {
            row["workspace"]: {
                name: int(row[name])
                for name in ("requests", "tokens_in", "tokens_out")
            }
            for row in totals
        }

    async def count_positions(self) -> dict[tuple[str, int], int]:
        """Returns how many positions engines ran for each attempt."""
        counts: collections.Counter[tuple[str, int]] = collections.Counter()
        for name in ENGINES:
            for request, attempt, _, layer in (await self.executions(name))[
                "executions"
            ]:
                counts[request, attempt] += layer == 0
        return counts

    async def test_accounts_survive_entry_vm(self) -> None:
        """Guards against lost or doubled usage when an entry VM is killed.

        The VM is killed right after some answers and in the middle of
        others, whose usage is known only to the engines.
        """
        workspaces = ["notes", "advice"] * 4
        answers = await asyncio.gather(
            *(
                self.chat("dc-a-2", PROMPT, tokens=TOKENS, key=KEYS[name])
                for name in workspaces
            )
        )
        for answer in answers:
            self.assert_complete(answer, PROMPT, TOKENS)
        begun: set[int] = set()
        streams = [
            asyncio.create_task(self.send_long(number, KEYS[name], begun))
            for number, name in enumerate(workspaces)
        ]

        async def have_begun() -> bool:
            return len(begun) == len(streams)

        await self.wait_for(have_begun, seconds=START_TIMEOUT_SECONDS)
        await self.cluster.kill("dc-a-2")
        for answer in await asyncio.gather(*streams):
            self.assertFalse(answer.done)
        await asyncio.sleep(1.0)
        await self.check_accounts(len(workspaces))

    async def send_long(
        self, number: int, key: str, begun: set[int]
    ) -> ClientAnswer:
        """Sends a long stream; its first token adds its number to `begun`."""

        async def note_token(count: int) -> None:
            begun.add(number)

        return await self.chat(
            "dc-a-2", PROMPT, tokens=LONG_TOKENS, key=key, on_token=note_token
        )

    async def check_accounts(self, count: int) -> None:
        """Compares the accounts with what the engines ran.

        A cancelled run may have run the position of a token that it never
        sent, so the count of each request may differ by one token.
        """
        positions = await self.count_positions()
        self.assertEqual(len(positions), 2 * count)
        ran = sum(positions.values()) - 2 * count * PROMPT_WORDS
        accounts: dict[str, dict[str, int]] = {}

        async def are_complete() -> bool:
            nonlocal accounts
            accounts = await self.read_accounts()
            total = sum(row["requests"] for row in accounts.values())
            return total >= 2 * count

        await self.wait_for(are_complete, seconds=ACCOUNTS_TIMEOUT_SECONDS)
        for name in KEYS:
            self.assertEqual(accounts[name]["requests"], count, accounts)
            self.assertEqual(accounts[name]["tokens_in"], count * PROMPT_WORDS)
        tokens_out = sum(row["tokens_out"] for row in accounts.values())
        self.assertGreaterEqual(tokens_out, ran)
        self.assertLessEqual(tokens_out, ran + 2 * count)
        await asyncio.sleep(3.0)
        self.assertEqual(await self.read_accounts(), accounts)

    async def test_workspaces_see_their_models_only(self) -> None:
        """Guards against a workspace that sees models of another one."""
        private = build_workspace("private", "neighbour-b", PRIVATE_KEY)
        private["put_workspace"]["models"] = ["secret"]
        applied = await self.cluster.apply(
            [{"put_model": {"name": "secret", "layers": 8}}, private]
        )
        self.assertEqual(applied.code, 0, applied.errors)
        for vm in self.cluster.vms:
            await self.wait_for(
                lambda vm=vm: self.lists_model(vm, PRIVATE_KEY, "secret"),
                seconds=10.0,
            )
            for key in KEYS.values():
                self.assertFalse(await self.lists_model(vm, key, "secret"))
                hidden = await self.chat(vm, PROMPT, model="secret", key=key)
                unknown = await self.chat(vm, PROMPT, model="absent", key=key)
                for answer in (hidden, unknown):
                    self.assertEqual(answer.status, 404)
                    answer.error.pop("request_id")
                text = json.dumps(hidden.error).replace("secret", "absent")
                self.assertEqual(json.loads(text), unknown.error)
            self.assertFalse(await self.lists_model(vm, PRIVATE_KEY, "chat"))
            refused = await self.chat(vm, PROMPT, key=PRIVATE_KEY)
            self.assertEqual(refused.status, 404)
            called = await self.call(vm, "status", {}, key=PRIVATE_KEY)
            self.assertEqual(called.status, 404)

    async def lists_model(self, vm: str, key: str, model: str) -> bool:
        """Returns whether the model list of a workspace has a model."""
        async with self.cluster.client.get(
            f"{self.cluster.vms[vm].callers_url}/v1/models",
            headers={"Authorization": f"Bearer {key}"},
        ) as response:
            body = await response.json()
        return model in [row["id"] for row in body.get("data", ())]
