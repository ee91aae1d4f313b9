"""The HTML page of a fault injection run: SVG plots over time, the figures, the expectations and the timeline."""

from __future__ import annotations

import html
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cometusher.fault_injection.runner import RunResult

WIDTH, HEIGHT, LEFT, BOTTOM = 900, 150, 50, 18
BIN_WIDTH = 0.2  # seconds
SERIES_COLOURS = {
    "served": "#2a7f4f",
    "refused": "#c98a1b",
    "failed": "#b03a2e",
    "lost": "#6c1f5d",
    "unreachable": "#777777",
    "connections": "#33659a",
}
PHASE_COLOURS = {
    "full": "#2a7f4f",
    "ramping": "#8bc34a",
    "confirmed": "#c5e1a5",
    "remembered": "#ffd54f",
    "nothing": "#ef6c00",
    "starting": "#90a4ae",
    "waiting": "#cfd8dc",
    "busy": "#6c1f5d",
    "failed": "#b03a2e",
    "stopped": "#eeeeee",
}
STYLE = "body{font:14px sans-serif;margin:2em}svg{display:block;margin-bottom:1em}td{padding-right:1em}"


def bin_counts(times: Sequence[float], end: float) -> list[int]:
    """Number of times in each bin of BIN_WIDTH seconds from 0 to the end."""
    bins = [0] * (int(end / BIN_WIDTH) + 1)
    for moment in times:
        if 0.0 <= moment <= end:
            bins[int(moment / BIN_WIDTH)] += 1
    return bins


class Plot:
    """One SVG with a time axis."""

    def __init__(self, title: str, end: float, height: int = HEIGHT) -> None:
        self.title = title
        self.end = end
        self.height = height
        self.elements: list[str] = []

    def x_position(self, time: float) -> float:
        """X coordinate of a time."""
        return LEFT + (WIDTH - LEFT) * time / self.end

    def clamped_x(self, time: float) -> float:
        """X coordinate of a time, limited to the plot."""
        return self.x_position(min(max(time, 0.0), self.end))

    def add_curve(self, name: str, values: Sequence[int], maximum: int) -> None:
        """Add the curve of one series of bin counts."""
        points = " ".join(
            f"{self.x_position(index * BIN_WIDTH):.1f},"
            f"{self.height - BOTTOM - (self.height - 2 * BOTTOM) * value / max(1, maximum):.1f}"
            for index, value in enumerate(values)
        )
        colour = SERIES_COLOURS.get(name, "#000000")
        self.elements.append(f'<polyline fill="none" stroke="{colour}" stroke-width="1.5" points="{points}"/>')

    def add_timeline(self, timeline: Sequence[tuple[float, str]]) -> None:
        """Add the timeline as vertical lines."""
        for time, description in timeline:
            x = self.x_position(time)
            self.elements.append(
                f'<line x1="{x:.1f}" x2="{x:.1f}" y1="{BOTTOM}" y2="{self.height - BOTTOM}" stroke="#999999" '
                f'stroke-dasharray="3,3"><title>{html.escape(description)}</title></line>'
            )

    def __str__(self) -> str:
        ticks = "".join(
            f'<text x="{self.x_position(tick * self.end / 10):.0f}" y="{self.height - 4}" font-size="10">'
            f"{tick * self.end / 10:.1f}</text>"
            for tick in range(11)
        )
        return (
            f'<svg width="{WIDTH}" height="{self.height}" role="img"><title>{html.escape(self.title)}</title>'
            f'<text x="4" y="12" font-size="12">{html.escape(self.title)}</text>{ticks}{"".join(self.elements)}</svg>'
        )


def _request_plot(result: RunResult, end: float) -> Plot:
    plot = Plot("requests in 0.2 s by outcome, at the time when they were sent", end)
    series = {
        outcome: bin_counts([request.sent_at for request in result.requests if request.outcome == outcome], end)
        for outcome in ("served", "refused", "failed", "lost", "unreachable")
    }
    maximum = max(max(values) for values in series.values())
    for name, values in series.items():
        if any(values):
            plot.add_curve(name, values, maximum)
    plot.add_timeline(result.timeline)
    return plot


def _connection_plot(result: RunResult, end: float) -> Plot:
    plot = Plot("new connections to backends in 0.2 s", end)
    values = bin_counts(result.connect_times, end)
    plot.add_curve("connections", values, max(values))
    plot.add_timeline(result.timeline)
    return plot


def _state_plot(result: RunResult, fleet: str, end: float) -> Plot:
    names = sorted({name for sample in result.samples for name in sample.states.get(fleet, {})})
    plot = Plot(f"{fleet}: each instance's state", end, 2 * BOTTOM + 8 * max(1, len(names)))
    for line, name in enumerate(names):
        for sample, next_sample in zip(result.samples, [*result.samples[1:], None], strict=True):
            state = sample.states.get(fleet, {}).get(name)
            if state is None or sample.time < 0.0:
                continue
            begin_x, end_x = (
                plot.clamped_x(sample.time),
                plot.clamped_x(next_sample.time if next_sample is not None else end),
            )
            plot.elements.append(
                f'<rect x="{begin_x:.1f}" y="{BOTTOM + 8 * line}" width="{max(0.5, end_x - begin_x):.1f}" height="7" '
                f'fill="{PHASE_COLOURS.get(state, "#000000")}">'
                f"<title>{html.escape(f'{name}: {state}')}</title></rect>"
            )
    plot.add_timeline(result.timeline)
    return plot


def write_page(result: RunResult, path: Path) -> None:
    """Write the page; raises OSError."""
    scenario = result.scenario
    end = scenario.calm + scenario.seconds
    plots = [_request_plot(result, end), _connection_plot(result, end)]
    plots += [_state_plot(result, fleet.name, end) for fleet in scenario.fleets]
    legend = " ".join(
        f'<span style="color:{colour}">&#9632; {name}</span>' for name, colour in SERIES_COLOURS.items()
    )
    legend += "<br>" + " ".join(
        f'<span style="color:{phase_colour}">&#9632;</span> {name}' for name, phase_colour in PHASE_COLOURS.items()
    )
    rows = "".join(f"<tr><td>{name}</td><td>{value:.6g}</td></tr>" for name, value in result.figures.items())
    expectations = (
        "".join(f"<li>{html.escape(missed)}</li>" for missed in result.missed_expectations) or "<li>as expected</li>"
    )
    timeline = "".join(
        f"<tr><td>{time:.2f} s</td><td>{html.escape(description)}</td></tr>" for time, description in result.timeline
    )
    title = html.escape(f"{scenario.name}, seed {scenario.seed}")
    path.write_text(
        f'<!doctype html><html lang="en"><meta charset="utf-8"><title>{title}</title><style>{STYLE}</style>'
        f"<h1>{title}</h1><ul>{expectations}</ul><p>{legend}</p>{''.join(map(str, plots))}"
        f"<h2>Figures</h2><table>{rows}</table><h2>Timeline</h2><table>{timeline}</table></html>\n"
    )
