"""Stand-in for an endpoint that registers itself, with a behaviour for each fault.

It writes its answers to the connection itself, because no HTTP server library sends
invalid ones.
"""

from __future__ import annotations

import math
from collections import deque
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import anyio
import h11
import orjson
from anyio.abc import SocketAttribute

from dotterelpaddle.accepting import accepting
from dotterelpaddle.address import Address
from dotterelpaddle.platform.names import CallPath, Header
from dotterelpaddle.standins.behaviours import (
    Behaviour,
    Bulk,
    CutAnswer,
    Endless,
    ExtraAnswer,
    Fail,
    FallSilent,
    Foreign,
    Garbage,
    Hang,
    LoseAnswer,
    Refuse,
    Serve,
    Unframed,
    Unsealed,
    WrongEndpoint,
    pause_before,
)
from dotterelpaddle.standins.runner_requests import (
    Received,
    receive_request,
    reset_on_close,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from anyio.abc import SocketStream

SEAL = b"seal"
STREAM_PATH = b"/stream/"


@dataclass(kw_only=True)
class RunnerStandin:
    """An endpoint that serves connections.

    Attributes:
        name: Name, which its answers contain.
        version: Version of its software, which its events contain.
        events: Events of a stream.
        pause: Seconds before each event.
        leaving: Whether its answers state that it is leaving.
        rejection_limit: Rejections within a second beyond which it counts as having
            ended, which all its answers tell; None if it bears any number.
        odd_headers: Header lines of each answer that no sound endpoint sends.
        room: Requests that it serves at a time; it rejects others. None for no bound.
        silent_until: Time on the loop's clock until which it answers nothing.
        held_until: Time on the loop's clock until which it sends nothing at all, also
            within answers; afterwards it goes on where it was.
        answer_parts: Parts in which it sends each answer that is no stream.
        rejected_at: Times of its rejections for want of room.
        lifetime: Fields of its cache list that tell its lifetime; None if it has no
            such list.
        plan: Behaviours for the next requests; `Serve` afterwards.
        received: All received requests.
        runs: Requests that it has run.
        endless_bytes: Bytes that it has sent in answers without end.
        closed_early: Requests whose connection was closed before the end of the answer.
    """

    name: str
    version: str = "v1"
    events: int = 5
    pause: float = 0.0
    leaving: bool = False
    rejection_limit: int | None = None
    odd_headers: Sequence[bytes] = ()
    room: int | None = None
    silent_until: float = 0.0
    held_until: float = 0.0
    answer_parts: int = 1
    lifetime: dict[str, Any] | None = None
    rejected_at: list[float] = field(default_factory=list)
    plan: deque[Behaviour] = field(default_factory=deque)
    received: list[Received] = field(default_factory=list)
    runs: list[Received] = field(default_factory=list)
    closed_early: list[Received] = field(default_factory=list)
    endless_bytes: int = 0
    _serving: int = 0

    @property
    def most_rejections(self) -> int:
        """Most rejections for want of room within one second."""
        return max(
            (
                sum(start <= each < start + 1.0 for each in self.rejected_at)
                for start in self.rejected_at
            ),
            default=0,
        )

    def entry(self, *, address: Address, service: str, **fields: Any) -> dict[str, Any]:
        """Return the row by which it registers itself."""
        return {
            "service": service,
            "address": str(address),
            "zone": "here",
            "version": self.version,
            "slots": 4,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 1,
            **fields,
        }

    async def handle(self, stream: SocketStream) -> None:
        """Serve one connection."""
        async with stream:
            try:
                await self._serve(stream)
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return

    async def _serve(self, stream: SocketStream) -> None:
        connection = h11.Connection(our_role=h11.SERVER)
        while True:
            request = await receive_request(stream=stream, connection=connection)
            if request is None:
                return
            if request.target == CallPath.CACHE_LIST.encode():
                await self._send(stream, self._cache_list())
                connection = h11.Connection(our_role=h11.SERVER)
                continue
            self.received.append(request)
            await anyio.sleep_until(self.silent_until)
            behaviour = self.plan.popleft() if self.plan else Serve()
            if self.room is not None and self._serving >= self.room:
                self.rejected_at.append(anyio.current_time())
                behaviour = Refuse()
            self._serving += 1
            try:
                if not await self._answer(stream, request, behaviour):
                    return
            finally:
                self._serving -= 1
            # The answers are written by hand; the parser only needs to follow.
            connection = h11.Connection(our_role=h11.SERVER)

    async def _answer(
        self, stream: SocketStream, request: Received, behaviour: Behaviour
    ) -> bool:
        """Answer one request; False if the connection ends with it."""
        match behaviour:
            case Refuse(status=status, retry_after=retry_after):
                refusal = {Header.NOT_EXECUTED: b"1"}
                if retry_after:
                    refusal[Header.RETRY_AFTER] = retry_after
                await self._send(
                    stream, self._whole(request, status=status, extra=refusal)
                )
                return True
            case WrongEndpoint():
                await self._send(stream, self._whole(request, status=421, sealed=False))
                return True
        self.runs.append(request)
        match behaviour:
            case Fail(status=status):
                await self._send(stream, self._whole(request, status=status))
            case LoseAnswer():
                return False
            case Endless(beginning=beginning, chunk=chunk):
                await stream.send(beginning.replace(b"REQUEST_ID", request.request_id))
                while True:
                    await stream.send(chunk)
                    self.endless_bytes += len(chunk)
            case Bulk():
                await self._send_bulk(stream, request, behaviour)
            case Garbage():
                await self._send(stream, b"\x00\x01 this is no answer\r\n\r\n")
                return False
            case Foreign(request_id=request_id):
                await self._send(stream, self._whole(request, request_id=request_id))
            case Unsealed():
                await self._send(stream, self._whole(request, sealed=False))
            case ExtraAnswer(request_id=request_id):
                extra = self._whole(request, request_id=request_id)
                await self._send(stream, self._whole(request) + extra)
            case Unframed(events=events) if _is_stream(request):
                await self._unframed_stream(stream, request, events)
                return False
            case Unframed(reset=reset):
                await self._send(
                    stream, self._head(request, framing=b"connection: close")
                )
                body = self._body(request)
                await self._send(stream, body[:-3] if reset else body)
                if reset:
                    reset_on_close(stream=stream)
                return False
            case Hang() | CutAnswer() | FallSilent() | Serve() if _is_stream(request):
                return await self._stream(stream, request, behaviour)
            case Hang():
                await self._wait_for_close(stream, request)
                return False
            case CutAnswer():
                await self._send(stream, self._whole(request)[:-3])
                return False
            case FallSilent(seconds=seconds):
                await anyio.sleep(seconds)
                await self._send(stream, self._whole(request))
            case _:
                await self._send_in_parts(stream, self._whole(request))
        return True

    def _cache_list(self) -> bytes:
        status = 404 if self.lifetime is None else 200
        body = orjson.dumps({"held": [], "next": 0, **(self.lifetime or {})})
        return b"HTTP/1.1 %d Answer\r\ncontent-length: %d\r\n\r\n%b" % (
            status,
            len(body),
            body,
        )

    async def _send(self, stream: SocketStream, data: bytes) -> None:
        """Send bytes once the endpoint holds nothing back."""
        while anyio.current_time() < self.held_until:
            await anyio.sleep_until(self.held_until)
        await stream.send(data)

    async def _send_in_parts(self, stream: SocketStream, data: bytes) -> None:
        size = -(-len(data) // self.answer_parts)
        for start in range(0, len(data), size):
            if start:
                await anyio.sleep(self.pause)
            await self._send(stream, data[start : start + size])

    async def _send_bulk(
        self, stream: SocketStream, request: Received, behaviour: Bulk
    ) -> None:
        """Send a body part by part, no faster than its rate."""
        in_chunks = behaviour.declared is None
        framing = (
            b"transfer-encoding: chunked"
            if behaviour.declared is None
            else b"content-length: %d" % behaviour.declared
        )
        head = self._head(request, status=behaviour.status, framing=framing)
        await self._send(stream, head)
        started_at = anyio.current_time()
        size = math.inf if behaviour.size is None else behaviour.size
        sent = 0
        while sent < size:
            part = bytes(int(min(behaviour.part_bytes, size - sent)))
            await self._send(stream, _chunk(part) if in_chunks else part)
            sent += len(part)
            await anyio.sleep_until(started_at + sent / behaviour.bytes_per_second)
        if in_chunks:
            await self._send(stream, b"0\r\n\r\n")

    async def _stream(
        self, stream: SocketStream, request: Received, behaviour: Behaviour
    ) -> bool:
        first = int(request.headers.get(Header.LAST_EVENT_ID, b"0")) + 1
        last = self.events
        match behaviour:
            case Hang(events=events) | CutAnswer(events=events):
                last = min(last, first + events - 1)
        await self._send(
            stream, self._head(request, framing=b"transfer-encoding: chunked")
        )
        for number in range(first, last + 1):
            await anyio.sleep(pause_before(number - first, behaviour, self.pause))
            event = b"id: %d\ndata: e%d %s\n\n"
            content = event % (number, number, self.version.encode())
            await self._send(stream, _chunk(content))
        match behaviour:
            case Hang():
                await self._wait_for_close(stream, request)
                return False
            case CutAnswer():
                await self._send(stream, _chunk(b"id: %d\nda" % (last + 1)))
                return False
        await self._send(stream, b"0\r\n\r\n")
        return True

    async def _unframed_stream(
        self, stream: SocketStream, request: Received, events: int | None
    ) -> None:
        """Send a stream without chunks; end within an event after `events` of them."""
        first = int(request.headers.get(Header.LAST_EVENT_ID, b"0")) + 1
        last = self.events if events is None else first + events - 1
        await self._send(stream, self._head(request, framing=b"connection: close"))
        for number in range(first, last + 1):
            await anyio.sleep(self.pause)
            event = b"id: %d\ndata: e%d %s\n\n"
            await self._send(stream, event % (number, number, self.version.encode()))
        if events is not None:
            await self._send(stream, b"id: %d\nda" % (last + 1))

    async def _wait_for_close(self, stream: SocketStream, request: Received) -> None:
        try:
            await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            self.closed_early.append(request)

    def _body(self, request: Received) -> bytes:
        return orjson.dumps(
            {"by": self.name, "id": request.request_id.decode(), "of": "request"}
        )

    def _whole(
        self,
        request: Received,
        *,
        status: int = 200,
        sealed: bool = True,
        request_id: bytes | None = None,
        extra: dict[bytes, bytes] | None = None,
    ) -> bytes:
        body = self._body(request)
        head = self._head(
            request,
            status=status,
            sealed=sealed,
            request_id=request_id,
            extra=extra,
            framing=b"content-length: %d" % len(body),
        )
        return head + body

    def _head(
        self,
        request: Received,
        *,
        framing: bytes,
        status: int = 200,
        sealed: bool = True,
        request_id: bytes | None = None,
        extra: dict[bytes, bytes] | None = None,
    ) -> bytes:
        lines = [b"HTTP/1.1 %03d Answer" % status, framing]
        echoed = request.request_id if request_id is None else request_id
        if echoed:
            lines.append(Header.REQUEST_ID + b": " + echoed)
        if self.leaving:
            lines.append(Header.LEAVING + b": 1")
        if self.rejection_limit is not None:
            lines.append(Header.REJECTION_LIMIT + b": %d" % self.rejection_limit)
        lines += self.odd_headers
        if sealed:
            lines.append(Header.ORIGIN_PROOF + b": " + SEAL)
        lines += [name + b": " + value for name, value in (extra or {}).items()]
        return b"\r\n".join(lines) + b"\r\n\r\n"


@asynccontextmanager
async def run_runner(*, runner: RunnerStandin) -> AsyncIterator[Address]:
    """Serve an endpoint until the context ends.

    Yields:
        Where it listens.
    """
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    async with listener, accepting(listener=listener, handler=runner.handle):
        yield Address(host="127.0.0.1", port=port)


def _is_stream(request: Received) -> bool:
    return request.target.startswith(STREAM_PATH)


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)
