"""Rumours, and the queue of those that are still being told."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.membership.view import EndpointRumour, Member

if TYPE_CHECKING:
    from dotterelpaddle.ids import FailureDomain, RouterId

MEMBER_SIZE = 44
"""Bytes of a member on the wire besides its names."""

REPORT_SIZE = 30
"""Bytes of a report or an endpoint's rumour besides its names."""

MIN_TRANSMISSIONS = 3
"""Times that a rumour is told at least, so that lost datagrams do not end it."""

RECENT = 10.0
"""Seconds for which news is recent."""

MAX_QUEUED = 4_096
"""Rumours that are told at the same time; the most told one goes first."""


@dataclass(frozen=True, kw_only=True, slots=True)
class DomainReport:
    """What a bridge says of a failure domain; told in its own one only.

    Attributes:
        bridge: The member that watches the other failure domain.
        failure_domain: The failure domain that it watches.
        reachable: Whether it answers.
        version: Grows with each report of the bridge.
    """

    bridge: RouterId
    failure_domain: FailureDomain
    reachable: bool
    version: int


Rumour = Member | EndpointRumour | DomainReport
"""What members tell each other."""


def topic_of(*, rumour: Rumour) -> str:
    """Name what a rumour is about; a newer one replaces it."""
    match rumour:
        case Member():
            return f"member/{rumour.router}"
        case EndpointRumour():
            return f"endpoint/{rumour.endpoint}"
        case DomainReport():
            return f"report/{rumour.bridge}/{rumour.failure_domain}"


def size_of(*, rumour: Rumour) -> int:
    """Estimate the bytes of a rumour on the wire."""
    match rumour:
        case Member():
            return MEMBER_SIZE + len(rumour.router) + len(rumour.failure_domain)
        case EndpointRumour():
            return REPORT_SIZE + len(rumour.endpoint)
        case DomainReport():
            return REPORT_SIZE + len(rumour.bridge) + len(rumour.failure_domain)


def transmissions(*, members: int, multiplier: float) -> int:
    """Tell how often each member passes a rumour on in a failure domain.

    Args:
        members: Members of the failure domain, this one included.
        multiplier: Times the logarithm of their number.
    """
    if members <= 1:
        return 0
    return max(MIN_TRANSMISSIONS, math.ceil(multiplier * math.log10(members + 1)))


@dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """How often a rumour is told.

    Attributes:
        near: Times in the own failure domain.
        wide: Times in other failure domains, all together.
    """

    near: int
    wide: int


@dataclass(kw_only=True, slots=True)
class _Queued:
    """A rumour on its way.

    Attributes:
        rumour: The rumour.
        near: How often it was told in the own failure domain.
        wide: How often it was told in others.
    """

    rumour: Rumour
    near: int = 0
    wide: int = 0

    def told(self, *, wide: bool) -> int:
        """How often it was told there."""
        return self.wide if wide else self.near

    def is_over(self, *, limits: Limits) -> bool:
        """Whether it was told often enough everywhere."""
        is_narrow = isinstance(self.rumour, DomainReport)
        return self.near >= limits.near and (is_narrow or self.wide >= limits.wide)


class RumourQueue:
    """Rumours that this member still passes on, least told first."""

    def __init__(self) -> None:
        self._queued: dict[str, _Queued] = {}
        self._limits = Limits(near=0, wide=0)

    def __len__(self) -> int:
        return len(self._queued)

    def limit(self, *, limits: Limits) -> None:
        """Set how often rumours are told; those told often enough are dropped."""
        if limits == self._limits:
            return
        self._limits = limits
        over = [
            topic
            for topic, queued in self._queued.items()
            if queued.is_over(limits=limits)
        ]
        for topic in over:
            del self._queued[topic]

    def put(self, *, rumour: Rumour) -> None:
        """Start to tell a rumour, in place of an older one on the same topic."""
        self._queued[topic_of(rumour=rumour)] = _Queued(rumour=rumour)
        if len(self._queued) > MAX_QUEUED:
            topic = max(self._queued, key=lambda each: self._queued[each].near)
            del self._queued[topic]

    def pick(self, *, room: int, wide: bool) -> tuple[Rumour, ...]:
        """Choose rumours for a message.

        Args:
            room: Bytes that they may take.
            wide: Whether the message leaves the failure domain.
        """
        limit = self._limits.wide if wide else self._limits.near
        waiting = [
            queued
            for queued in self._queued.values()
            if queued.told(wide=wide) < limit
            and not (wide and isinstance(queued.rumour, DomainReport))
        ]
        picked = []
        for queued in sorted(waiting, key=lambda each: each.told(wide=wide)):
            room -= size_of(rumour=queued.rumour)
            if room < 0:
                break
            picked.append(queued.rumour)
        return tuple(picked)

    def count(self, *, told: tuple[Rumour, ...], wide: bool) -> None:
        """Note that rumours were sent once more; drop those told often enough."""
        for rumour in told:
            topic = topic_of(rumour=rumour)
            queued = self._queued.get(topic)
            if queued is None or queued.rumour != rumour:
                continue
            queued.near += not wide
            queued.wide += wide
            if queued.is_over(limits=self._limits):
                del self._queued[topic]


class RecentNews:
    """What was news here lately, for members whose digest differs.

    Telling at random misses a few members. They are found by the digests on
    pings, and what they lack is most likely recent.
    """

    def __init__(self) -> None:
        self._news: OrderedDict[str, tuple[float, Rumour]] = OrderedDict()

    def put(self, *, rumour: Rumour, now: float) -> None:
        """Note what is news."""
        topic = topic_of(rumour=rumour)
        self._news[topic] = (now, rumour)
        self._news.move_to_end(topic)
        while self._news:
            oldest = next(iter(self._news))
            if self._news[oldest][0] + RECENT >= now:
                break
            del self._news[oldest]

    def pick(self, *, room: int, now: float) -> tuple[Rumour, ...]:
        """Choose the newest of the news."""
        picked = []
        for heard_at, rumour in reversed(self._news.values()):
            room -= size_of(rumour=rumour)
            if room < 0 or heard_at + RECENT < now:
                break
            picked.append(rumour)
        return tuple(picked)
