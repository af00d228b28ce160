"""Messages about the load of engines; kinds 220 to 239."""

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
    """Attempts on a service within the window of its retry budget.

    Attributes:
        service: The service.
        firsts: Number of first attempts of requests.
        repeats: Number of retries.
    """

    service: str
    firsts: int
    repeats: int


class OwnLoads(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Load that the sending VM has put on engines.

    Attributes:
        loads: Its open requests by target.
        attempts: Its attempts by service.
        process: Identifier of the sending process of the VM.
    """

    loads: tuple[EngineLoad, ...]
    attempts: tuple[AttemptCount, ...] = ()
    process: int = 0


class OtherLoads(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Load that the VMs other than the receiver have put on engines.

    Attributes:
        loads: The sums by target.
        vms: Number of VMs that reported, including the receiver.
        attempts: The sums by service, including attempts of earlier processes
            of VMs within the window.
    """

    loads: tuple[EngineLoad, ...]
    vms: int
    attempts: tuple[AttemptCount, ...] = ()


KINDS: dict[int, type] = {220: OwnLoads, 221: OtherLoads}
