"""What all cases share: the record, the choice of trouble and the exit code."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

from fleet import CannotRun

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

MAX_LAG_SECONDS = 0.25
"""Longest pause of this process itself with which a run still tells something."""


class Record:
    """Writes `record.txt`, and keeps to the time of the run.

    Args:
        folder: Folder of the case.
    """

    def __init__(self, *, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_at = time.monotonic()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.say(f"trouble: {self.trouble}")

    def since_start(self, at: float) -> float:
        """Return the seconds of a time of the monotonic clock since the start."""
        return at - self._started_at

    def say(self, line: str) -> None:
        """Print a line and write it."""
        now = self.since_start(time.monotonic())
        print(f"{now:8.3f} {line}")
        self.note(f"{now:8.3f} {line}")

    def note(self, line: str) -> None:
        """Write a line."""
        self._file.write(line + "\n")
        self._file.flush()


async def watch_own_lag(worst: list[float]) -> None:
    """Measure for how long this process itself stands still.

    Args:
        worst: Its only entry becomes the longest pause, seconds.
    """
    while True:
        before = time.monotonic()
        await asyncio.sleep(0.02)
        worst[0] = max(worst[0], time.monotonic() - before - 0.02)


def main(folder: Path, play: Callable[[Record], Awaitable[bool]]) -> None:
    """Play a case and exit as its result says.

    Args:
        folder: Folder of the case.
        play: Plays it and returns whether the rule was broken.
    """
    record = Record(folder=folder)

    async def _play() -> None:
        code = await _code()
        # The tasks that still run need no end of their own.
        os._exit(code)

    async def _code() -> int:
        # Whoever stops the script ends the processes that it started, too.
        this = asyncio.current_task()
        assert this is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, this.cancel)
        worst = [0.0]
        watching = asyncio.create_task(watch_own_lag(worst))
        try:
            broken = await play(record)
        except CannotRun as error:
            record.say(f"could not run: {error}")
            return COULD_NOT_RUN
        except asyncio.CancelledError:
            record.say("could not run: it was stopped")
            return COULD_NOT_RUN
        except Exception as error:
            # A fault of the script itself says nothing of the rule.
            record.say(f"could not run: {error!r}")
            return COULD_NOT_RUN
        finally:
            watching.cancel()
        record.say(f"longest pause of the stand-ins themselves: {worst[0]:.3f} s")
        if worst[0] > MAX_LAG_SECONDS:
            record.say("could not run: the stand-ins themselves were too slow")
            return COULD_NOT_RUN
        record.say("the rule was broken" if broken else "the rule held")
        return BROKEN if broken else HELD

    sys.stdout.reconfigure(line_buffering=True)  # type: ignore[union-attr]
    asyncio.run(_play())
