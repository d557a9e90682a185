"""HTTP/1.1 as the clients, the runners and the store of a case speak it."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from dataclasses import dataclass, field

ATTEMPT_ID = "X-Dotterelpaddle-Attempt-Id"
SEAL = "X-Dotterelpaddle-Runner-Seal"
EXPECTED_RUNNER = "x-dotterelpaddle-expect-runner"

_numbers = itertools.count()


@dataclass(kw_only=True)
class Request:
    """A request as a server has read it.

    Attributes:
        method: Method.
        target: Path and query.
        headers: Headers, names in lower case.
        body: Body.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def attempt(self) -> str:
        """Id of the client's attempt, empty for none."""
        return self.headers.get(ATTEMPT_ID.lower(), "")


@dataclass(kw_only=True)
class Result:
    """What a client has seen of one request.

    Attributes:
        attempt: Id of the request.
        sent_at: When it was sent, seconds on the monotonic clock.
        seconds: Seconds until its answer was complete or its connection ended.
        status: Status, 0 for no answer.
        body: Body as far as it came.
        whole: Whether the answer was complete.
        started_after: Seconds until the head of the answer, None without one.
        headers: Headers of the answer, names in lower case.
        timed_out: Whether the client stopped watching.
        prompt: Parts of its prompt, empty for none.
        router: Host of the router.
    """

    attempt: str
    sent_at: float
    seconds: float = 0.0
    status: int = 0
    body: bytes = b""
    whole: bool = False
    started_after: float | None = None
    headers: dict[str, str] = field(default_factory=dict)
    timed_out: bool = False
    prompt: str = ""
    router: str = ""


def new_attempt() -> str:
    """Return a new id for a request."""
    return f"{random.getrandbits(48):012x}{next(_numbers):04x}"


def answer(status: int, body: bytes = b"", **headers: str) -> bytes:
    """Return an answer with a length; underscores in names stand for hyphens."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def _headers(lines: list[str]) -> dict[str, str]:
    pairs = (line.split(":", 1) for line in lines if line)
    return {name.lower(): value.strip() for name, value in pairs}


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request.

    Raises:
        asyncio.IncompleteReadError: If the connection ends before.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, target, _ = head[0].split(" ", 2)
    headers = _headers(head[1:])
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method=method, target=target, headers=headers, body=body)


async def _read_body(reader: asyncio.StreamReader, result: Result) -> None:
    if result.headers.get("transfer-encoding") != "chunked":
        size = int(result.headers.get("content-length", 0))
        result.body = await reader.readexactly(size)
        result.whole = True
        return
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            result.whole = True
            return
        result.body += chunk[:-2]


async def call(
    address: tuple[str, int],
    *,
    method: str,
    target: str,
    host: str,
    key: str,
    budget_ms: int,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    patience: float,
) -> Result:
    """Send one request on a new connection and wait for its answer.

    Args:
        address: Address of the router.
        method: Method.
        target: Path and query.
        host: Host header.
        key: Key of the tenant.
        budget_ms: Time budget that the client names.
        headers: Further headers.
        body: Body.
        patience: Seconds after which the client stops watching.
    """
    result = Result(attempt=new_attempt(), sent_at=time.monotonic(), router=address[0])
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {host}",
        f"{ATTEMPT_ID}: {result.attempt}",
        f"X-Dotterelpaddle-Deadline-Ms: {budget_ms}",
        f"X-Api-Key: {key}",
        *(f"{name}: {value}" for name, value in (headers or {}).items()),
    ]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    writer = None
    try:
        async with asyncio.timeout(patience):
            reader, writer = await asyncio.open_connection(*address)
            result.sent_at = time.monotonic()
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            result.started_after = time.monotonic() - result.sent_at
            first, *rest = head.split("\r\n")
            result.status = int(first.split(" ")[1])
            result.headers = _headers(rest)
            await _read_body(reader, result)
    except TimeoutError:
        result.timed_out = True
    except (OSError, asyncio.IncompleteReadError):
        # What came until then stands in the result.
        pass
    finally:
        result.seconds = time.monotonic() - result.sent_at
        if writer is not None:
            writer.close()
    return result
