"""The order of routers in which they take over roles; all routers compute the same."""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING, TypeAlias

from dotterelpaddle.placement.rendezvous import digest

if TYPE_CHECKING:
    from dotterelpaddle.ids import RouterId
    from dotterelpaddle.peers.report import PeerInfo

Rank: TypeAlias = "tuple[int, int, RouterId]"

MAX_CACHED_DIGESTS = 4096
"""Number of router ids whose hashes stay cached, 0.3 MB."""


def rank_of(info: PeerInfo) -> Rank:
    """Return the rank of a router; that of a better link comes first."""
    return -info.link, _digest(info.router), info.router


@lru_cache(maxsize=MAX_CACHED_DIGESTS)
def _digest(router: RouterId) -> int:
    """Hash a router id, cached since each rank is computed many times a second."""
    return digest(text=router)
