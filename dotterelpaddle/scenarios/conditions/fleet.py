"""Conditions of the parts of the fleet."""

from __future__ import annotations

from pydantic import Field

from dotterelpaddle.scenarios.words import EVERYTHING, Bound, Names, Word


class Ready(Word):
    """Routers say whether they take callers' requests.

    Attributes:
        routers: The routers.
        is_: Whether they should.
    """

    routers: Names = (EVERYTHING,)
    is_: bool = Field(default=True, alias="is")

    @classmethod
    def short_field(cls) -> str:
        """Let a plain value name the routers."""
        return "routers"


class Members(Word):
    """Routers believe so many routers to be alive.

    Attributes:
        seen_by: The routers whose lists are looked at.
        alive: Number of members that take part, suspects included.
        without: Members that must not be among them.
        including: Members that must be among them.
    """

    seen_by: Names = (EVERYTHING,)
    alive: Bound = Bound()
    without: tuple[str, ...] = ()
    including: tuple[str, ...] = ()


class Runs(Word):
    """Endpoints have run so much, by their own counts.

    Attributes:
        nodes: The endpoints.
        total: Runs since they started.
        since: Label of a mark from which to count, empty for the start.
        key: Idempotency key to count alone, empty for all.
    """

    nodes: Names
    total: Bound
    since: str = ""
    key: str = ""


class Idle(Word):
    """Endpoints have nothing in flight.

    Attributes:
        nodes: The endpoints.
    """

    nodes: Names

    @classmethod
    def short_field(cls) -> str:
        """Let a plain value name the endpoints."""
        return "nodes"


class Engine(Word):
    """An engine has something loaded, by its own account.

    Attributes:
        node: The engine.
        model: Its model.
        version: Version of the weights.
        adapters: Adapters that it has loaded.
        fencing: Highest fencing number that it obeyed.
        refused: Orders that it refused.
        obeyed: Orders that it obeyed.
        draining: Whether it refuses new work.
    """

    node: str
    model: str | None = None
    version: str | None = None
    adapters: tuple[str, ...] | None = None
    fencing: Bound = Bound()
    refused: Bound = Bound()
    obeyed: Bound = Bound()
    draining: bool | None = None


class Holder(Word):
    """Somebody holds the lease of a pool's orders.

    Attributes:
        pool: The pool.
        is_: Who must hold it, empty for anybody.
        is_not: Who must not hold it.
    """

    pool: str
    is_: str = Field(default="", alias="is")
    is_not: str = ""
