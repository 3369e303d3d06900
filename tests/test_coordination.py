"""Tests of the coordinated placement of large prompts."""

import statistics
import unittest
from collections.abc import Sequence
from typing import Any, Final
from unittest import mock

import attrs

from plantainridge.gateway import effects as fx
from plantainridge.gateway import (coordination, peer_messages,
                                   placement_requests, reducer, relays)
from plantainridge.gateway import events as ev
from plantainridge.gateway.config import RequestKind, Team
from plantainridge.gateway.coordination import (PlacementAnswered,
                                                PlacementRequested, RunReported)
from plantainridge.gateway.endpoints import EndpointLoad
from plantainridge.gateway.events import Part, View, VmEntry
from plantainridge.gateway.hints import HintReceived, LoadTotalsReceived
from plantainridge.gateway.peer_messages import (Hint, LoadTotals, OwnLoad,
                                                 PeerMessage, PlacementAnswer,
                                                 PlacementRequest, RunReport)
from plantainridge.gateway.process import Gateway
from plantainridge.ids import (DcId, EndpointId, Incarnation, RequestId,
                               ServiceId, TeamId, VmId)
from plantainridge.loop import effects as base
from plantainridge.loop.events import PeerMessageReceived, TimerFired
from tests.gateway_scene import (ENGINES, LOCAL_DC, MODEL, GatewayScene,
                                 configuration, endpoint, head, route)
from tests.load_fleet import REPORT, Kind, LoadFleet, Outcome

OTHER: Final = VmId('vm2')
LIFE: Final = Incarnation('life')
ENGINE_NAMES: Final = tuple(map(EndpointId, ('e1', 'e2', 'e3')))
DCS: Final = (DcId('a'), DcId('b'), DcId('c'))
PARTS: Final = (Part('shared', 9_000), Part('own', 3_000))


def scene(vm: str = 'vm1', vms: int = 13, **overrides: Any) -> GatewayScene:
    """Return a VM beside others, of which `vm2` reports and coordinates."""
    made = GatewayScene(*map(endpoint, ENGINE_NAMES), vm=vm)
    fields = {'has_memory_pressure': True, 'link_mbps': 1.0} | overrides
    made.state.settings = attrs.evolve(made.state.settings, **fields)
    made.read(
        View.VMS,
        *(VmEntry(VmId(f'vm{number}'), LOCAL_DC, f'vm{number}:1',
                  1e9 if number == 2 else 1.0) for number in range(1, vms + 1)))
    if vm != OTHER:
        made.post(HintReceived(Hint(OTHER, LIFE, 1, {})))
    made.tick()
    show_coordinator(made, OTHER)
    return made


def show_coordinator(made: GatewayScene, vm: VmId | None) -> None:
    """Let a VM receive totals that name a coordinator, or none."""
    number = len(made.done) + 1
    made.post(
        LoadTotalsReceived(
            LoadTotals(OTHER, LIFE, number, {}, False, {LOCAL_DC: {}},
                       {LOCAL_DC: vm} if vm else {})))


def post_large(made: GatewayScene, name: str = 'r1', **overrides: Any) -> None:
    """Post a request with a large prompt."""
    made.post_request('/report/x',
                      name,
                      parts=PARTS,
                      prompt_tokens=12_000,
                      body=name.encode(),
                      **overrides)


def messages(made: GatewayScene, kind: type[Any]) -> list[Any]:
    """Return the messages of a type that a VM sent to others."""
    decoded = (
        peer_messages.decode(each.payload) for each in made.all(base.SendPeer))
    return [each for each in decoded if isinstance(each, kind)]


def answer(number: int = 1, **overrides: Any) -> PlacementAnswered:
    """Return an answer of the coordinator."""
    fields: dict[str, Any] = {'endpoint': EndpointId('e2')} | overrides
    return PlacementAnswered(
        PlacementAnswer(OTHER, Incarnation('c1'), LIFE, number, **fields))


