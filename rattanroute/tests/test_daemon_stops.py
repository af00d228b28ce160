"""Tests of the order in which a planned stop ends the parts of a daemon."""

import asyncio
import contextlib
import pathlib
import socket
import tempfile
import unittest
from unittest import mock

from rattanroute import daemons
from rattanroute.daemons import Daemon
from rattanroute.settings import DaemonSettings

LISTENERS = ("callers", "targets", "peers", "operators")
VM_ID = "vm-1"


def find_addresses() -> dict[str, str]:
    """Returns a free loopback address for each listener."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in LISTENERS]
        for item in sockets:
            item.bind(("127.0.0.1", 0))
        return {
            name: f"127.0.0.1:{item.getsockname()[1]}"
            for name, item in zip(LISTENERS, sockets, strict=True)
        }


async def is_accepting(address: str) -> bool:
    """Returns whether a listener accepts connections."""
    host, port = address.split(":")
    try:
        _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    writer.close()
    return True


class DaemonStopTest(unittest.IsolatedAsyncioTestCase):
    """Guards against what others lose when a VM leaves the cluster."""

    async def asyncSetUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.addresses = find_addresses()
        settings = DaemonSettings(
            vm_id=VM_ID,
            data_centre="dc-a",
            listen=self.addresses,
            storage={
                "folder": pathlib.Path(folder),
                "voter": True,
                "bootstrap_voters": (VM_ID,),
            },
        )
        self.enterContext(
            mock.patch.object(daemons, "DRAIN_NOTICE_SECONDS", 0.0)
        )
        self.daemon = Daemon(settings=settings)
        await self.daemon.start()
        self.accepting: dict[str, bool] = {}

    async def watch_stop(self) -> None:
        """Stops the daemon and notes its state when it leaves the cluster."""
        membership = self.daemon.membership
        leave = membership.leave
        checks: list[asyncio.Task[None]] = []

        async def check() -> None:
            for name in ("callers", "targets"):
                self.accepting[name] = await is_accepting(self.addresses[name])

        def note_leave(now: float) -> list[object]:
            checks.append(asyncio.create_task(check()))
            return leave(now)

        with mock.patch.object(membership, "leave", note_leave):
            await self.daemon.stop()
        await asyncio.gather(*checks)

    async def test_targets_move_to_another_vm_before_the_vm_leaves(
        self,
    ) -> None:
        """Guards against heartbeats that no other VM gets to know.

        The other VMs would treat the targets as silent.
        """
        await self.watch_stop()
        self.assertEqual(self.accepting, {"callers": True, "targets": False})


if __name__ == "__main__":
    unittest.main()
