"""Commands around records that need no change of them."""

from __future__ import annotations

import sys

import anyio

from dotterelpaddle.catalog.tokens import account_of, new_token
from dotterelpaddle.commands.errors import ExitCode
from dotterelpaddle.commands.operator_access import (
    DEFAULT_ACCESS,
    OperatorAccess,
    reach,
)
from dotterelpaddle.commands.record_input import InputFile, read_input
from dotterelpaddle.exceptions import RecordError
from dotterelpaddle.ids import AccountId
from dotterelpaddle.records.codec import to_internal
from dotterelpaddle.records.parsing import parse_yaml
from dotterelpaddle.records.tokens import digest_token, new_salt


def check(file: InputFile, /) -> int:
    """Check each record of a file by itself, without asking a router.

    Whether the records fit those in force is checked by `apply --dry-run`.

    Args:
        file: YAML file with one or more records, or - for standard input.
    """
    source, text = read_input(file=file)
    envelopes = parse_yaml(text=text, source=source)
    for envelope in envelopes:
        to_internal(envelope=envelope)
    print(f"{source}: ok, {len(envelopes)} records")
    return ExitCode.OK


def attempt(name: str, /, *, access: OperatorAccess = DEFAULT_ACCESS) -> int:
    """Find out whether a change whose answer got lost was accepted.

    If it wasn't, this also makes sure that it never will be, so that it can
    safely be applied again. Exits with 0 if it was accepted and 1 if not.

    Args:
        name: The attempt's name, as the failed command printed it.
        access: Where the routers are.
    """

    async def _run() -> int:
        async with reach(access=access) as client:
            report = await client.find_attempt(attempt=name)
        if report.accepted:
            print(f"accepted as revision {report.revision}")
            return ExitCode.OK
        print("not accepted, and never will be; apply it again")
        return ExitCode.FAILED

    return anyio.run(_run)


def digest(account: str, /, *, salt: str = "", new: bool = False) -> int:
    """Digest a bearer token for an account record.

    Reads the token from standard input, so that it stands in no shell history,
    and prints the fields of an account record of schema version 2. A token reads
    ACCOUNT.SECRET: routers find the account by it.

    Args:
        account: Name of the client account.
        salt: The account's salt, for one more token of an account.
        new: Make up a token instead, and print it to standard error.
    """
    token = _new_token(account=account) if new else sys.stdin.readline().strip()
    if not token:
        raise RecordError("standard input has no token in its first line")
    if account_of(token=token) != account:
        raise RecordError(
            f"routers would not find '{account}' by this token; let it begin with"
            f" '{account}.', followed by a secret without a dot"
        )
    used = salt or new_salt()
    try:
        digested = digest_token(salt=used, token=token)
    except ValueError as error:
        raise RecordError(f"--salt: {error}; give hexadecimal digits") from error
    print(f"tokens:\n  salt: '{used}'\n  digests:\n  - '{digested}'")
    return ExitCode.OK


def _new_token(*, account: str) -> str:
    token = new_token(account=AccountId(account)).token
    print(f"token: {token}", file=sys.stderr)
    return token
