"""Test case with a VM and a crowd of clients that hold its resources."""

import asyncio
import json
import resource
import time
import unittest

import aiohttp

from rattanroute.tests.untrusted_clients import ProcessMeter
from rattanroute.tests.untrusted_clients import UntrustedCrowd
from rattanroute.tools.cluster_hosts import CALLERS_PORT
from rattanroute.tools.cluster_hosts import merge_settings
from rattanroute.tools.cluster_hosts import TARGETS_PORT
from rattanroute.tools.clusters import LocalCluster
from rattanroute.tools.demo_configuration import apply_configuration
from rattanroute.tools.demo_configuration import NOTES_KEY

VM = "dc-a-1"
CHAT_PATH = "/v1/chat/completions"
ANNOUNCE_PATH = "/v1/targets/announce"
CHAT = {
    "model": "chat",
    "max_tokens": 2,
    "messages": [{"role": "user", "content": "a fair question"}],
}
# Longer than the crowds take, so that only the held memory bounds them.
SETTINGS = {"limits": {"body_timeout_s": 60.0}}
FEW_DESCRIPTORS = 256
# A flood of clients leaves these to targets, peers and voters.
FREE_DESCRIPTORS = 64
MAX_GROWTH_MB = 96.0
ANSWER_SECONDS = 60.0
ATTEMPT_SECONDS = 10.0
RETRY_SECONDS = 0.2


async def start_cluster(
    settings: dict[str, object], max_descriptors: int
) -> LocalCluster:
    """Starts one VM with an engine.

    Args:
        settings: Changes to the settings of the daemon.
        max_descriptors: Descriptors that the daemon may open; 0 for the limit
            of the test.
    """
    cluster = LocalCluster(
        data_centres={"dc-a": 1}, settings=merge_settings(SETTINGS, settings)
    )
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    limit = max_descriptors or soft
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
    try:
        await cluster.__aenter__()
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    try:
        await cluster.add_engine("engine-a", "dc-a", model="chat")
        await apply_configuration(cluster)
    except BaseException:
        await cluster.close()
        raise
    return cluster


class UntrustedTestCase(unittest.IsolatedAsyncioTestCase):
    """A test with one VM, which must serve a request after the crowd.

    Attributes:
        port: Port of the listener that the crowd connects to.
        settings: Changes to the settings of the daemon.
        max_descriptors: Descriptors that the daemon may open; 0 for the limit
            of the test.
    """

    port = CALLERS_PORT
    settings: dict[str, object] = {}
    max_descriptors = 0

    async def asyncSetUp(self) -> None:
        self.cluster = await start_cluster(self.settings, self.max_descriptors)
        self.addAsyncCleanup(self.cluster.close)
        await self.check_answer()

    async def check_answer(self) -> None:
        """Checks that the VM answers a chat request and a report."""
        await self.check_post(CALLERS_PORT, CHAT_PATH, CHAT, (200,))
        # Reports that contradict the known target are answered as well.
        report = {"target_id": "stranger"}
        await self.check_post(TARGETS_PORT, ANNOUNCE_PATH, report, (409,))

    async def check_post(
        self, port: int, path: str, body: object, statuses: tuple[int, ...]
    ) -> None:
        """Checks that a request gets one of the statuses, after retries."""
        ends_at = time.monotonic() + ANSWER_SECONDS
        while (seen := await self.post(port, path, body)) not in statuses:
            self.assertLess(time.monotonic(), ends_at, (port, seen))
            await asyncio.sleep(RETRY_SECONDS)

    async def post(self, port: int, path: str, body: object) -> object:
        """Sends a request on a new connection; returns status or error."""
        url = f"http://{self.cluster.vms[VM].address}:{port}{path}"
        try:
            async with (
                aiohttp.ClientSession() as client,
                client.post(
                    url,
                    data=json.dumps(body),
                    headers={"Authorization": f"Bearer {NOTES_KEY}"},
                    timeout=aiohttp.ClientTimeout(total=ATTEMPT_SECONDS),
                ) as response,
            ):
                await response.read()
                return response.status
        except (aiohttp.ClientError, TimeoutError) as error:
            return repr(error)

    async def check_crowd(
        self, *, count: int, data: bytes, max_growth_mb: float = MAX_GROWTH_MB
    ) -> None:
        """Checks the bounds under a crowd, and an answer beside and after."""
        process = self.cluster.processes[VM]
        address = self.cluster.vms[VM].address
        async with ProcessMeter(process.pid) as meter:
            async with UntrustedCrowd(host=address, port=self.port) as crowd:
                await crowd.send(count=count, data=data)
                await self.check_answer()
            await self.check_answer()
            meter.take_sample()
        self.assertIsNone(process.returncode)
        print(
            f"{self.id().rpartition('.')[2]}: {meter.growth_mb:.1f} MB, "
            f"{meter.peak_descriptors} descriptors"
        )
        self.assertLess(meter.growth_mb, max_growth_mb)
        if self.max_descriptors:
            self.assertLess(
                meter.peak_descriptors, self.max_descriptors - FREE_DESCRIPTORS
            )
