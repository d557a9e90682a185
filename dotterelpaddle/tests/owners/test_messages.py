"""Encoding and decoding of messages between routers and owners."""

from __future__ import annotations

from dataclasses import replace

import pytest

from dotterelpaddle.exceptions import ControlError
from dotterelpaddle.forwarding.choice import ChoiceReason
from dotterelpaddle.forwarding.interface import PromptPart
from dotterelpaddle.forwarding.slowdowns import SlowdownNote
from dotterelpaddle.ids import (
    AccountId,
    EndpointId,
    FailureDomain,
    Fingerprint,
    ModelId,
    RouterId,
    ServiceName,
)
from dotterelpaddle.owners.handover import Handover, RouterCounts
from dotterelpaddle.owners.messages import (
    DATAGRAM_PREFIX,
    Grant,
    GrantRequest,
    InFlightReport,
    Message,
    PlacementQuery,
    Refusal,
    RefusalReason,
    Waiting,
    decode,
    encode,
)
from dotterelpaddle.owners.request_options import Admission
from dotterelpaddle.tests.odd_numbers import with_odd_numbers

A, B = EndpointId("a@17"), EndpointId("b")
REPORT = InFlightReport(
    router=RouterId("router-1"),
    incarnation=7,
    sequence=12,
    loads={A: 2, B: 1},
    pending=frozenset({3, 4}),
)
QUERY = PlacementQuery(
    service=ServiceName("engines"),
    shard=FailureDomain("here"),
    model=ModelId("m"),
    prompt=(PromptPart(digest="5c1e", tokens=800), PromptPart(digest="e4", tokens=20)),
    retryable=True,
    excluded=frozenset({B}),
    ignore_bound=False,
    cached_at=A,
)
NOTES = (
    SlowdownNote(endpoint=A, slowdown=2.5, age=0.042),
    SlowdownNote(endpoint=B, slowdown=1.0, age=0.9),
)
ADMISSION = Admission(
    rank=2,
    account=AccountId("client"),
    fingerprint=Fingerprint("f1"),
    max_wait=0.2,
    time_left=1.5,
)

HANDOVER = Handover(
    router=RouterId("router-1"),
    domain=FailureDomain("here"),
    number=2,
    part=0,
    parts=1,
    counts=(RouterCounts(report=REPORT, granted={4: A}, age=0.5),),
)

MESSAGES: list[Message] = [
    REPORT,
    GrantRequest(number=4, report=REPORT, query=QUERY),
    GrantRequest(number=4, report=REPORT, query=QUERY, slowdowns=NOTES),
    GrantRequest(
        number=4, report=REPORT, query=replace(QUERY, brittle=True), slowdowns=NOTES
    ),
    Grant(number=4),
    Grant(
        number=4,
        endpoint=A,
        fetch_from=B,
        reason=ChoiceReason.CACHED,
        load=3,
        mean_load=2.5,
        missing_tokens=100,
        work_tokens=90,
    ),
    GrantRequest(number=4, report=REPORT, query=replace(QUERY, brittle=True)),
    GrantRequest(number=4, report=REPORT, query=replace(QUERY, admission=ADMISSION)),
    Grant(number=4, endpoint=A, others_wait=False),
    Grant(number=4, endpoint=A, others_wait=True),
    Waiting(number=4),
    Refusal(number=4, retry_after=0.25, reason=RefusalReason.QUEUE_FULL),
]


@pytest.mark.parametrize("message", MESSAGES)
def test_message_round_trips(message: Message) -> None:
    datagram = encode(message=message)

    assert datagram.startswith(DATAGRAM_PREFIX)
    assert decode(datagram=datagram) == message


