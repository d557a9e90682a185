"""Asking an endpoint's owner for a permit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.placement.messages import PermitReplyMessage
from dotterelpaddle.placement.translate import (
    permit_request,
    read_reply,
    refresh_message,
)

if TYPE_CHECKING:
    from dotterelpaddle.address import Address
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.control.interface import Channel
    from dotterelpaddle.ids import EndpointId, RouterId
    from dotterelpaddle.membership.view import Member
    from dotterelpaddle.placement.directory import Directory
    from dotterelpaddle.placement.settings import PlacementSettings
    from dotterelpaddle.placement.shard_state import ShardState
    from dotterelpaddle.placement.waiters import Waiter
    from dotterelpaddle.placement.wishes import Granted, Refused, Wish

ATTEMPTS = 2
"""Times that a permit request is sent without any answer."""

QUEUE_SLACK = 0.2
"""Seconds after the expected wait until a queued wish is asked about again."""

SILENCE = 0.5
"""Seconds for which an owner that did not answer is not asked again."""

MAX_SILENCE = 1.0
"""Longest time between questions about a queued wish, seconds."""


class RemoteOwner:
    """Asks owners and passes on their answers.

    Args:
        channel: The way to other routers.
        directory: The shards.
        settings: Settings of placement.
        clock: Monotonic clock.
        boot: Random number of this process.
    """

    def __init__(
        self,
        *,
        channel: Channel,
        directory: Directory,
        settings: PlacementSettings,
        clock: Clock,
        boot: int,
    ) -> None:
        self._channel = channel
        self._directory = directory
        self._attempt_timeout = settings.permit_timeout / ATTEMPTS
        self._clock = clock
        self._boot = boot
        self._silent_until: dict[RouterId, float] = {}
        channel.subscribe(message=PermitReplyMessage, handler=self._on_reply)

    async def ask(
        self, *, state: ShardState, wish: Wish, endpoint: EndpointId
    ) -> Granted | Refused | None:
        """Ask the owner of the endpoint where a request would go by its chat.

        Returns:
            Its verdict, or None if there is none in time; then decide locally.
        """
        owner = state.owners.get(endpoint)
        if owner is None or self._is_silent(owner=owner):
            return None
        with state.waiters.open(wish=wish) as waiter:
            return await self._converse(
                state=state, waiter=waiter, owner=owner, endpoint=endpoint
            )

    def _is_silent(self, *, owner: Member) -> bool:
        """Tell whether an owner has just left a request without answer."""
        return self._silent_until.get(owner.router, 0.0) > self._clock()

    async def _converse(
        self, *, state: ShardState, waiter: Waiter, owner: Member, endpoint: EndpointId
    ) -> Granted | Refused | None:
        silent = 0
        while silent < ATTEMPTS:
            holder = state.owners.get(endpoint)
            if holder is None or holder.router != owner.router:
                return None
            if not self._send(state=state, wish=waiter.wish, owner=owner):
                return None
            queued = await self._listen(waiter=waiter)
            if waiter.verdict is not None:
                return waiter.verdict
            silent = 0 if queued else silent + 1
        now = self._clock()
        self._silent_until[owner.router] = now + SILENCE
        _, endpoints = state.peers().get(owner.router, (owner, []))
        state.decider.doubt(endpoints=endpoints, now=now)
        return None

    async def _listen(self, *, waiter: Waiter) -> bool:
        """Wait for a verdict; tell whether the owner said that the wish waits."""
        await waiter.wait(timeout=self._attempt_timeout)
        queued = waiter.take_queued()
        if queued is None:
            return False
        while queued is not None and waiter.verdict is None:
            time_left = waiter.wish.deadline - self._clock()
            patience = min(queued.expected + QUEUE_SLACK, MAX_SILENCE, time_left)
            await waiter.wait(timeout=patience)
            queued = waiter.take_queued()
        return waiter.wish.deadline > self._clock()

    def _send(self, *, state: ShardState, wish: Wish, owner: Member) -> bool:
        now = self._clock()
        _, endpoints = state.peers()[owner.router]
        refresh = refresh_message(
            state=state,
            owner=owner.router,
            endpoints=endpoints,
            boot=self._boot,
            now=now,
        )
        message = permit_request(wish=wish, refresh=refresh, now=now)
        if self._channel.send(peer=owner.address, message=message):
            return True
        state.forget_report(router=owner.router)
        return False

    def _on_reply(self, message: PermitReplyMessage, peer: Address) -> None:
        state = self._directory.find(tag=message.shard)
        if state is None or message.boot != self._boot:
            return
        waiter = state.waiters.find(number=message.number)
        if waiter is None:
            return
        verdict = read_reply(
            message=message, wish=waiter.wish, state=state, now=self._clock()
        )
        if verdict is not None:
            waiter.answer(verdict=verdict)
