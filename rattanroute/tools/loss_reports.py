"""Reports what clients lost and why, from the logs of the entry VMs."""

from collections.abc import Iterable
import pathlib
from typing import TextIO

import click

from rattanroute.tools.cli_output import print_json
from rattanroute.tools.cli_output import print_table
from rattanroute.tools.loss_causes import Objectives
from rattanroute.tools.loss_lines import RecordReader
from rattanroute.tools.loss_output import build_document
from rattanroute.tools.loss_output import build_total_rows
from rattanroute.tools.loss_output import build_window_rows
from rattanroute.tools.loss_windows import LossReport
from rattanroute.tools.loss_windows import WINDOW_SECONDS

LOG_TYPE = click.File("r", encoding="utf-8", errors="replace")
PLOT_TYPE = click.Path(dir_okay=False, path_type=pathlib.Path)


def parse_objectives(
    context: click.Context, parameter: click.Parameter, values: Iterable[str]
) -> dict[str, float]:
    """Parses `ROUTE=SECONDS` options."""
    objectives: dict[str, float] = {}
    for value in values:
        route, _, seconds = value.rpartition("=")
        try:
            objectives[route] = float(seconds)
        except ValueError:
            objectives[route] = 0.0
        if not route or not 0 < objectives[route] < float("inf"):
            raise click.BadParameter(
                f"{value!r} is not ROUTE=SECONDS", context, parameter
            )
    return objectives


def print_notes(report: LossReport, reader: RecordReader) -> None:
    """Prints what the report could not judge to standard error."""
    if reader.skipped:
        click.echo(f"{reader.skipped} malformed lines skipped", err=True)
    for route, count in sorted(report.without_objective.items()):
        click.echo(
            f"route {route} has no objective (--goal {route}=SECONDS): "
            f"late ones of its requests are not counted ({count})",
            err=True,
        )


def draw_plot(report: LossReport, file: pathlib.Path) -> None:
    """Draws the plot.

    Raises:
        click.ClickException: If matplotlib is missing or cannot write.
    """
    try:
        # Of the development's requirements only, and slow to import.
        from rattanroute.tools import loss_plots  # noqa: PLC0415

        loss_plots.draw_losses(report, file)
    except (ImportError, OSError, ValueError) as error:
        raise click.ClickException(f"no plot: {error}") from error


@click.command()
@click.argument("logs", nargs=-1, required=True, type=LOG_TYPE)
@click.option(
    "--goal",
    multiple=True,
    metavar="ROUTE=SECONDS",
    callback=parse_objectives,
    help="Objective of the first event or answer; ROUTE may be '*'.",
)
@click.option(
    "--gap-goal",
    multiple=True,
    metavar="ROUTE=SECONDS",
    callback=parse_objectives,
    help="Objective of the longest pause; ROUTE may be '*'.",
)
@click.option(
    "--window",
    type=click.FloatRange(min=0, min_open=True),
    default=WINDOW_SECONDS,
    show_default=True,
    help="Length of a window in seconds.",
)
@click.option(
    "--count-spent",
    is_flag=True,
    help="Count the part of the time limit that was used up on arrival. Only "
    "where all clients first state the whole limit of their route.",
)
@click.option(
    "--output",
    type=click.Choice(["table", "json"]),
    default="table",
    show_default=True,
)
@click.option("--plot", type=PLOT_TYPE, help="File for a plot (PNG).")
def main(
    *,
    logs: tuple[TextIO, ...],
    goal: dict[str, float],
    gap_goal: dict[str, float],
    window: float,
    count_spent: bool,
    output: str,
    plot: pathlib.Path | None,
) -> None:
    """Reports for each window and route what clients lost, and the cause.

    LOGS are the logs of entry VMs; '-' is the standard input.
    """
    objectives = Objectives(first_event_s=goal, gap_s=gap_goal)
    report = LossReport(objectives=objectives, window_s=window)
    reader = RecordReader(counts_spent=count_spent)
    for log in logs:
        report.add_all(reader.read(log))
    print_notes(report, reader)
    if output == "json":
        print_json(build_document(report, skipped_lines=reader.skipped))
    else:
        print_table(build_window_rows(report))
        click.echo()
        print_table(build_total_rows(report))
    if plot is not None:
        draw_plot(report, plot)


if __name__ == "__main__":
    main()
