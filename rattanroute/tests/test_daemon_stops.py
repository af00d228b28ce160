"""Tests of the order in which a planned stop ends the parts of a daemon."""

import asyncio
import contextlib
import pathlib
import socket
import tempfile
import time
import unittest
from unittest import mock

from rattanroute import daemons
from rattanroute.daemons import Daemon
from rattanroute.requests.attempt_runs import AttemptUsage
from rattanroute.settings import DaemonSettings
from rattanroute.tests.support import build_request

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
        self.unsent: int | None = None

    async def watch_stop(self) -> None:
        """Stops the daemon and notes its state when it leaves the cluster."""
        membership = self.daemon.membership
        leave = membership.leave
        checks: list[asyncio.Task[None]] = []

        async def check() -> None:
            for name in ("callers", "targets"):
                self.accepting[name] = await is_accepting(self.addresses[name])

        def note_leave(now: float) -> list[object]:
            self.unsent = len(self.daemon.ledger.system.sender.pending)
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

    async def test_usage_is_sent_before_the_vm_leaves(self) -> None:
        """Guards against usage that is lost with the VM.

        A target deletes a statement that the VM has acknowledged.
        """
        self.daemon.record_usage(
            AttemptUsage(
                request=build_request(),
                attempt=1,
                target_ids=("t1",),
                tokens_in=1,
                tokens_out=2,
                seconds=0.1,
                layers=8,
                outcome="done",
            )
        )
        self.assertEqual(len(self.daemon.ledger.system.sender.pending), 1)
        started = time.monotonic()
        await self.watch_stop()
        self.assertEqual(self.unsent, 0)
        self.assertLess(time.monotonic() - started, 5.0)


if __name__ == "__main__":
    unittest.main()
