"""What the connections of callers hold where memory is limited."""

from __future__ import annotations

import asyncio
from contextlib import ExitStack
from typing import TYPE_CHECKING

from dotterelpaddle.logs import get_logger
from dotterelpaddle.memory.kinds import HeldKind
from dotterelpaddle.transport import MAX_BUFFERED_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelpaddle.memory.held_bytes import HeldBytes

log = get_logger(name=__name__)

CONNECTION_BYTES = 16 * 1024
"""What an open connection of a caller takes while no request runs on it: 14 KB were
measured for both ends."""

WAITING_REQUEST_BYTES = 3 * 1024
"""What a request takes that waits behind another one on its connection: 2.7 KB were
measured for the shortest head. Some thousand of them fit into one read."""


class CallerMemory:
    """Holds what one connection takes: requests that wait, and bytes to be read.

    The server's transport would keep bytes to be read, and the connection with them,
    for good if the caller reads nothing. So the connection is reset once nothing of
    them has been read for the idle timeout. While a request runs, its deadline applies
    instead.

    Args:
        transport: The connection.
        held: What is held in sum.
        is_answering: Returns whether a request runs.
        idle_timeout: Returns the seconds after which the connection counts as idle.
    """

    def __init__(
        self,
        *,
        transport: asyncio.Transport,
        held: HeldBytes,
        is_answering: Callable[[], bool],
        idle_timeout: Callable[[], float],
    ) -> None:
        self._transport = transport
        self._held = held
        self._is_answering = is_answering
        self._idle_timeout = idle_timeout
        self._connection = ExitStack()
        self._connection.enter_context(
            held.hold(kind=HeldKind.CONNECTION, size=CONNECTION_BYTES)
        )
        self._unread = ExitStack()
        self._endpoint = ExitStack()
        self._waiting = ExitStack()
        self._left = 0
        # The server is told of any byte that waits, not only of many.
        transport.set_write_buffer_limits(high=0)

    def set_waiting(self, *, requests: int) -> None:
        """Hold a number of requests that wait behind the one that runs."""
        self._waiting.close()
        if requests:
            size = requests * WAITING_REQUEST_BYTES
            self._hold(self._waiting, kind=HeldKind.REQUEST, size=size)

    def begin_unread(self) -> None:
        """Hold what waits to be read from now on."""
        self._left = self._transport.get_write_buffer_size()
        self._hold(self._unread, kind=HeldKind.UNREAD, size=self._left)
        if self._is_answering():
            # The rest of the answer waits on the endpoint's connection meanwhile.
            self._hold(self._endpoint, kind=HeldKind.ANSWER, size=MAX_BUFFERED_BYTES)
        self._check_later()

    def end_unread(self) -> None:
        """Release it: the caller has read all of it."""
        self._endpoint.close()
        self._unread.close()

    def end_answer(self) -> None:
        """Note that the endpoint has nothing left to send for the request."""
        self._endpoint.close()

    def close(self) -> None:
        """Release all, as the connection is closed."""
        self.end_unread()
        self._waiting.close()
        self._connection.close()

    def _hold(self, stack: ExitStack, *, kind: HeldKind, size: int) -> None:
        """Hold bytes until a stack is closed."""
        stack.enter_context(self._held.hold(kind=kind, size=size))

    def _check_later(self) -> None:
        timer = asyncio.get_running_loop().call_later(self._idle_timeout(), self._check)
        self._unread.callback(timer.cancel)

    def _check(self) -> None:
        """Reset the connection if its caller has read nothing since the last check."""
        left = self._transport.get_write_buffer_size()
        if left >= self._left and not self._is_answering():
            log.warning("answer_unread", unread=left, seconds=self._idle_timeout())
            self._transport.abort()
            return
        self._left = left
        self._check_later()
