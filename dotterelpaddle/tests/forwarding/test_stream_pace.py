"""How much a process reads of streams whose endpoints write without end."""

from __future__ import annotations

from functools import partial

import anyio

from dotterelpaddle.forwarding.stream_pace import (
    SHARED_BURST_BYTES,
    SHARED_BYTES_PER_SECOND,
    STREAM_BURST_BYTES,
    STREAM_BYTES_PER_SECOND,
    StreamPacer,
)
from dotterelpaddle.ids import EndpointId
from dotterelpaddle.tests.virtual_time import run_in_virtual_time

CHUNK_BYTES = 65536
LINK_BYTES_PER_SECOND = 100_000_000
STREAMS = 20
SECONDS = 10.0
EVENT_BYTES = 300
EVENT_SECONDS = 0.005


async def _read(pacer: StreamPacer, sizes: list[int], *, size: int, every: float):
    """Read parts of a stream that come at set times, or later if they are delayed."""
    pace = pacer.pace(endpoint=EndpointId("engine"))
    while True:
        await anyio.sleep(every)
        await anyio.sleep(pace.delay(size=size))
        sizes.append(size)


# Guards against events with nothing in them without end, which took all the time of the
# process: callers of sound endpoints got late answers, and readiness checks, too.
def test_streams_without_end_read_no_more_than_their_share_together() -> None:
    read: list[int] = []

    async def main() -> None:
        pacer = StreamPacer(clock=anyio.current_time)
        every = CHUNK_BYTES / LINK_BYTES_PER_SECOND
        flood = partial(_read, pacer, read, size=CHUNK_BYTES, every=every)
        with anyio.move_on_after(SECONDS):
            async with anyio.create_task_group() as tasks:
                for _ in range(STREAMS):
                    tasks.start_soon(flood)

    run_in_virtual_time(main)

    own = STREAMS * (STREAM_BURST_BYTES + SECONDS * STREAM_BYTES_PER_SECOND)
    shared = SHARED_BURST_BYTES + SECONDS * SHARED_BYTES_PER_SECOND
    assert sum(read) <= own + shared
    assert sum(read) >= SECONDS * SHARED_BYTES_PER_SECOND


# Guards against delaying the streams of sound endpoints beside such ones.
def test_streams_of_a_fast_model_are_not_delayed_beside_others_without_end() -> None:
    read: list[int] = []

    async def main() -> None:
        pacer = StreamPacer(clock=anyio.current_time)
        with anyio.move_on_after(SECONDS):
            async with anyio.create_task_group() as tasks:
                for _ in range(STREAMS):
                    tasks.start_soon(
                        partial(_read, pacer, [], size=CHUNK_BYTES, every=0.001)
                    )
                await _read(pacer, read, size=EVENT_BYTES, every=EVENT_SECONDS)

    run_in_virtual_time(main)

    assert len(read) >= SECONDS / EVENT_SECONDS - 1