class AskingTest(unittest.TestCase):
    """A large prompt waits for its coordinator, but not for long."""

    def setUp(self) -> None:
        self.scene = scene()

    def test_granted_engine_gets_the_prompt_and_its_run_is_reported(
            self) -> None:
        post_large(self.scene)
        self.assertFalse(self.scene.all(fx.Send))
        asked, = messages(self.scene, PlacementRequest)
        self.assertEqual((asked.prompt_tokens, asked.parts), (12_000, PARTS))
        self.scene.advance(0.002)
        self.scene.post(answer())
        sent = self.scene.last(fx.Send)
        self.assertEqual(sent.endpoint, 'e2')
        self.scene.post(ev.StreamStarted(sent.attempt, head()))
        self.scene.post(ev.StreamEventsReceived(sent.attempt, b'.', '1', '1'))
        self.scene.post(ev.StreamEnded(sent.attempt))
        # The reports are repeated once, as a lost one would leave the engine
        # looking loaded.
        self.scene.advance(0.2)
        reports = messages(self.scene, RunReport)
        self.assertEqual([each.has_ended for each in reports],
                         [False, True, False, True])

    def test_end_is_reported_however_a_run_ends(self) -> None:
        for case in ('failed', 'left', 'deadline'):
            with self.subTest(case):
                made = scene()
                post_large(made)
                made.post(answer())
                sent = made.last(fx.Send)
                if case == 'failed':
                    made.post(ev.SendFailed(sent.attempt, ev.Failure.BROKEN))
                elif case == 'left':
                    made.post(ev.CallerLeft(sent.request.id))
                else:
                    made.advance(11.0)
                self.assertTrue(messages(made, RunReport)[0].has_ended)
                self.assertFalse(made.state.coordination.grants)

    def test_silent_coordinator_delays_a_prompt_by_the_fallback_time(
            self) -> None:
        post_large(self.scene)
        self.scene.advance(placement_requests.FALLBACK_S - 0.001)
        self.assertFalse(self.scene.all(fx.Send))
        asked = messages(self.scene, PlacementRequest)
        self.assertEqual({each.number for each in asked}, {1})
        self.assertEqual(len(asked), 3)
        self.scene.advance(0.001)
        self.assertEqual(len(self.scene.all(fx.Send)), 1)
        self.assertTrue(messages(self.scene, PlacementRequest)[-1].is_withdrawn)
        # The next ones do not wait, except for one at a time.
        for name in ('r2', 'r3', 'r4'):
            post_large(self.scene, name)
        self.assertEqual(len(self.scene.all(fx.Send)), 3)

    def test_own_lateness_is_not_put_down_to_the_coordinator(self) -> None:
        # Its answer may be among the messages that are not handled yet.
        post_large(self.scene)
        key = placement_requests.ask_key(RequestId('r1'))
        self.scene.now += 0.4
        self.scene.post(TimerFired(key))
        self.assertEqual(len(self.scene.all(fx.Send)), 1)
        self.assertFalse(self.scene.state.coordination.silent_until)

    def test_error_while_asking_ends_the_request(self) -> None:
        # Else it would stay without a timer until its deadline.
        self.scene.tolerates_errors = True
        post_large(self.scene)
        with mock.patch.object(placement_requests,
                               'repeat',
                               side_effect=ValueError):
            self.scene.advance(0.06)
        self.assertTrue(self.scene.all(fx.Refuse))
        self.assertFalse(self.scene.state.coordination.asks)

    def test_late_answer_returns_the_grant(self) -> None:
        # Else the coordinator counts a run that does not exist.
        post_large(self.scene)
        self.scene.advance(0.16)
        self.scene.post(answer())
        report, = messages(self.scene, RunReport)
        self.assertTrue(report.has_ended)
        self.assertEqual(len(self.scene.all(fx.Send)), 1)

    def test_duplicate_answer_changes_nothing(self) -> None:
        post_large(self.scene)
        self.scene.post(answer())
        self.scene.post(answer())
        self.assertEqual(len(self.scene.all(fx.Send)), 1)
        self.assertFalse(messages(self.scene, RunReport))

    def test_second_grant_of_a_replaced_coordinator_is_returned(self) -> None:
        post_large(self.scene)
        self.scene.post(answer())
        late = answer()
        late = PlacementAnswered(
            attrs.evolve(late.message,
                         coordinator_incarnation=Incarnation('c2')))
        self.scene.post(late)
        self.assertTrue(messages(self.scene, RunReport)[0].has_ended)

    def test_engine_that_became_unavailable_is_returned(self) -> None:
        post_large(self.scene)
        self.scene.state.endpoints[EndpointId('e2')].cooldown_until = 200.0
        self.scene.post(answer())
        self.assertNotEqual(self.scene.last(fx.Send).endpoint, 'e2')
        self.assertTrue(messages(self.scene, RunReport)[0].has_ended)

    def test_grant_that_a_stopping_vm_handles_too_late_is_returned(
            self) -> None:
        self.scene.post(ev.StopRequested())
        post_large(self.scene)
        self.scene.now += 7.0
        self.scene.post(answer())
        self.assertFalse(self.scene.all(fx.Send))
        self.assertEqual(self.scene.last(fx.Refuse).status, 503)
        self.assertTrue(messages(self.scene, RunReport)[0].has_ended)

    def test_grant_in_a_data_centre_evacuated_meanwhile_is_returned(
            self) -> None:
        post_large(self.scene)
        self.scene.read(View.OPERATOR, ev.EvacuationChanged(LOCAL_DC, True))
        self.scene.post(answer())
        self.assertFalse(self.scene.all(fx.Send))
        self.assertTrue(self.scene.all(fx.Refuse))
        self.assertTrue(messages(self.scene, RunReport)[0].has_ended)

    def test_declined_request_is_decided_at_once(self) -> None:
        post_large(self.scene)
        self.scene.post(answer(endpoint=None, is_declined=True))
        self.assertEqual(len(self.scene.all(fx.Send)), 1)

    def test_refusal_reaches_the_caller_with_its_time(self) -> None:
        post_large(self.scene)
        self.scene.post(answer(endpoint=None, retry_after_s=1.5))
        refused = self.scene.last(fx.Refuse)
        self.assertEqual((refused.status, refused.retry_after_s), (503, 1.5))

    def test_coordinator_that_dies_while_a_request_is_queued(self) -> None:
        post_large(self.scene)
        self.scene.post(answer(endpoint=None))
        limit_s = (placement_requests.QUEUED_REPEAT_INTERVAL_S +
                   placement_requests.FALLBACK_S)
        self.scene.advance(limit_s - 0.001)
        self.assertFalse(self.scene.all(fx.Send))
        self.scene.advance(0.002)
        self.assertEqual(len(self.scene.all(fx.Send)), 1)

    def test_caller_that_leaves_withdraws_the_request(self) -> None:
        post_large(self.scene)
        self.scene.post(ev.CallerLeft(next(iter(self.scene.state.calls.calls))))
        self.assertTrue(messages(self.scene, PlacementRequest)[-1].is_withdrawn)
        self.scene.advance(1.0)
        self.assertFalse(self.scene.all(fx.Send))

    def test_retry_is_decided_by_the_vm_itself(self) -> None:
        post_large(self.scene)
        self.scene.post(answer())
        sent = self.scene.last(fx.Send)
        self.scene.post(ev.SendFailed(sent.attempt, ev.Failure.NOT_CONNECTED))
        self.assertEqual(len(self.scene.all(fx.Send)), 2)
        self.assertEqual(len(messages(self.scene, PlacementRequest)), 1)


