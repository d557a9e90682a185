"""Idempotency claims: transactions, time and bytes."""

from __future__ import annotations

import time
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

import anyio

from bench._capacity.fit import Sample, Slope, fit, measure
from bench._capacity.probe import MICRO
from bench._capacity.wire import datagram_size
from dotterelpaddle.backing.interface import ChangePage, Commit, Row, Write
from dotterelpaddle.dispatch.claim_messages import (
    ClaimReplyMessage,
    ClaimStatus,
    ClaimWriteMessage,
)
from dotterelpaddle.dispatch.claim_writer import ClaimWriter
from dotterelpaddle.dispatch.claims import (
    Claim,
    ClaimState,
    RecordedAnswer,
    claim_key,
    encode_claim,
)
from dotterelpaddle.ids import (
    AccountId,
    RequestId,
    Revision,
    RouterId,
    ServiceName,
)

if TYPE_CHECKING:
    from dotterelpaddle.backing.interface import Transaction
    from dotterelpaddle.ids import AttemptId

RATES = (50, 200, 400, 800)
"""Writes a second of one writer; a claim is two writes."""

SECONDS = 1.0
TABLE_TIME = 0.02
"""Seconds that the table takes for a transaction."""

REPEATS = 2
ANSWERS = (0, 1_000, 4_000, 16_000)
"""Bytes of the recorded answer."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimCost:
    """What claims cost.

    Attributes:
        batch: Writes in one transaction, against writes a second of one router.
        cpu: Microseconds a second, against writes a second.
        row: Bytes of a settled claim's row, against bytes of the answer.
        request: Bytes of a datagram that asks a gatherer for a write.
        reply: Bytes of its answer.
    """

    batch: Slope
    cpu: Slope
    row: Slope
    request: int
    reply: int


async def measure_claims() -> ClaimCost:
    """Write claims at several rates to a table that takes its time."""
    batches: dict[int, list[float]] = {rate: [] for rate in RATES}
    times: dict[int, list[float]] = {rate: [] for rate in RATES}
    for _ in range(REPEATS):
        for rate in RATES:
            batch, spent = await _write_for_a_while(rate=rate)
            batches[rate].append(batch)
            times[rate].append(spent)
    return ClaimCost(
        batch=fit(
            name="writes in a transaction",
            unit="writes",
            per="write/s of one router",
            samples=_samples(found=batches),
        ),
        cpu=fit(
            name="time of claims",
            unit="us/s",
            per="write/s",
            samples=_samples(found=times),
        ),
        row=measure(
            name="row of a settled claim",
            unit="bytes",
            per="byte of the answer",
            sizes=ANSWERS,
            repeats=1,
            run=lambda size: float(len(_settled(size=size))),
        ),
        request=datagram_size(messages=(_request(),)),
        reply=datagram_size(messages=(_reply(),)),
    )


def _samples(*, found: dict[int, list[float]]) -> list[Sample]:
    return [Sample(size=rate, values=tuple(values)) for rate, values in found.items()]


class SlowTable:
    """A table that takes every transaction, after a while."""

    def __init__(self) -> None:
        self._revision = 0

    async def transact(self, *, transaction: Transaction) -> Commit:
        """Take a transaction."""
        await anyio.sleep(TABLE_TIME)
        self._revision += 1
        return Commit(revision=Revision(self._revision))

    async def read(self, *, keys: tuple[str, ...]) -> tuple[Row, ...]:
        """Find nothing."""
        return ()

    async def changes(self, *, after: Revision, limit: int) -> ChangePage:
        """Find nothing."""
        return ChangePage(rows=(), head=Revision(self._revision), complete=True)

    async def find_attempt(self, *, attempt: AttemptId) -> Commit | None:
        """Find nothing."""
        return None


async def _write_for_a_while(*, rate: int) -> tuple[float, float]:
    writer = ClaimWriter(table=SlowTable())
    count = round(rate * SECONDS)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(writer.run)
        await anyio.sleep(TABLE_TIME)
        began = time.monotonic()
        started = time.process_time()
        async with anyio.create_task_group() as writes:
            for number in range(count):
                await anyio.sleep(max(0.0, began + number / rate - time.monotonic()))
                writes.start_soon(partial(_write, writer=writer, number=number))
        spent = time.process_time() - started
        elapsed = time.monotonic() - began
        tasks.cancel_scope.cancel()
    return writer.writes / writer.transactions, spent * MICRO / elapsed


async def _write(*, writer: ClaimWriter, number: int) -> None:
    value = encode_claim(claim=_claim(number=number))
    await writer.write(
        write=Write(key=f"account/service/{number}", expected=Revision(0), value=value)
    )


def _request() -> ClaimWriteMessage:
    return ClaimWriteMessage(
        key=claim_key(
            account=AccountId("client-account-00042"),
            service=ServiceName("receipts"),
            key="a key of the caller",
        ),
        expected=Revision(0),
        value=encode_claim(claim=_claim(number=1)),
    )


def _reply() -> ClaimReplyMessage:
    return ClaimReplyMessage(status=ClaimStatus.WRITTEN, revision=Revision(2_000_000))


def _claim(*, number: int) -> Claim:
    return Claim(
        state=ClaimState.RUNNING,
        router=RouterId("router-0001.domain-01"),
        request_id=RequestId(f"{number:032x}"),
        digest=f"{number:032x}",
        running_until=1_800_000_000.5,
        expires_at=1_800_086_400.5,
    )


def _settled(*, size: int) -> bytes:
    claim = _claim(number=1)
    answer = RecordedAnswer(
        status=200, headers={"content-type": "application/json"}, body=b"x" * size
    )
    return encode_claim(
        claim=Claim(
            state=ClaimState.ANSWERED,
            router=claim.router,
            request_id=claim.request_id,
            digest=claim.digest,
            running_until=claim.running_until,
            expires_at=claim.expires_at,
            answer=answer,
        )
    )
