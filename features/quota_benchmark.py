"""Measures the processor time of grants: `python -m features.quota_benchmark`.

A request has `CANDIDATES` targets; messages have several requests, as from a gateway with so many
requests waiting. Connections and system calls are not included.
"""

import random
import time

from chiveswitch.core import quota
from chiveswitch.peers import hub, strict
from chiveswitch.tools import node_limits

CANDIDATES = 8
ACCOUNTS = 200
MESSAGES = 500


def measure(batch: int) -> float:
    """Returns the microseconds of processor time for each request in messages of a size."""
    rng = random.Random(1)
    issuer = quota.QuotaIssuer(rng)
    payloads = []
    for _ in range(MESSAGES):
        requests = []
        for _ in range(batch):
            targets = {f"i-{rng.randrange(100):010d}": 2.5 for _ in range(CANDIDATES)}
            requests.append(
                quota.QuotaRequest(targets, f"account-{rng.randrange(ACCOUNTS)}", 1, 0.1)
            )
        payloads.append(node_limits.encode_requests("service", requests))
    started = time.process_time()
    for number, payload in enumerate(payloads):
        message = strict.decode(hub.hub_thrift.QuotaRequests, payload).ok
        issued = []
        for request in node_limits.decode_requests(message):
            issued.append(issuer.request("service", request, 100.0 + number / 100))
        node_limits.encode_grants(issued)
    return (time.process_time() - started) / (MESSAGES * batch) * 1e6


def main():
    """Prints a line for each size of message."""
    for batch in (1, 8, 64):
        print(f"{batch} requests a message: {measure(batch):.0f} us each")


if __name__ == "__main__":
    main()
