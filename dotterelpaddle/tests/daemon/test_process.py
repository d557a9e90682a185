"""Tests of the daemon in its own process."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

import anyio
import httpcore
import orjson
import pytest

from dotterelpaddle.listening import address_of, bind
from dotterelpaddle.platform.names import Table
from dotterelpaddle.standins.runner import RunnerStandin, run_runner
from dotterelpaddle.standins.store import StoreStandin, run_store
from dotterelpaddle.tests.forwarding.harness import (
    ANY_LOCAL_ADDRESS,
    HOST,
    KEY,
    SERVICE,
    configuration,
)

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from dotterelpaddle.address import Address

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

LIMIT = 30.0
"""Seconds after which a wait fails; a start takes less than one second."""

COMMAND = [sys.executable, "-m", "dotterelpaddle.daemon"]


def _free_address() -> Address:
    listener = bind(address=ANY_LOCAL_ADDRESS)
    address = address_of(listener=listener)
    listener.close()
    return address


def _settings(*, callers: Address, readiness: Address, store: Address) -> Any:
    """Return the content of a settings file."""
    return {
        "router": "router-1",
        "failure_domain": "here",
        "listen": {
            "callers": str(callers),
            "readiness": str(readiness),
            "control": str(_free_address()),
        },
        "peers": {"address": str(_free_address())},
        "store": str(store),
        "shutdown_seconds": 4,
        "repeats": {"share": 0.2, "allowance": 50, "window_seconds": 10},
    }


@contextmanager
def _daemon(*, path: Path) -> Iterator[subprocess.Popen[bytes]]:
    environment = {**os.environ, "DOTTERELPADDLE_SETTINGS": str(path)}
    process = subprocess.Popen(
        COMMAND,
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    try:
        yield process
    finally:
        if process.poll() is None:
            process.kill()
        process.communicate()


def test_daemon_without_settings_names_the_variable() -> None:
    environment = {**os.environ, "DOTTERELPADDLE_SETTINGS": ""}
    ended = subprocess.run(COMMAND, env=environment, capture_output=True, check=False)

    assert ended.returncode == 2
    assert b"set DOTTERELPADDLE_SETTINGS" in ended.stderr


# Guards against a router that a reload ends before it handles signals: connections
# that its socket had taken meanwhile were reset.
def test_reload_does_not_end_a_daemon_that_starts(tmp_path: Path) -> None:
    program = (
        "import os, signal, sys\n"
        "from dotterelpaddle.daemon import __main__ as daemon\n"
        "def listen(address):\n"
        "    os.kill(os.getpid(), signal.SIGHUP)\n"
        "    sys.exit(7)\n"
        "daemon._listen = listen\n"
        "daemon.main()\n"
    )
    path = tmp_path / "settings.json"
    address = _free_address()
    settings = _settings(callers=address, readiness=address, store=address)
    path.write_bytes(orjson.dumps(settings))
    environment = {**os.environ, "DOTTERELPADDLE_SETTINGS": str(path)}
    command = [sys.executable, "-c", program]
    ended = subprocess.run(command, env=environment, capture_output=True, check=False)

    assert ended.returncode == 7


def test_daemon_imports_no_unused_modules() -> None:
    listing = (
        "import sys, dotterelpaddle.daemon.unused_imports;"
        "dotterelpaddle.daemon.unused_imports.skip_unused_imports();"
        "import dotterelpaddle.daemon.process;"
        "print(*sys.modules)"
    )
    command = [sys.executable, "-S", "-c", listing]
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
    ended = subprocess.run(command, env=environment, capture_output=True, check=True)
    loaded = set(ended.stdout.decode().split())

    assert "uvicorn.server" in loaded
    assert not loaded & {"click", "uvicorn.main", "multiprocessing", "cyclopts"}
    assert not loaded & {"importlib.resources", "tempfile", "logging.handlers"}


async def test_daemon_serves_and_stops_on_a_signal(tmp_path: Path) -> None:
    store, runner = StoreStandin(), RunnerStandin(name="runner-1")
    store.configure(configuration=configuration())
    callers, readiness = _free_address(), _free_address()
    async with run_store(store=store) as at, run_runner(runner=runner) as endpoint:
        entry = runner.entry(address=endpoint, service=SERVICE)
        store.put(table=Table.ENDPOINTS, key="runner-1", value=entry)
        path = tmp_path / "settings.yaml"
        settings = _settings(callers=callers, readiness=readiness, store=at)
        path.write_bytes(orjson.dumps(settings))
        with _daemon(path=path) as process:
            async with httpcore.AsyncConnectionPool() as http:
                await _until_ready(http=http, address=readiness)
                answer = await http.request(
                    "GET",
                    f"http://{callers}/safe/",
                    headers={
                        "host": HOST,
                        "x-dotterelpaddle-attempt-id": "request-1",
                        "x-api-key": KEY,
                    },
                )
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGTERM)
            with anyio.fail_after(LIMIT):
                output, errors = await anyio.to_thread.run_sync(process.communicate)

    events = [orjson.loads(line)["message_type"] for line in output.splitlines()]
    assert answer.status == 200
    assert process.returncode == 0
    assert errors == b""
    assert {"router_started", "placed", "request_ended", "router_stopped"} <= {*events}


async def _until_ready(*, http: httpcore.AsyncConnectionPool, address: Address) -> None:
    with anyio.fail_after(LIMIT):
        while True:
            try:
                answer = await http.request("GET", f"http://{address}/-/ready")
            except httpcore.ConnectError:
                await anyio.sleep(0.02)
                continue
            if answer.status == 200:
                return
            await anyio.sleep(0.02)
