"""Tests of the order in which waiting prompts get an engine's memory."""

import heapq
import itertools
import random
import unittest
from collections.abc import Iterator
from typing import Any, Final

import attrs

from plantainridge.gateway import capacity_queue
from plantainridge.gateway.capacity_queue import (CapacityQueue, DecayingSum,
                                                  Offer, QueuedRequest)
from plantainridge.gateway.grants import key_of
from plantainridge.gateway.peer_messages import PlacementRequest
from plantainridge.ids import (EndpointId, Incarnation, ModelId, ServiceId,
                               TeamId, VmId)

NOW: Final = 100.0
ENGINES: Final = tuple(map(EndpointId, ('e1', 'e2', 'e3')))


def queued(number: int, waited_s: float = 0.1, **overrides: Any) -> Any:
    """Return a request that waits."""
    context = overrides.pop('context', f'c{number}')
    now = overrides.pop('now', NOW)
    fields: dict[str, Any] = {
        'team': TeamId('team'),
        'memory_tokens': 10_000,
        'urgency': 0,
        'target_s': 1.0
    } | overrides
    message = PlacementRequest(vm=VmId('vm'),
                               incarnation=Incarnation('life'),
                               number=number,
                               service=ServiceId('s'),
                               model=ModelId('m'),
                               is_isolated=False,
                               parts=(),
                               prompt_tokens=0,
                               waited_s=waited_s,
                               remaining_s=10.0,
                               **fields)
    return QueuedRequest(message, context, now - waited_s, now, now)


def queue_of(*requests: QueuedRequest) -> CapacityQueue:
    """Return a queue of some requests."""
    made = CapacityQueue()
    for each in requests:
        made.add(each, NOW)
    return made


def numbers(requests: list[QueuedRequest]) -> list[int]:
    """Return the numbers of requests."""
    return [each.message.number for each in requests]


class OrderTest(unittest.TestCase):
    """Each criterion decides among those equal in all earlier ones."""

    def test_criteria(self) -> None:
        made = queue_of(queued(1, 0.9, urgency=1), queued(2, 1.5),
                        queued(3, 0.8, context='served'),
                        queued(4, 0.7, team=TeamId('rich')), queued(5, 0.1),
                        queued(6, 0.2))
        made.served_contexts['served'] = None
        made.shares[TeamId('rich')].served.add(8_000, NOW)
        self.assertEqual(numbers(made.ordered(NOW)), [6, 5, 4, 3, 2, 1])

    def test_team_whose_smaller_share_was_served_goes_first(self) -> None:
        # By amounts alone, a large team would get less than a quarter of the
        # level of the others.
        made = CapacityQueue()
        for number in range(10):
            request = queued(number, team=TeamId('large'))
            made.add(request, NOW)
            if number < 5:
                made.record_grant(request, NOW)
        small = queued(11, 0.5, team=TeamId('small'))
        made.add(small, NOW)
        made.record_grant(small, NOW)
        made.add(queued(12, 0.5, team=TeamId('small')), NOW)
        self.assertEqual(numbers(made.ordered(NOW))[-1], 9)
        made.record_grant(made.entries[key_of(queued(12).message)], NOW)
        made.add(queued(13, 0.5, team=TeamId('small')), NOW)
        self.assertEqual(numbers(made.ordered(NOW))[-1], 13)


class ChoiceTest(unittest.TestCase):
    """Memory goes out in order, and the largest requests find some."""

    def _grants(self, made: CapacityQueue, free: dict[EndpointId,
                                                      int]) -> list[int]:

        def offer(request: QueuedRequest,
                  reserved: set[EndpointId]) -> Offer | None:
            names = [name for name in free if name not in reserved]
            if not names:
                return None
            best = max(names, key=lambda name: free[name])
            return Offer(best, free[best] >= request.message.memory_tokens)

        granted = []
        for request, endpoint in made.choose(offer, NOW):
            free[endpoint] -= request.message.memory_tokens
            made.record_grant(request, NOW)
            granted.append(request.message.number)
        return granted

    def test_all_that_fit_are_granted_at_once(self) -> None:
        made = queue_of(*(queued(number) for number in range(5)))
        free = dict.fromkeys(ENGINES, 15_000)
        self.assertEqual(self._grants(made, free), [0, 1, 2])
        self.assertEqual(len(made.entries), 2)

    def test_smaller_ones_do_not_take_what_a_large_one_waits_for(self) -> None:
        made = queue_of(queued(1, 0.5, memory_tokens=30_000),
                        queued(2, 0.4, memory_tokens=5_000),
                        queued(3, 0.3, memory_tokens=5_000))
        free = {ENGINES[0]: 20_000, ENGINES[1]: 6_000, ENGINES[2]: 0}
        self.assertEqual(self._grants(made, free), [2])
        self.assertEqual(free[ENGINES[0]], 20_000)

    def test_request_without_any_engine_does_not_hold_up_others(self) -> None:
        made = queue_of(queued(1, 0.5), queued(2, 0.4, memory_tokens=5_000))
        self.assertEqual(self._grants(made, {ENGINES[0]: 6_000}), [])
        self.assertEqual(
            self._grants(made, {
                ENGINES[0]: 6_000,
                ENGINES[1]: 6_000
            }), [2])


