"""What a router does about placement apart from requests, in small steps."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.placement.directory import Directory
    from dotterelpaddle.placement.duties import OwnerDuties
    from dotterelpaddle.placement.leaving import LeavingNews
    from dotterelpaddle.placement.reporting import Reporting


class Upkeep:
    """Does what is due and looks at nothing else.

    Args:
        directory: The shards.
        reporting: Tells owners of this router's load.
        duties: What this router does as an owner.
        news: The news of leaving endpoints.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        reporting: Reporting,
        duties: OwnerDuties,
        news: LeavingNews,
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._reporting = reporting
        self._duties = duties
        self._news = news
        self._clock = clock
        self._elections: int | None = None
        self._generation: int | None = None

    def tick(self) -> None:
        """Do what is due now."""
        self._directory.sync(now=self._clock())
        self._follow_elections()
        self._reporting.send_due_refreshes()
        self._duties.send_due_summaries()
        self._follow_records()
        for state in self._directory.attended():
            self._duties.settle(state=state)
            state.follow_time(now=self._clock())
        self._duties.forget_departed()

    def _follow_elections(self) -> None:
        if self._directory.elections == self._elections:
            return
        self._elections = self._directory.elections
        self._reporting.hand_over()
        self._reporting.introduce()
        self._reporting.leave_deposed()

    def _follow_records(self) -> None:
        if self._directory.generation == self._generation:
            return
        self._generation = self._directory.generation
        self._news.follow_records()
