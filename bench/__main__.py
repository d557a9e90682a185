"""Run one measurement: ``python -m bench NAME``."""

from __future__ import annotations

import difflib
import importlib
import pkgutil
import sys

import bench

WRONG_USE = 2
"""Exit code for a missing or unknown name."""


def known_benches() -> tuple[str, ...]:
    """List the measurements of this package by name."""
    modules = pkgutil.iter_modules(bench.__path__)
    names = (module.name for module in modules if not module.ispkg)
    return tuple(sorted(name for name in names if not name.startswith("_")))


def main() -> int:
    """Run the measurement that the command line names."""
    arguments = sys.argv[1:]
    known = known_benches()
    if len(arguments) != 1 or arguments[0] not in known:
        _explain(arguments=arguments, known=known)
        return WRONG_USE
    importlib.import_module(f"bench.{arguments[0]}").main()
    return 0


def _explain(*, arguments: list[str], known: tuple[str, ...]) -> None:
    print("usage: python -m bench NAME", file=sys.stderr)
    for name in arguments[:1]:
        near = difflib.get_close_matches(name, known, n=1)
        hint = f"; did you mean '{near[0]}'?" if near else ""
        print(f"no bench is called '{name}'{hint}", file=sys.stderr)
    print(f"known: {', '.join(known) or 'none'}", file=sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
