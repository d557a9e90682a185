"""Reads routers' log lines as the users' bench prints them: time, router, JSON."""

from __future__ import annotations

import json
import re
from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable

LINE = re.compile(r"^\s*(?P<at>-?\d+\.\d+) (?P<router>\S+) (?P<line>\{.*\})\s*$")

Fields = dict[str, Any]


@dataclass(kw_only=True, slots=True)
class Story:
    """What one router logged of one attempt of a caller.

    Attributes:
        router: The router.
        ended_at: Seconds from the start of traffic.
        end: Fields of the line that tells its end.
        choices: Fields of the lines that tell where it was sent, in order.
        failures: Fields of the lines that tell how attempts failed, in order.
        started_before: Seconds from the router's start to its arrival, None if the
            start is not in the log.
    """

    router: str
    ended_at: float
    end: Fields
    choices: list[Fields] = field(default_factory=list)
    failures: list[Fields] = field(default_factory=list)
    started_before: float | None = None


def read_stories(*, lines: Iterable[str]) -> list[Story]:
    """Join the lines of each request; those without an end are left out."""
    started: dict[str, float] = {}
    choices: defaultdict[tuple[str, str], list[Fields]] = defaultdict(list)
    failures: defaultdict[tuple[str, str], list[Fields]] = defaultdict(list)
    stories = []
    for text in lines:
        match = LINE.match(text)
        if match is None:
            continue
        try:
            fields = json.loads(match["line"])
        except json.JSONDecodeError:
            # A router that was killed while it wrote.
            continue
        at, router = float(match["at"]), match["router"]
        key = router, fields.get("request_id", "")
        match fields.get("message_type"):
            case "router_started":
                started[router] = at
            case "placed":
                choices[key].append(fields)
            case "attempt_failed":
                failures[key].append(fields)
            case "request_ended":
                begun_at = started.get(router)
                stories.append(
                    Story(
                        router=router,
                        ended_at=at,
                        end=fields,
                        choices=choices.pop(key, []),
                        failures=failures.pop(key, []),
                        started_before=(
                            None
                            if begun_at is None
                            else at - fields["seconds"] - begun_at
                        ),
                    )
                )
    return stories
