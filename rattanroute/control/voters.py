"""Components of a voter of the configuration log.

VMs that are not voters do not import this module, so that they do not load the
consensus code.
"""

from collections.abc import Callable
import dataclasses
import random as randoms
import time

from expression import Error
from expression import Ok
from expression import Result

from rattanroute.actions import Action
from rattanroute.consensus.hosts import ConsensusHost
from rattanroute.consensus.node_states import Timing
from rattanroute.consensus.proposals import Outcome
from rattanroute.consensus.proposals import ProposalError
from rattanroute.control.settings import LogSettings
from rattanroute.errors import NotProposedError
from rattanroute.errors import RouterError
from rattanroute.systems.configuration_state_machines import (
    ConfigurationStateMachine,
)

CONSENSUS_FOLDER = "log"
FRESHNESS_TIMEOUT_SECONDS = 1.0


class ConsensusLog:
    """Adapts the consensus host to the log interface of the operators.

    Args:
        host: The consensus host of this voter.
    """

    def __init__(self, *, host: ConsensusHost) -> None:
        self.host = host

    async def propose(
        self, data: bytes, timeout_s: float
    ) -> Result[object, RouterError]:
        """Proposes a change and returns its outcome."""
        result = await self.host.propose(data, timeout_s)
        return result.map_error(convert_error)

    async def read_barrier(self, timeout_s: float) -> Result[None, RouterError]:
        """Waits until all changes accepted so far are applied here."""
        result = await self.host.read_barrier(timeout_s)
        if result.is_error():
            return Error(result.error)
        return Ok(None)


def convert_error(error: RouterError) -> RouterError:
    """Converts a rejected proposal to `NotProposedError`.

    Other errors leave the outcome unknown and are returned unchanged.
    """
    not_proposed = (
        isinstance(error, ProposalError)
        and error.outcome is Outcome.NOT_ACCEPTED
    )
    if not not_proposed:
        return error
    return NotProposedError(
        step=error.step, peer=error.peer, message=error.message
    )


class FreshnessTracker:
    """Tracks when a majority last confirmed a voter's applied state.

    Args:
        log: The log of this voter.
    """

    def __init__(self, *, log: ConsensusLog) -> None:
        self.log = log
        self.confirmed_at: float | None = None

    def confirmed_age_s(self, now: float) -> float | None:
        """Returns the age of the last confirmation in seconds, or None."""
        if self.confirmed_at is None:
            return None
        return now - self.confirmed_at

    async def refresh(self) -> None:
        """Confirms with a majority that all committed entries are applied.

        The confirmation counts from the start of the read barrier, as later
        changes may be missing.
        """
        started = time.monotonic()
        result = await self.log.read_barrier(FRESHNESS_TIMEOUT_SECONDS)
        if result.is_ok():
            self.confirmed_at = started


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VoterComponents:
    """The components of a voter.

    Attributes:
        machine: State machine that applies the entries of the log.
        consensus: Consensus host, which replicates the log.
        log: The log as the operators' interface uses it.
        freshness: Tracks when the applied state was last confirmed.
    """

    machine: ConfigurationStateMachine
    consensus: ConsensusHost
    log: ConsensusLog
    freshness: FreshnessTracker


def build_voter(
    settings: LogSettings,
    execute: Callable[[list[Action]], None],
    random: randoms.Random,
) -> VoterComponents:
    """Builds the components of a voter.

    Args:
        settings: Settings of the VM.
        execute: Executes actions outside of ticks.
        random: Random number generator.
    """
    machine = ConfigurationStateMachine()
    consensus = ConsensusHost(
        vm_id=settings.vm_id,
        folder=settings.storage.folder / CONSENSUS_FOLDER,
        machine=machine,
        rng=random,
        now=time.monotonic(),
        bootstrap_voters=settings.storage.bootstrap_voters,
        send=execute,
        voter_target=settings.storage.voter_target,
        timing=Timing(election_min_s=settings.storage.election_s),
    )
    log = ConsensusLog(host=consensus)
    return VoterComponents(
        machine=machine,
        consensus=consensus,
        log=log,
        freshness=FreshnessTracker(log=log),
    )
