"""Configuration of a daemon: its log, its replica and its distribution."""

from collections.abc import Callable
import random as randoms
import time
from typing import TYPE_CHECKING

from rattanroute.actions import Action
from rattanroute.control.log_forwarders import LogForwarder
from rattanroute.control.settings import LogSettings
from rattanroute.subsystems import Subsystem
from rattanroute.systems.distributions import DistributionSystem
from rattanroute.systems.memberships import MembershipSystem
from rattanroute.systems.version_freshness import ConfigurationLag
from rattanroute.tables.configuration_replicas import ConfigurationReplica

if TYPE_CHECKING:
    from rattanroute.control.voters import VoterComponents

LEADERSHIP_TRANSFER_TIMEOUT_SECONDS = 2.0
# Time between a voter's checks that its applied state is current.
FRESHNESS_INTERVAL_SECONDS = 0.5


class ConfigurationHost:
    """Assembles the configuration parts of a daemon.

    Every VM has a replica, a distribution system and a log forwarder; a voter
    also has the replicated log.

    Args:
        settings: Settings of the daemon.
        membership: The membership system; knows the live VMs.
        send: Sends a message to a peer.
        execute: Executes actions outside of ticks.
        random: Random number generator.
        voter: Components of a voter; None on another VM.
    """

    def __init__(
        self,
        *,
        settings: LogSettings,
        membership: MembershipSystem,
        send: Callable[[str, object], bool],
        execute: Callable[[list[Action]], None],
        random: randoms.Random,
        voter: "VoterComponents | None" = None,
    ) -> None:
        self.vm_id = settings.vm_id
        self.membership = membership
        self.execute = execute
        self.machine = voter.machine if voter else None
        self.consensus = voter.consensus if voter else None
        self.freshness = voter.freshness if voter else None
        self.replica = (
            voter.machine.replica if voter else ConfigurationReplica()
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
            # A new version is announced before its change is acknowledged: the
            # voter may fail right after the acknowledgement.
            self.consensus.on_applied = lambda now: execute(
                self.distribution.publish(now)
            )
        self.forwarder = LogForwarder(
            vm_id=settings.vm_id,
            members=membership.alive,
            send=send,
            replica=self.replica,
            random=random,
            log=voter.log if voter else None,
        )
        self.log = voter.log if voter else self.forwarder

    @property
    def subsystems(self) -> list[Subsystem]:
        """Subsystems to add to the subsystem host."""
        found: list[Subsystem] = [self.forwarder, self.distribution]
        if self.consensus is not None:
            found.append(self.consensus)
        return found

    @property
    def leader(self) -> str:
        """Leader of the log; empty when unknown."""
        return self.consensus.leader_id if self.consensus is not None else ""

    @property
    def age_s(self) -> float | None:
        """Seconds since the configuration was last known to be current."""
        return self.distribution.freshness.age_s(time.monotonic())

    def measure_lag(self) -> ConfigurationLag:
        """Returns how far the configuration in force may be behind."""
        return self.distribution.freshness.measure_lag(time.monotonic())

    def is_confirmed(self, within_s: float) -> bool:
        """Whether the configuration was known to be current recently.

        Args:
            within_s: Seconds that may have passed since.
        """
        return self.distribution.freshness.is_confirmed(
            time.monotonic(), within_s
        )

    def confirm(self) -> None:
        """Asks for the newest configuration; may be called often."""
        self.execute(self.distribution.confirm(time.monotonic()))

    @property
    def ready(self) -> bool:
        """Whether a configuration received from the voters is in force."""
        return self.distribution.ready and self.replica.version > 0

    async def hand_over(self) -> None:
        """Transfers leadership of the log to another voter before a stop."""
        if self.consensus is None:
            return
        if not self.consensus.is_leader_with_lease(time.monotonic()):
            return
        successor = self.choose_successor()
        if successor is not None:
            await self.consensus.operations.transfer_leadership(
                successor, LEADERSHIP_TRANSFER_TIMEOUT_SECONDS
            )

    def choose_successor(self) -> str | None:
        """Returns a live voter that is not draining, or None."""
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
