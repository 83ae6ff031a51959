"""Checks that names of the users' platform appear in its adapter only.

The stand-ins that speak its interface and their tests are the exceptions.
"""

import pathlib
import re
import sys

ADAPTER = pathlib.Path("src/platform")
NAMES = [
    "request-id", "deadline-ms", "last-event-id", "affinity-key", "token-usage",
    "prompt-prefix", "program-id", "session-id", "program-deadline-ms", "token-budget",
    "expect-instance", "request-urgency", "not-executed", "response-signature",
    "server-load", "server-limit", "instance-id", "retain_context", "readyz", "/v1/objects",
    "store_revision", "create_revision", "cold_remaining_ms", "route_type",
    "target_latency_ms", "kv_capacity_tokens", "stream_stride",
    "api_keys", "node_name", "listen.front", "listen.ready", "provider.",
    "heartbeat_ms=", "\"bounds.", "CHICORYARCH_SETTINGS", "tenant",
]
PATTERN = re.compile("|".join(re.escape(name) for name in NAMES), re.I)


def main():
    wrong = 0
    for path in sorted(pathlib.Path("src").rglob("*.rs")):
        if ADAPTER in path.parents:
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            found = PATTERN.search(line)
            if found:
                print(f"{path}:{number}: `{found.group()}` belongs to {ADAPTER}")
                wrong += 1
    return 1 if wrong else 0


sys.exit(main())
