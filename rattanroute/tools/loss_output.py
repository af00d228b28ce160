"""Tables and JSON of reports of lost value."""

import datetime

from rattanroute.tools.loss_causes import Kind
from rattanroute.tools.loss_windows import LossGroup
from rattanroute.tools.loss_windows import LossReport

# Times from this on are Unix times; smaller ones count from a start.
FIRST_UNIX_TIME = 1_000_000_000.0
UNKNOWN_RANK = "?"

Row = dict[str, object]


def build_window_rows(report: LossReport) -> list[Row]:
    """Returns a table row for each window and route with losses."""
    return [
        {"time": format_time(start), "route": route, **build_cells(group)}
        for (start, route), group in sorted(report.windows.items())
        if group.affected
    ]


def build_total_rows(report: LossReport) -> list[Row]:
    """Returns a table row for each route and rank."""
    return [
        {
            "route": route,
            "rank": UNKNOWN_RANK if rank is None else str(rank),
            **build_cells(group),
        }
        for (route, rank), group in sort_totals(report)
    ]


def sort_totals(
    report: LossReport,
) -> list[tuple[tuple[str, int | None], LossGroup]]:
    """Returns the totals by route and rank; an unknown rank is first."""
    return sorted(
        report.totals.items(),
        key=lambda item: (item[0][0], -1 if item[0][1] is None else item[0][1]),
    )


def build_cells(group: LossGroup) -> Row:
    """Returns the cells that each row has."""
    counts = {str(kind): group.count(kind) for kind in Kind}
    causes = "; ".join(
        f"{kind}: {cause} {total.count}"
        for (kind, cause), total in group.sort_sums()
    )
    return {
        "requests": group.requests,
        "losing": group.affected,
        **counts,
        "causes": causes,
    }


def format_time(at: float) -> str:
    """Returns a time as text, in UTC if it is a Unix time."""
    if at < FIRST_UNIX_TIME:
        return f"{at:g}"
    moment = datetime.datetime.fromtimestamp(at, datetime.UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%S")


def build_document(report: LossReport, *, skipped_lines: int) -> Row:
    """Returns the report for JSON."""
    return {
        "window_s": report.window_s,
        "skipped_lines": skipped_lines,
        "without_objective": report.without_objective,
        "windows": [
            {"start_s": start, "route": route, **build_object(group)}
            for (start, route), group in sorted(report.windows.items())
        ],
        "totals": [
            {"route": route, "rank": rank, **build_object(group)}
            for (route, rank), group in sort_totals(report)
        ],
    }


def build_object(group: LossGroup) -> Row:
    """Returns a group for JSON."""
    return {
        "requests": group.requests,
        "losing": group.affected,
        "losses": [
            {
                "kind": kind,
                "cause": cause,
                "count": total.count,
                "excess_s": round(total.excess_s, 3),
                "examples": total.examples,
            }
            for (kind, cause), total in group.sort_sums()
        ],
    }
