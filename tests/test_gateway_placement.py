"""Tests of endpoint selection, grouped by the kind of load."""

import math
import unittest
from collections import Counter
from collections.abc import Callable

from plantainridge.gateway import cache
from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway import peer_messages
from plantainridge.gateway.crash_attribution import Suspect
from plantainridge.gateway.endpoints import EndpointEntry, EndpointLoad
from plantainridge.gateway.events import Part, StoredPart, View
from plantainridge.gateway.hints import HintReceived
from plantainridge.gateway.peer_messages import (BrokenSendReport, Hint,
                                                 OwnLoad, WeightsLoaded)
from plantainridge.gateway.stores import StoreView
from plantainridge.gateway.versions import VersionAge
from plantainridge.ids import (EndpointId, Incarnation, ModelId, ServiceId,
                               VmId)
from tests.gateway_scene import (LEDGER, MODEL, REMOTE_DC, GatewayScene,
                                 endpoint, head)

A = endpoint('a')
B = endpoint('b')


def prompt(context: str, own: str = 'own') -> tuple[Part, ...]:
    """Return a prompt of two shared parts and a part of its own."""
    return (Part('opening', 500), Part(context, 8_000), Part(own, 1_000))


class SessionTest(unittest.TestCase):
    """Prompts with the same context that return later, at light load."""

    def test_context_returns_to_the_engine_that_computed_it(self) -> None:
        scene = GatewayScene(A, B)
        for context in (f'c{number}' for number in range(20)):
            engines = set()
            for visit in range(3):
                name = f'{context}-{visit}'
                send = scene.post_request('/report/x',
                                          name,
                                          parts=prompt(context, name),
                                          prompt_tokens=9_500)
                engines.add(send.endpoint)
                scene.post(ev.StreamStarted(send.attempt, head()))
                scene.post(ev.StreamEventsReceived(send.attempt, b'.', '1',
                                                   '1'))
                scene.post(ev.StreamEnded(send.attempt))
                scene.advance(1.0)
            self.assertEqual(len(engines), 1, context)

    def test_vms_choose_alike_without_messages(self) -> None:
        chosen = []
        for vm in ('vm1', 'vm2'):
            scene = GatewayScene(A, B, vm=vm)
            chosen.append([
                scene.post_request('/report/x',
                                   f'r{number}',
                                   parts=prompt(f'c{number}'),
                                   prompt_tokens=9_500).endpoint
                for number in range(3)
            ])
        self.assertEqual(chosen[0], chosen[1])


class RestartTest(unittest.TestCase):
    """All VMs have restarted, and all contexts return at once.

    No VM knows which engine caches which context; only an order of engines that
    is the same on every VM avoids recomputing them.
    """

    def test_vms_choose_alike_after_a_restart_despite_unequal_load(
            self) -> None:
        engines = [endpoint(f'e{index}') for index in range(5)]
        differing = 0
        for number in range(40):
            context = prompt(f'c{number}')
            chosen = []
            for vm in ('vm1', 'vm2'):
                scene = GatewayScene(*engines, vm=vm)
                # Engines already have prompts of other requests pending.
                loads = {
                    each.id: OwnLoad(6_000 * (index % 3), 9_000, 1, 0.0)
                    for index, each in enumerate(engines)
                }
                if vm == 'vm2':
                    hint = Hint(VmId('vm3'), Incarnation('life'), 1, loads)
                    scene.post(HintReceived(hint))
                chosen.append(
                    scene.post_request('/report/x',
                                       parts=context,
                                       prompt_tokens=9_500).endpoint)
            differing += chosen[0] != chosen[1]
        self.assertEqual(differing, 0)


