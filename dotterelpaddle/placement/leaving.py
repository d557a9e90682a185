"""Getting the news of leaving endpoints around, whoever hears it first."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from dotterelpaddle.logs import get_logger
from dotterelpaddle.membership.view import EndpointCondition, EndpointRumour

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.ids import EndpointId
    from dotterelpaddle.membership.view import View
    from dotterelpaddle.placement.directory import Directory
    from dotterelpaddle.placement.probes import LoadSeen
    from dotterelpaddle.placement.settings import PlacementSettings
    from dotterelpaddle.placement.shard_state import ShardState
    from dotterelpaddle.placement.shards import Shard

log = get_logger(name=__name__)


class LeavingNews:
    """Joins what probes, refusals and other routers say of leaving endpoints.

    Args:
        view: The membership, which may carry rumours.
        directory: The shards.
        settings: Settings of placement.
        clock: Monotonic clock.
        on_leaving: Is called for an endpoint that has begun to leave.
    """

    def __init__(
        self,
        *,
        view: View,
        directory: Directory,
        settings: PlacementSettings,
        clock: Clock,
        on_leaving: Callable[[ShardState, EndpointId], None],
    ) -> None:
        self._directory = directory
        self._settings = settings
        self._clock = clock
        self._on_leaving = on_leaving
        self._draining: dict[Shard, frozenset[EndpointId]] = {}
        # A bare list of members, as in tests, carries no rumours.
        self._spread: Callable[..., Any] | None = getattr(view, "spread", None)
        subscribe = getattr(view, "on_rumour", None)
        if subscribe is not None:
            subscribe(handler=self._on_rumour)

    def follow_records(self) -> None:
        """Take in which endpoints are to drain by their records."""
        for state in self._directory.take_configured():
            draining = state.health.draining()
            for name in draining - self._draining.get(state.shard, frozenset()):
                self._on_leaving(state, name)
            self._draining[state.shard] = draining

    def saw_load(self, *, state: ShardState, seen: LoadSeen) -> None:
        """Take in an endpoint's own word."""
        if seen.draining:
            self.saw_leaving(state=state, name=seen.endpoint)
            return
        if state.health.hear_staying(name=seen.endpoint, now=self._clock()):
            self._tell(name=seen.endpoint, condition=EndpointCondition.OK)

    def saw_leaving(self, *, state: ShardState, name: EndpointId) -> None:
        """Take in that an endpoint refuses work because it is leaving."""
        if self._hear(state=state, name=name):
            self._tell(name=name, condition=EndpointCondition.LEAVING)

    def _on_rumour(self, rumour: EndpointRumour) -> None:
        state = self._find(name=rumour.endpoint)
        if state is None:
            return
        if rumour.state is EndpointCondition.LEAVING:
            self._hear(state=state, name=rumour.endpoint)
        elif rumour.state is EndpointCondition.OK:
            state.health.hear_staying(name=rumour.endpoint, now=self._clock())

    def _hear(self, *, state: ShardState, name: EndpointId) -> bool:
        now = self._clock()
        until = now + self._settings.leaving_lifetime
        news = state.health.hear_leaving(name=name, until=until, now=now)
        if news:
            log.info("placement_endpoint_leaving", endpoint=name)
            self._on_leaving(state, name)
        return news

    def _find(self, *, name: EndpointId) -> ShardState | None:
        for state in self._directory:
            if state.decider.chooser.endpoint(name=name) is not None:
                return state
        return None

    def _tell(self, *, name: EndpointId, condition: EndpointCondition) -> None:
        if self._spread is None:
            return
        version = time.time_ns() // 1_000_000
        self._spread(
            rumour=EndpointRumour(endpoint=name, state=condition, version=version)
        )
