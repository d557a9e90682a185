"""Clients whose uploads stop just short of their end and stay open.

They run in a process of their own, so that they keep no other stand-in waiting.
"""

from __future__ import annotations

import asyncio
import json
import resource
import sys
from collections import Counter
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from deployment import HOST, KEY, RECEIPT, RECORD_BUDGET_MS
from wire import ATTEMPT_ID, new_attempt

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from playing import Record

BODY_BYTES, MISSING_BYTES = 65_536, 5

OPENED_PER_SECOND = 400.0
"""Connections that are opened per second as the crowd comes."""

AGAIN_SECONDS = 1.0
"""Seconds until a client tries again after a refused or reset connection."""

OTHER_DESCRIPTORS = 50


@asynccontextmanager
async def crowd_at(
    router: tuple[str, int], *, size: int, record: Record
) -> AsyncIterator[None]:
    """Let a crowd come to a router, and leave when the context ends.

    Args:
        router: Address of the router.
        size: Number of clients.
        record: Receives what the crowd saw.
    """
    host, port = router
    record.say(f"{size} uploads begin at {host}")
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        __file__,
        host,
        str(port),
        str(size),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        yield
    finally:
        output, _ = await process.communicate(b"")
        record.say(f"what the crowd at {host} saw: {output.decode().strip()}")


async def _come(router: tuple[str, int], size: int) -> None:
    """Upload until the input ends, which it also does when the script is killed."""
    counts: Counter[str] = Counter()
    uploads = (
        _upload(router, after=number / OPENED_PER_SECOND, counts=counts)
        for number in range(size)
    )
    tasks = [asyncio.create_task(each) for each in uploads]
    await asyncio.to_thread(sys.stdin.read)
    print(json.dumps(counts))
    for each in tasks:
        each.cancel()


async def _upload(
    router: tuple[str, int], *, after: float, counts: Counter[str]
) -> None:
    """Send all of a request but its last bytes, stay, and begin anew when it ends."""
    await asyncio.sleep(after)
    while True:
        writer = None
        try:
            reader, writer = await asyncio.open_connection(*router)
            counts["begun"] += 1
            writer.write(_unfinished_upload())
            line = await reader.readline()
            counts[line[9:12].decode("latin-1") or "no answer"] += 1
            # It stays for as long as the router lets it.
            await reader.read()
        except OSError as error:
            counts[type(error).__name__] += 1
            await asyncio.sleep(AGAIN_SECONDS)
        finally:
            if writer is not None:
                writer.close()


def _unfinished_upload() -> bytes:
    """Return a request of legal size without the end of its body."""
    lines = [
        f"POST {RECEIPT}new HTTP/1.1",
        f"Host: {HOST}",
        f"{ATTEMPT_ID}: {new_attempt()}",
        f"X-Api-Key: {KEY}",
        f"X-Dotterelpaddle-Deadline-Ms: {RECORD_BUDGET_MS}",
        f"Content-Length: {BODY_BYTES}",
    ]
    head = "\r\n".join([*lines, "", ""]).encode()
    return head + b"x" * (BODY_BYTES - MISSING_BYTES)


def _allow_descriptors(count: int) -> None:
    """Let this process open as many descriptors as the system allows it, if needed."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < count:
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(count, hard), hard))


if __name__ == "__main__":
    crowd_size = int(sys.argv[3])
    _allow_descriptors(crowd_size + OTHER_DESCRIPTORS)
    asyncio.run(_come((sys.argv[1], int(sys.argv[2])), crowd_size))
