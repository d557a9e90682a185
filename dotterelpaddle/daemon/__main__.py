"""The daemon's command line, which is one environment variable.

It imports only what a router runs: memory counts on small hosts.
"""

from __future__ import annotations

import os
import sys
from pathlib import Path

import anyio

from dotterelpaddle.daemon.process import run
from dotterelpaddle.exceptions import SettingsError
from dotterelpaddle.forwarding.settings import load_settings
from dotterelpaddle.logs import Level, write_logs

SETTINGS_VARIABLE = "DOTTERELPADDLE_SETTINGS"
BAD_SETTINGS = 2


def main() -> int:
    """Run a router until a signal stops it.

    Returns:
        The exit code.
    """
    write_logs(level=Level.INFO, stream=sys.stdout)
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        if not path:
            raise SettingsError(
                f"set {SETTINGS_VARIABLE} to the path of the settings file"
            )
        settings = load_settings(path=Path(path))
    except SettingsError as error:
        print(f"error: {error.message}", file=sys.stderr)
        return BAD_SETTINGS
    anyio.run(run, settings)
    return 0


if __name__ == "__main__":
    sys.exit(main())
