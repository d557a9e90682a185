"""Routers as processes of their own, started as the deploy file says."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]

TERMS = [
    *("base", "drain", "config", "cost", "retry", "recover"),
    *("engine", "stream", "tenants", "platform"),
]
"""`contracts` of the deployment's settings."""

CALLERS, READINESS, CONTROL, METRICS, PEERS, TUNNELS = range(6)
"""What listens on a router's ports, by offset from the first one."""

STARTS = 20
"""Tries to find ports that are free on all addresses of a fleet."""


class CannotRun(Exception):
    """The case can't be played here."""


class Fleet:
    """The routers of a small deployment, each at a loopback address of its own.

    Args:
        zones: The zone of each router.
        store: Address of the store.
    """

    def __init__(self, *, zones: list[str], store: tuple[str, int]) -> None:
        self._zones = zones
        self._store = store
        self._folder = tempfile.TemporaryDirectory()
        self._processes: list[subprocess.Popen[bytes]] = []
        net = random.randrange(2, 250)
        self._hosts = [f"127.77.{net}.{number + 1}" for number in range(len(zones))]
        self._port = random.randrange(20_000, 30_000)

    @property
    def callers(self) -> list[tuple[str, int]]:
        """Addresses for clients."""
        return [(host, self._port + CALLERS) for host in self._hosts]

    @property
    def exit_codes(self) -> list[int | None]:
        """Exit codes of the processes, None for those that run."""
        return [each.poll() for each in self._processes]

    async def start(self) -> None:
        """Start all routers and wait until they are ready.

        Raises:
            CannotRun: If one does not become ready.
        """
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRun("run the build of the deploy file first")
        for number in range(len(self._zones)):
            self._start(number)
        ends_at = time.monotonic() + STARTS
        for host in self._hosts:
            while not await self._is_ready(host):
                if time.monotonic() > ends_at:
                    raise CannotRun(f"the router at {host} is not ready in time")
                await asyncio.sleep(0.1)

    def end(self) -> None:
        """End all routers."""
        for each in self._processes:
            if each.poll() is None:
                each.send_signal(signal.SIGKILL)
                each.wait()
        self._folder.cleanup()

    def _start(self, number: int) -> None:
        path = Path(self._folder.name) / f"{number}.yaml"
        path.write_text(json.dumps(self._settings(number)))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "DOTTERELPADDLE_SETTINGS": str(path),
        }
        with path.with_suffix(".log").open("wb") as output:
            process = subprocess.Popen(
                deploy["roles"]["router"]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self._processes.append(process)

    def _settings(self, number: int) -> dict[str, Any]:
        """Return what the platform makes of the template of the deploy file."""
        host, port = self._hosts[number], self._port
        return {
            "router": f"front-{self._zones[number]}-{number}",
            "failure_domain": self._zones[number],
            "regions": dict.fromkeys(self._zones, "prairie"),
            "first_start": True,
            "listen": {
                "callers": f"{host}:{port + CALLERS}",
                "readiness": f"{host}:{port + READINESS}",
                "control": f"{host}:{port + CONTROL}",
                "metrics": f"{host}:{port + METRICS}",
            },
            "peers": {
                "address": f"{host}:{port + PEERS}",
                "tunnels": f"{host}:{port + TUNNELS}",
                "seeds": [f"{each}:{port + CONTROL}" for each in self._hosts[:3]],
                "link_mbps": 1000.0,
            },
            "store": "{}:{}".format(*self._store),
            "leaving_ms": 2000,
            "terms": TERMS,
            "memory_mb": 300,
            "shutdown_seconds": 8,
            "repeats": {"share": 0.2, "allowance": 52, "window_seconds": 10},
        }

    async def _is_ready(self, host: str) -> bool:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    host, self._port + READINESS
                )
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line
