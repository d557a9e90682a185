"""HTTP/1.1 to an endpoint over one connection, with httpcore's types.

Answers are read by llhttp, in C: read by h11 they are a quarter of what a router spends
on streams. Requests are still checked by h11: what is sent to an endpoint is exactly
one request, whatever the caller's headers hold.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import h11
import httpcore
import httptools

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dotterelpaddle.endpoint.patience import KeepWaiting
    from dotterelpaddle.network import LinkedStream

READ_BYTES = 64 * 1024
"""Bytes of one read, at most."""

MAX_FRAMING_BYTES = 100 * 1024
"""Maximum bytes of an answer's head, and of the framing between two parts of its
body."""

MAX_JOINED_BYTES = 64 * 1024
"""Size of a body up to which it is sent together with the head, in one packet if it
fits. A larger one is not copied: the copy would last until the endpoint has read it."""

STATUSES = range(100, 600)
"""Statuses that an answer in the protocol may have (RFC 9110, section 15)."""

INFORMATIONAL = range(100, 200)
WITHOUT_BODY = frozenset({204, 304})


class _State(Enum):
    """What a connection is good for."""

    IDLE = "idle"
    ACTIVE = "active"
    CLOSED = "closed"


class _Answer:
    """One answer as the parser tells of it.

    Args:
        method: Method of the request; the answer to HEAD has no body.
    """

    def __init__(self, *, method: bytes) -> None:
        self._method = method
        # It refers back to the answer.
        self._parser: httptools.HttpResponseParser | None
        self._parser = httptools.HttpResponseParser(self)
        self._parts: list[bytes] = []
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.head_complete = False
        self.complete = False
        self.reusable = True
        self._until_end = False
        self._framing_bytes = 0

    def feed(self, data: bytes) -> None:
        """Take in bytes.

        Raises:
            httpcore.RemoteProtocolError: If they are no answer in the protocol.
        """
        assert self._parser is not None
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise httpcore.RemoteProtocolError(
                "the answer switches to another protocol"
            ) from error
        except httptools.HttpParserError as error:
            # What follows a whole answer belongs to no request.
            self.reusable = False
            if not self.complete:
                raise httpcore.RemoteProtocolError(str(error)) from error
        if not self.complete and self._framing_bytes > MAX_FRAMING_BYTES:
            where = "framing of the body" if self.head_complete else "head"
            raise httpcore.RemoteProtocolError(f"the {where} of the answer has no end")

    def end(self) -> None:
        """Note that the other end has closed the connection.

        Raises:
            httpcore.RemoteProtocolError: If the answer is not whole.
        """
        self.reusable = False
        if not self.head_complete:
            raise httpcore.RemoteProtocolError(
                "Server disconnected without sending a response."
            )
        if not self._until_end:
            raise httpcore.RemoteProtocolError(
                "the connection was closed in the middle of the answer"
            )
        self.complete = True

    def release(self) -> None:
        """Let go of the parser, after the last bytes."""
        self._parser = None

    def take(self) -> bytes:
        """Return what has come of the body."""
        parts, self._parts = self._parts, []
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def on_message_begin(self) -> None:
        """Begin an answer; a second one belongs to no request."""
        if self.complete:
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in a header, or a trailer, which nobody needs."""
        if not self.head_complete:
            self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """End the head."""
        if self.complete:
            return
        assert self._parser is not None
        status = self._parser.get_status_code()
        if status not in STATUSES:
            raise httpcore.RemoteProtocolError(f"the answer has the status {status:03}")
        if status in INFORMATIONAL:
            self.headers = []
            return
        self.status = status
        self.head_complete = True
        names = {name.lower() for name, _ in self.headers}
        framed = not names.isdisjoint({b"content-length", b"transfer-encoding"})
        self._until_end = not framed and status not in WITHOUT_BODY
        self.reusable = self._parser.should_keep_alive() and not self._until_end
        if self._method == b"HEAD":
            # The parser waits for a body that never comes.
            self.complete, self.reusable = True, False

    def on_body(self, data: bytes) -> None:
        """Take in a part of the body."""
        if not self.complete:
            self._parts.append(data)
            self._framing_bytes = 0

    def on_message_complete(self) -> None:
        """End the answer, unless it only was to say that it comes."""
        if self.head_complete:
            self.complete = True


