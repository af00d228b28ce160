"""Graceful shutdown of entry VMs under load."""

import asyncio
import itertools
import time

import aiohttp
import msgspec

from rattanroute.tests.integration.cluster_support import ClientAnswer
from rattanroute.tests.integration.cluster_support import ClusterTestCase
from rattanroute.tools.demo_configuration import NOTES_KEY
from rattanroute.tools.demo_configuration import SERVICE

ENGINES = {"engine-a": "dc-a", "engine-b": "dc-b"}
SERVICES = {"records-a": "dc-a", "records-b": "dc-b"}
# About 4 s, longer than a shutdown that does not wait for requests.
TOKENS = 160
READINESS_INTERVAL_SECONDS = 0.2
CALL_SECONDS = 15.0
# Longer than a VM takes to leave the cluster if no request is open, and than
# the age at which it no longer uses a target's report; shorter than the
# daemon's limit for a body.
BODY_PAUSE_SECONDS = 5.0


class GracefulShutdownTest(ClusterTestCase):
    """A graceful shutdown interrupts no request."""

    data_centres = {"dc-a": 3, "dc-b": 3}

    async def start_targets(self) -> None:
        for name, data_centre in ENGINES.items():
            await self.cluster.add_engine(
                name,
                data_centre,
                model="chat",
                slots=32,
                tokens_per_second=40.0,
            )
        for name, data_centre in SERVICES.items():
            await self.cluster.add_service(name, data_centre, delay_s=0.5)

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.cluster.wait_claims()
        self.ready: set[str] = set(self.cluster.vms)
        self.under_load = True
        self.served = 0
        self.accepted = asyncio.Semaphore(0)

    async def poll_ready(self) -> None:
        """Checks the readiness of all VMs at an interval."""
        while self.under_load:
            await asyncio.gather(*map(self.update_ready, self.cluster.vms))
            await asyncio.sleep(READINESS_INTERVAL_SECONDS)

    async def update_ready(self, vm: str) -> None:
        """Updates `ready` with the readiness check of a VM."""
        url = f"{self.cluster.vms[vm].callers_url}/readyz"
        try:
            async with self.cluster.client.get(
                url, timeout=aiohttp.ClientTimeout(total=1)
            ) as response:
                ready = response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            ready = False
        (self.ready.add if ready else self.ready.discard)(vm)

    async def send_balanced(self, worker: int, send: object) -> ClientAnswer:
        """Sends a request to ready VMs, as a load balancer does.

        A request that a VM refuses because it is stopping or not ready yet
        is sent to another VM.
        """
        ends_at = time.monotonic() + CALL_SECONDS
        answer = ClientAnswer()
        for i in itertools.count(worker):
            ready = sorted(self.ready)
            if ready:
                answer = await send(ready[i % len(ready)])
                kind = (answer.error or {}).get("type")
                if kind not in ("stopping", "not_ready"):
                    break
            else:
                await asyncio.sleep(READINESS_INTERVAL_SECONDS)
            self.assertLess(time.monotonic(), ends_at, answer.error)
        return answer

    async def load_chats(self, worker: int) -> None:
        """Sends chat requests until `under_load` is false."""
        for i in itertools.count():
            if not self.under_load:
                return
            prompt = f"stop {worker} question {i}"
            answer = await self.send_balanced(
                worker + i, lambda vm, text=prompt: self.chat(vm, text)
            )
            self.assert_complete(answer, prompt)
            self.served += 1

    async def load_writes(self, worker: int) -> None:
        """Sends records until `under_load` is false."""
        for i in itertools.count():
            if not self.under_load:
                return
            key = f"dc-{'ab'[i % 2]}/stop-{worker}-{i}"
            answer = await self.send_balanced(
                worker + i,
                lambda vm, key=key: self.call(
                    vm, "record", {"key": key}, idempotency_key=key
                ),
            )
            self.assertEqual(answer.status, 200, (key, answer.error))
            self.served += 1

    async def count_runs(self) -> dict[str, int]:
        """Returns how often the record of each key ran."""
        runs: dict[str, int] = {}
        for name in SERVICES:
            for entry in (await self.executions(name))["executions"]:
                runs[entry[3]["key"]] = runs.get(entry[3]["key"], 0) + 1
        return runs

    async def test_shutdown_of_entry_vm_interrupts_nothing(self) -> None:
        """Guards against a shutdown that interrupts streams or writes."""
        prompts = [f"a long answer {i}" for i in range(6)]
        chats = [
            asyncio.create_task(self.chat("dc-a-2", text, tokens=TOKENS))
            for text in prompts
        ]
        await asyncio.sleep(0.4)
        keys = [f"dc-a/stop-{i}" for i in range(6)]
        writes = [
            asyncio.create_task(
                self.call("dc-a-2", "record", {"key": k}, idempotency_key=k)
            )
            for k in keys
        ]
        await asyncio.sleep(0.1)
        stopped = asyncio.create_task(self.cluster.stop("dc-a-2"))
        await asyncio.sleep(0.2)
        late = await self.chat("dc-a-2", "too late")
        self.assertEqual(late.error["type"], "stopping")
        self.assertEqual(late.error["execution"], "not_run")
        for prompt, answer in zip(
            prompts, await asyncio.gather(*chats), strict=True
        ):
            self.assert_complete(answer, prompt, TOKENS)
        for answer in await asyncio.gather(*writes):
            self.assertEqual(answer.status, 200, answer.error)
        self.assertEqual(await stopped, 0)
        self.assertEqual(await self.count_runs(), dict.fromkeys(keys, 1))

    async def send_slowly(
        self, vm: str, path: str, body: dict[str, object], *headers: str
    ) -> tuple[int, bytes]:
        """Sends a request whose body ends `BODY_PAUSE_SECONDS` after its head.

        The interim response tells that the VM has accepted the request, which
        is then added to `accepted`.

        Returns:
            The status and the body of the answer; 0 if there is none.
        """
        host, port = self.cluster.vms[vm].callers_url[7:].split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        data = msgspec.json.encode(body)
        lines = [
            f"POST {path} HTTP/1.1",
            "Host: h",
            f"Authorization: Bearer {NOTES_KEY}",
            f"Content-Length: {len(data)}",
            "Connection: close",
            "Expect: 100-continue",
            *headers,
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data[:10])
        interim = await reader.readuntil(b"\r\n\r\n")
        self.assertIn(b" 100 ", interim)
        self.accepted.release()
        await asyncio.sleep(BODY_PAUSE_SECONDS)
        writer.write(data[10:])
        try:
            async with asyncio.timeout(CALL_SECONDS):
                answer = await reader.read()
        except ConnectionError:
            answer = b""
        finally:
            writer.close()
        head, _, content = answer.partition(b"\r\n\r\n")
        return int(head.split(b" ")[1]) if head else 0, content

    async def test_body_that_arrives_during_the_shutdown(self) -> None:
        """Guards against a shutdown that does not wait for a request's body.

        The VM has accepted such a request. If it leaves the cluster first, it
        gets no more reports of targets, and its share of them runs out.
        """
        body = {
            "model": "chat",
            "stream": True,
            "max_tokens": TOKENS,
            "messages": [{"role": "user", "content": "a slow body"}],
        }
        requests = [
            asyncio.create_task(
                self.send_slowly("dc-a-2", "/v1/chat/completions", body)
            )
            for _ in range(6)
        ]
        keys = [f"dc-a/slow-{i}" for i in range(4)]
        requests += [
            asyncio.create_task(
                self.send_slowly(
                    "dc-a-2",
                    f"/v1/services/{SERVICE}/record",
                    {"key": key},
                    f"Idempotency-Key: {key}",
                )
            )
            for key in keys
        ]
        for _ in requests:
            await self.accepted.acquire()
        stopped = asyncio.create_task(self.cluster.stop("dc-a-2"))
        answers = await asyncio.gather(*requests)
        self.assertEqual([x[0] for x in answers], [200] * len(answers), answers)
        for _, content in answers[:6]:
            self.assertIn(b"[DONE]", content)
        self.assertEqual(await stopped, 0)
        self.assertEqual(await self.count_runs(), dict.fromkeys(keys, 1))

    async def test_rolling_restart_under_load(self) -> None:
        """Guards against requests that a rolling restart loses or repeats.

        Each VM in turn, including voters and claim holders, is stopped and
        started while clients send chats and records as through a load
        balancer.
        """
        checks = asyncio.create_task(self.poll_ready())
        workers = [
            asyncio.create_task(load(worker))
            for worker in range(4)
            for load in (self.load_chats, self.load_writes)
        ]
        for name in self.cluster.vms:
            self.assertEqual(await self.cluster.stop(name), 0)
            await self.cluster.start_vm(name)
            await self.cluster.wait_ready(name)
        await asyncio.sleep(1.0)
        self.under_load = False
        await asyncio.gather(checks, *workers)
        self.assertGreater(self.served, 100)
        self.assertEqual(set((await self.count_runs()).values()), {1})


class ShortGraceTest(ClusterTestCase):
    """A shutdown whose grace is shorter than the open requests."""

    data_centres = {"dc-a": 1}
    settings = {"limits": {"shutdown_grace_s": 1.0}}

    async def start_targets(self) -> None:
        await self.cluster.add_engine(
            "engine-a", "dc-a", model="chat", tokens_per_second=20.0
        )

    async def test_stream_that_outlasts_the_grace_ends_with_an_error(
        self,
    ) -> None:
        """Guards against a begun stream that is closed without a word."""
        chat = asyncio.create_task(self.chat("dc-a-1", "long", tokens=TOKENS))
        await asyncio.sleep(0.4)
        stopped = asyncio.create_task(self.cluster.stop("dc-a-1"))
        answer = await chat
        self.assertGreater(len(answer.tokens), 0)
        self.assertFalse(answer.done)
        self.assertIsNotNone(answer.error, "closed without an error event")
        self.assertEqual(answer.error["type"], "stopping")
        self.assertEqual(answer.error["execution"], "partial")
        self.assertEqual(await stopped, 0)
