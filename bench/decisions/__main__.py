"""Compare ways to decide: ``python -m bench.decisions`` prints and draws a table.

The largest fleet is played with one seed, and without the rival that compares all of
its thousands of endpoints for each request.
"""

from __future__ import annotations

from bench.decisions.figure import Point, draw
from bench.decisions.fleets import SIZES
from bench.decisions.model import WARM_UP, Play
from bench.decisions.rivals import ALL_COMPARED, datagrams, rivals

SEEDS = (1, 2, 3)
REQUESTS = 4000
"""Requests of a play, after the warm-up."""

LARGE = 1000
"""Endpoints from which one seed is played."""

PERCENT = 100.0
MILLISECONDS = 1000.0


def main() -> None:
    """Print one row for each size and rival."""
    print(
        "| routers | rival | over bound, % | read again / request | ms | datagrams/s |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    points: list[Point] = []
    for size in SIZES:
        is_large = size.endpoints >= LARGE
        for name, rival in rivals().items():
            if is_large and name == ALL_COMPARED:
                continue
            seconds = WARM_UP + REQUESTS / size.rate
            results = [
                Play(size=size, rival=rival, seed=seed).run(seconds=seconds)
                for seed in SEEDS[: 1 if is_large else None]
            ]
            requests = sum(result.requests for result in results)
            over = PERCENT * sum(result.over for result in results) / requests
            reads = sum(result.reads for result in results) / requests
            waited = MILLISECONDS * sum(r.waited for r in results) / requests
            sent = datagrams(
                rival=rival,
                rate=size.rate,
                routers=size.routers,
                domains=size.domains,
            )
            print(
                f"| {size.routers} | {name} | {over:.2f} | {reads:.0f} | {waited:.1f} "
                f"| {sent:.0f} |",
                flush=True,
            )
            points.append(
                Point(rival=name, routers=size.routers, over=over, reads=reads)
            )
    draw(points=points)


if __name__ == "__main__":
    main()
