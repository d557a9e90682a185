"""Checks that the documentation matches the code and that its links resolve."""

from __future__ import annotations

import ast
import re
import shlex
from pathlib import Path
from typing import TYPE_CHECKING

import pytest
import yaml

from bench.__main__ import known_benches
from dotterelpaddle.__main__ import app
from dotterelpaddle.commands.scenario import shipped
from dotterelpaddle.entry.errors import error_type
from dotterelpaddle.entry.reader import CallerGone
from dotterelpaddle.exceptions import RequestError

if TYPE_CHECKING:
    from collections.abc import Iterator

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"
PAGES = sorted([*DOCS.rglob("*.md"), ROOT / "README.md"])

LINK = re.compile(r"\[[^\]]*\]\(([^)\s]+)\)")
FENCE = re.compile(r"^```.*?^```", re.MULTILINE | re.DOTALL)
PROMPT = re.compile(r"^\$ (.*(?:\\\n.*)*)", re.MULTILINE)
INLINE = re.compile(r"`((?:dotterelpaddle|python -m bench|\./)[^`\n]*)`")
HEADING = re.compile(r"^#+ (.*)$", re.MULTILINE)
MODULE = re.compile(r"`([a-z_]+/[a-z_/]+\.(?:py|yaml|capnp))\b")
PACKAGE_ROW = re.compile(r"^\| `([a-z]+)/` \|[^|]*\| ([^|]*) \|$", re.MULTILINE)
SEPARATORS = {"|", "&&", ";", "&", ">", "<"}
PLACEHOLDER = re.compile(r"^[A-Z_]+$")


def _name(path: Path) -> str:
    return str(path.relative_to(ROOT))


def _text_without_fences(path: Path) -> str:
    return FENCE.sub("", path.read_text())


def _anchors(path: Path) -> set[str]:
    headings = HEADING.findall(_text_without_fences(path))
    return {re.sub(r"[^\w -]", "", each).lower().replace(" ", "-") for each in headings}


@pytest.mark.parametrize("page", PAGES, ids=_name)
def test_links_resolve(page: Path) -> None:
    for link in LINK.findall(_text_without_fences(page)):
        if "://" in link:
            continue
        target, _, anchor = link.partition("#")
        path = (page.parent / target).resolve() if target else page
        assert path.exists(), f"{link} leads nowhere"
        if anchor:
            assert anchor in _anchors(path), f"{link}: no such heading"


@pytest.mark.parametrize("page", PAGES, ids=_name)
def test_commands_exist(page: Path) -> None:
    text = page.read_text()
    shown = [line.replace("\\\n", " ") for line in PROMPT.findall(text)]
    for line in shown:
        for tokens in _split(line):
            _check_command(tokens, complete=True)
    for line in INLINE.findall(_text_without_fences(page)):
        _check_command(shlex.split(line), complete=False)


def _split(line: str) -> list[list[str]]:
    commands: list[list[str]] = [[]]
    lexer = shlex.shlex(line, posix=True, punctuation_chars=True)
    lexer.whitespace_split = True
    for token in lexer:
        if token in SEPARATORS:
            commands.append([])
        else:
            commands[-1].append(token)
    return commands


def _check_command(tokens: list[str], *, complete: bool) -> None:
    match tokens:
        case ["dotterelpaddle", *rest]:
            _check_own_command(rest, complete=complete)
        case [("python" | ".venv/bin/python"), "-m", "bench", name]:
            assert PLACEHOLDER.match(name) or name in known_benches()
        case [script, *_] if script.startswith("./"):
            assert (ROOT / script).is_file()


def _check_own_command(tokens: list[str], *, complete: bool) -> None:
    _, apps, unused = app.parse_commands(tokens)
    if complete:
        app.parse_args(tokens, print_error=False, exit_on_error=False)
        return
    is_group = apps[-1].default_command is None
    assert not (is_group and unused), f"no command '{unused[0]}' in '{tokens}'"


@pytest.mark.parametrize("page", PAGES, ids=_name)
def test_named_modules_exist(page: Path) -> None:
    for name in MODULE.findall(_text_without_fences(page)):
        places = (ROOT / name, ROOT / "dotterelpaddle" / name)
        assert any(place.exists() for place in places), f"there is no {name}"


