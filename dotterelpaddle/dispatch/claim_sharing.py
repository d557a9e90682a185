"""Writes claims by way of a gatherer, or directly where there is none.

Only a confirmed write lets a request run. A write whose fate at the gatherer is
not known is made again directly: a claim's content names its request, so the row
itself tells whose it is.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from dotterelpaddle.backing.interface import Row, Write
from dotterelpaddle.dispatch.claim_messages import (
    MESSAGE_TYPES,
    ClaimReplyMessage,
    ClaimStatus,
    ClaimWriteMessage,
)
from dotterelpaddle.dispatch.claim_results import (
    Met,
    Refused,
    WriteResult,
    Written,
)
from dotterelpaddle.exceptions import ControlError, PlatformError
from dotterelpaddle.ids import Revision, RouterId
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from dotterelpaddle.address import Address
    from dotterelpaddle.backing.interface import Table
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.control.interface import Channel
    from dotterelpaddle.dispatch.claim_writer import ClaimWriter
    from dotterelpaddle.dispatch.gatherers import Gatherers
    from dotterelpaddle.membership.view import Member

log = get_logger(name=__name__)

CALL_TIMEOUT = 1.0
"""Seconds for a gatherer's reply, which waits for its next transaction."""

SHUN_TIME = 5.0
"""Seconds for which a gatherer that did not reply is passed over."""

MAX_FORWARDED = 800
"""Bytes of content that fit in a datagram beside key and headers."""

MAX_STRAYS = 4096


class ClaimGatherer:
    """Takes other routers' writes into this router's transactions.

    Args:
        writer: Writes to the table.
        channel: The way to other routers.
    """

    def __init__(self, *, writer: ClaimWriter, channel: Channel) -> None:
        self._writer = writer
        for message_type in MESSAGE_TYPES:
            channel.register(message_type=message_type)
        channel.serve(message=ClaimWriteMessage, handler=self.answer)

    async def answer(
        self, message: ClaimWriteMessage, peer: Address
    ) -> ClaimReplyMessage:
        """Make a write and tell what came of it."""
        write = Write(key=message.key, expected=message.expected, value=message.value)
        match await self._writer.write(write=write):
            case Written(revision=revision):
                return ClaimReplyMessage(status=ClaimStatus.WRITTEN, revision=revision)
            case Met():
                return ClaimReplyMessage(status=ClaimStatus.MET)
            case Refused():
                return ClaimReplyMessage(status=ClaimStatus.REFUSED)


class SharedClaimWriter:
    """Writes claims by way of gatherers.

    Args:
        writer: Writes to the table directly.
        table: The platform's table of claims, for reads.
        channel: The way to other routers.
        gatherers: Who gathers.
        clock: Source of time.
    """

    def __init__(
        self,
        *,
        writer: ClaimWriter,
        table: Table,
        channel: Channel,
        gatherers: Gatherers,
        clock: Clock,
    ) -> None:
        self._writer = writer
        self._table = table
        self._channel = channel
        self._gatherers = gatherers
        self._clock = clock
        self._shunned: dict[RouterId, float] = {}
        self._strays: deque[Write] = deque(maxlen=MAX_STRAYS)

    async def write(self, *, write: Write, undo: bool = False) -> WriteResult:
        """Write one row; see `ClaimWriter.write`."""
        gatherer = self._gatherer_for(write=write)
        if gatherer is None:
            return await self._write_directly(write=write, undo=undo)
        try:
            reply = await self._forward(gatherer=gatherer, write=write)
        except ControlError as error:
            self._shun(gatherer=gatherer, cause=error.message)
            return await self._write_directly(write=write, undo=undo)
        except BaseException:
            self._note_stray(write=write, undo=undo)
            raise
        match reply.status:
            case ClaimStatus.WRITTEN:
                return Written(revision=reply.revision)
            case ClaimStatus.MET:
                return await self._read_met(write=write, undo=undo)
            case ClaimStatus.REFUSED:
                self._shun(gatherer=gatherer, cause="it can't reach the table")
                return await self._write_directly(write=write, undo=undo)

    async def clear_strays(self) -> None:
        """Delete claims that took effect though nobody learnt it in time.

        Raises:
            PlatformError: If the table can't be reached.
        """
        await self._writer.clear_strays()
        for _ in range(len(self._strays)):
            stray = self._strays[0]
            rows = await self._table.read(keys=(stray.key,))
            self._strays.popleft()
            if rows and rows[0].value == stray.value:
                await self._writer.write(
                    write=Write(key=stray.key, expected=rows[0].revision, value=None)
                )

    def _gatherer_for(self, *, write: Write) -> Member | None:
        if write.expected is None or len(write.value or b"") > MAX_FORWARDED:
            return None
        gatherer = self._gatherers.find(key=write.key)
        if gatherer is None:
            return None
        shunned_until = self._shunned.get(gatherer.router, 0.0)
        return None if self._clock() < shunned_until else gatherer

    async def _forward(self, *, gatherer: Member, write: Write) -> ClaimReplyMessage:
        message = ClaimWriteMessage(
            key=write.key, expected=Revision(write.expected or 0), value=write.value
        )
        reply: ClaimReplyMessage = await self._channel.call(
            peer=gatherer.address, message=message, timeout=CALL_TIMEOUT
        )
        return reply

    async def _write_directly(self, *, write: Write, undo: bool) -> WriteResult:
        result = await self._writer.write(write=write, undo=undo)
        match result:
            case Met(row=row):
                return _whose(write=write, row=row)
            case _:
                return result

    async def _read_met(self, *, write: Write, undo: bool) -> WriteResult:
        try:
            rows = await self._table.read(keys=(write.key,))
        except PlatformError as error:
            self._note_stray(write=write, undo=undo)
            return Refused(message=error.message)
        return _whose(write=write, row=rows[0] if rows else None)

    def _shun(self, *, gatherer: Member, cause: str) -> None:
        log.debug("gatherer_shunned", router=gatherer.router, cause=cause)
        self._shunned[gatherer.router] = self._clock() + SHUN_TIME

    def _note_stray(self, *, write: Write, undo: bool) -> None:
        if undo:
            self._strays.append(write)


def _whose(*, write: Write, row: Row | None) -> WriteResult:
    """Tell from the row that a write met whether it is that write's own."""
    if row is None or row.value is None:
        is_own = write.value is None
        revision = Revision(0) if row is None else row.revision
    else:
        is_own = row.value == write.value
        revision = row.revision
    return Written(revision=revision) if is_own else Met(row=row)
