"""What a router does for the endpoints that it owns."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.logs import get_logger
from dotterelpaddle.placement.messages import (
    HandoverMessage,
    PermitRequestMessage,
    RefreshMessage,
)
from dotterelpaddle.placement.reporters import boot_of, reporter_of
from dotterelpaddle.placement.rhythm import SPARSE_SUMMARY_INTERVAL
from dotterelpaddle.placement.spread import audience, children
from dotterelpaddle.placement.translate import (
    MAX_MOVES,
    permit_reply,
    read_moves,
    read_refresh,
    read_wish,
    summary_message,
)

if TYPE_CHECKING:
    from dotterelpaddle.address import Address
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.control.interface import Channel
    from dotterelpaddle.ids import RouterId
    from dotterelpaddle.membership.view import View
    from dotterelpaddle.placement.directory import Directory
    from dotterelpaddle.placement.messages import ResultMessage
    from dotterelpaddle.placement.meters import Meters
    from dotterelpaddle.placement.settings import PlacementSettings
    from dotterelpaddle.placement.shard_state import ShardState
    from dotterelpaddle.placement.wishes import Verdict

log = get_logger(name=__name__)

SUMMARY_SPACING = 0.1
"""Seconds between the summaries of any two owners that a router passes on."""

IDLE_FACTOR = 2.0
"""Times longer that summaries of a shard without change are apart."""

MAX_REPORTERS = 4096
"""Routers whose addresses are kept."""


class OwnerDuties:
    """Counts, grants and reports for endpoints that this router owns.

    Args:
        channel: The way to other routers.
        directory: The shards.
        view: Members.
        own: This router.
        settings: Settings of placement.
        meters: Metrics of placement.
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
        meters: Meters,
        clock: Clock,
        boot: int,
    ) -> None:
        self._channel = channel
        self._directory = directory
        self._view = view
        self._own = own
        self._settings = settings
        self._meters = meters
        self._clock = clock
        self._boot = boot
        self._reporters: dict[Address, RouterId] = {}
        self._addresses: dict[RouterId, Address] = {}
        self._sequence = 0
        channel.subscribe(message=RefreshMessage, handler=self._on_refresh)
        channel.subscribe(message=HandoverMessage, handler=self._on_handover)
        channel.subscribe(message=PermitRequestMessage, handler=self._on_request)

    def settle(self, *, state: ShardState) -> None:
        """Serve what waits in a shard and deliver the verdicts."""
        # A queue may have been emptied while another request joined it; the verdicts
        # of those that waited are still to be told then.
        if not state.decider.unsettled:
            return
        for verdict in state.decider.settle(now=self._clock()):
            self._deliver(state=state, verdict=verdict)

    def send_due_summaries(self) -> None:
        """Send the summaries whose time has come."""
        now = self._clock()
        for state in self._directory.owned:
            if now >= state.summary_due:
                self._send_summary(state=state, now=now)

    def forget_departed(self) -> None:
        """Drop the addresses of routers that nobody counts any more."""
        if len(self._reporters) <= MAX_REPORTERS:
            return
        self._reporters.clear()
        self._addresses.clear()

    def _on_refresh(self, message: RefreshMessage, peer: Address) -> None:
        state = self._directory.find(tag=message.shard)
        if state is None:
            return
        router = self._router_of(message=message, peer=peer)
        self._take_refresh(state=state, message=message, router=router)
        # With many shards, routers learn loads from permits.
        hungry = message.starved and not state.rhythm.sparse
        if hungry and state.last_summary is not None:
            self._channel.send(peer=peer, message=state.last_summary)
        self.settle(state=state)

    def _on_handover(self, message: HandoverMessage, peer: Address) -> None:
        self._on_refresh(message.refresh, peer)

    def _on_request(self, message: PermitRequestMessage, peer: Address) -> None:
        state = self._directory.find(tag=message.refresh.shard)
        if state is None:
            return
        router = self._router_of(message=message.refresh, peer=peer)
        self._take_refresh(state=state, message=message.refresh, router=router)
        if not state.owned:
            return
        now = self._clock()
        wish = read_wish(message=message, router=router, state=state, now=now)
        verdict = state.decider.ask(wish=wish, now=now)
        if verdict is not None:
            self._deliver(state=state, verdict=verdict)
        self.settle(state=state)

    def _take_refresh(
        self, *, state: ShardState, message: RefreshMessage, router: RouterId
    ) -> None:
        now = self._clock()
        released = [state.name_of(endpoint=each) for each in message.released]
        state.decider.release(
            router=router,
            endpoints=[name for name in released if name is not None],
            now=now,
        )
        refresh = read_refresh(message=message, state=state)
        state.decider.refresh(router=router, refresh=refresh, now=now)
        self._hear_owned(state=state, message=message, now=now)
        moves = read_moves(moves=message.moves, state=state)
        few = len(moves) <= MAX_MOVES
        state.decider.hear_moves(moves=moves, pass_on=few)
        for result in message.results:
            self._take_result(state=state, result=result, now=now)

    def _hear_owned(
        self, *, state: ShardState, message: RefreshMessage, now: float
    ) -> None:
        """Take over what the sender knows of its own endpoints."""
        if not message.owned:
            return
        for each in message.owned:
            name = state.name_of(endpoint=each.endpoint)
            if name is None:
                continue
            if name in state.owned:
                state.decider.inherit(endpoint=name, load=each.load, now=now)
            else:
                state.hear_load(endpoint=name, load=each.load, now=now)
        state.count_heard(now=now)

    def _take_result(
        self, *, state: ShardState, result: ResultMessage, now: float
    ) -> None:
        name = state.name_of(endpoint=result.endpoint)
        if name is None:
            return
        for _ in range(result.failed):
            state.health.fail(name=name, now=now)
        latency = result.milliseconds / 1000
        for _ in range(result.succeeded):
            state.health.succeed(name=name, latency=latency, now=now)

    def _router_of(self, *, message: RefreshMessage, peer: Address) -> RouterId:
        """Name of a reporting process; a new process replaces the last one there."""
        router = reporter_of(peer=peer, boot=message.boot)
        before = self._reporters.get(peer)
        if before != router:
            self._reporters[peer] = router
            self._addresses[router] = peer
            self._replace(before=before)
        return router

    def _replace(self, *, before: RouterId | None) -> None:
        if before is None:
            return
        self._addresses.pop(before, None)
        for state in self._directory:
            state.decider.forget(router=before)

    def _deliver(self, *, state: ShardState, verdict: Verdict) -> None:
        wish = verdict.wish
        if wish.router == self._own:
            waiter = state.waiters.find(number=wish.number)
            if waiter is not None:
                waiter.answer(verdict=verdict)
            return
        peer = self._addresses.get(wish.router)
        if peer is None:
            return
        boot = boot_of(reporter=wish.router)
        reply = permit_reply(verdict=verdict, shard=state.shard.tag, boot=boot)
        self._channel.send(peer=peer, message=reply)

    def _send_summary(self, *, state: ShardState, now: float) -> None:
        version = (state.decider.book.version, state.health.version)
        idle = version == state.summarized
        state.summarized = version
        state.summary_due = now + self._interval(state=state, idle=idle)
        self._sequence += 1
        message = summary_message(
            state=state,
            own=self._own,
            boot=self._boot,
            sequence=self._sequence,
            now=now,
        )
        state.last_summary = message
        for member in children(
            own=self._own,
            owner=self._own,
            members=audience(state=state, view=self._view),
            sequence=self._sequence,
        ):
            self._channel.send(peer=member.address, message=message)
        self._meters.shard(
            shard=state.shard.name,
            queued=state.decider.queued,
            skew=state.decider.chooser.skew(now=now),
        )

    def _interval(self, *, state: ShardState, idle: bool) -> float:
        """Seconds to the next summary.

        Each router passes on the summaries of all owners of all shards, so the
        more there are, the more rarely each of them speaks.
        """
        near = len(state.peers()) + 1
        if state.rhythm.sparse:
            interval = SPARSE_SUMMARY_INTERVAL * near
            return interval * IDLE_FACTOR if idle else interval
        everywhere = sum(len(each.peers()) + 1 for each in self._directory)
        interval = max(
            self._settings.summary_interval * near, SUMMARY_SPACING * everywhere
        )
        return interval * IDLE_FACTOR if idle else interval
