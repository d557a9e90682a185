"""Between messages on the wire and the values that deciders work with."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.placement.health import Availability
from dotterelpaddle.placement.interface import PlacementReason
from dotterelpaddle.placement.loads import Refresh
from dotterelpaddle.placement.messages import (
    EndpointFlag,
    EndpointLoad,
    EndpointMessage,
    MoveMessage,
    PermitReplyMessage,
    PermitRequestMessage,
    PermitStatus,
    RefreshMessage,
    ResultMessage,
    SummaryMessage,
)
from dotterelpaddle.placement.owner import Move
from dotterelpaddle.placement.rendezvous import tag
from dotterelpaddle.placement.shard_state import account_on_wire
from dotterelpaddle.placement.wishes import (
    Granted,
    Queued,
    RefusalCause,
    Refused,
    Verdict,
    Wish,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from dotterelpaddle.ids import EndpointId, RouterId
    from dotterelpaddle.placement.shard_state import ShardState

MAX_MOVES = 10
"""Moved chats that one message names."""

MAX_HANDED_MOVES = 80
"""Moved chats that an owner names to its successor, so that it fits a datagram."""

MAX_LISTED = 48
"""Endpoints that one summary names, so that it fits in a datagram."""

MAX_REPORTED = 64
"""Endpoints that one refresh names."""

MAX_OWNED = 8
"""Endpoints of the sender that one refresh names."""

RESULTS_INTERVAL = 2.0
"""Seconds between refreshes to an owner that carry results."""

_REASONS = tuple(PlacementReason)


def refresh_message(
    *,
    state: ShardState,
    owner: RouterId,
    endpoints: Iterable[EndpointId],
    boot: int,
    now: float,
    released: tuple[EndpointId, ...] = (),
    handed_over: Mapping[EndpointId, int] | None = None,
) -> RefreshMessage:
    """Tell an owner what this router has in flight at its endpoints.

    Args:
        state: The shard.
        owner: The owner.
        endpoints: The endpoints that it owns.
        boot: Random number of this process.
        now: Seconds on the monotonic clock.
        released: Endpoints that it owns no longer, as this router believes.
        handed_over: All load on endpoints that it owns since a moment ago, and
            that this router owned before.
    """
    names = tuple(endpoints)
    refresh = state.own.refresh()
    loads = {name: refresh.loads.get(name, 0) for name in names}
    state.count_reported(router=owner, loads=loads, now=now)
    return RefreshMessage(
        shard=state.shard.tag,
        boot=boot,
        sequence=refresh.sequence,
        last_request=refresh.last_request,
        open_requests=tuple(sorted(refresh.open_requests)),
        loads=_largest(loads=loads),
        owned=_owned(state=state, handed_over=handed_over or {}),
        results=_results(state=state, endpoints=names, owner=owner, now=now),
        moves=_moves_to_tell(state=state, handed_over=handed_over),
        released=tuple(tag(text=name) for name in released),
        starved=not all(state.knows(endpoint=name, now=now) for name in names),
    )


def read_refresh(*, message: RefreshMessage, state: ShardState) -> Refresh:
    """A router's load at the endpoints owned here; others are left out."""
    loads = {}
    for each in message.loads:
        name = state.name_of(endpoint=each.endpoint)
        if name is not None and name in state.owned:
            loads[name] = each.load
    return Refresh(
        sequence=message.sequence,
        last_request=message.last_request,
        open_requests=frozenset(message.open_requests),
        loads=loads,
    )


def permit_request(
    *, wish: Wish, refresh: RefreshMessage, now: float
) -> PermitRequestMessage:
    """Ask an owner for a permit."""
    return PermitRequestMessage(
        refresh=refresh,
        number=wish.number,
        account=int(wish.account, 16),
        share=wish.share,
        rank=wish.rank,
        affinity=wish.affinity,
        cost=wish.cost,
        prompt_tokens=wish.prompt_tokens,
        time_left=wish.deadline - now,
        excluded=tuple(tag(text=name) for name in wish.excluded),
        wait=wish.wait,
        hint=tag(text=wish.hint) if wish.hint is not None else 0,
        surging=wish.surging,
    )


def read_wish(
    *, message: PermitRequestMessage, router: RouterId, state: ShardState, now: float
) -> Wish:
    """The wish of another router, with its deadline on this router's clock."""
    excluded = {state.name_of(endpoint=endpoint) for endpoint in message.excluded}
    return Wish(
        router=router,
        number=message.number,
        account=account_on_wire(account=message.account),
        share=message.share,
        rank=message.rank,
        affinity=message.affinity,
        cost=message.cost,
        prompt_tokens=message.prompt_tokens,
        deadline=now + message.time_left,
        excluded=frozenset(name for name in excluded if name is not None),
        wait=message.wait,
        hint=state.name_of(endpoint=message.hint) if message.hint else None,
        surging=message.surging,
    )


def permit_reply(*, verdict: Verdict, shard: int, boot: int) -> PermitReplyMessage:
    """Answer a router."""
    number = verdict.wish.number
    match verdict:
        case Granted():
            return PermitReplyMessage(
                shard=shard,
                boot=boot,
                number=number,
                status=PermitStatus.GRANTED,
                reason=_REASONS.index(verdict.reason),
                endpoint=tag(text=verdict.endpoint.name),
                load=verdict.load,
                mean=round(verdict.mean),
                seconds=verdict.waited,
            )
        case Queued():
            return PermitReplyMessage(
                shard=shard,
                boot=boot,
                number=number,
                status=PermitStatus.QUEUED,
                seconds=verdict.expected,
            )
        case Refused():
            overloaded = verdict.cause is RefusalCause.OVERLOADED
            return PermitReplyMessage(
                shard=shard,
                boot=boot,
                number=number,
                status=PermitStatus.OVERLOADED
                if overloaded
                else PermitStatus.NO_ENDPOINT,
                seconds=verdict.retry_after,
            )


