"""Which other routers there are, as far as this one hears."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelpaddle.address import Address
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.ids import FailureDomain, RouterId
    from dotterelpaddle.peers.messages import PeerReport

log = get_logger(name=__name__)

ALIVE_TIME = 1.2
"""Seconds without a report after which a router counts as silent."""

HEARD_TIME = 0.7
"""Seconds without a report, three of them, after which a router may be cut off."""

FORGET_TIME = 30.0
"""Seconds without a report after which an address is not tried any more."""

SEED_TIME = 1.0
"""Seconds between reports to addresses that do not answer."""


@dataclass(kw_only=True, slots=True)
class Peer:
    """Another router.

    Attributes:
        address: Where it exchanges reports.
        report: Its last report.
        heard_at: When that came, seconds on the monotonic clock.
        alive: Whether it was heard of lately.
    """

    address: Address
    report: PeerReport
    heard_at: float
    alive: bool = True


class PeerDirectory:
    """The other routers.

    Args:
        own: This router's address for reports.
        seeds: Addresses of some routers, which may be out of date.
        clock: Monotonic clock.
    """

    def __init__(self, *, own: Address, seeds: Iterable[Address], clock: Clock) -> None:
        self._own = own
        self._clock = clock
        self._seeds = frozenset(seeds) - {own}
        self._peers: dict[RouterId, Peer] = {}
        self._candidates: dict[Address, float] = {}
        self._asked: dict[Address, float] = {}

    @property
    def alive(self) -> tuple[Peer, ...]:
        """Routers that are heard."""
        return tuple(peer for peer in self._peers.values() if peer.alive)

    @property
    def count(self) -> int:
        """Routers known of within the last half minute, this one included."""
        return 1 + len(self._peers)

    def heard_domains(self) -> dict[FailureDomain, bool]:
        """Tell by failure domain whether a report from any router has just come."""
        now = self._clock()
        heard: dict[FailureDomain, bool] = {}
        for peer in self._peers.values():
            domain = peer.report.failure_domain
            just = now - peer.heard_at < HEARD_TIME
            heard[domain] = heard.get(domain, False) or just
        return heard

    def hear(self, *, report: PeerReport, address: Address) -> bool:
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
        self._peers[report.router] = Peer(address=address, report=report, heard_at=now)
        for each in report.peers:
            if each != self._own:
                self._candidates.setdefault(each, now)
        return True

    def knows(self, *, report: PeerReport) -> bool:
        """Tell whether the process that sent a report was heard of before."""
        known = self._peers.get(report.router)
        return known is not None and known.report.incarnation == report.incarnation

    def targets(self) -> list[Address]:
        """Addresses that are due for a report now."""
        now = self._clock()
        self._note_silent(now=now)
        heard = [peer.address for peer in self._peers.values() if peer.alive]
        quiet = (self._seeds | self._candidates.keys()) - set(heard)
        due = [
            address
            for address in quiet
            if now - self._asked.get(address, -SEED_TIME) >= SEED_TIME
        ]
        self._asked.update(dict.fromkeys(due, now))
        return heard + due

    def _note_silent(self, *, now: float) -> None:
        for router, peer in tuple(self._peers.items()):
            silent = now - peer.heard_at
            if peer.alive and silent > ALIVE_TIME:
                peer.alive = False
                log.warning("peer_lost", router=router, silent_for=round(silent, 3))
            if silent > FORGET_TIME:
                del self._peers[router]
                self._candidates.pop(peer.address, None)
                self._asked.pop(peer.address, None)
            elif not peer.alive:
                self._candidates.setdefault(peer.address, now)


def _is_repeated(*, known: PeerReport, report: PeerReport) -> bool:
    """Tell whether a report is no later than the last one of the same process."""
    same = known.incarnation == report.incarnation
    return same and report.sequence <= known.sequence
