"""Messages on the load of engines; kinds 220 to 239."""

import msgspec


class EngineLoad(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Open requests on one target.

    Attributes:
        target_id: The target.
        requests: Requests whose chain contains the target.
        cache_units: Tokens of these requests times the layers that the
            target runs for them.
    """

    target_id: str
    requests: int
    cache_units: int


class AttemptCount(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Attempts at a service within the window of its budget.

    Attributes:
        service: The service.
        firsts: First attempts of requests.
        repeats: Further attempts.
    """

    service: str
    firsts: int
    repeats: int


class OwnLoads(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Load that the sending VM has put on engines.

    Attributes:
        loads: Its open requests by target.
        attempts: Its attempts by service.
        process: Differs between the processes of a VM.
    """

    loads: tuple[EngineLoad, ...]
    attempts: tuple[AttemptCount, ...] = ()
    process: int = 0


class OtherLoads(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Load that the VMs other than the receiver have put on engines.

    Attributes:
        loads: The sums by target.
        vms: VMs that reported, with the receiver.
        attempts: The sums by service, with what earlier processes of VMs
            attempted within the window.
    """

    loads: tuple[EngineLoad, ...]
    vms: int
    attempts: tuple[AttemptCount, ...] = ()


KINDS: dict[int, type] = {220: OwnLoads, 221: OtherLoads}
