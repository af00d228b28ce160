"""The configuration of a daemon: its log, its replica and its operators."""

from collections.abc import Callable
import random as randoms
import time

from expression import Error
from expression import Ok
from expression import Result

from rattanroute.actions import Action
from rattanroute.consensus.hosts import ConsensusHost
from rattanroute.consensus.nodes import Timing
from rattanroute.consensus.proposals import Outcome
from rattanroute.consensus.proposals import ProposalError
from rattanroute.control.forwards import LogForwarder
from rattanroute.control.settings import LogSettings
from rattanroute.errors import NotProposedError
from rattanroute.errors import RouterError
from rattanroute.subsystems import Subsystem
from rattanroute.systems.configurations import ConfigurationStateMachine
from rattanroute.systems.distributions import DistributionSystem
from rattanroute.systems.memberships import MembershipSystem
from rattanroute.tables.replicas import ConfigurationReplica

CONSENSUS_FOLDER = "log"
TRANSFER_SECONDS = 2.0
REFRESH_SECONDS = 0.5
REFRESH_TIMEOUT_SECONDS = 1.0


class ConsensusLog:
    """The replicated log as the operators' interface takes it.

    Args:
        host: The consensus host of this voter.
    """

    def __init__(self, *, host: ConsensusHost) -> None:
        self.host = host

    async def propose(
        self, data: bytes, timeout_s: float
    ) -> Result[object, RouterError]:
        """Appends a change and returns its outcome."""
        result = await self.host.propose(data, timeout_s)
        return result.map_error(convert_error)

    async def read_barrier(self, timeout_s: float) -> Result[None, RouterError]:
        """Waits until all changes accepted so far are applied here."""
        result = await self.host.read_barrier(timeout_s)
        if result.is_error():
            return Error(result.error)
        return Ok(None)


def convert_error(error: RouterError) -> RouterError:
    """Returns an error that says so when a change cannot take effect."""
    certain = (
        isinstance(error, ProposalError)
        and error.outcome is Outcome.NOT_ACCEPTED
    )
    if not certain:
        return error
    return NotProposedError(
        step=error.step, peer=error.peer, message=error.message
    )


class VoterFreshness:
    """Knows since when a voter's applied state is confirmed.

    Args:
        log: The log of this voter.
    """

    def __init__(self, *, log: ConsensusLog) -> None:
        self.log = log
        self.confirmed_at: float | None = None

    def confirmed_age_s(self, now: float) -> float | None:
        """Returns the seconds since a majority confirmed the state."""
        if self.confirmed_at is None:
            return None
        return now - self.confirmed_at

    async def refresh(self) -> None:
        """Asks a majority whether all that is committed is applied here."""
        started = time.monotonic()
        result = await self.log.read_barrier(REFRESH_TIMEOUT_SECONDS)
        if result.is_ok():
            self.confirmed_at = started


class ConfigurationHost:
    """Everything that a daemon has of the configuration.

    Args:
        settings: Settings of the daemon.
        membership: The live VMs.
        send: Sends a message to a peer.
        execute: Executes actions between ticks.
        random: Random numbers.
    """

    def __init__(
        self,
        *,
        settings: LogSettings,
        membership: MembershipSystem,
        send: Callable[[str, object], bool],
        execute: Callable[[list[Action]], None],
        random: randoms.Random,
    ) -> None:
        self.vm_id = settings.vm_id
        self.membership = membership
        self.machine: ConfigurationStateMachine | None = None
        self.consensus: ConsensusHost | None = None
        self.freshness: VoterFreshness | None = None
        log = None
        if settings.storage.voter:
            self.machine = ConfigurationStateMachine()
            self.consensus = ConsensusHost(
                vm_id=settings.vm_id,
                folder=settings.storage.folder / CONSENSUS_FOLDER,
                machine=self.machine,
                rng=random,
                now=time.monotonic(),
                bootstrap_voters=settings.storage.bootstrap_voters,
                send=execute,
                voter_target=settings.storage.voter_target,
                timing=Timing(election_min_s=settings.storage.election_s),
            )
            log = ConsensusLog(host=self.consensus)
            self.freshness = VoterFreshness(log=log)
        self.replica = (
            self.machine.replica if self.machine else ConfigurationReplica()
        )
        self.distribution = DistributionSystem(
            vm_id=settings.vm_id,
            data_centre=settings.data_centre,
            peers=membership,
            rng=random,
            replica=self.replica,
            voter=self.freshness,
        )
        if self.consensus is not None:
            # News go out before a change is acknowledged: a voter may be lost
            # right after it.
            self.consensus.on_applied = lambda now: execute(
                self.distribution.publish(now)
            )
        self.forwarder = LogForwarder(
            vm_id=settings.vm_id,
            members=membership.alive,
            send=send,
            replica=self.replica,
            random=random,
            log=log,
        )
        self.log = log or self.forwarder

    @property
    def subsystems(self) -> list[Subsystem]:
        """The subsystems to host."""
        found: list[Subsystem] = [self.forwarder, self.distribution]
        if self.consensus is not None:
            found.append(self.consensus)
        return found

    @property
    def leader(self) -> str:
        """Leader of the log; empty when not known."""
        return self.consensus.leader_id if self.consensus is not None else ""

    @property
    def age_s(self) -> float | None:
        """Seconds since the configuration was known to be current."""
        return self.distribution.age_s(time.monotonic())

    @property
    def ready(self) -> bool:
        """Whether a configuration that came from a voter is in force."""
        return self.distribution.ready and self.replica.version > 0

    async def hand_over(self) -> None:
        """Gives leadership of the log to another voter before a stop."""
        if self.consensus is None:
            return
        if not self.consensus.is_leader_with_lease(time.monotonic()):
            return
        successor = self.choose_successor()
        if successor is not None:
            await self.consensus.operations.transfer_leadership(
                successor, TRANSFER_SECONDS
            )

    def choose_successor(self) -> str | None:
        """Returns a live voter that is not about to stop."""
        voters = {m.vm_id for m in self.consensus.membership.voters}
        for member in self.membership.alive():
            if (
                member.vm_id != self.vm_id
                and member.vm_id in voters
                and not member.draining
            ):
                return member.vm_id
        return None

    def close(self) -> None:
        """Closes the files of the log."""
        if self.consensus is not None:
            self.consensus.close()
