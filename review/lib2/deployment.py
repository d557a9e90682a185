"""A small deployment: a store with a configuration, runners and routers."""

from __future__ import annotations

import json
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from fleet import Fleet
from runners import ModelRunner, Runner
from store import Store

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
MODELS, RECORDS = "huvo11a", "wuno96b"
ZONES = ["regina-hall", "saskatoon-hall", "winnipeg-hall"]
MODEL_RUNNERS = 5
MODEL_SLOTS, RECORD_SLOTS = 64, 6

WALKTHROUGH, RECEIPT, SESSION = "/walkthrough/", "/receipt/", "/session-rec/"
WALKTHROUGH_MS, RECORD_BUDGET_MS, RECORD_TIMEOUT_MS = 15_000, 1_500, 800

EVENTS = 76
EVENT_SECONDS = 0.025
"""Seconds between two events of five tokens, at a step of five ms."""

MAX_HEADER_BYTES = 16_384


@dataclass(kw_only=True)
class Deployment:
    """What runs.

    Attributes:
        store: The store.
        models: The model runners.
        records: The runners of the plain service.
        fleet: The routers.
    """

    store: Store
    models: list[ModelRunner]
    records: list[Runner]
    fleet: Fleet

    @property
    def runners(self) -> list[Runner]:
        """All runners."""
        return [*self.models, *self.records]


def _route(prefix: str, kind: str, service: str, **options: Any) -> dict[str, Any]:
    return {
        "name": f"r-{prefix.strip('/')}",
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "public": False,
        **options,
    }


def configuration(*, version: int = 1) -> dict[str, Any]:
    """Return a configuration with the figures of the sheet."""
    records = {"timeoutMs": RECORD_TIMEOUT_MS, "sloMs": 300, "priority": 2}
    return {
        "version": version,
        "routes": [
            _route(
                WALKTHROUGH,
                "stream",
                MODELS,
                timeoutMs=WALKTHROUGH_MS,
                sloMs=800,
                priority=0,
                maxAttempts=2,
                sticky=True,
                streamResume=True,
                gapTargetMs=300,
            ),
            _route(RECEIPT, "non_idempotent", RECORDS, maxAttempts=1, **records),
            _route(SESSION, "idempotent", RECORDS, maxAttempts=2, **records),
        ],
        "services": [
            {"name": MODELS, "healthPath": "/health", "maxConns": 360},
            {"name": RECORDS, "healthPath": "/health", "maxConns": 96},
        ],
        "limits": {
            "maxHeaderBytes": MAX_HEADER_BYTES,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }


@asynccontextmanager
async def running(
    *, event_seconds: float = EVENT_SECONDS, max_descriptors: int | None = None
) -> AsyncIterator[Deployment]:
    """Run a deployment until the context ends.

    Args:
        event_seconds: Seconds between two events of a stream.
        max_descriptors: Descriptors of each router, None for those of this process.
    """
    store = Store()
    await store.start()
    store.put("op", "config", json.dumps(configuration()).encode())
    models = [
        ModelRunner(
            store=store,
            name=f"i-model-{number}",
            service=MODELS,
            zone=ZONES[number % len(ZONES)],
            slots=MODEL_SLOTS,
            event_seconds=event_seconds,
        )
        for number in range(MODEL_RUNNERS)
    ]
    records = [
        Runner(
            store=store,
            name=f"i-records-{number}",
            service=RECORDS,
            zone=zone,
            slots=RECORD_SLOTS,
        )
        for number, zone in enumerate(ZONES)
    ]
    for runner in [*models, *records]:
        await runner.start()
    fleet = Fleet(zones=ZONES, store=store.address, max_descriptors=max_descriptors)
    try:
        await fleet.start()
        yield Deployment(store=store, models=models, records=records, fleet=fleet)
    finally:
        fleet.end()
