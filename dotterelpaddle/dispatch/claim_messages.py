"""Messages between routers that write claims and those that gather them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path

import capnp

from dotterelpaddle.control.interface import MessageType, TrafficClass
from dotterelpaddle.ids import Revision

_schema = capnp.load(str(Path(__file__).with_name("claim_messages.capnp")))

CLAIM_WRITE_CODE = 400
CLAIM_REPLY_CODE = 401


class ClaimStatus(IntEnum):
    """What came of a write at the gatherer."""

    WRITTEN = 0
    MET = 1
    REFUSED = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimWriteMessage:
    """A write to gather with others.

    Attributes:
        key: The row.
        expected: Revision it must have, 0 if it must not exist.
        value: New content, None to delete the row.
    """

    key: str
    expected: Revision
    value: bytes | None


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimReplyMessage:
    """What came of a write.

    Attributes:
        status: What came of it.
        revision: The row's revision if it was written.
    """

    status: ClaimStatus
    revision: Revision = Revision(0)


def _encode_write(message: ClaimWriteMessage) -> bytes:
    packed: bytes = _schema.ClaimWrite.new_message(
        key=message.key,
        expected=message.expected,
        value=message.value or b"",
        isDelete=message.value is None,
    ).to_bytes_packed()
    return packed


def _decode_write(content: bytes) -> ClaimWriteMessage:
    reader = _schema.ClaimWrite.from_bytes_packed(content)
    return ClaimWriteMessage(
        key=reader.key,
        expected=Revision(reader.expected),
        value=None if reader.isDelete else bytes(reader.value),
    )


def _encode_reply(message: ClaimReplyMessage) -> bytes:
    packed: bytes = _schema.ClaimReply.new_message(
        status=message.status.value, revision=message.revision
    ).to_bytes_packed()
    return packed


def _decode_reply(content: bytes) -> ClaimReplyMessage:
    reader = _schema.ClaimReply.from_bytes_packed(content)
    return ClaimReplyMessage(
        status=ClaimStatus(reader.status), revision=Revision(reader.revision)
    )


MESSAGE_TYPES = (
    MessageType(
        code=CLAIM_WRITE_CODE,
        message=ClaimWriteMessage,
        traffic=TrafficClass.PERMIT,
        encode=_encode_write,
        decode=_decode_write,
    ),
    MessageType(
        code=CLAIM_REPLY_CODE,
        message=ClaimReplyMessage,
        traffic=TrafficClass.PERMIT,
        encode=_encode_reply,
        decode=_decode_reply,
    ),
)
