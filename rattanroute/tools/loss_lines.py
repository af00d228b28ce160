"""Reads the log lines of entry VMs that tell how requests ended."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import datetime
import json
import re

ENDED_EVENT = "request ended"
REFUSED_EVENT = "request refused"
# Other lines are the majority and are skipped without parsing them.
EVENT_MARKS = (f'event="{ENDED_EVENT}"', f'event="{REFUSED_EVENT}"')
FIELD_PATTERN = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
# A number that is a word by itself, so not the one in `front-a-7`.
NUMBER_PATTERN = re.compile(r"(?<!\S)\d+(?:\.\d+)?(?!\S)")
# Route of a request that no route matched.
NO_ROUTE = "-"
NO_CONNECTION = "-"

Fields = dict[str, str]


class LineError(ValueError):
    """A line lacks a field, or a field has no valid value."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestPhases:
    """What the times of a stream consist of; missing in older logs.

    Attributes:
        first_sent_s: Seconds until the attempt with the first event was sent.
        first_waited_s: Seconds in the wait queue before that event.
        first_sends: Attempts made by then.
        gap_at_s: Seconds from the arrival to the start of the longest pause.
        gap_sent_s: Seconds until the attempt that ended the pause was sent.
        gap_waited_s: Seconds of the pause in the wait queue.
        gap_failures: Reasons of the attempts that failed in the pause.
    """

    first_sent_s: float
    first_waited_s: float
    first_sends: int
    gap_at_s: float
    gap_sent_s: float
    gap_waited_s: float
    gap_failures: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestRecord:
    """The end of one request at an entry VM.

    Attributes:
        ended_at: Time of the line in seconds.
        request_id: Identifier of the request.
        routed: Whether the request had a route and was not refused at once.
        route: Name of the route.
        status: Status that the client got; 0 if the connection broke.
        reason: What the VM says about the end.
        priority: Rank; None if the line does not tell.
        goal_s: Objective of the first event; 0 if the line does not tell.
        gap_goal_s: Objective of the longest pause; 0 if the line does not
            tell.
        spent_s: Seconds of the time limit that were used up on arrival.
        waited_s: Seconds in the wait queue.
        first_event_s: Seconds until the first event; 0 without one.
        gap_s: Longest pause between two events in seconds.
        seconds: Duration in seconds.
        events: Events that were passed to the client.
        sends: Attempts.
        connections: Connection of each attempt.
        failures: Reasons of the failed attempts.
        data_centres: Data centres of the chain of each attempt.
        phases: What the times consist of; None in older logs.
    """

    ended_at: float
    request_id: str
    routed: bool = True
    route: str
    status: int
    reason: str
    priority: int | None = None
    goal_s: float = 0.0
    gap_goal_s: float = 0.0
    spent_s: float = 0.0
    waited_s: float = 0.0
    first_event_s: float = 0.0
    gap_s: float = 0.0
    seconds: float = 0.0
    events: int = 0
    sends: int = 0
    connections: tuple[str, ...] = ()
    failures: tuple[str, ...] = ()
    data_centres: tuple[str, ...] = ()
    phases: RequestPhases | None = None

    @property
    def arrived_at(self) -> float:
        """Time at which the request arrived, in seconds."""
        return self.ended_at - self.seconds

    @property
    def is_stream(self) -> bool:
        """Whether events were passed to the client."""
        return self.events > 0

    @property
    def is_unconnected(self) -> bool:
        """Whether no attempt got a connection to its target."""
        return bool(self.connections) and all(
            connection == NO_CONNECTION for connection in self.connections
        )


@dataclasses.dataclass(kw_only=True, slots=True)
class RecordReader:
    """Reads records from lines and counts the lines that it cannot read.

    Attributes:
        skipped: Lines of the events in question that are malformed or cut.
        counts_spent: Whether the time limit that was used up on arrival counts.
            Where clients state less than the limit of their route from the
            start, it says nothing about returns.
    """

    skipped: int = 0
    counts_spent: bool = False

    def read(self, lines: Iterable[str]) -> Iterator[RequestRecord]:
        """Yields the records of lines; other lines are left out."""
        for line in lines:
            if not any(mark in line for mark in EVENT_MARKS):
                continue
            try:
                record = parse_record(line)
            except LineError:
                self.skipped += 1
                continue
            if not self.counts_spent:
                record = dataclasses.replace(record, spent_s=0.0)
            yield record


