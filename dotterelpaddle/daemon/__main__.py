"""Entry point of the daemon, configured by one environment variable.

It imports only the modules that a router runs, since memory is scarce on small hosts.
It opens the callers' socket before the slow imports: connections made meanwhile wait
a third of a second instead of being reset.
"""

from __future__ import annotations

import gc
import os
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from dotterelpaddle.daemon.unused_imports import skip_unused_imports
from dotterelpaddle.exceptions import SettingsError
from dotterelpaddle.forwarding.settings import load_settings
from dotterelpaddle.listening import bind
from dotterelpaddle.platform.terms import apply_terms

if TYPE_CHECKING:
    import socket

    from dotterelpaddle.address import Address

SETTINGS_VARIABLE = "DOTTERELPADDLE_SETTINGS"
SETTINGS_ERROR_EXIT_CODE = 2

GC_THRESHOLDS = (5_000, 20, 20)
"""Thresholds of the garbage collector's generations.

Requests create few reference cycles, and the default threshold of 700 objects would
trigger a collection every dozen requests.
"""


def main() -> int:
    """Run a router until a signal stops it.

    Returns:
        The exit code.
    """
    # A reload changes nothing, but would end the process until it handles signals.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imported modules are never garbage. To scan them takes 30 ms during the start and
    # as much again in each later collection, so they are frozen below.
    gc.disable()
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        if not path:
            raise SettingsError(
                f"set {SETTINGS_VARIABLE} to the path of the settings file"
            )
        settings = apply_terms(settings=load_settings(path=Path(path)))
        listener = _listen(settings.callers)
    except SettingsError as error:
        print(f"error: {error.message}", file=sys.stderr)
        return SETTINGS_ERROR_EXIT_CODE

    skip_unused_imports()
    from dotterelpaddle.daemon.process import run_process

    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    gc.enable()
    run_process(settings=settings, listener=listener)
    return 0


def _listen(address: Address) -> socket.socket:
    """Open the socket for callers.

    Raises:
        SettingsError: If the address can't be bound.
    """
    try:
        return bind(address=address)
    except OSError as error:
        raise SettingsError(
            f"field 'listen.callers': {address} can't be bound: {error.strerror}"
        ) from error


if __name__ == "__main__":
    sys.exit(main())
