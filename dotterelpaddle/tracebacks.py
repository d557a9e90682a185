"""Releases what the frames of an error keep in memory.

The traceback of an error that somebody keeps refers to all frames that it passed, and
these to their variables: parts of answers, bodies, connections. A frame that refers to
its own error keeps them until the garbage collector runs.
"""

from __future__ import annotations

import traceback

from dotterelpaddle.exceptions import DotterelpaddleError


def release_frames(*, error: BaseException) -> None:
    """Clear the variables of all frames that an error and its causes have passed.

    Frames that still run keep theirs. The project's own errors, which tell step and
    peer, lose their tracebacks and causes too; those of faults in the code stay
    readable.
    """
    for each in _chain(error=error):
        traceback.clear_frames(each.__traceback__)
        if isinstance(each, DotterelpaddleError):
            each.__traceback__ = each.__cause__ = each.__context__ = None


def _chain(*, error: BaseException) -> list[BaseException]:
    """Return an error and all that it was raised from or after, each once."""
    chain: dict[int, BaseException] = {}
    waiting: list[BaseException | None] = [error]
    while waiting:
        each = waiting.pop()
        if each is None or id(each) in chain:
            continue
        chain[id(each)] = each
        waiting += (each.__cause__, each.__context__)
        if isinstance(each, BaseExceptionGroup):
            waiting += each.exceptions
    return list(chain.values())
