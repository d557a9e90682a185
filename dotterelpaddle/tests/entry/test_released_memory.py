"""What requests that have ended leave in memory."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from dotterelpaddle.http_server import serve
from dotterelpaddle.tests.entry.harness import ANYWHERE, TOKEN, run_entry
from dotterelpaddle.tests.garbage import bytes_in_cycles, without_collector

pytestmark = pytest.mark.anyio

BODY = b"b" * 60_000
MAX_LEFT_BYTES = 10_000
"""Less than a body; heads may be left."""


async def _breaking_service(scope, receive, send):
    """Answer one byte too few."""
    while (await receive())["more_body"]:
        pass
    request_id = dict(scope["headers"])[b"x-request-id"]
    headers = [(b"x-request-id", request_id), (b"content-length", b"2")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": b"x", "more_body": True})
    raise RuntimeError("the service breaks off")


# Guards against bodies that stay in memory after their requests, as the traceback of an
# error refers to them and a frame to its own error.
async def test_failed_service_call_leaves_no_bytes_to_the_collector() -> None:
    async with serve(app=_breaking_service, address=ANYWHERE, grace=0.1) as address:
        standin: Any = SimpleNamespace(name="s0", address=address)
        async with run_entry(services=(standin,)) as entry:
            with without_collector():
                stream = await anyio.connect_tcp("127.0.0.1", entry.address.port)
                async with stream:
                    head = f"Authorization: Bearer {TOKEN}\r\nContent-Length: "
                    await stream.send(
                        b"POST /services/records/x HTTP/1.1\r\nHost: x\r\n"
                        + f"{head}{len(BODY)}\r\n\r\n".encode()
                        + BODY
                    )
                    with pytest.raises(anyio.EndOfStream):
                        while True:
                            await stream.receive()
                while entry.app.in_flight:
                    await anyio.sleep(0.001)
                left = bytes_in_cycles()

    assert left < MAX_LEFT_BYTES
