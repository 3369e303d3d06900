"""Which run of an endpoint is at the other end of a connection.

The load pattern: engines restart under their id and address, often with another
build, and write their entry seconds later; processes are killed while streams
run. The registry then shows a run that has ended. A connection ends with the
process that accepted it, so that what is stated on it holds for its life.

Nothing here does input or output.
"""

import enum

import attrs


class RunMatch(enum.Enum):
    """How the run of a connection compares with the run that was chosen."""

    SAME = 'it is the run that was chosen'
    OTHER = 'it is another run'
    NOT_STATED = 'the endpoint does not state its runs'
    UNKNOWN = 'the endpoint was not asked'


@attrs.frozen
class StatedRun:
    """An endpoint's answer to the question which of its runs it is.

    Attributes:
        is_valid: Whether it answers that question.
        started_ms: Unix time of the run's start, in ms; 0 if not stated.
    """

    is_valid: bool
    started_ms: int = 0


def compare(stated_ms: int | None, chosen_ms: int) -> RunMatch:
    """Compare the run of a connection with the run that was chosen.

    Args:
        stated_ms: Start that was stated on the connection, as Unix time in ms;
            0 if the endpoint does not state it, None if it was not asked.
        chosen_ms: Start in the entry of the run that was chosen, in ms.
    """
    if stated_ms is None:
        return RunMatch.UNKNOWN
    if not stated_ms:
        return RunMatch.NOT_STATED
    return RunMatch.SAME if stated_ms == chosen_ms else RunMatch.OTHER


def may_continue(answer: StatedRun | None, chosen_ms: int,
                 is_run_known: bool) -> bool:
    """Return whether the run that sent a stream may not have ended.

    A process that is killed closes its connections like one that has sent
    everything.

    Args:
        answer: What the endpoint states after the stream; None if it does not
            answer.
        chosen_ms: Start in the entry of the run that was chosen, in ms.
        is_run_known: Whether the stream surely came from that run. Otherwise
            any run that answers may have sent it.
    """
    if answer is None or not is_run_known:
        return answer is not None
    return (answer.is_valid and
            compare(answer.started_ms, chosen_ms) is RunMatch.SAME)