class RefusalTest(unittest.TestCase):
    """What memory will not be freed for in time is refused with the time."""

    def _queue(self, tokens_per_s: int, count: int) -> CapacityQueue:
        made = queue_of(*(queued(number, 0.0) for number in range(count)))
        for step in range(100):
            made.freed.add(tokens_per_s / 10, NOW - (99 - step) / 10)
        return made

    def test_refused_beyond_twice_the_target(self) -> None:
        refusals = self._queue(20_000, 7).refusals(NOW)
        self.assertEqual(numbers([each.request for each in refusals]), [5, 6])
        for each in refusals:
            self.assertAlmostEqual(each.retry_after_s, 2.5, delta=0.2)

    def test_unknown_rate_refuses_nobody(self) -> None:
        # After a pause nothing has been freed lately, as nothing ran.
        made = queue_of(*(queued(number, 0.0) for number in range(50)))
        self.assertFalse(made.refusals(NOW))
        made.freed.add(100.0, NOW - 60.0)
        self.assertFalse(made.refusals(NOW))

    def test_wait_is_over_after_twice_the_target(self) -> None:
        refusals = queue_of(queued(1, 2.0)).refusals(NOW)
        self.assertEqual(len(refusals), 1)

    def test_requests_that_are_not_repeated_are_dropped(self) -> None:
        made = queue_of(queued(1))
        made.drop_unrepeated(NOW + capacity_queue.REPEAT_TIMEOUT_S)
        self.assertTrue(made.entries)
        made.drop_unrepeated(NOW + capacity_queue.REPEAT_TIMEOUT_S + 0.01)
        self.assertFalse(made.entries)

    def test_rate_is_that_of_the_window(self) -> None:
        rate = DecayingSum(3.0)
        for step in range(200):
            rate.add(100.0, step / 10)
        self.assertAlmostEqual(rate.rate(19.9) or 0.0, 1_000.0, delta=50.0)
        self.assertIsNone(rate.rate(30.0))


@attrs.define
class _Play:
    """Requests for 1.3 times the memory that engines have, for 60 s.

    Attributes:
        outcomes: Urgency, team, size, and wait in s or None if refused.
    """

    outcomes: list[tuple[int, str, int,
                         float | None]] = attrs.field(factory=list)

    def run(self) -> None:
        """Play it, with three engines of 80,000 tokens and runs of 3 s."""
        rng = random.Random(3)
        made, now, number = CapacityQueue(), 0.0, 0
        free = dict.fromkeys(ENGINES, 80_000)
        ends: list[tuple[float, EndpointId, int]] = []
        rate = 1.3 * sum(free.values()) / 3.0 / 14_000
        for now in self._arrivals(rng, rate):
            while ends and ends[0][0] <= now:
                at, name, tokens = heapq.heappop(ends)
                free[name] += tokens
                made.freed.add(tokens, at)
                self._serve(made, free, ends, at)
            number += 1
            made.add(
                queued(number,
                       0.0,
                       now=now,
                       urgency=int(rng.random() < 0.5),
                       team=TeamId('small' if rng.random() < 0.1 else 'large'),
                       memory_tokens=round(12_000 *
                                           rng.lognormvariate(0.0, 0.5))), now)
            self._serve(made, free, ends, now)

    def _arrivals(self, rng: random.Random, rate: float) -> Iterator[float]:
        now = 0.0
        while now < 60.0:
            now += rng.expovariate(rate)
            yield now

    def _serve(self, made: CapacityQueue, free: dict[EndpointId, int],
               ends: list[tuple[float, EndpointId, int]], now: float) -> None:

        def offer(request: QueuedRequest,
                  reserved: set[EndpointId]) -> Offer | None:
            names = [name for name in free if name not in reserved]
            if not names:
                return None
            best = max(names, key=lambda name: free[name])
            return Offer(best, free[best] >= request.message.memory_tokens)

        for request, name in made.choose(offer, now):
            tokens = request.message.memory_tokens
            free[name] -= tokens
            heapq.heappush(ends, (now + 3.0, name, tokens))
            made.record_grant(request, now)
            self._record(request, now - request.arrived_at)
        for refusal in made.refusals(now):
            del made.entries[key_of(refusal.request.message)]
            self._record(refusal.request, None)

    def _record(self, request: QueuedRequest, wait_s: float | None) -> None:
        message = request.message
        self.outcomes.append(
            (message.urgency, message.team, message.memory_tokens, wait_s))


