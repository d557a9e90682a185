"""The last complete answers to requests with each prompt part."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import replace
from typing import TYPE_CHECKING

from dotterelpaddle.crashes.subjects import PartSubject

if TYPE_CHECKING:
    from dotterelpaddle.crashes.subjects import CrashSubject
    from dotterelpaddle.crashes.suspects import Event
    from dotterelpaddle.ids import PartKey

MAX_SERVED_PARTS = 32_768
"""Prompt parts whose last complete answer a router remembers, 10 MB."""

MAX_AGE_SECONDS = 90.0
"""Seconds for which an answer is remembered. Crashes count for 60 s, and those that
begin up to 30 s after an answer speak less against its parts."""


class ServedParts:
    """Remembers, of the answers to each part, the one whose attempt began last."""

    def __init__(self) -> None:
        self._answers: OrderedDict[PartKey, Event] = OrderedDict()

    def record(self, *, subject: CrashSubject, answer: Event) -> None:
        """Record a complete answer; those to single requests are not remembered."""
        if not isinstance(subject, PartSubject):
            return
        known = self._answers.pop(subject.part, answer)
        latest = max(known, answer, key=lambda each: each.began_at)
        self._answers[subject.part] = latest
        if len(self._answers) > MAX_SERVED_PARTS:
            self._answers.popitem(last=False)
        self._forget(before=answer.at - MAX_AGE_SECONDS)

    def _forget(self, *, before: float) -> None:
        """Remove answers up to a time; those recorded first are first."""
        while self._answers:
            if next(iter(self._answers.values())).at >= before:
                return
            self._answers.popitem(last=False)

    def answer_to(self, *, subject: CrashSubject) -> Event | None:
        """Return the answer to a part, to be reported anew; None without any."""
        if not isinstance(subject, PartSubject):
            return None
        answer = self._answers.get(subject.part)
        return None if answer is None else replace(answer)
