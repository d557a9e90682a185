from __future__ import annotations

import pytest

from dotterelpaddle.tests.conftest import KnownRed, read_known_red


def test_lines_name_test_cause_and_issue() -> None:
    text = "# comment\n\na.py::test_b | engine repeats a token | 12\n"

    assert read_known_red(text=text) == (
        KnownRed(test="a.py::test_b", cause="engine repeats a token", issue="12"),
    )


# Guards against a test that leaves the suite because the list is full.
def test_each_listed_test_is_read_however_many_there_are() -> None:
    text = "".join(f"a.py::test_{number} | cause | 1\n" for number in range(9))

    assert len(read_known_red(text=text)) == 9


@pytest.mark.parametrize(
    "text",
    [
        "a.py::test_b",
        "a.py::test_b | cause |",
        "a.py::test_b | cause | 1 | more",
        "a | b | 1\n" * 4,
    ],
)
def test_malformed_lists_and_tests_listed_twice_are_refused(text: str) -> None:
    with pytest.raises(pytest.UsageError):
        read_known_red(text=text)
