"""Attribution of endpoints' crashes to a prompt part or a request.

The suspects of a crash are the requests in flight on the endpoint and the parts
of their prompts except the last. The function is made for crashes on which most
suspects are sound: a batch of runs breaks at once, popular parts are in flight
at every crash, and retries of sound requests follow the crashing one from
endpoint to endpoint. A suspect is cleared of all crashes so far once a request
with it is answered, so sound parts rarely collect several crashes.
"""

import math
from collections import Counter
from collections.abc import Iterator, Sequence
from collections.abc import Set as AbstractSet
from typing import Final, NewType

import attrs

from plantainridge.ids import EndpointId

# Name of a prompt part or a request that may crash endpoints.
Suspect = NewType('Suspect', str)

# Crashes after which a part is a culprit, if no other suspect explains them.
MIN_PART_CRASHES: Final = 3
# Crashes after which one of several parts that were in flight at the same
# crashes is a culprit, unless the others only stand before it in its prompts.
MIN_TIED_CRASHES: Final = 5
# Crashes after which a request is a culprit.
MIN_REQUEST_CRASHES: Final = 3
# The same if nothing else was in flight.
MIN_LONE_REQUEST_CRASHES: Final = 2
# Time after the last crash needed until a part is a culprit, in s: requests
# with a sound part are answered meanwhile.
SETTLE_S: Final = 1.0
# Answers to other requests needed since. While none is given, the absence of an
# answer to requests with the part shows nothing.
MIN_ANSWERS: Final = 3
# Share of the crashes since its first one that a part has to explain.
MIN_CRASH_RATIO: Final = 0.4
# Time within which crashes of several endpoints count as one, in s.
MOMENT_S: Final = 0.05
# Time within which other VMs report their requests in flight at a crash, in s.
REPORT_DELAY_S: Final = 0.4
# Error of times that other VMs report, in s.
TIME_ERROR_S: Final = 0.1


@attrs.define
class Crash:
    """One crash of an endpoint.

    Attributes:
        at: Loop time at which it was noticed, in s.
        answers: Number of answers that the VM had received by then.
        sent_at: Suspects that are not cleared, each with the loop time of its
            latest broken send, in s.
        parts_of: Parts of each request in flight, in order.
    """

    endpoint: EndpointId
    at: float
    answers: int
    sent_at: dict[Suspect, float] = attrs.field(factory=dict)
    parts_of: dict[Suspect, tuple[Suspect, ...]] = attrs.field(factory=dict)


@attrs.frozen
class Culprit:
    """A suspect to which crashes are attributed."""

    suspect: Suspect
    crashes: tuple[Crash, ...]


def part_suspect(part: str) -> Suspect:
    """Return the suspect that stands for a prompt part."""
    return Suspect(f'part/{part}')


def request_suspect(fingerprint: str) -> Suspect:
    """Return the suspect that stands for a request and its resends."""
    return Suspect(f'request/{fingerprint}')


def find_culprits(crashes: Sequence[Crash], known: AbstractSet[Suspect],
                  answers: int, now: float) -> list[Culprit]:
    """Return the suspects to which crashes are attributed.

    Args:
        crashes: The recent crashes.
        known: Culprits found before; what they explain counts against no other
            suspect.
        answers: Number of answers that the VM has received.
        now: Loop time in s.
    """
    found: list[Culprit] = []
    while True:
        excluded = {*known, *(each.suspect for each in found)}
        culprit = _find_culprit(crashes, excluded, answers, now)
        if culprit is None:
            return found
        found.append(culprit)


def _find_culprit(crashes: Sequence[Crash], known: AbstractSet[Suspect],
                  answers: int, now: float) -> Culprit | None:
    """Return the culprit of most crashes, the most specific among equals."""
    ordered = sorted(crashes, key=lambda crash: crash.at)
    counts: Counter[Suspect] = Counter()
    depths: dict[Suspect, float] = {}
    for crash in ordered:
        counts.update(crash.sent_at.keys())
        for request, parts in crash.parts_of.items():
            depths[request] = math.inf
            depths.update((part, at) for at, part in enumerate(parts))
    candidates: list[tuple[int, float, Culprit]] = []
    for suspect, count in counts.items():
        if count < MIN_LONE_REQUEST_CRASHES or suspect in known:
            continue
        crashed = tuple(_independent_crashes(suspect, ordered, known))
        candidates.append(
            (len(crashed), depths.get(suspect, 0.0), Culprit(suspect, crashed)))
    candidates.sort(key=lambda each: each[:2], reverse=True)
    for _, depth, culprit in candidates:
        if depth == math.inf:
            is_culprit = _is_request_culprit(culprit, now)
        else:
            is_culprit = (_is_part_culprit(culprit, known, answers, now) and
                          len(culprit.crashes) >= MIN_CRASH_RATIO *
                          _count_moments(ordered, known, culprit.crashes[0].at))
        if is_culprit:
            return culprit
    return None


