"""Wire formats of records of streams, and of questions for them between routers.

Questions and answers are datagrams, JSON arrays that start with their kind. Records
are also a field of the reports between routers.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import orjson

from dotterelpaddle.counts import bounded_count, decode_count
from dotterelpaddle.exceptions import MALFORMED_DOCUMENT, ControlError
from dotterelpaddle.ids import RequestId, ServiceName, SoftwareVersion
from dotterelpaddle.streams.origins import StreamOrigin, StreamRecord

if TYPE_CHECKING:
    from collections.abc import Iterable

QUESTION_KIND, ANSWER_KIND = "stream_question", "stream_answer"

DATAGRAM_PREFIX = b'["stream_'
"""Start of each of these datagrams."""

MS_PER_SECOND = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamQuestion:
    """Asks a router for the origin of a stream.

    Attributes:
        stream: Id of the caller's attempt that brought the first event.
        service: The service at which the caller resumes it.
    """

    stream: RequestId
    service: ServiceName


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamAnswer:
    """What a router knows of a stream.

    Attributes:
        stream: Id of the caller's attempt that brought the first event.
        record: Its record, None if the router has none.
        versions: All versions that the service has had while the stream may have
            begun, None if the router can't tell.
    """

    stream: RequestId
    record: StreamRecord | None = None
    versions: frozenset[SoftwareVersion] | None = None


StreamMessage = StreamQuestion | StreamAnswer


def encode_message(*, message: StreamMessage) -> bytes:
    """Encode a message as a datagram."""
    match message:
        case StreamQuestion(stream=stream, service=service):
            return orjson.dumps([QUESTION_KIND, stream, service])
        case StreamAnswer(stream=stream, record=record, versions=versions):
            return orjson.dumps(
                [
                    ANSWER_KIND,
                    stream,
                    encode_records(records=() if record is None else (record,)),
                    None if versions is None else sorted(versions),
                ]
            )


def decode_message(*, datagram: bytes) -> StreamMessage:
    """Decode a datagram.

    Raises:
        ControlError: If the datagram is malformed or of an unknown kind.
    """
    try:
        match orjson.loads(datagram):
            case ["stream_question", str(stream), str(service)]:
                return StreamQuestion(
                    stream=RequestId(stream), service=ServiceName(service)
                )
            case ["stream_answer", str(stream), list(records), versions]:
                return StreamAnswer(
                    stream=RequestId(stream),
                    record=next(iter(decode_records(fields=records)), None),
                    versions=_versions(versions),
                )
            case fields:
                raise ControlError(f"message about a stream is unreadable: {fields!r}")
    except MALFORMED_DOCUMENT as error:
        raise ControlError(f"malformed message about a stream: {error!r}") from error


def encode_records(*, records: Iterable[StreamRecord]) -> list[Any]:
    """Encode records as a field of a report, grouped by their origin."""
    groups: dict[StreamOrigin, list[Any]] = {}
    for record in records:
        milliseconds = bounded_count(value=round(MS_PER_SECOND * record.seconds))
        groups.setdefault(record.origin, []).append([record.stream, milliseconds])
    return [
        [origin.service, origin.version, streams] for origin, streams in groups.items()
    ]


def decode_records(*, fields: Iterable[Any]) -> tuple[StreamRecord, ...]:
    """Decode records from a field of a report.

    Raises:
        TypeError: If a field has the wrong type.
        ValueError: If a field has an invalid value.
    """
    return tuple(
        StreamRecord(
            stream=RequestId(str(stream)),
            origin=StreamOrigin(
                service=ServiceName(str(service)),
                version=SoftwareVersion(str(version)),
            ),
            seconds=decode_count(milliseconds) / MS_PER_SECOND,
        )
        for service, version, streams in fields
        for stream, milliseconds in streams
    )


def _versions(fields: Any) -> frozenset[SoftwareVersion] | None:
    if fields is None:
        return None
    return frozenset(SoftwareVersion(str(version)) for version in fields)
