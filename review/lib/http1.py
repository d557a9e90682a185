"""A small HTTP/1.1 server and client on asyncio streams, for the stand-ins."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


@dataclass(kw_only=True)
class Request:
    """A request as a server has read it, its body included."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclass(kw_only=True)
class Answer:
    """An answer as a client has read it.

    Attributes:
        status: Its status, 0 if none came.
        headers: Its headers, names in lower case.
        body: What has come of its body.
        complete: Whether all of it has come.
        error: Why it is not complete.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    error: str = ""


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a start line and headers.

    Raises:
        EOFError: If the peer has closed the connection before.
    """
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(
    reader: asyncio.StreamReader, on_part: Callable[[bytes], None]
) -> None:
    """Read a chunked body."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size:
            on_part(await reader.readexactly(size))
        await reader.readexactly(2)
        if not size:
            return


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read a request, None at the end of the connection."""
    try:
        line, headers = await read_head(reader)
    except (EOFError, ConnectionError):
        return None
    method, target, _ = line.split(" ", 2)
    request = Request(method=method, target=target, headers=headers)
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts: list[bytes] = []
        await read_chunks(reader, parts.append)
        request.body = b"".join(parts)
    else:
        request.body = await reader.readexactly(int(headers.get("content-length", 0)))
    return request


def encode_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return an answer with a length."""
    head = [f"HTTP/1.1 {status} Status"]
    head += [f"{name}: {value}" for name, value in headers.items()]
    head.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*head, "", ""]).encode("latin-1") + body


class Server:
    """Serves each connection with a handler until it is closed."""

    def __init__(
        self,
        handler: Callable[
            [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
        ],
    ) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self, *, port: int = 0) -> None:
        """Listen on a loopback port, any free one by default."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            await self._handler(reader, writer)
        except (EOFError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self.writers):
            writer.transport.abort()


async def exchange(
    *,
    port: int,
    host: str = "127.0.0.1",
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout: float,
    on_part: Callable[[bytes], None] | None = None,
    connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None,
) -> Answer:
    """Send a request and read its answer.

    Args:
        port: Port of the server.
        host: Its loopback address.
        method: Method.
        target: Path and query.
        headers: Headers besides the length of the body.
        body: Body.
        timeout: Seconds until the client closes the connection.
        on_part: Is called with each part of the body.
        connection: An open connection to use, which stays open after a whole answer.
    """
    answer = Answer()
    writer = connection[1] if connection else None
    try:
        async with asyncio.timeout(timeout):
            if connection is None:
                reader, writer = await asyncio.open_connection(host, port)
            else:
                reader, writer = connection
            head = [f"{method} {target} HTTP/1.1"]
            head += [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                head.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*head, "", ""]).encode("latin-1") + body)
            await _read_answer(reader, answer, on_part)
    except TimeoutError:
        answer.error = "timeout"
    except (EOFError, OSError) as error:
        answer.error = repr(error)
    finally:
        keep = connection is not None and answer.complete
        if writer is not None and not keep:
            writer.transport.abort()
    return answer


async def _read_answer(
    reader: asyncio.StreamReader,
    answer: Answer,
    on_part: Callable[[bytes], None] | None,
) -> None:
    while answer.status < 200:
        line, answer.headers = await read_head(reader)
        answer.status = int(line.split(" ", 2)[1])

    def _add(part: bytes) -> None:
        answer.body += part
        if on_part is not None:
            on_part(part)

    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        await read_chunks(reader, _add)
    elif "content-length" in answer.headers:
        _add(await reader.readexactly(int(answer.headers["content-length"])))
    else:
        _add(await reader.read())
    answer.complete = True