class EnablingTest(unittest.TestCase):
    """Elsewhere nothing changes and nothing is sent."""

    def _asks(self, made: GatewayScene, **overrides: Any) -> bool:
        post_large(made, **overrides)
        return bool(messages(made, PlacementRequest))

    def test_asks_only_where_enabled(self) -> None:
        self.assertTrue(self._asks(scene()))
        self.assertFalse(self._asks(scene(vms=12)))
        self.assertFalse(self._asks(scene(has_memory_pressure=False)))

    def test_reported_slowdown_enables(self) -> None:
        made = scene(has_memory_pressure=False)
        made.state.endpoints[EndpointId('e1')].load = EndpointLoad(
            0, 0, 64, made.now, 1.0)
        made.tick()
        self.assertTrue(self._asks(made))

    def test_reporter_of_an_earlier_release_is_not_asked(self) -> None:
        made = scene()
        show_coordinator(made, None)
        self.assertFalse(self._asks(made))

    def test_coordinator_of_a_data_centre_without_usable_engines(self) -> None:
        made = scene()
        for view in made.state.endpoints.values():
            view.cooldown_until = 200.0
        self.assertFalse(self._asks(made))

    def test_small_prompts_and_resumed_streams_are_not_asked_for(self) -> None:
        made = scene()
        made.post_request('/report/x', 'small', prompt_tokens=2_000)
        self.assertFalse(messages(made, PlacementRequest))
        self.assertFalse(self._asks(made, last_event_id='7', resumes='r0'))


