"""One contender's view of one lease, without I/O.

The holder believes in its lease from when it *sent* the last renewal that took
effect, less a margin. The others wait the whole duration from when they first
*saw* that renewal. As nobody sees a write before it is sent, the holder stops
before another one may take over, whatever the clocks show, if only their rates
differ by less than the margin over the duration.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from dotterelpaddle.ids import AttemptId, LeaseEpoch
from dotterelpaddle.leases.row import NOBODY, LeaseContent, LeaseRow

if TYPE_CHECKING:
    from dotterelpaddle.ids import Revision
    from dotterelpaddle.leases.settings import LeaseSettings

NEVER = float("-inf")
"""A time before all others."""

FOREVER = float("inf")


@dataclass(frozen=True, kw_only=True, slots=True)
class Pause:
    """Wait; there is nothing to do before a time.

    Attributes:
        until: Seconds on the monotonic clock.
    """

    until: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadRow:
    """Read the lease's row."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteRow:
    """Write the lease's row by compare-and-set.

    Attributes:
        attempt: Name of the attempt.
        expected: Revision the row must have, 0 if there must be none.
        content: What to write.
    """

    attempt: AttemptId
    expected: Revision
    content: LeaseContent


@dataclass(frozen=True, kw_only=True, slots=True)
class FindAttempt:
    """Find out whether a write whose answer was lost took effect.

    Attributes:
        attempt: Name of the attempt.
    """

    attempt: AttemptId


Step = Pause | ReadRow | WriteRow | FindAttempt


@dataclass(frozen=True, kw_only=True, slots=True)
class _Pending:
    """A write that has been sent.

    Attributes:
        write: The write.
        sent_at: When, seconds on the monotonic clock.
        lost: Whether its answer was lost.
    """

    write: WriteRow
    sent_at: float
    lost: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class _Tenure:
    """A time for which this contender holds the lease.

    Attributes:
        epoch: Fencing number.
        since: When this contender learned of it.
        until: When it stops believing.
    """

    epoch: LeaseEpoch
    since: float
    until: float


