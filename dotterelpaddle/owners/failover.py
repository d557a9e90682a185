"""Who decides for a failure domain whose owner does not answer.

Routers that decide by themselves all see the same old counts, and send what they have
to the same endpoints. So they turn to one other owner, the same for all of them.
"""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from dotterelpaddle.ids import FailureDomain
    from dotterelpaddle.peers.messages import PeerInfo

MAX_OWNERS_ASKED = 3
"""Owners that may be asked in turn; each silent one costs a caller the wait for it."""


def failover_order(
    *, domain: FailureDomain, owners: Mapping[FailureDomain, PeerInfo]
) -> Sequence[PeerInfo]:
    """The owner of a failure domain, and those that decide there in its place, in turn.

    The owners of the failure domains that follow it by name: each one stands in for
    another domain.

    Args:
        domain: The failure domain.
        owners: All owners that are known.
    """
    domains = sorted(owners)
    first = bisect.bisect_left(domains, domain)
    return [
        owners[each] for each in (domains[first:] + domains[:first])[:MAX_OWNERS_ASKED]
    ]
