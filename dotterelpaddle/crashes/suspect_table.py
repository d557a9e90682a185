"""All suspects of a router, at most a number of each kind."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.crashes.subjects import PartSubject, RequestSubject
from dotterelpaddle.crashes.suspects import Suspect

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelpaddle.crashes.subjects import CrashSubject

MAX_SUSPECTS = 256
"""Tracked requests, 200 KB: all requests of several crashed endpoints."""

MAX_SUSPECT_PARTS = 512
"""Tracked prompt parts, 400 KB: those of all requests of several crashed endpoints."""

MAX_UNRANKED = 2 * (MAX_SUSPECTS + MAX_SUSPECT_PARTS)
"""Suspects of both kinds above which some are removed at once."""


class SuspectTable:
    """The suspects by subject.

    A crash adds thousands of parts at once. They are compared with each other only once
    something depends on who stays, or when there are far too many.

    Args:
        on_removal: Called when suspects have been removed.
    """

    def __init__(self, *, on_removal: Callable[[], None]) -> None:
        self._on_removal = on_removal
        self._suspects: dict[CrashSubject, Suspect] = {}
        self._is_crowded = False

    @property
    def all(self) -> dict[CrashSubject, Suspect]:
        """Those that stay, by subject."""
        if self._is_crowded:
            self._remove_surplus()
        return self._suspects

    def get(self, subject: CrashSubject) -> Suspect | None:
        """Return a suspect, None if the subject is none."""
        return self._suspects.get(subject)

    def add(self, subject: CrashSubject) -> Suspect:
        """Return the suspect of a subject, a new one if there is none."""
        suspect = self._suspects.get(subject)
        if suspect is None:
            suspect = self._suspects[subject] = Suspect()
            self._is_crowded = True
        return suspect

    def limit(self) -> None:
        """Remove some if there are far too many; an event has been recorded of each."""
        if len(self._suspects) > MAX_UNRANKED:
            self._remove_surplus()

    def _remove_surplus(self) -> None:
        """Remove those least likely to cause crashes, above each maximum."""
        self._is_crowded = False
        self._remove(kind=PartSubject, maximum=MAX_SUSPECT_PARTS)
        self._remove(kind=RequestSubject, maximum=MAX_SUSPECTS)

    def _remove(self, *, kind: type[CrashSubject], maximum: int) -> None:
        subjects = [each for each in self._suspects if isinstance(each, kind)]
        if len(subjects) <= maximum:
            return
        subjects.sort(key=self._rank, reverse=True)
        for each in subjects[maximum:]:
            del self._suspects[each]
        self._on_removal()

    def _rank(self, subject: CrashSubject) -> tuple[int, bool, float]:
        """Return the sort key; those to keep have a greater one.

        Of all that ran at a crash, what was never answered is most likely the cause.
        """
        suspect = self._suspects[subject]
        return len(suspect.crashes), not suspect.was_answered, suspect.last_seen_at
