"""Tests of the records of streams that outlive all routers in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import orjson
import pytest

from dotterelpaddle.exceptions import ControlError, HistoryLost, PlatformUnavailable
from dotterelpaddle.forwarding.interface import EndpointsUpdate
from dotterelpaddle.forwarding.store_clock import StoreClock, StoreTime
from dotterelpaddle.ids import (
    EndpointName,
    RequestId,
    ServiceName,
    SoftwareVersion,
    StoreEra,
)
from dotterelpaddle.platform.documents import PlatformDocumentDecoder
from dotterelpaddle.streams.archive import StreamArchive
from dotterelpaddle.streams.origins import MAX_STREAM_SECONDS, StreamOrigins
from dotterelpaddle.streams.rows import (
    VERSIONS_KEY,
    decode_records_row,
    decode_versions_row,
    records_key,
)
from dotterelpaddle.tests.forwarding.harness import SERVICE, configuration, route
from dotterelpaddle.tests.revisions import revision_at
from dotterelpaddle.tests.streams.test_origins import make_record
from dotterelpaddle.tests.streams.test_version_history import History

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelpaddle.forwarding.revisions import StoreRevision

pytestmark = pytest.mark.anyio

OTHER = "letters"
V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")


class MemoryStore:
    """A store that keeps rows of all routers, and may be away."""

    def __init__(self) -> None:
        self.rows: dict[str, bytes] = {}
        self.away = False
        self.reads = 0
        self.era = StoreEra(0)
        self.checks = 0
        self.oldest = revision_at(0)
        self.removed: dict[EndpointName, StoreRevision] = {}

    async def endpoints_after(
        self, *, after: StoreRevision, wait: float
    ) -> EndpointsUpdate:
        self.checks += 1
        self._check()
        if after < self.oldest:
            raise HistoryLost("the store has discarded the requested changes")
        removed = {name: at for name, at in self.removed.items() if at > after}
        return EndpointsUpdate(revision=after, entries=(), removed=removed)

    async def stream_rows(self) -> dict[str, bytes]:
        self.reads += 1
        self._check()
        return dict(self.rows)

    async def put_stream_rows(self, *, rows: Mapping[str, bytes]) -> None:
        self._check()
        self.rows.update(rows)

    def _check(self) -> None:
        if self.away:
            raise PlatformUnavailable("the store is away")


class Archivist:
    """A router that writes for all, on a clock that the test sets."""

    def __init__(
        self, *, store: MemoryStore, first_start: bool, knows_time: bool = True
    ) -> None:
        self.store = store
        self.history = History(first_start=first_start)
        view = self.history.view
        self.configure(service=SERVICE)
        self.origins = StreamOrigins(clock=lambda: self.history.now)
        self._store_clock = StoreClock(clock=lambda: self.history.now)
        if knows_time:
            self.record_time()
        self.archive = StreamArchive(
            store=store,
            origins=self.origins,
            history=self.history.history,
            routes=self.history.routes,
            view=view,
            first_start=first_start,
            is_writer=lambda: True,
            store_clock=self._store_clock,
            clock=lambda: self.history.now,
        )

    @property
    def knows_versions(self) -> bool:
        """Whether it knows all versions that today's streams may have."""
        return self.history.history.covers(service=ServiceName(SERVICE))

    def configure(self, *, service: str) -> None:
        """Put a configuration in force whose route of streams leads to a service."""
        view = self.history.view
        stream_route = route("again", "stream", streamResume=True, service=service)
        services = [{"name": each, "healthPath": "/"} for each in (SERVICE, OTHER)]
        view.apply_configuration(
            configuration=PlatformDocumentDecoder().configuration(
                document=orjson.dumps(
                    configuration(
                        view.version + 1, routes=[stream_route], services=services
                    )
                )
            )
        )

    def record_time(self) -> None:
        now = self.history.now
        self._store_clock.record_answer(
            time=StoreTime(era=StoreEra(0), seconds=now), requested_at=now
        )

    async def write(self, *, seconds: float = 1.0) -> None:
        self.history.now += seconds
        await self.archive._write_due(store=self.store)

    @property
    def records(self) -> list[str]:
        rows = self.store.rows
        return sorted(
            record.stream
            for key in rows.keys() - {VERSIONS_KEY}
            for record in decode_records_row(row=rows[key])
        )


# Guards against routers that all start anew and know no stream of before.
async def test_routers_that_all_start_anew_know_the_streams_of_before() -> None:
    store = MemoryStore()
    before = Archivist(store=store, first_start=True)
    before.history.register("a", "v1")
    before.history.register("b", "v2")
    before.origins.begin(record=make_record())
    await before.write()
    after = Archivist(store=store, first_start=False)
    await after.archive.read()

    assert after.origins.find(stream=RequestId("s")) == make_record().origin
    assert after.knows_versions
    assert after.history.versions == {"v1", "v2"}


# Guards against a row of before a version came, in a store that is back from a copy.
async def test_versions_of_an_earlier_era_do_not_tell_that_there_were_no_others() -> (
    None
):
    store = MemoryStore()
    before = Archivist(store=store, first_start=True)
    before.history.register("a", "v1")
    await before.write()
    store.era = StoreEra(1)
    after = Archivist(store=store, first_start=False)
    after.history.register("a", "v1")
    await after.archive.read()
    assert not after.knows_versions

    before.history.register("a", "v1", era=1)
    await before.write()
    after.history.now += 1.0
    await after.archive.read()

    assert after.knows_versions


