"""Runs the benchmarks, prints one table and writes `build/bench.json`."""

from collections.abc import Callable
import importlib
import json
import pathlib
import time

import click

RESULTS_FILE = pathlib.Path("build/bench.json")
PARTS = (
    "relay",
    "throughput",
    "recovery",
    "decisions",
    "pipelines",
    "consensus",
    "configurations",
    "claims",
)


def load_part(name: str) -> Callable[[], list[dict[str, object]]]:
    """Returns the run function of a part."""
    module = importlib.import_module(f"rattanroute.tools.bench_{name}")
    return module.run


def format_value(value: object) -> str:
    """Returns a cell of the table."""
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
    "--only", type=click.Choice(PARTS), multiple=True, help="Parts to run."
)
def main(only: tuple[str, ...]) -> None:
    """Run the benchmarks."""
    rows: list[dict[str, object]] = []
    for name in only or PARTS:
        started = time.monotonic()
        part = load_part(name)()
        rows += [{**row, "name": f"{name}: {row['name']}"} for row in part]
        click.echo(f"{name}: {time.monotonic() - started:.1f} s", err=True)
    print_table(rows)
    RESULTS_FILE.parent.mkdir(exist_ok=True)
    RESULTS_FILE.write_text(json.dumps(rows, indent=2), encoding="utf-8")


if __name__ == "__main__":
    main()