def _independent_crashes(suspect: Suspect, ordered: Sequence[Crash],
                         known: AbstractSet[Suspect]) -> Iterator[Crash]:
    """Yield crashes that count against a suspect.

    Each broke a send from after the one before, so that endpoints that are
    killed together count once.
    """
    counted_at = -math.inf
    is_request = any(suspect in crash.parts_of for crash in ordered)
    spacing_s = 0.0 if is_request else MOMENT_S
    for crash in ordered:
        sent_at = crash.sent_at.get(suspect)
        if (sent_at is not None and crash.at >= counted_at + spacing_s and
                sent_at >= counted_at - TIME_ERROR_S and
                not _is_explained(crash, suspect, known)):
            counted_at = crash.at
            yield crash


def _count_moments(ordered: Sequence[Crash], known: AbstractSet[Suspect],
                   start: float) -> int:
    """Return the number of moments with unexplained crashes from a time on."""
    count, counted_at = 0, -math.inf
    for crash in ordered:
        if (crash.at >= max(start, counted_at + MOMENT_S) and
                known.isdisjoint(crash.sent_at)):
            count += 1
            counted_at = crash.at
    return count


def _is_explained(crash: Crash, suspect: Suspect,
                  known: AbstractSet[Suspect]) -> bool:
    """Return whether known culprits explain a crash without a suspect.

    A request that is a known culprit may be one because of its parts.
    """
    return any(each in known and suspect not in crash.parts_of.get(each, ())
               for each in crash.sent_at)


def _rivals(culprit: Culprit) -> list[Suspect]:
    """Return the other suspects that were in flight at the same crashes."""
    first, *others = culprit.crashes
    return [
        each for each in first.sent_at if each != culprit.suspect and all(
            each in crash.sent_at for crash in others)
    ]


def _is_before(part: Suspect, culprit: Culprit) -> bool:
    """Return whether a part stands before the culprit in all its prompts."""
    return all(part in parts[:parts.index(culprit.suspect)]
               for crash in culprit.crashes
               for parts in crash.parts_of.values()
               if culprit.suspect in parts)


def _is_request_culprit(culprit: Culprit, now: float) -> bool:
    """Return whether a request crashed endpoints, by itself or by its parts."""
    crashes, request = culprit.crashes, culprit.suspect
    is_alone = all(len(crash.parts_of) == 1 for crash in crashes)
    if len(crashes) < MIN_REQUEST_CRASHES:
        if not is_alone or len(crashes) < MIN_LONE_REQUEST_CRASHES:
            return False
    elif now - crashes[-1].at < REPORT_DELAY_S:
        return False
    own_parts = crashes[0].parts_of.get(request, ())
    return all(each in own_parts for each in _rivals(culprit))


def _is_part_culprit(culprit: Culprit, known: AbstractSet[Suspect],
                     answers: int, now: float) -> bool:
    """Return whether neither a rival nor chance explains a part's crashes."""
    crashes = culprit.crashes
    reported = attrs.evolve(
        culprit,
        crashes=tuple(
            crash for crash in crashes if now - crash.at >= REPORT_DELAY_S))
    if len(reported.crashes) < MIN_PART_CRASHES:
        return False
    # A crash that is reported in part would rule out rivals that broke too.
    rivals = _rivals(reported)
    if not known.isdisjoint(rivals):
        return False
    is_tied = any(not _is_before(each, culprit) for each in rivals)
    needed = MIN_TIED_CRASHES if is_tied else MIN_PART_CRASHES
    if len(crashes) < needed:
        return False
    decisive = crashes[needed - 1]
    is_settled = len(crashes) > needed or now - decisive.at >= SETTLE_S
    return is_settled and answers - decisive.answers >= MIN_ANSWERS
