"""Finds the requests that end endpoints among those that were there as well."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelpaddle.ids import EndpointId, Fingerprint


@dataclass(frozen=True, kw_only=True, slots=True)
class Suspicion:
    """What speaks for a request as the cause of endpoints' ends.

    Attributes:
        crashed_endpoints: The endpoints that ended under it.
        begun_count: At how many of them its answer had begun, and had brought nothing yet.
    """

    crashed_endpoints: frozenset[EndpointId]
    begun_count: int

    @property
    def rank(self) -> tuple[int, int]:
        """How much that is, to compare it with others."""
        return len(self.crashed_endpoints), self.begun_count


def find_causes(
    *, suspicions: Mapping[Fingerprint, Suspicion], min_crashes: int
) -> frozenset[Fingerprint]:
    """Return the requests that end endpoints.

    An end breaks all that ran there, and what is sent on together breaks together
    again. So the request under which most endpoints ended is taken for the cause of all
    these ends, and the others are judged by those ends that no cause explains yet. All
    routers that know the same ends find the same causes.

    Args:
        suspicions: What speaks for each request.
        min_crashes: Unexplained ends that make a request a cause.
    """
    explained: set[EndpointId] = set()
    causes = set()
    ranked = sorted(
        suspicions.items(), key=lambda item: (item[1].rank, item[0]), reverse=True
    )
    for fingerprint, suspicion in ranked:
        if len(suspicion.crashed_endpoints) < min_crashes:
            break
        if len(suspicion.crashed_endpoints - explained) >= min_crashes:
            causes.add(fingerprint)
            explained |= suspicion.crashed_endpoints
    return frozenset(causes)
