"""Reports, rows and messages with numbers that no sound router states."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from dotterelpaddle.address import Address
from dotterelpaddle.crashes.note import CrashNote, NoteKind
from dotterelpaddle.crashes.subjects import PartSubject, RequestSubject
from dotterelpaddle.exceptions import ControlError
from dotterelpaddle.forwarding.evacuations import EvacuationSnapshot
from dotterelpaddle.forwarding.leaving import LeavingNotice
from dotterelpaddle.forwarding.request_totals import (
    RequestTotals,
    RetryCounts,
    TotalsScope,
    sum_totals,
)
from dotterelpaddle.forwarding.store_clock import StoreClock, StoreTime
from dotterelpaddle.ids import (
    EndpointId,
    FailureDomain,
    Fingerprint,
    PartKey,
    RequestId,
    RouterId,
    ServiceName,
    SoftwareVersion,
    StoreEra,
)
from dotterelpaddle.peers import brittle_rows, crash_rows
from dotterelpaddle.peers.messages import decode_report, encode_report
from dotterelpaddle.peers.report import PeerInfo, PeerReport
from dotterelpaddle.registry.registration import (
    Registration,
    decode_registration,
    encode_registration,
)
from dotterelpaddle.registry.summary import RegistrySummary
from dotterelpaddle.streams.messages import decode_records
from dotterelpaddle.streams.origins import StreamOrigin, StreamRecord
from dotterelpaddle.streams.rows import decode_records_row, encode_records_row
from dotterelpaddle.tests.odd_numbers import with_odd_numbers
from dotterelpaddle.tests.revisions import revision_at

if TYPE_CHECKING:
    from collections.abc import Callable

A = EndpointId("a@1")
TIME = StoreTime(era=StoreEra(2), seconds=12.25)
NOTES = (
    CrashNote(
        kind=NoteKind.ENDED,
        subject=RequestSubject(fingerprint=Fingerprint("f")),
        endpoint=A,
        age=1.5,
    ),
    CrashNote(
        kind=NoteKind.ENDED,
        subject=PartSubject(part=PartKey("p"), position=2),
        endpoint=A,
        age=0.5,
        attempt_seconds=0.25,
        begun=True,
    ),
)
RECORD = StreamRecord(
    stream=RequestId("r"),
    origin=StreamOrigin(service=ServiceName("s"), version=SoftwareVersion("v")),
    seconds=1.5,
)
PEER = PeerInfo(
    router=RouterId("third"),
    failure_domain=FailureDomain("there"),
    address=Address(host="10.0.0.3", port=1),
    link=4,
)
REPORT = PeerReport(
    router=RouterId("other"),
    failure_domain=FailureDomain("here"),
    link=3,
    incarnation=7,
    sequence=11,
    control=Address(host="10.0.0.2", port=1),
    version=3,
    revision=revision_at(9, era=2),
    configuration_as_of=TIME,
    endpoints_as_of=TIME,
    endpoints_tag=77,
    share=RequestTotals(
        scope=TotalsScope.DOMAIN,
        routers=3,
        loads={A: 2},
        queued_tokens={A: 800},
        retries={ServiceName("s"): RetryCounts(requests=4, retries=1)},
    ),
    evacuated=EvacuationSnapshot(
        revision=revision_at(8, era=1), domains=frozenset({FailureDomain("there")})
    ),
    routers=5,
    domains=(FailureDomain("here"),),
    uses=((5, A),),
    parts=1,
    registry=RegistrySummary(routers=88, active=86, oldest=TIME, as_of=TIME),
    peers=(PEER,),
    owners=(PEER,),
    crashes=NOTES,
    leaving_endpoints=(LeavingNotice(endpoint=A, age=0.5, since=TIME),),
    streams=(RECORD,),
)


# Guards against routers that end, one after the other, as what one of them reports can
# be read but not be passed on: a number beyond 64 bits, or a sum of two below.
def test_report_with_any_number_is_dropped_or_can_be_passed_on() -> None:
    taken = 0
    for datagram in with_odd_numbers(document=encode_report(report=REPORT)):
        try:
            report = decode_report(datagram=datagram)
        except ControlError as error:
            assert error.message
            continue
        taken += 1
        total = sum_totals(scope=TotalsScope.OTHERS, totals=[report.share] * 3)
        passed_on = encode_report(report=replace(report, share=total))
        assert decode_report(datagram=passed_on).router == report.router
    assert taken


# Guards against the same end by what a row of the store states.
@pytest.mark.parametrize("name", ["crashes", "limits", "registration", "streams"])
def test_row_with_any_number_is_refused_or_can_be_written_again(name: str) -> None:
    store_clock = StoreClock(clock=lambda: 0.0)
    store_clock.record_answer(time=TIME, requested_at=0.0)

    def _pass_on_crashes(row: bytes) -> bytes:
        notes = crash_rows.decode_row(row=row, store_clock=store_clock)
        encode_report(report=replace(REPORT, crashes=tuple(notes)))
        return crash_rows.encode_row(notes=notes, time=TIME)

    def _pass_on_registration(row: bytes) -> bytes:
        registration = decode_registration(row=row)
        summary = RegistrySummary(
            routers=1,
            active=1,
            oldest=registration.registered_at,
            as_of=registration.renewed_at,
        )
        encode_report(report=replace(REPORT, registry=summary))
        return encode_registration(registration=registration)

    def _pass_on_streams(row: bytes) -> bytes:
        records = decode_records_row(row=row)
        encode_report(report=replace(REPORT, streams=records))
        return encode_records_row(records=records)

    rows: dict[str, tuple[bytes, Callable[[bytes], bytes]]] = {
        "crashes": (crash_rows.encode_row(notes=NOTES, time=TIME), _pass_on_crashes),
        "limits": (
            brittle_rows.encode_row(limits={ServiceName("s"): 4}),
            lambda row: brittle_rows.encode_row(
                limits=brittle_rows.decode_row(row=row)
            ),
        ),
        "registration": (
            encode_registration(
                registration=Registration(registered_at=TIME, renewed_at=TIME)
            ),
            _pass_on_registration,
        ),
        "streams": (encode_records_row(records=[RECORD]), _pass_on_streams),
    }
    row, pass_on = rows[name]
    taken = 0
    for odd in with_odd_numbers(document=row):
        try:
            assert pass_on(odd)
        except ControlError as error:
            assert error.message
            continue
        taken += 1
    assert taken


def test_time_that_no_clock_shows_is_refused() -> None:
    assert StoreTime.stated(era=1, seconds=12) == StoreTime(
        era=StoreEra(1), seconds=12.0
    )
    for era, seconds in [(1e30, 1), (1, 1e13), (1, -1e13), (1, float("nan"))]:
        with pytest.raises(ValueError, match="no"):
            StoreTime.stated(era=era, seconds=seconds)


def test_records_of_streams_of_any_age_are_taken() -> None:
    (record,) = decode_records(fields=[["s", "v", [["r", 1e30]]]])

    assert record.stream == "r"
