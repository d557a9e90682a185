"""Checks a router's settings and shows an example of them."""

from __future__ import annotations

from importlib import resources
from pathlib import Path

from cyclopts import App

from dotterelpaddle.commands.errors import ExitCode
from dotterelpaddle.config.settings import load_settings

EXAMPLE = "example.yaml"

config_app = App(name="config", help="Check or show the settings of a router.")


@config_app.command
def check(file: Path, /) -> int:
    """Check a settings file without starting a router.

    Prints every wrong field with its line, and exits with 2 if there is one.
    Secrets are read, so run it where their files and variables are.

    Args:
        file: The settings file.
    """
    settings = load_settings(path=file)
    for warning in settings.warnings():
        print(f"{file}: warning: {warning}")
    print(f"{file}: ok, router '{settings.router}' in '{settings.failure_domain}'")
    return ExitCode.OK


@config_app.command
def example() -> int:
    """Print an example with every field, its default and its meaning."""
    print(read_example(), end="")
    return ExitCode.OK


def read_example() -> str:
    """Return the example's text."""
    return resources.files("dotterelpaddle.config").joinpath(EXAMPLE).read_text()