def parse_record(line: str) -> RequestRecord:
    """Parses a line of one of the two events.

    Raises:
        LineError: If a field is missing or has no valid value.
    """
    prefix, fields = split_line(line)
    try:
        ended_at = parse_time(prefix, fields)
        if fields["event"] == REFUSED_EVENT:
            return build_refused(ended_at, fields)
        return build_ended(ended_at, fields)
    except (KeyError, ValueError) as error:
        raise LineError(f"{error!r} in {line.strip()!r}") from error


def split_line(line: str) -> tuple[str, Fields]:
    """Returns the prefix of a line and its fields by name."""
    start = FIELD_PATTERN.search(line)
    if start is None:
        return line, {}
    fields: Fields = {}
    for name, value in FIELD_PATTERN.findall(line, start.start()):
        fields[name] = decode_value(value)
    return line[: start.start()], fields


def decode_value(value: str) -> str:
    """Returns a value without its quotes.

    Raises:
        LineError: If the quoted text is malformed.
    """
    if not value.startswith('"'):
        return value
    try:
        return json.loads(value)
    except ValueError as error:
        raise LineError(f"malformed text {value}") from error


def parse_time(prefix: str, fields: Fields) -> float:
    """Returns the time of a line in seconds.

    It is the first number of the prefix, if there is one.
    """
    found = NUMBER_PATTERN.search(prefix)
    if found is not None:
        return float(found.group())
    return datetime.datetime.fromisoformat(fields["time"]).timestamp()


def build_refused(ended_at: float, fields: Fields) -> RequestRecord:
    """Builds the record of a request that was refused at once.

    The lines of `rattanrouted` have a type instead of a status and a reason.
    """
    return RequestRecord(
        ended_at=ended_at,
        request_id=fields.get("request_id", ""),
        routed=False,
        route=NO_ROUTE,
        status=int(fields.get("status", 0)),
        reason=fields.get("reason") or fields["type"],
    )


def build_ended(ended_at: float, fields: Fields) -> RequestRecord:
    """Builds the record of a request that had a route."""
    priority = fields.get("priority")
    return RequestRecord(
        ended_at=ended_at,
        request_id=fields["request_id"],
        route=fields["route"],
        status=int(fields["status"]),
        reason=fields["reason"],
        priority=None if priority is None else int(priority),
        goal_s=float(fields.get("goal", 0)),
        gap_goal_s=float(fields.get("gap_goal", 0)),
        spent_s=float(fields.get("spent", 0)),
        waited_s=float(fields.get("waited", 0)),
        first_event_s=float(fields.get("first_event", 0)),
        gap_s=float(fields.get("longest_gap", 0)),
        seconds=float(fields["seconds"]),
        events=int(fields.get("events", 0)),
        sends=int(fields.get("sends", 0)),
        connections=split_list(fields.get("connections", "")),
        failures=split_list(fields.get("failures", ""), ";"),
        data_centres=split_list(fields.get("data_centres", "")),
        phases=build_phases(fields),
    )


def build_phases(fields: Fields) -> RequestPhases | None:
    """Builds the phases of a request; None if the line lacks them."""
    if "first_sent" not in fields:
        return None
    return RequestPhases(
        first_sent_s=float(fields["first_sent"]),
        first_waited_s=float(fields["first_waited"]),
        first_sends=int(fields["first_sends"]),
        gap_at_s=float(fields["gap_at"]),
        gap_sent_s=float(fields["gap_sent"]),
        gap_waited_s=float(fields["gap_waited"]),
        gap_failures=split_list(fields["gap_failures"], ";"),
    )


def split_list(value: str, separator: str = ",") -> tuple[str, ...]:
    """Returns the parts of a list; none of an empty one."""
    return tuple(value.split(separator)) if value else ()
