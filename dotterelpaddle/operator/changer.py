"""Makes changes of records: plans them, commits them, and tries again.

A change is accepted once its transaction has committed in the platform's
table, by compare-and-set on all that it relies on. Several routers may serve
operators at the same time; the table decides between them.
"""

from __future__ import annotations

import uuid
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.backing.interface import Transaction
from dotterelpaddle.exceptions import (
    NothingAccepted,
    PlatformError,
    RecordConflict,
    RecordOutcomeUnknown,
    TableConflict,
)
from dotterelpaddle.ids import AttemptId, Revision
from dotterelpaddle.logs import get_logger
from dotterelpaddle.operator.commit import Accepted, NeverAccepted, commit
from dotterelpaddle.operator.plan import make_plan
from dotterelpaddle.operator.record_cache import NEVER
from dotterelpaddle.operator.report_changes import describe_steps
from dotterelpaddle.operator.reports import ChangeReport

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from datetime import datetime

    from dotterelpaddle.backing.interface import Table
    from dotterelpaddle.operator.history import HistoryStore
    from dotterelpaddle.operator.plan import Plan
    from dotterelpaddle.operator.record_cache import RecordCache
    from dotterelpaddle.operator.targets import Target

log = get_logger(name=__name__)

MAX_TRIES = 8
"""Transactions that one change may take while what it relies on changes."""

RETRY_DELAY = 0.05
"""Seconds by which the wait before another try grows."""


def new_attempt() -> AttemptId:
    """Name a new attempt."""
    return AttemptId(uuid.uuid4().hex)


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeOptions:
    """How a change is to be made.

    Attributes:
        dry_run: Whether only to tell what would happen.
        writer: Who asks, for the record's history.
        attempt: Name under which the outcome can be asked for.
    """

    dry_run: bool = False
    writer: str = ""
    attempt: AttemptId = field(default_factory=new_attempt)


class RecordChanger:
    """Carries changes out.

    Args:
        table: The platform's table of records.
        cache: Its cached rows.
        history: Where replaced values are kept.
        now: Tells the time of day.
        lookup_timeout: Seconds for which a lost outcome is looked up.
    """

    def __init__(
        self,
        *,
        table: Table,
        cache: RecordCache,
        history: HistoryStore,
        now: Callable[[], datetime],
        lookup_timeout: float,
    ) -> None:
        self._table = table
        self._cache = cache
        self._history = history
        self._now = now
        self._lookup_timeout = lookup_timeout

    async def change(
        self, *, targets: tuple[Target, ...], options: ChangeOptions
    ) -> ChangeReport:
        """Give records their new contents, all of them or none.

        Args:
            targets: What they are to become.
            options: How to make the change.

        Raises:
            RecordRefused: If the records would not fit each other.
            RecordConflict: If another writer was first.
            NothingAccepted: If the platform can't be reached.
            RecordOutcomeUnknown: If nobody can tell now whether it was accepted.
        """
        for number in range(MAX_TRIES):
            plan = self._plan(targets=targets, options=options)
            if options.dry_run or not plan.writes:
                return self._report(plan=plan, options=options)
            warnings = await self._keep_history(plan=plan)
            name = transaction_name(attempt=options.attempt, number=number)
            outcome = await self._try(plan=plan, attempt=name, change=options.attempt)
            if isinstance(outcome, Accepted):
                return self._accepted(
                    plan=plan, options=options, outcome=outcome, warnings=warnings
                )
            # What the plan relied on has changed: look again and plan anew. Reads
            # may lag behind writes, so each new look waits a little longer.
            await anyio.sleep(RETRY_DELAY * number)
            with nothing_accepted():
                await self._cache.sync()
        raise RecordConflict(
            f"nothing was accepted: what the change relies on changed {MAX_TRIES}"
            " times meanwhile; apply it again"
        )

    def _plan(self, *, targets: tuple[Target, ...], options: ChangeOptions) -> Plan:
        return make_plan(
            targets=targets,
            cache=self._cache,
            writer=options.writer,
            written_at=self._now().isoformat(timespec="milliseconds"),
        )

    async def _try(
        self, *, plan: Plan, attempt: AttemptId, change: AttemptId
    ) -> Accepted | NeverAccepted | None:
        """Commit a plan; None if the table has moved on."""
        transaction = Transaction(
            attempt=attempt, writes=plan.writes, checks=plan.checks
        )
        with nothing_accepted():
            try:
                return await commit(
                    table=self._table,
                    transaction=transaction,
                    change=change,
                    timeout=self._lookup_timeout,
                )
            except TableConflict as conflict:
                log.info("record_change_raced", attempt=attempt, why=conflict.message)
                return None

    async def _keep_history(self, *, plan: Plan) -> tuple[str, ...]:
        replaced = tuple(step.before for step in plan.active if step.before is not None)
        return await self._history.keep(records=replaced)

    def _accepted(
        self,
        *,
        plan: Plan,
        options: ChangeOptions,
        outcome: Accepted,
        warnings: tuple[str, ...],
    ) -> ChangeReport:
        for step in plan.active:
            log.info(
                "record_accepted",
                record=str(step.target.key),
                action=step.action.value,
                revision=outcome.revision,
                writer=options.writer,
                recovered=outcome.recovered,
            )
        report = self._report(plan=plan, options=options, revision=outcome.revision)
        return replace(
            report,
            attempt=options.attempt,
            answer_recovered=outcome.recovered,
            warnings=warnings,
        )

    def _report(
        self, *, plan: Plan, options: ChangeOptions, revision: Revision = NEVER
    ) -> ChangeReport:
        changes = describe_steps(
            steps=plan.steps, revision=revision, with_diff=options.dry_run
        )
        newest = max((change.revision for change in changes), default=0)
        return ChangeReport(
            revision=int(revision) or newest,
            changes=changes,
            dry_run=options.dry_run,
        )


def transaction_name(*, attempt: AttemptId, number: int) -> AttemptId:
    """Name one of the transactions that a change may take."""
    return AttemptId(f"{attempt}.{number}")


@contextmanager
def nothing_accepted() -> Iterator[None]:
    """Say of a failure of the platform that nothing was accepted.

    Whoever commits inside has already sorted out lost answers.
    """
    try:
        yield
    except RecordOutcomeUnknown:
        raise
    except PlatformError as error:
        raise NothingAccepted(
            "nothing was accepted, since the platform can't be reached or refuses"
            f" ({error.message}); all that was in force stays in force, so try again"
            " later",
            step=error.step,
            peer=error.peer,
        ) from error
