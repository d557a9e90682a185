"""Partitions between the nodes of a fleet, by name.

Rules are kept by name and turned into the cut addresses of each router's
links, so that a rule outlives the restart of a node at another port.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.links import Links

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelpaddle.address import Address
    from dotterelpaddle.ids import FailureDomain, RouterId

PLATFORM = "platform"
"""Name of the platform in rules; it is in no failure domain."""

EVERYTHING = "all"
"""In rules, as the second side: all nodes that are not on the first one."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Place:
    """Where a node can be reached.

    Attributes:
        name: Its name.
        failure_domain: Where it runs, None for the platform.
        addresses: All addresses it listens on.
    """

    name: str
    failure_domain: FailureDomain | None
    addresses: frozenset[Address]

    def answers_to(self, *, name: str) -> bool:
        """Tell whether a rule's name means this node."""
        return name in (self.name, self.failure_domain)


@dataclass(frozen=True, kw_only=True, slots=True)
class Cut:
    """No packets pass between two sides, each a node or a failure domain.

    Attributes:
        one: One side.
        other: The other side.
    """

    one: str
    other: str

    def parts(self, *, one: Place, other: Place) -> bool:
        """Tell whether the rule parts two nodes, in either order."""
        return self._crosses(one=one, other=other) or self._crosses(
            one=other, other=one
        )

    def _crosses(self, *, one: Place, other: Place) -> bool:
        if not one.answers_to(name=self.one):
            return False
        if self.other == EVERYTHING:
            return not other.answers_to(name=self.one)
        return other.answers_to(name=self.other)


class Partitions:
    """The partitions of a fleet, and the links of its routers.

    Args:
        seed: Seed of the generators that decide which datagrams are lost.
    """

    def __init__(self, *, seed: int = 0) -> None:
        self._seed = seed
        self._links: dict[RouterId, Links] = {}
        self._places: dict[str, Place] = {}
        self._cuts: set[Cut] = set()
        self._known: set[Address] = set()

    @property
    def links(self) -> Mapping[RouterId, Links]:
        """The links of each router."""
        return self._links

    @property
    def cuts(self) -> frozenset[Cut]:
        """The rules in force."""
        return frozenset(self._cuts)

    def links_of(self, *, router: RouterId) -> Links:
        """Return the links of a router, the same ones after a restart."""
        if router not in self._links:
            seed = self._seed + len(self._links)
            self._links[router] = Links(seed=seed)
        return self._links[router]

    def place(self, *, place: Place) -> None:
        """Say where a node listens now."""
        self._places[place.name] = place
        self._known |= place.addresses
        self._apply()

    def knows(self, *, name: str) -> bool:
        """Tell whether a name means a node or a failure domain."""
        return any(place.answers_to(name=name) for place in self._places.values())

    def cut(self, *, one: str, other: str) -> None:
        """Drop all packets between two sides; connections go silent."""
        self._cuts.add(Cut(one=one, other=other))
        self._apply()

    def heal(self, *, one: str, other: str) -> None:
        """Take back a cut."""
        self._cuts -= {Cut(one=one, other=other), Cut(one=other, other=one)}
        self._apply()

    def heal_all(self) -> None:
        """Take back all cuts and all loss of datagrams."""
        self._cuts.clear()
        self.lose(routers=tuple(self._links), share=0.0)
        self._apply()

    def lose(self, *, routers: tuple[RouterId, ...], share: float) -> None:
        """Lose a share of the datagrams of some routers, from 0 to 1."""
        for router in routers:
            self.links_of(router=router).set_loss(ratio=share)

    def isolate(self, *, name: str) -> None:
        """Cut a node from all other nodes and the platform."""
        for other in self._places:
            if other != name:
                self._cuts.add(Cut(one=name, other=other))
        self._apply()

    def rejoin(self, *, name: str) -> None:
        """Take back all cuts that name a node."""
        self._cuts = {cut for cut in self._cuts if name not in (cut.one, cut.other)}
        self._apply()

    def _apply(self) -> None:
        for router, links in self._links.items():
            own = self._places.get(router)
            wanted = self._cut_addresses(own=own) if own else frozenset()
            links.cut(peers=wanted)
            links.heal(peers=frozenset(self._known - wanted))

    def _cut_addresses(self, *, own: Place) -> frozenset[Address]:
        cut: set[Address] = set()
        for place in self._places.values():
            if place.name == own.name:
                continue
            if any(rule.parts(one=own, other=place) for rule in self._cuts):
                cut |= place.addresses
        return frozenset(cut)
