"""Measure how single changes spread in a larger fleet, and what records weigh.

120 catalogs in eight failure domains run as tasks of this process, under the
default byte budget. Nothing fails; `config` measures faults. The records of the
target size are then loaded once. One JSON line is printed.
"""

from __future__ import annotations

import gc
import json
import math
import secrets
import statistics
import time
import tracemalloc
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import anyio

from bench._config_records import target_size
from dotterelpaddle.address import Address
from dotterelpaddle.backing.interface import Transaction, Write
from dotterelpaddle.catalog.chunks import pack_chunks
from dotterelpaddle.catalog.settings import CatalogSettings
from dotterelpaddle.catalog.store import RecordStore, Source
from dotterelpaddle.config.defaults import CONTROL_BYTES_PER_SECOND
from dotterelpaddle.control.interface import TrafficClass
from dotterelpaddle.ids import AttemptId, Revision
from dotterelpaddle.records.envelope import Envelope, encode
from dotterelpaddle.standins.platform import run_platform
from dotterelpaddle.tests.catalog.fleet import run_fleet

if TYPE_CHECKING:
    from dotterelpaddle.catalog.delta import Delta
    from dotterelpaddle.tests.catalog.fleet import CatalogFleet, Node

DOMAINS = 8
ROUTERS = 120
CHANGES = 12
SETTLE = 10.0
"""Seconds after the start until nothing is left to do."""

IDLE_WINDOW = 5.0
PAUSE = 1.0
"""Seconds between two changes."""

LOOK_INTERVAL = 0.002
SURVEY_TIMEOUT = 20.0
SINGLE_CHANGES = 300
TARGET_P99_MS = 2000.0
TARGET_MEGABYTES = 32.0
MILLISECONDS = 1000.0
MEGABYTE = 1e6
MICROSECONDS = 1e6


async def _measure() -> dict[str, Any]:
    async with (
        run_platform(address=Address(host="127.0.0.1", port=0)) as platform,
        run_fleet(
            platform=platform.address, bytes_per_second=CONTROL_BYTES_PER_SECOND
        ) as fleet,
    ):
        for number in range(ROUTERS):
            domain = f"domain-{number % DOMAINS}"
            await fleet.start(name=f"router-{number}", domain=domain)
        for node in fleet.nodes.values():
            await node.catalog.wait_ready()
        await anyio.sleep(SETTLE)
        reads = platform.reads
        idle = await _sent_while_idle(fleet=fleet)
        reads_per_second = (platform.reads - reads) / IDLE_WINDOW
        changes = await _change(fleet=fleet)
        survey = await _survey(fleet=fleet)
    size = await _weigh(delta=target_size())
    met = changes["p99_ms"] <= TARGET_P99_MS and size["megabytes"] <= TARGET_MEGABYTES
    return {
        "bench": "spread",
        "routers": ROUTERS,
        "idle_bytes_per_second_per_router": idle,
        "idle_platform_reads_per_second": round(reads_per_second, 1),
        "change": changes,
        "survey": survey,
        "records": size,
        "target": {"p99_ms": TARGET_P99_MS, "megabytes": TARGET_MEGABYTES},
        "met": met,
    }


def _sent(*, fleet: CatalogFleet) -> list[int]:
    return [
        node.channel.sent_bytes[TrafficClass.CONFIGURATION]
        for node in fleet.nodes.values()
    ]


async def _sent_while_idle(*, fleet: CatalogFleet) -> float:
    before = _sent(fleet=fleet)
    await anyio.sleep(IDLE_WINDOW)
    return round((sum(_sent(fleet=fleet)) - sum(before)) / IDLE_WINDOW / ROUTERS, 1)


