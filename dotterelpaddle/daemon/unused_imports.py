"""Skips imports of modules that a router never uses."""

from __future__ import annotations

import sys
from importlib import import_module
from importlib.machinery import PathFinder
from importlib.util import module_from_spec
from types import ModuleType

SERVER_PACKAGE = "uvicorn"

UNUSED_MODULES = ("certifi", "logging.config")
"""Modules that libraries import for features that a router never uses.

These are certificates of encrypted connections and logging configuration. They import
forty other modules, a fifteenth of the CPU time of a start, during which callers wait.
"""


def skip_unused_imports() -> None:
    """Make later imports of libraries skip the unused modules."""
    for name in UNUSED_MODULES:
        sys.modules.setdefault(name, ModuleType(name))
    skip_server_command_line()


def skip_server_command_line() -> None:
    """Make later imports of the HTTP server skip its command line.

    The package's own import loads its command line, reloader and process supervisor.
    A router uses none of them, and they take 1.8 MB of memory per process.
    """
    if SERVER_PACKAGE in sys.modules:
        return
    spec = PathFinder.find_spec(SERVER_PACKAGE)
    if spec is None:
        # The package is missing; a later import of it raises the error.
        return
    # Register the package without running its code. The registered package has its
    # path, so that imports find its modules, and the two names that these modules and
    # this project use.
    package = module_from_spec(spec)
    sys.modules[SERVER_PACKAGE] = package
    vars(package)["Config"] = import_module(f"{SERVER_PACKAGE}.config").Config
    vars(package)["Server"] = import_module(f"{SERVER_PACKAGE}.server").Server