def read_reply(
    *, message: PermitReplyMessage, wish: Wish, state: ShardState, now: float
) -> Verdict | None:
    """An owner's verdict, None if it names an endpoint unknown here."""
    match message.status:
        case PermitStatus.GRANTED:
            name = state.name_of(endpoint=message.endpoint)
            endpoint = (
                state.decider.chooser.endpoint(name=name) if name is not None else None
            )
            if endpoint is None or message.reason >= len(_REASONS):
                return None
            return Granted(
                wish=wish,
                endpoint=endpoint,
                reason=_REASONS[message.reason],
                load=message.load,
                mean=message.mean,
                waited=message.seconds,
                alternatives=state.decider.chooser.alternatives(
                    chosen=endpoint, cost=wish.cost, now=now
                ),
            )
        case PermitStatus.QUEUED:
            return Queued(wish=wish, expected=message.seconds)
        case PermitStatus.OVERLOADED:
            cause = RefusalCause.OVERLOADED
        case PermitStatus.NO_ENDPOINT:
            cause = RefusalCause.NO_ENDPOINT
    return Refused(wish=wish, cause=cause, retry_after=message.seconds)


def summary_message(
    *, state: ShardState, own: RouterId, boot: int, sequence: int, now: float
) -> SummaryMessage:
    """Tell all routers the loads of the endpoints that this router owns."""
    listed = tuple(
        EndpointMessage(
            endpoint=tag(text=name),
            load=state.decider.book.load(endpoint=name),
            flag=_flag(state=state, name=name, now=now),
        )
        for name in sorted(state.owned)[:MAX_LISTED]
    )
    return SummaryMessage(
        shard=state.shard.tag,
        boot=boot,
        sequence=sequence,
        owner=tag(text=own),
        endpoints=listed,
        queued=state.decider.queued,
        moves=_moves(state=state),
    )


def read_moves(*, moves: Iterable[MoveMessage], state: ShardState) -> list[Move]:
    """Moved chats, as far as their endpoints are known here."""
    found = []
    for move in moves:
        name = state.name_of(endpoint=move.endpoint)
        if name is not None:
            found.append(Move(tag=move.tag, endpoint=name))
    return found


def _moves_to_tell(
    *, state: ShardState, handed_over: Mapping[EndpointId, int] | None
) -> tuple[MoveMessage, ...]:
    """What a refresh says of moved chats; owners say it in their summaries."""
    if handed_over:
        return tuple(
            MoveMessage(tag=chat, endpoint=tag(text=name))
            for chat, name in state.away.recent(limit=MAX_HANDED_MOVES)
        )
    return () if state.owned else _moves(state=state)


def _moves(*, state: ShardState) -> tuple[MoveMessage, ...]:
    if state.rhythm.sparse:
        # All requests of a chat ask the owner of its home, who knows its moves.
        return ()
    return tuple(
        MoveMessage(tag=move.tag, endpoint=tag(text=move.endpoint))
        for move in state.decider.take_moves(limit=MAX_MOVES)
    )


def _largest(*, loads: dict[EndpointId, int]) -> tuple[EndpointLoad, ...]:
    present = [(name, load) for name, load in loads.items() if load > 0]
    present.sort(key=lambda each: each[1], reverse=True)
    return tuple(
        EndpointLoad(endpoint=tag(text=name), load=load)
        for name, load in present[:MAX_REPORTED]
    )


def _owned(
    *, state: ShardState, handed_over: Mapping[EndpointId, int]
) -> tuple[EndpointLoad, ...]:
    """What this router knows exactly, which every message spreads a little."""
    loads = dict(handed_over)
    for name in sorted(state.owned)[: max(MAX_OWNED - len(loads), 0)]:
        loads[name] = state.decider.book.load(endpoint=name)
    return tuple(
        EndpointLoad(endpoint=tag(text=name), load=load) for name, load in loads.items()
    )


def _results(
    *,
    state: ShardState,
    endpoints: tuple[EndpointId, ...],
    owner: RouterId,
    now: float,
) -> tuple[ResultMessage, ...]:
    report = state.report_to(router=owner)
    if now - report.results_at < RESULTS_INTERVAL:
        return ()
    report.results_at = now
    return tuple(
        ResultMessage(
            endpoint=tag(text=name),
            succeeded=result.succeeded,
            failed=result.failed,
            milliseconds=round(result.seconds * 1000 / max(result.succeeded, 1)),
        )
        for name, result in state.own.take_results(endpoints=endpoints).items()
    )


def _flag(*, state: ShardState, name: EndpointId, now: float) -> EndpointFlag:
    match state.health.availability(name=name, now=now):
        case Availability.SERVING | Availability.UNREACHABLE:
            # Other routers may well reach what this one can't.
            new = state.health.is_new(name=name, now=now)
            return EndpointFlag.NEW if new else EndpointFlag.SERVING
        case Availability.LEAVING:
            return EndpointFlag.LEAVING
        case Availability.EJECTED | Availability.DAMPED:
            return EndpointFlag.EJECTED
