"""Which other routers there are: those that this one hears, and those it is told of."""

from __future__ import annotations

from dataclasses import dataclass
from functools import lru_cache
from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.request_totals import TotalsScope
from dotterelpaddle.logs import get_logger
from dotterelpaddle.peers.messages import PeerInfo
from dotterelpaddle.placement.rendezvous import digest

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from dotterelpaddle.address import Address
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.ids import FailureDomain, RouterId
    from dotterelpaddle.peers.messages import PeerReport

    Rank = tuple[int, int, RouterId]

log = get_logger(name=__name__)

PEER_TIMEOUT_SECONDS = 1.2
"""Seconds without a report after which a router counts as silent."""

RECENT_REPORT_SECONDS = 0.7
"""Seconds without a report, three of them, after which a router may be cut off."""

PEER_EXPIRY_SECONDS = 30.0
"""Seconds without a report after which an address is not tried any more."""

RETRY_SECONDS = 1.0
"""Seconds between reports to addresses that do not answer."""

FIRST_RETRY_SECONDS = 0.3
"""Seconds until the second report to such an address: hosts that are started together
are so within this time, and the first report may have come before its recipient."""

OWNER_EXPIRY_SECONDS = 2.0
"""Seconds that a router is believed to own the shards of a failure domain without
being named again, ten reports: aggregators may change meanwhile."""

LATE_OWNER_QUORUM = 0.5
"""Share of the routers of a failure domain above which an owner that they find silent
is late for all: lost packets make it look silent to a few, a busy host to most."""

LATE_OWNER_COOLDOWN_SECONDS = 30.0
"""Seconds for which an owner that was late for all is not named again. Nobody asks it
meanwhile, so that nobody can tell whether its host is still busy."""

MAX_CACHED_DIGESTS = 4096
"""Routers whose names' hashes are kept, 0.3 MB."""

AGGREGATORS_PER_DOMAIN = 2
"""Routers of a failure domain that aggregate for the others of it; while one of them
has just ended, the other one goes on."""


@dataclass(kw_only=True, slots=True)
class Peer:
    """Another router.

    Attributes:
        info: How to reach it.
        report: Its last report.
        received_at: When that came, seconds on the monotonic clock.
        alive: Whether it was heard of lately.
    """

    info: PeerInfo
    report: PeerReport
    received_at: float
    alive: bool = True

    @property
    def address(self) -> Address:
        """Where it exchanges reports."""
        return self.info.address


@dataclass(frozen=True, kw_only=True, slots=True)
class _NamedPeer:
    """A router that another one named."""

    info: PeerInfo
    named_at: float


@dataclass(kw_only=True, slots=True)
class _Attempts:
    """Reports to an address that has not answered.

    Attributes:
        sent_at: When the last one went out, seconds on the monotonic clock.
        backoff: Seconds until the next one.
    """

    sent_at: float = 0.0
    backoff: float = 0.0

    def record(self, *, at: float) -> None:
        """Note one more."""
        self.sent_at = at
        self.backoff = RETRY_SECONDS if self.backoff else FIRST_RETRY_SECONDS


