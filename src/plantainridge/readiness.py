"""Readiness of a VM for requests."""

import enum


class Readiness(enum.Enum):
    """Whether the load balancer may send requests to a VM, or why not."""

    READY = 'ready'
    STOPPING = 'stopping'
    # Neither the log nor a peer has answered yet.
    LOG_UNREACHABLE = 'log_unreachable_and_no_peer_has_a_configuration'
    # The log answers but holds no accepted revision.
    LOG_EMPTY = 'no_revision_was_published'
    # The log has trimmed the first revisions and holds no complete checkpoint.
    NO_CHECKPOINT = 'log_is_trimmed_and_holds_no_checkpoint'
    # This VM lacks records that other VMs have applied or that the log holds.
    CATCHING_UP = 'catching_up_with_newer_revisions'
