"""Which peers still have to be told of which changes; no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.ids import Revision

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelpaddle.address import Address
    from dotterelpaddle.catalog.settings import CatalogSettings

REFUSED_DELAY = 0.2
"""Seconds until a push is tried again that the byte budget refused."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PushOrder:
    """A push that is due.

    Attributes:
        peer: Whom to tell.
        base: The peer has everything up to this revision, as far as known.
        relay: Whether it passes the changes on.
    """

    peer: Address
    base: Revision
    relay: bool


@dataclass(kw_only=True, slots=True)
class _Duty:
    base: Revision
    target: Revision
    relay: bool
    due: float
    attempts: int = 0


class Spreader:
    """Keeps pushing changes to peers until they have them.

    A peer that does not answer is left to the digests after some attempts.

    Args:
        settings: How a router follows the records.
    """

    def __init__(self, *, settings: CatalogSettings) -> None:
        self._settings = settings
        self._known: dict[Address, Revision] = {}
        self._duties: dict[Address, _Duty] = {}

    @property
    def waiting(self) -> int:
        """Number of peers that have not said that they have all changes."""
        return len(self._duties)

    def known(self, *, peer: Address) -> Revision | None:
        """How far a peer said that it is, None if it never did."""
        return self._known.get(peer)

    def assign(
        self,
        *,
        peers: Iterable[Address],
        base: Revision,
        target: Revision,
        relay: bool,
        due: float,
    ) -> None:
        """Take on to tell peers of changes."""
        for peer in peers:
            if self._known.get(peer, Revision(0)) >= target:
                continue
            duty = self._duties.get(peer)
            if duty is None:
                self._duties[peer] = _Duty(
                    base=base, target=target, relay=relay, due=due
                )
                continue
            duty.base = min(duty.base, base)
            duty.target = max(duty.target, target)
            duty.relay = duty.relay or relay
            duty.due = min(duty.due, due)
            duty.attempts = 0

    def heard(self, *, peer: Address, revision: Revision) -> None:
        """Note how far a peer says that it is."""
        self._known[peer] = revision
        duty = self._duties.get(peer)
        if duty is not None and revision >= duty.target:
            del self._duties[peer]

    def take_due(self, *, now: float) -> tuple[PushOrder, ...]:
        """Take the pushes that are due; each comes again if not acknowledged."""
        orders = []
        for peer, duty in tuple(self._duties.items()):
            if duty.due > now:
                continue
            if duty.attempts >= self._settings.push_attempts:
                del self._duties[peer]
                continue
            duty.due = now + self._settings.push_retry * 2**duty.attempts
            duty.attempts += 1
            base = max(duty.base, self._known.get(peer, duty.base))
            orders.append(PushOrder(peer=peer, base=base, relay=duty.relay))
        return tuple(orders)

    def refused(self, *, peer: Address, now: float) -> None:
        """Note that the byte budget refused a push."""
        duty = self._duties.get(peer)
        if duty is not None:
            # What was not sent is no attempt.
            duty.attempts -= 1
            duty.due = now + REFUSED_DELAY

    def next_due(self) -> float | None:
        """Tell when the next push is due, None if there is none."""
        return min((duty.due for duty in self._duties.values()), default=None)

    def forget_others(self, *, peers: Iterable[Address]) -> None:
        """Forget all peers but some."""
        keep = set(peers)
        for table in (self._known, self._duties):
            for peer in tuple(table):
                if peer not in keep:
                    table.pop(peer, None)