class PeerDirectory:
    """The other routers.

    Args:
        own: How others reach this router.
        seeds: Addresses of some routers, which may be out of date.
        clock: Monotonic clock.
    """

    def __init__(
        self, *, own: PeerInfo, seeds: Iterable[Address], clock: Clock
    ) -> None:
        self._own = own
        self._clock = clock
        self._seeds = frozenset(seeds) - {own.address}
        self._peers: dict[RouterId, Peer] = {}
        self._named: dict[RouterId, _NamedPeer] = {}
        self._attempts: dict[Address, _Attempts] = {}
        self._expected: dict[RouterId, float] = {}
        self._owners: dict[FailureDomain, _NamedPeer] = {}
        self._late_owners: dict[RouterId, float] = {}
        self._leaving = False

    @property
    def leaving(self) -> bool:
        """Whether this router is stopping."""
        return self._leaving

    @property
    def own(self) -> PeerInfo:
        """How others reach this router."""
        return self._own

    @property
    def alive(self) -> tuple[Peer, ...]:
        """Routers that are heard."""
        return tuple(peer for peer in self._peers.values() if peer.alive)

    @property
    def router_count(self) -> int:
        """Routers known of within the last half minute, this one included."""
        return 1 + len(self._peers.keys() | self._named.keys())

    def announce_leaving(self) -> None:
        """Let others take over what this router does for them, while it still does."""
        self._leaving = True

    def recently_active(self) -> tuple[Peer, ...]:
        """Routers of which a report has just come."""
        oldest = self._clock() - RECENT_REPORT_SECONDS
        return tuple(peer for peer in self._peers.values() if peer.received_at > oldest)

    def reachable_domains(self) -> dict[FailureDomain, bool]:
        """Tell by failure domain whether any router of it has just been heard.

        The aggregators of this router say which other domains they hear.
        """
        heard: set[FailureDomain] = set()
        for peer in self.recently_active():
            heard.add(peer.report.failure_domain)
            if peer.report.share.scope is TotalsScope.OTHERS:
                heard.update(peer.report.domains)
        return {
            name.failure_domain: name.failure_domain in heard
            for name in self._known_peers()
        }

    def rank(self, *, router: RouterId) -> Rank:
        """Order in which routers work for others: those with the best links first.

        All routers put those that they know into the same order.
        """
        return _rank(self._peer_info(router))

    def aggregators(self, *, failure_domain: FailureDomain) -> tuple[PeerInfo, ...]:
        """The routers of a failure domain that aggregate for the others of it.

        Those that were asked to, and have been silent since, are left out, and those
        that are stopping while there are others.
        """
        names = [
            name
            for name in self._known_peers()
            if name.failure_domain == failure_domain
        ]
        if failure_domain == self._own.failure_domain:
            names.append(self._own)
        answering = [name for name in names if not self._is_unresponsive(name.router)]
        staying = [name for name in answering if not self._is_leaving(name.router)]
        return tuple(sorted(staying or answering, key=_rank)[:AGGREGATORS_PER_DOMAIN])

    def owners(self) -> dict[FailureDomain, PeerInfo]:
        """Which router counts what is in flight in each failure domain.

        Its aggregators name it; nobody does in a small fleet.
        """
        oldest = self._clock() - OWNER_EXPIRY_SECONDS
        return {
            domain: named.info
            for domain, named in self._owners.items()
            if named.named_at >= oldest
        }

    def elect_owner(self) -> None:
        """Name the owner of the own failure domain, for those that aggregate in it.

        It is the first of the routers that don't aggregate: both aggregators hear all
        of them, so that both name the same one, and the work is spread. One that is
        stopping is followed by the next while it still answers, and so is one that
        answers most of them late.
        """
        domain = self._own.failure_domain
        aggregators = self.aggregators(failure_domain=domain)
        near = [peer for peer in self.alive if peer.info.failure_domain == domain]
        self._record_late_owner(domain_peers=near)
        members = [
            peer.info
            for peer in near
            if peer.info not in aggregators and not peer.report.leaving
        ]
        in_time = [name for name in members if name.router not in self._late_owners]
        self._record_owner(min(in_time or members, key=_rank, default=aggregators[0]))

    def _record_late_owner(self, *, domain_peers: Sequence[Peer]) -> None:
        """Note the owner as late if most routers of its failure domain find it so."""
        now = self._clock()
        self._late_owners = {
            router: at
            for router, at in self._late_owners.items()
            if now - at <= LATE_OWNER_COOLDOWN_SECONDS
        }
        owner = self._owners.get(self._own.failure_domain)
        if owner is None:
            return
        router = owner.info.router
        finding = sum(router in peer.report.silent_owners for peer in domain_peers)
        if router not in self._late_owners and finding > LATE_OWNER_QUORUM * len(
            domain_peers
        ):
            self._late_owners[router] = now
            log.warning(
                "owner_late", router=router, found_by=finding, routers=len(domain_peers)
            )

    def expect_reports(self, *, routers: frozenset[RouterId]) -> None:
        """Note which routers are expected to report from now on."""
        now = self._clock()
        for router in tuple(self._expected):
            if router not in routers and not self._is_unresponsive(router):
                del self._expected[router]
        for router in routers:
            self._expected.setdefault(router, now)

    def receive(self, *, report: PeerReport, address: Address) -> bool:
        """Take in a report.

        Returns:
            Whether it is news; an older one of the same process is not.
        """
        now = self._clock()
        known = self._peers.get(report.router)
        if known is not None and _is_repeated(known=known.report, report=report):
            return False
        if known is None or not known.alive:
            log.info(
                "peer_regained" if known else "peer_found",
                router=report.router,
                address=str(address),
                incarnation=report.incarnation,
            )
        self._peers[report.router] = Peer(
            info=_sender_info(report=report, address=address, known=known),
            report=report,
            received_at=now,
        )
        for name in report.peers:
            if name.router != self._own.router:
                self._named[name.router] = _NamedPeer(info=name, named_at=now)
        for name in report.owners:
            self._record_owner(name)
        return True

    def knows_process(self, *, report: PeerReport) -> bool:
        """Tell whether the process that sent a report was heard of before."""
        known = self._peers.get(report.router)
        return known is not None and known.report.incarnation == report.incarnation

    def unreached_targets(self) -> list[Address]:
        """Addresses of routers that are not heard and are due for a report now."""
        quiet = {name.address for name in self._known_peers()} | self._seeds
        return self._due_targets(quiet - {peer.address for peer in self.alive})

    def unresponsive_targets(self) -> list[Address]:
        """Addresses that do not answer and are due for a report now.

        Without any router that answers the seeds are tried.
        """
        silent = {
            name.address
            for name in self._known_peers()
            if self._is_unresponsive(name.router)
        }
        return self._due_targets(silent if self.alive else silent | self._seeds)

    def update_liveness(self) -> None:
        """Note who has fallen silent, and forget those that long have."""
        now = self._clock()
        for router, peer in tuple(self._peers.items()):
            silent = now - peer.received_at
            if peer.alive and silent > PEER_TIMEOUT_SECONDS:
                peer.alive = False
                log.warning("peer_lost", router=router, silent_for=round(silent, 3))
            if silent > PEER_EXPIRY_SECONDS:
                del self._peers[router]
                self._named.pop(router, None)
                self._attempts.pop(peer.address, None)
        for router, named in tuple(self._named.items()):
            if now - named.named_at > PEER_EXPIRY_SECONDS:
                del self._named[router]
        for router in self._expected.keys() - self._peers.keys() - self._named.keys():
            del self._expected[router]

    def _record_owner(self, name: PeerInfo) -> None:
        known = self._owners.get(name.failure_domain)
        if known is None or known.info != name:
            log.info(
                "owner_named",
                failure_domain=name.failure_domain,
                router=name.router,
                before=known.info.router if known is not None else "",
            )
        self._owners[name.failure_domain] = _NamedPeer(
            info=name, named_at=self._clock()
        )

    def _due_targets(self, addresses: Iterable[Address]) -> list[Address]:
        due = [address for address in sorted(addresses) if self._is_due(address)]
        for address in due:
            self._attempts.setdefault(address, _Attempts()).record(at=self._clock())
        return due

    def _is_due(self, address: Address) -> bool:
        tries = self._attempts.get(address)
        return tries is None or self._clock() - tries.sent_at >= tries.backoff

    def _known_peers(self) -> list[PeerInfo]:
        """All other routers that are known of."""
        named = {router: each.info for router, each in self._named.items()}
        heard = {router: peer.info for router, peer in self._peers.items()}
        return list({**named, **heard}.values())

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

    def _is_unresponsive(self, router: RouterId) -> bool:
        """Tell whether a router has not reported since it was asked to."""
        asked_at = self._expected.get(router)
        if asked_at is None:
            return False
        peer = self._peers.get(router)
        heard_at = peer.received_at if peer is not None else asked_at
        return self._clock() - max(asked_at, heard_at) > PEER_TIMEOUT_SECONDS


def _rank(name: PeerInfo) -> Rank:
    return -name.link, _digest(name.router), name.router


@lru_cache(maxsize=MAX_CACHED_DIGESTS)
def _digest(router: RouterId) -> int:
    """Hash a name; each router is ranked many times a second."""
    return digest(text=router)


def _sender_info(
    *, report: PeerReport, address: Address, known: Peer | None
) -> PeerInfo:
    """Return how to reach the sender of a report, the same as before if it is."""
    name = PeerInfo(
        router=report.router,
        failure_domain=report.failure_domain,
        address=address,
        link=report.link,
    )
    return known.info if known is not None and known.info == name else name


def _is_repeated(*, known: PeerReport, report: PeerReport) -> bool:
    """Tell whether a report is no later than the last one of the same process."""
    same = known.incarnation == report.incarnation
    return same and report.sequence <= known.sequence
