"""Reports between routers, and what is not one."""

from __future__ import annotations

import orjson
import pytest
from hypothesis import given, strategies as st

from dotterelpaddle.address import Address
from dotterelpaddle.exceptions import ControlError
from dotterelpaddle.forwarding.crashes import CrashNote, NoteKind
from dotterelpaddle.forwarding.evacuations import EvacuationSnapshot
from dotterelpaddle.forwarding.leaving import LeavingNotice
from dotterelpaddle.forwarding.request_totals import (
    ReplyRequest,
    RequestTotals,
    RetryCounts,
    TotalsScope,
)
from dotterelpaddle.ids import (
    EndpointId,
    FailureDomain,
    Fingerprint,
    Revision,
    RouterId,
    ServiceName,
)
from dotterelpaddle.peers.directory import (
    FIRST_RETRY_SECONDS,
    PEER_EXPIRY_SECONDS,
    PEER_TIMEOUT_SECONDS,
    RECENT_REPORT_SECONDS,
    RETRY_SECONDS,
    PeerDirectory,
)
from dotterelpaddle.peers.messages import (
    CRASHES_INDEX,
    INCARNATIONS_INDEX,
    MAX_LISTED_PEERS,
    PeerInfo,
    PeerReport,
    decode_report,
    encode_report,
)

OWN = Address(host="10.0.0.1", port=1)
OTHER = Address(host="10.0.0.2", port=1)
THIRD = Address(host="10.0.0.3", port=1)


def _name(name: str, *, port: int = 1, domain: str = "here", link: int = 0) -> PeerInfo:
    return PeerInfo(
        router=RouterId(name),
        failure_domain=FailureDomain(domain),
        address=Address(host=name, port=port),
        link=link,
    )


def _report(sequence: int = 1, incarnation: int = 7, **fields: object) -> PeerReport:
    return PeerReport(
        **{  # type: ignore[arg-type]
            "router": RouterId("other"),
            "failure_domain": FailureDomain("here"),
            "incarnation": incarnation,
            "sequence": sequence,
            "control": OTHER,
            "version": 3,
            "revision": Revision(9),
            "configuration_age": 0.25,
            "endpoints_age": float("inf"),
            "endpoints_tag": 77,
            "share": RequestTotals(
                scope=TotalsScope.OTHERS,
                routers=3,
                loads={EndpointId("a"): 2},
                retries={ServiceName("s"): RetryCounts(requests=4, retries=1)},
            ),
            "ask": ReplyRequest.AGGREGATE,
            "leaving": True,
            "silent_owners": (RouterId("third"),),
            "platform_lost": True,
            "evacuated": EvacuationSnapshot(
                revision=Revision(8), domains=frozenset({FailureDomain("there")})
            ),
            "routers": 5,
            "domains": (FailureDomain("here"),),
            "uses": ((5, EndpointId("a")),),
            "parts": 1,
            "peers": (_name("10.0.0.3"),),
            **fields,
        }
    )


class _World:
    def __init__(self) -> None:
        self.now = 0.0
        self.directory = PeerDirectory(
            own=_name("10.0.0.1"), seeds=(OWN, OTHER), clock=lambda: self.now
        )


def test_report_survives_the_wire() -> None:
    assert decode_report(datagram=encode_report(report=_report())) == _report()


def test_notes_of_crashes_survive_the_wire() -> None:
    notes = (
        CrashNote(
            kind=NoteKind.ENDED,
            fingerprint=Fingerprint("f"),
            endpoint=EndpointId("a@1"),
            age=1.5,
            begun=True,
        ),
        CrashNote(
            kind=NoteKind.ENDED,
            fingerprint=Fingerprint("f"),
            endpoint=EndpointId("a@2"),
        ),
        CrashNote(kind=NoteKind.SERVED, fingerprint=Fingerprint("g")),
    )
    report = _report(crashes=notes)

    assert decode_report(datagram=encode_report(report=report)) == report


def test_notes_that_only_later_releases_know_are_passed_over() -> None:
    fields = orjson.loads(encode_report(report=_report()))
    fields[CRASHES_INDEX] = [["later", "f", None, 0, False, 1]]

    decoded = decode_report(datagram=orjson.dumps(fields))

    assert decoded == _report()


def test_report_of_an_earlier_release_tells_no_crashes() -> None:
    fields = orjson.loads(encode_report(report=_report()))

    decoded = decode_report(datagram=orjson.dumps(fields[:CRASHES_INDEX]))

    assert decoded.crashes == ()
    assert decoded.leaving_endpoints == ()
    assert decoded.silent_owners == ()
    assert not decoded.platform_lost


def test_endpoints_that_leave_survive_the_wire() -> None:
    notes = (LeavingNotice(endpoint=EndpointId("a@1"), age=1.5),)
    report = _report(leaving_endpoints=notes)

    assert decode_report(datagram=encode_report(report=report)) == report


def test_names_in_a_report_are_bounded() -> None:
    many = tuple(_name("10.0.0.1", port=port) for port in range(1, 100))

    decoded = decode_report(datagram=encode_report(report=_report(peers=many)))

    assert len(decoded.peers) == MAX_LISTED_PEERS


@given(st.binary(max_size=64))
def test_noise_is_no_report(noise: bytes) -> None:
    with pytest.raises(ControlError):
        decode_report(datagram=noise)


