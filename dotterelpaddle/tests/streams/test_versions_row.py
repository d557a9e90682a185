"""Tests of up to when the store's row of versions is complete."""

from __future__ import annotations

import pytest

from dotterelpaddle.ids import EndpointName
from dotterelpaddle.streams.archive import MAX_ENDPOINTS_PER_ROW
from dotterelpaddle.streams.rows import VERSIONS_KEY, decode_versions_row
from dotterelpaddle.tests.forwarding.harness import SERVICE
from dotterelpaddle.tests.revisions import revision_at
from dotterelpaddle.tests.streams.test_archive import (
    OTHER,
    V1,
    Archivist,
    MemoryStore,
)

pytestmark = pytest.mark.anyio

HISTORY_SECONDS = 20
"""Seconds for which the platform's store keeps single changes."""


# Guards against a row of before a version came and went, which its writer never saw.
@pytest.mark.parametrize(("name", "complete"), [("a", True), ("unseen", False)])
async def test_row_is_complete_unless_an_endpoint_that_it_lacks_has_left(
    name: str, complete: bool
) -> None:
    store = MemoryStore()
    before = Archivist(store=store, first_start=True)
    before.history.register("a", "v1")
    await before.write()
    store.removed[EndpointName(name)] = revision_at(9)
    after = Archivist(store=store, first_start=False)
    for _ in range(3):
        await after.archive.read()
        after.history.now += 1.0

    assert after.knows_versions is complete
    assert store.checks == 1


# Guards against a row of before the route was moved, which tells of one service only.
@pytest.mark.parametrize(("service", "complete"), [(SERVICE, True), (OTHER, False)])
async def test_routes_are_known_unless_they_lead_elsewhere_than_the_row_says(
    service: str, complete: bool
) -> None:
    store = MemoryStore()
    before = Archivist(store=store, first_start=True)
    before.history.register("a", "v1")
    await before.write()
    after = Archivist(store=store, first_start=False)
    after.configure(service=service)
    await after.archive.read()

    assert after.history.routes.is_complete is complete


# Guards against forgetting with all routers that the route was moved shortly before.
async def test_routes_that_were_moved_shortly_before_are_told() -> None:
    store = MemoryStore()
    before = Archivist(store=store, first_start=True)
    before.history.register("a", "v1")
    before.configure(service=OTHER)
    await before.write()
    after = Archivist(store=store, first_start=False)
    after.configure(service=OTHER)
    await after.archive.read()

    assert after.history.routes.is_complete
    assert after.history.routes.changed == before.history.routes.changed
    assert after.history.routes.changed


# Guards against a row that the store refuses for its size, in a very large fleet.
async def test_row_of_versions_is_bounded() -> None:
    router = Archivist(store=MemoryStore(), first_start=True)
    for number in range(MAX_ENDPOINTS_PER_ROW + 1):
        router.history.register(f"endpoint-{number}", "v1")
    await router.write()
    row = decode_versions_row(row=router.store.rows[VERSIONS_KEY])

    assert row.versions == {SERVICE: {V1}}
    assert not row.endpoints


# Guards against the same in the row of a release that does not say up to when it holds.
async def test_row_without_a_revision_is_not_complete() -> None:
    store = MemoryStore()
    store.rows = {VERSIONS_KEY: b'{"":{"era":0},"records":["v1"]}'}
    router = Archivist(store=store, first_start=False)
    await router.archive.read()

    assert router.history.versions == {"v1"}
    assert not router.knows_versions


# Guards against refusing streams of the only version after the loss of all routers, as
# the row is older than the changes that the store keeps.
async def test_row_is_complete_though_the_store_keeps_few_changes() -> None:
    store = MemoryStore()
    writer = Archivist(store=store, first_start=True)
    for second in range(HISTORY_SECONDS + 5):
        writer.history.register("a", "v1")
        await writer.write()
        store.oldest = revision_at(max(0, second - HISTORY_SECONDS))
    router = Archivist(store=store, first_start=False)
    await router.archive.read()

    assert router.knows_versions
