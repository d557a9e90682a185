"""Callers that keep connections, and what became of each of their requests."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
import h11
import orjson

from dotterelpaddle.platform.names import Header
from dotterelpaddle.tests.forwarding.harness import HOST, KEY

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from anyio.abc import SocketStream

    from dotterelpaddle.address import Address

EVENT = re.compile(rb"id: (\d+)\ndata: e\d+ (\S+)\n\n")
EVENTS = 12
TIME_LEFT_SECONDS = 9.0
MIN_TIMEOUT_SECONDS = 5.0
"""Shortest timeout of any route; the callers' own deadline is later."""

GIVE_UP_SECONDS = 12.0
REQUESTS_PER_CONNECTION = 6
READ_SIZE = 65536

SUCCESS = 200
REFUSALS = frozenset({429, 503})
"""Statuses that state that a request has not run."""

DENIALS = frozenset({401, 404})
"""Statuses of requests whose key or route the configuration hasn't."""

PASSING_PREFIX, PASSING_KEY = "safe/passing", "key-2"
"""A route and a key that some versions of the configuration don't have."""


@dataclass(kw_only=True)
class Call:
    """A request that was sent whole on a connection.

    Attributes:
        request_id: Request id.
        path: Path.
        key: Key of the client account.
        router: Number of the router.
        reused: Whether the connection had carried a request before.
        sent_at: When the last byte was sent.
        ended_at: When the answer was complete, or the connection ended.
        status: Status of the answer, 0 for none.
        body: Body as far as it arrived.
        complete: Whether the answer ended as HTTP requires.
    """

    request_id: bytes
    path: str
    key: str
    router: int
    reused: bool
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    body: bytes = b""
    complete: bool = False

    @property
    def seconds(self) -> float:
        """Seconds from the last byte sent to the end."""
        return self.ended_at - self.sent_at

    @property
    def served(self) -> bool:
        """Whether all of the right answer arrived."""
        if not self.complete or self.status != SUCCESS:
            return False
        if not self.path.startswith("/stream/"):
            return orjson.loads(self.body)["id"].encode() == self.request_id
        events = EVENT.findall(self.body)
        numbers = [int(number) for number, _ in events]
        whole = numbers == list(range(1, EVENTS + 1))
        return whole and len({version for _, version in events}) == 1

    @property
    def refused(self) -> bool:
        """Whether the whole answer states that the request has not run."""
        return self.complete and self.status in REFUSALS

    @property
    def denied(self) -> bool:
        """Whether its key or route may have been missing, and was."""
        passing = self.key == PASSING_KEY or self.path.startswith(f"/{PASSING_PREFIX}/")
        return passing and self.complete and self.status in DENIALS

    @property
    def lost(self) -> bool:
        """Whether it ended early with neither its answer nor a refusal."""
        return not self.ended_well and self.seconds < MIN_TIMEOUT_SECONDS

    @property
    def ended_well(self) -> bool:
        """Whether it got its answer or a refusal."""
        return self.served or self.refused or self.denied

    def __str__(self) -> str:
        events = len(EVENT.findall(self.body))
        return (
            f"{self.request_id.decode()} {self.path} at router {self.router + 1}: "
            f"status {self.status}, {events} events, {len(self.body)} bytes, "
            f"ended {self.seconds:.3f} s after its last byte"
            f"{', on a used connection' if self.reused else ''}"
        )


@dataclass(kw_only=True)
class Callers:
    """Callers that send several requests on each connection.

    Attributes:
        routers: Addresses of the routers.
        paths: Paths that they call.
        keys: Keys that they use.
        generator: Source of their choices.
        pause: Seconds before each request.
        calling: Whether they go on.
        calls: All requests that were sent whole.
        active: Number of callers that still run.
    """

    routers: Sequence[Address]
    paths: Sequence[str]
    keys: Sequence[str] = (KEY,)
    generator: random.Random
    pause: float = 0.0
    calling: bool = True
    calls: list[Call] = field(default_factory=list)
    active: int = 0

    async def call(self) -> None:
        """Keep a connection at a time, to one router after the other."""
        self.active += 1
        while self.calling:
            router = self.generator.randrange(len(self.routers))
            address = self.routers[router]
            try:
                stream = await anyio.connect_tcp(address.host, address.port)
            except OSError:
                await anyio.sleep(0.05)
                continue
            async with stream:
                await self._use(stream, router)
        self.active -= 1

    async def _use(self, stream: SocketStream, router: int) -> None:
        connection = h11.Connection(our_role=h11.CLIENT)
        for number in range(REQUESTS_PER_CONNECTION):
            await anyio.sleep(self.pause)
            if not self.calling or (number and await _is_closed(stream)):
                return
            request_id = b"silence-%d" % self.generator.getrandbits(48)
            path, key = (
                self.generator.choice(each) for each in (self.paths, self.keys)
            )
            try:
                await stream.send(_request(connection, path, key, request_id))
            except anyio.BrokenResourceError:
                return
            call = Call(
                request_id=request_id,
                path=path,
                key=key,
                router=router,
                reused=number > 0,
                sent_at=anyio.current_time(),
            )
            with anyio.move_on_after(GIVE_UP_SECONDS):
                await _read_answer(stream, connection, call)
            call.ended_at = anyio.current_time()
            self.calls.append(call)
            if connection.our_state is not h11.DONE or not call.complete:
                return
            if connection.their_state is not h11.DONE:
                return
            connection.start_next_cycle()


def _request(
    connection: h11.Connection, path: str, key: str, request_id: bytes
) -> bytes:
    headers = [
        (b"host", HOST.encode()),
        (Header.REQUEST_ID, request_id),
        (Header.TIME_LEFT_MS, b"%d" % (1000 * TIME_LEFT_SECONDS)),
        (Header.KEY, key.encode()),
        (b"content-length", b"0"),
    ]
    head = h11.Request(method="POST", target=path, headers=headers)
    parts = [connection.send(head), connection.send(h11.EndOfMessage())]
    return b"".join(part or b"" for part in parts)


async def _is_closed(stream: SocketStream) -> bool:
    """Return whether the router has closed a connection that is idle."""
    try:
        with anyio.move_on_after(0.001):
            await stream.receive(READ_SIZE)
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return True
    return False


async def _read_answer(
    stream: SocketStream, connection: h11.Connection, call: Call
) -> None:
    while True:
        try:
            event = connection.next_event()
        except h11.RemoteProtocolError:
            return
        match event:
            case h11.Response(status_code=status):
                call.status = status
            case h11.Data(data=data):
                call.body += data
            case h11.EndOfMessage():
                call.complete = True
                return
            case h11.ConnectionClosed():
                return
            case _:
                try:
                    connection.receive_data(await stream.receive(READ_SIZE))
                except anyio.EndOfStream:
                    connection.receive_data(b"")
                except anyio.BrokenResourceError:
                    return