def placement_request(number: int = 1, **overrides: Any) -> PlacementRequested:
    """Return a request of another VM."""
    fields: dict[str, Any] = {
        'vm': VmId('vm3'),
        'incarnation': LIFE,
        'number': number,
        'service': ENGINES,
        'model': MODEL,
        'team': TeamId('team'),
        'is_isolated': False,
        'parts': PARTS,
        'prompt_tokens': 12_000,
        'memory_tokens': 12_050,
        'urgency': 0,
        'target_s': 1.0,
        'waited_s': 0.0,
        'remaining_s': 10.0
    }
    return PlacementRequested(PlacementRequest(**(fields | overrides)))


class CoordinatorTest(unittest.TestCase):
    """Grants follow what was granted, at once and exactly."""

    def setUp(self) -> None:
        self.scene = scene('vm2', link_mbps=1e9)
        self.ledger = self.scene.state.coordination.ledger

    def _grant(self, number: int, **overrides: Any) -> PlacementAnswer:
        self.scene.post(placement_request(number, **overrides))
        return self._answers()[-1]

    def _answers(self) -> list[PlacementAnswer]:
        return messages(self.scene, PlacementAnswer)

    def _own(self, number: int) -> tuple[Part, ...]:
        return (Part(f'c{number}', 9_000), Part(f'own{number}', 3_000))

    def test_requests_of_one_moment_are_spread(self) -> None:
        # VMs that each see idle engines choose alike, and overload one.
        engines = [
            self._grant(number, parts=self._own(number)).endpoint
            for number in range(6)
        ]
        self.assertEqual({engines.count(each) for each in ENGINE_NAMES}, {2})

    def test_next_prompt_of_a_context_goes_where_it_is_cached(self) -> None:
        first = self._grant(1)
        for number in (2, 3):
            self.scene.post(
                RunReported(RunReport(VmId('vm3'), LIFE, number - 1, True)))
            again = self._grant(number,
                                parts=(PARTS[0], Part(f'own{number}', 3_000)))
            self.assertEqual(again.endpoint, first.endpoint)
            self.assertEqual(again.cached_parts, 1)

    def test_duplicate_request_gets_the_same_engine(self) -> None:
        self.assertEqual(self._grant(1), self._grant(1))
        self.assertEqual(len(self.ledger.runs), 1)

    def test_duplicate_after_the_end_is_not_granted_again(self) -> None:
        self._grant(1)
        self.scene.post(RunReported(RunReport(VmId('vm3'), LIFE, 1, True)))
        self.scene.post(placement_request(1))
        self.assertFalse(self.ledger.runs)
        self.assertFalse(self.ledger.loads)

    def test_withdrawn_before_and_after_the_grant(self) -> None:
        # Datagrams may overtake each other.
        self.scene.post(placement_request(1, is_withdrawn=True))
        self.scene.post(placement_request(1))
        self._grant(2)
        self.scene.post(placement_request(2, is_withdrawn=True))
        self.assertFalse(self.ledger.runs)

    def test_granted_share_of_hints_is_not_counted_twice(self) -> None:
        granted = self._grant(1)
        name = granted.endpoint
        assert name is not None
        self.scene.post(
            HintReceived(
                Hint(VmId('vm3'), LIFE, 1, {
                    name:
                        OwnLoad(15_000, 15_000, 2, 0.0, False, 12_000, 12_050,
                                1)
                })))
        lookup = self._lookup()
        self.assertEqual(lookup(name).requests, 2)
        self.assertEqual(lookup(name).pending_tokens, 15_000)

    def _lookup(self) -> Any:
        # pylint: disable-next=protected-access
        return coordination._load_lookup(self.scene.state, self.scene.now)

    def test_lost_reports_are_corrected_by_later_hints(self) -> None:
        self._grant(1)
        self.scene.advance(0.7)
        self.assertEqual(len(self.ledger.runs), 1)
        self.scene.post(HintReceived(Hint(VmId('vm3'), LIFE, 1, {})))
        self.scene.advance(0.1)
        self.assertFalse(self.ledger.runs)

    def test_runs_of_a_silent_vm_expire(self) -> None:
        self._grant(1)
        self.scene.advance(2.3)
        self.assertEqual(len(self.ledger.runs), 1)
        self.scene.advance(0.4)
        self.assertFalse(self.ledger.runs)

    def test_excluded_engines_are_not_granted(self) -> None:
        granted = self._grant(1, excluded=(EndpointId('e1'), EndpointId('e2')))
        self.assertEqual(granted.endpoint, 'e3')

    def test_coordinator_without_a_usable_engine_declines(self) -> None:
        # Engines elsewhere may serve the prompt, as its VM knows.
        for view in self.scene.state.endpoints.values():
            view.cooldown_until = 200.0
        self.assertTrue(self._grant(1).is_declined)
        self.assertFalse(self.scene.state.coordination.queue.entries)

    def test_suspended_coordinator_declines(self) -> None:
        # What it knows is old, and requests that piled up have been decided.
        self.scene.now += 1.0
        self.scene.tick()
        self.assertTrue(self._grant(1).is_declined)

    def test_freed_memory_goes_to_the_one_that_waits(self) -> None:
        queued = None
        for number in range(1, 30):
            queued = self._grant(number, parts=self._own(number))
            if queued.endpoint is None:
                break
        assert queued is not None
        self.assertIsNone(queued.endpoint)
        self.assertIsNone(queued.retry_after_s)
        self.scene.post(RunReported(RunReport(VmId('vm3'), LIFE, 1, True)))
        granted = self._answers()[-1]
        self.assertEqual(granted.number, queued.number)
        self.assertIsNotNone(granted.endpoint)
        # One that is withdrawn leaves nothing behind that holds up the next.
        last = queued.number + 1
        self.assertIsNone(self._grant(last).endpoint)
        self.scene.post(placement_request(last, is_withdrawn=True))
        for number in range(2, 7):
            self.scene.post(
                RunReported(RunReport(VmId('vm3'), LIFE, number, True)))
        self.assertIsNotNone(self._grant(last + 1).endpoint)

    def test_restarted_coordinator_counts_runs_of_its_predecessor(self) -> None:
        # Their VMs no longer state them as granted, but as ordinary load.
        asker = scene()
        post_large(asker)
        asker.post(answer())
        view = asker.state.endpoints[EndpointId('e2')]
        asker.tick()
        self.assertFalse(view.counted_grants())
        asker.post(HintReceived(Hint(OTHER, Incarnation('c1'), 1, {})))
        asker.tick()
        self.assertEqual(len(view.counted_grants()), 1)
        asker.post(HintReceived(Hint(OTHER, Incarnation('c2'), 1, {})))
        asker.tick()
        self.assertFalse(view.counted_grants())

    def test_unknown_service_is_declined(self) -> None:
        self.assertTrue(self._grant(1, service=ServiceId('gone')).is_declined)

    def test_own_prompts_are_granted_like_those_of_others(self) -> None:
        self.scene.advance(0.3)
        post_large(self.scene)
        self.scene.advance(0.0)
        sent = self.scene.last(fx.Send)
        self.assertEqual(len(self.ledger.runs), 1)
        self.assertEqual(self._lookup()(sent.endpoint).requests, 0)
        self.scene.post(ev.CallerLeft(sent.request.id))
        self.scene.advance(0.0)
        self.assertFalse(self.ledger.runs)


