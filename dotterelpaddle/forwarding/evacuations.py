"""Failure domains that the operator has evacuated: their endpoints get no new work.

News comes from the platform and from other routers, late, doubled and in any order.
Each piece tells all that is evacuated as of some revision, or all changes since one
that is known; the latest revision counts, so that no news is undone by older news.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.ids import FailureDomain, Revision

log = get_logger(name=__name__)


@dataclass(frozen=True, kw_only=True, slots=True)
class EvacuationSnapshot:
    """All failure domains that are evacuated at some moment.

    Attributes:
        revision: Position in the order of changes as of which this is so.
        domains: The failure domains.
    """

    revision: Revision
    domains: frozenset[FailureDomain]


@dataclass(frozen=True, kw_only=True, slots=True)
class EvacuationChange:
    """The begin or the end of an evacuation.

    Attributes:
        failure_domain: The failure domain.
        revision: Position in the order of changes.
        evacuated: Whether its endpoints get no new work from then on.
    """

    failure_domain: FailureDomain
    revision: Revision
    evacuated: bool


class EvacuationTracker:
    """Remembers which failure domains are evacuated.

    Args:
        clock: Monotonic clock.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._revision: Revision | None = None
        self._domains: frozenset[FailureDomain] = frozenset()
        self._ended_at: dict[FailureDomain, float] = {}

    @property
    def domains(self) -> frozenset[FailureDomain]:
        """Failure domains whose endpoints get no new work."""
        return self._domains

    @property
    def snapshot(self) -> EvacuationSnapshot | None:
        """What to tell other routers, None before anything was heard."""
        if self._revision is None:
            return None
        return EvacuationSnapshot(revision=self._revision, domains=self._domains)

    @property
    def last_ended_at(self) -> float:
        """When any domain was taken back last; -infinite if none ever was."""
        return max(self._ended_at.values(), default=float("-inf"))

    def ended_at(self, *, failure_domain: FailureDomain) -> float:
        """When a domain was taken back, seconds on the clock; -infinite if never."""
        return self._ended_at.get(failure_domain, float("-inf"))

    def exclude_evacuated(
        self, *, entries: Iterable[EndpointEntry]
    ) -> tuple[EndpointEntry, ...]:
        """Leave out the endpoints of evacuated domains."""
        if not self._domains:
            return tuple(entries)
        return tuple(
            each for each in entries if each.failure_domain not in self._domains
        )

    def apply_snapshot(self, *, snapshot: EvacuationSnapshot) -> None:
        """Take in all domains that are evacuated as of some revision."""
        if self._revision is None or snapshot.revision > self._revision:
            self._set(revision=snapshot.revision, domains=snapshot.domains)

    def apply_changes(
        self, *, changes: Iterable[EvacuationChange], revision: Revision
    ) -> None:
        """Take in all changes since a revision that is known.

        Args:
            changes: The changes, in their order; some may be known already.
            revision: Position in the order of changes up to which they are told.
        """
        known = self._revision
        if known is None or revision <= known:
            return
        domains = set(self._domains)
        for change in changes:
            if change.revision <= known:
                continue
            if change.evacuated:
                domains.add(change.failure_domain)
            else:
                domains.discard(change.failure_domain)
        self._set(revision=revision, domains=frozenset(domains))

    def _set(self, *, revision: Revision, domains: frozenset[FailureDomain]) -> None:
        for domain in sorted(domains - self._domains):
            log.info("domain_evacuated", failure_domain=domain, revision=revision)
        for domain in sorted(self._domains - domains):
            self._ended_at[domain] = self._clock()
            log.info("domain_taken_back", failure_domain=domain, revision=revision)
        self._revision, self._domains = revision, domains
