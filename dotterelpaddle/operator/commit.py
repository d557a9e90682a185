"""Commits a transaction and finds out what became of it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.exceptions import (
    PlatformAnswerLost,
    PlatformError,
    RecordOutcomeUnknown,
)
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from dotterelpaddle.backing.interface import Commit, Table, Transaction
    from dotterelpaddle.ids import AttemptId, Revision

log = get_logger(name=__name__)

LOOKUP_TIMEOUT = 15.0
"""Seconds for which the outcome of a lost answer is looked up."""

LOOKUP_INTERVAL = 0.25
"""Seconds between look-ups."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """A transaction took effect.

    Attributes:
        revision: Its revision.
        recovered: Whether its answer got lost.
    """

    revision: Revision
    recovered: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class NeverAccepted:
    """A transaction whose answer got lost took no effect and never will."""


async def commit(
    *,
    table: Table,
    transaction: Transaction,
    change: AttemptId,
    timeout: float = LOOKUP_TIMEOUT,
) -> Accepted | NeverAccepted:
    """Commit a transaction; where the answer gets lost, look the outcome up.

    Args:
        table: The table.
        transaction: The transaction.
        change: Name under which the change's outcome can be asked for later.
        timeout: Seconds for which a lost outcome is looked up.

    Raises:
        TableConflict: If a row has another revision; nothing took effect.
        PlatformUnavailable: If nothing took effect for another reason.
        RecordOutcomeUnknown: If the platform can't be asked for the outcome.
    """
    try:
        done = await table.transact(transaction=transaction)
    except PlatformAnswerLost as error:
        log.warning("record_answer_lost", attempt=transaction.attempt, why=str(error))
    else:
        return Accepted(revision=done.revision, recovered=False)
    try:
        with anyio.fail_after(timeout):
            found = await _look_up(table=table, attempt=transaction.attempt)
    except TimeoutError:
        raise RecordOutcomeUnknown(
            "the change may or may not have been accepted: the platform took it and"
            " its answer got lost, and it can't be asked now; find out with"
            f" `dotterelpaddle record attempt {change}` before you apply it again",
            attempt=change,
        ) from None
    if found is None:
        return NeverAccepted()
    return Accepted(revision=found.revision, recovered=True)


async def _look_up(*, table: Table, attempt: AttemptId) -> Commit | None:
    while True:
        try:
            return await table.find_attempt(attempt=attempt)
        except PlatformError as error:
            log.debug("record_outcome_unknown", attempt=attempt, why=str(error))
        await anyio.sleep(LOOKUP_INTERVAL)
