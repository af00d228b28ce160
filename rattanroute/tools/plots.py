"""Plots of the benchmark results as PNG files beside `bench.json`."""

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
    """Returns the series of the last runs of all parts."""
    if not SERIES_FILE.exists():
        return {}
    return json.loads(SERIES_FILE.read_text(encoding="utf-8"))


def save_series(name: str, values: list[object]) -> None:
    """Stores a series for the plots; a later run replaces it."""
    FOLDER.mkdir(exist_ok=True)
    series = {**load_series(), name: values}
    SERIES_FILE.write_text(json.dumps(series), encoding="utf-8")


def select(prefix: str) -> dict[str, list[object]]:
    """Returns the series whose names start with a prefix, without it."""
    return {
        name.removeprefix(prefix).strip(): values
        for name, values in load_series().items()
        if name.startswith(prefix)
    }


def draw_lines(
    series: dict[str, list[object]], *, x: str, y: str, title: str, file: str
) -> None:
    """Draws lists of (x, y) points as lines, one for each name."""
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
    save(figure, file)


def draw_recovery() -> None:
    """Draws the rate of complete answers around each fault."""
    series = select("recovery ")
    if not series:
        return
    figure, axes = pyplot.subplots(figsize=(WIDTH_INCHES, HEIGHT_INCHES))
    for name, times in series.items():
        counts: dict[int, int] = {}
        for at in times:
            place = int(at // RATE_BIN_SECONDS)
            counts[place] = counts.get(place, 0) + 1
        places = range(min(counts), max(counts) + 1)
        axes.step(
            [place * RATE_BIN_SECONDS for place in places],
            [counts.get(place, 0) / RATE_BIN_SECONDS for place in places],
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
    save(figure, "recovery.png")


def draw_decisions(rows: list[dict[str, object]]) -> None:
    """Draws the cost of each decision as a bar."""
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
    save(figure, "decisions.png")


def save(figure: pyplot.Figure, file: str) -> None:
    """Writes a figure."""
    figure.tight_layout()
    figure.savefig(FOLDER / file, dpi=110)
    pyplot.close(figure)


def draw_all(rows: list[dict[str, object]]) -> None:
    """Draws all plots that have data."""
    FOLDER.mkdir(exist_ok=True)
    draw_lines(
        select("throughput "),
        x="offered load, part of the bound",
        y="good throughput, part of the bound",
        title="Good throughput",
        file="throughput.png",
    )
    draw_recovery()
    draw_decisions(rows)
    draw_lines(
        select("control "),
        x="daemons",
        y="cost per daemon, part of the budget",
        title="Control cost",
        file="control.png",
    )
