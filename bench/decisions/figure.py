"""Draws what the rivals give over the size of the fleet."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

FIGURE = Path(__file__).parents[2] / "docs" / "img" / "decisions-at-scale.svg"


@dataclass(frozen=True, kw_only=True, slots=True)
class Point:
    """What one rival gave at one size.

    Attributes:
        rival: Its name.
        routers: Size of the fleet.
        over: Requests over the bound, per cent.
        reads: Shared tokens read again for each request.
    """

    rival: str
    routers: int
    over: float
    reads: float


def draw(*, points: list[Point]) -> None:
    """Draw both figures over the number of routers, side by side."""
    import matplotlib as mpl

    mpl.use("svg")
    mpl.rcParams["svg.hashsalt"] = "dotterelpaddle"
    from matplotlib import pyplot

    figure, (over, reads) = pyplot.subplots(1, 2, figsize=(10.0, 4.0))
    for rival in dict.fromkeys(point.rival for point in points):
        own = [point for point in points if point.rival == rival]
        routers = [point.routers for point in own]
        over.plot(routers, [point.over for point in own], marker="o", label=rival)
        reads.plot(routers, [point.reads for point in own], marker="o", label=rival)
    over.set_ylabel("requests over the bound, %")
    reads.set_ylabel("shared tokens read again for each request")
    for axes in (over, reads):
        axes.set_xscale("log")
        axes.set_xlabel("routers")
        axes.grid(visible=True, alpha=0.3)
    reads.legend(fontsize="small")
    figure.tight_layout()
    FIGURE.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(FIGURE, metadata={"Date": None})
    pyplot.close(figure)
