"""Checked settings from YAML without a schema library.

A router on a small host reads a dozen settings once; a schema library would
cost it more memory than all that it keeps for its requests.
"""

from __future__ import annotations

from typing import Any

import orjson

from dotterelpaddle.address import Address
from dotterelpaddle.exceptions import SettingsError


def parse_yaml(*, text: str) -> Any:
    """Return what a YAML text holds.

    Text in the flow style with quoted names is JSON as well, which a parser reads
    that every router has loaded anyway; YAML's own would cost it 3.4 MB for good.

    Raises:
        SettingsError: If it is no YAML.
    """
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError:
        import yaml

    try:
        return yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise SettingsError(f"the text is no YAML: {error}") from error


class Section:
    """One mapping of a settings file, read field by field.

    Args:
        content: What the file holds there.
        path: Where it stands, empty for the whole file.

    Raises:
        SettingsError: If it is no mapping.
    """

    def __init__(self, *, content: Any, path: str = "") -> None:
        if not isinstance(content, dict):
            place = f"section '{path}'" if path else "the file"
            raise SettingsError(f"{place} must hold fields, one 'name: value' a line")
        self._content = content
        self._path = path
        self._read: set[str] = set()

    @property
    def names(self) -> tuple[str, ...]:
        """Names of all fields."""
        return tuple(self._content)

    def has(self, name: str) -> bool:
        """Tell whether a field is there."""
        return self._content.get(name) is not None

    def section(self, name: str) -> Section:
        """Return a section that must be there."""
        return Section(content=self._take(name), path=self._name(name))

    def text(self, name: str, *, default: str | None = None) -> str:
        """Return a text."""
        value = self._take(name, default=default)
        if not isinstance(value, str) or not value:
            raise self._wrong(name, "a text", value)
        return value

    def texts(self, name: str) -> tuple[str, ...]:
        """Return a list of texts, empty if the field is missing."""
        value = self._take(name, default=[])
        if not isinstance(value, list) or not all(
            isinstance(each, str) for each in value
        ):
            raise self._wrong(name, "a list of texts", value)
        return tuple(value)

    def number(
        self, name: str, *, minimum: float = 0.0, default: float | None = None
    ) -> float:
        """Return a number from a minimum on."""
        value = self._take(name, default=default)
        usable = isinstance(value, int | float) and not isinstance(value, bool)
        if not usable or value < minimum:
            raise self._wrong(name, f"a number from {minimum:g} on", value)
        return float(value)

    def flag(self, name: str, *, default: bool) -> bool:
        """Return true or false."""
        value = self._take(name, default=default)
        if not isinstance(value, bool):
            raise self._wrong(name, "true or false", value)
        return value

    def address(self, name: str) -> Address:
        """Return an address."""
        return self._address(name, self._take(name))

    def addresses(self, name: str) -> tuple[Address, ...]:
        """Return a list of addresses, empty if the field is missing."""
        value = self._take(name, default=[])
        if not isinstance(value, list):
            raise self._wrong(name, "a list of addresses as IP:PORT", value)
        return tuple(self._address(name, each) for each in value)

    def finish(self) -> None:
        """Check that no field is left that nobody reads.

        Raises:
            SettingsError: If there is one; it may be misspelt.
        """
        unknown = sorted(self._content.keys() - self._read)
        if unknown:
            known = ", ".join(sorted(self._read))
            raise SettingsError(
                f"field '{self._name(unknown[0])}' is unknown; "
                f"the fields there are: {known}"
            )

    def _take(self, name: str, *, default: Any = None) -> Any:
        self._read.add(name)
        value = self._content.get(name)
        if value is None:
            value = default
        if value is None:
            raise SettingsError(f"field '{self._name(name)}' is missing; add it")
        return value

    def _address(self, name: str, value: Any) -> Address:
        try:
            return Address.parse(text=value if isinstance(value, str) else str(value))
        except ValueError as error:
            raise SettingsError(f"field '{self._name(name)}': {error}") from error

    def _wrong(self, name: str, wanted: str, value: Any) -> SettingsError:
        return SettingsError(
            f"field '{self._name(name)}' must be {wanted}, not {value!r}"
        )

    def _name(self, name: str) -> str:
        return f"{self._path}.{name}" if self._path else name
