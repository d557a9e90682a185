"""Names of the processes that report load to owners."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.ids import RouterId

if TYPE_CHECKING:
    from dotterelpaddle.address import Address

SEPARATOR = "#"


def reporter_of(*, peer: Address, boot: int) -> RouterId:
    """Name the process with a boot number at an address."""
    return RouterId(f"{peer}{SEPARATOR}{boot:08x}")


def address_of(*, reporter: RouterId) -> str:
    """The address of a reporting process, empty for other names."""
    return reporter.rpartition(SEPARATOR)[0]


def boot_of(*, reporter: RouterId) -> int:
    """The boot number of a reporting process."""
    return int(reporter.rpartition(SEPARATOR)[2], 16)
