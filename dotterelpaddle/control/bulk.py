"""Transfers of any size between routers, one TCP connection each.

The server opens with a random challenge. Both frames carry a tag over the
challenge, the frame's role and its content, so neither can be forged, sent
again later, or passed off as the other one.
"""

from __future__ import annotations

import secrets
import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
from anyio.streams.buffered import BufferedByteReceiveStream

from dotterelpaddle.control import envelope as codec
from dotterelpaddle.control.traffic import Drop
from dotterelpaddle.exceptions import BudgetSpent, ControlError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import SocketStream

    from dotterelpaddle.address import Address
    from dotterelpaddle.control.authentication import Authenticator
    from dotterelpaddle.control.envelope import Envelope
    from dotterelpaddle.control.traffic import Traffic
    from dotterelpaddle.links import Links

CHALLENGE_SIZE = 16
"""Bytes of the server's challenge."""

TAG_SIZE = 16
"""Bytes of a frame's authentication tag."""

MAX_REQUEST = 262_144
"""Most bytes of a request frame, which is read before it can be checked."""

MAX_REPLY = 33_554_432
"""Most bytes of a reply frame."""

MAX_CONNECTIONS = 64
"""Connections that are served at once; further ones are closed."""

SERVE_TIMEOUT = 30.0
"""Seconds that a served connection may take."""

REQUEST_ROLE = b"request"
REPLY_ROLE = b"reply"

_LENGTH = struct.Struct("!I")


@dataclass(frozen=True, kw_only=True, slots=True)
class FrameCodec:
    """Reads and writes frames.

    Attributes:
        authenticator: Makes and checks tags.
    """

    authenticator: Authenticator

    def pack(self, *, content: bytes, context: bytes) -> bytes:
        """Make a frame."""
        tag = self.authenticator.tag(content=content, context=context)
        return _LENGTH.pack(len(content)) + tag + content

    async def read(
        self, *, stream: BufferedByteReceiveStream, context: bytes, limit: int
    ) -> bytes:
        """Read a frame.

        Raises:
            ControlError: If it is too long or not by the fleet.
        """
        (length,) = _LENGTH.unpack(await stream.receive_exactly(_LENGTH.size))
        if length > limit:
            raise ControlError(f"a frame of {length} bytes is over {limit}")
        tag = await stream.receive_exactly(TAG_SIZE)
        content = await stream.receive_exactly(length)
        if not self.authenticator.accepts(tag=tag, content=content, context=context):
            raise ControlError("a frame's tag is not by a key of the fleet")
        return content


class BulkClient:
    """Sends requests over TCP.

    Args:
        frames: Reads and writes frames.
        links: The process's links.
    """

    def __init__(self, *, frames: FrameCodec, links: Links) -> None:
        self._frames = frames
        self._links = links

    async def fetch(
        self, *, peer: Address, request: Envelope, timeout: float
    ) -> Envelope:
        """Send a request and wait for the reply.

        Raises:
            ControlError: If the peer is unreachable or no reply came in time.
        """
        try:
            with anyio.fail_after(timeout):
                return await self._exchange(peer=peer, request=request)
        except TimeoutError as error:
            raise ControlError(
                f"no reply over TCP within {timeout:.3f} s", peer=str(peer)
            ) from error
        except (OSError, anyio.IncompleteRead, anyio.BrokenResourceError) as error:
            raise ControlError(
                f"the TCP connection failed: {error!r}", peer=str(peer)
            ) from error

    async def _exchange(self, *, peer: Address, request: Envelope) -> Envelope:
        await self._wait_while_cut(peer=peer)
        async with await anyio.connect_tcp(peer.host, peer.port) as connection:
            stream = BufferedByteReceiveStream(connection)
            challenge = await stream.receive_exactly(CHALLENGE_SIZE)
            content = codec.encode(envelope=request)
            context = challenge + REQUEST_ROLE
            await connection.send(self._frames.pack(content=content, context=context))
            reply = await self._frames.read(
                stream=stream, context=challenge + REPLY_ROLE, limit=MAX_REPLY
            )
            await self._wait_while_cut(peer=peer)
            return codec.decode(content=reply)

    async def _wait_while_cut(self, *, peer: Address) -> None:
        """Hang as a connection does whose packets are lost."""
        if not self._links.is_open(peer=peer):
            await anyio.sleep_forever()


class BulkServer:
    """Answers requests over TCP.

    Args:
        frames: Reads and writes frames.
        answer: Turns a request into a reply.
        traffic: Counts.
    """

    def __init__(
        self,
        *,
        frames: FrameCodec,
        answer: Callable[[Envelope], Awaitable[Envelope]],
        traffic: Traffic,
    ) -> None:
        self._frames = frames
        self._answer = answer
        self._traffic = traffic
        self._connections = 0

    async def handle(self, connection: SocketStream) -> None:
        """Serve one connection; whatever it sends, the server goes on."""
        async with connection:
            if self._connections >= MAX_CONNECTIONS:
                self._traffic.drop(reason=Drop.OVERLOADED)
                return
            self._connections += 1
            try:
                with anyio.move_on_after(SERVE_TIMEOUT):
                    await self._serve(connection=connection)
            except BudgetSpent:
                self._traffic.drop(reason=Drop.OVERLOADED)
            except ControlError:
                self._traffic.drop(reason=Drop.MALFORMED)
            except (
                OSError,
                anyio.BrokenResourceError,
                anyio.EndOfStream,
                anyio.IncompleteRead,
            ):
                self._traffic.drop(reason=Drop.MALFORMED)
            finally:
                self._connections -= 1

    async def _serve(self, *, connection: SocketStream) -> None:
        challenge = secrets.token_bytes(CHALLENGE_SIZE)
        await connection.send(challenge)
        content = await self._frames.read(
            stream=BufferedByteReceiveStream(connection),
            context=challenge + REQUEST_ROLE,
            limit=MAX_REQUEST,
        )
        reply = await self._answer(codec.decode(content=content))
        frame = self._frames.pack(
            content=codec.encode(envelope=reply), context=challenge + REPLY_ROLE
        )
        await connection.send(frame)
