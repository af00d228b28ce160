"""Process with a tunnel server, started by tests.

Usage: `python -m rattanroute.tests.tunnel_processes HOST PORT TARGET...`, where
each target is an address as `IP:port`.
"""

import asyncio
import random
import sys

import uvloop

from rattanroute.systems.target_links import TargetLinkSystem
from rattanroute.tunnels.servers import TunnelServer


async def run(host: str, port: int, targets: frozenset[str]) -> None:
    """Serves tunnels to the targets until the process is killed."""
    links = TargetLinkSystem(
        vm_id=host, data_centre="dc-a", members=list, random=random.Random(1)
    )
    server = TunnelServer(links=links, is_target=targets.__contains__)
    await server.start(host, port)
    await asyncio.Event().wait()


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run(sys.argv[1], int(sys.argv[2]), frozenset(sys.argv[3:])))
