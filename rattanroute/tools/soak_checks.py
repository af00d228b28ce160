"""Checks the invariants of the system on the log of a soak."""

import bisect
import collections
from collections.abc import Callable

from rattanroute.platform.standin_records import build_stamp
from rattanroute.platform.trial_deployments import CallKind
from rattanroute.platform.trial_deployments import KEPT_VERSION_ROUTES
from rattanroute.platform.trial_deployments import LAYERS
from rattanroute.platform.trial_deployments import NOT_RUN_STATUSES
from rattanroute.platform.trial_deployments import SoakBounds
from rattanroute.tools.soak_change_checks import check_changes
from rattanroute.tools.soak_change_checks import check_new_routes
from rattanroute.tools.soak_crashing_clients import CRASHING_CLIENT
from rattanroute.tools.soak_crashing_clients import CRASHING_PART_CLIENT
from rattanroute.tools.soak_records import Attempt
from rattanroute.tools.soak_records import AttemptOutcome
from rattanroute.tools.soak_records import Probe
from rattanroute.tools.soak_records import SoakLog
from rattanroute.tools.soak_stop_checks import check_reloads
from rattanroute.tools.soak_stop_checks import check_requests_behind
from rattanroute.tools.soak_stop_checks import check_stops

# Fraction of the requests that must be served after the recovery time.
MIN_SERVED_FRACTION = 0.25
# Crashes after which all connected fronts must refuse the request that caused
# them, and its retries that may still reach replicas afterwards.
MAX_CRASHES = 3
MAX_LATE_RETRIES = 3
# The same for a part of a prompt, whose requests differ.
MAX_PART_CRASHES = 5
# Fewer streams do not show whether sound ones are served.
MIN_SOUND_STREAMS = 20


