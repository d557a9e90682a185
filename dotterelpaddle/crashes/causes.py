"""Finds what causes crashes among all that was running during them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.crashes.subjects import PartSubject, RequestSubject

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelpaddle.crashes.subjects import CrashSubject
    from dotterelpaddle.ids import EndpointId


@dataclass(frozen=True, kw_only=True, slots=True)
class Suspicion:
    """Evidence that a request or a prompt part causes crashes.

    Attributes:
        crashed_endpoints: Endpoints that crashed while they ran it.
        begun_count: Number of these endpoints where the answer had begun, without any
            output yet.
    """

    crashed_endpoints: frozenset[EndpointId]
    begun_count: int

    @property
    def rank(self) -> tuple[int, int]:
        """Sort key; subjects with more evidence have a greater one."""
        return len(self.crashed_endpoints), self.begun_count


def find_causes(
    *, suspicions: Mapping[CrashSubject, Suspicion], min_crashes: int
) -> frozenset[CrashSubject]:
    """Return the requests and prompt parts that cause crashes.

    A crash breaks all requests at an endpoint, and requests that are retried together
    break together again. The subject with the most crashes therefore counts as the
    cause of all these crashes. Another one counts only if it was at as many crashes
    and one of them is not explained by any cause. Several causes share crashes, so that
    each would end many more endpoints until none of its crashes were shared; few other
    requests have an attempt left after so many crashes. All routers with the same
    observations find the same causes.

    A part of prompts is a cause only if no single request explains its crashes.

    Args:
        suspicions: Evidence against each subject.
        min_crashes: Crashes that make a subject a cause.
    """
    explained: set[EndpointId] = set()
    causes = set()
    ranked = sorted(
        suspicions.items(),
        key=lambda item: (item[1].rank, _precedence(item[0])),
        reverse=True,
    )
    for subject, suspicion in ranked:
        if len(suspicion.crashed_endpoints) < min_crashes:
            break
        if suspicion.crashed_endpoints - explained:
            causes.add(subject)
            explained |= suspicion.crashed_endpoints
    return frozenset(causes)


def _precedence(subject: CrashSubject) -> tuple[bool, int, str]:
    """Return the sort key among subjects with the same evidence.

    What fewer requests hold comes first: a single request, then the last of the parts.
    """
    match subject:
        case RequestSubject(fingerprint=fingerprint):
            return True, 0, fingerprint
        case PartSubject(part=part, position=position):
            return False, position, part
