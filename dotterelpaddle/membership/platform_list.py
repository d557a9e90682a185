"""The join with the platform's lagging list of hosts.

The list introduces members that rumours have not brought, and confirms the
death of members that do not answer. It never takes away one that answers.
While the platform is down, the membership goes on without it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.backing.interface import Host, HostState
from dotterelpaddle.exceptions import PlatformError
from dotterelpaddle.ids import FailureDomain
from dotterelpaddle.logs import get_logger
from dotterelpaddle.membership.bridges import bridges_to
from dotterelpaddle.membership.view import MemberState

if TYPE_CHECKING:
    import random

    from dotterelpaddle.address import Address
    from dotterelpaddle.backing.interface import HostList
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.ids import RouterId
    from dotterelpaddle.membership.beliefs import Beliefs
    from dotterelpaddle.membership.settings import MembershipSettings

log = get_logger(name=__name__)

CALL_TIMEOUT = 2.0
"""Seconds that a call to the platform may take."""

POLLERS = 2
"""Members of a failure domain that read the list often."""

POLLER_TOPIC = "platform hosts"
"""What pollers are chosen by."""

ABSENCES = 2
"""Reads without a silent member that confirm its death."""


class PlatformList:
    """Reads the platform's list and keeps this member on it.

    Args:
        beliefs: What this member believes.
        hosts: The platform's list.
        settings: Intervals.
        source: Random numbers.
    """

    def __init__(
        self,
        *,
        beliefs: Beliefs,
        hosts: HostList,
        settings: MembershipSettings,
        source: random.Random,
    ) -> None:
        self._beliefs = beliefs
        self._hosts = hosts
        self._settings = settings
        self._source = source
        self._listed: tuple[Host, ...] = ()
        self._attempted = False
        self._read = False
        self._ever_listed: set[RouterId] = set()
        self._absences: dict[RouterId, int] = {}
        self._asked_to_leave = False

    @property
    def attempted(self) -> bool:
        """Whether the platform was asked at least once, with any result."""
        return self._attempted

    @property
    def asked_to_leave(self) -> bool:
        """Whether the platform lists this host as leaving on its own account."""
        return self._asked_to_leave

    def strangers(self) -> tuple[Address, ...]:
        """Addresses of listed hosts that are not members here, or are dead."""
        return tuple(
            host.address for host in self._listed if self._is_stranger(host=host)
        )

    async def follow(self, clock: Clock) -> None:
        """Read the list now and then, until cancelled."""
        while True:
            await self._read_once(now=clock())
            await anyio.sleep(self._interval() * (0.75 + self._source.random() / 2))

    async def register(self) -> bool:
        """Put this member on the list in its present state.

        Returns:
            Whether the platform took it.
        """
        own = self._beliefs.own
        is_leaving = own.state is MemberState.LEAVING
        host = Host(
            router=own.router,
            address=own.address,
            failure_domain=own.failure_domain,
            state=HostState.LEAVING if is_leaving else HostState.LIVE,
        )
        try:
            with anyio.fail_after(CALL_TIMEOUT):
                await self._hosts.register(host=host)
        except (PlatformError, TimeoutError) as error:
            log.info("membership_register_failed", error=repr(error))
            return False
        return True

    async def deregister(self) -> None:
        """Take this member off the list."""
        try:
            with anyio.fail_after(CALL_TIMEOUT):
                await self._hosts.deregister(router=self._beliefs.own.router)
        except (PlatformError, TimeoutError) as error:
            log.info("membership_deregister_failed", error=repr(error))

    async def _read_once(self, *, now: float) -> None:
        try:
            with anyio.fail_after(CALL_TIMEOUT):
                self._listed = await self._hosts.hosts()
        except (PlatformError, TimeoutError) as error:
            log.info("membership_list_failed", error=repr(error))
            self._attempted = True
            return
        self._attempted = True
        self._read = True
        await self._check_own()
        self._confirm_deaths(now=now)

    async def _check_own(self) -> None:
        own = self._beliefs.own
        state = next(
            (host.state for host in self._listed if host.router == own.router), None
        )
        self._asked_to_leave = (
            state is HostState.LEAVING and own.state is not MemberState.LEAVING
        )
        if state is None and own.state is MemberState.ALIVE:
            await self.register()

    def _confirm_deaths(self, *, now: float) -> None:
        """Bury silent members that were on the list and no longer are."""
        listed = {host.router for host in self._listed}
        known = self._beliefs.known()
        self._ever_listed &= {member.router for member in known}
        self._ever_listed |= listed
        absent = {}
        for member in known:
            silent = member.state in (MemberState.SUSPECT, MemberState.UNREACHABLE)
            if not silent or member.router in listed:
                continue
            if member.router in self._ever_listed:
                absent[member.router] = self._absences.get(member.router, 0) + 1
        self._absences = absent
        for router, count in absent.items():
            if count >= ABSENCES:
                self._beliefs.confirm_death(router=router, now=now)

    def _is_stranger(self, *, host: Host) -> bool:
        if host.router == self._beliefs.own.router or host.state is HostState.LEAVING:
            return False
        member = self._beliefs.statement(router=host.router)
        return member is None or member.state is MemberState.DEAD

    def _interval(self) -> float:
        own = self._beliefs.own.router
        routers = (own, *self._beliefs.roster.near)
        pollers = bridges_to(
            failure_domain=FailureDomain(POLLER_TOPIC), members=routers, count=POLLERS
        )
        if own in pollers or not self._read:
            return self._settings.poll_interval
        return self._settings.slow_poll_interval
