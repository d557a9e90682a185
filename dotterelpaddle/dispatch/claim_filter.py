"""Lets a non-idempotent request with an idempotency key run at most once."""

from __future__ import annotations

import time
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.backing.interface import Row, Write
from dotterelpaddle.dispatch.claim_results import Met, Refused, Written
from dotterelpaddle.dispatch.claims import (
    Answered,
    Claim,
    ClaimState,
    Expired,
    Lost,
    OtherRequest,
    RecordedAnswer,
    StillRunning,
    claim_key,
    decode_claim,
    encode_claim,
    judge,
    request_digest,
)
from dotterelpaddle.dispatch.metrics import ClaimResult
from dotterelpaddle.dispatch.recording import OUTCOME_HEADER, RecordingReply
from dotterelpaddle.exceptions import (
    ClaimUnavailable,
    EarlierRunUnknown,
    KeyReused,
    PlatformError,
)
from dotterelpaddle.ids import Revision
from dotterelpaddle.logs import get_logger
from dotterelpaddle.membership.view import MemberState
from dotterelpaddle.pipeline import Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelpaddle.backing.interface import Table
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.dispatch.claim_results import WritesClaims
    from dotterelpaddle.dispatch.metrics import DispatchMetrics
    from dotterelpaddle.ids import RouterId
    from dotterelpaddle.membership.view import View
    from dotterelpaddle.pipeline import Exchange, Next

log = get_logger(name=__name__)

ABSENT = Revision(0)
RECORD_LIMIT = 64 * 1024
"""Bytes of an answer that are kept for a retry."""

SETTLE_TIME = 3.0
"""Seconds that recording the end of a run may take."""

RUN_MARGIN = 5.0
"""Seconds after a request's deadline for which its record may still come."""

