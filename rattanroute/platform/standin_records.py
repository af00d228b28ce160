"""Settings, records and answers of the stand-in replicas."""

import dataclasses
import enum
import random as randoms

import msgspec
import xxhash

from rattanroute.http1.heads import find_header
from rattanroute.http1.heads import RequestHead

# Number of a try of a caller that repeats a request under one identifier, from
# 1; routers forward it.
TRY_HEADER = b"Soak-Try"
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
        failure_probability: Probability that a numbered try of a caller fails
            or is refused.
        second_probability: Probability that an answer comes a second time,
            before the next answer on its connection.
        answer_seed: Seed of these failures and second answers.
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
    failure_probability: float = 0.0
    second_probability: float = 0.0
    answer_seed: int = 0


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
        try_number: Number of the caller's try, for `arrival` and `run`; 0 if
            the caller gives each try an identifier of its own.
        replica_id: The replica.
        service: Its service.
        chain: Layers of each target of a chain, or of an order, as first
            layer and exclusive end.
        run: Number of a run at this replica, for `run` and `end`.
        status: Status of the answer, for `run`.
        reason: How the run ended, for `end`.
        detail: Target and status that ended a run that is `BROKEN`.
    """

    at: float
    event: str
    request_id: str = ""
    try_number: int = 0
    replica_id: str = ""
    service: str = ""
    chain: list[tuple[int, int]] = []
    run: int = 0
    status: int = 0
    reason: str = ""
    detail: str = ""

    @property
    def key(self) -> tuple[str, int]:
        """Identifier of the request and number of the caller's try."""
        return self.request_id, self.try_number


def build_stamp(replica_id: str, run: int) -> str:
    """Returns the stamp of the answer to a request that ran."""
    return f"{replica_id}.{run}"


def read_try(head: RequestHead) -> int:
    """Returns the number of a caller's try; 0 if it states none."""
    return int(find_header(head.headers, TRY_HEADER.lower()) or b"0")


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
