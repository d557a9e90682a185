"""The commands about records."""

from __future__ import annotations

from cyclopts import App, Parameter

from dotterelpaddle.commands.operator_access import EXIT_CODES
from dotterelpaddle.commands.record_read import diff, get, history, list_records
from dotterelpaddle.commands.record_tools import attempt, check, digest
from dotterelpaddle.commands.record_write import apply, retire

record_app = App(
    name="record",
    help=f"Write, read and retire records.\n\n{EXIT_CODES}",
    default_parameter=Parameter(negative=()),
)
record_app.command(apply)
record_app.command(get)
record_app.command(list_records, name="list")
record_app.command(retire)
record_app.command(history)
record_app.command(diff)
record_app.command(check)
record_app.command(attempt)
record_app.command(digest)
