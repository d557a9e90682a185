from __future__ import annotations

from itertools import product

import anyio
import httpcore
import orjson
import pytest

from dotterelpaddle.address import Address
from dotterelpaddle.exceptions import (
    NotAuthenticated,
    NothingAccepted,
    PlatformUnavailable,
    RecordError,
    RecordNotFound,
    RecordOutcomeUnknown,
    RecordRefused,
    RouteNotFound,
    RouterUnreachable,
)
from dotterelpaddle.ids import Revision
from dotterelpaddle.listening import bind
from dotterelpaddle.operator.clashes import ChangedByOther
from dotterelpaddle.operator.client import ChangeRequest, open_operator
from dotterelpaddle.operator.interface import ExplainQuery
from dotterelpaddle.operator.parameters import MAX_BODY
from dotterelpaddle.records.keys import RecordKey
from dotterelpaddle.tests.operator.fakes import RECORDS
from dotterelpaddle.tests.operator.server import TOKEN, run_operator

pytestmark = pytest.mark.anyio

POOL = RecordKey(kind="pool", name="engines")
ROUTE = """{"kind": "route", "schema": 2, "name": "booth:chat",
 "spec": {"pool": "engines", "target": {"model": "talk"}}}"""


@pytest.fixture
async def server():
    async with run_operator() as server:
        yield server


@pytest.fixture
async def client(server):
    async with server.client() as client:
        await client.apply(text=RECORDS, source="base.yaml")
        yield client


async def ask(server, method, path, *, token=TOKEN, body=b""):
    headers = [("authorization", f"Bearer {token}")] if token else []
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request(
            method, f"{server.url}{path}", headers=headers, content=body
        )


async def test_a_record_lives_and_is_retired_over_http(client):
    created = await client.apply(text=ROUTE, source="route.json")
    key = RecordKey(kind="route", name="booth:chat")
    record = await client.get(key=key)
    assert (record.revision, record.writer) == (created.revision, "ana")
    with pytest.raises(RecordRefused, match="in use by route/booth:chat"):
        await client.retire(keys=(POOL,))
    await client.retire(keys=(POOL, key))
    with pytest.raises(RecordNotFound):
        await client.get(key=key)
    assert [entry.state.value for entry in (await client.history(key=key)).entries] == [
        "retired",
        "past",
    ]
    assert {record.kind for record in (await client.list()).records} == {
        "account",
        "model",
    }
    assert not (await client.list(kind="pool")).records


async def test_conflict_comes_with_both_records(client):
    text = RECORDS.replace("{kind: engine}", "{kind: engine, queue: {length: 9}}")
    pool = text.split("---")[0]
    with pytest.raises(ChangedByOther) as caught:
        await client.apply(
            text=pool, source="p", change=ChangeRequest(expected=Revision(7))
        )
    (clash,) = caught.value.clashes
    assert clash.theirs is not None
    assert clash.yours is not None
    assert (clash.theirs.revision, clash.theirs.writer) == (1, "ana")
    assert clash.yours.spec["queue"] == {"length": 9}
    assert "put what you need of yours into theirs" in caught.value.message


async def test_expected_revision_goes_with_one_record(client):
    with pytest.raises(RecordError, match="goes with one record"):
        await client.apply(
            text=RECORDS, source="f", change=ChangeRequest(expected=Revision(1))
        )


async def test_malformed_text_names_file_document_and_field(client):
    text = "---\nkind: pool\nschema: 2\nname: p\nspex: {}"
    with pytest.raises(RecordError, match=r"a\.yaml, document 1, field spex") as caught:
        await client.apply(text=text, source="a.yaml")
    assert caught.value.field == "spex"


async def test_outage_and_lost_answers_are_told_apart(client, server):
    server.desk.table.lose_answer = True
    server.desk.table.lookups_down = 10**6
    with pytest.raises(RecordOutcomeUnknown) as caught:
        await client.apply(text=ROUTE, source="f")
    server.desk.table.lookups_down = 0
    assert (await client.find_attempt(attempt=caught.value.attempt)).accepted
    server.desk.table.down = True
    with pytest.raises(NothingAccepted, match="all that was in force stays in force"):
        await client.apply(text=ROUTE, source="f")
    with pytest.raises(PlatformUnavailable):
        await client.list()


