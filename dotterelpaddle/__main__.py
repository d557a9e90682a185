"""The command line."""

from __future__ import annotations

import sys

from cyclopts import App, Parameter

from dotterelpaddle import __version__
from dotterelpaddle.commands.config import config_app
from dotterelpaddle.commands.demo import demo_command
from dotterelpaddle.commands.errors import report_errors
from dotterelpaddle.commands.explain import explain_command
from dotterelpaddle.commands.load import load_command
from dotterelpaddle.commands.record import record_app
from dotterelpaddle.commands.router import router_command
from dotterelpaddle.commands.scenario import scenario_app
from dotterelpaddle.commands.standin import standin_app
from dotterelpaddle.commands.status import status_command
from dotterelpaddle.commands.trace import trace_command

app = App(
    name="dotterelpaddle",
    help="A router fleet for very many returning chats.",
    version=__version__,
    help_format="plaintext",
    exit_on_error=False,
    default_parameter=Parameter(negative=()),
)
app.command(router_command, name="router")
app.command(record_app)
app.command(status_command, name="status")
app.command(explain_command, name="explain")
app.command(trace_command, name="trace")
app.command(config_app)
app.command(demo_command, name="demo")
app.command(load_command, name="load")
app.command(scenario_app)
app.command(standin_app)


def main() -> None:
    """Run the command that the command line names."""
    with report_errors():
        app(sys.argv[1:])


if __name__ == "__main__":
    main()
