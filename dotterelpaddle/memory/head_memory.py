"""What the heads of a connection's requests take, beyond what any request takes.

A line of four bytes becomes a pair of byte strings, in the list of the server and in
the copies that are routed and sent on. So a head of many lines takes far more than its
bytes.
"""

from __future__ import annotations

from collections import deque
from contextlib import ExitStack
from typing import TYPE_CHECKING

from dotterelpaddle.memory.kinds import HeldKind

if TYPE_CHECKING:
    from dotterelpaddle.memory.held_bytes import HeldBytes

LINE_BYTES = 200
"""What a header line takes besides its bytes: 190 were measured for short ones."""

COPIES = 2
"""Times that the bytes of a line are held: by the server and by the request."""

USUAL_HEAD_BYTES = 8 * 1024
"""What the estimate for any request contains: some 40 lines."""


class HeadMemory:
    """Holds what the heads of one connection take until their requests are answered.

    Args:
        held: What is held in sum; None where memory is not limited.
    """

    def __init__(self, *, held: HeldBytes | None) -> None:
        self._held = held
        self._reading = 0
        self._heads: deque[int] = deque()
        self._counted = 0
        self._holding = ExitStack()

    def add_line(self, *, size: int) -> None:
        """Count a line of the head that is read.

        Args:
            size: Bytes of its name and value.
        """
        self._reading += LINE_BYTES + COPIES * size

    def check(self) -> None:
        """Hold what the head that is read takes so far.

        Raises:
            NotAccepting: If too much is held for other requests.
        """
        total = sum(self._heads) + self._beyond_usual
        if self._held is not None and total > self._counted:
            self._held.check_room(service=None, size=total - self._counted)
            self._hold(total)

    def end_head(self) -> None:
        """Count the head that has been read until its request is answered."""
        self._heads.append(self._beyond_usual)
        self._reading = 0

    def end_request(self) -> None:
        """Release the head of the first request that is not answered."""
        if self._heads:
            self._heads.popleft()
            self._hold(sum(self._heads) + self._beyond_usual)

    def close(self) -> None:
        """Release all."""
        self._heads.clear()
        self._reading = self._counted = 0
        self._holding.close()

    @property
    def _beyond_usual(self) -> int:
        return max(0, self._reading - USUAL_HEAD_BYTES)

    def _hold(self, total: int) -> None:
        self._counted = total
        self._holding.close()
        if self._held is not None and total:
            self._holding.enter_context(self._held.hold(kind=HeldKind.HEAD, size=total))
