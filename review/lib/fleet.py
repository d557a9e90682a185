"""Routers as processes, run with the deploy file's command, and their settings."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]


HOST_PORTS = 6
"""Ports that a router takes, the same ones on each host."""


def _are_free(*, host: str, first: int) -> bool:
    for port in range(first, first + HOST_PORTS):
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(type=kind) as probe:
                try:
                    probe.bind((host, port))
                except OSError:
                    return False
    return True


def free_hosts(count: int) -> tuple[list[str], int]:
    """Return loopback addresses, one for each host, and the first of its free ports."""
    while True:
        network = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        hosts = [f"{network}.{number}" for number in range(1, count + 1)]
        first = random.randint(12_000, 30_000)
        if all(_are_free(host=host, first=first) for host in hosts):
            return hosts, first


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._start

    def line(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now:9.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write a line and print it."""
        self.line(text)
        print(f"{self.now:9.3f} {text}", flush=True)


class Router:
    """One router process.

    Attributes:
        name: Its name.
        zone: Its failure domain.
        host: Loopback address of its host.
        front: Port for callers.
        ready: Port of the readiness check.
        control: Port of its control address.
        peers: Port for datagrams.
        tunnels: Port for tunnels.
    """

    def __init__(
        self, *, name: str, zone: str, host: str, first_port: int, directory: Path
    ) -> None:
        self.name = name
        self.zone = zone
        self.host = host
        ports = range(first_port, first_port + HOST_PORTS)
        self.front, self.ready, self.control, self.peers, self.tunnels, self.metrics = (
            ports
        )
        self.settings = directory / f"{name}.yaml"
        self.log = directory / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.command = _command()

    def start(
        self,
        *,
        store: int,
        seeds: list[str],
        zones: list[str],
        first_start: bool,
        options: dict[str, Any] | None = None,
    ) -> None:
        """Start the process with settings as the template of the deploy file."""
        here = self.host
        content = {
            "router": self.name,
            "failure_domain": self.zone,
            "regions": dict.fromkeys(zones, "prairie"),
            "first_start": first_start,
            "listen": {
                "callers": f"{here}:{self.front}",
                "readiness": f"{here}:{self.ready}",
                "control": f"{here}:{self.control}",
                "metrics": f"{here}:{self.metrics}",
            },
            "peers": {
                "address": f"{here}:{self.peers}",
                "tunnels": f"{here}:{self.tunnels}",
                "seeds": [f"{seed}:{self.control}" for seed in seeds],
                "link_mbps": 1000.0,
            },
            "store": f"127.0.0.1:{store}",
            "leaving_ms": 2000,
            "terms": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "engine",
                "stream",
                "tenants",
                "platform",
            ],
            "memory_mb": 300,
            "shutdown_seconds": 8,
            "repeats": {"share": 0.2, "allowance": 52, "window_seconds": 10},
            **(options or {}),
        }
        self.settings.write_text(json.dumps(content))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["DOTTERELPADDLE_SETTINGS"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                self.command,
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def end(self) -> None:
        """Kill the process if it still runs."""
        if self.alive:
            assert self.process is not None
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        """Ask the readiness check once."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.host, self.ready)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: router\r\n\r\n")
                line = await reader.readline()
                writer.transport.abort()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False


def _command() -> list[str]:
    with (ROOT / "deploy" / "system.toml").open("rb") as file:
        return tomllib.load(file)["roles"]["router"]["run"].split()


async def wait_ready(routers: list[Router], *, seconds: float = 20.0) -> bool:
    """Wait until all routers say that they are ready."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if all([await router.is_ready() for router in routers]):
            return True
        await asyncio.sleep(0.1)
    return False


def work_directory() -> tempfile.TemporaryDirectory[str]:
    """Return a temporary folder for settings and logs."""
    return tempfile.TemporaryDirectory(prefix="review-")


class Fleet:
    """The routers of a small deployment.

    Args:
        zones: Failure domain of each router.
        directory: Folder for settings and logs.
    """

    def __init__(self, *, zones: list[str], directory: Path) -> None:
        hosts, first = free_hosts(len(zones))
        self.zones = list(dict.fromkeys(zones))
        self._options: dict[str, Any] | None = None
        self.routers = [
            Router(
                name=f"front-{zone}-{number}",
                zone=zone,
                host=host,
                first_port=first,
                directory=directory,
            )
            for number, (zone, host) in enumerate(zip(zones, hosts, strict=True))
        ]

    @property
    def seeds(self) -> list[str]:
        """Addresses of at most three hosts."""
        return [router.host for router in self.routers[:3]]

    def start(
        self, *, stores: list[int], options: dict[str, Any] | None = None
    ) -> None:
        """Start all routers for the first time.

        Args:
            stores: Port at which each router finds the store.
            options: Settings that differ, also at later starts.
        """
        self._options = options
        for router, store in zip(self.routers, stores, strict=True):
            router.start(
                store=store,
                seeds=self.seeds,
                zones=self.zones,
                first_start=True,
                options=options,
            )

    def restart(self, router: Router, *, store: int) -> None:
        """Start a router again, as the platform does after its end."""
        router.start(store=store, seeds=self.seeds, zones=self.zones, first_start=False)

    def end(self) -> None:
        """Kill all processes."""
        for router in self.routers:
            router.end()
