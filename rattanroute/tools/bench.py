"""Runs the benchmarks, prints a table and writes `build/bench.json`."""

from collections.abc import Callable
import importlib
import json
import pathlib
import time

import click

from rattanroute.tools import plots
from rattanroute.tools.bench_arithmetic import build_row

RESULTS_FILE = pathlib.Path("build/bench.json")
BENCHMARKS = (
    "relay",
    "throughput",
    "recovery",
    "control",
    "decisions",
    "pipelines",
    "consensus",
    "configurations",
    "claims",
    "changes",
)


def load_benchmark(name: str) -> Callable[[], list[dict[str, object]]]:
    """Returns the `run` function of a benchmark module."""
    module = importlib.import_module(f"rattanroute.tools.bench_{name}")
    return module.run


def run_benchmark(name: str) -> list[dict[str, object]]:
    """Runs a benchmark; a failure becomes a row and stops no other one."""
    started = time.monotonic()
    try:
        rows = load_benchmark(name)()
    except Exception as error:
        rows = [build_row(f"failed: {error!r}", None, "", at_most=0)]
    seconds = time.monotonic() - started
    click.echo(f"{name}: {seconds:.1f} s", err=True)
    return [{**row, "name": f"{name}: {row['name']}"} for row in rows]


def draw_plots(rows: list[dict[str, object]]) -> None:
    """Draws the plots; a failure is printed and keeps the results."""
    try:
        plots.draw_all(rows)
    except Exception as error:
        click.echo(f"plots failed: {error!r}", err=True)


def format_value(value: object) -> str:
    """Formats a value as a table cell."""
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.4g}"
    return str(value)


def print_table(rows: list[dict[str, object]]) -> None:
    """Prints rows as aligned columns."""
    columns = ("name", "value", "unit", "target", "met", "baseline")
    cells = [columns] + [
        tuple(format_value(row.get(column)) for column in columns)
        for row in rows
    ]
    widths = [max(len(row[i]) for row in cells) for i in range(len(columns))]
    for row in cells:
        padded = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        click.echo("  ".join(padded).rstrip())


@click.command()
@click.option(
    "--only", type=click.Choice(BENCHMARKS), multiple=True, help="Parts to run."
)
def main(only: tuple[str, ...]) -> None:
    """Run the benchmarks."""
    rows: list[dict[str, object]] = []
    for name in only or BENCHMARKS:
        rows += run_benchmark(name)
    print_table(rows)
    RESULTS_FILE.parent.mkdir(exist_ok=True)
    RESULTS_FILE.write_text(json.dumps(rows, indent=2), encoding="utf-8")
    draw_plots(rows)


if __name__ == "__main__":
    main()
