"""Names on the platform's wire."""

from typing import Final

# --- Headers of requests and answers, in lower case ---

# Id of one attempt of a caller.
ATTEMPT_ID: Final = b'x-attempt-id'
# Time that the sender still waits for the answer, in ms.
DEADLINE: Final = b'x-deadline-milliseconds'
MODEL: Final = b'x-model'
# Prompt tokens and the limit of output tokens: PROMPT,OUTPUT.
TOKEN_USAGE: Final = b'x-token-usage'
# Parts of the prompt: ID:TOKENS, separated by commas.
PROMPT_PREFIX: Final = b'x-prompt-prefix'
LAST_EVENT_ID: Final = b'last-event-id'
# Id of the attempt that brought the first event of a stream that is resumed.
RESUMES: Final = b'resumes'
# The caller's estimate of the output length, in tokens.
LENGTH_HINT: Final = b'x-length-hint'
AUTHORIZATION: Final = b'authorization'
# The endpoint's signature of its answer.
SIGNATURE: Final = b'x-response-seal'
TEAM: Final = b'x-tenant'
EXPECTED_INSTANCE: Final = b'x-expected-instance'
EXPECTED_VERSION: Final = b'x-expected-version'
INSTANCE: Final = b'x-instance-id'
# Load of an endpoint: RUNNING,WAITING,SLOTS, and of some services a fourth
# number: how long work takes at the moment, where 100 is usual.
LOAD: Final = b'x-server-load'
NOT_RUN: Final = b'x-not-executed'
# In answers a single weight version, despite the plural.
WEIGHT_VERSION: Final = b'x-weight-versions'
URGENCY: Final = b'x-request-urgency'
CACHE_SALT: Final = b'x-cache-salt'
CACHE_FETCH: Final = b'x-cache-fetch-from'
CACHE_SAVE: Final = b'x-cache-save-to'
CACHE_UNTIL: Final = b'x-cache-until'
CACHE_BACKUP: Final = b'x-cache-backup'
PIN: Final = b'x-pin-milliseconds'
HOLD: Final = b'x-hold'
MOVED_FROM: Final = b'kv-from'
# Longest time that a store may hold a poll open, in ms.
WAIT_MS: Final = b'wait-ms'
RETRY_AFTER: Final = b'retry-after'
# '1' in all answers of an endpoint that is leaving.
LEAVING: Final = b'server-leaving'
# Time for which an endpoint remains cold, in ms.
COLD_REMAINING: Final = b'x-cold-milliseconds'
# Rejections for want of room in one second that an endpoint survives.
BRITTLE: Final = b'server-brittle'
# Requests a second that an endpoint in need takes from all VMs together.
STATED_RATE: Final = b'server-limit'

# Set by the gateway alone; those of callers are dropped.
SYSTEM_HEADERS: Final = frozenset({
    TEAM, EXPECTED_INSTANCE, EXPECTED_VERSION, URGENCY, CACHE_SALT, CACHE_FETCH,
    CACHE_SAVE, CACHE_UNTIL, CACHE_BACKUP, PIN, HOLD, MOVED_FROM, LEAVING
})
# Not forwarded: the gateway rewrites or removes them for each send.
REWRITTEN_HEADERS: Final = frozenset(
    {DEADLINE, AUTHORIZATION, LAST_EVENT_ID, b'content-length', b'expect'})
# Hop-by-hop headers.
CONNECTION_HEADERS: Final = frozenset({
    b'connection', b'keep-alive', b'proxy-connection', b'proxy-authenticate',
    b'proxy-authorization', b'te', b'trailer', b'transfer-encoding', b'upgrade'
})
# Headers of endpoints' answers that callers don't get.
INTERNAL_ANSWER_HEADERS: Final = frozenset({
    LOAD, INSTANCE, NOT_RUN, COLD_REMAINING, BRITTLE, STATED_RATE,
    b'content-length'
})

# --- The metadata store ---

# In all its answers; rises each time it returns from an older copy.
STORE_ERA: Final = b'store-era'

OPERATOR_TOPIC: Final = 'keyed.op'
REGISTRY_TOPIC: Final = 'keyed.servers'
LOG_NEWEST: Final = '/log-newest'
LOG_READ: Final = '/log-read'
LOG_APPEND: Final = '/log-append'
# Topics that the gateway writes.
VMS_TOPIC: Final = 'keyed.vms'
LEASE_TOPIC: Final = 'keyed.lease'
BUILDS_TOPIC: Final = 'keyed.builds'
BUILDS_KEY: Final = 'builds'
SUSPECTS_TOPIC: Final = 'keyed.suspects'
SUSPECTS_KEY: Final = 'suspects'
LEASE_KEY: Final = 'orders'
CONFIGURATION_KEY: Final = 'config'
VERSION_KEY_PREFIX: Final = 'version/'
# Followed by the name of a data centre.
EVACUATION_KEY_PREFIX: Final = 'evacuate/'

# --- Values of fields ---

KIND_IDEMPOTENT: Final = 'safe'
KIND_ONCE: Final = 'unsafe'
KIND_STREAM: Final = 'streaming'
STATE_READY: Final = 'ready'
STATE_DRAINING: Final = 'draining'
# In the settings' list of contracts: memory of engines and VMs is contended.
CONTRACT_PRESSURE: Final = 'pressure'
