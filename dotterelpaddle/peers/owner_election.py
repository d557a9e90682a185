"""Determines which router owns the shards of each failure domain.

In a large fleet the aggregators of a failure domain elect its owner and report it to
all others. In a mesh fleet, whose routers all report to each other, each router
determines the owners itself, where slots have to be granted one by one.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.logs import get_logger
from dotterelpaddle.peers.ranks import rank_of

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.ids import FailureDomain, RouterId
    from dotterelpaddle.peers.directory import Peer
    from dotterelpaddle.peers.report import PeerInfo

log = get_logger(name=__name__)

OWNER_EXPIRY_SECONDS = 2.0
"""Time, ten reports, for which a router counts as owner of a failure domain's shards
after a report last named it: the aggregators may change in between."""

SLOT_OWNER_EXPIRY_SECONDS = 0.7
"""Time without a report that names an owner, three missed ones, after which it may
grant no slots. Both aggregators send such reports."""

RECENT_NAMING_SECONDS = 0.5
"""Time for which the second aggregator lets the first one name the owner."""

ELECTION_DELAY_SECONDS = 1.0
"""Time after its start in which a router elects no owner that grants slots."""

ELECTION_MEMORY_SECONDS = 2.0
"""Time after an election in which a router tells later aggregators of the owner."""

MIN_REPORTS = 12
"""Reports, five a second, after which a router has settled and may grant slots."""

LATE_OWNER_QUORUM = 0.5
"""Fraction of a failure domain's routers above which an owner silent to them counts as
late. Lost packets make an owner silent to a few routers, a busy host to most."""

LATE_OWNER_COOLDOWN_SECONDS = 30.0
"""Time for which aggregators don't elect a late owner again. No router asks it in the
meantime, so that none can tell whether its host is still busy."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _NamedOwner:
    """An owner, and since when it is named (monotonic clock)."""

    info: PeerInfo
    named_since: float
    named_at: float


