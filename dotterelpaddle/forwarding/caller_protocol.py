"""Caller connections with the limits of the active configuration."""

from __future__ import annotations

from collections import deque
from functools import partial
from typing import TYPE_CHECKING, Any

import httptools
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from dotterelpaddle.arrival import seconds_since_last_data
from dotterelpaddle.clock import monotonic
from dotterelpaddle.exceptions import NotAccepting
from dotterelpaddle.logs import get_logger
from dotterelpaddle.memory.caller_memory import CallerMemory
from dotterelpaddle.memory.head_memory import HeadMemory

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable, Mapping

    from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

    from dotterelpaddle.forwarding.model import CallerLimits
    from dotterelpaddle.memory.held_bytes import HeldBytes

log = get_logger(name=__name__)

DEFAULT_IDLE_SECONDS = 15.0
"""Idle timeout of a connection until the router has a configuration.

It exceeds uvicorn's five seconds, because a request that a caller sends while the
router closes the connection costs the caller a retry.
"""

HAS_NEXT_REQUEST = "dotterelpaddle.has_next_request"
"""Entry in the state of an ASGI scope: tells whether another request waits.

It waits on the connection of the scope's own request and is answered after it, so the
connection stays open.
"""

RECEIVED_AT = "dotterelpaddle.received_at"
"""Entry in the state of an ASGI scope: when the host received the request's head,
seconds on the monotonic clock. The process may read it later."""

DEFAULT_MAX_HEADER_BYTES = 64 * 1024
"""Bytes without a complete head or a byte of a body that a connection may send until
the router has a configuration."""

NO_ROOM_ANSWER = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"retry-after: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
)

HEADERS_TOO_LARGE_ANSWER = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)


def has_next_request(*, scope: Mapping[str, Any]) -> bool:
    """Return whether another request waits on the connection of an ASGI scope."""
    waits = scope.get("state", {}).get(HAS_NEXT_REQUEST)
    return waits is not None and waits()


def received_at(*, scope: Mapping[str, Any], now: float) -> float:
    """Return when the host received the request of an ASGI scope, `now` if unknown."""
    at: float = scope.get("state", {}).get(RECEIVED_AT, now)
    return min(at, now)


