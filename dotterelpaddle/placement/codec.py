"""Encoding of placement messages by pycapnp."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

import capnp

from dotterelpaddle.control.interface import MessageType, TrafficClass
from dotterelpaddle.exceptions import ControlError
from dotterelpaddle.ids import AffinityKey
from dotterelpaddle.placement.messages import (
    EndpointFlag,
    EndpointLoad,
    EndpointMessage,
    HandoverMessage,
    MoveMessage,
    PermitReplyMessage,
    PermitRequestMessage,
    PermitStatus,
    RefreshMessage,
    ResultMessage,
    SummaryMessage,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

_schema = capnp.load(str(Path(__file__).with_name("messages.capnp")))

REFRESH_CODE = 300
PERMIT_REQUEST_CODE = 301
PERMIT_REPLY_CODE = 302
SUMMARY_CODE = 303
HANDOVER_CODE = 304

LOAD_UNIT = 1000 / 64
"""Thousandths of a mean request in one unit of load on the wire."""

MAX_UINT32 = 0xFFFFFFFF
MAX_UINT16 = 0xFFFF
MAX_UINT8 = 0xFF
ENDPOINT_SHIFT = 24
FLAG_SHIFT = 16
MOVE_SHIFT = 32

SHARE_UNIT = 100
"""Units of an account's weight on the wire."""


def encode_refresh(message: RefreshMessage) -> bytes:
    """Turn a refresh into bytes."""
    builder = _schema.Refresh.new_message()
    _fill_refresh(builder=builder, message=message)
    packed: bytes = builder.to_bytes_packed()
    return packed


def decode_refresh(content: bytes) -> RefreshMessage:
    """Turn bytes back into a refresh."""
    return _read_refresh(reader=_schema.Refresh.from_bytes_packed(content))


def encode_handover(message: HandoverMessage) -> bytes:
    """Turn a handover into bytes."""
    return encode_refresh(message.refresh)


def decode_handover(content: bytes) -> HandoverMessage:
    """Turn bytes back into a handover."""
    return HandoverMessage(refresh=decode_refresh(content))


def encode_permit_request(message: PermitRequestMessage) -> bytes:
    """Turn a permit request into bytes."""
    builder = _schema.PermitRequest.new_message(
        number=message.number,
        account=message.account,
        share=_clip(message.share * SHARE_UNIT, top=MAX_UINT16),
        rank=_clip(message.rank, top=MAX_UINT8),
        hasAffinity=message.affinity is not None,
        affinity=message.affinity or 0,
        cost=_clip(message.cost, top=MAX_UINT16),
        promptTokens=message.prompt_tokens,
        milliseconds=max(int(message.time_left * 1000), 0),
        wait=message.wait,
        hint=message.hint,
        surging=message.surging,
    )
    if message.excluded:
        builder.excluded = list(message.excluded)
    _fill_refresh(builder=builder.init("refresh"), message=message.refresh)
    packed: bytes = builder.to_bytes_packed()
    return packed


def decode_permit_request(content: bytes) -> PermitRequestMessage:
    """Turn bytes back into a permit request."""
    reader = _schema.PermitRequest.from_bytes_packed(content)
    return PermitRequestMessage(
        refresh=_read_refresh(reader=reader.refresh),
        number=reader.number,
        account=reader.account,
        share=reader.share / SHARE_UNIT,
        rank=reader.rank,
        affinity=AffinityKey(reader.affinity) if reader.hasAffinity else None,
        cost=reader.cost,
        prompt_tokens=reader.promptTokens,
        time_left=reader.milliseconds / 1000,
        excluded=tuple(reader.excluded),
        wait=reader.wait,
        hint=reader.hint,
        surging=reader.surging,
    )


def encode_permit_reply(message: PermitReplyMessage) -> bytes:
    """Turn a permit reply into bytes."""
    builder = _schema.PermitReply.new_message(
        shard=message.shard,
        boot=message.boot,
        number=message.number,
        status=int(message.status),
        reason=message.reason,
        endpoint=message.endpoint,
        load=_units(load=message.load),
        mean=_units(load=message.mean),
        milliseconds=max(int(message.seconds * 1000), 0),
    )
    packed: bytes = builder.to_bytes_packed()
    return packed


def decode_permit_reply(content: bytes) -> PermitReplyMessage:
    """Turn bytes back into a permit reply."""
    reader = _schema.PermitReply.from_bytes_packed(content)
    return PermitReplyMessage(
        shard=reader.shard,
        boot=reader.boot,
        number=reader.number,
        status=PermitStatus(reader.status),
        reason=reader.reason,
        endpoint=reader.endpoint,
        load=_load(units=reader.load),
        mean=_load(units=reader.mean),
        seconds=reader.milliseconds / 1000,
    )


def encode_summary(message: SummaryMessage) -> bytes:
    """Turn a summary into bytes."""
    builder = _schema.Summary.new_message(
        shard=message.shard,
        boot=message.boot,
        sequence=message.sequence,
        owner=message.owner,
        queued=_clip(message.queued, top=MAX_UINT16),
    )
    if message.endpoints:
        builder.endpoints = [
            _load_word(endpoint=each.endpoint, load=each.load, flag=int(each.flag))
            for each in message.endpoints
        ]
    _fill_moves(builder=builder, moves=message.moves)
    packed: bytes = builder.to_bytes_packed()
    return packed


