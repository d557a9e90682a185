"""Options that several commands share."""

from __future__ import annotations

import os

from dotterelpaddle.address import Address
from dotterelpaddle.exceptions import SettingsError

ANY_PORT = "127.0.0.1:0"
"""A free port of the loopback interface."""


def read_address(*, option: str, text: str) -> Address:
    """Read an address that was given as an option.

    Raises:
        SettingsError: If it is none, naming the option.
    """
    try:
        return Address.parse(text=text)
    except ValueError as error:
        raise SettingsError(str(error), peer=option) from error


def read_variable(*, option: str, name: str) -> str:
    """Read a secret from the variable of the environment that an option names.

    Raises:
        SettingsError: If it is missing or empty, naming the option.
    """
    value = os.environ.get(name, "")
    if not value:
        raise SettingsError(f"variable '{name}' is missing or empty", peer=option)
    return value
