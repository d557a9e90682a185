"""Endpoints that send bytes without end until the connection is closed."""

from __future__ import annotations

import anyio
import httpcore
import pytest

from dotterelpaddle.endpoint.http_connection import READ_BYTES
from dotterelpaddle.forwarding import stream_pace
from dotterelpaddle.forwarding.call import MAX_ANSWER_BYTES
from dotterelpaddle.standins.behaviours import Bulk, Endless
from dotterelpaddle.tests.forwarding.harness import run_fleet

pytestmark = pytest.mark.anyio

MAX_BYTES = 16 * 1024 * 1024
"""Bytes of one answer that a router may take before it closes the connection."""

MAX_SECONDS = 5.0
"""Time that callers give their requests."""

EVENTS_HEAD = (
    b"HTTP/1.1 200 OK\r\nx-dotterelpaddle-attempt-id: REQUEST_ID\r\n"
    b"x-dotterelpaddle-runner-seal: seal\r\ncontent-type: text/event-stream\r\n\r\n"
)
HEAD = b"HTTP/1.1 200 OK\r\nx-dotterelpaddle-attempt-id: REQUEST_ID\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
WITHOUT_END = {
    "no head": Endless(),
    "head of one line": Endless(beginning=HEAD + b"x-long: "),
    "head of many lines": Endless(beginning=HEAD, chunk=b"x-more: 1\r\n" * 1000),
    "interim heads": Endless(chunk=b"HTTP/1.1 102 Processing\r\n\r\n" * 400),
    "size of a chunk": Endless(beginning=CHUNKED, chunk=b"0" * 16384),
    "extension of a chunk": Endless(beginning=CHUNKED + b"5;"),
    "no chunk": Endless(beginning=CHUNKED),
    "trailers": Endless(beginning=CHUNKED + b"0\r\n", chunk=b"x-more: 1\r\n" * 1000),
    "line of an event": Endless(
        beginning=HEAD + b"content-type: text/event-stream\r\n\r\nid: 1\ndata: "
    ),
    "blank lines": Endless(beginning=EVENTS_HEAD, chunk=b"\n" * 16384),
}


# Guards against a router that reads on, and keeps what it reads, as long as an endpoint
# sends bytes that are no answer, while its caller waits and others are not served.
@pytest.mark.parametrize("path", ["/safe/1", "/unsafe/1", "/stream/1"])
@pytest.mark.parametrize("name", WITHOUT_END)
async def test_answer_without_end_ends_soon_and_takes_little(
    name: str, path: str
) -> None:
    async with run_fleet(runners=1) as fleet:
        runner = fleet.runners["runner-1"]
        runner.plan.append(WITHOUT_END[name])
        others: list[int] = []

        async def _call_others() -> None:
            while not runner.endless_bytes:
                await anyio.sleep(0.001)
            others.append((await fleet.call("/open/1")).status)

        with anyio.fail_after(MAX_SECONDS):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_call_others)
                try:
                    status = (await fleet.call(path)).status
                except Exception:  # The connection to the caller is closed.
                    status = 0

        assert status != 200
        assert others == [200]
        assert runner.endless_bytes <= MAX_BYTES


# Guards against reading 8 MiB of an answer whose head says that it is longer than that:
# many at a time took all the memory and processor time of a router.
@pytest.mark.parametrize("path", ["/safe/1", "/unsafe/1"])
async def test_answer_that_declares_too_many_bytes_is_not_read(path: str) -> None:
    async with run_fleet(runners=1) as fleet:
        runner = fleet.runners["runner-1"]
        runner.plan.append(Bulk(declared=MAX_ANSWER_BYTES + 1, part_bytes=1))
        with anyio.fail_after(MAX_SECONDS):
            answer = await fleet.call(path)

    assert answer.status == 502


# Guards against blank lines that are passed on as if they were events: the caller had a
# status of success and nothing more until its deadline, and others were not served.
async def test_blank_lines_without_end_begin_no_stream() -> None:
    async with run_fleet(runners=1) as fleet:
        runner = fleet.runners["runner-1"]
        runner.plan.append(WITHOUT_END["blank lines"])
        answer = await fleet.call("/stream/1")

    assert answer.status == 502


# Guards against reading events with nothing in them as fast as an endpoint writes them:
# others were served late, and readiness checks were, too.
async def test_events_without_end_are_read_no_faster_than_their_allowance(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for name in ("STREAM_BYTES_PER_SECOND", "STREAM_BURST_BYTES", "SHARED_BURST_BYTES"):
        monkeypatch.setattr(stream_pace, name, 0.0)
    monkeypatch.setattr(stream_pace, "SHARED_BYTES_PER_SECOND", 1.0)
    received = 0
    async with run_fleet(runners=1) as fleet:
        plan = fleet.runners["runner-1"].plan
        plan.append(Endless(beginning=EVENTS_HEAD, chunk=b"data:\n\n" * 2000))
        stream = fleet.http.stream(
            "POST", fleet.url("/stream/1"), headers=list(fleet.headers().items())
        )
        with pytest.raises(httpcore.RemoteProtocolError):
            async with stream as answer:
                async for part in answer.aiter_stream():
                    received += len(part)

    assert 0 < received <= 2 * READ_BYTES