def decode_summary(content: bytes) -> SummaryMessage:
    """Turn bytes back into a summary."""
    reader = _schema.Summary.from_bytes_packed(content)
    endpoints = tuple(
        EndpointMessage(
            endpoint=word >> ENDPOINT_SHIFT,
            load=_load(units=word & MAX_UINT16),
            flag=EndpointFlag(word >> FLAG_SHIFT & MAX_UINT8),
        )
        for word in reader.endpoints
    )
    return SummaryMessage(
        shard=reader.shard,
        boot=reader.boot,
        sequence=reader.sequence,
        owner=reader.owner,
        endpoints=endpoints,
        queued=reader.queued,
        moves=_read_moves(reader=reader),
    )


def _fill_refresh(*, builder: Any, message: RefreshMessage) -> None:
    builder.shard = message.shard
    builder.boot = message.boot
    builder.sequence = message.sequence
    builder.lastRequest = message.last_request
    builder.starved = message.starved
    if message.open_requests:
        builder.openRequests = list(message.open_requests)
    if message.loads:
        builder.loads = _load_words(loads=message.loads)
    if message.owned:
        builder.owned = _load_words(loads=message.owned)
    if message.released:
        builder.released = list(message.released)
    if message.results:
        _fill_results(builder=builder, results=message.results)
    _fill_moves(builder=builder, moves=message.moves)


def _fill_results(*, builder: Any, results: tuple[ResultMessage, ...]) -> None:
    target = builder.init("results", len(results))
    for index, result in enumerate(results):
        target[index].endpoint = result.endpoint
        target[index].succeeded = _clip(result.succeeded, top=MAX_UINT8)
        target[index].failed = _clip(result.failed, top=MAX_UINT8)
        target[index].milliseconds = _clip(result.milliseconds, top=MAX_UINT16)


def _fill_moves(*, builder: Any, moves: tuple[MoveMessage, ...]) -> None:
    if moves:
        builder.moves = [move.tag << MOVE_SHIFT | move.endpoint for move in moves]


def _read_refresh(*, reader: Any) -> RefreshMessage:
    return RefreshMessage(
        shard=reader.shard,
        boot=reader.boot,
        sequence=reader.sequence,
        last_request=reader.lastRequest,
        open_requests=tuple(reader.openRequests),
        loads=_read_loads(words=reader.loads),
        owned=_read_loads(words=reader.owned),
        results=tuple(_read_result(reader=result) for result in reader.results),
        moves=_read_moves(reader=reader),
        released=tuple(reader.released),
        starved=reader.starved,
    )


def _load_words(*, loads: tuple[EndpointLoad, ...]) -> list[int]:
    return [_load_word(endpoint=each.endpoint, load=each.load) for each in loads]


def _load_word(*, endpoint: int, load: int, flag: int = 0) -> int:
    return endpoint << ENDPOINT_SHIFT | flag << FLAG_SHIFT | _units(load=load)


def _read_loads(*, words: Iterable[int]) -> tuple[EndpointLoad, ...]:
    return tuple(
        EndpointLoad(
            endpoint=word >> ENDPOINT_SHIFT, load=_load(units=word & MAX_UINT16)
        )
        for word in words
    )


def _read_result(*, reader: Any) -> ResultMessage:
    return ResultMessage(
        endpoint=reader.endpoint,
        succeeded=reader.succeeded,
        failed=reader.failed,
        milliseconds=reader.milliseconds,
    )


def _read_moves(*, reader: Any) -> tuple[MoveMessage, ...]:
    return tuple(
        MoveMessage(tag=word >> MOVE_SHIFT, endpoint=word & MAX_UINT32)
        for word in reader.moves
    )


def _units(*, load: float) -> int:
    return _clip(load / LOAD_UNIT, top=MAX_UINT16)


def _load(*, units: int) -> int:
    return round(units * LOAD_UNIT)


def _clip(value: float, *, top: int) -> int:
    return min(max(round(value), 0), top)


def _checked(*, decode: Callable[[bytes], Any]) -> Callable[[bytes], Any]:
    """Turn the library's errors on malformed bytes into errors of this project."""

    def _decode(content: bytes) -> Any:
        try:
            return decode(content)
        except (capnp.KjException, ValueError) as error:
            raise ControlError(f"these bytes are no message: {error}") from error

    return _decode


MESSAGE_TYPES = (
    MessageType(
        code=REFRESH_CODE,
        message=RefreshMessage,
        traffic=TrafficClass.LOAD,
        encode=encode_refresh,
        decode=_checked(decode=decode_refresh),
    ),
    MessageType(
        code=PERMIT_REQUEST_CODE,
        message=PermitRequestMessage,
        traffic=TrafficClass.PERMIT,
        encode=encode_permit_request,
        decode=_checked(decode=decode_permit_request),
    ),
    MessageType(
        code=PERMIT_REPLY_CODE,
        message=PermitReplyMessage,
        traffic=TrafficClass.PERMIT,
        encode=encode_permit_reply,
        decode=_checked(decode=decode_permit_reply),
    ),
    MessageType(
        code=SUMMARY_CODE,
        message=SummaryMessage,
        traffic=TrafficClass.LOAD,
        encode=encode_summary,
        decode=_checked(decode=decode_summary),
    ),
    MessageType(
        code=HANDOVER_CODE,
        message=HandoverMessage,
        traffic=TrafficClass.MEMBERSHIP,
        encode=encode_handover,
        decode=_checked(decode=decode_handover),
    ),
)
"""All message types of placement."""
