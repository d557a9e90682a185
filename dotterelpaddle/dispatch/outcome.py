r"""Decides from evidence alone how a request ended.

No clock and no I/O: attempts report what was seen, and this module says what
may be told to the caller and whether another attempt may be sent.

States of one attempt, from left to right; it never goes back::

    UNSENT -> SENT -> ANSWERING -> ANSWERED
                 \-> REFUSED

An attempt proves that nothing ran while it is UNSENT, and once it is REFUSED.
In all other states the request may have run.
"""

from __future__ import annotations

from enum import Enum

from dotterelpaddle.endpoint.evidence import Evidence
from dotterelpaddle.pipeline import Outcome


class AttemptState(Enum):
    """How far an attempt came."""

    UNSENT = "unsent"
    SENT = "sent"
    REFUSED = "refused"
    ANSWERING = "answering"
    ANSWERED = "answered"


TRANSITIONS = {
    (AttemptState.UNSENT, Evidence.SENT): AttemptState.SENT,
    (AttemptState.UNSENT, Evidence.ANSWER_BEGUN): AttemptState.ANSWERING,
    (AttemptState.UNSENT, Evidence.ANSWER_COMPLETE): AttemptState.ANSWERED,
    (AttemptState.SENT, Evidence.REFUSED): AttemptState.REFUSED,
    (AttemptState.SENT, Evidence.ANSWER_BEGUN): AttemptState.ANSWERING,
    (AttemptState.SENT, Evidence.ANSWER_COMPLETE): AttemptState.ANSWERED,
    (AttemptState.ANSWERING, Evidence.ANSWER_COMPLETE): AttemptState.ANSWERED,
}
"""Evidence that moves an attempt on; all other evidence leaves it where it is.

A refusal counts only from SENT: without a request there is nothing to refuse,
and after an answer has begun it comes too late to be proof.
"""


class Attempt:
    """What is known of one attempt."""

    def __init__(self) -> None:
        self._state = AttemptState.UNSENT
        self._ended = False

    @property
    def ended(self) -> bool:
        """Whether nothing more is sent through it."""
        return self._ended

    @property
    def state(self) -> AttemptState:
        """How far it came."""
        return self._state

    @property
    def proves_not_run(self) -> bool:
        """Whether it is certain that nothing ran through this attempt."""
        return self._state in (AttemptState.UNSENT, AttemptState.REFUSED)

    def observe(self, evidence: Evidence) -> None:
        """Take in a piece of evidence."""
        self._state = TRANSITIONS.get((self._state, evidence), self._state)

    def end(self) -> None:
        """Note that nothing more is sent through it."""
        self._ended = True


class OutcomeLog:
    """The attempts of one request, and what they prove together."""

    def __init__(self) -> None:
        self._attempts: list[Attempt] = []
        self._delivered = False

    @property
    def count(self) -> int:
        """Attempts that were begun."""
        return len(self._attempts)

    @property
    def sent(self) -> int:
        """Attempts of which something was sent."""
        return sum(each.state is not AttemptState.UNSENT for each in self._attempts)

    @property
    def maybe_run(self) -> int:
        """Attempts that may have run."""
        return sum(not each.proves_not_run for each in self._attempts)

    @property
    def delivered(self) -> bool:
        """Whether the caller got the whole answer."""
        return self._delivered

    @property
    def proves_not_run(self) -> bool:
        """Whether it is certain that nothing ran at all."""
        return all(attempt.proves_not_run for attempt in self._attempts)

    @property
    def outcome(self) -> Outcome:
        """What may be told to the caller if the request ended now."""
        if self._delivered:
            return Outcome.COMPLETED
        return Outcome.NOT_RUN if self.proves_not_run else Outcome.UNKNOWN

    def may_send(self, *, idempotent: bool) -> bool:
        """Tell whether another attempt may be sent."""
        if self._delivered:
            return False
        # An attempt that goes on proves nothing: it may still be sent.
        ended = all(attempt.ended for attempt in self._attempts)
        return idempotent or (ended and self.proves_not_run)

    def begin(self, *, idempotent: bool) -> Attempt:
        """Begin an attempt.

        Raises:
            AssertionError: If none may be sent.
        """
        if not self.may_send(idempotent=idempotent):
            raise AssertionError("an attempt was begun that may not be sent")
        attempt = Attempt()
        self._attempts.append(attempt)
        return attempt

    def deliver(self) -> None:
        """Note that the caller gets the whole answer.

        Raises:
            AssertionError: If no attempt brought an answer to its end.
        """
        if not any(each.state is AttemptState.ANSWERED for each in self._attempts):
            raise AssertionError("an answer was delivered that is not whole")
        self._delivered = True
