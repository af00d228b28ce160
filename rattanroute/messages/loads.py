"""Messages about the load of engines; kinds 220 to 239."""

import msgspec


class EngineLoad(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Open requests on one target.

    Attributes:
        target_id: The target.
        requests: Requests whose chain contains the target.
        cache_units: Tokens of these requests times the layers that the
            target runs for them.
        prompt_units: The same for the tokens of prompts that the target may
            not have read yet, as no event of their answers has arrived.
        later_requests: Requests for which the target is not the first one of
            their chains.
    """

    target_id: str
    requests: int
    cache_units: int
    prompt_units: int = 0
    later_requests: int = 0


class AttemptCount(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Attempts on a service within the window of its retry budget.

    Attributes:
        service: The service.
        firsts: Number of first attempts of requests.
        repeats: Number of retries.
        recent: Number of first attempts within the last second.
    """

    service: str
    firsts: int
    repeats: int
    recent: int = 0


class LimitUse(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Requests to a target that names a limit, within the last seconds.

    Attributes:
        target_id: The target.
        incarnation: Its incarnation.
        limit_per_s: Requests per second that it takes from all VMs together.
        age_s: Seconds since the answer that named the limit.
        sends: Requests that were sent to it.
        demand: Requests that would have been sent to it without a limit.
    """

    target_id: str
    incarnation: int
    limit_per_s: float
    age_s: float
    sends: int
    demand: int


class ServiceQueue(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Requests of one rank that need the engines of a service.

    Attributes:
        service: The service.
        priority: The rank; 0 is served first.
        waiting: Requests that wait now.
        refused: Refusals for lack of capacity in the last second, including
            those by engines.
        granted: Requests that got capacity in the last second.
    """

    service: str
    priority: int
    waiting: int
    refused: int
    granted: int


class OwnLoads(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Load that the sending VM has put on engines.

    Attributes:
        loads: Its open requests by target.
        attempts: Its attempts by service.
        process: Identifier of the sending process of the VM.
        limits: Its requests to targets that name a limit.
        queues: Its queues of services whose requests have different ranks.
    """

    loads: tuple[EngineLoad, ...]
    attempts: tuple[AttemptCount, ...] = ()
    process: int = 0
    limits: tuple[LimitUse, ...] = ()
    queues: tuple[ServiceQueue, ...] = ()


class OtherLoads(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Load that the VMs other than the receiver have put on engines.

    Attributes:
        loads: The sums by target.
        vms: Number of VMs that reported, including the receiver.
        attempts: The sums by service, including attempts of earlier processes
            of VMs within the window.
        limits: The sums by target that names a limit.
        queues: The sums by service and rank.
    """

    loads: tuple[EngineLoad, ...]
    vms: int
    attempts: tuple[AttemptCount, ...] = ()
    limits: tuple[LimitUse, ...] = ()
    queues: tuple[ServiceQueue, ...] = ()


KINDS: dict[int, type] = {220: OwnLoads, 221: OtherLoads}
