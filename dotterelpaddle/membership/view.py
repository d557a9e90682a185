"""What other services see of the membership."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelpaddle.address import Address
    from dotterelpaddle.ids import EndpointId, FailureDomain, RouterId


class MemberState(Enum):
    """What this router believes of another one.

    UNREACHABLE is never told to others: it stands for a member whose failure
    domain can't be reached from this router's one, whatever its own state is.
    """

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    UNREACHABLE = "unreachable"
    DEAD = "dead"


@dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """A router of the fleet.

    Attributes:
        router: Its name.
        address: Its address for messages between routers.
        failure_domain: Where it is.
        state: What this router believes of it.
        incarnation: Number that only the member itself raises.
    """

    router: RouterId
    address: Address
    failure_domain: FailureDomain
    state: MemberState
    incarnation: int = 0


class View(Protocol):
    """This router's list of members; other routers' lists may differ."""

    @property
    def own(self) -> Member:
        """This router."""

    @property
    def version(self) -> int:
        """Grows with each change of the list, for caches built on it."""

    def members(self) -> tuple[Member, ...]:
        """All members neither dead nor unreachable, this router included."""

    def find(self, *, router: RouterId) -> Member | None:
        """One member by name."""


class EndpointCondition(Enum):
    """What routers tell each other of an endpoint."""

    OK = "ok"
    EJECTED = "ejected"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True, slots=True)
class EndpointRumour:
    """News of an endpoint that each router has to know within seconds.

    Attributes:
        endpoint: The endpoint.
        state: Its condition.
        version: Grows with each change; among two rumours of an endpoint the
            higher one wins. Milliseconds of the wall clock will do.
    """

    endpoint: EndpointId
    state: EndpointCondition
    version: int


class Fleet(View, Protocol):
    """The whole membership as background services use it."""

    @property
    def stale(self) -> bool:
        """Whether this router must not act on what it believes.

        True after a pause of the process or while it is cut off, until it has
        fetched the list of another member.
        """

    def known(self) -> tuple[Member, ...]:
        """All members, dead and unreachable ones included."""

    def on_change(self, *, handler: Callable[[], None]) -> None:
        """Call a function after each change of the list."""

    def spread(self, *, rumour: EndpointRumour) -> None:
        """Tell all routers of an endpoint's condition."""

    def on_rumour(self, *, handler: Callable[[EndpointRumour], None]) -> None:
        """Call a function for each rumour that is news here."""

    def rumours(self) -> tuple[EndpointRumour, ...]:
        """The newest rumour of each endpoint."""
