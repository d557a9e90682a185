"""Network addresses."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class Address:
    """An IP number and a port.

    Attributes:
        host: IP number in text form.
        port: TCP or UDP port; 0 lets the operating system choose a free one.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, *, text: str) -> Address:
        """Parse an address of the form ``HOST:PORT``.

        Raises:
            ValueError: If the port is missing or not a number.
        """
        host, separator, port = text.rpartition(":")
        if not separator or not port.isdigit():
            raise ValueError(f"'{text}' is not an address; write it as HOST:PORT")
        return cls(host=host, port=int(port))
