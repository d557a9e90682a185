"""Wire format of reports between routers, and the directory that they update."""

from __future__ import annotations

from dataclasses import replace

import orjson
import pytest
from hypothesis import given, strategies as st

from dotterelpaddle.address import Address
from dotterelpaddle.crashes.note import CrashNote, NoteKind
from dotterelpaddle.crashes.subjects import PartSubject, RequestSubject
from dotterelpaddle.exceptions import ControlError
from dotterelpaddle.forwarding.evacuations import EvacuationSnapshot
from dotterelpaddle.forwarding.leaving import LeavingNotice
from dotterelpaddle.forwarding.request_totals import (
    ReplyRequest,
    RequestTotals,
    RetryCounts,
    TotalsScope,
)
from dotterelpaddle.forwarding.store_clock import StoreTime
from dotterelpaddle.ids import (
    EndpointId,
    FailureDomain,
    Fingerprint,
    PartKey,
    RouterId,
    ServiceName,
    StoreEra,
)
from dotterelpaddle.peers.contact_attempts import FIRST_RETRY_SECONDS, RETRY_SECONDS
from dotterelpaddle.peers.directory import (
    PEER_EXPIRY_SECONDS,
    PEER_TIMEOUT_SECONDS,
    RECENT_REPORT_SECONDS,
    PeerDirectory,
)
from dotterelpaddle.peers.messages import (
    CRASHES_INDEX,
    INCARNATIONS_INDEX,
    MAX_LISTED_PEERS,
    decode_report,
    encode_report,
)
from dotterelpaddle.peers.report import PeerInfo, PeerReport
from dotterelpaddle.registry.summary import RegistrySummary
from dotterelpaddle.tests.revisions import revision_at

OWN = Address(host="10.0.0.1", port=1)
OTHER = Address(host="10.0.0.2", port=1)
THIRD = Address(host="10.0.0.3", port=1)


def _peer_info(
    router: str, *, port: int = 1, domain: str = "here", link: int = 0
) -> PeerInfo:
    return PeerInfo(
        router=RouterId(router),
        failure_domain=FailureDomain(domain),
        address=Address(host=router, port=port),
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
            "revision": revision_at(9, era=2),
            "configuration_as_of": StoreTime(era=StoreEra(2), seconds=12.25),
            "endpoints_as_of": None,
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
            "tunnels": THIRD,
            "endpoints_lost": True,
            "evacuated": EvacuationSnapshot(
                revision=revision_at(8, era=1),
                domains=frozenset({FailureDomain("there")}),
            ),
            "routers": 5,
            "domains": (FailureDomain("here"),),
            "uses": ((5, EndpointId("a")),),
            "parts": 1,
            "registry": RegistrySummary(
                routers=88,
                active=86,
                oldest=StoreTime(era=StoreEra(1), seconds=3.5),
                as_of=StoreTime(era=StoreEra(2), seconds=12.25),
            ),
            "peers": (_peer_info("10.0.0.3"),),
            **fields,
        }
    )


class _Harness:
    def __init__(self) -> None:
        self.now = 0.0
        self.directory = PeerDirectory(
            own=_peer_info("10.0.0.1"), seeds=(OWN, OTHER), clock=lambda: self.now
        )


def test_report_round_trip() -> None:
    assert decode_report(datagram=encode_report(report=_report())) == _report()


def test_tunnel_servers_round_trip() -> None:
    report = _report(
        tunnels=OTHER, endpoints_lost=True, seeks_tunnels=True, tunnel_servers=(THIRD,)
    )

    assert decode_report(datagram=encode_report(report=report)) == report
    told = replace(report, service_lost=False)
    assert decode_report(datagram=encode_report(report=told)) == told


