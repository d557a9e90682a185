"""Steps that handle parts of the fleet."""

from __future__ import annotations

from dotterelpaddle.scenarios.words import Names, Seconds, Word


class _Nodes(Word):
    """A step that is done to some parts of the fleet.

    Attributes:
        nodes: Their names.
    """

    nodes: Names

    @classmethod
    def short_field(cls) -> str:
        """Let a plain value name the parts."""
        return "nodes"


class Start(_Nodes):
    """Start parts that don't run."""


class Stop(_Nodes):
    """Shut parts down gracefully and wait for their ends."""


class Kill(_Nodes):
    """End parts at once."""


class Restart(_Nodes):
    """Stop parts gracefully and start them again, one after another.

    Attributes:
        ready_within: Seconds until a router must be ready before the next one.
    """

    ready_within: Seconds = 15.0


class Pause(_Nodes):
    """Freeze routers, so that they neither act nor answer."""


class Resume(_Nodes):
    """Let frozen routers go on."""


class Silence(_Nodes):
    """Let open connections to endpoints or the platform go silent for good."""


class Drop(_Nodes):
    """Reset open connections to endpoints or the platform."""


class Mend(_Nodes):
    """Switch all faults of stand-ins off."""


class Remember(Word):
    """Give a part a second name, such as to the holder of a lease of now.

    Attributes:
        node: The part.
        name: Its second name in later steps.
    """

    node: str
    name: str


class Wait(Word):
    """Let time pass, where time itself is what a fault needs.

    Attributes:
        seconds: How long.
    """

    seconds: Seconds

    @classmethod
    def short_field(cls) -> str:
        """Let a plain number be the seconds."""
        return "seconds"
