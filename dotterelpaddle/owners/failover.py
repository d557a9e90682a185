"""The order in which routers ask owners if the first one does not answer.

Routers that decide locally all see the same stale counts, and send their requests to
the same endpoints. So they all fail over to the same other owner instead.
"""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from dotterelpaddle.ids import FailureDomain
    from dotterelpaddle.peers.report import PeerInfo

MAX_OWNERS_ASKED = 3
"""Owners that a router asks in turn. Each one that does not answer adds its timeout to
the latency of the caller."""


def failover_order(
    *, domain: FailureDomain, owners: Mapping[FailureDomain, PeerInfo]
) -> Sequence[PeerInfo]:
    """Return the owner of a failure domain and its fallback owners, in order.

    The fallbacks are the owners of the failure domains that follow by name, so each
    owner is the first fallback of a different domain.

    Args:
        domain: The failure domain.
        owners: All known owners.
    """
    domains = sorted(owners)
    first = bisect.bisect_left(domains, domain)
    return [
        owners[each] for each in (domains[first:] + domains[:first])[:MAX_OWNERS_ASKED]
    ]
