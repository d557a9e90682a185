"""Failure domains that the operator has evacuated: their endpoints get no new requests.

Updates come from the platform and from other routers, late, duplicated and in any
order. Each is a snapshot as of some revision, or all changes since a known revision.
The latest revision wins, so that no older update undoes a newer one.
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
        revision: Position in the order of changes as of which the snapshot holds.
        domains: The failure domains.
    """

    revision: Revision
    domains: frozenset[FailureDomain]


@dataclass(frozen=True, kw_only=True, slots=True)
class EvacuationChange:
    """The start or the end of an evacuation.

    Attributes:
        failure_domain: The failure domain.
        revision: Position in the order of changes.
        evacuated: Whether the domain is evacuated from then on.
    """

    failure_domain: FailureDomain
    revision: Revision
    evacuated: bool


class EvacuationTracker:
    """Tracks which failure domains are evacuated.

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
        """Failure domains whose endpoints get no new requests."""
        return self._domains

    @property
    def snapshot(self) -> EvacuationSnapshot | None:
        """Snapshot for other routers, None before the first one received."""
        if self._revision is None:
            return None
        return EvacuationSnapshot(revision=self._revision, domains=self._domains)

    @property
    def last_ended_at(self) -> float:
        """Clock time of the latest end of any evacuation; -infinite without one."""
        return max(self._ended_at.values(), default=float("-inf"))

    def ended_at(self, *, failure_domain: FailureDomain) -> float:
        """Clock time at which a domain's evacuation ended; -infinite if never."""
        return self._ended_at.get(failure_domain, float("-inf"))

    def exclude_evacuated(
        self, *, entries: Iterable[EndpointEntry]
    ) -> tuple[EndpointEntry, ...]:
        """Return the entries outside evacuated domains."""
        if not self._domains:
            return tuple(entries)
        return tuple(
            each for each in entries if each.failure_domain not in self._domains
        )

    def apply_snapshot(self, *, snapshot: EvacuationSnapshot) -> None:
        """Apply a snapshot if its revision is later than the known one."""
        if self._revision is None or snapshot.revision > self._revision:
            self._set(revision=snapshot.revision, domains=snapshot.domains)

    def apply_changes(
        self, *, changes: Iterable[EvacuationChange], revision: Revision
    ) -> None:
        """Apply all changes since a known revision.

        Args:
            changes: The changes, in their order; some may be known already.
            revision: Position in the order of changes up to which they go.
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
