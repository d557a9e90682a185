"""Names of parts by the role that they play while the scenario runs."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from dotterelpaddle.backing.interface import TableName
from dotterelpaddle.exceptions import ScenarioError
from dotterelpaddle.ids import EndpointId
from dotterelpaddle.leases import row

if TYPE_CHECKING:
    from dotterelpaddle.fleet.fleet import Fleet

OF = " of "
ORDERS_LEASE = "orders/"


class RoleKind(Enum):
    """Roles that routers play."""

    OWNER = "owner"
    HOLDER = "holder"


@dataclass(frozen=True, kw_only=True, slots=True)
class Role:
    """A role, written as `owner of ENDPOINT` or `holder of POOL`.

    Attributes:
        kind: Which role.
        of: For what it is played.
    """

    kind: RoleKind
    of: str

    @classmethod
    def parse(cls, *, text: str) -> Role | None:
        """Read a role; None if the text is a plain name."""
        kind, separator, subject = text.partition(OF)
        known = {each.value: each for each in RoleKind}
        if not separator or kind not in known:
            return None
        return cls(kind=known[kind], of=subject)


def player_of(fleet: Fleet, name: str) -> str:
    """Return the part that a name means now.

    Raises:
        ScenarioError: If nobody plays the role.
    """
    role = Role.parse(text=name)
    if role is None:
        return fleet.aliases.get(name, name)
    match role.kind:
        case RoleKind.OWNER:
            player = _owner(fleet=fleet, endpoint=EndpointId(role.of))
        case RoleKind.HOLDER:
            player = find_holder(fleet=fleet, pool=role.of)
    if not player:
        raise ScenarioError(f"there is no {name} now")
    return player


def _owner(*, fleet: Fleet, endpoint: EndpointId) -> str:
    """Find the router that decides who uses an endpoint, as most believe."""
    for server in fleet.running.values():
        for state in server.placement.directory:
            if endpoint in state.owners:
                return state.owners[endpoint].router
    return ""


def find_holder(*, fleet: Fleet, pool: str) -> str:
    """Find the router that holds the lease of a pool's orders."""
    table = fleet.platform.tables[TableName.LEASES.value]
    rows = table.read(keys=(row.key_of(name=f"{ORDERS_LEASE}{pool}"),))
    holder = row.decode(rows=tuple(rows)).content.holder
    # A holder's name is its router's with a part that differs at each start.
    return next((name for name in fleet.routers if holder.startswith(name)), "")
