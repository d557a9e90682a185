"""A stand-in for a runner, which registers itself in the store and answers."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from http1 import Request, Server, encode_answer, read_request

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from store import Store

BEAT_SECONDS = 1.2


@dataclass(kw_only=True)
class Run:
    """A request that a runner began to work on."""

    request_id: str
    runner: str
    service: str
    at: float
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Runner:
    """One lifetime of a runner.

    Args:
        name: Its id.
        service: Its service.
        zone: Its zone.
        store: The store where it registers itself.
        runs: Receives each run.
        work: Makes the body of an answer; the time that it takes is the work.
        events: Number of events of its streams, 0 if it answers at once.
        event_seconds: Seconds before each event.
        slots: Requests that it processes at a time.
        engine: Whether it names a model.
        born: Start by its own clock, Unix milliseconds; None if it tells none.
        version: Version of its software.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        zone: str,
        store: Store,
        runs: list[Run],
        work: Callable[[Request], Awaitable[bytes]] | None = None,
        events: int = 0,
        event_seconds: float = 0.05,
        slots: int = 64,
        engine: bool = False,
        born: int | None = None,
        version: str = "v1",
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self._store = store
        self.runs = runs
        self._work = work
        self._events = events
        self._event_seconds = event_seconds
        self._slots = slots
        self._engine = engine
        self._born = born
        self._version = version
        self._seq = 1
        self.running = 0
        self.state = "ready"
        self.address_port = 0
        self.arrivals: list[tuple[float, str]] = []
        self.server = Server(self._serve)
        self._beats: asyncio.Task[None] | None = None

    async def start(self, *, register: bool = True, port: int = 0) -> None:
        """Listen, and register in the store."""
        await self.server.start(port=port)
        self.address_port = self.address_port or self.server.port
        if register:
            self.register()

    def register(self) -> None:
        """Write the entry now and at each beat."""
        self._write()
        self._beats = asyncio.ensure_future(self._beat())

    def drain(self) -> None:
        """Report that it is draining."""
        self.state = "draining"
        self._seq += 1
        self._write()

    def unregister(self) -> None:
        """Stop the beats and remove the entry; it goes on serving."""
        if self._beats is not None:
            self._beats.cancel()
        self._store.remove("servers", self.name)

    def stop_beats(self) -> None:
        """Stop the beats; the entry stays."""
        if self._beats is not None:
            self._beats.cancel()

    def close(self) -> None:
        """End: reset all connections."""
        self.stop_beats()
        self.server.close()

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(BEAT_SECONDS)
            self._seq += 1
            self._write()

    def _write(self) -> None:
        entry: dict[str, Any] = {
            "service": self.service,
            "address": f"127.0.0.1:{self.address_port}",
            "zone": self.zone,
            "version": self._version,
            "slots": self._slots,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self._seq,
        }
        if self._born is not None:
            entry["born"] = self._born
        if self._engine:
            entry["stage"] = "unified"
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        self._store.put("servers", self.name, entry)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_request(reader)) is not None:
            await self._answer(request, writer)
            await writer.drain()

    async def _answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        if request.path == "/-/kv-list":
            body = json.dumps({"epoch": 1, "next": 0, "held": []}).encode()
            writer.write(encode_answer(200, {}, body))
            return
        if request.path.startswith("/-/"):
            writer.write(encode_answer(404, {}, b""))
            return
        if request.path == "/health":
            ready = self.state == "ready"
            headers = {"X-Dotterelpaddle-Runner-Id": self.name}
            writer.write(encode_answer(200 if ready else 503, headers, b""))
            return
        request_id = request.headers.get("x-dotterelpaddle-attempt-id", "")
        self.arrivals.append((time.monotonic(), request_id))
        headers = {
            "X-Dotterelpaddle-Attempt-Id": request_id,
            "X-Dotterelpaddle-Runner-Load": f"{self.running},0,{self._slots}",
        }
        expected = request.headers.get("x-dotterelpaddle-expect-runner", self.name)
        if expected != self.name:
            headers["X-Dotterelpaddle-Runner-Id"] = self.name
            writer.write(encode_answer(421, headers, b""))
            return
        if self.running >= self._slots:
            headers["X-Dotterelpaddle-Not-Executed"] = "1"
            writer.write(encode_answer(503, headers, b""))
            return
        self.running += 1
        try:
            await self._run(request, request_id, headers, writer)
        finally:
            self.running -= 1

    async def _run(
        self,
        request: Request,
        request_id: str,
        headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        self.runs.append(
            Run(
                request_id=request_id,
                runner=self.name,
                service=self.service,
                at=time.monotonic(),
                method=request.method,
                target=request.target,
                headers=request.headers,
                body=request.body,
            )
        )
        headers["X-Dotterelpaddle-Runner-Seal"] = f"seal.{self.name}.{request_id}"
        if self._events:
            await self._stream(request, headers, writer)
            return
        body = request_id.encode()
        if self._work is not None:
            body = await self._work(request)
        writer.write(encode_answer(200, headers, body))

    async def _stream(
        self, request: Request, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        head += [f"{name}: {value}" for name, value in headers.items()]
        head.append("Transfer-Encoding: chunked")
        writer.write("\r\n".join([*head, "", ""]).encode())
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self._events + 1):
            await asyncio.sleep(self._event_seconds)
            if writer.is_closing():
                raise ConnectionResetError
            event = f"id: {number}\ndata: {self._version} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def configuration(
    *,
    version: int,
    routes: list[dict[str, Any]],
    services: list[str],
    tenants: list[dict[str, Any]],
) -> dict[str, Any]:
    """Return the operator's configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthPath": "/health",
                "maxConns": 360,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": tenants,
    }


def route(
    *,
    prefix: str,
    service: str,
    kind: str,
    timeout_ms: int = 1500,
    slo_ms: int = 300,
    attempts: int = 1,
    **options: Any,
) -> dict[str, Any]:
    """Return a route of the host that all clients name."""
    return {
        "name": f"r{prefix.replace('/', '-')}",
        "host": "ficu95.example",
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": timeout_ms,
        "sloMs": slo_ms,
        "priority": 1,
        "service": service,
        "maxAttempts": attempts,
        "public": False,
        "sticky": False,
        **options,
    }
