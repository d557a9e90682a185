"""What a router tells the owners of other endpoints, and hears of them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING

from dotterelpaddle.placement.due import LateOwners
from dotterelpaddle.placement.messages import (
    EndpointFlag,
    HandoverMessage,
    SummaryMessage,
)
from dotterelpaddle.placement.pace import Pace
from dotterelpaddle.placement.rendezvous import tag
from dotterelpaddle.placement.spread import audience, children
from dotterelpaddle.placement.translate import read_moves, refresh_message

if TYPE_CHECKING:
    from dotterelpaddle.address import Address
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.control.interface import Channel
    from dotterelpaddle.ids import EndpointId, RouterId
    from dotterelpaddle.membership.view import Member, View
    from dotterelpaddle.placement.directory import Directory
    from dotterelpaddle.placement.due import OwnerInShard
    from dotterelpaddle.placement.knowledge import Report
    from dotterelpaddle.placement.settings import PlacementSettings
    from dotterelpaddle.placement.shard_state import ShardState

MIN_INTERVAL = 0.05
"""Shortest time between two refreshes to an owner, seconds."""

BURST = 6.0
"""Refreshes that may be sent at once."""


class Urgency(IntEnum):
    """Which refreshes go first when the pace does not allow all."""

    BEGUN = 0
    CHANGED = 1
    KEEPALIVE = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class _Plan:
    """What an owner has to be told next, and when."""

    urgency: Urgency
    due: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _Due:
    """A refresh whose time has come."""

    urgency: Urgency
    since: float
    state: ShardState
    owner: Member
    endpoints: tuple[EndpointId, ...]


class Reporting:
    """Refreshes owners and takes in their summaries.

    Args:
        channel: The way to other routers.
        directory: The shards.
        view: Members.
        own: This router.
        settings: Settings of placement.
        clock: Monotonic clock.
        boot: Random number of this process.
    """

    def __init__(
        self,
        *,
        channel: Channel,
        directory: Directory,
        view: View,
        own: RouterId,
        settings: PlacementSettings,
        clock: Clock,
        boot: int,
    ) -> None:
        self._channel = channel
        self._directory = directory
        self._view = view
        self._own = own
        self._settings = settings
        self._clock = clock
        self._boot = boot
        self._pace = Pace(rate=settings.refreshes_per_second, burst=BURST, now=clock())
        self._late = LateOwners()
        channel.subscribe(message=SummaryMessage, handler=self._on_summary)

    def send_due_refreshes(self) -> None:
        """Send the refreshes whose time has come, the most urgent first."""
        now = self._clock()
        self._pace.follow(rate=self._directory.rhythm.refreshes_per_second, now=now)
        for owner in self._directory.due.take(now=now):
            due = self._find_due(owner=owner, now=now)
            if due is not None:
                self._late.put(owner=owner, urgency=due.urgency, since=due.since)
        while self._late and self._pace.is_ready(now=now):
            # It may have been told in the meantime, with a permit request.
            due = self._find_due(owner=self._late.pop(), now=now)
            if due is not None:
                self._pace.take(now=now)
                self._refresh(due=due, now=now)

    def hand_over(self) -> None:
        """Tell new owners what this router has counted on their endpoints."""
        now = self._clock()
        for state in self._directory:
            lost = {
                name: load
                for name, load in state.handed_over.items()
                if name not in state.owned
            }
            state.handed_over = {}
            if lost:
                self._hand_over(state=state, lost=lost, now=now)

    def introduce(self) -> None:
        """Tell new owners of this router's own load."""
        now = self._clock()
        for state in self._directory:
            for router in state.strangers:
                owner, endpoints = state.peers().get(router, (None, []))
                if owner is None:
                    continue
                message = refresh_message(
                    state=state,
                    owner=router,
                    endpoints=endpoints,
                    boot=self._boot,
                    now=now,
                )
                self._channel.send(
                    peer=owner.address, message=HandoverMessage(refresh=message)
                )
            state.strangers.clear()

    def leave_deposed(self) -> None:
        """Tell former owners that this router reports to others now."""
        now = self._clock()
        for deposed in self._directory.take_deposed():
            peers = deposed.state.peers()
            _, endpoints = peers.get(deposed.owner.router, (deposed.owner, []))
            message = refresh_message(
                state=deposed.state,
                owner=deposed.owner.router,
                endpoints=endpoints,
                boot=self._boot,
                now=now,
                released=deposed.endpoints,
            )
            self._channel.send(
                peer=deposed.owner.address, message=HandoverMessage(refresh=message)
            )

    def _hand_over(
        self, *, state: ShardState, lost: dict[EndpointId, int], now: float
    ) -> None:
        for owner, endpoints in state.peers().values():
            loads = {name: lost[name] for name in endpoints if name in lost}
            if not loads:
                continue
            message = refresh_message(
                state=state,
                owner=owner.router,
                endpoints=endpoints,
                boot=self._boot,
                now=now,
                handed_over=loads,
            )
            self._channel.send(
                peer=owner.address, message=HandoverMessage(refresh=message)
            )

    def _find_due(self, *, owner: OwnerInShard, now: float) -> _Due | None:
        """What is due to an owner now; what is due later is noted."""
        state = self._directory.find(tag=owner.shard)
        peer = state.peers().get(owner.router) if state is not None else None
        if state is None or peer is None:
            return None
        member, endpoints = peer
        report = state.report_to(router=owner.router)
        plan = self._plan(state=state, report=report, endpoints=endpoints)
        if plan is None:
            return None
        if plan.due > now:
            self._directory.due.schedule(owner=owner, due=plan.due)
            return None
        return _Due(
            urgency=plan.urgency,
            since=report.at,
            state=state,
            owner=member,
            endpoints=tuple(endpoints),
        )

    def _plan(
        self, *, state: ShardState, report: Report, endpoints: list[EndpointId]
    ) -> _Plan | None:
        """When an owner has to be told what next, None if it knows all."""
        own = state.own
        if own.begun_since(version=report.version, endpoints=endpoints):
            return _Plan(urgency=Urgency.BEGUN, due=report.at + MIN_INTERVAL)
        # An owner counts a permit until the request has ended, unasked. With few
        # shards it is told again, since that brings it news of this router too.
        news = own.ended_since if state.rhythm.sparse else own.changed_since
        if news(version=report.version, endpoints=endpoints):
            due = report.at + self._settings.refresh_interval
            return _Plan(urgency=Urgency.CHANGED, due=due)
        loaded = any(own.load(endpoint=name) > 0 for name in endpoints)
        # The word that all has ended is said again, because it may get lost.
        if loaded or report.unchanged < state.rhythm.repeats:
            return _Plan(
                urgency=Urgency.KEEPALIVE, due=report.at + state.rhythm.keepalive
            )
        return None

    def _refresh(self, *, due: _Due, now: float) -> None:
        message = refresh_message(
            state=due.state,
            owner=due.owner.router,
            endpoints=due.endpoints,
            boot=self._boot,
            now=now,
        )
        if not self._channel.send(peer=due.owner.address, message=message):
            due.state.forget_report(router=due.owner.router)

    def _on_summary(self, message: SummaryMessage, peer: Address) -> None:
        state = self._directory.find(tag=message.shard)
        if state is None:
            return
        if not state.is_news(
            owner=message.owner, boot=message.boot, sequence=message.sequence
        ):
            return
        owner = self._take_summary(state=state, message=message)
        if owner is not None:
            self._pass_on(state=state, owner=owner, message=message)

    def _take_summary(
        self, *, state: ShardState, message: SummaryMessage
    ) -> Member | None:
        """Take over a summary; return its sender if that is believed an owner."""
        now = self._clock()
        sender = None
        for listed in message.endpoints:
            name = state.name_of(endpoint=listed.endpoint)
            owner = state.owners.get(name) if name is not None else None
            if name is None or owner is None:
                continue
            if name in state.owned:
                state.decider.inherit(endpoint=name, load=listed.load, now=now)
                continue
            if tag(text=owner.router) != message.owner:
                continue
            sender = owner
            state.hear_load(
                endpoint=name, load=listed.load, now=now, queued=message.queued
            )
            self._take_flag(state=state, name=name, flag=listed.flag, now=now)
        state.count_heard(now=now)
        if not state.rhythm.sparse:
            moves = read_moves(moves=message.moves, state=state)
            state.decider.hear_moves(moves=moves, pass_on=False)
        return sender

    def _take_flag(
        self, *, state: ShardState, name: EndpointId, flag: EndpointFlag, now: float
    ) -> None:
        match flag:
            case EndpointFlag.LEAVING:
                until = now + self._settings.leaving_lifetime
                state.health.hear_leaving(name=name, until=until, now=now)
            case EndpointFlag.EJECTED:
                until = now + state.rhythm.ejected_lifetime
                state.health.hear_ejected(name=name, until=until)
            case EndpointFlag.SERVING:
                state.health.hear_staying(name=name, now=now)
            case EndpointFlag.NEW:
                state.health.hear_staying(name=name, now=now)
                state.health.hear_new(name=name, now=now)

    def _pass_on(
        self, *, state: ShardState, owner: Member, message: SummaryMessage
    ) -> None:
        for member in children(
            own=self._own,
            owner=owner.router,
            members=audience(state=state, view=self._view),
            sequence=message.sequence,
        ):
            self._channel.send(peer=member.address, message=message)
