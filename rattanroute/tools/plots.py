"""Plots of the benchmark results as PNG files next to `bench.json`."""

import json
import pathlib

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

FOLDER = pathlib.Path("build")
SERIES_FILE = FOLDER / "bench_series.json"
RATE_BIN_SECONDS = 0.25
WIDTH_INCHES = 8.0
HEIGHT_INCHES = 4.5


def load_series() -> dict[str, list[object]]:
    """Returns the stored series of the latest run of each benchmark."""
    if not SERIES_FILE.exists():
        return {}
    return json.loads(SERIES_FILE.read_text(encoding="utf-8"))


def save_series(name: str, values: list[object]) -> None:
    """Stores a series for the plots; replaces one of the same name."""
    FOLDER.mkdir(exist_ok=True)
    series = {**load_series(), name: values}
    SERIES_FILE.write_text(json.dumps(series), encoding="utf-8")


def select_series(prefix: str) -> dict[str, list[object]]:
    """Returns the series with a name prefix, keyed without the prefix."""
    return {
        name.removeprefix(prefix).strip(): values
        for name, values in load_series().items()
        if name.startswith(prefix)
    }


def draw_lines(
    series: dict[str, list[object]], *, x: str, y: str, title: str, file: str
) -> None:
    """Draws each series of (x, y) points as a line."""
    if not series:
        return
    figure, axes = pyplot.subplots(figsize=(WIDTH_INCHES, HEIGHT_INCHES))
    for name, points in series.items():
        ordered = sorted(points)
        axes.plot(
            [point[0] for point in ordered],
            [point[1] for point in ordered],
            marker="o",
            label=name,
        )
    axes.set(xlabel=x, ylabel=y, title=title)
    axes.set_ylim(bottom=0)
    axes.legend()
    save_figure(figure, file)


def draw_recovery() -> None:
    """Draws the rate of complete answers around each fault."""
    series = select_series("recovery ")
    if not series:
        return
    figure, axes = pyplot.subplots(figsize=(WIDTH_INCHES, HEIGHT_INCHES))
    for name, times in series.items():
        counts: dict[int, int] = {}
        for at in times:
            bin_index = int(at // RATE_BIN_SECONDS)
            counts[bin_index] = counts.get(bin_index, 0) + 1
        bin_indexes = range(min(counts), max(counts) + 1)
        axes.step(
            [bin_index * RATE_BIN_SECONDS for bin_index in bin_indexes],
            [
                counts.get(bin_index, 0) / RATE_BIN_SECONDS
                for bin_index in bin_indexes
            ],
            where="post",
            label=name,
        )
    axes.axvline(0.0, color="black", linewidth=0.8)
    axes.set(
        xlabel="seconds after the fault",
        ylabel="complete answers per second",
        title="Recovery",
    )
    axes.legend()
    save_figure(figure, "recovery.png")


def draw_decisions(rows: list[dict[str, object]]) -> None:
    """Draws the costs of decisions and plans in us as a bar chart."""
    bars = {
        str(row["name"]): float(row["value"])
        for row in rows
        if str(row["name"]).startswith(("decisions:", "pipelines:"))
        and row["unit"] == "us"
        and row["value"] is not None
    }
    if not bars:
        return
    figure, axes = pyplot.subplots(
        figsize=(WIDTH_INCHES, 1.0 + 0.3 * len(bars))
    )
    axes.barh(list(bars), list(bars.values()))
    axes.set(xlabel="microseconds", title="Cost of decisions", xscale="log")
    save_figure(figure, "decisions.png")


def save_figure(figure: pyplot.Figure, file: str) -> None:
    """Writes a figure to a file and closes it."""
    figure.tight_layout()
    figure.savefig(FOLDER / file, dpi=110)
    pyplot.close(figure)


def draw_all(rows: list[dict[str, object]]) -> None:
    """Draws all plots that have data."""
    FOLDER.mkdir(exist_ok=True)
    draw_lines(
        select_series("throughput "),
        x="offered load, part of the bound",
        y="good throughput, part of the bound",
        title="Good throughput",
        file="throughput.png",
    )
    draw_recovery()
    draw_decisions(rows)
    draw_lines(
        select_series("control "),
        x="daemons",
        y="cost per daemon, part of the budget",
        title="Control cost",
        file="control.png",
    )
