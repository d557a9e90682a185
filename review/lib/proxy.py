"""A TCP proxy on the loopback interface that can silence or reset connections."""

from __future__ import annotations

import asyncio
import contextlib


class Proxy:
    """Passes connections on to one port.

    Attributes:
        port: Port on which it listens.
        refusing: Whether it resets each new connection at once.
        stalled: Whether new connections are accepted and get nothing passed on.
        passed: Number of times that bytes were passed on.
    """

    def __init__(self, *, target: int) -> None:
        self._target = target
        self._silent: set[int] = set()
        self._open: dict[int, list[asyncio.StreamWriter]] = {}
        self._next = 0
        self._server: asyncio.Server | None = None
        self.port = 0
        self.refusing = False
        self.stalled = False
        self.passed = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._open)

    def silence(self) -> int:
        """Let nothing more pass on the open connections; return their number."""
        self._silent |= self._open.keys()
        return len(self._open)

    def reset(self) -> int:
        """Reset the open connections; return their number."""
        for writers in self._open.values():
            for writer in writers:
                writer.transport.abort()
        return len(self._open)

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.refusing:
            writer.transport.abort()
            return
        number, self._next = self._next, self._next + 1
        if self.stalled:
            self._silent.add(number)
        self._open[number] = [writer]
        try:
            up_reader, up_writer = await asyncio.open_connection(
                "127.0.0.1", self._target
            )
            self._open[number].append(up_writer)
            copies = [
                asyncio.ensure_future(self._copy(number, reader, up_writer)),
                asyncio.ensure_future(self._copy(number, up_reader, writer)),
            ]
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
            for copy in copies:
                copy.cancel()
        except OSError:
            pass
        finally:
            for each in self._open.pop(number):
                if number in self._silent:
                    # The peer must see neither an end nor a reset.
                    continue
                with contextlib.suppress(OSError):
                    each.close()

    async def _copy(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while data := await reader.read(65536):
                if number in self._silent:
                    await asyncio.sleep(3600)
                self.passed += 1
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        if number in self._silent:
            await asyncio.sleep(3600)