class BurstTest(unittest.TestCase):
    """Many requests at once, which fill queues and memory."""

    def test_large_prompts_do_not_overfill_one_engine(self) -> None:
        scene = GatewayScene(A, B, endpoint('c', dc=REMOTE_DC))
        placed: Counter[str] = Counter()
        for number in range(15):
            send = scene.post_request('/report/x',
                                      f'r{number}',
                                      parts=prompt('same', f'own{number}'),
                                      prompt_tokens=12_000)
            placed[send.endpoint] += 1
            # The prompt is computed at once, so that only memory is in use.
            scene.post(ev.StreamStarted(send.attempt, head()))
            scene.post(ev.StreamEventsReceived(send.attempt, b'.', '1', '1'))
        # An engine has memory for seven of these requests.
        self.assertLessEqual(max(placed.values()), 7, placed)

    def test_load_of_a_peer_counts_until_its_report_expires(self) -> None:
        scene = GatewayScene(A, B)
        parts = prompt('same')
        first = scene.post_request('/report/x',
                                   parts=parts,
                                   prompt_tokens=9_500)
        scene.post(ev.CallerLeft(first.request.id))
        loads = {first.endpoint: OwnLoad(60_000, 60_000, 6, 0.0)}
        scene.post(
            HintReceived(Hint(VmId('vm2'), Incarnation('life'), 1, loads)))
        moved = scene.post_request('/report/x',
                                   'r2',
                                   parts=parts,
                                   prompt_tokens=9_500)
        self.assertNotEqual(moved.endpoint, first.endpoint)
        # The peer's report expires.
        scene.post(ev.CallerLeft(moved.request.id))
        scene.advance(2.0)
        back = scene.post_request('/report/x',
                                  'r3',
                                  parts=parts,
                                  prompt_tokens=9_500)
        self.assertEqual(back.endpoint, first.endpoint)

    def test_plain_requests_spread_over_instances(self) -> None:
        scene = GatewayScene(endpoint('a', LEDGER), endpoint('b', LEDGER),
                             endpoint('c', LEDGER, REMOTE_DC))
        placed = Counter(
            scene.post_request('/submit/x', f'r{number}').endpoint
            for number in range(18))
        self.assertLessEqual(max(placed.values()), 7, placed)

    def test_light_load_stays_in_the_data_centre(self) -> None:
        scene = GatewayScene(A, endpoint('c', dc=REMOTE_DC))
        for number in range(10):
            send = scene.post_request('/tag/x', f'r{number}')
            self.assertEqual(send.endpoint, 'a')
            scene.post(ev.StreamStarted(send.attempt, head()))
            scene.post(ev.StreamEnded(send.attempt))


class FullMemoryTest(unittest.TestCase):
    """Large prompts that engines hold for seconds, more than fit in memory."""

    def _fill(self) -> tuple[GatewayScene, list[fx.Send]]:
        """Return a scene after 20 requests to engines with memory for 14."""
        scene = GatewayScene(A, B)
        for number in range(20):
            scene.post_request('/report/x',
                               f'r{number}',
                               parts=prompt(f'c{number}', f'own{number}'),
                               prompt_tokens=10_800)
            scene.advance(0.02)
        return scene, scene.all(fx.Send)

    def _keep_streaming(self, scene: GatewayScene, seconds: float) -> None:
        """Advance the clock while every run produces stream events."""
        end = scene.now + seconds
        while scene.now < end:
            for attempt in list(scene.state.calls.attempts):
                scene.post(ev.StreamStarted(attempt, head()))
                scene.post(ev.StreamEventsReceived(attempt, b'.', '', ''))
            scene.advance(0.2)

    def _finish(self, scene: GatewayScene, send: fx.Send) -> None:
        scene.post(ev.StreamStarted(send.attempt, head()))
        scene.post(ev.StreamEventsReceived(send.attempt, b'.', '1', '1'))
        scene.post(ev.StreamEnded(send.attempt))

    def test_large_requests_wait_while_no_engine_has_memory(self) -> None:
        scene, sends = self._fill()
        memory = 84_000
        for name in ('a', 'b'):
            used = sum(10_850 for each in sends if each.endpoint == name)
            self.assertLessEqual(used, memory)
        self.assertLess(len(sends), 20)
        self.assertEqual(scene.all(fx.Refuse), [])
        self._finish(scene, sends[0])
        scene.advance(0.2)
        self.assertEqual(len(scene.all(fx.Send)), len(sends) + 1)

    def test_small_requests_are_sent_meanwhile(self) -> None:
        scene, sends = self._fill()
        self.assertIsInstance(scene.post_request('/tag/x', 'small'), fx.Send)
        self.assertEqual(len(scene.all(fx.Send)), len(sends) + 1)

    def test_requests_within_their_target_go_before_late_ones(self) -> None:
        scene, sends = self._fill()
        self._keep_streaming(scene, 1.2)
        scene.post_request('/report/x',
                           'fresh',
                           parts=prompt('other', 'mine'),
                           prompt_tokens=10_800)
        self._finish(scene, sends[0])
        scene.advance(0.2)
        self.assertEqual(scene.last(fx.Send).request.attempt_id, 'caller-fresh')

    def test_waiting_requests_are_refused_before_callers_time_out(self) -> None:
        scene, sends = self._fill()
        self._keep_streaming(scene, 1.4)
        self.assertEqual(len(scene.all(fx.Send)), len(sends))
        # Callers abandon a stream that has not begun after four targets.
        self._keep_streaming(scene, 1.0)
        refused = scene.all(fx.Refuse)
        self.assertEqual(len(scene.all(fx.Send)) + len(refused), 20)
        self.assertEqual({each.status for each in refused}, {503})
        times = {each.retry_after_s for each in refused}
        self.assertEqual(len(times), len(refused))

    def test_large_fleet_does_not_flood_remote_engines_of_unknown_load(
            self) -> None:
        for vms, uses_remote in ((6, True), (60, False)):
            scene = GatewayScene(A, B, endpoint('c', dc=REMOTE_DC))
            scene.read(
                View.VMS,
                *(ev.VmEntry(VmId(f'p{index}'), REMOTE_DC, f'p{index}:1')
                  for index in range(vms)))
            for number in range(16):
                scene.post_request('/report/x',
                                   f'r{number}',
                                   parts=prompt(f'c{number}', f'own{number}'),
                                   prompt_tokens=10_800)
            engines = [send.endpoint for send in scene.all(fx.Send)]
            self.assertEqual('c' in engines[:12], uses_remote, vms)

    def test_only_part_of_the_own_size_counts_against_capacity(self) -> None:
        scene = GatewayScene(A)
        for number in range(5):
            scene.post_request('/report/x', f'r{number}', prompt_tokens=10_800)
        # 54,000 of 84,000 tokens are in use; the largest prompts have 30,000.
        sends = len(scene.all(fx.Send))
        scene.post_request('/report/x', 'largest', prompt_tokens=30_000)
        self.assertEqual(len(scene.all(fx.Send)), sends + 1)

    def test_engine_with_queued_requests_has_no_capacity(self) -> None:
        scene = GatewayScene(A, B)
        first = scene.post_request('/report/x', 'r0', prompt_tokens=9_500)
        queued = EndpointLoad(60, 3, 64, scene.now)
        scene.state.endpoints[first.endpoint].load = queued
        again = scene.post_request('/report/x', 'r1', prompt_tokens=9_500)
        self.assertNotEqual(again.endpoint, first.endpoint)


