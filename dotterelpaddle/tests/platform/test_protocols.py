"""Tests of decoding and encoding the platform's rows and headers."""

from __future__ import annotations

import orjson
import pytest
from hypothesis import given, strategies as st

from dotterelpaddle.exceptions import MalformedRequest, RecordError
from dotterelpaddle.forwarding.interface import (
    EndpointLoad,
    PromptPart,
    RequestMetadata,
)
from dotterelpaddle.forwarding.model import ClientAccount, EndpointState, RequestKind
from dotterelpaddle.ids import AccountId, EndpointName
from dotterelpaddle.platform.documents import PlatformDocumentDecoder
from dotterelpaddle.platform.names import Header
from dotterelpaddle.platform.protocols import PlatformCodec
from dotterelpaddle.tests.forwarding.harness import configuration, route
from dotterelpaddle.tests.revisions import revision_at

PROTOCOLS, DOCUMENTS = PlatformCodec(), PlatformDocumentDecoder()
ENTRY = {
    "service": "records",
    "address": "10.0.0.1:80",
    "zone": "here",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldLeftMs": 0,
    "models": [{"name": "m", "version": 1}],
    "seq": 3,
}


def _scope(headers: dict[bytes, bytes], **fields: object) -> dict[str, object]:
    return {
        "method": "POST",
        "path": "/a/b",
        "raw_path": b"/a/b",
        "query_string": b"",
        "headers": [(Header.REQUEST_ID, b"r"), (b"host", b"A.example:80")]
        + list(headers.items()),
        **fields,
    }


def _decode(content: object) -> object:
    return DOCUMENTS.configuration(document=orjson.dumps(content))


def test_request_is_decoded_into_its_parts() -> None:
    headers = {
        Header.KEY: b"k",
        Header.TIME_LEFT_MS: b"1500",
        Header.MODEL: b"m",
        Header.PROMPT_PREFIX: b"5c1e:800, 91bd:410,e440:250",
        Header.LAST_EVENT_ID: b"12",
    }

    request = PROTOCOLS.decode_request(scope=_scope(headers, query_string=b"c=d"))

    assert request.host == "a.example"
    assert request.target == b"/a/b?c=d"
    assert request.key == "k"
    assert request.time_left == 1.5
    assert request.prompt[0] == PromptPart(digest="5c1e", tokens=800)
    assert [part.tokens for part in request.prompt] == [800, 410, 250]
    assert request.last_event_id == "12"
    assert (Header.PROMPT_PREFIX, headers[Header.PROMPT_PREFIX]) in request.headers
    assert (Header.MODEL, b"m") in request.headers


@given(st.binary(max_size=40))
def test_any_prompt_header_is_decoded_or_skipped(text: bytes) -> None:
    request = PROTOCOLS.decode_request(scope=_scope({Header.PROMPT_PREFIX: text}))

    assert all(part.tokens >= 0 for part in request.prompt)


def test_request_without_id_is_refused() -> None:
    scope = _scope({})
    scope["headers"] = [(b"host", b"a.example")]

    with pytest.raises(MalformedRequest, match="x-dotterelpaddle-attempt-id"):
        PROTOCOLS.decode_request(scope=scope)


def test_request_metadata_is_encoded() -> None:
    request = PROTOCOLS.decode_request(
        scope=_scope({Header.PROMPT_PREFIX: b"aa:1,bb:2"})
    )
    metadata = RequestMetadata(
        endpoint=EndpointName("runner-1"),
        account=ClientAccount(name=AccountId("acme")),
        priority=12,
        last_event_id="3",
    )

    headers = dict(
        PROTOCOLS.encode_headers(request=request, metadata=metadata, time_left=1.2345)
    )

    assert headers[Header.EXPECTED_ENDPOINT] == b"runner-1"
    assert headers[Header.TIME_LEFT_MS] == b"1234"
    assert headers[Header.ACCOUNT] == b"acme"
    assert headers[Header.PRIORITY] == b"9"
    assert headers[Header.LAST_EVENT_ID] == b"3"
    assert headers[Header.REQUEST_ID] == b"r"


def test_answer_is_decoded() -> None:
    headers = [
        (b"X-Dotterelpaddle-Attempt-Id", b"r"),
        (b"X-Dotterelpaddle-Runner-Seal", b"s"),
        (b"Connection", b"close, x-hop"),
        (b"X-Hop", b"1"),
        (b"Content-Length", b"5"),
        (b"X-Kept", b"1"),
    ]

    head = PROTOCOLS.decode_answer(status=200, headers=headers)

    assert head.request_id == "r"
    assert head.has_origin_proof
    assert not head.not_executed
    names = {name for name, _ in head.headers}
    assert b"x-kept" in names
    assert not {b"connection", b"x-hop", b"content-length"} & names


@pytest.mark.parametrize(
    ("text", "load"),
    [
        (b"3,1,8", EndpointLoad(running=3, waiting=1, slots=8)),
        (b" 0, 0, 6, 250 ", EndpointLoad(running=0, waiting=0, slots=6, slowdown=2.5)),
    ],
)
def test_load_of_an_endpoint_is_decoded(text: bytes, load: EndpointLoad) -> None:
    head = PROTOCOLS.decode_answer(
        status=200, headers=[(b"X-Dotterelpaddle-Runner-Load", text)]
    )

    assert head.load == load


