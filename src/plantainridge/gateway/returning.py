"""Limit on what an engine gets that failed or restarted, until it serves again.

Made for an engine that returns while all others are full: every VM holds
requests that fit nowhere else, sees the engine empty, and learns of the other
VMs' sends only 0.25 to 0.5 s later. Seven VMs together sent it several times
what it could begin within the latency target. Until one of its answers has
arrived, a VM therefore sends at most its share of the engine's memory.
"""

from typing import Final

# Number of VMs that is assumed while it is not known.
ASSUMED_VM_COUNT: Final = 8


def may_send(sent_tokens: int, request_tokens: int, capacity_tokens: float,
             vm_count: int | None) -> bool:
    """Return whether a VM may send a request to an engine that returns.

    One request is always allowed: only an answer ends the limit.

    Args:
        sent_tokens: Memory of this VM's requests on the engine, in tokens.
        request_tokens: Memory of the request, in tokens.
        capacity_tokens: Memory of the engine that requests may fill, in tokens.
        vm_count: Number of VMs that may send to it; None if not known.
    """
    share = capacity_tokens / max(1, vm_count or ASSUMED_VM_COUNT)
    return not sent_tokens or sent_tokens + request_tokens <= share
