"""Whether a VM may be sent requests, and if not, why."""

import enum


class Readiness(enum.Enum):
    """Why the balancer may, or may not, send requests to a VM."""

    READY = 'ready'
    STOPPING = 'stopping'
    # Neither the log nor a peer has answered yet.
    LOG_UNREACHABLE = 'log_unreachable_and_no_peer_has_a_configuration'
    # The log answers, and holds no accepted revision.
    LOG_EMPTY = 'no_revision_was_published'
    # The log has trimmed the first revisions and holds no whole checkpoint.
    NO_CHECKPOINT = 'log_is_trimmed_and_holds_no_checkpoint'
    # Records that other VMs have taken in, or that the log holds, are missing.
    CATCHING_UP = 'catching_up_with_newer_revisions'
