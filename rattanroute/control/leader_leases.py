"""Control lease, held by the leader of the configuration log."""

import time

from rattanroute.consensus.elections import compute_lease_end
from rattanroute.consensus.hosts import ConsensusHost


class LeaderLease:
    """Control lease, derived from the leader lease of the log.

    Args:
        consensus: The consensus host of this voter.
    """

    def __init__(self, *, consensus: ConsensusHost) -> None:
        self.consensus = consensus

    @property
    def fencing_token(self) -> int:
        """Term of the log; it increases with each new leader."""
        return self.consensus.term

    @property
    def expires_at(self) -> float:
        """End of the lease in monotonic seconds; 0 without a lease."""
        now = time.monotonic()
        if not self.held(now):
            return 0.0
        return compute_lease_end(self.consensus.node.state, now)

    def held(self, now: float) -> bool:
        """Returns whether this VM holds the lease at time `now`."""
        return self.consensus.is_leader_with_lease(now)
