"""The platform stand-in's lagging list of hosts."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.backing.interface import Host
    from dotterelpaddle.ids import RouterId


class LaggingHosts:
    """A list whose readers see changes some time after they were made.

    Args:
        lag: Seconds until a change shows.

    Attributes:
        lag: The same; it may be changed.
    """

    def __init__(self, *, lag: float) -> None:
        self.lag = lag
        self._pending: deque[tuple[float, RouterId, Host | None]] = deque()
        self._shown: dict[RouterId, Host] = {}

    def put(self, *, router: RouterId, host: Host | None, now: float) -> None:
        """Change or remove an entry."""
        self._pending.append((now, router, host))

    def hosts(self, *, now: float) -> tuple[Host, ...]:
        """Read the list."""
        while self._pending and self._pending[0][0] + self.lag <= now:
            _, router, host = self._pending.popleft()
            self._show(router=router, host=host)
        return tuple(self._shown.values())

    def _show(self, *, router: RouterId, host: Host | None) -> None:
        if host is None:
            self._shown.pop(router, None)
        else:
            self._shown[router] = host
