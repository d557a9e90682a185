"""Runs a router until it is told to stop."""

from __future__ import annotations

import functools
from pathlib import Path
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.clock import monotonic
from dotterelpaddle.commands.ready import announce
from dotterelpaddle.commands.signals import serve_until_stopped
from dotterelpaddle.config.settings import load_settings
from dotterelpaddle.exceptions import SettingsError
from dotterelpaddle.links import Links
from dotterelpaddle.listening import bind
from dotterelpaddle.logs import write_logs

if TYPE_CHECKING:
    from dotterelpaddle.config.settings import Settings
    from dotterelpaddle.router.daemon import RunningRouter


def router_command(*, config: Path, ready_file: Path | None = None) -> int:
    """Run a router in the foreground.

    SIGTERM or Ctrl-C starts a graceful shutdown: the router leaves the fleet,
    takes no new request and lets those in flight end. A second one ends it at
    once, cutting them; the exit code is then 130.

    Args:
        config: The settings file; see 'dotterelpaddle config example'.
        ready_file: A file to write the addresses to, as JSON, once the router
            listens. It takes calls once it has a configuration; see /readyz.
    """
    # Imported here so that --help stays fast.
    from dotterelpaddle.router.daemon import run_router

    settings = load_settings(path=config)
    check_addresses(settings=settings, source=str(config))
    write_logs(level=settings.log_level)

    def _ready(router: RunningRouter) -> None:
        announce(
            name=f"router '{settings.router}'",
            addresses={
                "listen": router.entry_address,
                "operator": router.operator_address,
                "control": router.control_address,
            },
            ready_file=ready_file,
        )

    server = run_router(settings=settings, links=Links(), clock=monotonic)
    serve = functools.partial(serve_until_stopped, server=server, ready=_ready)
    return anyio.run(serve)


def check_addresses(*, settings: Settings, source: str) -> None:
    """Name the field of an address that this host can't listen on.

    Raises:
        SettingsError: If there is one.
    """
    addresses = {
        "listen": settings.listen,
        "operator.address": settings.operator.address,
        "control.address": settings.control.address,
    }
    for field, address in addresses.items():
        try:
            bind(address=address).close()
        except OSError as error:
            raise SettingsError(
                f"{field}: can't listen on {address}: {error.strerror}; "
                "take another address, or end the process that has it",
                peer=source,
            ) from error
