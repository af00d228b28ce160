"""Tests of the description of test processes in error messages."""

import unittest

from rattanroute.tools.processes import ProcessGroup


class DescribeProcessTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a late start whose cause no log shows.

    The message must tell a process that got little processor time from one
    that waits or has ended.
    """

    async def asyncSetUp(self) -> None:
        self.group = ProcessGroup()
        self.addAsyncCleanup(self.group.close)

    async def test_running_process(self) -> None:
        await self.group.spawn(
            "vm", "timeit", "-n1", "-r1", "import time; time.sleep(60)"
        )
        text = self.group.describe_process("vm")
        self.assertRegex(
            text,
            r"^(running|sleeping|disk-sleep), \d+\.\d s of processor time in "
            r"\d+\.\d s, load \d+\.\d$",
        )

    async def test_ended_process(self) -> None:
        await self.group.spawn("vm", "timeit", "--unknown")
        await self.group.processes["vm"].wait()
        text = self.group.describe_process("vm")
        self.assertRegex(text, r"^ended with 2, load \d+\.\d$")