def check_answers(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """Each answer is intact, signed and belongs to its own request."""
    del bounds
    return [
        f"answer to {x.request_id} by {x.front}: {x.build_error_response}"
        for x in log.attempts
        if x.build_error_response
    ]


def check_once(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """A call that is not repeatable runs at most once for each try."""
    del bounds
    runs = count_runs(log)
    return [
        f"{x.request_id}{describe_try(x)} ran {runs[x.key]} times"
        for x in log.attempts
        if x.kind is CallKind.ONCE and runs[x.key] > 1
    ]


def check_refusals(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """A request with a status that means "not run" never runs."""
    del bounds
    runs = count_runs(log)
    return [
        f"{x.request_id}{describe_try(x)} was refused with {x.status} by "
        f"{x.front} and ran"
        for x in log.attempts
        if x.status in NOT_RUN_STATUSES and runs[x.key]
    ]


def count_runs(log: SoakLog) -> collections.Counter[tuple[str, int]]:
    """Returns the number of runs of each try of a request."""
    return collections.Counter(x.key for x in log.records if x.event == "run")


def describe_try(attempt: Attempt) -> str:
    """Returns the number of a numbered try, for messages."""
    return f" (try {attempt.try_number})" if attempt.try_number else ""


def check_tries(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """Each answer with a stamp is that of a run of the same try."""
    del bounds
    runs = {
        build_stamp(x.replica_id, x.run): x
        for x in log.records
        if x.event == "run"
    }
    violations = []
    for attempt in log.attempts:
        run = runs.get(attempt.stamp)
        if not attempt.stamp or (
            run is not None
            and run.key == attempt.key
            and run.status == attempt.status
        ):
            continue
        found = "no run"
        if run is not None:
            found = (
                f"the run of {run.request_id}, try {run.try_number}, "
                f"status {run.status}"
            )
        violations.append(
            f"{attempt.request_id}{describe_try(attempt)} got "
            f"{attempt.status} by {attempt.front} with the stamp "
            f"{attempt.stamp} of {found}"
        )
    return violations


def check_chains(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """Each chain runs every layer exactly once and in order."""
    del bounds
    violations = []
    for record in log.records:
        if record.event != "chain":
            continue
        ends = [0, *(end for _, end in record.chain)]
        starts = [first for first, _ in record.chain]
        if starts != ends[:-1] or ends[-1] != LAYERS:
            violations.append(f"{record.request_id} ran over {record.chain}")
    return violations


def check_memory(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """No engine is ordered to load more layers than fit in its memory."""
    del bounds
    return [
        f"{x.replica_id} was ordered to hold {x.chain}"
        for x in log.records
        if x.event == "overload"
    ]


def check_time(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """A front without faults answers within the route's timeout."""
    late = []
    for attempt in log.attempts:
        limit_s = log.shape.timeout_s(attempt.kind) + bounds.answer_s
        due = attempt.waiting_since + limit_s
        if attempt.ended_at <= due or attempt.outcome is AttemptOutcome.UNSENT:
            continue
        if log.is_fault_free(
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


def check_regress(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """A front never returns to an older version without a restart."""
    violations = []
    by_start: dict[tuple[str, int], list[Probe]] = collections.defaultdict(list)
    for probe in log.probes:
        by_start[probe.front, probe.start_number].append(probe)
    for probes in by_start.values():
        seen: list[tuple[float, int]] = []
        for probe in sorted(probes, key=lambda x: x.ended_at):
            newer = [
                version
                for at, version in seen
                if at + bounds.regress_s < probe.sent_at
                and version - KEPT_VERSION_ROUTES >= probe.version
            ]
            if probe.served and newer:
                violations.append(
                    f"{probe.front} went from version {max(newer)} back to "
                    f"{probe.version}"
                )
            if probe.served:
                seen.append((probe.ended_at, probe.version))
    return violations


def check_readings(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """A read returns the acknowledged configuration or a newer one."""
    violations = []
    for read in log.configuration_reads:
        acknowledged = max(
            (
                x.version
                for x in log.acknowledgements
                if x.at + bounds.apply_s < read.sent_at
            ),
            default=0,
        )
        if read.version < acknowledged or not read.intact:
            violations.append(
                f"{read.machine} gave version {read.version} after "
                f"{acknowledged}, intact: {read.intact}"
            )
    return violations


def check_kept(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """The newest acknowledged configuration is still stored at the end."""
    del bounds
    newest = max((x.version for x in log.acknowledgements), default=0)
    if log.final_version >= newest:
        return []
    return [f"version {newest} was lost; {log.final_version} was read"]


def check_budget(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """Repeated arrivals of requests stay within the retry budget."""
    violations = []
    arrivals: dict[str, list[tuple[float, tuple[str, int]]]] = (
        collections.defaultdict(list)
    )
    for record in log.records:
        if record.event == "arrival":
            arrivals[record.service].append((record.at, record.key))
    for service, arrived in arrivals.items():
        seen: set[tuple[str, int]] = set()
        repeats: list[float] = []
        requests: list[float] = []
        for at, key in sorted(arrived):
            (repeats if key in seen else requests).append(at)
            seen.add(key)
        for start in repeats:
            end = start + bounds.window_s
            repeat_count = count_between(repeats, start, end)
            request_count = max(
                count_between(requests, start - shift, end - shift)
                for shift in (0.0, bounds.window_s / 2, bounds.window_s)
            )
            if (
                repeat_count
                > bounds.retry_ratio * request_count + bounds.retry_extra
            ):
                violations.append(
                    f"{service} got {repeat_count} repeats of {request_count}"
                )
                break
    return violations


def count_between(times: list[float], start: float, end: float) -> int:
    """Returns how many of the sorted times lie in a closed interval."""
    return bisect.bisect(times, end) - bisect.bisect_left(times, start)


def check_departures(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """No request from a connected front reaches a replica that left."""
    notices = {x.replica_id: x.at for x in log.records if x.event == "notice"}
    fronts = {x.key: x.front for x in log.attempts}
    violations = []
    for record in log.records:
        at = notices.get(record.replica_id)
        if record.event != "arrival" or at is None:
            continue
        if record.at <= at + bounds.drain_s:
            continue
        if log.is_fault_free(
            set(log.fronts), at, record.at, margin_s=bounds.contact_s
        ):
            violations.append(
                f"{record.request_id} reached {record.replica_id} "
                f"{record.at - at:.2f} s after its notice through "
                f"{fronts.get(record.key, 'an unknown front')}"
            )
    return violations


def check_crashes(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """Connected fronts stop sending a request that crashed replicas."""
    return find_late_runs(log, bounds, CRASHING_CLIENT, MAX_CRASHES)


def check_crashing_parts(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """Connected fronts stop sending prompts with a part that crashes."""
    return find_late_runs(log, bounds, CRASHING_PART_CLIENT, MAX_PART_CRASHES)


def check_sound_parts(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """Connected fronts serve prompts that share a part with crashing ones.

    Counts the first attempts of streams after the ban was due that no fault
    and no crash interrupted. Numbered tries do not count, as replicas fail some
    of them.
    """
    crashes = list_crashes(log, CRASHING_PART_CLIENT)
    if not crashes:
        return []
    due_at = crashes[:MAX_PART_CRASHES][-1][0] + 2 * bounds.contact_s
    times = [x.at for x in log.records if x.event == "crash"]
    sound = [
        x
        for x in log.attempts
        if x.kind is CallKind.STREAM
        and not x.try_number
        and not x.request_id.startswith((CRASHING_CLIENT, CRASHING_PART_CLIENT))
        and x.sent_at >= due_at
        and log.is_fault_free(
            {x.front, *log.core},
            x.sent_at,
            x.ended_at,
            margin_s=bounds.contact_s,
        )
        and not any(
            x.sent_at - bounds.contact_s <= at <= x.ended_at for at in times
        )
    ]
    begun = sum(x.status == 200 for x in sound)
    if len(sound) < MIN_SOUND_STREAMS or 2 * begun >= len(sound):
        return []
    return [f"{begun} of {len(sound)} sound streams began"]


def list_crashes(log: SoakLog, client: str) -> list[tuple[float, str]]:
    """Returns times and fronts of the requests of a client that ran."""
    fronts = {x.request_id: x.front for x in log.attempts}
    return sorted(
        (record.at, fronts[record.request_id])
        for record in log.records
        if record.event == "run"
        and record.request_id.startswith(client)
        and record.request_id in fronts
    )


def find_late_runs(
    log: SoakLog, bounds: SoakBounds, client: str, max_crashes: int
) -> list[str]:
    """Returns the runs of a crashing client after its ban was due.

    Args:
        log: The observations.
        bounds: Limits of the soak.
        client: Prefix of the identifiers of its requests.
        max_crashes: Number of the crash from which the time counts.
    """
    runs = list_crashes(log, client)
    if len(runs) <= max_crashes:
        return []
    known_at = runs[max_crashes - 1][0] + bounds.contact_s
    late = [
        f"{front} sent it on {at - known_at:.2f} s after it had to be known"
        for at, front in runs
        if at > known_at
        and log.is_fault_free(
            {front, *log.core}, at, at, margin_s=bounds.contact_s
        )
    ]
    return late if len(late) > MAX_LATE_RETRIES else []


def check_recovery(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """Enough requests are served after the last fault and recovery time.

    Numbered tries do not count, as replicas fail some of them.
    """
    start = log.faults_ended_at + bounds.recovery_s
    later = [x for x in log.attempts if x.sent_at >= start and not x.try_number]
    served = sum(x.outcome is AttemptOutcome.COMPLETE for x in later)
    if later and served >= MIN_SERVED_FRACTION * len(later):
        return []
    return [f"{served} of {len(later)} were served after the last fault"]


def check_processes(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """No process exits unexpectedly or logs a traceback."""
    del bounds
    return log.process_failures


CHECKS: tuple[Callable[[SoakLog, SoakBounds], list[str]], ...] = (
    check_answers,
    check_once,
    check_refusals,
    check_tries,
    check_chains,
    check_memory,
    check_time,
    check_stops,
    check_reloads,
    check_requests_behind,
    check_changes,
    check_new_routes,
    check_regress,
    check_readings,
    check_kept,
    check_budget,
    check_departures,
    check_crashes,
    check_crashing_parts,
    check_sound_parts,
    check_recovery,
    check_processes,
)


def find_violations(log: SoakLog, bounds: SoakBounds) -> dict[str, list[str]]:
    """Returns the violations found by each check that failed."""
    violations = {check.__name__: check(log, bounds) for check in CHECKS}
    return {name: items for name, items in violations.items() if items}
