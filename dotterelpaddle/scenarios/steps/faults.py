"""Steps that cause faults of the network, the platform or endpoints."""

from __future__ import annotations

from typing import Literal

from pydantic import Field

from dotterelpaddle.scenarios.words import EVERYTHING, Names, Seconds, Share, Word
from dotterelpaddle.standins.faults import FaultKind  # noqa: TC001 - read by pydantic


class Cut(Word):
    """Let no packets pass between two sides, each a part or a failure domain.

    Attributes:
        between: The two sides; `all` stands for everything else.
    """

    between: tuple[str, str]

    @classmethod
    def short_field(cls) -> str:
        """Let a plain list name the sides."""
        return "between"


class Heal(Word):
    """Let packets pass again.

    Attributes:
        between: The two sides, or `all` for all cuts and losses.
    """

    between: Literal["all"] | tuple[str, str]

    @classmethod
    def short_field(cls) -> str:
        """Let a plain value name the sides."""
        return "between"


class Lose(Word):
    """Lose a share of the datagrams between routers.

    Attributes:
        share: The share.
        routers: The routers that lose them.
    """

    share: Share
    routers: Names = (EVERYTHING,)

    @classmethod
    def short_field(cls) -> str:
        """Let a plain number be the share."""
        return "share"


class Outage(Word):
    """Switch the platform's outage on or off.

    Attributes:
        down: Whether it is down.
    """

    down: bool

    @classmethod
    def short_field(cls) -> str:
        """Let a plain value switch it."""
        return "down"


class Slow(Word):
    """Make parts slow.

    Attributes:
        nodes: Endpoints or the platform.
        factor: Endpoints take this much longer; 1 is their usual speed.
        seconds: The platform takes this much longer for each call.
    """

    nodes: Names
    factor: float = Field(default=1.0, gt=0.0)
    seconds: Seconds = 0.0


class LoseAnswers(Word):
    """Let writes to the platform take effect while their answers are lost.

    Attributes:
        count: Number of writes, None for no end.
        share: Share of the writes.
    """

    count: int | None = Field(default=None, ge=1)
    share: Share = 1.0

    @classmethod
    def short_field(cls) -> str:
        """Let a plain number be the count."""
        return "count"


class LoseWrites(LoseAnswers):
    """Let writes to the platform get lost before they take effect."""


class Fault(Word):
    """Switch a fault of stand-ins on.

    Attributes:
        nodes: Endpoints or the platform.
        kind: What goes wrong.
        share: Share of the requests that it hits.
        count: Number of requests that it hits, None for no end.
        seconds: How long a slow or late answer takes longer.
    """

    nodes: Names
    kind: FaultKind
    share: Share = 1.0
    count: int | None = Field(default=None, ge=1)
    seconds: Seconds = 0.0


class Lag(Word):
    """Change how late things show.

    Attributes:
        hosts: Seconds until a change of the host list shows.
        events: Seconds until cache events show.
        event_loss: Share of cache events that never show.
    """

    hosts: Seconds | None = None
    events: Seconds | None = None
    event_loss: Share | None = None


class ListHost(Word):
    """Change the platform's host list, so that it disagrees with the routers.

    Attributes:
        router: Name of the host's router.
        state: What the list shall say of it.
    """

    router: str
    state: Literal["live", "leaving", "absent"]
