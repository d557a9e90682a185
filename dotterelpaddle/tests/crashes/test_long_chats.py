"""Crashes under chats of a thousand prompt parts."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from dotterelpaddle.crashes import current_causes
from dotterelpaddle.crashes.blocks import MIN_CRASHES_TO_BLOCK
from dotterelpaddle.crashes.subjects import PartSubject
from dotterelpaddle.crashes.suspect_table import MAX_SUSPECT_PARTS
from dotterelpaddle.crashes.suspects import Suspect
from dotterelpaddle.crashes.tracker import CrashTracker
from dotterelpaddle.exceptions import RequestBlocked
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


FIRST = PartSubject(part=PartKey("first"), position=0)
DEADLY = PartSubject(part=PartKey("deadly"), position=1)
SEVERAL_CHATS, CHAT_PARTS = 57, 400
CHATS_AT_A_CRASH = 6


class LongChats:
    """Chats of hundreds of parts that one router sees, some of them with a deadly one.

    Args:
        seed: Seed of what runs at each crash.
    """

    def __init__(self, *, seed: int) -> None:
        self.router = Router()
        self.generator = random.Random(seed)

    def parts(self, chat: int, *, deadly: bool = False) -> list[PartSubject]:
        keys = [PartKey(f"{chat}-{number}") for number in range(CHAT_PARTS)]
        head = [FIRST, DEADLY] if deadly else [FIRST]
        return [
            *head,
            *(
                PartSubject(part=key, position=position)
                for position, key in enumerate(keys, len(head))
            ),
        ]

    def answer(self, chat: int) -> None:
        """Answer a sound turn of a chat after a second."""
        began_at = self.router.now
        self.router.now += 0.1
        for subject in self.parts(chat):
            self.router.tracker.record_served(subject=subject, began_at=began_at)

    def crash(self, number: int) -> None:
        """Crash an endpoint that runs several chats, one of them with the part."""
        chats = self.generator.sample(range(SEVERAL_CHATS), CHATS_AT_A_CRASH)
        deadly = self.generator.choice(chats)
        for chat in chats:
            for subject in self.parts(chat, deadly=chat == deadly):
                self.router.tracker.record_crash(
                    subject=subject,
                    endpoint=EndpointId(f"engine-{number}"),
                    at=self.router.now,
                    begun=False,
                    began_at=self.router.now - 0.5,
                )
        self.router.tracker.take_due_notes()
        for chat in chats:
            self.router.now += 0.2
            if chat != deadly:
                self.answer(chat)

    def allows(self, subject: PartSubject) -> bool:
        try:
            self.router.tracker.check(subject=subject)
        except RequestBlocked:
            return False
        return True


# Guards against a part that goes on crashing endpoints, as its crashes are forgotten
# for those of the hundreds of sound parts that ran beside it.
@pytest.mark.parametrize("seed", range(4))
def test_part_that_crashes_endpoints_is_found_in_long_chats(seed: int) -> None:
    chats = LongChats(seed=seed)
    for chat in range(SEVERAL_CHATS):
        chats.answer(chat)
    for number in range(MIN_CRASHES_TO_BLOCK):
        assert chats.allows(DEADLY)
        chats.crash(number)

    assert not chats.allows(DEADLY)
    assert chats.allows(FIRST)
    assert chats.router.tracker.causes == {DEADLY}
