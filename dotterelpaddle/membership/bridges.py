"""Which members watch other failure domains, and what they conclude.

A few members of each failure domain are bridges to another one: those with the
highest rendezvous scores, so that all members agree without asking, but for
moments of change. A bridge never judges single members of the other failure
domain; these are looked after by their own neighbours. It only says whether
anyone there answers.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

from dotterelpaddle.membership.rumours import DomainReport

if TYPE_CHECKING:
    from dotterelpaddle.ids import FailureDomain, RouterId

VERSION_SHIFT = 16
"""Bits for the count of reports below the incarnation in a report's version."""

MIN_UNANSWERED = 3
"""Probes without an answer before a failure domain is reported."""

MAX_REPORTS = 1_024
"""Reports that are remembered; the oldest go first."""


def bridges_to(
    *, failure_domain: FailureDomain, members: tuple[RouterId, ...], count: int
) -> tuple[RouterId, ...]:
    """Choose the members that watch another failure domain."""
    return tuple(
        heapq.nlargest(
            count,
            members,
            key=lambda router: xxh3_64_intdigest(f"{failure_domain}/{router}".encode()),
        )
    )


@dataclass(kw_only=True, slots=True)
class _Watch:
    """What a bridge knows of the failure domain that it watches.

    Attributes:
        answered_at: When someone there answered last, or watching began.
        asked_at: When someone there was probed last, or watching began.
        unanswered: Probes since the last answer.
        answered: Whether someone answered since the last judgement.
        reachable: What was reported last.
    """

    answered_at: float
    asked_at: float
    unanswered: int = 0
    answered: bool = False
    reachable: bool = True


class Watcher:
    """The watch that this member keeps over other failure domains.

    Args:
        bridge: This member.
        interval: Seconds between probes of a failure domain that answers.
        retry_interval: Seconds between probes of one that does not.
        timeout: Seconds without an answer until a domain is unreachable.
    """

    def __init__(
        self,
        *,
        bridge: RouterId,
        interval: float,
        retry_interval: float,
        timeout: float,
    ) -> None:
        self._bridge = bridge
        self._interval = interval
        self._retry_interval = retry_interval
        self._timeout = timeout
        self._watches: dict[FailureDomain, _Watch] = {}
        self._reports = 0

    @property
    def watched(self) -> frozenset[FailureDomain]:
        """The failure domains that this member watches."""
        return frozenset(self._watches)

    def watch(
        self,
        *,
        domains: frozenset[FailureDomain],
        unreachable: frozenset[FailureDomain],
        now: float,
    ) -> frozenset[FailureDomain]:
        """Begin and end watches as members come and go.

        Args:
            domains: What this member has to watch.
            unreachable: Failure domains that are believed unreachable; a new
                watch starts from this belief.
            now: Seconds on the monotonic clock.

        Returns:
            The watches that began. Each has to be reported, as others may still
            hold a report of an earlier watch.
        """
        for domain in self._watches.keys() - domains:
            del self._watches[domain]
        begun = domains - self._watches.keys()
        for domain in begun:
            self._watches[domain] = _Watch(
                answered_at=now, asked_at=now, reachable=domain not in unreachable
            )
        return begun

    def due(self, *, now: float) -> frozenset[FailureDomain]:
        """Find failure domains to probe now; sooner where no answer came."""
        return frozenset(
            domain
            for domain, watch in self._watches.items()
            if now - watch.asked_at
            >= (self._retry_interval if watch.unanswered else self._interval)
        )

    def asked(self, *, domain: FailureDomain, now: float) -> None:
        """Note that a member there was pinged."""
        watch = self._watches.get(domain)
        if watch is not None:
            watch.asked_at = now
            watch.unanswered += 1

    def answered(self, *, domain: FailureDomain, now: float) -> None:
        """Note that a member there answered."""
        watch = self._watches.get(domain)
        if watch is not None:
            watch.answered_at = now
            watch.unanswered = 0
            watch.answered = True

    def postpone(self, *, now: float) -> None:
        """Start all waiting anew, after this process was paused."""
        for watch in self._watches.values():
            watch.answered_at = now
            watch.unanswered = 0

    def judge(self, *, now: float) -> frozenset[FailureDomain]:
        """Find failure domains whose reachability changed."""
        changed = set()
        for domain, watch in self._watches.items():
            if watch.reachable:
                silent = now - watch.answered_at >= self._timeout
                if silent and watch.unanswered >= MIN_UNANSWERED:
                    watch.reachable = False
                    changed.add(domain)
            elif watch.answered:
                watch.reachable = True
                changed.add(domain)
            watch.answered = False
        return frozenset(changed)

    def report(self, *, domain: FailureDomain, incarnation: int) -> DomainReport:
        """Make the report to tell the own failure domain."""
        self._reports += 1
        return DomainReport(
            bridge=self._bridge,
            failure_domain=domain,
            reachable=self._watches[domain].reachable,
            version=(incarnation << VERSION_SHIFT) + self._reports,
        )


class Reports:
    """The newest report of each bridge on each failure domain."""

    def __init__(self) -> None:
        self._newest: OrderedDict[tuple[RouterId, FailureDomain], DomainReport] = (
            OrderedDict()
        )

    def apply(self, *, report: DomainReport) -> bool:
        """Take in a report; False if it is not news."""
        key = (report.bridge, report.failure_domain)
        known = self._newest.get(key)
        if known is not None and known.version >= report.version:
            return False
        self._newest[key] = report
        self._newest.move_to_end(key)
        if len(self._newest) > MAX_REPORTS:
            self._newest.popitem(last=False)
        return True

    def is_reachable(
        self, *, domain: FailureDomain, bridges: tuple[RouterId, ...]
    ) -> bool:
        """Tell whether a failure domain is reachable.

        It is unless all present bridges to it say that it is not.
        """
        if not bridges:
            return True
        return any(
            self._is_reachable_by(bridge=bridge, domain=domain) for bridge in bridges
        )

    def _is_reachable_by(self, *, bridge: RouterId, domain: FailureDomain) -> bool:
        report = self._newest.get((bridge, domain))
        return report is None or report.reachable
