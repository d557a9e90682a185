"""Finds what causes crashes among all that was running during them.

The evidence is which endpoints crashed while they ran a subject and what was answered
completely meanwhile, regardless of how far each answer had come.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.crashes.subjects import PartSubject, RequestSubject

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelpaddle.crashes.subjects import CrashSubject
    from dotterelpaddle.ids import EndpointId

MIN_SPAN_SECONDS = 1.0
"""Seconds that the crashes of a part with recent answers must span: a failed rack and a
release end many endpoints within a second, with all that most requests share."""

MIN_CRASHES_OF_NEW_PART = 2
"""Crashes of a part without recent answers for which no part with answers is blamed."""

UNEXPLAINED_PER_CRASH = 2
"""Unexplained crashes of other endpoints for which one more crash is required. The more
endpoints crash by themselves, the more often a subject is there by chance."""

MAX_ADDED_CRASHES = 3
"""Maximum number of crashes that are required beyond the minimum."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Suspicion:
    """Evidence that a request or a prompt part causes crashes.

    Attributes:
        crashed_endpoints: Endpoints that crashed while they ran it, since its last
            complete answer.
        begun_count: Number of these endpoints where the answer had begun, without any
            output yet.
        span: Seconds from the first of these crashes to the last one; to now, if
            several of the attempts began one after the crash of the other.
        in_turn: Number of the attempts that began one after the crash of the other.
        was_answered: Whether it had a complete answer shortly before these crashes.
    """

    crashed_endpoints: frozenset[EndpointId]
    begun_count: int
    span: float = 0.0
    in_turn: int = 0
    was_answered: bool = False

    @property
    def rank(self) -> tuple[int, int]:
        """Sort key; subjects with more evidence have a greater one."""
        detail = self.in_turn if self.was_answered else self.begun_count
        return len(self.crashed_endpoints), detail

    @property
    def is_conclusive(self) -> bool:
        """Whether the crashes can't have one other reason."""
        return not self.was_answered or self.span >= MIN_SPAN_SECONDS


def find_causes(
    *,
    suspicions: Mapping[CrashSubject, Suspicion],
    min_crashes: int,
    crashed_endpoints: frozenset[EndpointId] = frozenset(),
) -> frozenset[CrashSubject]:
    """Return the requests and prompt parts that cause crashes.

    A crash breaks all requests at an endpoint, and requests that are retried together
    break together again. The subject with the most crashes therefore counts as the
    cause of all these crashes. Another one counts only if it was at as many crashes
    and one of them is not explained by any cause. Several causes share crashes, so that
    each would end many more endpoints until none of its crashes were shared; few other
    requests have an attempt left after so many crashes. All routers with the same
    observations find the same causes.

    A part of prompts is a cause only if no single request explains its crashes. One
    that was answered shortly before must be at crashes that no other part explains.

    Args:
        suspicions: Evidence against each subject.
        min_crashes: Crashes that make a subject a cause.
        crashed_endpoints: All endpoints that crashed lately, whatever they ran.
    """
    ranked = sorted(
        suspicions.items(),
        key=lambda item: (item[1].rank, _precedence(item[0])),
        reverse=True,
    )
    search = _Search(
        ranked=ranked,
        min_crashes=min_crashes,
        crashed_endpoints=crashed_endpoints,
    )
    return search.run()


def added_crashes(*, unexplained: int) -> int:
    """Return how many more crashes than the minimum prove that a subject is a cause.

    Args:
        unexplained: Recent crashes that neither it nor any cause explains.
    """
    return min(unexplained // UNEXPLAINED_PER_CRASH, MAX_ADDED_CRASHES)


class _Search:
    """A search for causes.

    Args:
        ranked: All subjects, those with the most evidence first.
        min_crashes: Crashes that make a subject a cause.
        crashed_endpoints: All endpoints that crashed lately, whatever they ran.
    """

    def __init__(
        self,
        *,
        ranked: list[tuple[CrashSubject, Suspicion]],
        min_crashes: int,
        crashed_endpoints: frozenset[EndpointId],
    ) -> None:
        self._ranked = ranked
        self._min_crashes = min_crashes
        self._crashed = crashed_endpoints
        self._causes: dict[CrashSubject, Suspicion] = {}

    def run(self) -> frozenset[CrashSubject]:
        """Return the causes."""
        # What one cause explains may suffice for another one with more crashes.
        while self._add_new() or self._add_answered():
            pass
        return frozenset(each for each in self._causes if not self._is_beside(each))

    def _add_new(self) -> bool:
        """Add subjects without recent answers, and return whether any was added."""
        explained = self._explained(by=(RequestSubject, PartSubject))
        count = len(self._causes)
        for subject, suspicion in self._ranked:
            crashed = suspicion.crashed_endpoints
            if (
                not suspicion.was_answered
                and crashed - explained
                and len(crashed) >= self._required(suspicion, explained)
            ):
                self._causes[subject] = suspicion
                explained |= crashed
        return len(self._causes) > count

    def _add_answered(self) -> bool:
        """Add parts with recent answers, and return whether any was added."""
        explained = self._explained(by=(PartSubject,)) | self._crashes_of_new_parts()
        count = len(self._causes)
        for subject, suspicion in self._ranked:
            crashed = suspicion.crashed_endpoints
            if (
                suspicion.was_answered
                and len(crashed - explained) >= self._required(suspicion, explained)
                and not self._is_explained_by_one_request(suspicion)
            ):
                if suspicion.is_conclusive:
                    self._causes[subject] = suspicion
                # Others are not blamed for what one with more crashes may have caused.
                explained |= crashed
        return len(self._causes) > count

    def _required(self, suspicion: Suspicion, explained: frozenset[EndpointId]) -> int:
        unexplained = self._crashed - explained - suspicion.crashed_endpoints
        return self._min_crashes + added_crashes(unexplained=len(unexplained))

    def _explained(
        self, *, by: tuple[type[CrashSubject], ...]
    ) -> frozenset[EndpointId]:
        """Return the crashes of the causes of some kinds."""
        return frozenset().union(
            *(
                suspicion.crashed_endpoints
                for subject, suspicion in self._causes.items()
                if isinstance(subject, by)
            )
        )

    def _crashes_of_new_parts(self) -> frozenset[EndpointId]:
        """Return the crashes of parts without recent answers that crash repeatedly.

        Few crashes speak against such a part, and many against one that is served.
        """
        return frozenset().union(
            *(
                suspicion.crashed_endpoints
                for subject, suspicion in self._ranked
                if isinstance(subject, PartSubject)
                and not suspicion.was_answered
                and len(suspicion.crashed_endpoints) >= MIN_CRASHES_OF_NEW_PART
            )
        )

    def _is_explained_by_one_request(self, suspicion: Suspicion) -> bool:
        return any(
            suspicion.crashed_endpoints <= other.crashed_endpoints
            for subject, other in self._causes.items()
            if isinstance(subject, RequestSubject)
        )

    def _is_beside(self, subject: CrashSubject) -> bool:
        """Return whether a request was only there when a part caused more crashes."""
        return isinstance(subject, RequestSubject) and any(
            self._causes[subject].crashed_endpoints < other.crashed_endpoints
            for cause, other in self._causes.items()
            if isinstance(cause, PartSubject)
        )


def _precedence(subject: CrashSubject) -> tuple[bool, int, str]:
    """Return the sort key among subjects with the same evidence.

    What fewer requests hold comes first: a single request, then the last of the parts.
    """
    match subject:
        case RequestSubject(fingerprint=fingerprint):
            return True, 0, fingerprint
        case PartSubject(part=part, position=position):
            return False, position, part