class OwnerElection:
    """Tracks and elects the owners of all failure domains.

    Args:
        own: Address and link of this router.
        in_mesh: Returns whether a mesh fleet needs owners.
        clock: Monotonic clock.
    """

    def __init__(
        self, *, own: PeerInfo, in_mesh: Callable[[], bool], clock: Clock
    ) -> None:
        self._own = own
        self._in_mesh = in_mesh
        self._clock = clock
        self._owners: dict[FailureDomain, _NamedOwner] = {}
        self._late_owners: dict[RouterId, float] = {}
        self._is_mesh = False
        self._elected_at = -math.inf
        self._follows_since = math.inf
        self._observers: list[Callable[[FailureDomain], None]] = []

    @property
    def is_mesh(self) -> bool:
        """Whether each router determines the owners itself."""
        return self._is_mesh

    def on_change(self, observer: Callable[[FailureDomain], None]) -> None:
        """Add an observer called when a failure domain gets another owner."""
        self._observers.append(observer)

    def owners(self) -> dict[FailureDomain, PeerInfo]:
        """The owner of each failure domain; none in a mesh fleet that needs none."""
        if self._is_mesh and not self._in_mesh():
            return {}
        return self.named()

    def named(
        self, *, max_age: float = OWNER_EXPIRY_SECONDS
    ) -> dict[FailureDomain, PeerInfo]:
        """The owner of each failure domain, also where none is needed yet.

        Args:
            max_age: Seconds since a report last named an owner.
        """
        oldest = self._clock() - max_age
        return {
            domain: named.info
            for domain, named in self._owners.items()
            if named.named_at >= oldest
        }

    def age(self, *, domain: FailureDomain) -> float:
        """Seconds for which a failure domain has had its owner, 0 without one."""
        known = self._owners.get(domain)
        return 0.0 if known is None else self._clock() - known.named_since

    def naming_age(self, *, domain: FailureDomain) -> float:
        """Seconds since a report last named the owner, infinite without one."""
        known = self._owners.get(domain)
        return math.inf if known is None else self._clock() - known.named_at

    def record(self, *, info: PeerInfo) -> None:
        """Record the owner of a failure domain."""
        now = self._clock()
        known = self._owners.get(info.failure_domain)
        changed = known is None or known.info != info
        if changed:
            log.info(
                "owner_named",
                failure_domain=info.failure_domain,
                router=info.router,
                before=known.info.router if known is not None else "",
            )
        self._owners[info.failure_domain] = _NamedOwner(
            info=info,
            named_since=now if known is None or changed else known.named_since,
            named_at=now,
        )
        if changed:
            for observer in self._observers:
                observer(info.failure_domain)

    def elect_in_mesh(self, *, peers: Collection[Peer], leaving: bool) -> None:
        """Determine all owners in a mesh fleet, also while routers need none.

        They take over at once when endpoints turn out to need them. The owner of a
        failure domain is its best ranked router that is not stopping.

        Args:
            peers: The other running routers.
            leaving: Whether this router is stopping.
        """
        self._is_mesh = True
        members = [(each.info, each.report.leaving) for each in peers]
        members.append((self._own, leaving))
        domains = {info.failure_domain for info, _ in members}
        for domain in self._owners.keys() - domains:
            del self._owners[domain]
        for domain in domains:
            present = [each for each in members if each[0].failure_domain == domain]
            staying = [info for info, is_leaving in present if not is_leaving]
            self.record(info=min(staying or [info for info, _ in present], key=rank_of))

    @property
    def has_elected(self) -> bool:
        """Whether this router has lately elected the owner of its failure domain."""
        return self._clock() - self._elected_at <= ELECTION_MEMORY_SECONDS

    def elect(
        self,
        *,
        peers: Sequence[Peer],
        aggregators: Sequence[PeerInfo],
        needs_lease: bool = False,
        running_since: float = -math.inf,
    ) -> None:
        """Elect the owner of the own failure domain; only its aggregators call this.

        Where an owner needs a lease, the second aggregator follows the first one while
        that one names an owner: two that hear different routers would name two owners
        in turn. A router that has just started, or stood still, knows too few of the
        others to elect one, and goes on naming the one it hears of.

        Args:
            peers: The other running routers of the failure domain.
            aggregators: Its aggregators, the best ranked one first.
            needs_lease: Whether an owner needs a lease, so that callers wait after each
                change.
            running_since: When this router started or stood still, seconds on the
                monotonic clock.
        """
        domain = self._own.failure_domain
        naming_age = self.naming_age(domain=domain)
        if aggregators[:1] == (self._own,):
            self._follows_since = math.inf
        elif needs_lease and self._follows(naming_age=naming_age):
            return
        settling = self._clock() - running_since < ELECTION_DELAY_SECONDS
        if needs_lease and settling:
            if naming_age <= SLOT_OWNER_EXPIRY_SECONDS:
                self.record(info=self._owners[domain].info)
            return
        self._elected_at = self._clock()
        self._record_late_owner(peers=peers)
        owner = self._next_owner(
            peers=peers, aggregators=aggregators, keeps_owner=needs_lease
        )
        self.record(info=owner)

    def _follows(self, *, naming_age: float) -> bool:
        """Return whether this router, the second aggregator, lets the first one elect.

        Args:
            naming_age: Seconds since a report last named the owner.
        """
        now = self._clock()
        self._follows_since = min(self._follows_since, now)
        waited = now - self._follows_since
        return min(waited, naming_age) <= RECENT_NAMING_SECONDS

    def _next_owner(
        self,
        *,
        peers: Sequence[Peer],
        aggregators: Sequence[PeerInfo],
        keeps_owner: bool,
    ) -> PeerInfo:
        """Return the owner of the own failure domain.

        It is the best ranked router that is no aggregator, to spread the work. Both
        aggregators receive the reports of all, and so choose the same router. The
        next router replaces an owner that is late to most routers, or is stopping.

        Args:
            peers: The other running routers of the failure domain.
            aggregators: Its aggregators, the best ranked one first.
            keeps_owner: Whether the owner stays although a better ranked router could
                be the owner, and routers that have just started become none.
        """
        candidates = [
            peer
            for peer in peers
            if peer.info not in aggregators and not peer.report.leaving
        ]
        members = [peer.info for peer in candidates]
        in_time = [info for info in members if info.router not in self._late_owners]
        known = self._owners.get(self._own.failure_domain)
        if not keeps_owner:
            return min(in_time or members, key=rank_of, default=aggregators[0])
        if known is not None and known.info in in_time:
            return known.info
        settled = [
            peer.info
            for peer in candidates
            if peer.info in in_time and peer.report.sequence >= MIN_REPORTS
        ]
        return min(settled or in_time or members, key=rank_of, default=aggregators[0])

    def leave_mesh(self, *, forgets_owners: bool) -> None:
        """Record that the fleet has aggregators, which elect the owners.

        A router of a large fleet takes it for a small one right after its start, and
        itself for an owner.

        Args:
            forgets_owners: Whether to forget the owners that it determined so.
        """
        if self._is_mesh and forgets_owners:
            self._owners.clear()
        self._is_mesh = False

    def _record_late_owner(self, *, peers: Sequence[Peer]) -> None:
        """Record the owner as late if most routers of its failure domain report it."""
        now = self._clock()
        self._late_owners = {
            router: late_at
            for router, late_at in self._late_owners.items()
            if now - late_at <= LATE_OWNER_COOLDOWN_SECONDS
        }
        owner = self._owners.get(self._own.failure_domain)
        if owner is None:
            return
        router = owner.info.router
        count = sum(router in peer.report.silent_owners for peer in peers)
        if router not in self._late_owners and count > LATE_OWNER_QUORUM * len(peers):
            self._late_owners[router] = now
            log.warning("owner_late", router=router, found_by=count, routers=len(peers))
