"""Messages between entry routers and the owners of endpoints."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.ids import AffinityKey


class PermitStatus(IntEnum):
    """What an owner answers to a permit request."""

    GRANTED = 0
    QUEUED = 1
    OVERLOADED = 2
    NO_ENDPOINT = 3


class EndpointFlag(IntEnum):
    """What an owner says of an endpoint in a summary."""

    SERVING = 0
    LEAVING = 1
    EJECTED = 2
    NEW = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class ResultMessage:
    """Results of attempts at an endpoint since the last refresh.

    Attributes:
        endpoint: Tag of the endpoint.
        succeeded: Attempts that went well.
        failed: Attempts that failed.
        milliseconds: Mean latency of those that went well.
    """

    endpoint: int
    succeeded: int
    failed: int
    milliseconds: int


@dataclass(frozen=True, kw_only=True, slots=True)
class MoveMessage:
    """A chat that lives away from its hash home.

    Attributes:
        tag: Tag of the chat.
        endpoint: Tag of the endpoint.
    """

    tag: int
    endpoint: int


@dataclass(frozen=True, kw_only=True, slots=True)
class EndpointLoad:
    """Load on an endpoint.

    Attributes:
        endpoint: Tag of the endpoint.
        load: Thousandths of a mean request.
    """

    endpoint: int
    load: int


@dataclass(frozen=True, kw_only=True, slots=True)
class RefreshMessage:
    """What a router has in flight at the endpoints of one owner.

    Attributes:
        shard: Tag of the shard.
        boot: Random number of the router's process.
        sequence: Grows with each refresh.
        last_request: Highest number of a permit request so far.
        open_requests: Permit requests without answer.
        loads: The router's own load.
        owned: All load on endpoints that the sender owns itself.
        results: Results of attempts.
        moves: Chats this router has sent elsewhere.
        released: Endpoints that the router reports to another owner from now on.
        starved: Whether the router lacks a fresh summary of the owner.
    """

    shard: int
    boot: int
    sequence: int
    last_request: int = 0
    open_requests: tuple[int, ...] = ()
    loads: tuple[EndpointLoad, ...] = ()
    owned: tuple[EndpointLoad, ...] = ()
    results: tuple[ResultMessage, ...] = ()
    moves: tuple[MoveMessage, ...] = ()
    released: tuple[int, ...] = ()
    starved: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class HandoverMessage:
    """A refresh that must not wait: owners of endpoints have changed.

    Attributes:
        refresh: The refresh, with what the sender has counted on endpoints that
            the receiver owns now, or with endpoints that it owns no longer.
    """

    refresh: RefreshMessage


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitRequestMessage:
    """A wish for a permit, with a refresh so that the owner counts exactly.

    Attributes:
        refresh: What the router has in flight.
        number: The router's number for this wish.
        account: Tag of the client account.
        share: The account's weight.
        rank: Priority rank.
        affinity: The chat's key, None where no cache matters.
        cost: Load in thousandths of a mean request.
        prompt_tokens: Length of the prompt.
        time_left: Seconds until the deadline.
        excluded: Tags of endpoints that were tried already.
        wait: Whether it may queue.
        hint: Tag of the endpoint where the chat lives away from home, 0 for none.
        surging: Whether the account is far over its share at the router.
    """

    refresh: RefreshMessage
    number: int
    account: int
    share: float
    rank: int
    affinity: AffinityKey | None
    cost: int
    prompt_tokens: int
    time_left: float
    excluded: tuple[int, ...] = ()
    wait: bool = True
    hint: int = 0
    surging: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class PermitReplyMessage:
    """An owner's answer to a permit request.

    Attributes:
        shard: Tag of the shard.
        boot: The asking router's boot number.
        number: The asking router's number for the wish.
        status: What was decided.
        reason: Position of the placement reason.
        endpoint: Tag of the endpoint, if granted.
        load: Its load before the request, thousandths.
        mean: The shard's mean load, thousandths.
        seconds: Time waited, expected to wait, or until a retry.
    """

    shard: int
    boot: int
    number: int
    status: PermitStatus
    reason: int = 0
    endpoint: int = 0
    load: int = 0
    mean: int = 0
    seconds: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class EndpointMessage:
    """What an owner says of an endpoint.

    Attributes:
        endpoint: Tag of the endpoint.
        load: Its load, thousandths of a mean request.
        flag: Whether it serves.
    """

    endpoint: int
    load: int
    flag: EndpointFlag


@dataclass(frozen=True, kw_only=True, slots=True)
class SummaryMessage:
    """The loads of an owner's endpoints, passed on from router to router.

    Attributes:
        shard: Tag of the shard.
        boot: Boot number of the owner.
        sequence: Grows with each summary of the owner.
        owner: Tag of the owner's router name.
        endpoints: The endpoints.
        queued: Requests that wait at the owner.
        moves: Chats that have moved lately.
    """

    shard: int
    boot: int
    sequence: int
    owner: int
    endpoints: tuple[EndpointMessage, ...]
    queued: int = 0
    moves: tuple[MoveMessage, ...] = ()