@pytest.mark.parametrize(
    "datagram",
    [
        b"",
        b'["',
        b'["other",1]',
        b'["held",[1]]',
        b'["question",1]',
        b'["grant",1,2]',
        b'["held",["r",1,2,[],[]]]',
        b'["grant","x",null,null,"cached",0,0,0,0]',
        b'["grant",1,"a",null,"a reason of a later release",0,0,0,0]',
        b'["waiting"]',
        b'["refused",1,"soon","expired"]',
        b'["question",4,["r",1,2,{},[]],"s",null,"",[],true,[],false,null,false,[1]]',
    ],
)
def test_malformed_datagram_is_refused(datagram: bytes) -> None:
    with pytest.raises(ControlError):
        decode(datagram=datagram)


# Guards against routers of the last release that can't read a plain question.
@pytest.mark.parametrize(
    ("brittle", "notes", "appended"),
    [
        (False, (), b""),
        (True, (), b",true"),
        (False, NOTES[:1], b',false,null,[["a@17",250,42]]'),
    ],
)
def test_optional_fields_are_left_out_from_the_end(
    brittle: bool, notes: tuple[SlowdownNote, ...], appended: bytes
) -> None:
    query = replace(QUERY, brittle=brittle)
    request = GrantRequest(number=4, report=REPORT, query=query, slowdowns=notes)

    datagram = encode(message=request)

    assert datagram == (
        b'["question",4,["router-1",7,12,{"a@17":2,"b":1},[3,4]],"engines","here","m",'
        b'[["5c1e",800],["e4",20]],true,["b"],false,"a@17"' + appended + b"]"
    )


# Guards against the other new field, which a router may send that tells no slowdown.
def test_admission_field_before_the_slowdowns_is_skipped() -> None:
    datagram = encode(message=GrantRequest(number=4, report=REPORT, query=QUERY))
    admission = b',false,[1,"acme","f",100,300]]'

    decoded = decode(datagram=datagram[:-1] + admission)

    assert isinstance(decoded, GrantRequest)
    assert decoded.slowdowns == ()


# Guards against routers of the last release that can't read the messages of a fleet
# without admission.
def test_datagrams_without_admission_are_those_of_the_last_release() -> None:
    question = GrantRequest(number=4, report=REPORT, query=QUERY)
    brittle = replace(question, query=replace(QUERY, brittle=True))
    report = b'["router-1",7,12,{"a@17":2,"b":1},[3,4]]'
    head = b'["question",4,' + report + b',"engines","here","m"'
    query = head + b',[["5c1e",800],["e4",20]],true,["b"],false,"a@17"'

    assert encode(message=question) == query + b"]"
    assert encode(message=brittle) == query + b",true]"
    assert (
        encode(message=Grant(number=4, endpoint=A))
        == b'["grant",4,"a@17",null,"least_loaded",0,0.0,0,0]'
    )


# Guards against routers that refuse the messages of a later release.
@pytest.mark.parametrize(
    "message",
    [
        GrantRequest(
            number=4,
            report=REPORT,
            query=replace(QUERY, admission=ADMISSION),
            slowdowns=NOTES,
        ),
        Grant(number=4, endpoint=A, others_wait=True),
        Refusal(number=4, retry_after=0.25, reason=RefusalReason.EXPIRED),
    ],
)
def test_fields_of_a_later_release_are_ignored(message: Message) -> None:
    datagram = encode(message=message)[:-1] + b',[["a",250,12]]]'

    assert decode(datagram=datagram) == message


def test_refusal_for_a_reason_of_a_later_release_is_a_refusal() -> None:
    refusal = decode(datagram=b'["refused",4,250,"a reason of a later release"]')

    assert refusal == Refusal(number=4, retry_after=0.25, reason=RefusalReason.UNKNOWN)


# Guards against an owner, or a router that asks one, that ends as it can't pass on what
# another one has stated.
@pytest.mark.parametrize("message", [*MESSAGES, HANDOVER])
def test_message_with_any_number_is_refused_or_can_be_written_again(
    message: Message,
) -> None:
    for datagram in with_odd_numbers(document=encode(message=message)):
        try:
            decoded = decode(datagram=datagram)
        except ControlError as error:
            assert error.message
            continue
        assert encode(message=decoded)
