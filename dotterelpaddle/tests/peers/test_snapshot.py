"""Documents that routers hand to each other, and what is none."""

from __future__ import annotations

import zlib

import orjson
import pytest
from hypothesis import given, strategies as st

from dotterelpaddle.exceptions import ControlError
from dotterelpaddle.forwarding.caches import CacheMap
from dotterelpaddle.forwarding.interface import EndpointsUpdate
from dotterelpaddle.forwarding.unusable import UnusableEntries
from dotterelpaddle.forwarding.view import FleetView
from dotterelpaddle.ids import EndpointId, EndpointName, Revision
from dotterelpaddle.peers import snapshot
from dotterelpaddle.peers.snapshot import (
    ConfigurationDocument,
    SnapshotRequest,
    decode_configuration,
    decode_snapshot,
    encode_snapshot,
)
from dotterelpaddle.platform.documents import PlatformDocumentDecoder
from dotterelpaddle.standins.runner import RunnerStandin
from dotterelpaddle.tests.forwarding.harness import (
    ANY_LOCAL_ADDRESS,
    SERVICE,
    configuration,
)

DOCUMENTS = PlatformDocumentDecoder()
NOTHING_KNOWN = SnapshotRequest(revision=None, uses=True)


def _view(version: int = 3) -> FleetView:
    view = FleetView(clock=lambda: 0.0)
    document = orjson.dumps(configuration(version=version))
    view.apply_configuration(configuration=DOCUMENTS.configuration(document=document))
    row = RunnerStandin(name="a").entry(address=ANY_LOCAL_ADDRESS, service=SERVICE)
    entry = DOCUMENTS.endpoint(
        name=EndpointName("a"), document=orjson.dumps(row), revision=Revision(4)
    )
    view.apply_endpoints_update(
        update=EndpointsUpdate(revision=Revision(5), entries=(entry,), is_snapshot=True)
    )
    return view


def _caches() -> CacheMap:
    caches = CacheMap(clock=lambda: 0.0)
    caches.record_part(endpoint=EndpointId("a"), part=7)
    return caches


def test_snapshot_holds_what_is_known() -> None:
    view = _view()
    content = encode_snapshot(view=view, caches=_caches(), request=NOTHING_KNOWN)

    taken = decode_snapshot(
        content=content, documents=DOCUMENTS, unusable=UnusableEntries()
    )

    assert taken.endpoints == view.endpoints_since(revision=None)
    assert taken.uses == ((7, "a"),)


def test_one_that_knows_all_is_told_nothing() -> None:
    request = SnapshotRequest(revision=Revision(5), uses=False)
    content = encode_snapshot(view=_view(), caches=_caches(), request=request)

    taken = decode_snapshot(
        content=content, documents=DOCUMENTS, unusable=UnusableEntries()
    )

    assert taken.endpoints is not None
    assert taken.endpoints.entries == ()
    assert taken.uses == ()


@given(
    revision=st.none() | st.integers(0, 2**60).map(Revision),
    uses=st.booleans(),
)
def test_request_survives_the_query(revision: Revision | None, uses: bool) -> None:
    request = SnapshotRequest(revision=revision, uses=uses)

    assert SnapshotRequest.parse(query=request.query) == request


def test_query_that_makes_no_sense_asks_for_all_endpoints() -> None:
    request = SnapshotRequest.parse(query="revision=x&uses=&other=1")

    assert request == SnapshotRequest(revision=None, uses=False)


def test_configuration_is_handed_out_compressed_and_as_it_is_now() -> None:
    view = _view(version=3)
    document = ConfigurationDocument(view=view)
    first = document.content
    later = DOCUMENTS.configuration(document=orjson.dumps(configuration(version=9)))
    view.apply_configuration(configuration=later)

    taken = decode_configuration(content=document.content, documents=DOCUMENTS)

    assert taken == later
    assert document.content != first
    assert len(first) < len(later.document) / 2


def test_router_without_configuration_hands_out_none() -> None:
    document = ConfigurationDocument(view=FleetView(clock=lambda: 0.0))

    assert decode_configuration(content=document.content, documents=DOCUMENTS) is None


@given(st.binary(max_size=64))
def test_noise_is_no_snapshot(noise: bytes) -> None:
    for content in (noise, zlib.compress(noise)):
        with pytest.raises(ControlError):
            decode_snapshot(
                content=content, documents=DOCUMENTS, unusable=UnusableEntries()
            )


def test_document_that_was_cut_off_is_none() -> None:
    content = encode_snapshot(view=_view(), caches=_caches(), request=NOTHING_KNOWN)

    with pytest.raises(ControlError, match="cut off"):
        decode_snapshot(
            content=content[:-5], documents=DOCUMENTS, unusable=UnusableEntries()
        )


def test_document_that_expands_without_end_is_none(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(snapshot, "MAX_DOCUMENT_BYTES", 1000)

    with pytest.raises(ControlError, match="over 1000 bytes"):
        decode_snapshot(
            content=zlib.compress(b" " * 5000),
            documents=DOCUMENTS,
            unusable=UnusableEntries(),
        )
