# Makes the virtual environment that test.sh and demo.sh use.
#
# PYTHON names the interpreter, DOTTERELPADDLE_VENV the directory.

venv="${DOTTERELPADDLE_VENV:-.venv}"

make_venv() {
    local requirement="$1"
    if [ ! -x "$venv/bin/pip" ]; then
        find_python -m venv "$venv"
    fi
    "$venv/bin/python" -m pip install --quiet --disable-pip-version-check \
        --editable "$requirement"
}

find_python() {
    local candidate
    for candidate in "${PYTHON:-}" python3 python3.11 python3.12 python3.13; do
        if [ -n "$candidate" ] && "$candidate" -c \
            'import sys; sys.exit(sys.version_info < (3, 11))' 2>/dev/null; then
            "$candidate" "$@"
            return
        fi
    done
    echo "error: no Python of version 3.11 or newer; set PYTHON to one" >&2
    exit 2
}
