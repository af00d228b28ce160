"""Checks whether the host of a target accepts connections."""

import asyncio
import enum

from rattanroute.http1.clients import ConnectError
from rattanroute.http1.clients import ConnectionPool

CONNECT_TIMEOUT_SECONDS = 0.25


class ProbeResult(enum.Enum):
    """Result of a connection attempt.

    The kernel accepts connections for a process that is busy or paused, so
    that `REFUSED` proves that the process has ended. A host that does not
    answer may be silent for a moment and go on.
    """

    CONNECTED = "connected"
    REFUSED = "refused"
    TIMED_OUT = "timed out"


class TargetProbes:
    """Opens connections to targets, one at a time for each address.

    Args:
        pool: Connections to targets.
    """

    def __init__(self, *, pool: ConnectionPool) -> None:
        self.pool = pool
        self.running: dict[str, asyncio.Task[ProbeResult]] = {}

    def probe(self, address: str) -> asyncio.Task[ProbeResult]:
        """Returns the running probe of an address, or starts one."""
        task = self.running.get(address)
        if task is None:
            task = asyncio.create_task(self.connect(address))
            self.running[address] = task
            task.add_done_callback(lambda _: self.running.pop(address))
        return task

    async def connect(self, address: str) -> ProbeResult:
        """Opens a new connection and returns it to the pool."""
        try:
            connection = await self.pool.take(
                address,
                timeout_s=CONNECT_TIMEOUT_SECONDS,
                identifier=None,
                fresh=True,
            )
        except ConnectError as error:
            if error.refused:
                return ProbeResult.REFUSED
            return ProbeResult.TIMED_OUT
        self.pool.put(connection)
        return ProbeResult.CONNECTED
