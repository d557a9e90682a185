"""Determines the order in which a request gets a slot, and how long it may wait."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.ids import AccountId, Fingerprint
from dotterelpaddle.owners.request_options import Admission

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.exchange import ForwardExchange

MAX_WAIT_SHARE = 0.5
"""Longest wait, as a share of the route's latency objective; the rest of it is left for
the answer."""


def admission_of(*, exchange: ForwardExchange, now: float) -> Admission:
    """Return what decides when a request gets a slot.

    Args:
        exchange: The request, whose route is known.
        now: Seconds on the monotonic clock.
    """
    route, account = exchange.route, exchange.account
    assert route is not None
    time_left = max(0.0, exchange.deadline - now)
    objective = route.latency_objective or exchange.deadline - exchange.received_at
    waits_until = exchange.received_at + MAX_WAIT_SHARE * objective
    own_priority = account.priority if account is not None else None
    return Admission(
        rank=route.priority if own_priority is None else own_priority,
        account=AccountId("") if account is None else account.name,
        fingerprint=exchange.fingerprint or Fingerprint(""),
        max_wait=min(max(0.0, waits_until - now), time_left),
        time_left=time_left,
    )