def caller_protocol(
    *, limits: Callable[[], CallerLimits | None], held: HeldBytes | None = None
) -> type[asyncio.Protocol]:
    """Create the protocol class of caller connections.

    Args:
        limits: Returns the active limits, None without a configuration.
        held: Counts what the connections hold, None where memory is not limited.
    """

    class CallerProtocol(HttpToolsProtocol):
        """uvicorn's connection with limits on size and time of a request head."""

        def __init__(self, *args: Any, **kwargs: Any) -> None:
            super().__init__(*args, **kwargs)
            self._head_bytes = 0
            self._receives_body = False
            self._declined_head = b""
            self._head_timer: asyncio.TimerHandle | None = None
            self._caller_closed = False
            self._shutting_down = False
            self._idle_since = 0.0
            self._unanswered: deque[RequestResponseCycle] = deque()
            self._memory: CallerMemory | None = None
            self._heads = HeadMemory(held=held)
            self._refused = False
            self._has_progress = False
            self._bytes_without_progress = 0

        def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
            """Start the idle timer, also for a caller that never sends a request."""
            super().connection_made(transport)
            self._start_idle_timer()
            if held is not None:
                unanswered = self._unanswered
                self._memory = CallerMemory(
                    transport=transport,
                    held=held,
                    is_answering=lambda: (
                        bool(unanswered) and not transport.is_closing()
                    ),
                    idle_timeout=lambda: _idle_timeout(limits()),
                )

        def pause_writing(self) -> None:
            """Count what the caller has not read yet."""
            super().pause_writing()
            if self._memory is not None:
                self._memory.begin_unread()

        def resume_writing(self) -> None:
            """Release it, as the caller has read it."""
            super().resume_writing()
            if self._memory is not None:
                self._memory.end_unread()

        def data_received(self, data: bytes) -> None:
            """Process bytes; refuse a request head that exceeds its limits."""
            if self._refused:
                return
            active_limits = limits()
            if active_limits is not None and self._reading_head:
                self._head_bytes += len(data)
                if self._head_timer is None:
                    self._head_timer = self.loop.call_later(
                        active_limits.header_timeout, self._close_slow_head
                    )
            self._has_progress = False
            self._parse(data)
            self._check_head_room()
            self._wait_if_idle()
            too_long = (
                active_limits is not None
                and self._head_bytes > active_limits.max_header_bytes
            )
            if too_long and self._reading_head and not self.transport.is_closing():
                log.warning("head_too_large", received=self._head_bytes)
                self.transport.write(HEADERS_TOO_LARGE_ANSWER)
                self.transport.close()
            self._check_progress(received=len(data), limits=active_limits)

        def on_header(self, name: bytes, value: bytes) -> None:
            """Take in a line of a head; trailers are dropped, as nobody needs them."""
            if self._refused or self._receives_body:
                return
            self._heads.add_line(size=len(name) + len(value))
            super().on_header(name, value)

        def on_body(self, body: bytes) -> None:
            """Take in a part of a body, unless its request was refused."""
            self._has_progress = True
            if not self._refused:
                super().on_body(body)

        def on_message_begin(self) -> None:
            """Let the application ask for requests that wait behind this one."""
            super().on_message_begin()
            state = self.scope["state"]
            state[HAS_NEXT_REQUEST] = partial(bool, self.pipeline)
            state[RECEIVED_AT] = monotonic() - self._waited_seconds()

        def on_headers_complete(self) -> None:
            """Stop the timer of the head; the body follows."""
            self._has_progress = True
            self._check_head_room()
            if self._refused:
                return
            if self.parser.should_upgrade() and self._offers_protocol:
                self._declined_head = self._head_without_offer()
                return
            self._heads.end_head()
            self._finish_head()
            self._receives_body = True
            super().on_headers_complete()
            self._unanswered.append(self.cycle)
            if self._memory is not None:
                self._memory.set_waiting(requests=len(self.pipeline))

        def on_message_complete(self) -> None:
            """Record that the next bytes belong to another request."""
            if self._declined_head or self._refused:
                return
            self._has_progress = True
            self._receives_body = False
            super().on_message_complete()

        def on_response_complete(self) -> None:
            """Begin the next request; close the connection if the server stops."""
            answered = self._unanswered.popleft()
            self._heads.end_request()
            self._release_head(answered)
            if self._memory is not None:
                # uvicorn keeps the part of a refused body that has come.
                answered.body = bytearray()
                self._memory.end_answer()
            self._idle_since = self.loop.time()
            self.timeout_keep_alive = _idle_timeout(limits())  # type: ignore[assignment]
            super().on_response_complete()
            if self._memory is not None:
                self._memory.set_waiting(requests=len(self.pipeline))
            if self._shutting_down or self._refused:
                self._close_if_idle()

        def shutdown(self) -> None:
            """Close the connection once all requests read from it are answered."""
            self._shutting_down = True
            self._close_if_idle()

        def eof_received(self) -> None:
            """Record that the caller has closed the connection."""
            self._caller_closed = True
            super().eof_received()

        def connection_lost(self, exc: Exception | None) -> None:
            """Cancel the timers and all requests; log those that nothing has begun."""
            self._finish_head()
            self._heads.close()
            if self._reading_head and self.headers:
                self.headers.clear()
            if self._memory is not None:
                self._memory.close()
            if self.pipeline:
                log.warning(
                    "requests_dropped",
                    requests=len(self.pipeline),
                    caller_closed=self._caller_closed or exc is not None,
                )
            self._unset_keepalive_if_required()
            # uvicorn tells only the latest request, which may wait behind another one.
            for cycle in self._unanswered:
                cycle.disconnected = True
                cycle.message_event.set()
            super().connection_lost(exc)
            # These refer to each other and to the connection.
            self._unanswered.clear()
            self.pipeline.clear()

        def _check_head_room(self) -> None:
            """Refuse the request whose head is read if there is no room for it.

            Those before it on the connection are answered first.
            """
            if self._refused:
                return
            try:
                self._heads.check()
            except NotAccepting as error:
                log.warning("head_refused", cause=error.message)
                self._refuse_rest(answer=NO_ROOM_ANSWER)

        def _refuse_rest(self, *, answer: bytes) -> None:
            """Drop what comes, and close once whole requests are answered.

            Args:
                answer: What a caller is told whose head is refused.
            """
            self._refused = True
            if self.cycle is None or self.headers is not self.cycle.scope["headers"]:
                # A closed connection is collected late, with all that it refers to.
                self.headers.clear()
            if len(self._unanswered) > self._receives_body:
                # What comes is read and dropped: to close a socket that holds unread
                # bytes would reset the connection, and the answer with it.
                return
            if not self._unanswered:
                self.transport.write(answer)
            self.transport.close()

        def _check_progress(
            self, *, received: int, limits: CallerLimits | None
        ) -> None:
            """Refuse more of a connection that sends neither heads nor bodies.

            Trailers are neither, and a single line may have no end.
            """
            self._bytes_without_progress += received
            if self._has_progress:
                self._bytes_without_progress = 0
            limit = (
                DEFAULT_MAX_HEADER_BYTES if limits is None else limits.max_header_bytes
            )
            if self._bytes_without_progress <= limit or self.transport.is_closing():
                return
            log.warning("no_progress", received=self._bytes_without_progress)
            self._refuse_rest(answer=HEADERS_TOO_LARGE_ANSWER)

        def _release_head(self, answered: RequestResponseCycle) -> None:
            """Let go of the head that uvicorn keeps until the next request."""
            if answered.scope["headers"] is self.headers:
                self.headers = []
            answered.scope["headers"] = []

        def _waited_seconds(self) -> float:
            connection = self.transport.get_extra_info("socket")
            if connection is None:
                return 0.0
            return seconds_since_last_data(connection=connection)

        def _wait_if_idle(self) -> None:
            """Start the idle timer again, which the rest of a refused body stops."""
            answered = self.cycle is not None and self.cycle.response_complete
            if answered and self._head_timer is None:
                self._unset_keepalive_if_required()
                self._start_idle_timer()

        def _start_idle_timer(self) -> None:
            self._idle_since = self.loop.time()
            self.timeout_keep_alive_task = self.loop.call_later(
                _idle_timeout(limits()), self.timeout_keep_alive_handler
            )

        def timeout_keep_alive_handler(self) -> None:
            """Close an idle connection, unless its limit has been raised meanwhile."""
            closes_at = self._idle_since + _idle_timeout(limits())
            if closes_at <= self.loop.time():
                super().timeout_keep_alive_handler()
                return
            self.timeout_keep_alive_task = self.loop.call_at(
                closes_at, self.timeout_keep_alive_handler
            )

        def _close_if_idle(self) -> None:
            # uvicorn keeps the latest request here, which is answered last.
            if self.cycle is None or self.cycle.response_complete:
                self.transport.close()

        @property
        def _reading_head(self) -> bool:
            """Whether the next bytes belong to a request head."""
            answered = self.cycle is None or self.cycle.response_complete
            return answered and not self._receives_body

        @property
        def _offers_protocol(self) -> bool:
            """Whether the request offers to switch to another protocol."""
            return any(name == b"upgrade" for name, _ in self.headers)

        def _parse(self, data: bytes) -> None:
            self._unset_keepalive_if_required()
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserUpgrade as offer:
                # The parser takes the head of such a request for all of it, whether it
                # has a body or not.
                head, self._declined_head = self._declined_head, b""
                if head:
                    self.parser = httptools.HttpRequestParser(self)
                    self.parser.set_dangerous_leniencies(lenient_data_after_close=True)
                    self._parse(head + data[offer.args[0] :])
            except httptools.HttpParserError:
                message = "Invalid HTTP request received."
                self.logger.warning(message)
                self.send_400_response(message)

        def _head_without_offer(self) -> bytes:
            """Return the head of a request as if it offered no other protocol."""
            version = self.parser.get_http_version().encode()
            lines = [self.parser.get_method() + b" " + self.url + b" HTTP/" + version]
            lines += [
                b"%s: %s" % each for each in self.headers if each[0] != b"upgrade"
            ]
            return b"\r\n".join(lines) + b"\r\n\r\n"

        def _finish_head(self) -> None:
            self._head_bytes = 0
            if self._head_timer is not None:
                self._head_timer.cancel()
                self._head_timer = None

        def _close_slow_head(self) -> None:
            """Close a connection whose caller sends the request head too slowly."""
            self._head_timer = None
            log.warning("head_too_slow", received=self._head_bytes)
            self.transport.close()

    return CallerProtocol


def _idle_timeout(limits: CallerLimits | None) -> float:
    """Return the seconds after which an idle connection is closed."""
    return limits.idle_timeout if limits is not None else DEFAULT_IDLE_SECONDS
