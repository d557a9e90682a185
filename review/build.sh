#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: checks that this Python can compile them.
# They need the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for path in sorted(pathlib.Path().glob("*/*.py")):
    compile(path.read_text(), str(path), "exec")
CHECK