class Lease:
    """Decides what one contender does about one lease.

    The caller asks for the next step, carries it out, and tells the result by
    one of the `on_` methods. All times are seconds on the monotonic clock.

    Args:
        name: Name of the lease.
        holder: Name of this contender, another one after each start of a process.
        settings: Times of the lease.

    Attributes:
        contending: Whether to take the lease when it is free. A holder keeps it
            whatever this says.
    """

    def __init__(self, *, name: str, holder: str, settings: LeaseSettings) -> None:
        if holder == NOBODY:
            raise ValueError("a holder needs a name")
        self.contending = True
        self._name = name
        self._holder = holder
        self._settings = settings
        self._row: LeaseRow | None = None
        self._row_seen_at = NEVER
        self._read_at = NEVER
        self._tenure: _Tenure | None = None
        self._pending: _Pending | None = None
        self._next_at = NEVER
        self._abstains_until = NEVER
        self._attempts = 0

    @property
    def epoch(self) -> LeaseEpoch:
        """Fencing number of the current or last tenure, 0 before the first."""
        return LeaseEpoch(0) if self._tenure is None else self._tenure.epoch

    @property
    def since(self) -> float:
        """When the current or last tenure began."""
        return NEVER if self._tenure is None else self._tenure.since

    @property
    def released(self) -> bool:
        """Whether there is nothing left to give up."""
        abstains = self._abstains_until == FOREVER
        return abstains and self._pending is None and not self._is_own()

    def held(self, *, now: float) -> bool:
        """Tell whether this contender may act as the holder."""
        return self.remaining(now=now) > 0.0

    def remaining(self, *, now: float) -> float:
        """Tell for how many seconds it may act without another renewal."""
        if self._tenure is None or self._abstains(now=now):
            return 0.0
        return max(0.0, self._tenure.until - now)

    def release(self, *, until: float = FOREVER) -> None:
        """Stop acting as the holder; the next write gives the lease up.

        Args:
            until: When to contend again.
        """
        self._abstains_until = until
        self._end_tenure()
        self._next_at = NEVER

    def next_step(self, *, now: float) -> Step:
        """Say what to do next."""
        if now < self._next_at:
            return Pause(until=self._next_at)
        if self._pending is not None:
            return FindAttempt(attempt=self._pending.write.attempt)
        if self._row is None:
            return self._look(now=now)
        if self._is_own():
            return self._keep(row=self._row, now=now)
        return self._contend(row=self._row, now=now)

    def on_row(self, *, row: LeaseRow, now: float) -> None:
        """Learn the row as it was read."""
        self._learn(row=row, now=now)
        self._next_at = now

    def on_commit(self, *, revision: Revision, now: float) -> None:
        """Learn that the pending write took effect."""
        pending = self._take_pending()
        content = pending.write.content
        self._learn(row=LeaseRow(revision=revision, content=content), now=now)
        self._next_at = now
        if content.holder == NOBODY:
            self._end_tenure()
            return
        self._tenure = _Tenure(
            epoch=LeaseEpoch(content.epoch),
            since=self.since if content.epoch == self.epoch else now,
            until=pending.sent_at + self._settings.duration - self._settings.margin,
        )
        self._next_at = pending.sent_at + self._settings.renew_every

    def on_conflict(self, *, row: LeaseRow, now: float) -> None:
        """Learn that the pending write met another row and had no effect."""
        self._take_pending()
        known = self._row
        self.on_row(row=row, now=now)
        if self._row is known:
            # The answer does not tell the row that stands in the way.
            self._row = None
            self._next_at = now + self._settings.retry_every

    def on_unavailable(self, *, now: float) -> None:
        """Learn that the step had no effect."""
        if self._pending is not None and not self._pending.lost:
            self._pending = None
        self._next_at = now + self._settings.retry_every

    def on_answer_lost(self, *, now: float) -> None:
        """Learn that the pending write may have taken effect."""
        self._pending = replace(self._take_pending(), lost=True)
        self._next_at = now

    def on_found(self, *, revision: Revision | None, now: float) -> None:
        """Learn whether the pending write took effect, None if it never will."""
        if revision is not None:
            self.on_commit(revision=revision, now=now)
            return
        self._take_pending()
        self._next_at = now + self._settings.retry_every

    def _look(self, *, now: float) -> Step:
        if self.contending and not self._abstains(now=now):
            return ReadRow()
        return Pause(until=now + self._settings.poll_every)

    def _keep(self, *, row: LeaseRow, now: float) -> Step:
        if self._abstains(now=now):
            return self._write(row=row, holder=NOBODY, epoch=self.epoch, now=now)
        if self.held(now=now):
            return self._write(row=row, holder=self._holder, epoch=self.epoch, now=now)
        # A tenure that has lapsed is over, even if nobody else has taken over.
        return self._contend(row=row, now=now)

    def _contend(self, *, row: LeaseRow, now: float) -> Step:
        if self._abstains(now=now):
            return Pause(until=self._abstains_until)
        if not self.contending:
            return Pause(until=now + self._settings.poll_every)
        lapses_at = self._lapses_at(row=row)
        if lapses_at <= now:
            epoch = LeaseEpoch(max(row.content.epoch, self.epoch) + 1)
            return self._write(row=row, holder=self._holder, epoch=epoch, now=now)
        poll_at = self._read_at + self._settings.poll_every
        if poll_at <= now:
            return ReadRow()
        return Pause(until=min(lapses_at, poll_at))

    def _lapses_at(self, *, row: LeaseRow) -> float:
        """Tell when the lease may be taken over."""
        if row.content.holder in (NOBODY, self._holder):
            return NEVER
        return self._row_seen_at + row.content.duration

    def _write(
        self, *, row: LeaseRow, holder: str, epoch: LeaseEpoch, now: float
    ) -> WriteRow:
        self._attempts += 1
        write = WriteRow(
            attempt=AttemptId(f"{self._holder}-{self._name}-{self._attempts}"),
            expected=row.revision,
            content=LeaseContent(
                holder=holder, epoch=epoch, duration=self._settings.duration
            ),
        )
        self._pending = _Pending(write=write, sent_at=now)
        return write

    def _learn(self, *, row: LeaseRow, now: float) -> None:
        self._read_at = now
        if self._row is None or row.revision > self._row.revision:
            self._row = row
            self._row_seen_at = now

    def _take_pending(self) -> _Pending:
        pending = self._pending
        if pending is None:
            raise AssertionError("a result came without a write")
        self._pending = None
        return pending

    def _abstains(self, *, now: float) -> bool:
        return now < self._abstains_until

    def _end_tenure(self) -> None:
        if self._tenure is not None:
            self._tenure = replace(self._tenure, until=NEVER)

    def _is_own(self) -> bool:
        return self._row is not None and self._row.content.holder == self._holder
