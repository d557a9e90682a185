"""Tracks the routers that report to this one, and those that peers name."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.forwarding.request_totals import TotalsScope
from dotterelpaddle.logs import get_logger
from dotterelpaddle.peers.contact_attempts import ContactAttempts
from dotterelpaddle.peers.owner_election import (
    LATE_OWNER_COOLDOWN_SECONDS as LATE_OWNER_COOLDOWN_SECONDS,
    SLOT_OWNER_EXPIRY_SECONDS,
    OwnerElection,
)
from dotterelpaddle.peers.ranks import Rank, rank_of
from dotterelpaddle.peers.report import sender_info

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from dotterelpaddle.address import Address
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.ids import FailureDomain, RouterId
    from dotterelpaddle.peers.report import PeerInfo, PeerReport


log = get_logger(name=__name__)

PEER_TIMEOUT_SECONDS = 1.2
"""Time without a report after which a router no longer counts as alive."""

RECENT_REPORT_SECONDS = 0.7
"""Time without a report, three missed ones, after which a router may be cut off."""

PEER_EXPIRY_SECONDS = 30.0
"""Time without a report after which this router forgets a peer and its address."""

BACKLOG_SECONDS = 0.3
"""Time after a start or a pause of the process in which reports may be old, and do not
tell who is an owner now."""

AGGREGATORS_PER_DOMAIN = 2
"""Number of aggregators in a failure domain; if one of them ends, the other one serves
the domain until a new one takes over."""


@dataclass(kw_only=True, slots=True)
class Peer:
    """Another router.

    Attributes:
        info: Its address and link.
        report: Its last report.
        received_at: When that report arrived, seconds on the monotonic clock.
        alive: Whether its last report is recent enough.
    """

    info: PeerInfo
    report: PeerReport
    received_at: float
    alive: bool = True

    @property
    def address(self) -> Address:
        """Address for reports."""
        return self.info.address


@dataclass(frozen=True, kw_only=True, slots=True)
class _NamedPeer:
    """A router that a report named, and when the report arrived (monotonic clock)."""

    info: PeerInfo
    named_at: float


class PeerDirectory:
    """Tracks the other routers, the aggregators and the owners.

    Args:
        own: Address and link of this router.
        seeds: Addresses of some routers; they may be out of date.
        clock: Monotonic clock.
        needs_mesh_owners: Returns whether a mesh fleet needs owners.
        needs_lease: Returns whether an owner needs a lease to grant slots.
    """

    def __init__(
        self,
        *,
        own: PeerInfo,
        seeds: Iterable[Address],
        clock: Clock,
        needs_mesh_owners: Callable[[], bool] = lambda: False,
        needs_lease: Callable[[], bool] = lambda: False,
    ) -> None:
        self._own = own
        self._clock = clock
        self._seeds = frozenset(seeds) - {own.address}
        self._peers: dict[RouterId, Peer] = {}
        self._named: dict[RouterId, _NamedPeer] = {}
        self._attempts = ContactAttempts(clock=clock)
        self._expected: dict[RouterId, float] = {}
        self._owners = OwnerElection(own=own, in_mesh=needs_mesh_owners, clock=clock)
        self._needs_mesh_owners = needs_mesh_owners
        self._needs_lease = needs_lease
        self._running_since = self._updated_at = clock()
        self._leaving = False
        self._handing_over = anyio.Event()

    @property
    def leaving(self) -> bool:
        """Whether this router is stopping."""
        return self._leaving

    @property
    def own(self) -> PeerInfo:
        """Address and link of this router."""
        return self._own

    @property
    def has_seeds(self) -> bool:
        """Whether the settings name other routers."""
        return bool(self._seeds)

    @property
    def alive(self) -> tuple[Peer, ...]:
        """Routers with a recent report."""
        return tuple(peer for peer in self._peers.values() if peer.alive)

    @property
    def router_count(self) -> int:
        """Number of routers known within the last half minute, this one included."""
        return len(self.known_routers)

    @property
    def known_routers(self) -> frozenset[RouterId]:
        """Routers known within the last half minute, this one included."""
        return frozenset((self._own.router, *self._peers, *self._named))

    def announce_leaving(self) -> None:
        """Announce the stop, so that others take over while this router still runs.

        Owners in a mesh fleet hand over at once: while some routers ask the old owner
        and some the new one, both grant the same slots.
        """
        self._leaving = True
        if self.has_mesh_owners and self.grants_slots:
            self._owners.elect_in_mesh(peers=self.alive, leaving=True)
            self._handing_over.set()

    async def wait_for_handover(self) -> None:
        """Wait until the other routers have to learn at once that this one stops."""
        await self._handing_over.wait()
        self._handing_over = anyio.Event()

    def recently_active(self) -> tuple[Peer, ...]:
        """Routers whose last report arrived within `RECENT_REPORT_SECONDS`."""
        oldest = self._clock() - RECENT_REPORT_SECONDS
        return tuple(peer for peer in self._peers.values() if peer.received_at > oldest)

    def reachable_domains(self) -> dict[FailureDomain, bool]:
        """Return for each failure domain whether a router recently reported.

        The aggregators list the other domains whose reports they receive.
        """
        live: set[FailureDomain] = set()
        for peer in self.recently_active():
            live.add(peer.report.failure_domain)
            if peer.report.share.scope is TotalsScope.OTHERS:
                live.update(peer.report.domains)
        return {
            info.failure_domain: info.failure_domain in live for info in self._known()
        }

    def rank(self, *, router: RouterId) -> Rank:
        """Rank of a router as an aggregator, owner or reader; best links come first.

        All routers compute the same order.
        """
        return rank_of(self._peer_info(router))

    @property
    def is_first_by_rank(self) -> bool:
        """Whether no other running router has a better rank."""
        own = self.rank(router=self.own.router)
        return all(self.rank(router=each.report.router) > own for each in self.alive)

    def aggregators(self, *, failure_domain: FailureDomain) -> tuple[PeerInfo, ...]:
        """The aggregators of a failure domain, the best ranked ones first.

        Unresponsive routers are excluded, and stopping ones unless all are stopping.
        """
        members = [
            info for info in self._known() if info.failure_domain == failure_domain
        ]
        if failure_domain == self._own.failure_domain:
            members.append(self._own)
        responsive = [info for info in members if not self._has_timed_out(info.router)]
        staying = [info for info in responsive if not self._is_leaving(info.router)]
        return tuple(
            sorted(staying or responsive, key=rank_of)[:AGGREGATORS_PER_DOMAIN]
        )

    @property
    def grants_slots(self) -> bool:
        """Whether owners grant the slots of endpoints one by one."""
        return self._needs_mesh_owners()

    @property
    def needs_lease(self) -> bool:
        """Whether an owner needs a lease to grant slots of brittle endpoints."""
        return self._needs_lease()

    @property
    def has_mesh_owners(self) -> bool:
        """Whether the owners are those of a mesh fleet."""
        return self._owners.is_mesh

    def owners(self) -> dict[FailureDomain, PeerInfo]:
        """The owner of each failure domain, which counts the requests in flight there.

        A small fleet has owners only where slots have to be granted one by one.
        """
        return self._owners.owners()

    def slot_owners(self) -> dict[FailureDomain, PeerInfo]:
        """The owners that may grant slots, also where none is needed yet."""
        return self._owners.named(max_age=SLOT_OWNER_EXPIRY_SECONDS)

    def on_owner_change(self, observer: Callable[[FailureDomain], None]) -> None:
        """Add an observer called when a failure domain gets another owner."""
        self._owners.on_change(observer)

    def owner_age(self, *, domain: FailureDomain) -> float:
        """Seconds for which a failure domain has had its owner, 0 without one."""
        return self._owners.age(domain=domain)

    @property
    def names_owner(self) -> bool:
        """Whether this router has lately elected an owner that needs a lease."""
        return self.needs_lease and self._owners.has_elected

    def elect_owner(self) -> None:
        """Elect the owner of the own failure domain; only its aggregators call this."""
        domain = self._own.failure_domain
        # A silent owner that needs a lease is replaced sooner, as requests wait for it.
        peers = self.recently_active() if self.needs_lease else self.alive
        self._owners.elect(
            peers=[peer for peer in peers if peer.info.failure_domain == domain],
            aggregators=self.aggregators(failure_domain=domain),
            needs_lease=self.needs_lease,
            running_since=self._running_since,
        )

    def elect_mesh_owners(self) -> None:
        """Determine the owners of all failure domains in a mesh fleet."""
        self._owners.elect_in_mesh(peers=self.alive, leaving=self._leaving)

    def leave_mesh(self) -> None:
        """Record that the fleet has aggregators, which elect the owners."""
        self._owners.leave_mesh(forgets_owners=self.needs_lease)

    def expect_reports(self, *, routers: frozenset[RouterId]) -> None:
        """Set the routers that have to report from now on."""
        now = self._clock()
        for router in tuple(self._expected):
            if router not in routers and not self._has_timed_out(router):
                del self._expected[router]
        for router in routers:
            self._expected.setdefault(router, now)

    def receive(self, *, report: PeerReport, address: Address) -> bool:
        """Process a report.

        Returns:
            Whether the report is newer than the last one of the same process.
        """
        now = self._clock()
        known = self._peers.get(report.router)
        if known is not None and report.is_repeated_after(known.report):
            return False
        if known is None or not known.alive:
            log.info(
                "peer_regained" if known else "peer_found",
                router=report.router,
                address=str(address),
                incarnation=report.incarnation,
            )
        self._peers[report.router] = Peer(
            info=sender_info(
                report=report,
                address=address,
                known=None if known is None else known.info,
            ),
            report=report,
            received_at=now,
        )
        for info in report.peers:
            if info.router != self._own.router:
                self._named[info.router] = _NamedPeer(info=info, named_at=now)
        self._note_pause()
        for info in report.owners:
            if self._tells_of(report, domain=info.failure_domain):
                self._owners.record(info=info)
        is_joining = known is None or not known.alive
        if self.has_mesh_owners and (is_joining or report.leaving):
            self.elect_mesh_owners()
        return True

    def _tells_of(self, report: PeerReport, *, domain: FailureDomain) -> bool:
        """Return whether a report tells who owns a failure domain now.

        Where an owner needs a lease, the name must be neither old nor passed on.
        """
        is_recent = self._clock() - self._running_since >= BACKLOG_SECONDS
        own = self._own.failure_domain
        is_first_hand = domain != own or report.failure_domain == own
        return not self.needs_lease or (is_recent and is_first_hand)

    def _note_pause(self) -> None:
        """Record that this process has stood still, if it has."""
        now = self._clock()
        if now - self._updated_at > RECENT_REPORT_SECONDS:
            self._running_since = self._updated_at = now

    def knows_process(self, *, report: PeerReport) -> bool:
        """Return whether the sender's last report came from the same process."""
        known = self._peers.get(report.router)
        return known is not None and known.report.incarnation == report.incarnation

    def unreached_targets(self) -> list[Address]:
        """Return addresses at which no router is alive and an attempt is due."""
        known = {info.address for info in self._known()} | self._seeds
        return self._attempts.take_due(
            addresses=known - {peer.address for peer in self.alive}
        )

    def unresponsive_targets(self) -> list[Address]:
        """Return addresses of unresponsive routers for which an attempt is due.

        The seeds are included if no router is alive.
        """
        targets = {
            info.address for info in self._known() if self._has_timed_out(info.router)
        }
        return self._attempts.take_due(
            addresses=targets if self.alive else targets | self._seeds
        )

    def update_liveness(self) -> None:
        """Mark routers without a recent report as lost, and forget expired ones."""
        self._note_pause()
        self._updated_at = now = self._clock()
        for router, peer in tuple(self._peers.items()):
            silent_for = now - peer.received_at
            if peer.alive and silent_for > PEER_TIMEOUT_SECONDS:
                peer.alive = False
                log.warning("peer_lost", router=router, silent_for=round(silent_for, 3))
            if silent_for > PEER_EXPIRY_SECONDS:
                del self._peers[router]
                self._named.pop(router, None)
                self._attempts.forget(address=peer.address)
        for router, named in tuple(self._named.items()):
            if now - named.named_at > PEER_EXPIRY_SECONDS:
                del self._named[router]
        for router in self._expected.keys() - self._peers.keys() - self._named.keys():
            del self._expected[router]

    def _known(self) -> list[PeerInfo]:
        """All other routers; their own reports take precedence over named ones."""
        named = {router: each.info for router, each in self._named.items()}
        reporting = {router: peer.info for router, peer in self._peers.items()}
        return list({**named, **reporting}.values())

    def _peer_info(self, router: RouterId) -> PeerInfo:
        peer = self._peers.get(router)
        if peer is not None:
            return peer.info
        named = self._named.get(router)
        return named.info if named is not None else self._own

    def _is_leaving(self, router: RouterId) -> bool:
        if router == self._own.router:
            return self._leaving
        peer = self._peers.get(router)
        return peer is not None and peer.alive and peer.report.leaving

    def _has_timed_out(self, router: RouterId) -> bool:
        """Return whether a router that has to report has timed out."""
        expected_at = self._expected.get(router)
        if expected_at is None:
            return False
        peer = self._peers.get(router)
        received_at = peer.received_at if peer is not None else expected_at
        return self._clock() - max(expected_at, received_at) > PEER_TIMEOUT_SECONDS
