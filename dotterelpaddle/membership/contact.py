"""Whether this member has been in contact with others, or was paused.

A process that was paused, or a member that was cut off, still believes what it
believed before. It is stale until it has fetched another member's list.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.clock import Clock

ALONE_AFTER = 15.0
"""Seconds of silence after which a stale member goes on by itself.

By then the others have long taken over what it held, or there are none. It is
stale again as soon as it hears from one.
"""


class Contact(Enum):
    """What this member knows of its own contact with others."""

    JOINING = "joining"
    JOINED = "joined"
    ALONE = "alone"


class ContactTracker:
    """Keeps track of pauses and of silence.

    Args:
        clock: Monotonic clock.
        pause: Seconds between two ticks from which on the process was paused.
        isolation: Seconds of silence after which the member is cut off.
    """

    def __init__(self, *, clock: Clock, pause: float, isolation: float) -> None:
        self._clock = clock
        self._pause = pause
        self._isolation = isolation
        self._state = Contact.JOINING
        self._ticked_at = clock()
        self._heard_at = clock()
        self._since = clock()

    @property
    def state(self) -> Contact:
        """The state of contact."""
        return self._state

    @property
    def stale(self) -> bool:
        """Whether this member must not act on what it believes.

        The clock is read as well, since other code may run after a pause before
        the next tick does.
        """
        if self.is_pause(gap=self._clock() - self._ticked_at):
            return True
        return self._state is Contact.JOINING

    def tick(self, *, has_others: bool) -> float:
        """Look at the clock.

        Args:
            has_others: Whether any other member is known of.

        Returns:
            Seconds since the last look.
        """
        now = self._clock()
        gap = now - self._ticked_at
        self._ticked_at = now
        if self.is_pause(gap=gap):
            self._enter(state=Contact.JOINING)
            return gap
        match self._state:
            case Contact.JOINED if has_others:
                if now - self._heard_at >= self._isolation:
                    self._enter(state=Contact.JOINING)
            case Contact.JOINING:
                if now - self._since >= ALONE_AFTER:
                    self._enter(state=Contact.ALONE)
        return gap

    def is_pause(self, *, gap: float) -> bool:
        """Tell whether the process was paused between two looks."""
        return gap >= self._pause

    def heard(self) -> None:
        """Note that another member was heard."""
        self._heard_at = self._clock()
        if self._state is Contact.ALONE:
            self._enter(state=Contact.JOINING)

    def joined(self) -> None:
        """Note that another member's list was fetched."""
        self._heard_at = self._clock()
        self._enter(state=Contact.JOINED)

    def alone(self) -> None:
        """Note that there is nobody to ask."""
        self._enter(state=Contact.ALONE)

    def _enter(self, *, state: Contact) -> None:
        if state is not self._state:
            self._state = state
            self._since = self._clock()