async def test_wait_lists_who_has_it_and_who_is_not_heard(client):
    report = await client.wait_in_force(revision=1, timeout=0.5)
    assert report.complete
    assert report.unreachable == ("winnipeg-1",)


async def test_without_the_token_nothing_is_answered(server):
    paths = ("/v1/records", "/v1/status", "/v1/explain", "/v1/in-force?revision=1")
    for path, token in product(paths, ("", "wrong", TOKEN + "x")):
        answer = await ask(server, "GET", path, token=token)
        assert answer.status == 401, (path, token)
        assert orjson.loads(answer.content)["step"] == "authentication"


async def test_wrong_token_is_an_error_of_its_own(server):
    async with server.client(token="wrong") as client:
        with pytest.raises(NotAuthenticated, match=r"operator\.token"):
            await client.status()


BAD_INPUT = (
    ("POST", "/v1/records", b"\xff\xfe", 400),
    ("POST", "/v1/records", b"x" * (MAX_BODY + 1), 413),
    ("POST", "/v1/records?dry_run=maybe", b"{}", 400),
    ("POST", "/v1/records?expect_revision=-1", b"", 400),
    ("DELETE", "/v1/records", b"", 400),
    ("DELETE", "/v1/records?record=pool", b"", 400),
    ("GET", "/v1/records/pool/none/diff?from=x", b"", 400),
    ("GET", "/v1/records/pool/none/history", b"", 404),
    ("GET", "/v1/in-force", b"", 400),
    ("GET", "/v1/in-force?revision=1&timeout=nan", b"", 400),
)


async def test_bad_input_gets_a_typed_error(server):
    for method, path, body, status in BAD_INPUT:
        answer = await ask(server, method, path, body=body)
        assert answer.status == status, (method, path)
        assert orjson.loads(answer.content)["message"]


async def test_probes_and_metrics_need_no_token(server):
    assert (await ask(server, "GET", "/healthz", token="")).status == 200
    assert b"up 1" in (await ask(server, "GET", "/metrics", token="")).content
    assert (await ask(server, "GET", "/readyz", token="")).status == 200
    server.ready = False
    assert (await ask(server, "GET", "/readyz", token="")).status == 503


async def test_status_and_explanations(client):
    assert (await client.status())["router"] == "regina-1"
    query = ExplainQuery(account="booth", service="chat", chat="c1")
    assert (await client.explain(query=query))["endpoint"] == "e1"
    with pytest.raises(RouteNotFound, match="no client account 'other'"):
        await client.explain(query=ExplainQuery(account="other"))


async def test_next_router_is_asked_if_one_is_unreachable(server):
    closed = bind(address=Address(host="127.0.0.1", port=0))
    port = closed.getsockname()[1]
    closed.close()
    dead = f"http://127.0.0.1:{port}"
    async with open_operator(routers=(dead, server.url), token=TOKEN) as client:
        assert (await client.status())["router"] == "regina-1"
    async with open_operator(routers=(dead,), token=TOKEN) as client:
        with pytest.raises(RouterUnreachable, match="nothing was sent"):
            await client.apply(text=ROUTE, source="f")


async def test_change_whose_router_falls_silent_has_an_unknown_outcome():
    silent = bind(address=Address(host="127.0.0.1", port=0))
    url = f"http://127.0.0.1:{silent.getsockname()[1]}"
    try:
        async with open_operator(routers=(url,), token=TOKEN, timeout=0.1) as client:
            with anyio.fail_after(10), pytest.raises(RecordOutcomeUnknown):
                await client.apply(text=ROUTE, source="f")
            with pytest.raises(RouterUnreachable, match="no answer came"):
                await client.status()
    finally:
        silent.close()
