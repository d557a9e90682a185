"""Baseline policies, to measure the owner policy against."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.placement.choice import Choice
from dotterelpaddle.placement.interface import PlacementReason
from dotterelpaddle.placement.policies import (
    LeastReportedPolicy,
    OwnerPolicy,
    Policy,
    RendezvousPolicy,
    RoundRobinPolicy,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelpaddle.ids import EndpointId
    from dotterelpaddle.placement.shard_state import ShardState
    from dotterelpaddle.placement.wishes import Wish


def choose_baseline(
    *,
    policy: Policy,
    state: ShardState,
    wish: Wish,
    reported: Mapping[EndpointId, float],
    now: float,
) -> Choice | None:
    """Choose an endpoint as a baseline would, None if there is none.

    Args:
        policy: The baseline.
        state: The shard.
        wish: What is to be placed.
        reported: Load by each endpoint's last report.
        now: Seconds on the monotonic clock.
    """
    chooser = state.decider.chooser
    usable = [
        endpoint
        for name, endpoint in chooser.serving(now=now).items()
        if name not in wish.excluded
    ]
    if not usable:
        return None
    match policy:
        case RoundRobinPolicy():
            chosen = usable[wish.number % len(usable)]
            return Choice(endpoint=chosen, reason=PlacementReason.ROUND_ROBIN)
        case RendezvousPolicy():
            home = next(chooser.ranked(wish=wish, now=now))
            return Choice(endpoint=home, reason=PlacementReason.HOME)
        case LeastReportedPolicy():
            lightest = min(
                usable,
                key=lambda endpoint: reported.get(endpoint.name, 0.0) / endpoint.weight,
            )
            return Choice(endpoint=lightest, reason=PlacementReason.LEAST_LOADED)
        case OwnerPolicy():
            raise AssertionError("the owner policy is no baseline")
