"""Checks the promises of the system on what a soak saw."""

import bisect
import collections
from collections.abc import Callable

from rattanroute.platform.trial_deployments import CallKind
from rattanroute.platform.trial_deployments import KEPT_VERSION_ROUTES
from rattanroute.platform.trial_deployments import LAYERS
from rattanroute.platform.trial_deployments import NOT_RUN_STATUSES
from rattanroute.platform.trial_deployments import SoakBounds
from rattanroute.platform.trial_deployments import timeout_s
from rattanroute.tools.soak_crashes import CRASHING_CALLER
from rattanroute.tools.soak_plans import Action
from rattanroute.tools.soak_records import Ending
from rattanroute.tools.soak_records import Probe
from rattanroute.tools.soak_records import SoakLog

# Part of the requests that must be served after the last fault.
RECOVERED_PART = 0.25
# Crashes after which a request must be known on all fronts in touch, and
# retries that may still reach replicas then.
MAX_CRASHES = 3
MAX_LATE_RETRIES = 3
# From SIGTERM on, a front still takes new connections for so long.
ROTATION_SECONDS = 2.5


def check_answers(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """Each answer is whole, signed and that of its own request."""
    del bounds
    return [
        f"answer to {x.request_id} by {x.front}: {x.fault}"
        for x in log.attempts
        if x.fault
    ]


def check_once(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """A call that must not be repeated runs at most once."""
    del bounds
    runs = count_runs(log)
    return [
        f"{x.request_id} ran {runs[x.request_id]} times"
        for x in log.attempts
        if x.kind is CallKind.ONCE and runs[x.request_id] > 1
    ]


def check_refusals(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """What was refused as not run did not run, also not later."""
    del bounds
    runs = count_runs(log)
    return [
        f"{x.request_id} was refused with {x.status} by {x.front} and ran"
        for x in log.attempts
        if x.status in NOT_RUN_STATUSES and runs[x.request_id]
    ]


def count_runs(log: SoakLog) -> collections.Counter[str]:
    """Returns how often each request ran."""
    return collections.Counter(
        x.request_id for x in log.records if x.event == "run"
    )


def check_chains(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """Each chain runs every layer once and in order."""
    del bounds
    wrong = []
    for record in log.records:
        if record.event != "chain":
            continue
        ends = [0, *(end for _, end in record.chain)]
        starts = [first for first, _ in record.chain]
        if starts != ends[:-1] or ends[-1] != LAYERS:
            wrong.append(f"{record.request_id} ran over {record.chain}")
    return wrong


def check_memory(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """No engine is ordered to hold more than fits."""
    del bounds
    return [
        f"{x.replica_id} was ordered to hold {x.chain}"
        for x in log.records
        if x.event == "overload"
    ]


def check_time(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """An undisturbed front answers until the route's timeout."""
    late = []
    for attempt in log.attempts:
        due = attempt.sent_at + timeout_s(attempt.kind) + bounds.answer_s
        if attempt.ended_at <= due or attempt.ending is Ending.UNSENT:
            continue
        if log.is_calm(
            {attempt.front},
            attempt.sent_at,
            attempt.ended_at,
            margin_s=bounds.contact_s,
        ):
            held = attempt.ended_at - attempt.sent_at
            late.append(
                f"{attempt.front} held {attempt.request_id} for {held:.2f} s"
            )
    return late


def check_stops(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """A planned stop cuts no request.

    Only requests count that were sent while the front took some, and while
    nothing else was disturbed, a replica that crashed included: it may have
    broken off the answer.
    """
    cut = []
    crashes = [x.at for x in log.records if x.event == "crash"]
    stops = [
        x
        for x in log.disturbances
        if x.action in (Action.STOP, Action.ROLL)
        and not set(x.subjects).isdisjoint(log.fronts)
    ]
    for stop in stops:
        for x in log.attempts:
            if x.front not in stop.subjects or x.ending is not Ending.BROKEN:
                continue
            sent = stop.start - timeout_s(x.kind) <= x.sent_at
            if not sent or x.sent_at > stop.start + ROTATION_SECONDS:
                continue
            if any(x.sent_at <= at <= x.ended_at for at in crashes):
                continue
            others = [
                y
                for y in log.disturbances
                if y is not stop
                and y.start <= x.ended_at
                and x.sent_at <= y.end + bounds.contact_s
            ]
            if x.ended_at >= stop.start and not others:
                cut.append(f"{x.front} cut {x.request_id} at its stop")
    return cut


def check_changes(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """An acknowledged change is in force on every front in touch.

    One operator sends the versions in order, so that the version after the
    newest acknowledged one may be in force as well.
    """
    times = [x.at for x in log.acknowledgements]
    wrong = []
    for probe in log.probes:
        due = bisect.bisect(times, probe.sent_at - bounds.apply_s)
        sent = bisect.bisect(times, probe.ended_at) + 1
        if not due:
            continue
        version = log.acknowledgements[due - 1].version
        newest = log.acknowledgements[due - 1].version + sent - due
        added = (
            newest - KEPT_VERSION_ROUTES < probe.version <= version
            and not probe.known
        )
        dropped = probe.version <= version - KEPT_VERSION_ROUTES and probe.known
        if (added or dropped) and log.is_calm(
            {probe.front},
            probe.sent_at - bounds.apply_s,
            probe.ended_at,
            margin_s=bounds.contact_s,
        ):
            state = "serves" if probe.known else "does not serve"
            wrong.append(
                f"{probe.front} {state} the route of version {probe.version}, "
                f"{bounds.apply_s} s after version {version}"
            )
    return wrong


def check_regress(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """A front does not go back to an older version within a lifetime."""
    wrong = []
    by_life: dict[tuple[str, int], list[Probe]] = collections.defaultdict(list)
    for probe in log.probes:
        by_life[probe.front, probe.lifetime].append(probe)
    for probes in by_life.values():
        seen: list[tuple[float, int]] = []
        for probe in sorted(probes, key=lambda x: x.ended_at):
            newer = [
                version
                for at, version in seen
                if at + bounds.regress_s < probe.sent_at
                and version - KEPT_VERSION_ROUTES >= probe.version
            ]
            if probe.known and newer:
                wrong.append(
                    f"{probe.front} went from version {max(newer)} back to "
                    f"{probe.version}"
                )
            if probe.known:
                seen.append((probe.ended_at, probe.version))
    return wrong


def check_readings(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """What is read is not older than what was acknowledged."""
    wrong = []
    for reading in log.readings:
        known = max(
            (
                x.version
                for x in log.acknowledgements
                if x.at + bounds.apply_s < reading.sent_at
            ),
            default=0,
        )
        if reading.version < known or not reading.intact:
            wrong.append(
                f"{reading.machine} gave version {reading.version} after "
                f"{known}, intact: {reading.intact}"
            )
    return wrong


def check_kept(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """No acknowledged configuration is lost."""
    del bounds
    newest = max((x.version for x in log.acknowledgements), default=0)
    if log.final_version >= newest:
        return []
    return [f"version {newest} was lost; {log.final_version} was read"]


def check_budget(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """Further arrivals of requests stay within the budget."""
    wrong = []
    arrivals: dict[str, list[tuple[float, str]]] = collections.defaultdict(list)
    for record in log.records:
        if record.event == "arrival":
            arrivals[record.service].append((record.at, record.request_id))
    for service, found in arrivals.items():
        first: set[str] = set()
        repeats: list[float] = []
        requests: list[float] = []
        for at, request_id in sorted(found):
            (repeats if request_id in first else requests).append(at)
            first.add(request_id)
        for start in repeats:
            end = start + bounds.window_s
            more = count_between(repeats, start, end)
            most = max(
                count_between(requests, start - shift, end - shift)
                for shift in (0.0, bounds.window_s / 2, bounds.window_s)
            )
            if more > bounds.retry_ratio * most + bounds.retry_extra:
                wrong.append(f"{service} got {more} repeats of {most}")
                break
    return wrong


def count_between(times: list[float], start: float, end: float) -> int:
    """Returns the number of sorted times in a span."""
    return bisect.bisect(times, end) - bisect.bisect_left(times, start)


def check_departures(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """No request reaches a replica that left, from fronts in touch."""
    notices = {x.replica_id: x.at for x in log.records if x.event == "notice"}
    wrong = []
    for record in log.records:
        at = notices.get(record.replica_id)
        if record.event != "arrival" or at is None:
            continue
        if record.at <= at + bounds.drain_s:
            continue
        if log.is_calm(
            set(log.fronts), at, record.at, margin_s=bounds.contact_s
        ):
            wrong.append(
                f"{record.request_id} reached {record.replica_id} "
                f"{record.at - at:.2f} s after its notice"
            )
    return wrong


def check_crashes(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """A request that crashed replicas is not sent on by fronts in touch."""
    fronts = {x.request_id: x.front for x in log.attempts}
    runs = sorted(
        (record.at, fronts[record.request_id])
        for record in log.records
        if record.event == "run"
        and record.request_id.startswith(CRASHING_CALLER)
        and record.request_id in fronts
    )
    if len(runs) <= MAX_CRASHES:
        return []
    known_at = runs[MAX_CRASHES - 1][0] + bounds.contact_s
    late = [
        f"{front} sent it on {at - known_at:.2f} s after it had to be known"
        for at, front in runs
        if at > known_at
        and log.is_calm({front, *log.core}, at, at, margin_s=bounds.contact_s)
    ]
    return late if len(late) > MAX_LATE_RETRIES else []


def check_recovery(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """Requests are served again after the last fault."""
    start = log.settled_at + bounds.recovery_s
    later = [x for x in log.attempts if x.sent_at >= start]
    served = sum(x.ending is Ending.COMPLETE for x in later)
    if later and served >= RECOVERED_PART * len(later):
        return []
    return [f"{served} of {len(later)} were served after the last fault"]


def check_processes(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """No process ends by itself or fails inside."""
    del bounds
    return log.died


CHECKS: tuple[Callable[[SoakLog, SoakBounds], list[str]], ...] = (
    check_answers,
    check_once,
    check_refusals,
    check_chains,
    check_memory,
    check_time,
    check_stops,
    check_changes,
    check_regress,
    check_readings,
    check_kept,
    check_budget,
    check_departures,
    check_crashes,
    check_recovery,
    check_processes,
)


def find_broken(log: SoakLog, bounds: SoakBounds) -> dict[str, list[str]]:
    """Returns the findings of each check that failed."""
    found = {check.__name__: check(log, bounds) for check in CHECKS}
    return {name: items for name, items in found.items() if items}
