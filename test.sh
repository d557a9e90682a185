#!/usr/bin/env bash
# Set up what the tests need, then check style, types and behaviour.
set -euo pipefail
cd "$(dirname "$0")"
. ./.ci/venv.sh
make_venv ".[dev]"
"$venv/bin/ruff" format --check .
"$venv/bin/ruff" check .
"$venv/bin/mypy"
if [ "$#" -gt 0 ]; then
    "$venv/bin/python" -m pytest "$@"
else
    # Idle workers take tests over from others, as some files take minutes.
    "$venv/bin/python" -m pytest -m "not processes" --numprocesses 6 --dist worksteal
    "$venv/bin/python" -m pytest -m processes
fi
bash ./.ci/smoke "$venv/bin/dotterelpaddle"
