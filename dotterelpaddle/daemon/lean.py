"""Leaves out of imports what a router never runs."""

from __future__ import annotations

import sys
import typing
from importlib import import_module
from importlib.machinery import PathFinder
from importlib.util import module_from_spec
from types import ModuleType
from typing import Any

SERVER_PACKAGE = "uvicorn"

NEVER_CALLED = ("certifi", "logging.config")
"""Modules that libraries import for what a router never asks of them: certificates
of encrypted connections, and settings of logs. They bring forty others along, which
are a fifteenth of the processor time of a start; callers wait for that."""


TYPE_HINTS = "typing_extensions"


class TypeHints(ModuleType):
    """Stands in for the back-port of newer type hints, which nothing reads at run time.

    The back-port makes a class of each hint: 5 MB of each process, and a tenth of the
    processor time of a start. What has no equal here is taken from it after all.
    """

    def __getattr__(self, name: str) -> Any:
        """Look up a hint that a library imports."""
        if name in _SUBSTITUTES:
            return _SUBSTITUTES[name]
        if hasattr(typing, name):
            return getattr(typing, name)
        if name.startswith("__"):
            raise AttributeError(name)
        return getattr(self._back_port(), name)

    def _back_port(self) -> ModuleType:
        """Import the module that this one stands in for.

        Raises:
            ModuleNotFoundError: If it is not installed.
        """
        spec = PathFinder.find_spec(self.__name__)
        if spec is None or spec.loader is None:
            raise ModuleNotFoundError(f"'{self.__name__}' is missing")
        module = module_from_spec(spec)
        spec.loader.exec_module(module)
        vars(self).update(vars(module))
        return module


class _Sentinel:
    """A value that stands for none, told apart by its name."""

    def __init__(self, name: str) -> None:
        self._name = name

    def __repr__(self) -> str:
        return self._name


def _type_variable(name: str, *bounds: Any, **hints: Any) -> Any:
    """Make a type variable without what this Python does not know of."""
    known = {key: hints[key] for key in hints if key not in NEWER_HINTS}
    return typing.TypeVar(name, *bounds, **known)  # type: ignore[misc]


def _unchanged(decorated: Any) -> Any:
    return decorated


def _mark_unchanged(*_: Any, **__: Any) -> Any:
    return _unchanged


NEWER_HINTS = frozenset({"default", "infer_variance"})

_SUBSTITUTES: dict[str, Any] = {
    "TypeVar": _type_variable,
    "deprecated": _mark_unchanged,
    "override": _unchanged,
    "sentinel": _Sentinel,
}


def skip_what_is_never_run() -> None:
    """Let libraries be imported without what a router never runs of them."""
    for name in NEVER_CALLED:
        sys.modules.setdefault(name, ModuleType(name))
    sys.modules.setdefault(TYPE_HINTS, TypeHints(TYPE_HINTS))
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
