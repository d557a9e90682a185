"""How the catalog's messages travel, encoded by pycapnp."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import capnp

from dotterelpaddle.catalog.message_classes import (
    Bulk,
    Digest,
    DigestKind,
    Pull,
    Push,
    Survey,
    SurveyReply,
)
from dotterelpaddle.control.interface import MessageType, TrafficClass
from dotterelpaddle.exceptions import ControlError
from dotterelpaddle.ids import Revision

if TYPE_CHECKING:
    from dotterelpaddle.control.interface import Channel

_schema = capnp.load(str(Path(__file__).with_name("messages.capnp")))

MAX_BULK = 64 * 1024 * 1024
"""Longest message that is read, bytes."""

TRAVERSAL_WORDS = MAX_BULK // 8
"""Words that pycapnp may read of one message."""

UNKNOWN_AGE = 2**32 - 1
"""Stands for an age that is not known."""


def register(*, channel: Channel) -> None:
    """Make the catalog's messages known to a channel."""
    for message_type in MESSAGE_TYPES:
        channel.register(message_type=message_type)


def _encode_age(age: float | None) -> int:
    if age is None:
        return UNKNOWN_AGE
    return min(UNKNOWN_AGE - 1, max(0, round(age * 1000)))


def _decode_age(milliseconds: int) -> float | None:
    return None if milliseconds == UNKNOWN_AGE else milliseconds / 1000


def _encode_push(push: Push) -> bytes:
    message = _schema.Push.new_message(
        revision=push.revision,
        age=_encode_age(push.age),
        relay=push.relay,
        content=push.content,
    )
    return bytes(message.to_bytes())


def _decode_push(content: bytes) -> Push:
    with _schema.Push.from_bytes(content) as message:
        return Push(
            revision=Revision(message.revision),
            age=_decode_age(message.age),
            relay=message.relay,
            content=bytes(message.content),
        )


def _encode_digest(digest: Digest) -> bytes:
    message = _schema.Digest.new_message(
        revision=digest.revision,
        checksum=digest.checksum,
        age=_encode_age(digest.age),
        kind=digest.kind.value,
    )
    return bytes(message.to_bytes())


def _decode_digest(content: bytes) -> Digest:
    with _schema.Digest.from_bytes(content) as message:
        return Digest(
            revision=Revision(message.revision),
            checksum=message.checksum,
            age=_decode_age(message.age),
            kind=DigestKind(message.kind),
        )


def _encode_pull(pull: Pull) -> bytes:
    message = _schema.Pull.new_message(base=pull.base, part=pull.part, parts=pull.parts)
    return bytes(message.to_bytes())


def _decode_pull(content: bytes) -> Pull:
    with _schema.Pull.from_bytes(content) as message:
        return Pull(
            base=Revision(message.base),
            part=message.part,
            parts=max(1, message.parts),
        )


def encode_bulk(bulk: Bulk) -> bytes:
    """Write the answer to a pull, or a snapshot."""
    message = _schema.Bulk.new_message(
        ready=bulk.ready,
        age=_encode_age(bulk.age),
        chunks=bulk.chunks,
        parts=bulk.parts,
    )
    return bytes(message.to_bytes())


def decode_bulk(content: bytes) -> Bulk:
    """Read the answer to a pull, or a snapshot.

    Raises:
        ControlError: If the bytes are neither.
    """
    try:
        with _schema.Bulk.from_bytes(
            content, traversal_limit_in_words=TRAVERSAL_WORDS
        ) as message:
            return Bulk(
                ready=message.ready,
                age=_decode_age(message.age),
                chunks=tuple(bytes(chunk) for chunk in message.chunks),
                parts=max(1, message.parts),
            )
    except (capnp.KjException, ValueError) as error:
        raise ControlError(f"these bytes hold no records: {error}") from error


def _encode_survey(survey: Survey) -> bytes:
    message = _schema.Survey.new_message(
        revision=survey.revision,
        timeout=round(survey.timeout * 1000),
        routers=survey.routers,
    )
    return bytes(message.to_bytes())


def _decode_survey(content: bytes) -> Survey:
    with _schema.Survey.from_bytes(content) as message:
        return Survey(
            revision=Revision(message.revision),
            timeout=message.timeout / 1000,
            routers=tuple(message.routers),
        )


def _encode_survey_reply(reply: SurveyReply) -> bytes:
    message = _schema.SurveyReply.new_message(
        revision=reply.revision,
        pending=reply.pending,
        unreachable=reply.unreachable,
    )
    return bytes(message.to_bytes())


def _decode_survey_reply(content: bytes) -> SurveyReply:
    with _schema.SurveyReply.from_bytes(content) as message:
        return SurveyReply(
            revision=Revision(message.revision),
            pending=tuple(message.pending),
            unreachable=tuple(message.unreachable),
        )


MESSAGE_TYPES = (
    MessageType(
        code=200,
        message=Push,
        traffic=TrafficClass.CONFIGURATION,
        encode=_encode_push,
        decode=_decode_push,
    ),
    MessageType(
        code=201,
        message=Digest,
        traffic=TrafficClass.CONFIGURATION,
        encode=_encode_digest,
        decode=_decode_digest,
    ),
    MessageType(
        code=202,
        message=Pull,
        traffic=TrafficClass.CONFIGURATION,
        encode=_encode_pull,
        decode=_decode_pull,
    ),
    MessageType(
        code=203,
        message=Bulk,
        traffic=TrafficClass.CONFIGURATION,
        encode=encode_bulk,
        decode=decode_bulk,
    ),
    MessageType(
        code=204,
        message=Survey,
        traffic=TrafficClass.CONFIGURATION,
        encode=_encode_survey,
        decode=_decode_survey,
    ),
    MessageType(
        code=205,
        message=SurveyReply,
        traffic=TrafficClass.CONFIGURATION,
        encode=_encode_survey_reply,
        decode=_decode_survey_reply,
    ),
)