class NewWeightsTest(unittest.TestCase):
    """Engines that load new weights while requests continue."""

    def _scene(self) -> GatewayScene:
        scene = GatewayScene(A, endpoint('b', versions={MODEL: 2}))
        scene.advance(5.0)
        # A VM that follows the operators' records knows when one is written.
        scene.read(View.OPERATOR)
        scene.read(View.OPERATOR, ev.NamedVersion(MODEL, 2))
        return scene

    def test_replaced_weights_serve_until_the_bound_is_near(self) -> None:
        scene = self._scene()
        view = scene.state.endpoints[EndpointId('b')]
        view.cooldown_until = scene.now + 100.0
        scene.now += 5.0
        self.assertEqual(scene.post_request('/report/x').endpoint, 'a')
        scene.now += 4.0
        sends = len(scene.all(fx.Send))
        scene.post_request('/report/x', 'r2')
        self.assertEqual(len(scene.all(fx.Send)), sends)

    def test_bound_counts_from_the_first_newer_version(self) -> None:
        scene = GatewayScene(A)
        scene.read(View.OPERATOR, ev.NamedVersion(MODEL, 2))
        scene.now += 7.0
        scene.read(View.OPERATOR, ev.NamedVersion(MODEL, 3))
        self.assertIsInstance(scene.post_request('/report/x'), fx.Send)
        scene.now += 2.0
        scene.post_request('/report/x', 'r2')
        self.assertEqual(len(scene.all(fx.Send)), 1)

    def test_request_is_bound_to_the_version_of_its_engine(self) -> None:
        scene = self._scene()
        scene.state.endpoints[EndpointId('a')].cooldown_until = scene.now + 9.0
        send = scene.post_request('/report/x')
        self.assertEqual((send.endpoint, send.version), ('b', 2))
        assert send.cache is not None
        self.assertTrue(send.cache.salt.startswith('2.'))

    def test_rejection_after_a_weight_update_is_resent_to_the_engine(
            self) -> None:
        scene = GatewayScene(A)
        scene.read(View.OPERATOR, ev.NamedVersion(MODEL, 2))
        send = scene.post_request('/report/x')
        self.assertEqual(send.version, 1)
        scene.post(
            ev.AnswerArrived(send.attempt, head(421, not_run=True,
                                                signed=False), b''))
        self.assertEqual(scene.last(fx.Send).version, 2)

    def test_engines_loading_weights_get_no_requests_from_any_vm(self) -> None:
        scene = GatewayScene(A, B)
        loads = {A.id: OwnLoad(0, 0, 0, 1.0)}
        scene.post(
            HintReceived(Hint(VmId('vm2'), Incarnation('life'), 1, loads)))
        for number in range(10):
            send = scene.post_request('/report/x', f'r{number}')
            self.assertEqual(send.endpoint, 'b')
            scene.post(ev.CallerLeft(send.request.id))
        weights_loaded = (WeightsLoaded(A.id, MODEL, 2),)
        scene.post(
            HintReceived(
                Hint(VmId('vm2'),
                     Incarnation('life'),
                     2,
                     loads,
                     weights_loaded=weights_loaded)))
        view = scene.state.endpoints[A.id]
        self.assertEqual(view.versions[MODEL], 2)
        self.assertLessEqual(
            scene.state.hints.loads.cooling_down(scene.now)[A.id],
            view.weights_loaded_at)


