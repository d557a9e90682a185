"""Names on the platform's wire, each with what it holds where it misleads."""

from __future__ import annotations


class Header:
    """Headers of requests and answers, in lower case."""

    # One attempt of a caller, not one of ours: a caller's retry has another one,
    # while the endpoints that we try get the same.
    REQUEST_ID = b"x-dotterelpaddle-attempt-id"
    # Milliseconds that are left, not a moment.
    TIME_LEFT_MS = b"x-dotterelpaddle-deadline-ms"
    KEY = b"x-api-key"
    ACCOUNT = b"x-dotterelpaddle-tenant"
    EXPECTED_ENDPOINT = b"x-dotterelpaddle-expect-runner"
    # Proof that an endpoint made the answer; callers check it, we do not.
    ORIGIN_PROOF = b"x-dotterelpaddle-runner-seal"
    NOT_EXECUTED = b"x-dotterelpaddle-not-executed"
    # Said of the start of the endpoint that answers, not of its service or address.
    LEAVING = b"server-leaving"
    # Beside a refusal: how long the endpoint wants nothing from this router at all,
    # not only when to send this request again.
    RETRY_AFTER = b"retry-after"
    MODEL = b"x-dotterelpaddle-model"
    PROMPT_PREFIX = b"x-dotterelpaddle-prompt-prefix"
    RANK = b"x-dotterelpaddle-request-priority"
    LAST_EVENT_ID = b"last-event-id"
    EXPECTED_VERSION = b"x-dotterelpaddle-expect-version"
    PIN_MS = b"x-dotterelpaddle-pin-ms"
    RESERVATION = b"x-dotterelpaddle-kv-hold"
    BACKUP = b"x-dotterelpaddle-kv-backup"
    MOVED_FROM = b"kv-from"
    FETCH_FROM = b"kv-fetch"


ROUTER_ONLY_HEADERS = frozenset(
    {
        Header.TIME_LEFT_MS,
        Header.KEY,
        Header.ACCOUNT,
        Header.EXPECTED_ENDPOINT,
        Header.RANK,
        Header.LAST_EVENT_ID,
        Header.EXPECTED_VERSION,
        Header.PIN_MS,
        Header.RESERVATION,
        Header.BACKUP,
        Header.MOVED_FROM,
        Header.FETCH_FROM,
    }
)
"""Headers that an endpoint gets from the router or not at all."""

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers that concern one connection only."""


class Table:
    """Tables of the store."""

    # Rows that the operator writes.
    OPERATOR = "op"
    # Rows that endpoints write, each under its own name.
    ENDPOINTS = "servers"


class Field:
    """Fields of what endpoints say of themselves, where their names mislead."""

    # When the process started, Unix milliseconds by the endpoint's own clock.
    STARTED_AT_MS = "born"
    # Version of the endpoint's software, not of its model's weights.
    SOFTWARE_VERSION = "version"
    # Grows when more of the row changes than this; heartbeats leave it.
    CHANGE_COUNT = "seq"
    # Milliseconds that it still bears few requests, after its start or later.
    COLD_LEFT_MS = "coldLeftMs"
    # Of a route or client account: regions in which its requests may run.
    ALLOWED_REGIONS = "allowedRegions"
    # Of a service: seconds that an endpoint is cold after its start.
    COLD_SECONDS = "coldS"
    # Of a service: requests a second that a cold endpoint bears.
    COLD_REQUESTS_PER_SECOND = "coldPerS"


CONFIGURATION_KEY = "config"
"""Key of the row in the operator's table that holds the whole configuration."""

EVACUATION_KEY_PREFIX = "evacuate/"
"""Begins the key of a row in the operator's table that asks for the evacuation of the
failure domain which the rest of the key names, as long as the row exists."""


class CallPath:
    """Paths of calls to the store and to engines."""

    READ = "/-/rows-get"
    WATCH = "/-/rows-feed"
    CACHE_LIST = "/-/kv-list"
