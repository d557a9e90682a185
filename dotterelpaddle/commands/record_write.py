"""Commands that change records."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Annotated

import anyio
from cyclopts import Parameter

from dotterelpaddle.commands.errors import ExitCode
from dotterelpaddle.commands.operator_access import (
    DEFAULT_ACCESS,
    OperatorAccess,
    reach,
)
from dotterelpaddle.commands.record_input import InputFile, read_input, read_key
from dotterelpaddle.commands.record_text import (
    print_change,
    print_force,
    print_report,
)
from dotterelpaddle.exceptions import DotterelpaddleError, SettingsError
from dotterelpaddle.ids import Revision
from dotterelpaddle.operator.changer import new_attempt
from dotterelpaddle.operator.client import ChangeRequest, OperatorClient
from dotterelpaddle.operator.interface import MAX_WAIT

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from dotterelpaddle.operator.reports import ChangeReport


@Parameter(name="*")
@dataclass(frozen=True, kw_only=True)
class ChangeFlags:
    """How to change records.

    Attributes:
        expect_revision: Replace only this revision; 0 if there must be none yet.
            It goes with one record; several name theirs in a field 'revision'.
        dry_run: Check and show what would change, and write nothing.
        wait: Return once it is in force on every live router, and list those
            that can't be heard from.
        wait_timeout: Seconds after which --wait gives up.
        json: Print the answer as JSON.
    """

    expect_revision: int | None = None
    dry_run: bool = False
    wait: bool = False
    wait_timeout: float = 30.0
    json: bool = False

    def request(self) -> ChangeRequest:
        """Say the same to the client, under a new attempt's name.

        Raises:
            SettingsError: If the wait is out of range.
        """
        if not 0.0 <= self.wait_timeout <= MAX_WAIT:
            raise SettingsError(
                f"--wait-timeout: {self.wait_timeout:g} is out of range; give seconds"
                f" from 0 to {MAX_WAIT:g}"
            )
        expected = self.expect_revision
        return ChangeRequest(
            expected=None if expected is None else Revision(expected),
            dry_run=self.dry_run,
            attempt=new_attempt(),
        )


DEFAULT_FLAGS = ChangeFlags()


def apply(
    file: InputFile,
    /,
    *,
    flags: ChangeFlags = DEFAULT_FLAGS,
    access: OperatorAccess = DEFAULT_ACCESS,
) -> int:
    """Put records in force: all records of a file or none.

    A record replaces the one that is newest when the command begins, or only
    the revision that its field 'revision' or --expect-revision names. See
    `record --help` for exit codes.

    Args:
        file: YAML file with one or more records, or - for standard input.
        flags: How to change them.
        access: Where the routers are.
    """
    source, text = read_input(file=file)
    return _carry_out(
        change=partial(OperatorClient.apply, text=text, source=source),
        flags=flags,
        access=access,
    )


def retire(
    records: Annotated[tuple[str, ...], Parameter(negative=())],
    /,
    *,
    flags: ChangeFlags = DEFAULT_FLAGS,
    access: OperatorAccess = DEFAULT_ACCESS,
) -> int:
    """Retire records: all that are named or none.

    What is in use can't be retired, except together with all that use it. See
    `record --help` for exit codes.

    Args:
        records: The records, each as KIND/NAME.
        flags: How to change them.
        access: Where the routers are.
    """
    keys = tuple(read_key(text=text) for text in records)
    return _carry_out(
        change=partial(OperatorClient.retire, keys=keys),
        flags=flags,
        access=access,
    )


def _carry_out(
    *,
    change: Callable[..., Awaitable[ChangeReport]],
    flags: ChangeFlags,
    access: OperatorAccess,
) -> int:
    """Make a change, print what was accepted, and wait for it if asked to."""
    request = flags.request()

    async def _run() -> int:
        async with reach(access=access) as client:
            report = await change(client, change=request)
            _print(report=report, flags=flags)
            if not flags.wait or flags.dry_run:
                return ExitCode.OK
            return await _wait(client=client, report=report, flags=flags)

    try:
        return anyio.run(_run)
    except KeyboardInterrupt:
        print(
            "interrupted; if it was not printed above that the change was accepted,"
            f" find out with `dotterelpaddle record attempt {request.attempt}`",
            file=sys.stderr,
        )
        raise


def _print(*, report: ChangeReport, flags: ChangeFlags) -> None:
    if flags.json:
        print_report(report=report)
    else:
        print_change(report=report)
    sys.stdout.flush()


async def _wait(
    *, client: OperatorClient, report: ChangeReport, flags: ChangeFlags
) -> int:
    try:
        force = await client.wait_in_force(
            revision=report.revision, timeout=flags.wait_timeout
        )
    except DotterelpaddleError as error:
        print(
            f"error: revision {report.revision} is accepted, but nobody can say yet"
            f" where it is in force: {error}",
            file=sys.stderr,
        )
        return ExitCode.NOT_IN_FORCE
    if flags.json:
        print_report(report=force)
    else:
        print_force(report=force)
    return ExitCode.OK if force.complete else ExitCode.NOT_IN_FORCE
