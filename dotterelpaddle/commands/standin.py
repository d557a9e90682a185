"""Runs stand-ins for what surrounds a router, for tests and trials."""

from __future__ import annotations

import functools
from pathlib import Path
from typing import TYPE_CHECKING, Protocol

import anyio
from cyclopts import App

from dotterelpaddle.commands.errors import ExitCode
from dotterelpaddle.commands.options import ANY_PORT, read_address, read_variable
from dotterelpaddle.commands.ready import announce
from dotterelpaddle.commands.signals import serve_until_stopped
from dotterelpaddle.exceptions import SettingsError
from dotterelpaddle.fleet.shapes import ShapeName, shape_of
from dotterelpaddle.ids import EndpointId

if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager

    from dotterelpaddle.address import Address

standin_app = App(
    name="standin", help="Run a stand-in for the platform or an endpoint."
)


class _Standin(Protocol):
    """A running stand-in."""

    address: Address


@standin_app.command
def platform(
    *,
    listen: str = ANY_PORT,
    token_env: str = "",
    host_lag: float = 2.0,
    ready_file: Path | None = None,
) -> int:
    """Run a stand-in for the platform's service until SIGTERM or Ctrl-C.

    It keeps tables, objects, the host list and the weight store in memory.

    Args:
        listen: Where to listen, as IP:PORT; port 0 takes a free one.
        token_env: Variable of the environment with the bearer token that it
            demands; without it no token is needed.
        host_lag: Seconds until a change of the host list shows.
        ready_file: A file to write the address to, as JSON, once it listens.
    """
    # Imported here so that --help stays fast.
    from dotterelpaddle.standins.platform import PlatformSettings, run_platform

    token = read_variable(option="--token-env", name=token_env) if token_env else ""
    server = run_platform(
        address=read_address(option="--listen", text=listen),
        settings=PlatformSettings(token=token, host_lag=host_lag),
    )
    return _run(name="platform stand-in", server=server, ready_file=ready_file)


@standin_app.command
def engine(
    *,
    name: str = "engine",
    listen: str = ANY_PORT,
    step: float = 0.004,
    cache_capacity: int = 200_000,
    checks_fencing: bool = True,
    ready_file: Path | None = None,
) -> int:
    """Run a stand-in for a model engine until SIGTERM or Ctrl-C.

    It batches continuously and keeps prefixes of prompts in a cache.

    Args:
        name: Its name.
        listen: Where to listen, as IP:PORT; port 0 takes a free one.
        step: Seconds of one batching step.
        cache_capacity: Tokens that fit into its prefix cache.
        checks_fencing: Whether it refuses orders with an old fencing number.
        ready_file: A file to write the address to, as JSON, once it listens.
    """
    from dotterelpaddle.standins.engine import EngineSettings, run_engine

    server = run_engine(
        address=read_address(option="--listen", text=listen),
        name=name,
        settings=EngineSettings(
            step=step, cache_capacity=cache_capacity, checks_fencing=checks_fencing
        ),
    )
    return _run(name=f"engine stand-in '{name}'", server=server, ready_file=ready_file)


@standin_app.command
def service(
    *,
    name: str = "service",
    listen: str = ANY_PORT,
    latency: float = 0.004,
    ready_file: Path | None = None,
) -> int:
    """Run a stand-in for a plain service until SIGTERM or Ctrl-C.

    It answers any path and counts the runs of each request id.

    Args:
        name: Its name.
        listen: Where to listen, as IP:PORT; port 0 takes a free one.
        latency: Seconds that a call takes.
        ready_file: A file to write the address to, as JSON, once it listens.
    """
    from dotterelpaddle.standins.service import ServiceSettings, run_service

    server = run_service(
        address=read_address(option="--listen", text=listen),
        name=name,
        settings=ServiceSettings(latency=latency),
    )
    return _run(name=f"service stand-in '{name}'", server=server, ready_file=ready_file)


@standin_app.command
def records(
    *, endpoint: list[str] | None = None, shape: ShapeName = ShapeName.PRAIRIE
) -> int:
    """Print the records of a deployment, for 'dotterelpaddle record apply'.

    Args:
        endpoint: Name and address of an endpoint, as NAME=IP:PORT; repeat it
            for several. Endpoints that are not given get no record.
        shape: The deployment.
    """
    from dotterelpaddle.fleet.records import records as records_of
    from dotterelpaddle.records.text import render

    deployment = shape_of(name=shape)
    known = {each.name for each in deployment.endpoints}
    addresses = dict(_read_endpoint(text=text, known=known) for text in endpoint or ())
    for envelope in records_of(shape=deployment, addresses=addresses):
        print("---")
        print(render(envelope=envelope), end="")
    return ExitCode.OK


def _read_endpoint(*, text: str, known: set[EndpointId]) -> tuple[EndpointId, Address]:
    name, _, address = text.partition("=")
    if name not in known:
        raise SettingsError(
            f"no endpoint is called '{name}'; known: {', '.join(sorted(known))}",
            peer="--endpoint",
        )
    return EndpointId(name), read_address(option="--endpoint", text=address)


def _run(
    *,
    name: str,
    server: AbstractAsyncContextManager[_Standin],
    ready_file: Path | None,
) -> int:
    def _ready(standin: _Standin) -> None:
        addresses = {"listen": standin.address}
        announce(name=name, addresses=addresses, ready_file=ready_file)

    serve = functools.partial(serve_until_stopped, server=server, ready=_ready)
    return anyio.run(serve)