class IsolationTest(unittest.TestCase):
    """Isolated teams share no cached parts with other teams."""

    def test_isolated_team_has_its_own_salt(self) -> None:
        scene = GatewayScene(A)
        shared = scene.post_request('/report/x').cache
        isolated = scene.post_request('/report/x', 'r2', key='other').cache
        assert shared is not None and isolated is not None
        self.assertNotEqual(shared.salt, isolated.salt)


class StoredPartsTest(unittest.TestCase):
    """Parts are fetched only from stores known to hold them completely."""

    def _scene(self) -> GatewayScene:
        scene = GatewayScene(A)
        scene.state.stores.clock_offset_ms = 0.0
        for name, store in scene.state.stores.views.items():
            scene.post(ev.StoreListed(name, 1, 0, {}, {}))
            self.assertIsInstance(store, StoreView)
            # The stores have run for long.
            store.epoch_since = 0.0
        return scene

    def _store_parts(self, scene: GatewayScene, *parts: str) -> None:
        salt = self._salt(scene)
        stored = tuple((StoredPart(salt, part), 500) for part in parts)
        store = next(iter(scene.state.stores.views))
        scene.post(ev.StoreChanged(store, 1, 9, False, stored, 1.0))

    def _salt(self, scene: GatewayScene) -> str:
        send = scene.post_request('/report/x', 'salt')
        scene.post(ev.CallerLeft(send.request.id))
        salt: str = send.cache.salt
        return salt

    def _plan(self, scene: GatewayScene) -> fx.CachePlan:
        send = scene.post_request('/report/x',
                                  'planned',
                                  parts=prompt('context'),
                                  prompt_tokens=9_500)
        plan: fx.CachePlan = send.cache
        return plan

    def test_complete_parts_are_fetched_until_a_deadline(self) -> None:
        scene = self._scene()
        self._store_parts(scene, 'opening', 'context')
        plan = self._plan(scene)
        self.assertTrue(plan.fetch_from[0] and plan.fetch_from[1])
        self.assertEqual(plan.fetch_from[2], '')
        self.assertGreater(plan.fetch_until_ms, 0)

    def test_shared_parts_are_saved_but_not_the_own_part(self) -> None:
        plan = self._plan(self._scene())
        self.assertEqual(plan.fetch_from, ())
        self.assertTrue(plan.save_to[0] and plan.save_to[1])
        self.assertEqual(plan.save_to[2], '')

    def test_nothing_is_fetched_behind_a_missing_part(self) -> None:
        scene = self._scene()
        self._store_parts(scene, 'context')
        self.assertEqual(self._plan(scene).fetch_from, ())

    def test_nothing_is_fetched_from_a_store_in_unknown_state(self) -> None:
        store = ServiceId('store-a')
        causes: dict[str, Callable[[GatewayScene], object]] = {
            'silent':
                lambda scene: scene.advance(2.7),
            'lost':
                lambda scene: scene.post(ev.StoreRequestFailed(store, 'down')),
            'restarted':
                lambda scene: scene.post(
                    ev.StoreChanged(store, 2, 0, False, (), 1.0)),
            'gap':
                lambda scene: scene.post(
                    ev.StoreChanged(store, 1, 20, True, (), 1.0)),
            'freed':
                lambda scene: scene.post(
                    ev.StoreChanged(
                        store, 1, 20, False,
                        tuple((part, 0) for part in scene.state.stores.views[
                            store].complete), 1.0)),
        }
        for name, cause in causes.items():
            with self.subTest(name):
                scene = self._scene()
                self._store_parts(scene, 'opening', 'context')
                cause(scene)
                self.assertEqual(self._plan(scene).fetch_from, ())

    def test_first_part_is_saved_to_a_second_store(self) -> None:
        scene = self._scene()
        self._store_parts(scene, 'opening')
        first = next(iter(scene.state.stores.views.values()))
        plan = self._plan(scene)
        self.assertNotIn(plan.save_to[0], ('', first.spec.address))

    def test_parts_of_replaced_weights_are_freed_once_no_engine_runs_them(
            self) -> None:
        scene = self._scene()
        self._store_parts(scene, 'opening', 'context')
        scene.read(View.OPERATOR, ev.NamedVersion(MODEL, 2))
        for _ in range(20):
            self._update(scene, endpoint('a'))
            self.assertEqual(scene.all(fx.FreeParts), [])
        for _ in range(6):
            self._update(scene, endpoint('a', versions={MODEL: 2}))
        freed = scene.last(fx.FreeParts)
        self.assertEqual({part.id for part in freed.parts},
                         {'opening', 'context'})

    def test_parts_of_another_model_are_not_freed(self) -> None:
        scene = self._scene()
        other = StoredPart(cache.make_salt(ModelId('other'), 1, None), 'p')
        store = next(iter(scene.state.stores.views))
        scene.post(ev.StoreChanged(store, 1, 9, False, ((other, 500),), 1.0))
        scene.read(View.OPERATOR, ev.NamedVersion(MODEL, 2))
        for _ in range(30):
            self._update(scene, endpoint('a', versions={MODEL: 2}))
        self.assertEqual(scene.all(fx.FreeParts), [])

    def test_vm_with_stale_views_frees_nothing(self) -> None:
        scene = self._scene()
        self._store_parts(scene, 'opening', 'context')
        scene.read(View.OPERATOR, ev.NamedVersion(MODEL, 2))
        scene.read(View.REGISTRY, endpoint('a', versions={MODEL: 2}))
        scene.post(ev.ViewFailed(View.OPERATOR, False, 'down'))
        for _ in range(10):
            scene.advance(0.8)
            store = next(iter(scene.state.stores.views))
            scene.post(ev.StoreChanged(store, 1, 9, False, (), 1.0))
        self.assertEqual(scene.all(fx.FreeParts), [])

    def test_parts_are_fetched_while_the_metadata_store_is_down(self) -> None:
        scene = self._scene()
        self._store_parts(scene, 'opening', 'context')
        for view in View:
            scene.post(ev.ViewFailed(view, False, 'down'))
        for _ in range(10):
            scene.advance(0.8)
            store = next(iter(scene.state.stores.views))
            scene.post(ev.StoreChanged(store, 1, 9, False, (), 1.0))
        self.assertTrue(self._plan(scene).fetch_from)

    def _update(self, scene: GatewayScene, entry: EndpointEntry) -> None:
        """Advance the clock and update the views and a store."""
        scene.advance(0.8)
        scene.read(View.OPERATOR)
        scene.read(View.REGISTRY, entry)
        store = next(iter(scene.state.stores.views))
        scene.post(ev.StoreChanged(store, 1, 9, False, (), 1.0))


