"""Settings, records and answers of the stand-in replicas."""

import dataclasses
import enum
import random as randoms

import msgspec
import xxhash

MIN_PAUSE_SECONDS = 0.5
MAX_PAUSE_SECONDS = 1.8
# Body of a request whose events are padded, so that the answer to a slow
# reader exceeds the buffers of the kernel.
WIDE_PREFIX = b"wide "
WIDE_EVENT_BYTES = 8_192


class StandInSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a stand-in replica.

    Attributes:
        replica_id: Identifier of this process; a restart gets a new one.
        listen: Listen address, as `IP:port`.
        advertise: Address that other processes dial; may be that of a proxy.
        control: Addresses that accept liveness reports.
        records: Path of the file for the records.
        kind: Kind of accelerator; empty for a plain service.
        layers: Layers of the model; 0 for a plain service.
        max_layers: Layers that fit into the memory.
        slots: Requests that run concurrently.
        work_s: Seconds that a call of a plain service takes.
        drain_s: Seconds for which the replica serves after its leave notice
            is acknowledged.
        crash_marker: Text in a request body that crashes the process once the
            request starts to run; empty for none.
        crash_part: Identifier of a shared part of a prompt that crashes the
            process once it begins to write an answer; empty for none.
        member_check_events: Events of a stream between two checks of the other
            targets of its chain.
        pause_probability: Probability of a pause in a stream, as when an
            engine preempts a request.
        pause_seed: Seed of these pauses.
        limit_per_s: Requests per second that the replica names as its limit;
            0 for none. It takes more all the same.
    """

    replica_id: str
    listen: str
    advertise: str
    control: list[str]
    records: str
    service: str
    zone: str
    kind: str = ""
    layers: int = 0
    max_layers: int = 0
    slots: int = 16
    work_s: float = 0.02
    drain_s: float = 2.0
    crash_marker: str = ""
    crash_part: str = ""
    member_check_events: int = 1
    pause_probability: float = 0.0
    pause_seed: int = 0
    limit_per_s: float = 0.0


class RunEnd(enum.StrEnum):
    """How the run of a request ended at a replica.

    Attributes:
        FINISHED: The replica wrote its whole answer.
        LEFT: The caller closed the connection before that.
        BROKEN: The replica gave up because of a target of its chain.
        CLOSED: The replica exited before that.
    """

    FINISHED = "finished"
    LEFT = "left"
    BROKEN = "broken"
    CLOSED = "closed"


class ReplicaRecord(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
    """A recorded event at a replica.

    Attributes:
        at: Time of the system's monotonic clock, in seconds.
        event: `arrival`, `run`, `end`, `chain`, `order`, `overload`, `notice`
            or `crash`.
        request_id: Identifier of the request.
        replica_id: The replica.
        service: Its service.
        chain: Layers of each target of a chain, or of an order, as first
            layer and exclusive end.
        run: Number of a run at this replica, for `run` and `end`.
        reason: How the run ended, for `end`.
        detail: Target and status that ended a run that is `BROKEN`.
    """

    at: float
    event: str
    request_id: str = ""
    replica_id: str = ""
    service: str = ""
    chain: list[tuple[int, int]] = []
    run: int = 0
    reason: str = ""
    detail: str = ""


def build_answer(request_id: str, body: bytes) -> bytes:
    """Returns the body of a plain service's answer."""
    return f"{request_id}:{xxhash.xxh3_64_hexdigest(body)}".encode()


def build_event(body: bytes, number: int) -> bytes:
    """Returns an event of a streamed answer."""
    digest = xxhash.xxh3_64_hexdigest(body)
    padding = b"." * WIDE_EVENT_BYTES if body.startswith(WIDE_PREFIX) else b""
    return b"id: %d\ndata: %s-%d%s\n\n" % (
        number,
        digest.encode(),
        number,
        padding,
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StreamPause:
    """A pause of an engine in a stream.

    Attributes:
        number: Event before which the engine pauses; 0 for no pause.
        seconds: Its duration.
    """

    number: int = 0
    seconds: float = 0.0


def draw_pause(
    settings: StandInSettings, request_id: str, first: int, count: int
) -> StreamPause:
    """Returns the pause of a run, derived from its request and the seed.

    Args:
        settings: Settings of the replica.
        request_id: Identifier of the request.
        first: Number of the first event of the run.
        count: Number of the last event.
    """
    seed = f"{settings.pause_seed} {request_id} {first}"
    random = randoms.Random(seed)
    if first > count or random.random() >= settings.pause_probability:
        return StreamPause()
    return StreamPause(
        number=random.randint(first, count),
        seconds=random.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS),
    )