class FairnessTest(unittest.TestCase):
    """The rules of fairness hold while memory is asked for 1.3 times."""

    def test_rules(self) -> None:
        play = _Play()
        play.run()

        def level(chosen: list[tuple[int, str, int, float | None]]) -> float:
            return sum(each[3] is not None for each in chosen) / len(chosen)

        overall = level(play.outcomes)
        self.assertGreater(overall, 0.65)
        kinds = [[each
                  for each in play.outcomes
                  if each[0] == urgency]
                 for urgency in (0, 1)]
        self.assertGreater(level(kinds[0]), level(kinds[1]) - 0.05)
        for kind in kinds:
            kind.sort(key=lambda each: each[2])
            largest = kind[-len(kind) // 10:]
            self.assertGreaterEqual(level(largest), level(kind) / 2)
        for team in ('small', 'large'):
            of_team = [each for each in play.outcomes if each[1] == team]
            self.assertGreater(level(of_team), overall / 4)


class BacklogTest(unittest.TestCase):
    """A burst beyond the engines' throughput does not make all prompts late."""

    PREFILL_S: Final = 0.2
    TARGET_S: Final = 0.8

    def play(self, holds_back: bool) -> tuple[float, float]:
        """Return the shares that are timely and that are served.

        Prompts arrive at 1.3 times the throughput of one engine for 6 s, then
        at half of it for 10 s.
        """
        made, busy_until, now, number = CapacityQueue(), 0.0, 0.0, 0
        timely = served = 0
        rng = random.Random(5)
        next_arrival = 0.0
        while now < 16.0:
            now += 0.01
            if now >= next_arrival:
                number += 1
                made.add(queued(number, 0.0, now=now, target_s=self.TARGET_S),
                         now)
                load = 1.3 if now < 6.0 else 0.5
                next_arrival = now + rng.expovariate(load / self.PREFILL_S)
            backlog_s = max(0.0, busy_until - now)
            offered = Offer(ENGINES[0], True, backlog_s + self.PREFILL_S,
                            backlog_s if holds_back else 0.0)
            # One at a time, as the backlog changes with each.
            for request, _ in itertools.islice(
                    made.choose(lambda *_: offered, now), 1):
                busy_until = now + offered.first_event_s
                made.record_grant(request, now)
                served += 1
                timely += busy_until - request.arrived_at <= self.TARGET_S
            for refusal in made.refusals(now):
                del made.entries[key_of(refusal.request.message)]
        return timely / number, served / number

    def test_timely_ones_are_not_delayed_by_late_ones(self) -> None:
        timely_without, _ = self.play(holds_back=False)
        timely, served = self.play(holds_back=True)
        self.assertGreater(timely, 0.7)
        self.assertGreater(timely, timely_without + 0.2)
        self.assertGreater(served, 0.8)

    def test_only_late_ones_are_held_back(self) -> None:
        for first_event_s, backlog_s, waited_s, held_back in ((0.7, 0.5, 0.0,
                                                               False),
                                                              (0.9, 0.7, 0.0,
                                                               True),
                                                              (0.7, 0.5, 0.3,
                                                               True), (0.2, 0.0,
                                                                       2.0,
                                                                       False),
                                                              (0.3, 0.1, 2.0,
                                                               False),
                                                              (1.5, 0.0, 0.0,
                                                               False)):
            with self.subTest(first_event_s=first_event_s, waited_s=waited_s):
                offer = Offer(ENGINES[0], True, first_event_s, backlog_s)
                self.assertIs(
                    capacity_queue.makes_others_late(offer, waited_s, 0.8),
                    held_back)


if __name__ == '__main__':
    unittest.main()
