"""Compare ways to decide: ``python -m bench.decisions``; prints a table.

Half of the largest fleet's figures are of a tenth of the seconds, as each of its
decisions looks at more endpoints.
"""

from __future__ import annotations

from bench.decisions.fleets import SIZES
from bench.decisions.model import Play
from bench.decisions.rivals import datagrams, rivals

SEEDS = (1, 2, 3)
REQUESTS = 4000
"""Requests of a play, after the warm-up of two seconds."""

PERCENT = 100.0
MILLISECONDS = 1000.0


def main() -> None:
    """Print one row for each size and rival."""
    print(
        "| routers | rival | over bound, % | read again / request | ms | datagrams/s |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for size in SIZES:
        for name, rival in rivals().items():
            seconds = 2.0 + REQUESTS / size.rate
            results = [
                Play(size=size, rival=rival, seed=seed).run(seconds=seconds)
                for seed in SEEDS
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


if __name__ == "__main__":
    main()
