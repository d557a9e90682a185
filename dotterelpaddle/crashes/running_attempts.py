"""The attempts that run at each endpoint, all of which are evidence if it ends."""

from __future__ import annotations

from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.crashes.subjects import PartSubject
from dotterelpaddle.dispatch.outcome import AttemptState

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dotterelpaddle.crashes.subjects import CrashSubject
    from dotterelpaddle.forwarding.progress import AttemptProgress
    from dotterelpaddle.ids import EndpointId


@dataclass(frozen=True, kw_only=True, slots=True, eq=False)
class RunningAttempt:
    """An attempt that has been sent and has not ended.

    Attributes:
        subjects: Its request and the parts of its prompt.
        progress: How far it has come.
    """

    subjects: tuple[CrashSubject, ...]
    progress: AttemptProgress

    def evidence(self) -> Iterator[tuple[CrashSubject, float | None]]:
        """Return each subject, and for parts when the attempt began."""
        for subject in self.subjects:
            is_part = isinstance(subject, PartSubject)
            yield subject, self.progress.started_at if is_part else None

    @property
    def has_begun_without_output(self) -> bool:
        """Whether the answer has begun and has no content yet."""
        progress = self.progress
        return (
            progress.attempt.state is not AttemptState.SENT and not progress.has_output
        )


class RunningAttempts:
    """Tracks the attempts of this router by endpoint."""

    def __init__(self) -> None:
        self._attempts: dict[EndpointId, set[RunningAttempt]] = {}

    @contextmanager
    def run(self, *, endpoint: EndpointId, attempt: RunningAttempt) -> Iterator[None]:
        """Track an attempt until the context ends."""
        attempts = self._attempts.setdefault(endpoint, set())
        attempts.add(attempt)
        try:
            yield
        finally:
            attempts.discard(attempt)
            if not attempts and self._attempts.get(endpoint) is attempts:
                del self._attempts[endpoint]

    def at(self, *, endpoint: EndpointId) -> tuple[RunningAttempt, ...]:
        """Return the attempts that run at an endpoint."""
        return tuple(self._attempts.get(endpoint, ()))