def test_architecture_lists_each_package_with_its_first_file() -> None:
    page = (DOCS / "dev-guide" / "architecture.md").read_text()
    package = ROOT / "dotterelpaddle"

    listed = PACKAGE_ROW.findall(page)

    packages = {
        path.name for path in package.iterdir() if (path / "__init__.py").exists()
    }
    assert {name for name, _ in listed} == packages
    for name, files in listed:
        for file in re.findall(r"`([^`]+)`", files):
            assert (package / name / file).exists(), f"there is no {name}/{file}"


def test_architecture_lists_the_shared_modules() -> None:
    page = (DOCS / "dev-guide" / "architecture.md").read_text()

    (row,) = re.findall(r"^\| (.*) \| What all packages share", page, re.MULTILINE)

    modules = {path.stem for path in (ROOT / "dotterelpaddle").glob("[a-z]*.py")}
    assert set(re.findall(r"`(\w+)`", row)) == modules


def test_named_scenarios_exist() -> None:
    page = (DOCS / "user-guide" / "running.md").read_text()

    named = re.findall(r"\| `(\w+)` \|$", page, re.MULTILINE)

    assert named
    assert set(named) <= set(shipped())


def test_navigation_lists_each_page_once() -> None:
    navigation = yaml.safe_load((ROOT / "mkdocs.yml").read_text())["nav"]

    listed = sorted(_pages_of(navigation))

    assert listed == sorted(str(page.relative_to(DOCS)) for page in DOCS.rglob("*.md"))


def _pages_of(navigation: object) -> list[str]:
    match navigation:
        case str(page):
            return [page]
        case list(entries):
            return [page for entry in entries for page in _pages_of(entry)]
        case dict(entry):
            return [page for value in entry.values() for page in _pages_of(value)]
        case _:
            raise AssertionError(f"unknown entry in mkdocs.yml: {navigation}")


def _sources() -> Iterator[ast.AST]:
    """Yield the syntax nodes of the package without its tests."""
    for path in sorted((ROOT / "dotterelpaddle").rglob("*.py")):
        if "tests" not in path.parts:
            yield from ast.walk(ast.parse(path.read_text()))


def _events() -> set[str]:
    """Return the events that the package logs above the debug level."""
    events = set()
    for node in _sources():
        match node:
            case ast.Call(
                func=ast.Attribute(
                    value=ast.Name(id="log"), attr="info" | "warning" | "error"
                ),
                args=[ast.Constant(value=str(event))],
            ):
                events.add(event)
    return events


def _metrics() -> set[str]:
    """Return the names of the metrics that the package creates."""
    metrics = set()
    for node in _sources():
        match node:
            case ast.Call(
                func=ast.Attribute(attr="counter" | "gauge" | "histogram"),
                keywords=[ast.keyword(arg="name", value=ast.Constant(value=name)), *_],
            ):
                metrics.add(str(name))
    return metrics


def _first_column_names(page: Path) -> set[str]:
    """Return the names in the first column of a page's tables."""
    cells = re.findall(r"^\| (`[^|]*) \|", page.read_text(), re.MULTILINE)
    return {name for cell in cells for name in re.findall(r"`([^`]+)`", cell)}


def test_each_log_event_is_described() -> None:
    assert _events() - _first_column_names(DOCS / "user-guide" / "logs.md") == set()


def test_described_metrics_match_the_code() -> None:
    assert _first_column_names(DOCS / "user-guide" / "metrics.md") == _metrics()


def _subclasses(error: type[RequestError]) -> Iterator[type[RequestError]]:
    """Yield the errors in the exception hierarchy that a caller can receive."""
    if error.__module__ == RequestError.__module__:
        yield error
    for each in error.__subclasses__():
        yield from _subclasses(each)


def test_each_caller_error_is_described_with_its_status() -> None:
    page = (DOCS / "user-guide" / "calling.md").read_text()
    described = re.findall(r"^\| (\d{3}) \| `(\w+)` \|", page, re.MULTILINE)

    errors: set[type[RequestError]] = {*_subclasses(RequestError), CallerGone}
    assert sorted(described) == sorted(
        (str(each.status), error_type(error=each(""))) for each in errors
    )
