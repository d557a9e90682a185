"""Routers as processes of their own, started as the deploy file says."""

from __future__ import annotations

import asyncio
import json
import os
import random
import resource
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

MEMORY_MB = 300
"""Memory of a machine; the platform kills a process that takes more."""

RESTART_SECONDS = 0.5
"""Seconds after which the platform starts a process again that has ended."""

STARTS = 20
"""Tries to find ports that are free on all addresses of a fleet."""


class CannotRun(Exception):
    """The case can't be played here."""


class Fleet:
    """The routers of a small deployment, each at a loopback address of its own.

    Args:
        zones: The zone of each router.
        store: Address of the store.
        max_descriptors: Descriptors of each router, None for those of this process.
    """

    def __init__(
        self,
        *,
        zones: list[str],
        store: tuple[str, int],
        max_descriptors: int | None = None,
    ) -> None:
        self._max_descriptors = max_descriptors
        self._zones = zones
        self._store = store
        self._folder = tempfile.TemporaryDirectory()
        self._processes: list[subprocess.Popen[bytes]] = []
        self.own_ends: list[list[float]] = [[] for _ in zones]
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

    def memory_mb(self) -> list[float]:
        """Return the resident memory of each running process, megabytes."""
        pages = [
            int(Path(f"/proc/{each.pid}/statm").read_text().split()[1])
            for each in self._processes
            if each.poll() is None
        ]
        return [each * os.sysconf("SC_PAGE_SIZE") / 1e6 for each in pages]

    def errors(self) -> list[str]:
        """Return the lines of each router's output that name an error of Python."""
        logs = sorted(Path(self._folder.name).glob("*.log"))
        return [
            " / ".join(
                {line for line in each.read_text().splitlines() if _is_error(line)}
            )
            for each in logs
        ]

    async def start(self) -> None:
        """Start all routers and wait until they are ready.

        Raises:
            CannotRun: If one does not become ready.
        """
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRun("run the build of the deploy file first")
        for number in range(len(self._zones)):
            self._processes.append(self._launch(number, first_start=True))
        ends_at = time.monotonic() + STARTS
        for host in self._hosts:
            while not await self._is_ready(host):
                if time.monotonic() > ends_at:
                    raise CannotRun(f"the router at {host} is not ready in time")
                await asyncio.sleep(0.1)

    async def restart_ended(self) -> None:
        """Start processes again that have ended, as the platform does.

        `own_ends` receives the times of their ends, seconds on the monotonic clock.
        """
        while True:
            for number, process in enumerate(self._processes):
                if process.poll() is not None:
                    self.own_ends[number].append(time.monotonic())
                    await asyncio.sleep(RESTART_SECONDS)
                    self._processes[number] = self._launch(number, first_start=False)
            await asyncio.sleep(0.05)

    def end(self) -> None:
        """End all routers."""
        for each in self._processes:
            if each.poll() is None:
                each.send_signal(signal.SIGKILL)
                each.wait()
        self._folder.cleanup()

    def _launch(self, number: int, *, first_start: bool) -> subprocess.Popen[bytes]:
        path = Path(self._folder.name) / f"{number}.yaml"
        settings = {**self._settings(number), "first_start": first_start}
        path.write_text(json.dumps(settings))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "DOTTERELPADDLE_SETTINGS": str(path),
        }
        with path.with_suffix(".log").open("ab") as output:
            return subprocess.Popen(
                deploy["roles"]["router"]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
                preexec_fn=self._limit_descriptors,
            )

    def _limit_descriptors(self) -> None:
        """Limit the descriptors of a router, as the platform does."""
        limit = self._max_descriptors
        if limit is not None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))

    async def is_ready(self, number: int) -> bool:
        """Ask a router as the platform's balancer does."""
        return await self._is_ready(self._hosts[number])

    def _settings(self, number: int) -> dict[str, Any]:
        """Return what the platform makes of the template of the deploy file."""
        host, port = self._hosts[number], self._port
        return {
            "router": f"front-{self._zones[number]}-{number}",
            "failure_domain": self._zones[number],
            "regions": dict.fromkeys(self._zones, "prairie"),
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
            "memory_mb": MEMORY_MB,
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


def _is_error(line: str) -> bool:
    """Return whether a line of a traceback names the error."""
    return "Error: " in line and not line.startswith("{")