FIRST_POLL = 0.05
LAST_POLL = 1.0
RETRY_AFTER = 1.0
REPLAY_HEADER = "x-first-request-id"
"""Names the request whose recorded answer is given again."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Held:
    key: str
    claim: Claim
    revision: Revision


class ClaimOnce:
    """Claims the request's key in the platform's table before it is sent.

    Requests that are idempotent or have no key pass as they are.

    Args:
        table: The platform's table of claims.
        writer: Writes to it.
        router: Name of this router.
        lifetime: Seconds for which a key is remembered.
        metrics: Where claims are counted.
        clock: Source of monotonic time.
        view: The member list; without it no router is known to be dead.
        wall_clock: Source of time since the epoch.
    """

    def __init__(
        self,
        *,
        table: Table,
        writer: WritesClaims,
        router: RouterId,
        lifetime: float,
        metrics: DispatchMetrics,
        clock: Clock,
        view: View | None = None,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._table = table
        self._writer = writer
        self._router = router
        self._lifetime = lifetime
        self._metrics = metrics
        self._clock = clock
        self._view = view
        self._wall_clock = wall_clock

    async def __call__(self, exchange: Exchange, rest: Next) -> None:
        """Claim the key and go on, or answer from an earlier claim.

        Raises:
            ClaimUnavailable: If the table can't be reached; nothing was sent.
            EarlierRunUnknown: If an earlier request may have run.
            KeyReused: If the key was used for another request.
        """
        if exchange.idempotent or not exchange.idempotency_key:
            await rest(exchange)
            return
        held = await self._acquire(exchange=exchange)
        if held is not None:
            await self._run(exchange=exchange, rest=rest, held=held)

    async def _acquire(self, *, exchange: Exchange) -> _Held | None:
        """Claim the key, None if the caller was answered from a record."""
        assert exchange.account is not None
        assert exchange.work is not None
        key = claim_key(
            account=exchange.account.name,
            service=exchange.work.service,
            key=exchange.idempotency_key,
        )
        claim = self._new_claim(exchange=exchange)
        expected: Revision | None = ABSENT
        while expected is not None:
            write = Write(key=key, expected=expected, value=encode_claim(claim=claim))
            match await self._writer.write(write=write, undo=True):
                case Written(revision=revision):
                    exchange.outcome = None
                    self._metrics.count_claim(result=ClaimResult.CLAIMED)
                    return _Held(key=key, claim=claim, revision=revision)
                case Refused(message=message):
                    self._metrics.count_claim(result=ClaimResult.REFUSED)
                    raise ClaimUnavailable(
                        f"the idempotency key could not be claimed: {message}",
                        retry_after=RETRY_AFTER,
                    )
                case Met(row=row):
                    expected = await self._consult(
                        exchange=exchange, claim=claim, row=row
                    )
        return None

    async def _consult(
        self, *, exchange: Exchange, claim: Claim, row: Row | None
    ) -> Revision | None:
        """Act on an earlier claim, and wait while its run goes on.

        Returns:
            Revision at which the key may be claimed, None if the caller was
            answered.
        """
        poll = FIRST_POLL
        while row is not None and row.value is not None:
            found = decode_claim(content=row.value)
            match judge(claim=found, digest=claim.digest, now=self._wall_clock()):
                case Expired():
                    return row.revision
                case Answered(answer=answer):
                    self._metrics.count_claim(result=ClaimResult.REPLAYED)
                    await self._replay(exchange=exchange, answer=answer, found=found)
                    return None
                case StillRunning() if self._is_dead(router=found.router):
                    # Whether it ran will never be told: waiting can't help.
                    raise self._lost(exchange=exchange, found=found)
                case StillRunning():
                    exchange.outcome = Outcome.UNKNOWN
                    await anyio.sleep(poll)
                    poll = min(LAST_POLL, 2 * poll)
                    row = await self._read(key=row.key)
                case OtherRequest():
                    self._metrics.count_claim(result=ClaimResult.REUSED)
                    raise KeyReused(
                        "the idempotency key was used for a request with other "
                        "content; use a new key",
                        peer=found.router,
                    )
                case Lost():
                    raise self._lost(exchange=exchange, found=found)
        return ABSENT

    def _is_dead(self, *, router: RouterId) -> bool:
        member = self._view.find(router=router) if self._view else None
        return member is not None and member.state is MemberState.DEAD

    def _lost(self, *, exchange: Exchange, found: Claim) -> EarlierRunUnknown:
        self._metrics.count_claim(result=ClaimResult.UNKNOWN)
        exchange.outcome = Outcome.UNKNOWN
        return EarlierRunUnknown(
            "an earlier request with this key may have run; its answer is not known",
            peer=found.router,
        )

    async def _read(self, *, key: str) -> Row | None:
        try:
            rows = await self._table.read(keys=(key,))
        except PlatformError as error:
            raise EarlierRunUnknown(
                f"an earlier request with this key is running: {error.message}",
                peer=error.peer,
                retry_after=RETRY_AFTER,
            ) from error
        return rows[0] if rows else None

    async def _replay(
        self, *, exchange: Exchange, answer: RecordedAnswer, found: Claim
    ) -> None:
        unknown = answer.headers.get(OUTCOME_HEADER) == Outcome.UNKNOWN.value
        exchange.outcome = Outcome.UNKNOWN if unknown else Outcome.COMPLETED
        log.info(
            "answer_replayed",
            request_id=exchange.request_id,
            first_request_id=found.request_id,
            first_router=found.router,
        )
        headers = {
            **answer.headers,
            OUTCOME_HEADER: exchange.outcome.value,
            REPLAY_HEADER: found.request_id,
        }
        await exchange.reply.send_buffered(
            status=answer.status, headers=headers, body=answer.body
        )

    async def _run(self, *, exchange: Exchange, rest: Next, held: _Held) -> None:
        recording = RecordingReply(reply=exchange.reply, limit=RECORD_LIMIT)
        exchange.reply = recording
        try:
            await rest(exchange)
        finally:
            with anyio.CancelScope(shield=True), anyio.move_on_after(SETTLE_TIME):
                await self._settle(exchange=exchange, held=held, recording=recording)

    async def _settle(
        self, *, exchange: Exchange, held: _Held, recording: RecordingReply
    ) -> None:
        """Record what came of the run, or give the key free if nothing ran."""
        value: bytes | None = None
        if not exchange.attempts.proves_not_run:
            value = encode_claim(claim=_ended(claim=held.claim, recording=recording))
        write = Write(key=held.key, expected=held.revision, value=value)
        match await self._writer.write(write=write):
            case Written():
                return
            case result:
                # The claim stays as it is; a retry is told `unknown`, never run.
                log.warning(
                    "claim_not_settled",
                    request_id=exchange.request_id,
                    result=type(result).__name__,
                )

    def _new_claim(self, *, exchange: Exchange) -> Claim:
        now = self._wall_clock()
        time_left = exchange.deadline - self._clock()
        return Claim(
            state=ClaimState.RUNNING,
            router=self._router,
            request_id=exchange.request_id,
            digest=request_digest(request=exchange.request),
            running_until=now + time_left + RUN_MARGIN,
            expires_at=now + self._lifetime,
        )


def _ended(*, claim: Claim, recording: RecordingReply) -> Claim:
    answer = recording.answer
    state = ClaimState.UNKNOWN if answer is None else ClaimState.ANSWERED
    return replace(claim, state=state, answer=answer)
