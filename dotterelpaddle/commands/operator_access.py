"""How commands reach a router's operator interface."""

from __future__ import annotations

import getpass
import os
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

from cyclopts import Parameter

from dotterelpaddle.exceptions import SettingsError
from dotterelpaddle.operator.client import OperatorClient, open_operator

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ROUTER_VARIABLE = "DOTTERELPADDLE_OPERATOR_URL"
TOKEN_VARIABLE = "DOTTERELPADDLE_OPERATOR_TOKEN"  # noqa: S105

EXIT_CODES = """\
Exit codes:
0: done.
1: refused, as it doesn't fit the other records, or there is no such record.
2: wrong use, a malformed record, or a wrong token.
3: router or platform can't be reached; nothing was accepted.
4: another operator was first; nothing was accepted.
5: it may or may not have been accepted; `record attempt` finds out.
6: accepted, but not (or not known to be) in force on each router that can be
heard from."""


@Parameter(name="*")
@dataclass(frozen=True, kw_only=True)
class OperatorAccess:
    """Where the routers are, and the token that they ask for.

    Attributes:
        router: Operator address of a router, http://IP:PORT. Give it again for
            others that are asked if the first can't be reached.
        token_file: File with the operator token.
        token_env: Variable of the environment with the operator token.
        operator: Your name, for the history of records.
        timeout: Seconds for an answer.
    """

    router: Annotated[
        tuple[str, ...], Parameter(env_var=ROUTER_VARIABLE, negative=())
    ] = ("http://127.0.0.1:8081",)
    token_file: Path | None = None
    token_env: str = TOKEN_VARIABLE
    operator: str = ""
    timeout: float = 30.0


DEFAULT_ACCESS = OperatorAccess()
"""What commands use where no option says otherwise."""


@asynccontextmanager
async def reach(*, access: OperatorAccess) -> AsyncIterator[OperatorClient]:
    """Open a client as the options say.

    Raises:
        SettingsError: If there is no token.
    """
    async with open_operator(
        routers=access.router,
        token=_read_token(access=access),
        timeout=access.timeout,
        operator=access.operator or _user_name(),
    ) as client:
        yield client


def _read_token(*, access: OperatorAccess) -> str:
    if access.token_file is not None:
        token = _read_token_file(path=access.token_file)
    else:
        token = os.environ.get(access.token_env, "").strip()
        if not token:
            raise SettingsError(
                f"there is no operator token: set {access.token_env}, or give"
                " --token-file FILE or --token-env NAME"
            )
    if not token.isprintable() or not token.isascii():
        raise SettingsError("the operator token has characters that HTTP can't carry")
    return token


def _read_token_file(*, path: Path) -> str:
    try:
        token = path.read_text().strip()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"--token-file {path}: {error}") from error
    if not token:
        raise SettingsError(f"--token-file {path}: the file is empty")
    return token


def _user_name() -> str:
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return ""