class PeerMessageTest(unittest.TestCase):
    """Encoding of messages between VMs."""

    def test_messages_survive_a_round_trip(self) -> None:
        part = StoredPart('1.s', 'p')
        messages: list[peer_messages.PeerMessage] = [
            Hint(VmId('vm'),
                 Incarnation('l'),
                 7, {A.id: OwnLoad(1, 2, 3, 0.5)},
                 (BrokenSendReport('f', A.id, ('p', 'q'), 1.5, 0.25),),
                 (WeightsLoaded(A.id, MODEL, 2),),
                 True,
                 asked_at=2.5,
                 answers_at=1.5,
                 versions=(VersionAge(MODEL, 1, math.inf,
                                      False), VersionAge(MODEL, 2, 0.25, True)),
                 cleared=(Suspect('part/p'),),
                 quarantined={Suspect('part/q'): 2.5},
                 sent_at=3.5),
            peer_messages.RelayedView(
                VmId('vm'),
                'registry',
                3,
                5, (ev.RawRecord('k', b'v'), ev.RawRecord('gone', None)),
                receiver_time=2.5,
                receiver_incarnation=Incarnation('l')),
            peer_messages.RelayedStore(
                VmId('vm'),
                list(GatewayScene().state.stores.views)[0], 4, 5, 6, True,
                False, ((part, 9),), 1.5, 2.5),
        ]
        messages.append(
            peer_messages.StoreBatch(
                tuple(each for each in messages
                      if isinstance(each, peer_messages.RelayedStore)) * 3))
        for message in messages:
            encoded = peer_messages.encode(message)
            self.assertEqual(peer_messages.decode(encoded), message)

    def test_noise_decodes_to_an_invalid_message(self) -> None:
        for noise in (b'', b'\xff' * 40):
            self.assertIsInstance(peer_messages.decode(noise),
                                  peer_messages.InvalidMessage)
