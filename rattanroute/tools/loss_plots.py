"""Plot of the losses of each window by kind and cause."""

import pathlib

from matplotlib import pyplot

from rattanroute.tools import plots
from rattanroute.tools.loss_windows import LossKey
from rattanroute.tools.loss_windows import LossReport

# More colours than this cannot be told apart; rarer causes are summed up.
MAX_CAUSES = 9
OTHER_CAUSES = "other"
# Width of a bar as a fraction of a window.
BAR_WIDTH = 0.9


def draw_losses(report: LossReport, file: pathlib.Path) -> None:
    """Draws the losses of all routes as stacked bars."""
    figure, axes = pyplot.subplots(
        figsize=(plots.WIDTH_INCHES, plots.HEIGHT_INCHES)
    )
    bottoms: dict[float, int] = {}
    for name, counts in build_series(report).items():
        starts = sorted(counts)
        axes.bar(
            starts,
            [counts[start] for start in starts],
            bottom=[bottoms.get(start, 0) for start in starts],
            width=BAR_WIDTH * report.window_s,
            align="edge",
            label=name,
        )
        for start in starts:
            bottoms[start] = bottoms.get(start, 0) + counts[start]
    axes.set(
        xlabel="seconds",
        ylabel=f"losses in {report.window_s:g} s",
        title="Lost value by cause",
    )
    if bottoms:
        axes.legend(fontsize="x-small")
    plots.save_figure(figure, str(file.absolute()))


def build_series(report: LossReport) -> dict[str, dict[float, int]]:
    """Returns the losses by cause and start of the window."""
    names = choose_names(report)
    series: dict[str, dict[float, int]] = {}
    for (start, _), group in report.windows.items():
        for key, total in group.sums.items():
            counts = series.setdefault(names.get(key, OTHER_CAUSES), {})
            counts[start] = counts.get(start, 0) + total.count
    return dict(sorted(series.items(), key=lambda x: -sum(x[1].values())))


def choose_names(report: LossReport) -> dict[LossKey, str]:
    """Returns the names of the most frequent kinds and causes."""
    counts: dict[LossKey, int] = {}
    for group in report.totals.values():
        for key, total in group.sums.items():
            counts[key] = counts.get(key, 0) + total.count
    ordered = sorted(counts, key=lambda key: (-counts[key], key))
    return {key: f"{key[0]}: {key[1]}" for key in ordered[:MAX_CAUSES]}