class EncodingTest(unittest.TestCase):
    """Messages survive encoding; lost fields would not be noticed."""

    def test_messages(self) -> None:
        load = OwnLoad(5, 7, 3, 0.4, True, 4, 6, 2)
        cases: tuple[PeerMessage, ...] = (
            placement_request(excluded=(EndpointId('e'),),
                              is_isolated=True).message,
            answer(cached_parts=2).message,
            answer(endpoint=None, retry_after_s=1.5).message,
            answer(endpoint=None, is_declined=True).message,
            RunReport(OTHER, LIFE, 7, True),
            Hint(OTHER, LIFE, 1, {EndpointId('e'): load}),
            LoadTotals(OTHER, LIFE, 1, {}, True, {}, {LOCAL_DC: OTHER}),
            peer_messages.DcLoad(OTHER, LIFE, 1, LOCAL_DC, {}, {}, True),
        )
        for message in cases:
            self.assertEqual(
                peer_messages.decode(peer_messages.encode(message)), message)


def level(ended: Sequence[Outcome]) -> float:
    """Return the share of requests that were served."""
    return sum(each.was_served for each in ended) / len(ended)


class ContentionTest(unittest.TestCase):
    """Two kinds and two teams ask for more memory than engines have."""

    KINDS: Final = tuple(
        Kind(target, share, 8_600, 2_870, 800, key)
        for target in ('/report/x', '/tag/x')
        for key, share in (('key', 0.45), ('small', 0.05)))
    # Large prompts of 13,000 tokens may fill 0.83 of 84,000. Of the runs of
    # 2.7 s, 1.9 a second fit then; this is 1.3 times as many.
    RATE: Final = 2.5
    CONFIGURATION: Final = configuration(
        2,
        routes=tuple(
            route(prefix,
                  RequestKind.STREAM,
                  ENGINES,
                  resumable=True,
                  priority=priority)
            for prefix, priority in (('/report/', 1), ('/tag/', 2))),
        teams=[
            Team(TeamId(name), frozenset({key}), priority=0)
            for name, key in (('big', 'key'), ('small', 'small'))
        ])

    def _play(self, coordinated: bool) -> LoadFleet:
        fleet = LoadFleet({DcId('a'): self.RATE},
                          vms_per_dc=15,
                          engines_per_dc=5,
                          kinds=self.KINDS,
                          memory_tokens=84_000,
                          configuration=self.CONFIGURATION,
                          step_s=0.002,
                          has_memory_pressure=coordinated)
        fleet.run(6.0)
        fleet.forget()
        fleet.run(40.0)
        return fleet

    def test_rules_of_fairness(self) -> None:
        fleet, alone = self._play(True), self._play(False)
        self.assertGreater(fleet.worth(), alone.worth() + 0.1)
        kinds = []
        for target in ('/report/x', '/tag/x'):
            kind = sorted(
                (each for each in fleet.ended if each.kind.target == target),
                key=lambda each: each.tokens)
            kinds.append(level(kind))
            self.assertGreaterEqual(level(kind[-len(kind) // 10:]),
                                    level(kind) / 2)
        self.assertGreater(kinds[0], kinds[1] - 0.05)
        for key in ('key', 'small'):
            of_team = [each for each in fleet.ended if each.kind.key == key]
            self.assertGreater(level(of_team), level(fleet.ended) / 4)
        # Alone, a VM refuses only after twice the target.
        waits = [each.took_s for each in fleet.ended if not each.was_served]
        self.assertLess(statistics.median(waits), 1.6)


class ProcessTest(unittest.TestCase):
    """The process posts each message as an event that the reducer handles."""

    def test_messages_become_events(self) -> None:
        posted: list[Any] = []
        process = mock.Mock(post=posted.append)
        for message in (placement_request().message, answer().message,
                        RunReport(OTHER, LIFE, 7, True)):
            # pylint: disable-next=protected-access
            Gateway._on_peer_message(
                process,
                PeerMessageReceived(VmId(''), peer_messages.encode(message)))
            self.assertEqual(posted[-1].message, message)
            self.assertIn(type(posted[-1]), reducer.EVENT_HANDLERS)


class ReplayTest(unittest.TestCase):
    """Large prompts at 0.75 of the engines' prefill throughput."""

    def _fleet(self, coordinated: bool = True, **options: Any) -> LoadFleet:
        fleet = LoadFleet({dc: 3.6 for dc in DCS},
                          vms_per_dc=15,
                          engines_per_dc=5,
                          kinds=(attrs.evolve(REPORT, share=1.0),),
                          contexts=2_000,
                          step_s=0.001,
                          has_memory_pressure=coordinated,
                          **options)
        fleet.run(3.0)
        fleet.forget()
        return fleet

    def _p95(self, fleet: LoadFleet) -> float:
        return statistics.quantiles(fleet.first_event_s(), n=20)[-1]

    def test_first_events_come_earlier_than_without(self) -> None:
        alone, coordinated = self._fleet(False), self._fleet()
        for fleet in (alone, coordinated):
            fleet.run(8.0)
        self.assertLess(self._p95(coordinated), 0.8 * self._p95(alone))
        self.assertLess(statistics.median(coordinated.first_event_s()),
                        statistics.median(alone.first_event_s()))
        self.assertGreater(coordinated.worth(), 0.99)

    def test_lost_messages(self) -> None:
        fleet = self._fleet(loss_ratio=0.2)
        fleet.run(6.0)
        self.assertGreater(fleet.worth(), 0.98)
        self.assertLess(self._p95(fleet), 0.7)

    def test_coordinator_killed(self) -> None:
        fleet = self._fleet()
        killed = relays.load_reporter(fleet.vms[VmId('a-vm0')].state, fleet.now)
        fleet.stop(killed)
        fleet.run(6.0)
        self.assertGreater(fleet.worth(), 0.95)
        current = {
            scene.state.hints.reports.coordinators.get(DcId('a'))
            for name, scene in fleet.vms.items()
            if name not in fleet.stopped
        }
        self.assertEqual(len(current), 1)
        self.assertNotIn(killed, current)

    def test_coordinator_frozen_for_longer_than_it_stays_elected(self) -> None:
        # Meanwhile another one is elected; both act for a while.
        fleet = self._fleet()
        frozen = relays.load_reporter(fleet.vms[VmId('a-vm0')].state, fleet.now)
        fleet.stop(frozen)
        fleet.run(2.5)
        fleet.resume(frozen)
        fleet.run(4.0)
        self.assertGreater(fleet.worth(), 0.95)
        self.assertFalse([each for each in fleet.ended if each.took_s > 3.0])

    def test_data_centre_of_a_coordinator_cut_off(self) -> None:
        fleet = self._fleet()
        fleet.run(1.0)
        fleet.cut_off.add(DcId('a'))
        fleet.run(5.0)
        for dc in DCS:
            self.assertGreater(fleet.worth(dc), 0.95, dc)


if __name__ == '__main__':
    unittest.main()
