"""Tests of where requests are placed, each by the load that it answers."""

import unittest
from collections import Counter
from collections.abc import Callable

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway import peer_messages
from plantainridge.gateway.endpoints import EndpointEntry, EndpointLoad
from plantainridge.gateway.events import Part, StoredPart, View
from plantainridge.gateway.hints import HintReceived
from plantainridge.gateway.peer_messages import Hint, OwnLoad, WeightsLoaded
from plantainridge.gateway.stores import StoreView
from plantainridge.ids import EndpointId, Incarnation, ServiceId, VmId
from tests.gateway_scene import (FAR, LEDGER, MODEL, GatewayScene, endpoint,
                                 head)

A = endpoint('a')
B = endpoint('b')


def prompt(context: str, own: str = 'own') -> tuple[Part, ...]:
    """Returns a prompt that shares an opening and a context."""
    return (Part('opening', 500), Part(context, 8_000), Part(own, 1_000))


class SessionTest(unittest.TestCase):
    """Contexts that return after a while, in light load."""

    def test_returns_to_the_engine_that_read_it(self) -> None:
        scene = GatewayScene(A, B)
        for context in (f'c{number}' for number in range(20)):
            engines = set()
            for visit in range(3):
                name = f'{context}-{visit}'
                send = scene.ask('/report/x',
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

    def test_two_vms_choose_alike_without_talking(self) -> None:
        chosen = []
        for vm in ('vm1', 'vm2'):
            scene = GatewayScene(A, B, vm=vm)
            chosen.append([
                scene.ask('/report/x',
                          f'r{number}',
                          parts=prompt(f'c{number}'),
                          prompt_tokens=9_500).endpoint for number in range(3)
            ])
        self.assertEqual(chosen[0], chosen[1])


class RestartTest(unittest.TestCase):
    """All VMs have lost power, and the contexts return at once."""

    def test_prompts_go_where_they_were_read_though_nobody_knows(self) -> None:
        engines = [endpoint(f'e{at}') for at in range(5)]
        again = 0
        for number in range(40):
            context = prompt(f'c{number}')
            chosen = []
            for vm in ('vm1', 'vm2'):
                scene = GatewayScene(*engines, vm=vm)
                # Each engine already has some prompts of the rush to read.
                loads = {
                    each.id: OwnLoad(6_000 * (at % 3), 9_000, 1, 0.0)
                    for at, each in enumerate(engines)
                }
                if vm == 'vm2':
                    hint = Hint(VmId('vm3'), Incarnation('life'), 1, loads)
                    scene.post(HintReceived(hint))
                chosen.append(
                    scene.ask('/report/x', parts=context,
                              prompt_tokens=9_500).endpoint)
            again += chosen[0] != chosen[1]
        self.assertEqual(again, 0)


class BurstTest(unittest.TestCase):
    """Many prompts at once: queues and memory fill."""

    def test_large_prompts_do_not_overfill_one_engine(self) -> None:
        scene = GatewayScene(A, B, endpoint('c', dc=FAR))
        placed: Counter[str] = Counter()
        for number in range(15):
            send = scene.ask('/report/x',
                             f'r{number}',
                             parts=prompt('same', f'own{number}'),
                             prompt_tokens=12_000)
            placed[send.endpoint] += 1
            # Read at once, so that only memory is taken.
            scene.post(ev.StreamStarted(send.attempt, head()))
            scene.post(ev.StreamEventsReceived(send.attempt, b'.', '1', '1'))
        # An engine has memory for seven of them.
        self.assertLessEqual(max(placed.values()), 7, placed)

    def test_queue_of_a_peer_counts(self) -> None:
        scene = GatewayScene(A, B)
        parts = prompt('same')
        home = scene.ask('/report/x', parts=parts, prompt_tokens=9_500)
        scene.post(ev.CallerLeft(home.request.id))
        loads = {home.endpoint: OwnLoad(60_000, 60_000, 6, 0.0)}
        scene.post(
            HintReceived(Hint(VmId('vm2'), Incarnation('life'), 1, loads)))
        moved = scene.ask('/report/x', 'r2', parts=parts, prompt_tokens=9_500)
        self.assertNotEqual(moved.endpoint, home.endpoint)
        # Without a word for a while it is not believed any more.
        scene.post(ev.CallerLeft(moved.request.id))
        scene.advance(2.0)
        back = scene.ask('/report/x', 'r3', parts=parts, prompt_tokens=9_500)
        self.assertEqual(back.endpoint, home.endpoint)

    def test_plain_calls_spread_over_instances(self) -> None:
        scene = GatewayScene(endpoint('a', LEDGER), endpoint('b', LEDGER),
                             endpoint('c', LEDGER, FAR))
        placed = Counter(
            scene.ask('/submit/x', f'r{number}').endpoint
            for number in range(18))
        self.assertLessEqual(max(placed.values()), 7, placed)

    def test_light_load_stays_in_the_data_centre(self) -> None:
        scene = GatewayScene(A, endpoint('c', dc=FAR))
        for number in range(10):
            send = scene.ask('/tag/x', f'r{number}')
            self.assertEqual(send.endpoint, 'a')
            scene.post(ev.StreamStarted(send.attempt, head()))
            scene.post(ev.StreamEnded(send.attempt))


class FullMemoryTest(unittest.TestCase):
    """Runs that hold large prompts for seconds, more than there is room for."""

    def _fill(self) -> tuple[GatewayScene, list[fx.Send]]:
        """Returns engines with memory for seven large prompts each."""
        scene = GatewayScene(A, B)
        for number in range(20):
            scene.ask('/report/x',
                      f'r{number}',
                      parts=prompt(f'c{number}', f'own{number}'),
                      prompt_tokens=10_800)
            scene.advance(0.02)
        return scene, scene.all(fx.Send)

    def _go_on(self, scene: GatewayScene, seconds: float) -> None:
        """Lets time pass in which every run makes events."""
        end = scene.now + seconds
        while scene.now < end:
            for attempt in list(scene.state.calls.attempts):
                scene.post(ev.StreamStarted(attempt, head()))
                scene.post(ev.StreamEventsReceived(attempt, b'.', '', ''))
            scene.advance(0.2)

    def _end(self, scene: GatewayScene, send: fx.Send) -> None:
        scene.post(ev.StreamStarted(send.attempt, head()))
        scene.post(ev.StreamEventsReceived(send.attempt, b'.', '1', '1'))
        scene.post(ev.StreamEnded(send.attempt))

    def test_large_prompts_wait_while_none_has_memory_for_them(self) -> None:
        scene, sends = self._fill()
        memory = 84_000
        for name in ('a', 'b'):
            taken = sum(10_850 for each in sends if each.endpoint == name)
            self.assertLessEqual(taken, memory)
        self.assertLess(len(sends), 20)
        self.assertEqual(scene.all(fx.Refuse), [])
        self._end(scene, sends[0])
        scene.advance(0.2)
        self.assertEqual(len(scene.all(fx.Send)), len(sends) + 1)

    def test_small_prompts_go_on(self) -> None:
        scene, sends = self._fill()
        self.assertIsInstance(scene.ask('/tag/x', 'small'), fx.Send)
        self.assertEqual(len(scene.all(fx.Send)), len(sends) + 1)

    def test_those_in_time_go_before_those_that_are_late(self) -> None:
        scene, sends = self._fill()
        self._go_on(scene, 1.2)
        scene.ask('/report/x',
                  'fresh',
                  parts=prompt('other', 'mine'),
                  prompt_tokens=10_800)
        self._end(scene, sends[0])
        scene.advance(0.2)
        self.assertEqual(scene.last(fx.Send).request.attempt_id, 'caller-fresh')

    def test_waiting_ends_before_callers_give_up(self) -> None:
        scene, sends = self._fill()
        self._go_on(scene, 1.4)
        self.assertEqual(len(scene.all(fx.Send)), len(sends))
        # Callers give up what has not begun by four times its target.
        self._go_on(scene, 1.0)
        refused = scene.all(fx.Refuse)
        self.assertEqual(len(scene.all(fx.Send)) + len(refused), 20)
        self.assertEqual({each.status for each in refused}, {503})
        times = {each.retry_after_s for each in refused}
        self.assertEqual(len(times), len(refused))

    def test_large_fleet_does_not_flood_far_engines_that_nobody_tells_of(
            self) -> None:
        for vms, far in ((6, True), (60, False)):
            scene = GatewayScene(A, B, endpoint('c', dc=FAR))
            scene.read(
                View.VMS,
                *(ev.VmEntry(VmId(f'p{at}'), FAR, f'p{at}:1')
                  for at in range(vms)))
            for number in range(16):
                scene.ask('/report/x',
                          f'r{number}',
                          parts=prompt(f'c{number}', f'own{number}'),
                          prompt_tokens=10_800)
            engines = [send.endpoint for send in scene.all(fx.Send)]
            self.assertEqual('c' in engines[:12], far, vms)

    def test_large_prompt_finds_room_where_its_own_size_would_not_fit(
            self) -> None:
        scene = GatewayScene(A)
        for number in range(5):
            scene.ask('/report/x', f'r{number}', prompt_tokens=10_800)
        # 54,000 of 84,000 tokens are taken; the largest prompts have 30,000.
        sends = len(scene.all(fx.Send))
        scene.ask('/report/x', 'largest', prompt_tokens=30_000)
        self.assertEqual(len(scene.all(fx.Send)), sends + 1)

    def test_engine_where_requests_queue_has_no_room(self) -> None:
        scene = GatewayScene(A, B)
        first = scene.ask('/report/x', 'r0', prompt_tokens=9_500)
        queued = EndpointLoad(60, 3, 64, scene.now)
        scene.state.endpoints[first.endpoint].load = queued
        again = scene.ask('/report/x', 'r1', prompt_tokens=9_500)
        self.assertNotEqual(again.endpoint, first.endpoint)


class NewWeightsTest(unittest.TestCase):
    """Engines change over to new weights while load goes on."""

    def _scene(self) -> GatewayScene:
        scene = GatewayScene(A, endpoint('b', versions={MODEL: 2}))
        scene.advance(5.0)
        scene.read(View.OPERATOR, ev.NamedVersion(MODEL, 2))
        return scene

    def test_older_weights_serve_until_the_bound_is_near(self) -> None:
        scene = self._scene()
        view = scene.state.endpoints[EndpointId('b')]
        view.cooldown_until = scene.now + 100.0
        scene.now += 5.0
        self.assertEqual(scene.ask('/report/x').endpoint, 'a')
        scene.now += 4.0
        sends = len(scene.all(fx.Send))
        scene.ask('/report/x', 'r2')
        self.assertEqual(len(scene.all(fx.Send)), sends)

    def test_bound_runs_from_the_first_version_that_replaced_them(self) -> None:
        scene = GatewayScene(A)
        scene.read(View.OPERATOR, ev.NamedVersion(MODEL, 2))
        scene.now += 7.0
        scene.read(View.OPERATOR, ev.NamedVersion(MODEL, 3))
        self.assertIsInstance(scene.ask('/report/x'), fx.Send)
        scene.now += 2.0
        scene.ask('/report/x', 'r2')
        self.assertEqual(len(scene.all(fx.Send)), 1)

    def test_request_is_bound_to_the_engine_s_version(self) -> None:
        scene = self._scene()
        scene.state.endpoints[EndpointId('a')].cooldown_until = scene.now + 9.0
        send = scene.ask('/report/x')
        self.assertEqual((send.endpoint, send.version), ('b', 2))
        assert send.cache is not None
        self.assertTrue(send.cache.salt.startswith('2.'))

    def test_engine_that_changed_meanwhile_is_asked_again(self) -> None:
        scene = GatewayScene(A)
        scene.read(View.OPERATOR, ev.NamedVersion(MODEL, 2))
        send = scene.ask('/report/x')
        self.assertEqual(send.version, 1)
        scene.post(
            ev.AnswerArrived(send.attempt, head(421, not_run=True,
                                                signed=False), b''))
        self.assertEqual(scene.last(fx.Send).version, 2)

    def test_engines_that_change_over_are_spared_by_all(self) -> None:
        scene = GatewayScene(A, B)
        loads = {A.id: OwnLoad(0, 0, 0, 1.0)}
        scene.post(
            HintReceived(Hint(VmId('vm2'), Incarnation('life'), 1, loads)))
        for number in range(10):
            send = scene.ask('/report/x', f'r{number}')
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
    """Teams and versions share no parts that they must not."""

    def test_salts(self) -> None:
        scene = GatewayScene(A)
        shared = scene.ask('/report/x').cache
        alone = scene.ask('/report/x', 'r2', key='other').cache
        assert shared is not None and alone is not None
        self.assertNotEqual(shared.salt, alone.salt)


class StoredPartsTest(unittest.TestCase):
    """Parts are fetched only where they are surely whole."""

    def _scene(self) -> GatewayScene:
        scene = GatewayScene(A)
        scene.state.stores.clock_offset_ms = 0.0
        for name, store in scene.state.stores.views.items():
            scene.post(ev.StoreListed(name, 1, 0, {}, {}))
            self.assertIsInstance(store, StoreView)
        return scene

    def _keep(self, scene: GatewayScene, *parts: str) -> None:
        salt = self._salt(scene)
        kept = tuple((StoredPart(salt, part), 500) for part in parts)
        store = next(iter(scene.state.stores.views))
        scene.post(ev.StoreChanged(store, 1, 9, False, kept, 1.0))

    def _salt(self, scene: GatewayScene) -> str:
        send = scene.ask('/report/x', 'salt')
        scene.post(ev.CallerLeft(send.request.id))
        salt: str = send.cache.salt
        return salt

    def _plan(self, scene: GatewayScene) -> fx.CachePlan:
        send = scene.ask('/report/x',
                         'planned',
                         parts=prompt('context'),
                         prompt_tokens=9_500)
        plan: fx.CachePlan = send.cache
        return plan

    def test_whole_parts_are_fetched_until_a_set_time(self) -> None:
        scene = self._scene()
        self._keep(scene, 'opening', 'context')
        plan = self._plan(scene)
        self.assertTrue(plan.fetch_from[0] and plan.fetch_from[1])
        self.assertEqual(plan.fetch_from[2], '')
        self.assertGreater(plan.fetch_until_ms, 0)

    def test_new_parts_are_saved_but_never_a_request_s_own(self) -> None:
        plan = self._plan(self._scene())
        self.assertEqual(plan.fetch_from, ())
        self.assertTrue(plan.save_to[0] and plan.save_to[1])
        self.assertEqual(plan.save_to[2], '')

    def test_nothing_is_fetched_behind_a_missing_part(self) -> None:
        scene = self._scene()
        self._keep(scene, 'context')
        self.assertEqual(self._plan(scene).fetch_from, ())

    def test_nothing_is_fetched_from_a_store_that_is_unsure(self) -> None:
        store = ServiceId('store-a')
        troubles: dict[str, Callable[[GatewayScene], object]] = {
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
        for name, trouble in troubles.items():
            with self.subTest(name):
                scene = self._scene()
                self._keep(scene, 'opening', 'context')
                trouble(scene)
                self.assertEqual(self._plan(scene).fetch_from, ())

    def test_opening_parts_lie_at_two_stores(self) -> None:
        scene = self._scene()
        self._keep(scene, 'opening')
        first = next(iter(scene.state.stores.views.values()))
        plan = self._plan(scene)
        self.assertNotIn(plan.save_to[0], ('', first.spec.address))

    def test_replaced_parts_are_freed_once_no_engine_uses_them(self) -> None:
        scene = self._scene()
        self._keep(scene, 'opening', 'context')
        scene.read(View.OPERATOR, ev.NamedVersion(MODEL, 2))
        for _ in range(20):
            self._hear(scene, endpoint('a'))
            self.assertEqual(scene.all(fx.FreeParts), [])
        for _ in range(6):
            self._hear(scene, endpoint('a', versions={MODEL: 2}))
        freed = scene.last(fx.FreeParts)
        self.assertEqual({part.id for part in freed.parts},
                         {'opening', 'context'})

    def test_nothing_is_freed_by_a_vm_with_old_views(self) -> None:
        scene = self._scene()
        self._keep(scene, 'opening', 'context')
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
        self._keep(scene, 'opening', 'context')
        for view in View:
            scene.post(ev.ViewFailed(view, False, 'down'))
        for _ in range(10):
            scene.advance(0.8)
            store = next(iter(scene.state.stores.views))
            scene.post(ev.StoreChanged(store, 1, 9, False, (), 1.0))
        self.assertTrue(self._plan(scene).fetch_from)

    def _hear(self, scene: GatewayScene, entry: EndpointEntry) -> None:
        """Lets the views and the stores say something."""
        scene.advance(0.8)
        scene.read(View.OPERATOR)
        scene.read(View.REGISTRY, entry)
        store = next(iter(scene.state.stores.views))
        scene.post(ev.StoreChanged(store, 1, 9, False, (), 1.0))


class PeerMessageTest(unittest.TestCase):
    """Messages between VMs."""

    def test_come_back_as_they_were(self) -> None:
        part = StoredPart('1.s', 'p')
        messages: list[peer_messages.PeerMessage] = [
            Hint(VmId('vm'), Incarnation('l'), 7, {A.id: OwnLoad(1, 2, 3, 0.5)},
                 (('f', A.id),), (WeightsLoaded(A.id, MODEL, 2),), True),
            peer_messages.RelayedView(
                VmId('vm'), 'registry', 3, 5,
                (ev.RawRecord('k', b'v'), ev.RawRecord('gone', None))),
            peer_messages.RelayedStore(
                VmId('vm'),
                list(GatewayScene().state.stores.views)[0], 4, 5, 6, True,
                False, ((part, 9),), 1.5),
        ]
        messages.append(
            peer_messages.StoreBatch(
                tuple(each for each in messages
                      if isinstance(each, peer_messages.RelayedStore)) * 3))
        for message in messages:
            encoded = peer_messages.encode(message)
            self.assertEqual(peer_messages.decode(encoded), message)

    def test_noise_is_unreadable(self) -> None:
        for noise in (b'', b'\xff' * 40):
            self.assertIsInstance(peer_messages.decode(noise),
                                  peer_messages.InvalidMessage)
