"""A gateway that can lose its links to targets, with peers, for tests."""

import asyncio
import random
from unittest import mock

from rattanroute.http1.clients import ClientConnection
from rattanroute.http1.clients import open_direct
from rattanroute.systems.target_links import TargetLinkSystem
from rattanroute.tests.gateway_hosts import GatewayTestCase
from rattanroute.tests.support import MemberStub
from rattanroute.tunnels import checks
from rattanroute.tunnels import connectors
from rattanroute.tunnels.checks import LinkChecker
from rattanroute.tunnels.connectors import TunnelConnector
from rattanroute.tunnels.servers import TunnelServer

# Longer than a front waits before it asks a peer as well.
LATE_SECONDS = 0.1
FRONT = "127.0.0.1"
# Peers of the same and of another data centre.
NEAR_PEER = "127.0.0.2"
FAR_PEER = "127.0.0.3"


def build_links(vm_id: str, members: list[MemberStub]) -> TargetLinkSystem:
    """Builds the links of a VM to the targets."""
    centres = {x.vm_id: x.data_centre for x in members}
    return TargetLinkSystem(
        vm_id=vm_id,
        data_centre=centres[vm_id],
        members=lambda: members,
        random=random.Random(1),
    )


def build_members() -> list[MemberStub]:
    """Builds the VMs: the front, two peers and a voter."""
    return [
        MemberStub(vm_id=FRONT, ready=True),
        MemberStub(vm_id=NEAR_PEER, ready=True),
        MemberStub(vm_id=FAR_PEER, data_centre="dc-b", ready=True),
        MemberStub(vm_id="127.0.0.4", voter=True, ready=True),
    ]


class LostLinksTestCase(GatewayTestCase):
    """A test case whose gateway can be cut from all targets.

    Attributes:
        links: Links of the gateway.
        losses: How often the links of the gateway counted as lost.
        tunnel_servers: Servers of the peers, by peer.
        cut: How direct connections fail: "hang" or "refuse"; "late" if they
            take longer than usual; empty if they are sound.
    """

    async def asyncSetUp(self) -> None:
        """Starts the gateway and its peers."""
        await super().asyncSetUp()
        self.cut = ""
        self.losses = 0
        self.members = build_members()
        self.links = build_links(FRONT, self.members)
        self.links.on_change = self.handle_link_change
        self.tunnel_servers: dict[str, TunnelServer] = {}
        self.dead_addresses: set[str] = set()
        port = 0
        for peer in (NEAR_PEER, FAR_PEER):
            server = TunnelServer(
                links=build_links(peer, self.members),
                is_target=lambda address: any(
                    x.report.address == address for x in self.targets
                ),
            )
            await server.start(peer, port)
            port = server.listener.sockets[0].getsockname()[1]
            self.tunnel_servers[peer] = server
        self.pool.open = TunnelConnector(
            links=self.links, port=port, find_host=lambda peer: peer
        ).open
        self.checker = LinkChecker(
            links=self.links,
            pool=self.pool,
            list_addresses=lambda: [x.report.address for x in self.targets],
            random=random.Random(1),
        )
        self.check_task = asyncio.create_task(self.check_repeatedly())
        for module in (connectors, checks):
            patch = mock.patch.object(module, "open_direct", self.open_direct)
            patch.start()
            self.addCleanup(patch.stop)

    async def asyncTearDown(self) -> None:
        """Closes the gateway and its peers."""
        self.check_task.cancel()
        for server in self.tunnel_servers.values():
            server.close()
        await super().asyncTearDown()

    async def check_repeatedly(self) -> None:
        """Runs the checker as the program does."""
        while True:
            await asyncio.sleep(checks.CHECK_INTERVAL_SECONDS)
            self.checker.run()

    def handle_link_change(self) -> None:
        """Does what the front program does."""
        if self.links.lost:
            self.losses += 1
            self.pool.close_idle_where(lambda x: not x.tunnelled)
            self.streams.suspect_direct_attempts()

    async def open_direct(self, address: str) -> ClientConnection:
        """Opens a connection, unless the gateway is cut from the targets."""
        if self.cut == "hang":
            await asyncio.sleep(60)
        if self.cut == "late":
            await asyncio.sleep(LATE_SECONDS)
        if self.cut == "refuse":
            raise ConnectionRefusedError
        return await open_direct(address)

    def hold_direct_bytes(self) -> None:
        """Makes the open direct connections hang without a reset."""
        connections = [*self.pool.busy]
        for idle in self.pool.idle.values():
            connections += idle
        for connection in connections:
            if not connection.tunnelled:
                connection.transport.pause_reading()