async def test_nothing_but_the_versions_is_written_while_there_is_one() -> None:
    router = Archivist(store=MemoryStore(), first_start=True)
    router.history.register("a", "v1")
    router.origins.begin(record=make_record())
    await router.write()
    await router.write()
    rows = router.store.rows

    assert {*rows} == {VERSIONS_KEY}
    versions = decode_versions_row(row=rows[VERSIONS_KEY]).versions
    assert versions == {SERVICE: {V1}}


# Guards against streams that began before a second version came, and are lost with it.
async def test_streams_of_before_the_second_version_are_written_with_it() -> None:
    router = Archivist(store=MemoryStore(), first_start=True)
    router.history.register("a", "v1")
    router.origins.begin(record=make_record("early"))
    await router.write()
    router.history.register("b", "v2")
    router.origins.begin(record=make_record("late"))
    await router.write()

    assert router.records == ["early", "late"]


# Guards against records that count as written while the store's time is unknown.
async def test_records_are_written_once_the_time_of_the_store_is_known() -> None:
    router = Archivist(store=MemoryStore(), first_start=True, knows_time=False)
    router.history.register("a", "v1")
    router.history.register("b", "v2")
    router.origins.begin(record=make_record("early"))
    await router.write()
    assert router.records == []

    router.record_time()
    await router.write()

    assert router.records == ["early"]


async def test_each_record_is_written_once() -> None:
    router = Archivist(store=MemoryStore(), first_start=True)
    router.history.register("a", "v1")
    router.history.register("b", "v2")
    for name in ("s", "t"):
        router.origins.begin(record=make_record(name, seconds=20.0))
        await router.write()

    assert router.records == ["s", "t"]


async def test_records_are_written_again_after_a_failure() -> None:
    router = Archivist(store=MemoryStore(), first_start=True)
    router.history.register("a", "v1")
    router.history.register("b", "v2")
    router.origins.begin(record=make_record())
    router.store.away = True
    with pytest.raises(PlatformUnavailable):
        await router.write()
    router.store.away = False
    await router.write()

    assert router.records == ["s"]


# Guards against a short memory that is written down as if it were complete.
async def test_router_that_has_just_started_writes_no_versions_of_its_own() -> None:
    store = MemoryStore()
    router = Archivist(store=store, first_start=False)
    router.history.register("a", "v1")
    await router.write()
    soon = dict(store.rows)
    await router.write(seconds=MAX_STREAM_SECONDS)

    assert not soon
    assert {*store.rows} == {VERSIONS_KEY}


async def test_writer_keeps_the_versions_that_an_earlier_one_wrote() -> None:
    store = MemoryStore()
    before = Archivist(store=store, first_start=True)
    before.history.register("a", "v1")
    await before.write()
    after = Archivist(store=store, first_start=False)
    after.history.register("a", "v2")
    await after.write()

    versions = decode_versions_row(row=store.rows[VERSIONS_KEY]).versions
    assert versions == {SERVICE: {V1, V2}}


# Guards against routers that are told once more that the whole fleet starts for the
# first time, and write their short view over what earlier ones knew.
async def test_writer_of_a_first_start_keeps_the_versions_that_are_in_the_store() -> (
    None
):
    store = MemoryStore()
    before = Archivist(store=store, first_start=True)
    before.history.register("a", "v1")
    await before.write()
    after = Archivist(store=store, first_start=True)
    after.history.register("b", "v2")
    await after.write()

    versions = decode_versions_row(row=store.rows[VERSIONS_KEY]).versions
    assert versions == {SERVICE: {V1, V2}}


async def test_store_that_is_away_tells_nothing() -> None:
    store = MemoryStore()
    store.away = True
    router = Archivist(store=store, first_start=False)
    await router.archive.read()

    assert store.reads == 1
    assert not router.knows_versions


async def test_rows_of_another_format_are_left_out() -> None:
    store = MemoryStore()
    store.rows = {VERSIONS_KEY: b"[]", "records-000-0": b"{", "other": b"7"}
    router = Archivist(store=store, first_start=False)
    await router.archive.read()

    assert router.origins.count == 0
    assert not router.knows_versions


def test_keys_repeat_after_the_longest_stream() -> None:
    def key(seconds: float) -> str:
        time = StoreTime(era=StoreEra(0), seconds=seconds)
        return records_key(time=time, interval=0.25, part=0)

    keys = [key(number * 0.25) for number in range(1000)]

    assert len({*keys[:240]}) == 240
    assert len({*keys}) < 260


@pytest.mark.parametrize("row", [b"", b"{}x", b"[[1]]", b'[["a", "b", [[1]]]]'])
def test_malformed_row_is_refused(row: bytes) -> None:
    with pytest.raises(ControlError):
        decode_records_row(row=row)


def test_services_of_the_row_are_those_with_streams_to_resume() -> None:
    router = Archivist(store=MemoryStore(), first_start=True)
    router.history.register("a", "v1")

    assert router.archive._versions() == {ServiceName(SERVICE): {V1}}


# Guards against requests that wait one after the other for a store that is away.
async def test_failed_read_is_not_repeated_at_once() -> None:
    store = MemoryStore()
    store.away = True
    router = Archivist(store=store, first_start=False)
    for seconds in (0.0, 0.5, 0.4, 0.2):
        router.history.now += seconds
        assert not await router.archive.read()

    assert store.reads == 2
