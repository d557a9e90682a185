"""Names in the platform's wire formats, with comments on misleading ones."""

from __future__ import annotations


class Header:
    """Headers of requests and answers, in lower case."""

    # Identifies one attempt of the caller. A retry by the caller has a new id; all
    # attempts of the router for one request have the same id.
    REQUEST_ID = b"x-dotterelpaddle-attempt-id"
    # Remaining milliseconds, not a point in time.
    TIME_LEFT_MS = b"x-dotterelpaddle-deadline-ms"
    KEY = b"x-api-key"
    ACCOUNT = b"x-dotterelpaddle-tenant"
    EXPECTED_ENDPOINT = b"x-dotterelpaddle-expect-runner"
    # Proof that an endpoint made the answer. Callers verify it; routers only check
    # that it is present.
    ORIGIN_PROOF = b"x-dotterelpaddle-runner-seal"
    NOT_EXECUTED = b"x-dotterelpaddle-not-executed"
    # Refers to the incarnation that answers, not to its service or address.
    LEAVING = b"server-leaving"
    # In a refusal: how long this router must send no request at all to the endpoint,
    # not only when to retry this request.
    RETRY_AFTER = b"retry-after"
    REJECTION_LIMIT = b"server-brittle"
    # Running requests, waiting requests, slots, and optionally how long work takes now
    # on the host in percent of the usual time.
    LOAD = b"x-dotterelpaddle-runner-load"
    MODEL = b"x-dotterelpaddle-model"
    PROMPT_PREFIX = b"x-dotterelpaddle-prompt-prefix"
    # Tokens of the prompt and maximum tokens of the output, separated by a comma.
    TOKEN_COUNT = b"x-dotterelpaddle-token-count"
    PRIORITY = b"x-dotterelpaddle-request-priority"
    LAST_EVENT_ID = b"last-event-id"
    # From a caller that resumes a stream: the id of its attempt that brought the first
    # event, which is not the last attempt if it resumes the stream once more.
    RESUMES = b"resumes"
    EXPECTED_VERSION = b"x-dotterelpaddle-expect-version"
    PIN_MS = b"x-dotterelpaddle-pin-ms"
    RESERVATION = b"x-dotterelpaddle-kv-hold"
    BACKUP = b"x-dotterelpaddle-kv-backup"
    MOVED_FROM = b"kv-from"
    FETCH_FROM = b"kv-fetch"
    # In the store's answers: rises by one each time that the store comes back from a
    # copy without its last changes. Revisions of two eras have nothing in common.
    STORE_ERA = b"store-era"


ROUTER_ONLY_HEADERS = frozenset(
    {
        Header.TIME_LEFT_MS,
        Header.KEY,
        Header.ACCOUNT,
        Header.EXPECTED_ENDPOINT,
        Header.PRIORITY,
        Header.LAST_EVENT_ID,
        Header.EXPECTED_VERSION,
        Header.PIN_MS,
        Header.RESERVATION,
        Header.BACKUP,
        Header.MOVED_FROM,
        Header.FETCH_FROM,
    }
)
"""Headers that the router never forwards from a caller; it sets some of them itself."""

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
"""Headers that apply to a single connection."""


class Table:
    """Tables of the store."""

    # Written by the operator.
    OPERATOR = "op"
    # Written by endpoints, one row each with the endpoint's name as key.
    ENDPOINTS = "servers"
    # Written and read by the routers.
    STREAMS = "streams"
    CRASHES = "crashes"
    ROUTERS = "routers"


class Field:
    """Fields of rows and of the store's answers, only those with misleading names."""

    # Of an answer: a steady clock of the store, in milliseconds; no time of day.
    NOW_MS = "nowMs"
    # Start of the process, Unix milliseconds of the endpoint's clock.
    STARTED_AT_MS = "born"
    # Of a cache list: changes with each start of the engine.
    EPOCH = "epoch"
    # Version of the endpoint's software, not of its model weights.
    SOFTWARE_VERSION = "version"
    # Increases when another field of the row changes; heartbeats don't change it.
    CHANGE_COUNT = "seq"
    # Remaining milliseconds with reduced capacity, after the endpoint's start or later.
    COLD_LEFT_MS = "coldLeftMs"
    # Of a route or client account: regions where its requests may run.
    ALLOWED_REGIONS = "allowedRegions"
    # Of a service: seconds that an endpoint is cold after its start.
    COLD_SECONDS = "coldS"
    # Of a service: requests per second that a cold endpoint can handle.
    COLD_REQUESTS_PER_SECOND = "coldPerS"
    # Of a service: connections that an endpoint accepts from all routers together.
    MAX_CONNECTIONS = "maxConns"
    # Of a service's engines: tokens for which one of them has memory.
    ENGINE_TOKENS = "kvTokens"


CONFIGURATION_KEY = "config"
"""Key of the operator's row that holds the configuration."""

EVACUATION_KEY_PREFIX = "evacuate/"
"""Prefix of the keys of evacuation rows in the operator's table.

The rest of the key names the failure domain, which is evacuated as long as the row
exists.
"""


class CallPath:
    """Paths of requests to the store and to engines."""

    READ = "/-/rows-get"
    WATCH = "/-/rows-feed"
    WRITE = "/-/rows-tx"
    CACHE_LIST = "/-/kv-list"
