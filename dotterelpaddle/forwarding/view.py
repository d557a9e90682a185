"""The configuration and endpoints that one router acts on.

The view never goes back while the process lives. Only a higher version replaces a
configuration, and only a later incarnation, or a later revision of the same
incarnation, replaces an endpoint's entry, whatever source the update comes from.

If the platform's store comes back from a copy, its snapshot in the new era replaces the
entries, so that all entries of the view belong to one era. What the copy contradicts
(leaving and removed endpoints, evacuations) is kept elsewhere until it is written
again.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.configuration import ConfigurationInForce
from dotterelpaddle.forwarding.contradictions import ContradictedEntries
from dotterelpaddle.forwarding.copied_entries import CopiedEntries
from dotterelpaddle.forwarding.entry_log import log_known
from dotterelpaddle.forwarding.entry_tags import entries_tag, same_content
from dotterelpaddle.forwarding.evacuations import EvacuationSnapshot, EvacuationTracker
from dotterelpaddle.forwarding.interface import EndpointsUpdate
from dotterelpaddle.forwarding.leaving import LeavingEndpoints
from dotterelpaddle.forwarding.lifetime_order import LifetimeOrder
from dotterelpaddle.forwarding.model import (
    UNKNOWN_INCARNATION,
    EndpointState,
    endpoint_id,
)
from dotterelpaddle.forwarding.removals import RemovedEntries
from dotterelpaddle.forwarding.revisions import StoreRevision
from dotterelpaddle.forwarding.service_groups import group_by_service
from dotterelpaddle.forwarding.startup import Startup
from dotterelpaddle.ids import Revision
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.interface import OperatorUpdate
    from dotterelpaddle.forwarding.model import (
        CallerLimits,
        EndpointEntry,
        FleetConfiguration,
        ForwardRoute,
        SlowStart,
    )
    from dotterelpaddle.ids import EndpointId, EndpointName, ServiceName

log = get_logger(name=__name__)


class FleetView:
    """The configuration and endpoints that this router acts on.

    Args:
        clock: Monotonic clock.
        leaving: Endpoints that have reported in an answer that they are leaving.
    """

    def __init__(
        self, *, clock: Clock, leaving: LeavingEndpoints | None = None
    ) -> None:
        self._leaving = leaving or LeavingEndpoints(clock=clock)
        self._copied = CopiedEntries(leaving=self._leaving, clock=clock)
        self._evacuations = EvacuationTracker(clock=clock)
        self._entry_observers: list[Callable[[EndpointEntry], None]] = []
        self._in_force = ConfigurationInForce()
        self._entries: dict[EndpointName, EndpointEntry] = {}
        self._changed_at: dict[EndpointName, StoreRevision] = {}
        self._order = LifetimeOrder()
        self._removed = RemovedEntries(serve_time=self._leaving.serve_time, clock=clock)
        self._contradicted = ContradictedEntries()
        self._ready: dict[ServiceName, tuple[EndpointEntry, ...]] = {}
        self._endpoints_revision: StoreRevision | None = None
        self._endpoints_tag = entries_tag(entries=())
        self._deltas_from = StoreRevision(number=Revision(0))
        self._startup = Startup(clock=clock)

    @property
    def configuration(self) -> FleetConfiguration | None:
        """The configuration in force, None before the first one."""
        return self._in_force.configuration

    @property
    def limits(self) -> CallerLimits | None:
        """Limits on callers, None before the first configuration."""
        return self.configuration.limits if self.configuration else None

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 before the first one."""
        return self._in_force.version

    @property
    def endpoints_revision(self) -> StoreRevision | None:
        """Revision up to which endpoints are known, None before the first snapshot."""
        return self._endpoints_revision

    @property
    def endpoints_tag(self) -> int:
        """32 bits of a digest of the entries without their revisions.

        Routers with equal tags have equivalent entries; heartbeats change only the
        revisions.
        """
        return self._endpoints_tag

    @property
    def age(self) -> float:
        """Seconds since the router's start."""
        return self._startup.age

    @property
    def complete(self) -> bool:
        """Whether the view holds a configuration and endpoints."""
        return self.configuration is not None and self._endpoints_revision is not None

    async def wait_until_complete(self) -> None:
        """Wait until the view is complete, at most until shortly after the start."""
        if not self.complete:
            await self._startup.wait()

    @property
    def entries(self) -> tuple[EndpointEntry, ...]:
        """All registered entries."""
        return tuple(self._entries.values())

    @property
    def known_endpoints(self) -> frozenset[EndpointId]:
        """Endpoints that may get requests, also those that the store lacks at present.

        What is known of an endpoint, such as that it is cold, still holds while its
        entry is expected back after a platform recovery.
        """
        return frozenset(
            each.endpoint for each in (*self._entries.values(), *self._removed.held)
        )

    @property
    def unclear_versions(self) -> frozenset[EndpointId]:
        """Endpoints of which nobody can tell which software version they run."""
        return self._contradicted.endpoints(entries=self._entries)

    @property
    def leaving(self) -> LeavingEndpoints:
        """Endpoints that have reported in an answer that they are leaving."""
        return self._leaving

    @property
    def evacuations(self) -> EvacuationTracker:
        """Failure domains whose endpoints get no new requests."""
        return self._evacuations

    @property
    def slow_starts(self) -> Mapping[ServiceName, SlowStart]:
        """Slow-start options by service."""
        return self.configuration.slow_starts if self.configuration else {}

    @property
    def routed_entries(self) -> tuple[EndpointEntry, ...]:
        """Entries of services to which the configuration routes requests.

        Another writer may have added the others, so they are no evidence about the
        fleet's endpoints.
        """
        if self.configuration is None:
            return self.entries
        routed = self._in_force.routed_services
        return tuple(each for each in self._entries.values() if each.service in routed)

    def on_entry(self, observer: Callable[[EndpointEntry], None]) -> None:
        """Add an observer that the view calls with each entry that it accepts."""
        self._entry_observers.append(observer)

    def on_configuration(self, observer: Callable[[FleetConfiguration], None]) -> None:
        """Add an observer that the view calls with each configuration in force."""
        self._in_force.on_change(observer)

    def current_endpoint_id(self, name: EndpointName) -> EndpointId:
        """Return the id of an endpoint's current incarnation."""
        entry = self._entries.get(name)
        if entry is None:
            return endpoint_id(name=name, incarnation=UNKNOWN_INCARNATION)
        return entry.endpoint

    def endpoints_since(
        self, *, revision: StoreRevision | None
    ) -> EndpointsUpdate | None:
        """Return what has changed since a revision, heartbeats excluded.

        Args:
            revision: Revision up to which the requester is current, None for none.

        Returns:
            A delta, or a snapshot if the view no longer has the single changes;
            None before the first snapshot.
        """
        known = self._endpoints_revision
        if known is None:
            return None
        if revision is None or revision < self._deltas_from:
            return EndpointsUpdate(
                revision=known,
                entries=(*self.entries, *self._contradicted.rows),
                is_snapshot=True,
            )
        changed = tuple(
            entry
            for name, entry in self._entries.items()
            if self._changed_at[name] > revision
        )
        return EndpointsUpdate(
            revision=known,
            entries=changed + self._contradicted.rows_since(revision=revision),
            removed=self._removed.removed_since(revision=revision),
        )

    def route(self, *, host: str, path: str) -> ForwardRoute | None:
        """Find the route with the longest prefix that begins a path."""
        return self._in_force.route(host=host, path=path)

    def registered(self, *, service: ServiceName) -> tuple[EndpointEntry, ...]:
        """Endpoints of a service that accept new requests, by their entries alone."""
        return self._ready.get(service, ())

    def ready(self, *, service: ServiceName) -> tuple[EndpointEntry, ...]:
        """Endpoints that accept new requests and are neither leaving nor evacuated."""
        available = self._leaving.exclude_leaving(
            entries=self.registered(service=service)
        )
        return self._evacuations.exclude_evacuated(entries=available)

    def last_resort(self, *, service: ServiceName) -> tuple[EndpointEntry, ...]:
        """Endpoints that may serve if no other can: just removed, or just leaving."""
        gone = self._removed.still_serving(service=service)
        leaving = self._leaving.still_serving(entries=self.registered(service=service))
        return self._evacuations.exclude_evacuated(
            entries=(*self._leaving.exclude_leaving(entries=gone), *leaving)
        )

    def note_endpoints_confirmed(self, *, at: float) -> None:
        """Record when, on the monotonic clock, the platform confirmed the entries."""
        self._removed.note_confirmed(at=at)

    def note_platform_recovery(self) -> None:
        """Record that the platform is back; entries may be missing for a while."""
        self._removed.note_platform_recovery()

    def apply_operator_update(self, *, update: OperatorUpdate) -> None:
        """Apply a configuration and evacuations of the operator.

        Evacuations come first, so that a router never serves by a configuration
        without them.
        """
        if update.is_snapshot:
            listed = frozenset(each.failure_domain for each in update.evacuations)
            kept = self._evacuations.domains & update.undecodable
            self._evacuations.apply_snapshot(
                snapshot=EvacuationSnapshot(
                    revision=update.revision, domains=listed | kept
                )
            )
        else:
            self._evacuations.apply_changes(
                changes=update.evacuations, revision=update.revision
            )
        if update.configuration is not None:
            self.apply_configuration(configuration=update.configuration)

    def apply_configuration(self, *, configuration: FleetConfiguration) -> bool:
        """Put a configuration in force unless the current version is as high.

        Returns:
            Whether the configuration is in force now.
        """
        applied = self._in_force.apply(configuration=configuration)
        if applied:
            self._signal_complete()
        return applied

    def apply_endpoints_update(self, *, update: EndpointsUpdate) -> bool:
        """Apply a snapshot or a delta of entries.

        Returns:
            Whether the view changed.
        """
        known = self._endpoints_revision
        if known is not None and update.revision.era < known.era:
            self._copied.compare_earlier(entries=update.entries, known=self._entries)
            return False
        if known is not None and update.revision.era > known.era:
            if not update.is_snapshot:
                # It is based on entries of the new era that this view doesn't have.
                log.warning("delta_of_later_era_ignored", era=update.revision.era)
                return False
            self._begin_era(earlier=known, revision=update.revision)
        changed = False
        for entry in update.entries:
            changed = self._put(entry=entry) or changed
        for name, revision in update.removed.items():
            changed = self._remove(name, revision) or changed
        if update.is_snapshot:
            present = {entry.name for entry in update.entries}
            for name in tuple(self._entries):
                if name not in present:
                    changed = self._remove(name, update.revision) or changed
        if known is None:
            self._deltas_from = update.revision
        if known is None or update.revision > known:
            self._endpoints_revision = update.revision
        self._signal_complete()
        if changed:
            self._rebuild_index()
        expired_up_to = self._removed.expire_tombstones()
        if expired_up_to is not None:
            self._deltas_from = max(self._deltas_from, expired_up_to)
        return changed

    def expire_holds(self) -> None:
        """End all holds after a platform recovery that have expired."""
        self._evacuations.expire_holds()
        removals_ended = self._removed.expire_holds()
        if self._copied.expire() or removals_ended:
            self._rebuild_index()

    def _signal_complete(self) -> None:
        if self.complete:
            self._startup.end()

    def _begin_era(self, *, earlier: StoreRevision, revision: StoreRevision) -> None:
        """Prepare for a snapshot of a store that has come back from a copy."""
        # The copy may lack entries, like a platform after an outage.
        self._removed.note_platform_recovery()
        self._copied.begin_era(earlier=earlier, revision=revision)
        self._deltas_from = revision

    def _put(self, *, entry: EndpointEntry) -> bool:
        name = entry.name
        known = self._entries.get(name)
        if known is not None and not self._order.is_later(known=known, entry=entry):
            self._move_to_era(known=known, revision=entry.revision)
            return self._contradicted.compare(in_force=known, ignored=entry)
        removed = self._removed.get(name=name)
        if removed and not self._order.is_after(tombstone=removed, entry=entry):
            return False
        if known is not None:
            self._copied.compare_states(earlier=known, later=entry)
        self._copied.check_removed(tombstone=self._removed.take(name=name), entry=entry)
        self._entries[name] = entry
        self._order.record(known=known, entry=entry)
        was_unclear = self._contradicted.settle(name=name, revision=entry.revision)
        if known is not None:
            self._contradicted.compare(in_force=entry, ignored=known)
        for observer in self._entry_observers:
            observer(entry)
        was_withheld = self._copied.release_rewritten(entry=entry)
        if known is not None and same_content(known, entry):
            return was_withheld or was_unclear
        self._changed_at[name] = entry.revision
        log_known(entry=entry)
        return True

    def _move_to_era(self, *, known: EndpointEntry, revision: StoreRevision) -> None:
        """Keep an entry whose earlier incarnation is listed in a new era."""
        if revision.era > known.revision.era:
            self._entries[known.name] = replace(known, revision=revision)
            self._changed_at[known.name] = revision

    def _remove(self, name: EndpointName, revision: StoreRevision) -> bool:
        entry = self._entries.get(name)
        if entry is None:
            self._removed.renew(name=name, revision=revision)
            return False
        if entry.revision > revision:
            return False
        del self._entries[name]
        del self._changed_at[name]
        self._order.forget(name=name)
        self._contradicted.settle(name=name, revision=revision)
        may_be_back = not self._copied.release(entry=entry)
        self._removed.add(entry=entry, revision=revision, may_be_back=may_be_back)
        return True

    def _rebuild_index(self) -> None:
        self._endpoints_tag = entries_tag(
            entries=(*self._entries.values(), *self._contradicted.rows)
        )
        ready = [
            entry
            for entry in self._entries.values()
            if entry.state is EndpointState.READY
            and not self._copied.withholds(entry=entry)
        ]
        self._ready = group_by_service(entries=(*ready, *self._removed.held))
