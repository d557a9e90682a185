"""Answers of sound endpoints that fall silent for a moment and go on."""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import anyio
import orjson
import pytest

from dotterelpaddle.dispatch.options import Bounds, DispatchOptions
from dotterelpaddle.fleet.client import ServiceCall
from dotterelpaddle.http_server import serve
from dotterelpaddle.pipeline import Outcome
from dotterelpaddle.standins.faults import FaultKind
from dotterelpaddle.tests.entry.harness import ANYWHERE, TOKEN, run_entry
from dotterelpaddle.tests.entry.test_faults import chat, expected, open_world

pytestmark = pytest.mark.anyio

LIMIT = Bounds(floor=0.2, initial=0.2, cap=0.2)
OPTIONS = DispatchOptions(first_byte=LIMIT, gap=LIMIT, probe_timeout=0.1)
NO_BUDGET = replace(OPTIONS, retry_share=0.0, retry_burst=0.0)
ONE_ATTEMPT = replace(OPTIONS, max_attempts=1)

SILENT_SECONDS = 1.0
"""Longer than an attempt waits before it is called silent."""

STEP_SECONDS = 0.002
"""Seconds of one step of the engines of `open_world`."""


async def call_once(entry, kind):
    """Send a request of a kind; return its answer and whether it is whole."""
    if kind == "service":
        call = ServiceCall(token=TOKEN, service="records", timeout=10.0)
        answer = await entry.client.service(router=entry.address, call=call)
        return answer, answer.completed
    call = chat(stream=kind == "stream")
    answer = await entry.client.chat(router=entry.address, call=call)
    return answer, answer.completed and answer.text == expected()


# Guards against an answer that is given up though no retry may follow: the budget is
# spent, all attempts are used up, or the second attempt at the only endpoint is silent.
@pytest.mark.parametrize("kind", ["stream", "chat", "service"])
@pytest.mark.parametrize(
    ("options", "endpoints", "silent_attempts"),
    [(NO_BUDGET, 1, 1), (NO_BUDGET, 2, 1), (ONE_ATTEMPT, 2, 2), (OPTIONS, 1, 2)],
    ids=["no_budget", "no_budget_of_two", "last_attempt", "only_endpoint"],
)
async def test_an_answer_outlasts_a_silence_before_it(
    kind, options, endpoints, silent_attempts
):
    world = open_world(engines=endpoints, services=endpoints, options=options)
    async with world as (entry, engines, services):
        standins = services if kind == "service" else engines
        # The service, which is asked first, is the first one of both.
        standins[0].faults.switch_on(
            kind=FaultKind.LATE, count=silent_attempts, seconds=SILENT_SECONDS
        )
        answer, whole = await call_once(entry, kind)
        assert whole, answer
        assert standins[0].faults.hits[FaultKind.LATE] == silent_attempts
        assert len(entry.placer.grants) == 1
        assert standins[0].runs.total == silent_attempts


async def fall_silent(engine):
    """Let an engine's next step take long, once it has generated some tokens."""
    while engine.batch.tokens_generated < 20:
        await anyio.sleep(STEP_SECONDS)
    engine.speed = STEP_SECONDS / SILENT_SECONDS
    while engine.batch.running:
        before = engine.batch.tokens_generated
        await anyio.sleep(SILENT_SECONDS / 4)
        if engine.batch.tokens_generated == before:
            break
    engine.speed = 1.0


async def cut_for_a_moment(entry, engine):
    """Cut the link to an engine once it has generated some tokens."""
    while engine.batch.tokens_generated < 20:
        await anyio.sleep(STEP_SECONDS)
    entry.links.cut(peers=frozenset({engine.address}))
    await anyio.sleep(SILENT_SECONDS)
    entry.links.heal()


# Guards against a stream that is cut in its middle for a retry without a budget.
async def test_a_stream_outlasts_a_silence_of_its_engine_without_a_budget():
    world = open_world(engines=1, services=0, options=NO_BUDGET)
    async with world as (entry, engines, _):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fall_silent, engines[0])
            answer = await entry.client.chat(
                router=entry.address, call=chat(tokens=200)
            )
        assert answer.completed, answer
        assert answer.text == expected(tokens=200)
        assert answer.offsets == list(range(200))
        assert engines[0].runs.total == 1
        assert not engines[0].runs.resumed


# Guards against a stream that is cut as its engine, the only one, can't be reached for
# a moment: the probe fails, and no other endpoint takes the request.
async def test_a_stream_outlasts_a_cut_link_to_the_only_engine():
    world = open_world(engines=1, services=0, options=OPTIONS)
    async with world as (entry, engines, _):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cut_for_a_moment, entry, engines[0])
            answer = await entry.client.chat(
                router=entry.address, call=chat(tokens=200)
            )
        assert answer.completed, answer
        assert answer.text == expected(tokens=200)
        assert answer.offsets == list(range(200))
        assert engines[0].runs.total == 1
        assert not engines[0].runs.resumed


