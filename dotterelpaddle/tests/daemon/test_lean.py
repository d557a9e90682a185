"""What stands in for modules that a router never runs."""

from __future__ import annotations

import typing

import pytest

from dotterelpaddle.daemon.lean import TYPE_HINTS, TypeHints


def test_hint_that_python_has_is_its_own() -> None:
    assert TypeHints(TYPE_HINTS).Self is typing.Self
    assert TypeHints(TYPE_HINTS).TypeVarTuple is typing.TypeVarTuple


def test_type_variable_may_have_what_only_later_versions_know() -> None:
    variable = TypeHints(TYPE_HINTS).TypeVar(
        "T", bound=int, default=int, infer_variance=True
    )

    assert variable.__bound__ is int


def test_marks_leave_what_they_mark_as_it_is() -> None:
    def function() -> None:
        """Do nothing."""

    assert TypeHints(TYPE_HINTS).override(function) is function
    assert TypeHints(TYPE_HINTS).deprecated("soon", category=None)(function) is function


def test_hint_without_an_equal_comes_from_the_back_port() -> None:
    """Guards against a library's later release that can't be imported."""
    assert TypeHints(TYPE_HINTS).TypeForm.__module__ == TYPE_HINTS


def test_hint_that_nobody_has_is_missing() -> None:
    with pytest.raises(AttributeError):
        _ = TypeHints(TYPE_HINTS).NoSuchHint
