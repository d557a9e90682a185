"""Leaves out of imports what a router never runs."""

from __future__ import annotations

import sys
from importlib import import_module
from importlib.machinery import PathFinder
from importlib.util import module_from_spec
from types import ModuleType

SERVER_PACKAGE = "uvicorn"

UNUSED_MODULES = ("certifi", "logging.config")
"""Modules that libraries import for what a router never asks of them: certificates
of encrypted connections, and settings of logs. They bring forty others along, which
are a fifteenth of the processor time of a start; callers wait for that."""


def skip_unused_imports() -> None:
    """Let libraries be imported without what a router never runs of them."""
    for name in UNUSED_MODULES:
        sys.modules.setdefault(name, ModuleType(name))
    skip_server_command_line()


def skip_server_command_line() -> None:
    """Let the HTTP server's modules be imported without its command line.

    The package imports its command line, its reloader and what starts processes
    on its own import, none of which a router runs: 1.8 MB of each process.
    """
    if SERVER_PACKAGE in sys.modules:
        return
    spec = PathFinder.find_spec(SERVER_PACKAGE)
    if spec is None:
        # It is missing; the import that needs it says so.
        return
    # The package is there with its path, so that its modules are found, and with
    # the two names that they and this project use; its own code is not run.
    package = module_from_spec(spec)
    sys.modules[SERVER_PACKAGE] = package
    vars(package)["Config"] = import_module(f"{SERVER_PACKAGE}.config").Config
    vars(package)["Server"] = import_module(f"{SERVER_PACKAGE}.server").Server