def test_crash_notes_round_trip() -> None:
    notes = (
        CrashNote(
            kind=NoteKind.ENDED,
            subject=RequestSubject(fingerprint=Fingerprint("f")),
            endpoint=EndpointId("a@1"),
            age=1.5,
            begun=True,
        ),
        CrashNote(
            kind=NoteKind.ENDED,
            subject=RequestSubject(fingerprint=Fingerprint("f")),
            endpoint=EndpointId("a@2"),
        ),
        CrashNote(
            kind=NoteKind.SERVED,
            subject=RequestSubject(fingerprint=Fingerprint("g")),
        ),
        CrashNote(
            kind=NoteKind.ENDED,
            subject=PartSubject(part=PartKey("p"), position=2),
            endpoint=EndpointId("a@3"),
            begun=True,
        ),
    )
    report = _report(crashes=notes)

    assert decode_report(datagram=encode_report(report=report)) == report


def test_decoder_skips_notes_of_unknown_kinds() -> None:
    fields = orjson.loads(encode_report(report=_report()))
    fields[CRASHES_INDEX] = [["later", "f", None, 0, False, 1]]

    decoded = decode_report(datagram=orjson.dumps(fields))

    assert decoded == _report()


def test_report_of_an_earlier_release_lacks_appended_fields() -> None:
    fields = orjson.loads(encode_report(report=_report()))

    decoded = decode_report(datagram=orjson.dumps(fields[:CRASHES_INDEX]))

    assert decoded.crashes == ()
    assert decoded.leaving_endpoints == ()
    assert decoded.silent_owners == ()
    assert not decoded.platform_lost
    assert decoded.tunnels is None
    assert not decoded.endpoints_lost
    assert decoded.configuration_as_of is None
    assert decoded.revision == revision_at(9)


def test_earlier_releases_learn_no_age_that_loses_time_on_its_way() -> None:
    fields = orjson.loads(encode_report(report=_report()))

    assert fields[9:11] == [None, None]


def test_leaving_endpoints_round_trip() -> None:
    since = StoreTime(era=StoreEra(1), seconds=8.5)
    notes = (
        LeavingNotice(endpoint=EndpointId("a@1"), since=since, age=1.5),
        LeavingNotice(endpoint=EndpointId("b@1"), since=None, age=2.5),
    )
    report = _report(leaving_endpoints=notes)

    assert decode_report(datagram=encode_report(report=report)) == report


def test_list_of_peers_in_a_report_is_bounded() -> None:
    many = tuple(_peer_info("10.0.0.1", port=port) for port in range(1, 100))

    decoded = decode_report(datagram=encode_report(report=_report(peers=many)))

    assert len(decoded.peers) == MAX_LISTED_PEERS


@given(st.binary(max_size=64))
def test_random_bytes_are_no_report(datagram: bytes) -> None:
    with pytest.raises(ControlError):
        decode_report(datagram=datagram)


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


def test_directory_ignores_an_older_report_of_the_same_process() -> None:
    harness = _Harness()

    assert harness.directory.receive(report=_report(sequence=5), address=OTHER)
    assert not harness.directory.receive(report=_report(sequence=4), address=OTHER)
    assert not harness.directory.receive(report=_report(sequence=5), address=OTHER)
    assert harness.directory.receive(
        report=_report(sequence=1, incarnation=8), address=OTHER
    )


def test_silent_router_is_lost_and_found_again() -> None:
    harness = _Harness()
    harness.directory.receive(report=_report(), address=OTHER)
    harness.now = PEER_TIMEOUT_SECONDS + 0.1
    harness.directory.update_liveness()
    lost = harness.directory.alive
    harness.directory.receive(report=_report(sequence=2), address=OTHER)

    assert lost == ()
    assert len(harness.directory.alive) == 1


def test_failure_domain_is_reachable_while_one_of_its_routers_reports() -> None:
    harness = _Harness()
    for name, domain in (("one", "near"), ("two", "near"), ("three", "far")):
        report = _report(
            router=RouterId(name),
            failure_domain=FailureDomain(domain),
            share=RequestTotals(),
            peers=(),
        )
        harness.directory.receive(report=report, address=Address(host=name, port=1))
    harness.now = RECENT_REPORT_SECONDS + 0.1
    later = _report(
        sequence=2,
        router=RouterId("two"),
        failure_domain="near",
        share=RequestTotals(),
        peers=(),
    )
    harness.directory.receive(report=later, address=Address(host="two", port=1))

    assert harness.directory.reachable_domains() == {"near": True, "far": False}


