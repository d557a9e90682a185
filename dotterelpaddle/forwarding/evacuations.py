"""Failure domains that the operator has evacuated: their endpoints get no new requests.

Updates come from the platform and from other routers, late, duplicated and in any
order. Each is a snapshot as of some revision, or all changes since a known revision.
The latest revision wins, so that no older update undoes a newer one.

A store that comes back from a copy may lack an evacuation until it is written again. A
domain that was evacuated before therefore stays so for a moment.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.removals import RECOVERY_HOLD_SECONDS
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.revisions import StoreRevision
    from dotterelpaddle.ids import FailureDomain

log = get_logger(name=__name__)


@dataclass(frozen=True, kw_only=True, slots=True)
class EvacuationSnapshot:
    """All failure domains that are evacuated at some moment.

    Attributes:
        revision: Position in the order of changes as of which the snapshot holds.
        domains: The failure domains.
    """

    revision: StoreRevision
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
    revision: StoreRevision
    evacuated: bool


class EvacuationTracker:
    """Tracks which failure domains are evacuated.

    Args:
        clock: Monotonic clock.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._known: EvacuationSnapshot | None = None
        self._held: EvacuationSnapshot | None = None
        self._held_until = float("-inf")
        self._domains: frozenset[FailureDomain] = frozenset()
        self._ended_at: dict[FailureDomain, float] = {}

    @property
    def domains(self) -> frozenset[FailureDomain]:
        """Failure domains whose endpoints get no new requests."""
        return self._domains

    @property
    def snapshot(self) -> EvacuationSnapshot | None:
        """Snapshot for other routers, None before the first one received.

        It contains no domain that is only held after the store's return.
        """
        return self._known

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
        known = self._known
        if known is None or snapshot.revision > known.revision:
            self._set(snapshot=snapshot)
        elif snapshot.revision.era < known.revision.era:
            self._hold(snapshot=snapshot)

    def apply_changes(
        self, *, changes: Iterable[EvacuationChange], revision: StoreRevision
    ) -> None:
        """Apply all changes since a known revision.

        Args:
            changes: The changes, in their order; some may be known already.
            revision: Position in the order of changes up to which they go.
        """
        known = self._known
        if known is None or revision <= known.revision:
            return
        if revision.era != known.revision.era:
            # Changes of another era don't follow from the known state.
            log.warning("changes_of_later_era_ignored", era=revision.era)
            return
        domains = set(known.domains)
        for change in changes:
            if change.revision <= known.revision:
                continue
            if change.evacuated:
                domains.add(change.failure_domain)
            else:
                domains.discard(change.failure_domain)
                self._release(domain=change.failure_domain)
        self._set(
            snapshot=EvacuationSnapshot(revision=revision, domains=frozenset(domains))
        )

    def expire_holds(self) -> None:
        """End evacuations that are still missing after the store's return."""
        if self._held is not None and self._clock() >= self._held_until:
            self._held = None
            self._refresh()

    def _set(self, *, snapshot: EvacuationSnapshot) -> None:
        known = self._known
        if known is None or snapshot.revision.era > known.revision.era:
            self._held_until = self._clock() + RECOVERY_HOLD_SECONDS
            if known is not None:
                self._held = replace(known, domains=self._domains)
        self._known = snapshot
        self._refresh()

    def _hold(self, *, snapshot: EvacuationSnapshot) -> None:
        """Hold the evacuations of an earlier era that arrive late."""
        if self._clock() >= self._held_until:
            return
        if self._held is None or snapshot.revision > self._held.revision:
            self._held = snapshot
            self._refresh()

    def _release(self, *, domain: FailureDomain) -> None:
        """Stop holding a domain whose evacuation ended after the store's return."""
        if self._held is not None:
            self._held = replace(self._held, domains=self._held.domains - {domain})

    def _refresh(self) -> None:
        """Update the evacuated domains after a change of what is known or held."""
        known, held = self._known, self._held
        assert known is not None
        domains = known.domains if held is None else known.domains | held.domains
        for domain in sorted(domains - self._domains):
            _log_change("domain_evacuated", domain, known.revision)
        for domain in sorted(self._domains - domains):
            self._ended_at[domain] = self._clock()
            _log_change("domain_taken_back", domain, known.revision)
        self._domains = domains


def _log_change(event: str, domain: FailureDomain, revision: StoreRevision) -> None:
    log.info(event, failure_domain=domain, era=revision.era, revision=revision.number)
