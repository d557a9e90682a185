#!/usr/bin/env bash
# Set up a virtual environment and run the demo; options are passed on to it.
set -euo pipefail
cd "$(dirname "$0")"
. ./.ci/venv.sh
make_venv "."
exec "$venv/bin/dotterelpaddle" demo "$@"
