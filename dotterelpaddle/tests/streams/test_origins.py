"""Tests of the records of where streams began."""

from __future__ import annotations

import anyio
import pytest

from dotterelpaddle.ids import RequestId, ServiceName, SoftwareVersion
from dotterelpaddle.streams.origins import (
    MAX_STREAM_SECONDS,
    MAX_STREAMS_PER_REPORT,
    REPORTS_PER_STREAM,
    StreamOrigin,
    StreamOrigins,
    StreamRecord,
)

pytestmark = pytest.mark.anyio

ORIGIN = StreamOrigin(service=ServiceName("chat"), version=SoftwareVersion("v1"))
OTHER = StreamOrigin(service=ServiceName("chat"), version=SoftwareVersion("v1.1"))


def make_record(
    stream: str = "s", *, origin: StreamOrigin = ORIGIN, seconds: float = 10.0
) -> StreamRecord:
    return StreamRecord(stream=RequestId(stream), origin=origin, seconds=seconds)


class Registry:
    """Records of streams on a clock that the test sets."""

    def __init__(self) -> None:
        self.now = 0.0
        self.origins = StreamOrigins(clock=lambda: self.now)

    def find(self, stream: str = "s") -> StreamOrigin | None:
        return self.origins.find(stream=RequestId(stream))


def test_each_record_goes_into_several_reports() -> None:
    registry = Registry()
    registry.origins.begin(record=make_record())

    reports = [registry.origins.take_own() for _ in range(REPORTS_PER_STREAM + 1)]

    assert [len(report) for report in reports] == [1] * REPORTS_PER_STREAM + [0]
    assert registry.origins.take_forwarded() == ()


def test_records_of_the_own_domain_are_passed_on_once_each() -> None:
    registry = Registry()
    registry.origins.receive(records=(make_record(),), forward=True)
    registry.origins.receive(records=(make_record(),), forward=True)
    registry.origins.receive(records=(make_record("t"),), forward=False)

    passed_on = [
        record.stream
        for _ in range(REPORTS_PER_STREAM + 1)
        for record in registry.origins.take_forwarded()
    ]

    assert passed_on == ["s"] * REPORTS_PER_STREAM


def test_report_has_room_for_a_bounded_number_of_records() -> None:
    registry = Registry()
    count = MAX_STREAMS_PER_REPORT + 10
    for number in range(count):
        registry.origins.begin(record=make_record(f"s{number}"))
    reported = set()
    while report := registry.origins.take_own():
        assert len(report) <= MAX_STREAMS_PER_REPORT
        reported |= {record.stream for record in report}

    assert len(reported) == count


def test_record_expires_with_its_caller() -> None:
    registry = Registry()
    registry.origins.begin(record=make_record(seconds=3.0))
    registry.now = 2.9
    registry.origins.expire()
    before = registry.find()
    registry.now = 3.0
    registry.origins.expire()

    assert before == ORIGIN
    assert registry.find() is None


def test_record_of_a_caller_without_a_deadline_expires() -> None:
    registry = Registry()
    registry.origins.begin(record=make_record(seconds=1e9))
    registry.now = MAX_STREAM_SECONDS
    registry.origins.expire()

    assert registry.origins.count == 0


def test_record_never_changes() -> None:
    registry = Registry()
    registry.origins.begin(record=make_record())
    registry.origins.receive(records=(make_record(origin=OTHER),), forward=False)

    assert registry.find() == ORIGIN


async def test_watcher_hears_of_a_record() -> None:
    registry = Registry()
    event = anyio.Event()
    with registry.origins.watch(stream=RequestId("s"), event=event):
        registry.origins.receive(records=(make_record("t"),), forward=False)
        before = event.is_set()
        registry.origins.receive(records=(make_record(),), forward=False)

    assert not before
    assert event.is_set()
