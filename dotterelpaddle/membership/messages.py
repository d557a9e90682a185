"""Messages between members."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.ids import RouterId
    from dotterelpaddle.membership.rumours import Rumour
    from dotterelpaddle.membership.view import Member


@dataclass(frozen=True, kw_only=True, slots=True)
class Ping:
    """Asks a member whether it is there.

    Attributes:
        sequence: Matches the answer to the probe.
        target: Who is meant; another process at its address keeps silent.
        sender: Who asks.
        incarnation: The sender's incarnation.
        digest: Digest of all that the sender knows.
        rumours: Rumours that travel along.
    """

    sequence: int
    target: RouterId
    sender: RouterId
    incarnation: int
    digest: int
    rumours: tuple[Rumour, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Ack:
    """Answers a ping.

    Attributes:
        sequence: The ping's.
        incarnation: The incarnation of the member that answers.
        digest: Digest of all that it knows.
        known: Whether it knows the asking member in its present incarnation.
        rumours: Rumours that travel along.
    """

    sequence: int
    incarnation: int
    digest: int
    known: bool
    rumours: tuple[Rumour, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class RelayRequest:
    """Asks a member to ping another one.

    Attributes:
        sequence: Matches the answer to the probe.
        target: Who is to be pinged.
    """

    sequence: int
    target: Member


@dataclass(frozen=True, kw_only=True, slots=True)
class RelayReply:
    """Tells that the target of a relay request answered.

    Attributes:
        sequence: The request's.
        incarnation: The incarnation of the member that answered.
    """

    sequence: int
    incarnation: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Gossip:
    """Carries rumours alone.

    Attributes:
        rumours: The rumours.
    """

    rumours: tuple[Rumour, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class SyncRequest:
    """Asks for what differs.

    Attributes:
        sender: The asking member, which is introduced by it.
        digests: Its digest of each bucket.
    """

    sender: Member
    digests: tuple[int, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class SyncReply:
    """Answers a sync request.

    Attributes:
        rumours: All that the answering member knows in buckets that differ.
        buckets: These buckets.
        complete: False if it has no byte budget left for all of this, and names
            only some members to ask instead.
    """

    rumours: tuple[Rumour, ...]
    buckets: tuple[int, ...]
    complete: bool = True