@given(
    st.recursive(
        st.none() | st.integers() | st.text(max_size=4),
        lambda inner: (
            st.lists(inner, max_size=13)
            | st.dictionaries(st.text(max_size=3), inner, max_size=3)
        ),
    )
)
def test_other_documents_are_no_report(document: object) -> None:
    try:
        datagram = orjson.dumps(document)
    except TypeError:
        return
    with pytest.raises(ControlError):
        decode_report(datagram=datagram)


def test_report_of_another_format_is_dropped() -> None:
    fields = orjson.loads(encode_report(report=_report()))
    fields[0] = 99

    with pytest.raises(ControlError, match="format 99"):
        decode_report(datagram=orjson.dumps(fields))


def test_older_report_of_the_same_process_is_no_news() -> None:
    world = _World()

    assert world.directory.receive(report=_report(sequence=5), address=OTHER)
    assert not world.directory.receive(report=_report(sequence=4), address=OTHER)
    assert not world.directory.receive(report=_report(sequence=5), address=OTHER)
    assert world.directory.receive(
        report=_report(sequence=1, incarnation=8), address=OTHER
    )


def test_silent_router_is_lost_and_found_again() -> None:
    world = _World()
    world.directory.receive(report=_report(), address=OTHER)
    world.now = PEER_TIMEOUT_SECONDS + 0.1
    world.directory.update_liveness()
    lost = world.directory.alive
    world.directory.receive(report=_report(sequence=2), address=OTHER)

    assert lost == ()
    assert len(world.directory.alive) == 1


def test_failure_domain_is_heard_while_any_of_its_routers_is() -> None:
    world = _World()
    for name, domain in (("one", "near"), ("two", "near"), ("three", "far")):
        report = _report(
            router=RouterId(name),
            failure_domain=FailureDomain(domain),
            share=RequestTotals(),
            peers=(),
        )
        world.directory.receive(report=report, address=Address(host=name, port=1))
    world.now = RECENT_REPORT_SECONDS + 0.1
    later = _report(
        sequence=2,
        router=RouterId("two"),
        failure_domain="near",
        share=RequestTotals(),
        peers=(),
    )
    world.directory.receive(report=later, address=Address(host="two", port=1))

    assert world.directory.reachable_domains() == {"near": True, "far": False}


def test_addresses_that_do_not_answer_are_tried_once_a_second() -> None:
    world = _World()

    first = world.directory.unreached_targets()
    at_once = world.directory.unreached_targets()
    world.now = RETRY_SECONDS
    later = world.directory.unreached_targets()

    assert first == [OTHER]
    assert at_once == []
    assert later == [OTHER]


def test_address_that_does_not_answer_is_tried_again_soon_but_once() -> None:
    """It may belong to a host that was started a moment later."""
    world = _World()
    tried = []
    for now in (
        0.0,
        FIRST_RETRY_SECONDS,
        2 * FIRST_RETRY_SECONDS,
        3 * FIRST_RETRY_SECONDS,
    ):
        world.now = now
        tried.append(bool(world.directory.unreached_targets()))

    assert tried == [True, True, False, False]


def test_routers_that_others_name_are_tried() -> None:
    world = _World()
    world.directory.receive(report=_report(), address=OTHER)

    assert world.directory.unreached_targets() == [THIRD]


def test_router_that_is_long_silent_is_forgotten() -> None:
    world = _World()
    world.directory.receive(report=_report(peers=()), address=THIRD)
    world.now = PEER_EXPIRY_SECONDS + 1
    world.directory.update_liveness()

    assert world.directory.router_count == 1
    assert set(world.directory.unreached_targets()) <= {OTHER}


def test_start_of_an_endpoint_is_told() -> None:
    start, other = EndpointId("a@1733000000123"), EndpointId("b")
    report = _report(
        share=RequestTotals(loads={start: 2, other: 1}), uses=((5, start), (6, other))
    )

    decoded = decode_report(datagram=encode_report(report=report))

    assert decoded.share.loads == {start: 2, other: 1}
    assert decoded.uses == ((5, start), (6, other))


def test_only_the_latest_start_is_told() -> None:
    earlier, later = EndpointId("a@1733000000123"), EndpointId("a@1733000000999")
    report = _report(
        share=RequestTotals(loads={earlier: 2, later: 1}),
        uses=((5, earlier), (6, later)),
    )

    decoded = decode_report(datagram=encode_report(report=report))

    assert decoded.share.loads == {later: 1}
    assert decoded.uses == ((6, later),)


def test_report_without_starts_counts_for_the_known_ones_but_tells_no_parts() -> None:
    """As an earlier release writes it, which knows endpoints by name only."""
    fields = orjson.loads(encode_report(report=_report()))
    known = EndpointId("a@1733000000123")

    decoded = decode_report(
        datagram=orjson.dumps(fields[:INCARNATIONS_INDEX]), start_of=lambda name: known
    )

    assert decoded.share.loads == {known: 2}
    assert decoded.uses == ((5, "a"),)


def test_earlier_releases_find_names_where_they_look() -> None:
    start = EndpointId("a@1733000000123")
    report = _report(share=RequestTotals(loads={start: 2}), uses=((5, start),))

    fields = orjson.loads(encode_report(report=report))

    assert fields[12][2] == {"a": 2}
    assert fields[16] == [[5, "a"]]
    assert len(fields) > INCARNATIONS_INDEX


def test_report_tells_what_waits_to_be_read() -> None:
    start = EndpointId("a@1733000000123")
    report = _report(
        share=RequestTotals(loads={start: 2}, queued_tokens={start: 9000}), uses=()
    )

    decoded = decode_report(datagram=encode_report(report=report))

    assert decoded.share.queued_tokens == {start: 9000}