class HttpConnection:
    """One connection, for one exchange after the other.

    Args:
        stream: The TCP connection.
    """

    def __init__(self, *, stream: LinkedStream) -> None:
        self._stream = stream
        self._state = _State.IDLE
        self._used = False
        self._keep_waiting: KeepWaiting | None = None

    @property
    def keep_waiting(self) -> KeepWaiting | None:
        """Asked before a read that timed out ends the exchange, None to end it."""
        return self._keep_waiting

    @keep_waiting.setter
    def keep_waiting(self, callback: KeepWaiting | None) -> None:
        self._keep_waiting = callback

    async def handle_async_request(
        self, request: httpcore.Request
    ) -> httpcore.Response:
        """Send a request and return its answer, whose body is read from it.

        Raises:
            httpcore.LocalProtocolError: If the request can't be sent; nothing was.
            httpcore.RemoteProtocolError: If the answer breaks the protocol.
            httpcore.NetworkError: If the connection breaks.
            httpcore.TimeoutException: If nothing came in time.
        """
        if self._state is not _State.IDLE:
            raise httpcore.ConnectionNotAvailable
        head = _request_head(request)
        self._state, self._used = _State.ACTIVE, True
        answer = _Answer(method=request.method)
        try:
            await self._send(head, request)
            while not answer.head_complete:
                await self._receive(answer)
        except BaseException:
            answer.release()
            await self.aclose()
            raise
        return httpcore.Response(
            status=answer.status,
            headers=answer.headers,
            content=_Body(connection=self, answer=answer),
        )

    def is_idle(self) -> bool:
        """Tell whether the last exchange has ended well."""
        return self._state is _State.IDLE and self._used

    def has_expired(self) -> bool:
        """Tell whether the other end has closed it, or says what nobody asked for."""
        return bool(self._stream.get_extra_info("is_readable"))

    async def aclose(self) -> None:
        """Close it at once."""
        self._state = _State.CLOSED
        await self._stream.aclose()

    async def read_body(self, answer: _Answer) -> AsyncIterator[bytes]:
        """Read the rest of an answer part by part."""
        while True:
            part = answer.take()
            if part:
                yield part
            if answer.complete:
                return
            await self._receive(answer)

    async def end(self, answer: _Answer) -> None:
        """End the exchange; the connection is kept if it was whole."""
        answer.release()
        if self._state is not _State.ACTIVE:
            return
        if answer.complete and answer.reusable:
            self._state = _State.IDLE
        else:
            await self.aclose()

    async def _send(self, head: bytes, request: httpcore.Request) -> None:
        assert not isinstance(request.stream, bytes)
        parts = [part async for part in request.stream]  # type: ignore[union-attr]
        if sum(map(len, parts)) <= MAX_JOINED_BYTES:
            head, parts = b"".join([head, *parts]), []
        try:
            for part in (head, *parts):
                await self._stream.write(part)
        except httpcore.WriteError:
            # An endpoint may refuse and close before it has read all: it has answered.
            return

    async def _receive(self, answer: _Answer) -> None:
        data = await self._read()
        if data:
            answer.feed(data)
        else:
            answer.end()

    async def _read(self) -> bytes:
        while True:
            try:
                return await self._stream.read(READ_BYTES)
            except httpcore.ReadTimeout:
                keep_waiting = self._keep_waiting
                if keep_waiting is None:
                    raise
                # Something may have come while it was asked.
                if not await keep_waiting() and not self._stream.can_read:
                    raise


class _Body:
    """The body of an answer, as httpcore's answers hold it.

    Args:
        connection: Where it comes.
        answer: The answer.
    """

    def __init__(self, *, connection: HttpConnection, answer: _Answer) -> None:
        self._connection = connection
        self._answer = answer

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self._connection.read_body(self._answer)

    async def aclose(self) -> None:
        """End the exchange."""
        await self._connection.end(self._answer)


def _request_head(request: httpcore.Request) -> bytes:
    """Write the head of a request.

    Raises:
        httpcore.LocalProtocolError: If it would be understood as something else.
    """
    try:
        checked = h11.Request(
            method=request.method, target=request.url.target, headers=request.headers
        )
    except h11.LocalProtocolError as error:
        raise httpcore.LocalProtocolError(str(error)) from error
    lines = [b"%s %s HTTP/1.1" % (checked.method, checked.target)]
    lines += [b"%s: %s" % header for header in checked.headers.raw_items()]
    return b"\r\n".join([*lines, b"", b""])
