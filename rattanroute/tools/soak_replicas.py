"""Replica slots of a soak and the options of their replicas."""

import dataclasses

from rattanroute.platform.trial_deployments import GRACE_SECONDS


@dataclasses.dataclass(kw_only=True)
class ReplicaSlot:
    """A replica slot; each start runs a new replica in it.

    Attributes:
        name: Name of the slot.
        zone: Its zone.
        address: IP address.
        service: Service of the replicas.
        starts: Number of replicas started in this slot so far.
    """

    name: str
    zone: str
    address: str
    service: str
    starts: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReplicaOptions:
    """Options of the replicas of a soak.

    Attributes:
        member_check_events: Events between two checks of a chain's targets.
        pause_probability: Probability of a pause in a stream.
        pause_seed: Seed of these pauses.
        grace_s: Seconds from SIGTERM to SIGKILL of a replica.
        limit_per_s: Requests per second that replicas name as their limit; 0
            for none.
        failure_probability: Probability that a numbered try fails.
        second_probability: Probability that an answer comes a second time.
        answer_seed: Seed of these failures and second answers.
    """

    member_check_events: int = 1
    pause_probability: float = 0.0
    pause_seed: int = 0
    grace_s: float = GRACE_SECONDS
    limit_per_s: float = 0.0
    failure_probability: float = 0.0
    second_probability: float = 0.0
    answer_seed: int = 0


DEFAULT_REPLICA_OPTIONS = ReplicaOptions()
