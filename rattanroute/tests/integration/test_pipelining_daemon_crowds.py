"""Many clients of a daemon that send requests ahead and read no response.

The size of the crowd and the bound are fixed: with sockets whose buffers were
not limited, each crowd exceeded it.
"""

import asyncio

from rattanroute.tests import crowd_patterns
from rattanroute.tests.integration.untrusted_support import UntrustedTestCase
from rattanroute.tests.integration.untrusted_support import VM
from rattanroute.tests.socket_meters import BYTES_PER_MB
from rattanroute.tests.socket_meters import MachineMeter
from rattanroute.tools.cluster_hosts import TARGETS_PORT

CLIENTS = 300
# The budget of clients is 48 MB; a process may take twice as much.
MAX_GROWTH_MB = 96.0


class PipeliningTestCase(UntrustedTestCase):
    """Base of tests that also count the bytes in the daemon's sockets."""

    async def run_pipelining(self, path: bytes) -> None:
        """Runs a crowd that sends one request again and again.

        Args:
            path: Path of the request, which has no header.
        """
        pid = self.cluster.processes[VM].pid
        meter = MachineMeter(pid=pid, ip=self.cluster.vms[VM].address)
        meter.take_sample()
        before = meter.peak_bytes
        sampling = asyncio.create_task(meter.run())
        request = crowd_patterns.build_bare(b"GET", path)
        await self.check_crowd(
            count=CLIENTS, data=crowd_patterns.repeat(request)
        )
        sampling.cancel()
        growth_mb = (meter.peak_bytes - before) / BYTES_PER_MB
        self.assertLess(growth_mb, MAX_GROWTH_MB, meter.describe())


class CallersTest(PipeliningTestCase):
    """Guards against requests sent ahead by callers."""

    async def test_unknown_path(self) -> None:
        await self.run_pipelining(b"/nothing")

    async def test_health(self) -> None:
        await self.run_pipelining(b"/healthz")


class TargetsTest(PipeliningTestCase):
    """Guards against requests sent ahead at the interface for targets."""

    port = TARGETS_PORT

    async def test_unknown_path(self) -> None:
        await self.run_pipelining(b"/nothing")
