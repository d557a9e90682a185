"""Crashes under chats of a thousand prompt parts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from dotterelpaddle.crashes import current_causes
from dotterelpaddle.crashes.subjects import PartSubject
from dotterelpaddle.crashes.suspect_table import MAX_SUSPECT_PARTS
from dotterelpaddle.crashes.suspects import Suspect
from dotterelpaddle.crashes.tracker import CrashTracker
from dotterelpaddle.ids import EndpointId, PartKey

if TYPE_CHECKING:
    from collections.abc import Iterator

PARTS, CRASHES = 1000, 4
MAX_LOOKS_PER_PART = 20
"""Looks at a suspect for each part that is recorded: comparing all of them for each
would take some hundreds, half a millisecond."""


class Counter:
    """Counts how often suspects are looked at, and causes are sought."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.looks = self.searches = 0
        crashed_at = Suspect.crashed_at
        find_causes = current_causes.find_causes

        def _crashed_at(suspect: Suspect) -> float:
            self.looks += 1
            return crashed_at.fget(suspect)  # type: ignore[attr-defined, no-any-return]

        def _find_causes(**fields: object) -> object:
            self.searches += 1
            return find_causes(**fields)  # type: ignore[arg-type]

        monkeypatch.setattr(Suspect, "crashed_at", property(_crashed_at))
        monkeypatch.setattr(current_causes, "find_causes", _find_causes)


class Router:
    """A crash tracker whose clock a test sets."""

    def __init__(self) -> None:
        self.now = 100.0
        self.tracker = CrashTracker(clock=lambda: self.now)

    def crash(self, number: int, *, chats: int = 1) -> None:
        """Record a crash under a number of chats."""
        for chat in range(chats):
            for subject in _parts(chat):
                self.tracker.record_crash(
                    subject=subject,
                    endpoint=EndpointId(f"engine-{number}"),
                    at=self.now,
                    begun=False,
                    began_at=self.now - 0.5,
                )
        self.now += 1.0


def _parts(chat: int) -> Iterator[PartSubject]:
    for position in range(PARTS):
        key = PartKey(f"{chat}-{position}")
        yield PartSubject(part=key, position=position)


# Guards against routers that stand still for seconds, and answer nobody, as a model
# runner crashes under chats of a thousand prompt parts.
@pytest.mark.parametrize("chats", [7, 1])
def test_crashes_under_long_chats_cost_little_for_each_part(
    chats: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    router = Router()
    counter = Counter(monkeypatch)
    for number in range(CRASHES):
        router.crash(number, chats=chats)

    assert counter.looks <= MAX_LOOKS_PER_PART * PARTS * chats * CRASHES
    assert counter.searches == 0
    assert router.tracker.suspect_count == MAX_SUSPECT_PARTS


# Guards against the same stand when a chat is answered.
@pytest.mark.parametrize("crashes", [1, 2])
def test_answer_to_a_long_chat_costs_little_for_each_part(
    crashes: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    router = Router()
    for number in range(crashes):
        router.crash(number)
    counter = Counter(monkeypatch)
    for subject in _parts(0):
        router.tracker.record_served(subject=subject, began_at=router.now)

    assert counter.searches <= 1
    assert router.tracker.suspect_count == 0
