"""Checks on the log of a soak that acknowledged changes are in force."""

import bisect

from rattanroute.platform.trial_deployments import KEPT_VERSION_ROUTES
from rattanroute.platform.trial_deployments import SoakBounds
from rattanroute.tools.soak_records import SoakLog

# Statuses after which a caller does not repeat a request.
FINAL_REFUSALS = frozenset({401, 404})


def check_changes(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """An acknowledged change is active on every connected front.

    A single operator sends the versions in order, so the version after the
    newest acknowledged one may already be active as well.
    """
    times = [x.at for x in log.acknowledgements]
    violations = []
    for probe in log.probes:
        due = bisect.bisect(times, probe.sent_at - bounds.apply_s)
        sent = bisect.bisect(times, probe.ended_at) + 1
        if not due:
            continue
        version = log.acknowledgements[due - 1].version
        newest = log.acknowledgements[due - 1].version + sent - due
        missing = (
            newest - KEPT_VERSION_ROUTES < probe.version <= version
            and not probe.served
        )
        outdated = (
            probe.version <= version - KEPT_VERSION_ROUTES and probe.served
        )
        if (missing or outdated) and must_be_current(
            log, bounds, probe.front, probe.sent_at, probe.ended_at
        ):
            state = "serves" if probe.served else "does not serve"
            violations.append(
                f"{probe.front} {state} the route of version {probe.version}, "
                f"{bounds.apply_s} s after version {version}"
            )
    return violations


def check_new_routes(log: SoakLog, bounds: SoakBounds) -> list[str]:
    """A connected front refuses no route and no key of an acknowledged change.

    Status 503 is no violation, as the caller repeats the request.
    """
    return [
        f"{x.front} refused the route or key of version {x.version} with "
        f"{x.status}, {x.sent_at - x.acknowledged_at:.2f} s after its "
        "acknowledgement"
        for x in log.route_requests
        if x.status in FINAL_REFUSALS
        and x.sent_at >= x.acknowledged_at + bounds.apply_s
        and must_be_current(log, bounds, x.front, x.sent_at, x.ended_at)
    ]


def must_be_current(
    log: SoakLog,
    bounds: SoakBounds,
    front: str,
    sent_at: float,
    ended_at: float,
) -> bool:
    """Returns whether a front was connected for long enough before a request.

    After a fault that killed most of the core, fronts count as connected after
    twice `contact_s`.

    Args:
        log: The observations.
        bounds: Limits of the soak.
        front: Name of the front.
        sent_at: Time when the request was sent.
        ended_at: Time of its answer.
    """
    return log.is_fault_free(
        {front},
        sent_at - bounds.apply_s,
        ended_at,
        margin_s=bounds.contact_s,
        # From the fault's end to the request, which was sent `apply_s` later.
        core_loss_margin_s=2 * bounds.contact_s - bounds.apply_s,
    )