class Scripted:
    """An endpoint that sends what a script says.

    Args:
        script: Given the request's id and a way to send, sends an answer.
    """

    def __init__(self, *, script: Any) -> None:
        self._script = script
        self.calls = 0

    async def __call__(self, scope, receive, send):
        self.calls += 1
        await self._script(dict(scope["headers"])[b"x-request-id"], send)


async def start(send, request_id, *headers, status=200):
    message: dict[str, Any] = {"type": "http.response.start", "status": status}
    message["headers"] = [(b"x-request-id", request_id), *headers]
    await send(message)


async def part(send, body, *, more):
    await send({"type": "http.response.body", "body": body, "more_body": more})


@asynccontextmanager
async def open_scripted(*, kind, script, options):
    endpoint = Scripted(script=script)
    async with serve(app=endpoint, address=ANYWHERE, grace=0.1) as address:
        standin: Any = SimpleNamespace(name="x0", address=address)
        engines, services = ((standin,), ()) if kind == "chat" else ((), (standin,))
        running = run_entry(engines=engines, services=services, options=options)
        async with running as entry:
            with anyio.fail_after(30):
                yield entry, endpoint


# Guards against a long answer that is cut while its caller reads it, though none of it
# can be sent by another attempt.
async def test_a_long_answer_outlasts_a_silence_in_its_middle():
    half = b"x" * (OPTIONS.buffered_bytes + 1)

    async def script(request_id, send):
        length = str(2 * len(half)).encode()
        await start(send, request_id, (b"content-length", length))
        await part(send, half, more=True)
        await anyio.sleep(SILENT_SECONDS)
        await part(send, half, more=False)

    world = open_scripted(kind="service", script=script, options=OPTIONS)
    async with world as (entry, endpoint):
        call = ServiceCall(token=TOKEN, service="records", timeout=10.0)
        answer = await entry.client.service(router=entry.address, call=call)
        assert len(answer.text) == 2 * len(half)
        assert endpoint.calls == 1


# Guards against a request on a connection that is silent for good, which waits until
# its deadline because the budget was spent when it was first missed.
async def test_a_silent_request_is_sent_again_once_the_budget_allows_it():
    options = replace(OPTIONS, retry_share=0.25, retry_burst=1.0)
    async with open_world(engines=1, services=0, options=options) as world:
        entry, engines, _ = world
        faults = engines[0].faults
        faults.switch_on(kind=FaultKind.LATE, count=1, seconds=SILENT_SECONDS)
        _, whole = await call_once(entry, "chat")
        assert whole
        faults.switch_on(kind=FaultKind.SILENT, count=1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_fill_budget, entry, faults)
            answer, whole = await call_once(entry, "chat")
        assert whole, answer


async def _fill_budget(entry, faults):
    """Let other requests pay for a retry, after the silent one was first missed."""
    while FaultKind.SILENT not in faults.hits:
        await anyio.sleep(STEP_SECONDS)
    await anyio.sleep(2 * LIMIT.initial)
    for _ in range(3):
        await call_once(entry, "chat")


# Guards against a request that may run once only and is sent again during a silence.
async def test_a_receipt_is_not_sent_again_during_a_silence():
    async with open_world(engines=0, options=OPTIONS) as (entry, _, services):
        for service in services:
            service.faults.switch_on(kind=FaultKind.LATE, seconds=SILENT_SECONDS)
        call = ServiceCall(token=TOKEN, service="receipts", timeout=10.0)
        answer = await entry.client.service(router=entry.address, call=call)
        assert answer.outcome is Outcome.COMPLETED
        assert sum(service.runs.total for service in services) == 1


# Guards against a caller who waits until the deadline for a stream that has its last
# token, because the engine is silent after it and no retry may follow.
async def test_a_stream_with_its_last_token_does_not_wait_for_its_engine():
    async def script(request_id, send):
        choice = {"delta": {"content": "x"}, "finish_reason": "stop"}
        event = {"id": request_id.decode(), "token_offset": 0, "choices": [choice]}
        await start(send, request_id)
        await part(send, b"data: " + orjson.dumps(event) + b"\n\n", more=True)
        await anyio.sleep_forever()

    world = open_scripted(kind="chat", script=script, options=NO_BUDGET)
    async with world as (entry, _):
        answer = await entry.client.chat(
            router=entry.address, call=chat(tokens=1, timeout=5.0)
        )
        assert answer.completed, answer
        assert answer.text == "x"


# Guards against a proof that a request has not run which is lost because the rest of
# the refusal never comes.
async def test_a_refusal_counts_though_its_body_never_comes():
    async def script(request_id, send):
        length = (b"content-length", b"100")
        await start(send, request_id, (b"x-not-run", b"true"), length, status=503)
        await part(send, b"{", more=True)
        await anyio.sleep_forever()

    world = open_scripted(kind="chat", script=script, options=NO_BUDGET)
    async with world as (entry, _):
        answer = await entry.client.chat(router=entry.address, call=chat(timeout=5.0))
        assert answer.outcome is Outcome.NOT_RUN, answer
        assert answer.error == "endpoint_refused"
