"""What a command prints and returns when it fails."""

from __future__ import annotations

import os
import sys
from contextlib import contextmanager
from enum import IntEnum
from typing import TYPE_CHECKING

from cyclopts import CycloptsError

from dotterelpaddle.commands.record_text import conflict_text
from dotterelpaddle.exceptions import (
    DotterelpaddleError,
    NotAuthenticated,
    PlatformError,
    RecordConflict,
    RecordError,
    RecordNotFound,
    RecordOutcomeUnknown,
    RecordRefused,
    RouteNotFound,
    RouterUnreachable,
    ScenarioError,
    SettingsError,
)
from dotterelpaddle.operator.clashes import ChangedByOther

if TYPE_CHECKING:
    from collections.abc import Iterator


class ExitCode(IntEnum):
    """How a command ended, for scripts.

    Attributes:
        OK: It did what was asked.
        FAILED: It ran, and the result is not what was asked.
        WRONG_USE: The command line, a settings file or a record is wrong.
        UNAVAILABLE: Another process gave no usable answer; try again.
        CONFLICT: Another writer was first; read again.
        OUTCOME_UNKNOWN: A change may or may not have been accepted.
        NOT_IN_FORCE: A change was accepted, and was not yet in force everywhere
            when the wait was over.
        INTERRUPTED: It was stopped before its end.
    """

    OK = 0
    FAILED = 1
    WRONG_USE = 2
    UNAVAILABLE = 3
    CONFLICT = 4
    OUTCOME_UNKNOWN = 5
    NOT_IN_FORCE = 6
    INTERRUPTED = 130


def exit_code_of(*, error: BaseException) -> ExitCode:
    """Choose the exit code of an error."""
    match error:
        case RecordConflict():
            return ExitCode.CONFLICT
        case RecordOutcomeUnknown():
            return ExitCode.OUTCOME_UNKNOWN
        case RecordRefused() | RecordNotFound() | RouteNotFound():
            return ExitCode.FAILED
        case SettingsError() | RecordError() | NotAuthenticated() | CycloptsError():
            return ExitCode.WRONG_USE
        case ScenarioError():
            return ExitCode.FAILED
        case PlatformError() | RouterUnreachable() | OSError():
            return ExitCode.UNAVAILABLE
        case KeyboardInterrupt():
            return ExitCode.INTERRUPTED
        case _:
            return ExitCode.FAILED


EXPECTED = (DotterelpaddleError, OSError)
"""Errors that need no traceback."""


@contextmanager
def report_errors() -> Iterator[None]:
    """Print an expected error and exit with its code; let others pass."""
    try:
        yield
    except CycloptsError as error:
        # The command line library has printed it.
        sys.exit(exit_code_of(error=error))
    except KeyboardInterrupt as error:
        sys.exit(exit_code_of(error=error))
    except BrokenPipeError:
        # The reader of the output has left. Python would complain at its exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(ExitCode.FAILED)
    except EXPECTED as error:
        print_error(error=error)
        sys.exit(exit_code_of(error=error))
    except BaseExceptionGroup as group:
        errors = flatten(group=group)
        if not all(isinstance(error, EXPECTED) for error in errors):
            raise
        for each in errors:
            print_error(error=each)
        sys.exit(exit_code_of(error=errors[0]))


def flatten(*, group: BaseExceptionGroup) -> tuple[BaseException, ...]:
    """List the errors inside a group and its inner groups."""
    errors: list[BaseException] = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            errors += flatten(group=error)
        else:
            errors.append(error)
    return tuple(errors)


def print_error(*, error: BaseException) -> None:
    """Print what went wrong, where, and what to change."""
    print(f"error: {_describe(error=error)}", file=sys.stderr)


def _describe(*, error: BaseException) -> str:
    match error:
        case ChangedByOther():
            both = conflict_text(error=error)
            return f"{_place(error=error)}{error.message}\n{both}"
        case DotterelpaddleError():
            return f"{_place(error=error)}{error.message}"
        case _:
            return str(error)


def _place(*, error: DotterelpaddleError) -> str:
    if not error.peer:
        return ""
    separator = "\n" if "\n" in error.message else " "
    return f"{error.peer}:{separator}"
