"""Snapshot and configuration documents that routers send each other."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import orjson
import pytest
from hypothesis import given, strategies as st

from dotterelpaddle.address import Address
from dotterelpaddle.exceptions import ControlError
from dotterelpaddle.forwarding.caches import CacheMap
from dotterelpaddle.forwarding.interface import EndpointsUpdate
from dotterelpaddle.forwarding.unusable import UnusableEntries
from dotterelpaddle.forwarding.view import FleetView
from dotterelpaddle.ids import EndpointId, EndpointName
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
    SERVICE,
    configuration,
)
from dotterelpaddle.tests.revisions import revision_at

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.revisions import StoreRevision

ADDRESS = Address(host="10.0.0.1", port=80)
DOCUMENTS = PlatformDocumentDecoder()
FULL_REQUEST = SnapshotRequest(revision=None, uses=True)


def _view(version: int = 3, *, era: int = 0) -> FleetView:
    view = FleetView(clock=lambda: 0.0)
    document = orjson.dumps(configuration(version=version))
    view.apply_configuration(configuration=DOCUMENTS.configuration(document=document))
    row = RunnerStandin(name="a").entry(address=ADDRESS, service=SERVICE)
    entry = DOCUMENTS.endpoint(
        name=EndpointName("a"),
        document=orjson.dumps(row),
        revision=revision_at(4, era=era),
    )
    view.apply_endpoints_update(
        update=EndpointsUpdate(
            revision=revision_at(5, era=era), entries=(entry,), is_snapshot=True
        )
    )
    return view


def _caches() -> CacheMap:
    caches = CacheMap(clock=lambda: 0.0)
    caches.record_part(endpoint=EndpointId("a"), part=7)
    return caches


@pytest.mark.parametrize("era", [0, 4])
def test_snapshot_round_trip(era: int) -> None:
    view = _view(era=era)
    content = encode_snapshot(view=view, caches=_caches(), request=FULL_REQUEST)

    decoded = decode_snapshot(
        content=content, documents=DOCUMENTS, unusable=UnusableEntries()
    )

    assert decoded.endpoints == view.endpoints_since(revision=None)
    assert decoded.uses == ((7, "a"),)


def test_snapshot_of_an_earlier_release_is_of_the_first_era() -> None:
    content = encode_snapshot(view=_view(era=4), caches=_caches(), request=FULL_REQUEST)
    fields = orjson.loads(zlib.decompress(content))
    del fields["endpoints"]["era"]

    decoded = decode_snapshot(
        content=zlib.compress(orjson.dumps(fields)),
        documents=DOCUMENTS,
        unusable=UnusableEntries(),
    )

    assert decoded.endpoints is not None
    assert decoded.endpoints.revision == revision_at(5)


def test_snapshot_for_an_up_to_date_router_is_empty() -> None:
    request = SnapshotRequest(revision=revision_at(5), uses=False)
    content = encode_snapshot(view=_view(), caches=_caches(), request=request)

    decoded = decode_snapshot(
        content=content, documents=DOCUMENTS, unusable=UnusableEntries()
    )

    assert decoded.endpoints is not None
    assert decoded.endpoints.entries == ()
    assert decoded.uses == ()


@given(
    revision=st.none()
    | st.builds(revision_at, st.integers(0, 2**60), era=st.integers(0, 2**30)),
    uses=st.booleans(),
)
def test_request_round_trip(revision: StoreRevision | None, uses: bool) -> None:
    request = SnapshotRequest(revision=revision, uses=uses)

    assert SnapshotRequest.parse(query=request.query) == request


def test_invalid_query_requests_all_endpoints() -> None:
    request = SnapshotRequest.parse(query="revision=x&uses=&other=1")

    assert request == SnapshotRequest(revision=None, uses=False)


def test_configuration_document_is_compressed_and_current() -> None:
    view = _view(version=3)
    document = ConfigurationDocument(view=view)
    first = document.content
    later = DOCUMENTS.configuration(document=orjson.dumps(configuration(version=9)))
    view.apply_configuration(configuration=later)

    decoded = decode_configuration(content=document.content, documents=DOCUMENTS)

    assert decoded == later
    assert document.content != first
    assert len(first) < len(later.document) / 2


def test_document_without_configuration_decodes_to_none() -> None:
    document = ConfigurationDocument(view=FleetView(clock=lambda: 0.0))

    assert decode_configuration(content=document.content, documents=DOCUMENTS) is None


@given(st.binary(max_size=64))
def test_random_bytes_are_no_snapshot(random_bytes: bytes) -> None:
    for content in (random_bytes, zlib.compress(random_bytes)):
        with pytest.raises(ControlError):
            decode_snapshot(
                content=content, documents=DOCUMENTS, unusable=UnusableEntries()
            )


def test_truncated_document_is_no_snapshot() -> None:
    content = encode_snapshot(view=_view(), caches=_caches(), request=FULL_REQUEST)

    with pytest.raises(ControlError, match="cut off"):
        decode_snapshot(
            content=content[:-5], documents=DOCUMENTS, unusable=UnusableEntries()
        )


def test_document_above_the_maximum_size_is_no_snapshot(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(snapshot, "MAX_DOCUMENT_BYTES", 1000)

    with pytest.raises(ControlError, match="over 1000 bytes"):
        decode_snapshot(
            content=zlib.compress(b" " * 5000),
            documents=DOCUMENTS,
            unusable=UnusableEntries(),
        )
