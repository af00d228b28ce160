"""What a voter has beyond other VMs: its part of the configuration log.

Other VMs do not import this module, which keeps the log's code out of them.
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


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Voter:
    """The parts of a voter.

    Attributes:
        machine: Applies the entries of the log.
        consensus: Keeps the log.
        log: The log as operators' interfaces take it.
        freshness: Knows since when the applied state is confirmed.
    """

    machine: ConfigurationStateMachine
    consensus: ConsensusHost
    log: ConsensusLog
    freshness: VoterFreshness


def build_voter(
    settings: LogSettings,
    execute: Callable[[list[Action]], None],
    random: randoms.Random,
) -> Voter:
    """Builds the parts of a voter.

    Args:
        settings: Settings of the VM.
        execute: Executes actions between ticks.
        random: Random numbers.
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
    return Voter(
        machine=machine,
        consensus=consensus,
        log=log,
        freshness=VoterFreshness(log=log),
    )
