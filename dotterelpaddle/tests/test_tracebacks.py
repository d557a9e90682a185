"""Errors that are kept without what their frames refer to."""

from __future__ import annotations

import weakref

import pytest

from dotterelpaddle.exceptions import AnswerBroken
from dotterelpaddle.tracebacks import release_frames


class _Part:
    """Something that a frame refers to."""


def _fail(parts: list[weakref.ref[_Part]]) -> None:
    part = _Part()
    parts.append(weakref.ref(part))
    raise ValueError("cause")


def _fail_after(parts: list[weakref.ref[_Part]]) -> None:
    part = _Part()
    parts.append(weakref.ref(part))
    try:
        _fail(parts)
    except ValueError as error:
        raise AnswerBroken("broken", peer="endpoint") from error


# Guards against parts of an answer that live as long as the error that ended it.
def test_frames_of_an_error_and_of_its_causes_are_cleared() -> None:
    parts: list[weakref.ref[_Part]] = []
    with pytest.raises(AnswerBroken) as caught:
        _fail_after(parts)
    assert [part() is None for part in parts] == [False, False]

    release_frames(error=caught.value)

    assert [part() is None for part in parts] == [True, True]
    assert caught.value.__traceback__ is caught.value.__cause__ is None


# Guards against a fault in the code whose log line doesn't tell where it is.
def test_faults_of_the_code_keep_their_tracebacks() -> None:
    parts: list[weakref.ref[_Part]] = []
    with pytest.raises(ExceptionGroup) as caught:
        try:
            _fail(parts)
        except ValueError as error:
            raise ExceptionGroup("faults", [error]) from error

    release_frames(error=caught.value)

    assert parts[0]() is None
    assert caught.value.exceptions[0].__traceback__ is not None