def test_unanswered_attempts_repeat_once_a_second() -> None:
    harness = _Harness()

    initial = harness.directory.unreached_targets()
    immediate = harness.directory.unreached_targets()
    harness.now = RETRY_SECONDS
    later = harness.directory.unreached_targets()

    assert initial == [OTHER]
    assert immediate == []
    assert later == [OTHER]


def test_first_retry_comes_soon_and_later_ones_do_not() -> None:
    """The address may belong to a host that starts a moment later."""
    harness = _Harness()
    attempted = []
    for now in (
        0.0,
        FIRST_RETRY_SECONDS,
        2 * FIRST_RETRY_SECONDS,
        3 * FIRST_RETRY_SECONDS,
    ):
        harness.now = now
        attempted.append(bool(harness.directory.unreached_targets()))

    assert attempted == [True, True, False, False]


def test_directory_attempts_to_reach_listed_peers() -> None:
    harness = _Harness()
    harness.directory.receive(report=_report(), address=OTHER)

    assert harness.directory.unreached_targets() == [THIRD]


def test_directory_forgets_an_expired_router() -> None:
    harness = _Harness()
    harness.directory.receive(report=_report(peers=()), address=THIRD)
    harness.now = PEER_EXPIRY_SECONDS + 1
    harness.directory.update_liveness()

    assert harness.directory.router_count == 1
    assert set(harness.directory.unreached_targets()) <= {OTHER}


def test_incarnations_round_trip() -> None:
    incarnation, other = EndpointId("a@1733000000123"), EndpointId("b")
    report = _report(
        share=RequestTotals(loads={incarnation: 2, other: 1}),
        uses=((5, incarnation), (6, other)),
    )

    decoded = decode_report(datagram=encode_report(report=report))

    assert decoded.share.loads == {incarnation: 2, other: 1}
    assert decoded.uses == ((5, incarnation), (6, other))


def test_report_holds_only_the_latest_incarnation() -> None:
    earlier, later = EndpointId("a@1733000000123"), EndpointId("a@1733000000999")
    report = _report(
        share=RequestTotals(loads={earlier: 2, later: 1}),
        uses=((5, earlier), (6, later)),
    )

    decoded = decode_report(datagram=encode_report(report=report))

    assert decoded.share.loads == {later: 1}
    assert decoded.uses == ((6, later),)


def test_report_without_incarnations_counts_loads_but_not_parts() -> None:
    """Releases without incarnations know endpoints by name only."""
    fields = orjson.loads(encode_report(report=_report()))
    known = EndpointId("a@1733000000123")

    decoded = decode_report(
        datagram=orjson.dumps(fields[:INCARNATIONS_INDEX]),
        current_endpoint_id=lambda name: known,
    )

    assert decoded.share.loads == {known: 2}
    assert decoded.uses == ((5, "a"),)


def test_report_keeps_names_where_earlier_releases_read_them() -> None:
    incarnation = EndpointId("a@1733000000123")
    report = _report(
        share=RequestTotals(loads={incarnation: 2}), uses=((5, incarnation),)
    )

    fields = orjson.loads(encode_report(report=report))

    assert fields[12][2] == {"a": 2}
    assert fields[16] == [[5, "a"]]
    assert len(fields) > INCARNATIONS_INDEX


def test_queued_tokens_round_trip() -> None:
    incarnation = EndpointId("a@1733000000123")
    report = _report(
        share=RequestTotals(loads={incarnation: 2}, queued_tokens={incarnation: 9000}),
        uses=(),
    )

    decoded = decode_report(datagram=encode_report(report=report))

    assert decoded.share.queued_tokens == {incarnation: 9000}
