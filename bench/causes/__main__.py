"""Prints tables of causes: ``python -m bench.causes FILE...``.

Each file holds what the users' bench printed of a day whose routers' logs it shows.
Requests that no router read, because all were down or cut off, are not in them.
"""

from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path

from bench.causes.causes import Judged, Verdict, judge
from bench.causes.lines import Story, read_stories

WINDOW = 2.0
"""Seconds of one row of the table by time."""

WORST = 4
"""Windows that are shown, those with the most that was not in time first."""

WRONG_USE = 2

Judgements = list[tuple[Story, Judged]]


def main() -> int:
    """Print the tables.

    Returns:
        The exit code.
    """
    files = [Path(argument) for argument in sys.argv[1:]]
    if not files:
        print("use: python -m bench.causes FILE...", file=sys.stderr)
        return WRONG_USE
    for file in files:
        with file.open(errors="replace") as lines:
            stories = read_stories(lines=lines)
        judged = [(story, judge(story=story)) for story in stories]
        judged = [each for each in judged if each[1].verdict is not Verdict.NOT_OWED]
        print(f"{file.stem}: {len(judged)} requests owed and read by a router")
        _print_causes(judged)
        _print_windows(judged)
    return 0


def _print_causes(judged: Judgements) -> None:
    kinds = sorted({each.kind for _, each in judged})
    print(f"{'':38}" + "".join(f"{kind:>20}" for kind in kinds))
    served = Counter(each.kind for _, each in judged if each.cause is None)
    print(f"{'in time':38}" + "".join(f"{served[kind]:20}" for kind in kinds))
    counts = Counter(
        (each.verdict.value, each.cause.value, each.kind)
        for _, each in judged
        if each.cause is not None
    )
    totals: Counter[tuple[str, str]] = Counter()
    for (verdict, cause, _), count in counts.items():
        totals[verdict, cause] += count
    for (verdict, cause), _ in totals.most_common():
        row = "".join(f"{counts[verdict, cause, kind]:20}" for kind in kinds)
        print(f"{verdict + ': ' + cause:38}{row}")


def _print_windows(judged: Judgements) -> None:
    windows: dict[int, Counter[str]] = {}
    for story, each in judged:
        sent_at = story.ended_at - story.end["seconds"]
        causes = windows.setdefault(int(sent_at // WINDOW), Counter())
        name = "in time" if each.cause is None else each.cause.value
        causes[name] += 1
    worst = sorted(windows, key=lambda window: -_share(windows[window]))[:WORST]
    for window in worst:
        causes = windows[window]
        shown = ", ".join(f"{name} {count}" for name, count in causes.most_common())
        print(f"  sent from {window * WINDOW:g} s: {shown}")


def _share(causes: Counter[str]) -> float:
    return 1 - causes["in time"] / causes.total()


if __name__ == "__main__":
    sys.exit(main())
