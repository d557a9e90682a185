"""All that a member believes, put together, without any input or output."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from dotterelpaddle.logs import get_logger
from dotterelpaddle.membership.bridges import Reports
from dotterelpaddle.membership.digest import Digests, bucket_of
from dotterelpaddle.membership.endpoints import EndpointRumours
from dotterelpaddle.membership.roster import Roster
from dotterelpaddle.membership.rumours import (
    DomainReport,
    RecentNews,
    Rumour,
    RumourQueue,
    topic_of,
)
from dotterelpaddle.membership.state import Effect, MemberTable
from dotterelpaddle.membership.view import EndpointRumour, Member, MemberState

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelpaddle.ids import FailureDomain, RouterId
    from dotterelpaddle.membership.settings import MembershipSettings


log = get_logger(name=__name__)


class Beliefs:
    """What a member believes of members, failure domains and endpoints.

    Args:
        own: This member.
        settings: Waiting times and counts.
        now: Seconds on the monotonic clock.
    """

    def __init__(
        self, *, own: Member, settings: MembershipSettings, now: float
    ) -> None:
        self._settings = settings
        self._table = MemberTable(
            own=own,
            suspicion=settings.suspicion,
            tombstone=settings.tombstone,
            now=now,
        )
        self._endpoints = EndpointRumours()
        self._reports = Reports()
        self._digests = Digests()
        self._queue = RumourQueue()
        self._recent = RecentNews()
        self._rumour_handlers: list[Callable[[EndpointRumour], None]] = []
        self._roster = Roster(own=own)
        self._version = 0
        self._computed = -1
        self._unreachable: frozenset[FailureDomain] = frozenset()
        self._members: tuple[Member, ...] = ()
        self._note(member=own)

    @property
    def own(self) -> Member:
        """This member."""
        return self._table.own

    @property
    def version(self) -> int:
        """Grows with each change."""
        return self._version

    @property
    def queue(self) -> RumourQueue:
        """Rumours that are still being told."""
        return self._queue

    @property
    def recent(self) -> RecentNews:
        """What was news here lately."""
        return self._recent

    @property
    def digests(self) -> Digests:
        """Digests of all that is believed."""
        return self._digests

    @property
    def unreachable(self) -> frozenset[FailureDomain]:
        """Failure domains that can't be reached from this one."""
        self._compute()
        return self._unreachable

    @property
    def roster(self) -> Roster:
        """The other members by place."""
        return self._roster

    def members(self) -> tuple[Member, ...]:
        """All members neither dead nor unreachable, this one included."""
        self._compute()
        return self._members

    def known(self) -> tuple[Member, ...]:
        """All members, dead and unreachable ones included."""
        return tuple(self._seen(member=member) for member in self._table.members())

    def find(self, *, router: RouterId) -> Member | None:
        """One member by name."""
        member = self._table.find(router=router)
        return None if member is None else self._seen(member=member)

    def statement(self, *, router: RouterId) -> Member | None:
        """The newest statement about a member, as it is told to others."""
        return self._table.find(router=router)

    def rumours(self) -> tuple[EndpointRumour, ...]:
        """The newest rumour of each endpoint."""
        return self._endpoints.all()

    def bridges(self, *, domain: FailureDomain) -> tuple[RouterId, ...]:
        """The members of the own failure domain that watch another one."""
        return self._roster.bridges(domain=domain, count=self._settings.bridges)

    def on_rumour(self, *, handler: Callable[[EndpointRumour], None]) -> None:
        """Call a function for each endpoint's rumour that is news."""
        self._rumour_handlers.append(handler)

    def take_in(
        self, *, rumours: tuple[Rumour, ...], now: float, pass_on: bool = True
    ) -> int:
        """Take in rumours.

        Args:
            rumours: The rumours.
            now: Seconds on the monotonic clock.
            pass_on: Whether to tell others what is news.

        Returns:
            How many were news.
        """
        news = 0
        for rumour in rumours:
            if not self._take_in(rumour=rumour, now=now):
                continue
            news += 1
            if pass_on:
                self._pass_on(rumour=rumour, now=now)
        return news

    def suspect(self, *, router: RouterId, now: float) -> None:
        """Note that a member did not answer, and tell others."""
        self._tell(member=self._table.suspect(router=router, now=now), now=now)

    def answered(self, *, router: RouterId, incarnation: int) -> None:
        """Note that a member answered."""
        self._table.answered(router=router, incarnation=incarnation)

    def confirm_death(self, *, router: RouterId, now: float) -> None:
        """Note that the platform holds a silent member for gone."""
        self._tell(member=self._table.confirm_death(router=router, now=now), now=now)

    def expire(self, *, now: float) -> tuple[Member, ...]:
        """Declare suspects dead whose time is over, and forget old dead ones."""
        dead = self._table.expire(now=now)
        for member in dead:
            self._tell(member=member, now=now)
        for member in self._table.forget(now=now):
            self._roster.remove(member=member)
        return dead

    def allow(self, *, patience: float) -> None:
        """Set how much longer than usual suspects have to refute."""
        self._table.suspicion = self._settings.suspicion * patience

    def postpone(self, *, seconds: float) -> None:
        """Give all suspects more time, after this process was paused."""
        self._table.postpone(seconds=seconds)

    def change_own(self, *, state: MemberState, now: float) -> None:
        """Change this member's own state, and tell others."""
        self._tell(member=self._table.change_own(state=state, now=now), now=now)

    def content(self, *, buckets: frozenset[int]) -> tuple[Rumour, ...]:
        """All that is believed on the topics of some buckets."""
        everything: tuple[Rumour, ...] = (
            *self._table.members(),
            *self._endpoints.all(),
        )
        return tuple(
            rumour
            for rumour in everything
            if bucket_of(topic=topic_of(rumour=rumour)) in buckets
        )

    def _take_in(self, *, rumour: Rumour, now: float) -> bool:
        match rumour:
            case Member():
                return self._take_in_member(statement=rumour, now=now)
            case EndpointRumour():
                return self._take_in_endpoint(rumour=rumour)
            case DomainReport():
                is_news = self._reports.apply(report=rumour)
                self._version += is_news
                return is_news

    def _take_in_member(self, *, statement: Member, now: float) -> bool:
        match self._table.apply(statement=statement, now=now):
            case Effect.ACCEPTED:
                self._note(member=statement)
                return True
            case Effect.REFUTED:
                self._warn_of_namesake(statement=statement)
                self._tell(member=self.own, now=now)
        return False

    def _take_in_endpoint(self, *, rumour: EndpointRumour) -> bool:
        if not self._endpoints.apply(rumour=rumour):
            return False
        content = f"{rumour.state.value}/{rumour.version}"
        self._digests.set(topic=topic_of(rumour=rumour), content=content)
        forgotten = self._endpoints.shrink()
        if forgotten is not None:
            self._digests.set(topic=topic_of(rumour=forgotten), content=None)
        self._hand_on(rumour=rumour)
        return True

    def _hand_on(self, *, rumour: EndpointRumour) -> None:
        for handler in self._rumour_handlers:
            try:
                handler(rumour)
            # The membership goes on, whatever a handler does.
            except Exception as error:
                log.error("membership_rumour_handler", error=repr(error))

    def _warn_of_namesake(self, *, statement: Member) -> None:
        if statement.address == self.own.address:
            return
        log.error(
            "membership_name_taken",
            router=statement.router,
            own=str(self.own.address),
            other=str(statement.address),
            hint="give each router a name of its own, or set the clock right",
        )

    def _tell(self, *, member: Member | None, now: float) -> None:
        if member is None:
            return
        self._pass_on(rumour=member, now=now)
        self._note(member=member)

    def _pass_on(self, *, rumour: Rumour, now: float) -> None:
        self._queue.put(rumour=rumour)
        if not isinstance(rumour, DomainReport):
            self._recent.put(rumour=rumour, now=now)

    def _note(self, *, member: Member) -> None:
        """Enter a changed member into the digests.

        Suspicion is left out, as it passes, and so are the dead, which members
        forget at different times.
        """
        self._version += 1
        self._roster.put(member=member)
        content: str | None = None
        match member.state:
            case MemberState.ALIVE | MemberState.SUSPECT:
                content = f"present/{member.incarnation}"
            case MemberState.LEAVING:
                content = f"leaving/{member.incarnation}"
        self._digests.set(topic=topic_of(rumour=member), content=content)

    def _seen(self, *, member: Member) -> Member:
        if member.state is MemberState.DEAD:
            return member
        if member.failure_domain not in self.unreachable:
            return member
        return replace(member, state=MemberState.UNREACHABLE)

    def _compute(self) -> None:
        """Derive what can be reached, after a change."""
        if self._computed == self._version:
            return
        self._computed = self._version
        self._unreachable = frozenset(
            domain
            for domain in self._roster.domains
            if not self._reports.is_reachable(
                domain=domain, bridges=self.bridges(domain=domain)
            )
        )
        self._members = (
            self.own,
            *self._roster.near.values(),
            *(
                member
                for domain in self._roster.domains - self._unreachable
                for member in self._roster.far(domain=domain).values()
            ),
        )