# Guards against an answer that is lost because its endpoint reports an odd load.
@pytest.mark.parametrize(
    "text",
    [
        "",
        "3",
        "3,1",
        "3,1,",
        "3,1,8,",
        "-1,0,6",
        "1,0,6,x",
        "1,0,6,0",
        "1,0,6,1e9",
        "1 2,0,6",
    ]
    + ["1,0,6,nan", "1,0,6,250,1", "1,0,6," + "9" * 5000, "1,0,6,\xb2"],
)
def test_malformed_load_counts_as_absent(text: str) -> None:
    head = PROTOCOLS.decode_answer(
        status=200, headers=[(Header.LOAD, text.encode("latin-1"))]
    )

    assert (head.status, head.load) == (200, None)


def test_configuration_is_decoded() -> None:
    decoded = DOCUMENTS.configuration(
        document=orjson.dumps(configuration(version=7, shapeOfThings=1))
    )

    again = next(each for each in decoded.routes if each.prefix == "/stream/again/")
    assert decoded.version == 7
    assert again.kind is RequestKind.STREAM
    assert again.retryable
    assert again.timeout == 2.0
    assert decoded.accounts_by_key is not None
    assert decoded.accounts_by_key["key-1"].priority == 1


def test_configuration_without_client_accounts_asks_for_no_keys() -> None:
    content = configuration()
    del content["tenants"]

    decoded = DOCUMENTS.configuration(document=orjson.dumps(content))

    assert decoded.accounts_by_key is None


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"version": "7"}, "version"),
        ({"version": True}, "version"),
        ({"routes": None}, "routes"),
        ({"routes": [{"name": "x"}]}, "routes.0.kind"),
        ({"routes": [route("x", "queue")]}, "routes.0.kind"),
        ({"routes": [route("x", "stream", timeoutMs="1")]}, "routes.0.timeoutMs"),
        ({"routes": [route("x", "stream", timeoutMs=-1)]}, "routes.0.timeoutMs"),
        ({"routes": [route("x", "stream", service=None)]}, "routes.0.service"),
        ({"limits": {}}, "limits.maxHeaderBytes"),
        ({"tenants": [{"apiKeys": []}]}, "tenants.0.name"),
        ({"tenants": [{"name": "a", "apiKeys": "k"}]}, "tenants.0.apiKeys"),
    ],
)
def test_wrong_field_of_a_configuration_is_named(
    change: dict[str, object], field: str
) -> None:
    with pytest.raises(RecordError) as caught:
        _decode({**configuration(), **change})

    assert caught.value.field == field
    assert field in caught.value.message


def test_entry_is_decoded() -> None:
    entry = DOCUMENTS.endpoint(
        name=EndpointName("i-1"), document=orjson.dumps(ENTRY), revision=revision_at(4)
    )

    assert entry.state is EndpointState.READY
    assert str(entry.address) == "10.0.0.1:80"
    assert entry.models == {"m"}
    assert entry.revision == revision_at(4)


def test_incarnation_is_part_of_the_endpoint_id() -> None:
    entry = DOCUMENTS.endpoint(
        name=EndpointName("i-1"),
        document=orjson.dumps({**ENTRY, "born": 1733000000123}),
        revision=revision_at(4),
    )

    assert entry.endpoint == "i-1@1733000000123"
    assert entry.name == "i-1"
    assert entry.incarnation == 1733000000123


@pytest.mark.parametrize("field", sorted(ENTRY.keys() - {"models"}))
def test_entry_that_lacks_a_field_names_no_endpoint(field: str) -> None:
    document = {name: value for name, value in ENTRY.items() if name != field}

    with pytest.raises(RecordError, match=rf"i-1\.{field}"):
        DOCUMENTS.endpoint(
            name=EndpointName("i-1"),
            document=orjson.dumps(document),
            revision=revision_at(1),
        )


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"address": "nowhere"}, "address"),
        ({"address": 5}, "address"),
        ({"service": None}, "service"),
        ({"state": None}, "state"),
        ({"slots": "many"}, "slots"),
        ({"slots": 0}, "slots"),
        ({"state": "resting"}, "state"),
        ({"zone": 3}, "zone"),
        ({"version": 1}, "version"),
        ({"seq": 1.5}, "seq"),
        ({"coldLeftMs": "soon"}, "coldLeftMs"),
        ({"born": "today"}, "born"),
        ({"born": 1.5}, "born"),
        ({"born": -1}, "born"),
        ({"models": "m"}, "models"),
        ({"models": ["m"]}, "models"),
        ({"models": [{"version": 1}]}, "models"),
    ],
)
def test_wrong_field_of_an_entry_is_named(
    change: dict[str, object], field: str
) -> None:
    with pytest.raises(RecordError, match=rf"i-1\.{field}"):
        DOCUMENTS.endpoint(
            name=EndpointName("i-1"),
            document=orjson.dumps({**ENTRY, **change}),
            revision=revision_at(1),
        )
