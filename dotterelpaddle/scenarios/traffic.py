"""Steps that send calls through the fleet."""

from __future__ import annotations

import time
from functools import partial
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.fleet.balancer import InTurn
from dotterelpaddle.fleet.calls import Caller
from dotterelpaddle.fleet.client import Answer, ChatCall, Message, ServiceCall
from dotterelpaddle.fleet.conversations import ConversationSizes, words
from dotterelpaddle.fleet.load import LoadPlan, LoadRun
from dotterelpaddle.fleet.measures import CacheWatch, SkewSampler
from dotterelpaddle.fleet.turns import CallKind, Turn
from dotterelpaddle.scenarios.faults import expand
from dotterelpaddle.scenarios.state import Work

if TYPE_CHECKING:
    from dotterelpaddle.address import Address
    from dotterelpaddle.fleet.shape import AccountShape
    from dotterelpaddle.scenarios.state import State
    from dotterelpaddle.scenarios.steps import Finish, Load, Send, Surge

PROMPT_TOKENS = 50
"""Length of the prompt of a single call."""

KINDS = {"chat": CallKind.CHAT, "stream": CallKind.STREAM}


async def start_load(*, state: State, step: Load) -> None:
    """Start returning chats in the background."""
    run = LoadRun(
        plan=_plan(step=step),
        shape=state.fleet.shape,
        entries=state.balancer,
        client=state.client,
        caches=CacheWatch(fleet=state.fleet),
    )
    skew = SkewSampler(fleet=state.fleet)
    work = Work(turns=run.turns, run=run, skew=skew)
    state.work[step.label] = work
    state.tasks.start_soon(_run_load, work, run, skew)


def surge(*, state: State, step: Surge) -> None:
    """Multiply the rate of one client account of a load."""
    run = state.work[step.of].run
    assert run
    run.surge(account=step.account, factor=step.factor)


async def finish(*, state: State, step: Finish) -> None:
    """Wait until calls or a load have ended."""
    work = state.work[step.of]
    if step.early and work.run:
        work.run.stop()
    await work.ended.wait()


async def send(*, state: State, step: Send) -> None:
    """Send single calls, all at once."""
    work = state.work.setdefault(step.label, Work())
    work.ended = anyio.Event()
    if step.background:
        state.tasks.start_soon(_send_all, state, step, work)
    else:
        await _send_all(state, step, work)


async def _run_load(work: Work, run: LoadRun, skew: SkewSampler) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(skew.watch)
        await run.run()
        tasks.cancel_scope.cancel()
    work.ended.set()


async def _send_all(state: State, step: Send, work: Work) -> None:
    async with anyio.create_task_group() as tasks:
        for number in range(step.count):
            tasks.start_soon(partial(_send_one, state, step, work, number))
    work.ended.set()


async def _send_one(state: State, step: Send, work: Work, number: int) -> None:
    account = _account(state=state, step=step, number=number)
    caller = Caller(
        shape=state.fleet.shape,
        entries=InTurn(addresses=_entries(state=state, step=step), first=number),
        client=state.client,
        caches=None,
        attempts=step.attempts,
        timeout=step.timeout,
        seed=number,
    )
    turn = Turn(
        account=account.name,
        kind=KINDS.get(step.kind, CallKind.SERVICE),
        key=step.key.replace("{number}", str(number)),
        sent_at=time.monotonic(),
        answer=Answer(),
    )
    patience = step.hang_up_after or float("inf")
    with anyio.move_on_after(patience):
        if step.kind == "service":
            call = _service_call(state=state, step=step, account=account, turn=turn)
            await caller.send_service(turn=turn, call=call)
        else:
            chat = _chat_call(state=state, step=step, account=account, number=number)
            await caller.send_chat(turn=turn, call=chat)
    work.turns.append(turn)


def _chat_call(
    *, state: State, step: Send, account: AccountShape, number: int
) -> ChatCall:
    chat = step.chat.replace("{number}", str(number))
    content = words(seed=f"{step.label}-{number}", count=PROMPT_TOKENS)
    return ChatCall(
        token=account.token if step.token is None else step.token,
        service=step.service or state.fleet.shape.engine_pool.service,
        chat=chat,
        messages=(Message(role="user", content=content),),
        max_tokens=step.tokens,
        stream=step.kind == "stream",
        timeout=step.timeout,
    )


def _service_call(
    *, state: State, step: Send, account: AccountShape, turn: Turn
) -> ServiceCall:
    return ServiceCall(
        token=account.token if step.token is None else step.token,
        service=step.service or state.fleet.shape.service_pool.service,
        path=f"items/{turn.key or id(turn)}",
        idempotency_key=turn.key,
        idempotent=step.idempotent,
        timeout=step.timeout,
    )


def _account(*, state: State, step: Send, number: int) -> AccountShape:
    accounts = state.fleet.shape.accounts
    if step.account:
        return state.fleet.shape.account(name=step.account)
    return accounts[number % len(accounts)]


def _entries(*, state: State, step: Send) -> tuple[Address, ...]:
    fleet = state.fleet
    names = expand(fleet=fleet, names=step.at)
    known = fleet.entries()
    return tuple(known[name] for name in names if name in known) or tuple(
        fleet.entry_of(router=name) for name in names if name in fleet.routers
    )


def _plan(*, step: Load) -> LoadPlan:
    return LoadPlan(
        requests=step.requests,
        rate=step.rate,
        chats=step.chats,
        stream_share=step.stream_share,
        service_share=step.service_share,
        keyed_share=step.keyed_share,
        attempts=step.attempts,
        timeout=step.timeout,
        sizes=ConversationSizes(first_prompt=step.first_prompt, answer=step.tokens),
        seed=step.seed,
    )
