"""Tells scripts where a server listens."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

import orjson

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

    from dotterelpaddle.address import Address


def announce(
    *, name: str, addresses: Mapping[str, Address], ready_file: Path | None
) -> None:
    """Print where a server listens, and write it to a file.

    Args:
        name: What listens.
        addresses: Where it listens, by the settings' names of the interfaces.
        ready_file: A file to write, None for none. It appears at once with its
            whole content: one JSON object of addresses by interface.
    """
    texts = {interface: str(address) for interface, address in addresses.items()}
    listed = ", ".join(f"{interface} {text}" for interface, text in texts.items())
    print(f"{name} listens: {listed}", flush=True)
    if ready_file is None:
        return
    partial = ready_file.with_name(f"{ready_file.name}.partial")
    partial.write_bytes(orjson.dumps(texts) + b"\n")
    os.replace(partial, ready_file)  # noqa: PTH105
