"""Tombstones of removed endpoint entries.

An entry that expired during an outage of the platform may come back. An endpoint whose
entry expired unannounced may still serve for a moment. A late update about either must
not restore the entry.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.leaving import SERVE_MARGIN_SECONDS
from dotterelpaddle.forwarding.model import EndpointState
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.revisions import StoreRevision
    from dotterelpaddle.ids import EndpointName, ServiceName

log = get_logger(name=__name__)

LAST_RESORT_SECONDS = 1.2
"""Maximum seconds that an endpoint without an entry may still serve if no other can.

An endpoint whose entry disappears unannounced still serves for the time that the
platform allows for routers to notice a removal; the rest of that time is left for the
update to arrive.
"""

RECOVERY_HOLD_SECONDS = 2.2
"""Seconds after a platform recovery until a missing entry counts as removed.

Entries that expired during the outage are back within about two seconds.
"""

TOMBSTONE_SECONDS = 120.0
"""Seconds for which tombstones stay, so that a late update can't restore an entry."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Tombstone:
    """A removed entry.

    Attributes:
        entry: The last known entry.
        revision: Revision of the removal.
        at: When the removal became known, seconds on the monotonic clock.
        until: Until when the endpoint may still serve, on the same clock.
        held: Whether it serves like others until then, because entries expire
            during an outage of the platform; else as the last resort only.
    """

    entry: EndpointEntry
    revision: StoreRevision
    at: float
    until: float
    held: bool


class RemovedEntries:
    """Keeps the tombstones of removed entries.

    Args:
        serve_time: Seconds for which an endpoint still serves after its removal.
        clock: Monotonic clock.
    """

    def __init__(self, *, serve_time: float, clock: Clock) -> None:
        self._serve_time = serve_time
        self._clock = clock
        self._confirmed_at = float("-inf")
        self._removed: dict[EndpointName, Tombstone] = {}
        self._platform_recovered_at = float("-inf")

    @property
    def held(self) -> tuple[EndpointEntry, ...]:
        """Entries that serve like others, as they may have expired in an outage."""
        return tuple(each.entry for each in self._removed.values() if each.held)

    def note_confirmed(self, *, at: float) -> None:
        """Record that no entry had been removed at a time on the monotonic clock."""
        self._confirmed_at = max(self._confirmed_at, at)

    def note_platform_recovery(self) -> None:
        """Record that the platform is back; entries may be missing for a while."""
        self._platform_recovered_at = self._clock()

    def removed_since(
        self, *, revision: StoreRevision
    ) -> dict[EndpointName, StoreRevision]:
        """Names of entries removed after a revision, with their revisions."""
        return {
            name: removed.revision
            for name, removed in self._removed.items()
            if removed.revision > revision
        }

    def still_serving(self, *, service: ServiceName) -> tuple[EndpointEntry, ...]:
        """Endpoints of a service that may still serve if no other can."""
        now = self._clock()
        return tuple(
            each.entry
            for each in self._removed.values()
            if each.until > now
            and each.entry.service == service
            and each.entry.state is EndpointState.READY
        )

    def get(self, *, name: EndpointName) -> Tombstone | None:
        """Return the tombstone of an entry, None if there is none."""
        return self._removed.get(name)

    def take(self, *, name: EndpointName) -> Tombstone | None:
        """Delete the tombstone of an entry that is there again, and return it."""
        return self._removed.pop(name, None)

    def add(
        self, *, entry: EndpointEntry, revision: StoreRevision, may_be_back: bool = True
    ) -> None:
        """Add the tombstone of a removed entry.

        Args:
            entry: The last known entry.
            revision: Revision of the removal.
            may_be_back: Whether the entry may have expired in an outage of the
                platform, so that it is written again.
        """
        now = self._clock()
        held_until = self._platform_recovered_at + RECOVERY_HOLD_SECONDS
        is_ready = entry.state is EndpointState.READY
        held = may_be_back and is_ready and held_until > now
        self._removed[entry.name] = Tombstone(
            entry=entry,
            revision=revision,
            at=now,
            until=held_until if held else self._last_resort_until(now=now),
            held=held,
        )
        log.info(
            "endpoint_gone",
            endpoint=entry.endpoint,
            service=entry.service,
            state=entry.state.value,
            era=revision.era,
            revision=revision.number,
            held=held,
        )

    def _last_resort_until(self, *, now: float) -> float:
        """Return until when an endpoint serves whose removal becomes known now.

        It may have been removed as soon as its entry was confirmed for the last time.
        """
        until = now + LAST_RESORT_SECONDS
        if self._confirmed_at == float("-inf"):
            return until
        return min(until, self._confirmed_at + self._serve_time - SERVE_MARGIN_SECONDS)

    def renew(self, *, name: EndpointName, revision: StoreRevision) -> None:
        """Renew a tombstone after a removal of an entry that never arrived here."""
        removed = self._removed.get(name)
        if removed is not None and revision > removed.revision:
            self._removed[name] = replace(removed, revision=revision, at=self._clock())

    def expire_holds(self) -> bool:
        """End the holds of entries that are still missing after a recovery.

        Returns:
            Whether any hold ended.
        """
        now = self._clock()
        expired = [
            name
            for name, removed in self._removed.items()
            if removed.held and removed.until <= now
        ]
        for name in expired:
            self._removed[name] = replace(self._removed[name], held=False)
            log.info("endpoint_hold_ended", endpoint=self._removed[name].entry.endpoint)
        return bool(expired)

    def expire_tombstones(self) -> StoreRevision | None:
        """Delete old tombstones and return the latest of their revisions."""
        oldest = self._clock() - TOMBSTONE_SECONDS
        expired = [
            (removed.revision, name)
            for name, removed in self._removed.items()
            if removed.at < oldest
        ]
        for _, name in expired:
            del self._removed[name]
        return max(expired)[0] if expired else None
