"""Control plane of each VM: membership, peer links and configuration."""

import asyncio
from collections.abc import Callable
import random as randoms
import time
from typing import TYPE_CHECKING

from grpclib.server import Server

from rattanroute.actions import Action
from rattanroute.actions import MemberChanged
from rattanroute.addresses import parse_address
from rattanroute.clients.peer_links import PeerLinkRegistry
from rattanroute.control.configuration_hosts import ConfigurationHost
from rattanroute.control.configuration_hosts import FRESHNESS_INTERVAL_SECONDS
from rattanroute.control.settings import ControlSettings
from rattanroute.errors import RouterError
from rattanroute.logs import get_logger
from rattanroute.metrics import MetricsRegistry
from rattanroute.servers.peers import PeersServer
from rattanroute.subsystem_hosts import SubsystemHost
from rattanroute.subsystems import Subsystem
from rattanroute.systems.memberships import MembershipSystem
from rattanroute.tables.members import MemberState
from rattanroute.tasks import run_repeatedly

if TYPE_CHECKING:
    from rattanroute.control.voters import VoterComponents

TICK_SECONDS = 0.1
HOUSEKEEPING_SECONDS = 1.0
MILLISECONDS_PER_SECOND = 1000

VoterBuilder = Callable[
    [ControlSettings, Callable[[list[Action]], None], randoms.Random],
    "VoterComponents",
]

log = get_logger(__name__)


class ControlPlane:
    """Membership, peer links and the configuration of one VM.

    Args:
        settings: Settings of the VM.
        metrics: Metrics of the process.
        random: Random number generator for all decisions.
        build_voter: Builds the components of a voter; None on another VM.
    """

    def __init__(
        self,
        *,
        settings: ControlSettings,
        metrics: MetricsRegistry,
        random: randoms.Random,
        build_voter: VoterBuilder | None = None,
    ) -> None:
        self.settings = settings
        self.metrics = metrics
        self.random = random
        self.host = SubsystemHost(send=self.send, execute_other=self.execute)
        self.membership = MembershipSystem(
            vm_id=settings.vm_id,
            address=settings.peer_address,
            data_centre=settings.data_centre,
            region=settings.region,
            voter=settings.storage.voter,
            incarnation=int(time.time() * MILLISECONDS_PER_SECOND),
            random=random,
            seeds=settings.seeds,
            neighbours=settings.neighbours,
            link_mbps=settings.link_mbps,
        )
        self.configurations = ConfigurationHost(
            settings=settings,
            membership=self.membership,
            send=self.send,
            execute=self.host.execute,
            random=random,
            voter=(
                build_voter(settings, self.host.execute, random)
                if build_voter
                else None
            ),
        )
        self.tasks: list[asyncio.Task[None]] = []
        self.server: Server | None = None
        self.left = False
        self.add(self.membership)
        for subsystem in self.configurations.subsystems:
            self.add(subsystem)

    def add(self, subsystem: Subsystem) -> None:
        """Adds a subsystem that exchanges messages with peers."""
        self.host.add(subsystem)

    def send(self, peer: str, message: object) -> bool:
        """Sends a message to a peer; one to this VM is delivered directly.

        A VM that has left sends nothing, as that would open links again.
        """
        if self.left:
            return False
        if peer == self.settings.vm_id:
            asyncio.get_running_loop().call_soon(
                self.host.deliver, peer, message
            )
            return True
        return self.links.send(peer=peer, message=message)

    def execute(self, action: Action) -> None:
        """Executes an action other than sending a message."""
        if not isinstance(action, MemberChanged):
            return
        member = action.member
        self.links.learn(peer=member.vm_id, address=member.address)
        log.info(
            "member changed",
            peer=member.vm_id,
            state=member.state.name.lower(),
            incarnation=member.incarnation,
        )

    async def start(self) -> None:
        """Opens the peer listener and starts the periodic tasks.

        Raises:
            RouterError: If the address cannot be used.
        """
        self.links = PeerLinkRegistry(
            vm_id=self.settings.vm_id,
            own_address=self.settings.peer_address,
            batch_seconds=self.settings.batch_s,
            address_map=self.settings.address_map,
            metadata=dict,
            tls=lambda: None,
            metrics=self.metrics,
            on_state=self.handle_link_change,
        )
        peers = PeersServer(
            vm_id=self.settings.vm_id,
            deliver=self.host.deliver,
            learn=lambda peer, address: self.links.learn(
                peer=peer, address=address
            ),
            metrics=self.metrics,
        )
        self.server = Server([peers])
        address = self.settings.peer_address
        try:
            await self.server.start(*parse_address(address))
        except OSError as error:
            raise RouterError(
                step="listen", peer=address, message=str(error)
            ) from error
        for seed in self.settings.seeds:
            if seed != self.settings.peer_address:
                self.links.open(seed)
        self.start_periodic(TICK_SECONDS, self.host.tick)
        self.start_periodic(HOUSEKEEPING_SECONDS, self.run_housekeeping)
        freshness = self.configurations.freshness
        if freshness is not None:
            self.start_periodic(FRESHNESS_INTERVAL_SECONDS, freshness.refresh)

    def start_periodic(
        self, seconds: float, work: Callable[[], object]
    ) -> None:
        """Starts a task that calls a function at an interval in seconds."""
        self.tasks.append(asyncio.create_task(run_repeatedly(seconds, work)))

    def handle_link_change(self, peer: str, connected: bool) -> None:
        """Reports an opened or closed peer link to the membership system."""
        log.info("peer link", peer=peer, connected=connected)
        now = time.monotonic()
        if connected:
            actions = self.membership.host_connected(peer=peer, now=now)
        else:
            actions = self.membership.host_disconnected(peer=peer, now=now)
        self.host.execute(actions)

    async def run_housekeeping(self) -> None:
        """Updates gauges and closes idle links."""
        age_s = self.configurations.age_s
        self.metrics.live_members.set({}, len(self.membership.alive()))
        self.metrics.configuration_age.set({}, -1 if age_s is None else age_s)
        self.metrics.configuration_version.set(
            {}, self.configurations.replica.version
        )
        await self.links.close_idle(keep=frozenset(self.settings.seeds))

    def set_status(self, *, ready: bool, draining: bool) -> None:
        """Announces to the other VMs whether this one serves requests."""
        actions = self.membership.set_status(
            ready=ready, draining=draining, now=time.monotonic()
        )
        self.host.execute(actions)

    def count_serving_vms(self) -> int:
        """Returns the number of live VMs that serve clients, at least 1."""
        return max(1, sum(not x.voter for x in self.membership.alive()))

    async def stop(self) -> None:
        """Leaves the cluster and closes all links and tasks."""
        await self.configurations.hand_over()
        if self.membership.own_record.state != MemberState.LEFT:
            self.host.execute(self.membership.leave(time.monotonic()))
        await asyncio.sleep(2 * TICK_SECONDS)
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.left = True
        await self.links.close()
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()
        self.configurations.close()
