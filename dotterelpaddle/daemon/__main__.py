"""The daemon's command line, which is one environment variable.

It imports only what a router runs: memory counts on small hosts. What takes long to
import comes after callers' socket is open: connections made meanwhile wait a third
of a second instead of being reset.
"""

from __future__ import annotations

import gc
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from dotterelpaddle.daemon.unused_imports import skip_unused_imports
from dotterelpaddle.exceptions import SettingsError
from dotterelpaddle.forwarding.settings import load_settings
from dotterelpaddle.listening import bind

if TYPE_CHECKING:
    import socket

    from dotterelpaddle.address import Address

SETTINGS_VARIABLE = "DOTTERELPADDLE_SETTINGS"
SETTINGS_ERROR_EXIT_CODE = 2

GC_THRESHOLDS = (5_000, 20, 20)
"""Objects and rounds between collections: requests leave few cycles behind, and the
usual 700 objects are a dozen requests."""


def main() -> int:
    """Run a router until a signal stops it.

    Returns:
        The exit code.
    """
    # What is loaded stays: looking through it for garbage costs a start 30 ms, and
    # each later look as much again.
    gc.disable()
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        if not path:
            raise SettingsError(
                f"set {SETTINGS_VARIABLE} to the path of the settings file"
            )
        settings = load_settings(path=Path(path))
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
    """Open callers' socket.

    Raises:
        SettingsError: If the address can't be had.
    """
    try:
        return bind(address=address)
    except OSError as error:
        raise SettingsError(
            f"field 'listen.callers': {address} can't be had: {error.strerror}"
        ) from error


if __name__ == "__main__":
    sys.exit(main())
