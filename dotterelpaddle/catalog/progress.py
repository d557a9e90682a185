"""How far other routers are, as far as they said."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelpaddle.address import Address
    from dotterelpaddle.ids import Revision


@dataclass(frozen=True, kw_only=True, slots=True)
class Heard:
    """What a router said last.

    Attributes:
        revision: Newest revision wholly in force there.
        at: When it said so, seconds on the monotonic clock.
    """

    revision: Revision
    at: float


class PeerProgress:
    """The revisions in force on other routers.

    The newest word counts, not the highest revision: a router that was
    restarted may be behind what its predecessor had.
    """

    def __init__(self) -> None:
        self._heard: dict[Address, Heard] = {}

    def note(self, *, peer: Address, revision: Revision, now: float) -> None:
        """Note what a router said."""
        self._heard[peer] = Heard(revision=revision, at=now)

    def heard(self, *, peer: Address) -> Heard | None:
        """What a router said last, None if nothing."""
        return self._heard.get(peer)

    def forget_others(self, *, peers: Iterable[Address]) -> None:
        """Forget all routers but some."""
        keep = set(peers)
        for peer in tuple(self._heard):
            if peer not in keep:
                del self._heard[peer]
