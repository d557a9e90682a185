"""Detection of datagrams that were received before.

Sessions grow from one opening of a sender's channel to the next, sequence
numbers grow within a session. A window of the newest numbers allows datagrams
to overtake each other on the way.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.address import Address

WINDOW = 256
"""Sequence numbers below the newest one that may still arrive."""

SESSION_MEMORY = 10.0
"""Seconds of silence after which a peer's session is forgotten.

A peer whose wall clock was set back between two openings is ignored no longer
than this.
"""

MAX_PEERS = 8192
"""Peers that are remembered; the one silent for longest is forgotten first."""

_WINDOW_MASK = (1 << WINDOW) - 1


@dataclass(kw_only=True, slots=True)
class _Window:
    """The newest datagrams of a peer.

    Attributes:
        session: The peer's newest session.
        newest: The highest sequence number of the session.
        seen: Bit N is set if the number `newest - N` was received.
        heard_at: When it was last heard, seconds on the monotonic clock.
    """

    session: int
    newest: int
    seen: int
    heard_at: float


class ReplayGuard:
    """Remembers what each peer has sent lately."""

    def __init__(self) -> None:
        self._windows: OrderedDict[Address, _Window] = OrderedDict()

    def is_new(self, *, peer: Address, session: int, sequence: int, now: float) -> bool:
        """Tell whether a datagram is new, and remember it."""
        window = self._windows.get(peer)
        if window is None or self._is_next_session(window, session, now):
            self._start(peer=peer, session=session, sequence=sequence, now=now)
            return True
        if session < window.session:
            return False
        if not _note(window=window, sequence=sequence):
            return False
        window.heard_at = now
        self._windows.move_to_end(peer)
        return True

    def _is_next_session(self, window: _Window, session: int, now: float) -> bool:
        if session > window.session:
            return True
        return session < window.session and now > window.heard_at + SESSION_MEMORY

    def _start(self, *, peer: Address, session: int, sequence: int, now: float) -> None:
        self._windows[peer] = _Window(
            session=session, newest=sequence, seen=1, heard_at=now
        )
        self._windows.move_to_end(peer)
        if len(self._windows) > MAX_PEERS:
            self._windows.popitem(last=False)


def _note(*, window: _Window, sequence: int) -> bool:
    ahead = sequence - window.newest
    if ahead > 0:
        window.seen = ((window.seen << min(ahead, WINDOW)) | 1) & _WINDOW_MASK
        window.newest = sequence
        return True
    if -ahead >= WINDOW:
        return False
    bit = 1 << -ahead
    if window.seen & bit:
        return False
    window.seen |= bit
    return True
