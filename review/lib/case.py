"""Runs one case: a temporary folder, a record, and the exit code of a script."""

from __future__ import annotations

import asyncio
import os
import sys
import traceback
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

from fleet import Fleet, Record, work_directory

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from tempfile import TemporaryDirectory

BROKEN = 1
HELD = 0
COULD_NOT_RUN = 2

MAX_SECONDS = 115.0
"""Seconds after which a case has failed to run."""


class CannotRun(Exception):
    """The case could not be set up."""


@dataclass(kw_only=True)
class Case:
    """What a case needs.

    Attributes:
        record: Where it writes what was sent, answered and run.
        directory: Folder for settings and logs.
        trouble: Whether the disruption takes place.
        fleets: Routers to end.
    """

    record: Record
    directory: Path
    trouble: bool
    fleets: list[Fleet] = field(default_factory=list)

    def fleet(self, *, zones: list[str]) -> Fleet:
        """Return a fleet whose processes are ended with the case."""
        fleet = Fleet(zones=zones, directory=self.directory)
        self.fleets.append(fleet)
        return fleet


def run_case(play: Callable[[Case], Awaitable[bool]], *, folder: Path) -> None:
    """Play a case and exit.

    Args:
        play: Plays it; returns whether the rule was broken.
        folder: Folder of the case, for its record.
    """
    if not (Path(__file__).parents[2] / "target" / "deps").is_dir():
        print("target/deps is missing: run the build of the deploy file first")
        sys.exit(COULD_NOT_RUN)
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    directory = work_directory()
    case = Case(record=record, directory=Path(directory.name), trouble=trouble)
    asyncio.run(_play(play, case, directory))


async def _play(
    play: Callable[[Case], Awaitable[bool]],
    case: Case,
    directory: TemporaryDirectory[str],
) -> None:
    """Play a case, end all processes and exit at once.

    Connections of the stand-ins that are still open need no orderly end.
    """
    record = case.record
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    record.say(f"disruption: {'yes' if case.trouble else 'no (TROUBLE=0)'}")
    code = COULD_NOT_RUN
    try:
        async with asyncio.timeout(MAX_SECONDS):
            broken = await play(case)
        record.say("the rule was broken" if broken else "the rule held")
        code = BROKEN if broken else HELD
    except CannotRun as error:
        record.say(f"the case could not run: {error}")
    except Exception:
        record.say(traceback.format_exc())
    finally:
        for fleet in case.fleets:
            fleet.end()
        directory.cleanup()
        sys.stdout.flush()
        os._exit(code)