async def _change(*, fleet: CatalogFleet) -> dict[str, Any]:
    """Commit changes one by one at different routers."""
    nodes = list(fleet.nodes.values())
    delays: list[float] = []
    sent: list[int] = []
    for number in range(CHANGES):
        before = _sent(fleet=fleet)
        revision = await _commit(node=nodes[number * 37 % ROUTERS], number=number)
        delays += await _delays(nodes=nodes, revision=revision)
        after = _sent(fleet=fleet)
        sent += [new - old for new, old in zip(after, before, strict=True)]
        await anyio.sleep(PAUSE)
    delays.sort()
    return {
        "p50_ms": round(statistics.median(delays), 1),
        "p99_ms": round(delays[math.ceil(0.99 * len(delays)) - 1], 1),
        "max_ms": round(delays[-1], 1),
        "mean_bytes_sent_per_router": round(statistics.mean(sent), 1),
        "max_bytes_sent_by_a_router": max(sent),
    }


async def _commit(*, node: Node, number: int) -> Revision:
    name = f"limit-{number}"
    envelope = Envelope(kind="limit", schema=1, name=name, spec={"max_in_flight": 3})
    write = Write(
        key=f"limit/{name}", expected=Revision(0), value=encode(envelope=envelope)
    )
    commit = await node.catalog.records.transact(
        transaction=Transaction(
            attempt=AttemptId(secrets.token_hex(8)), writes=(write,)
        )
    )
    return commit.revision


async def _delays(*, nodes: list[Node], revision: Revision) -> list[float]:
    """Milliseconds until a revision was in force, for each router."""
    started = time.perf_counter()
    waiting = list(nodes)
    delays: list[float] = []
    while waiting:
        await anyio.sleep(LOOK_INTERVAL)
        elapsed = (time.perf_counter() - started) * MILLISECONDS
        left = [node for node in waiting if node.catalog.revision < revision]
        delays += [elapsed] * (len(waiting) - len(left))
        waiting = left
    return delays


async def _survey(*, fleet: CatalogFleet) -> dict[str, Any]:
    """Ask one router who has the newest revision in force."""
    node = next(iter(fleet.nodes.values()))
    before = _sent(fleet=fleet)
    started = time.perf_counter()
    report = await node.catalog.watch.wait_in_force(
        revision=node.catalog.revision, timeout=SURVEY_TIMEOUT
    )
    took = time.perf_counter() - started
    sent = [new - old for new, old in zip(_sent(fleet=fleet), before, strict=True)]
    return {
        "ms": round(took * MILLISECONDS, 1),
        "in_force": len(report.in_force),
        "max_bytes_sent_by_a_router": max(sent),
    }


async def _weigh(*, delta: Delta) -> dict[str, Any]:
    """Load the records of the target size."""
    store = _loaded(delta=delta)
    gc.collect()
    tracemalloc.start()
    weighed = _loaded(delta=_copy(delta=delta))
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started = time.perf_counter()
    _loaded(delta=delta)
    loading = time.perf_counter() - started
    packed = await pack_chunks(delta=store.full())
    return {
        "records": weighed.state.live,
        "unreadable": len(weighed.index.unreadable),
        "megabytes": round(used / MEGABYTE, 1),
        "bytes_per_record": round(used / weighed.state.live),
        "seconds_to_load": round(loading, 2),
        "microseconds_for_a_change": round(_time_changes(store=store, delta=delta), 1),
        "packed_bytes": sum(len(chunk) for chunk in packed),
    }


def _loaded(*, delta: Delta) -> RecordStore:
    store = RecordStore(settings=CatalogSettings())
    store.apply(delta=delta, source=Source.PLATFORM)
    return store


def _copy(*, delta: Delta) -> Delta:
    """Copy all strings, so that their memory counts."""
    entries = tuple(
        replace(entry, key=entry.key.encode().decode(), value=bytes([*entry.value]))
        for entry in delta.entries
        if entry.value is not None
    )
    return replace(delta, entries=entries)


def _time_changes(*, store: RecordStore, delta: Delta) -> float:
    started = time.perf_counter()
    for number in range(SINGLE_CHANGES):
        head = Revision(delta.head + number + 1)
        entry = replace(delta.entries[100 + number], revision=head)
        change = replace(delta, base=Revision(head - 1), head=head, entries=(entry,))
        store.apply(delta=change, source=Source.PEER)
    return (time.perf_counter() - started) / SINGLE_CHANGES * MICROSECONDS


def main() -> None:
    """Run the measurement and print one JSON line."""
    print(json.dumps(anyio.run(_measure)))
