"""Tests of streams whose service has engines of several builds."""

import random
import unittest
from collections.abc import Callable
from typing import Any

import attrs

from plantainridge.gateway import builds
from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway import origin_holders, peer_messages, resumptions
from plantainridge.gateway.builds import (BuildTable, Origin, RegistryRead,
                                          Unresolved)
from plantainridge.gateway.config import RequestKind, Share
from plantainridge.gateway.events import Failure, View
from plantainridge.gateway.hints import HintReceived
from plantainridge.gateway.peer_messages import (Hint, OriginQuestion,
                                                 StreamOrigins)
from plantainridge.gateway.wire import RawRequest
from plantainridge.ids import Incarnation, RequestId, ServiceId, VmId
from plantainridge.loop.effects import SendPeer
from plantainridge.loop.peers_net import MAX_DATAGRAM_BYTES
from plantainridge.platform import names
from plantainridge.platform.requests import PlatformWire
from tests.build_fleet import BuildFleet, begin_stream, resume_stream
from tests.gateway_scene import (ENGINES, LOCAL_DC, REMOTE_DC, GatewayScene,
                                 configuration, endpoint, head, route)
from tests.registry_fleet import unreliable

OLD = endpoint('old', build='v1', started_ms=1)
# Costs more than an engine of this data centre.
OLD_FAR = endpoint('old-far', dc=REMOTE_DC, build='v1', started_ms=1)
NEW = endpoint('new', build='v2', started_ms=1)
NEW_FAR = endpoint('new-far', dc=REMOTE_DC, build='v2', started_ms=1)
OTHER = ServiceId('other')
VM0, VM1 = VmId('vm0'), VmId('vm1')


def stall(scene: GatewayScene, send: fx.Send) -> None:
    """Advance the clock until an engine counts as silent."""
    del send
    scene.advance(3.0)


def break_off(scene: GatewayScene, send: fx.Send) -> None:
    """Break the connection to an engine."""
    scene.post(ev.SendFailed(send.attempt, Failure.BROKEN))


def leave(scene: GatewayScene, send: fx.Send) -> None:
    """Let an engine state that it leaves, and break the connection."""
    scene.post(ev.EndpointNotified(send.endpoint, head(leaving=True)))
    break_off(scene, send)


def start_again(scene: GatewayScene, send: fx.Send) -> None:
    """Start an engine anew under its id, with another build."""
    scene.read(View.REGISTRY, endpoint('old', build='v2', started_ms=2))
    break_off(scene, send)


def change_build(scene: GatewayScene, send: fx.Send) -> None:
    """Change the build in an engine's entry, without a stated start."""
    scene.read(View.REGISTRY, endpoint('old', build='v2', started_ms=1))
    break_off(scene, send)


def remove(scene: GatewayScene, send: fx.Send) -> None:
    """Remove an engine's entry, and break the connection."""
    # Entries may reappear for a while after the first read.
    for _ in range(3):
        scene.now += 1.0
        scene.read(View.REGISTRY)
    scene.read(View.REGISTRY, ev.EndpointRemoved(OLD.id))
    break_off(scene, send)


LOSSES: dict[str, Callable[[GatewayScene, fx.Send], None]] = {
    'a break': break_off,
    'a silent engine': stall,
    'a leaving engine': leave,
    'a new start of the engine with another build': start_again,
    'another build in the entry': change_build,
    'a removed entry': remove,
}


class ResumedWithinAnswerTest(unittest.TestCase):
    """Tests of streams that this VM resumes within one answer."""

    def test_goes_on_at_another_engine_of_its_build(self) -> None:
        resumed = {}
        for name, lose in LOSSES.items():
            scene = GatewayScene(OLD)
            first = begin_stream(scene)
            scene.read(View.REGISTRY, NEW, OLD_FAR)
            lose(scene, first)
            second = scene.last(fx.Send)
            resumed[name] = second.endpoint, second.last_event_id
        self.assertEqual(resumed, dict.fromkeys(LOSSES, ('old-far', '1')))

    def test_goes_to_no_engine_of_another_build(self) -> None:
        ends = {}
        for name, lose in LOSSES.items():
            scene = GatewayScene(OLD)
            first = begin_stream(scene)
            scene.read(View.REGISTRY, NEW)
            lose(scene, first)
            # Longer than the request may take.
            scene.advance(11.0)
            ends[name] = len(scene.all(fx.Send)), len(scene.all(fx.AbortReply))
        self.assertEqual(ends, dict.fromkeys(LOSSES, (1, 1)))

    def test_ends_at_once_where_no_engine_of_its_build_stays(self) -> None:
        for lose in (leave, start_again, remove):
            scene = GatewayScene(OLD)
            first = begin_stream(scene)
            scene.read(View.REGISTRY, NEW)
            lose(scene, first)
            self.assertIsInstance(scene.done[-1], fx.AbortReply, lose)

    def test_stays_at_its_build_after_a_rejection(self) -> None:
        scene = GatewayScene(OLD)
        first = begin_stream(scene)
        scene.read(View.REGISTRY, NEW, OLD_FAR)
        break_off(scene, first)
        scene.post(
            ev.AnswerArrived(
                scene.last(fx.Send).attempt,
                head(503, not_run=True, signed=False), b''))
        scene.advance(1.0)
        self.assertNotIn('new', [each.endpoint for each in scene.all(fx.Send)])

    def test_before_its_first_event_it_goes_to_any_build(self) -> None:
        scene = GatewayScene(OLD)
        first = begin_stream(scene, event_id='')
        scene.read(View.REGISTRY, NEW)
        break_off(scene, first)
        self.assertEqual(scene.last(fx.Send).endpoint, 'new')


class RestartedEndpointTest(unittest.TestCase):
    """Tests of an engine that answers before the entry of its run is read.

    Each guards against a stream that is taken for one of the earlier run's
    build and goes on there.
    """

    RESTARTED = endpoint('old', build='v2', started_ms=2)

    def _restart(self, scene: GatewayScene, after_s: float) -> None:
        """Read the entry of a new run; further events of it arrive later."""
        scene.read(View.REGISTRY, self.RESTARTED, OLD_FAR, NEW_FAR)
        scene.advance(after_s)
        send = scene.last(fx.Send)
        scene.post(ev.StreamEventsReceived(send.attempt, b'two', '2', '2'))

    def test_connection_that_outlasts_the_entry_is_of_the_new_run(self) -> None:
        scene = GatewayScene(OLD)
        send = begin_stream(scene)
        self._restart(scene, 1.1)
        break_off(scene, send)
        self.assertEqual(scene.last(fx.Send).endpoint, 'new-far')
        scene.post(ev.CallerLeft(RequestId('r1')))
        scene.read(View.REGISTRY, endpoint('old', draining=True, build='v2'))
        resume_stream(scene)
        self.assertEqual(scene.last(fx.Send).endpoint, 'new-far')

    def test_events_that_were_under_way_are_of_the_earlier_run(self) -> None:
        for after_s in (0.0, 0.3):
            scene = GatewayScene(OLD)
            send = begin_stream(scene)
            self._restart(scene, after_s)
            break_off(scene, send)
            self.assertEqual(scene.last(fx.Send).endpoint, 'old-far')

    def test_ends_where_it_had_begun_at_another_engine(self) -> None:
        scene = GatewayScene(OLD_FAR)
        first = begin_stream(scene)
        scene.read(View.REGISTRY, OLD)
        break_off(scene, first)
        self.assertEqual(scene.last(fx.Send).endpoint, 'old')
        scene.post(
            ev.StreamEventsReceived(
                scene.last(fx.Send).attempt, b'two', '2', '2'))
        self._restart(scene, 1.1)
        self.assertIsInstance(scene.done[-1], fx.AbortReply)

    def test_goes_on_elsewhere_while_no_event_was_forwarded(self) -> None:
        scene = GatewayScene(OLD_FAR)
        begin_stream(scene)
        scene.post(ev.CallerLeft(RequestId('r1')))
        scene.read(View.REGISTRY, OLD)
        scene.read(
            View.REGISTRY,
            endpoint('old-far',
                     dc=REMOTE_DC,
                     draining=True,
                     build='v1',
                     started_ms=1))
        resume_stream(scene)
        second = scene.last(fx.Send)
        self.assertEqual(second.endpoint, 'old')
        scene.post(ev.StreamStarted(second.attempt, head()))
        scene.read(View.REGISTRY, self.RESTARTED,
                   endpoint('old-third', dc=REMOTE_DC, build='v1'))
        forwarded = len(scene.all(fx.ForwardStreamEvents))
        scene.post(ev.StreamEventsReceived(second.attempt, b'two', '2', '2'))
        self.assertEqual(len(scene.all(fx.ForwardStreamEvents)), forwarded)
        self.assertEqual(scene.last(fx.Send).endpoint, 'old-third')

    def test_another_address_is_another_process(self) -> None:
        scene = GatewayScene(OLD)
        send = begin_stream(scene, event_id='')
        scene.read(View.REGISTRY, attrs.evolve(self.RESTARTED,
                                               address='moved:1'), NEW_FAR,
                   OLD_FAR)
        scene.post(ev.StreamEventsReceived(send.attempt, b'one', '1', '1'))
        break_off(scene, send)
        self.assertEqual(scene.last(fx.Send).endpoint, 'old-far')


class NewTryTest(unittest.TestCase):
    """Tests of streams that callers take up again at the same VM."""

    def _begin(self, *later: ev.ViewUpdate) -> GatewayScene:
        scene = GatewayScene(OLD)
        begin_stream(scene)
        scene.post(ev.CallerLeft(RequestId('r1')))
        scene.read(View.REGISTRY, *later)
        return scene

    def _assert_refused(self, scene: GatewayScene, sends: int) -> None:
        self.assertEqual(len(scene.all(fx.Send)), sends)
        refused = scene.last(fx.Refuse)
        self.assertEqual(refused.status, 503)
        self.assertIsNotNone(refused.retry_after_s)

    def test_goes_on_at_its_build(self) -> None:
        scene = self._begin(
            NEW, OLD_FAR,
            endpoint('old', draining=True, build='v1', started_ms=1))
        resume_stream(scene)
        self.assertEqual(scene.last(fx.Send).endpoint, 'old-far')

    def test_a_second_try_names_the_first_attempt(self) -> None:
        scene = self._begin(
            NEW, OLD_FAR,
            endpoint('old', draining=True, build='v1', started_ms=1))
        for name in ('r2', 'r3'):
            resume_stream(scene, name)
            send = scene.last(fx.Send)
            self.assertEqual((send.request.id, send.endpoint),
                             (name, 'old-far'))
            scene.post(ev.StreamStarted(send.attempt, head()))
            scene.post(ev.StreamEventsReceived(send.attempt, b'two', '2', '2'))
            scene.post(ev.CallerLeft(RequestId(name)))

    def test_the_build_is_that_of_the_run(self) -> None:
        for started_ms in (1, 2):
            scene = self._begin(
                endpoint('old', build='v2', started_ms=started_ms), OLD_FAR)
            resume_stream(scene)
            self.assertEqual(
                scene.last(fx.Send).endpoint, 'old-far', started_ms)

    def test_is_refused_where_all_engines_of_its_build_leave(self) -> None:
        scene = self._begin(
            NEW, endpoint('old', draining=True, build='v1', started_ms=1))
        resume_stream(scene)
        scene.advance(1.0)
        self._assert_refused(scene, 1)

    def test_is_refused_where_no_engine_has_its_build(self) -> None:
        scene = self._begin(NEW, endpoint('old', build='v2', started_ms=2))
        resume_stream(scene)
        scene.advance(1.0)
        self._assert_refused(scene, 1)

    def test_is_refused_where_its_beginning_is_not_known(self) -> None:
        for resumes in ('caller-unknown', ''):
            scene = self._begin(NEW, OLD_FAR)
            resume_stream(scene, resumes=resumes)
            scene.advance(1.0)
            self._assert_refused(scene, 1)

    def test_is_refused_while_another_build_was_seen_lately(self) -> None:
        sends = {}
        for watched_s in (30, 70):
            scene = GatewayScene(OLD, NEW)
            scene.read(View.REGISTRY, ev.EndpointRemoved(NEW.id))
            for _ in range(watched_s):
                scene.advance(1.0)
                scene.read(View.REGISTRY)
            resume_stream(scene, resumes='caller-unknown')
            scene.advance(0.6)
            sends[watched_s] = len(scene.all(fx.Send))
        self.assertEqual(sends, {30: 0, 70: 1})

    def test_build_of_an_entry_read_since_the_send(self) -> None:
        scene = GatewayScene(OLD)
        send = begin_stream(scene, event_id='')
        scene.read(View.REGISTRY, NEW_FAR,
                   endpoint('old', build='v2', started_ms=2))
        scene.post(ev.StreamEventsReceived(send.attempt, b'one', '1', '1'))
        break_off(scene, send)
        self.assertEqual(scene.last(fx.Send).endpoint, 'new-far')

    def test_without_events_it_is_like_a_new_one(self) -> None:
        scene = GatewayScene(OLD)
        begin_stream(scene, event_id='')
        scene.post(ev.CallerLeft(RequestId('r1')))
        scene.read(View.REGISTRY, NEW,
                   endpoint('old', draining=True, build='v1', started_ms=1))
        scene.post_request('/report/x', 'r2', body=b'r1')
        self.assertEqual(scene.last(fx.Send).endpoint, 'new')

    def test_goes_on_without_a_record_while_one_build_was_seen(self) -> None:
        # A VM that has just started; callers may name no attempt.
        for first, second in (('', ''), ('unknown', 'also unknown')):
            scene = GatewayScene(OLD)
            scene.post_request('/report/x',
                               'r1',
                               last_event_id='1',
                               resumes=first)
            scene.advance(0.6)
            self.assertEqual(scene.last(fx.Send).endpoint, 'old')
            scene.read(View.REGISTRY, NEW)
            scene.post_request('/report/x',
                               'r2',
                               last_event_id='1',
                               resumes=second)
            scene.advance(0.6)
            self.assertEqual(scene.last(fx.Refuse).status, 503)
            self.assertEqual(len(scene.all(fx.Send)), 1)


class SplitRouteTest(unittest.TestCase):
    """Tests of a route whose traffic is split over two services."""

    def test_goes_on_at_its_service(self) -> None:
        split = route('/report/', RequestKind.STREAM, ENGINES, resumable=True)
        routes = (type(split)(split.name,
                              split.host,
                              split.prefix,
                              split.kind,
                              (Share(ENGINES, 1.0), Share(OTHER, 9.0)),
                              1.0,
                              10.0,
                              0.3,
                              2,
                              resumable=True),)
        scene = GatewayScene(OLD)
        begin_stream(scene)
        scene.post(ev.CallerLeft(RequestId('r1')))
        scene.read(View.OPERATOR, configuration(2, routes=routes))
        scene.read(
            View.REGISTRY,
            *(endpoint(name, OTHER, build='v1', versions=OLD.versions)
              for name in ('x', 'y')))
        for number in range(8):
            resume_stream(scene, f't{number}')
            scene.advance(0.3)
        self.assertEqual({each.endpoint for each in scene.all(fx.Send)},
                         {'old'})

    def test_goes_on_without_a_record_after_its_route_was_moved(self) -> None:
        moved = route('/report/', RequestKind.STREAM, OTHER, resumable=True)
        scene = GatewayScene(OLD)
        scene.read(View.REGISTRY,
                   endpoint('x', OTHER, build='v7', versions=OLD.versions))
        scene.read(View.OPERATOR, configuration(2, routes=(moved,)))
        resume_stream(scene, resumes='')
        self.assertEqual(scene.last(fx.Send).endpoint, 'x')


class SeveralVmsTest(unittest.TestCase):
    """Tests of streams that callers take up again at other VMs."""

    def _resume_all(self, fleet: BuildFleet, vm: VmId, begun: dict[str,
                                                                   str]) -> int:
        """Resume streams; return how many go on, none at another build."""
        went_on = 0
        for name, build in begun.items():
            found = fleet.resume(vm, f'{name}-again', name)
            if isinstance(found, str):
                self.assertEqual(found, build, name)
                went_on += 1
            else:
                self.assertEqual(found.status, 503)
                self.assertIsNotNone(found.retry_after_s)
        return went_on

    def _fleet(self, *served: str) -> tuple[BuildFleet, dict[str, str]]:
        """Begin streams at one VM; engines of a further build then start."""
        fleet = BuildFleet(3, *served)
        begun = {f's{at}': fleet.begin(VM0, f's{at}') for at in range(8)}
        self.assertEqual(set(begun.values()), set(served))
        fleet.add_engines('v9')
        fleet.run(1.5)
        return fleet, begun

    def test_go_on_at_another_vm(self) -> None:
        for served in (('v1',), ('v1', 'v2')):
            fleet, begun = self._fleet(*served)
            self.assertEqual(self._resume_all(fleet, VM1, begun), 8, served)

    def test_go_on_after_their_vm_was_killed(self) -> None:
        for served in (('v1',), ('v1', 'v2')):
            fleet, begun = self._fleet(*served)
            fleet.kill(VM0)
            fleet.run(0.5)
            self.assertEqual(self._resume_all(fleet, VM1, begun), 8, served)

    def test_go_on_at_a_vm_that_has_just_started(self) -> None:
        # The VM that began them, another one, and one after the other.
        for killed in ((VM0,), (VM1,), (VM1, VM0)):
            fleet, begun = self._fleet('v1', 'v2')
            for vm in killed:
                fleet.kill(vm)
                fleet.run(2.0)
                fleet.restart(vm)
                fleet.run(2.0)
            self.assertEqual(self._resume_all(fleet, killed[0], begun), 8,
                             killed)

    def test_are_refused_where_all_vms_were_killed(self) -> None:
        fleet, begun = self._fleet('v1', 'v2')
        for vm in fleet.vms:
            fleet.kill(vm)
        fleet.run(0.5)
        for vm in fleet.vms:
            fleet.restart(vm)
        fleet.run(2.0)
        self.assertEqual(self._resume_all(fleet, VM1, begun), 0)

    def test_never_mix_at_a_vm_without_its_peers(self) -> None:
        fleet = BuildFleet(3, 'v1', 'v2')
        fleet.unreachable.add(VM1)
        fleet.run(2.0)
        begun = {f's{at}': fleet.begin(VM0, f's{at}') for at in range(8)}
        fleet.add_engines('v9')
        fleet.run(1.5)
        self.assertEqual(self._resume_all(fleet, VM1, begun), 0)

    def test_most_go_on_while_messages_are_lost(self) -> None:
        fleet = BuildFleet(3, 'v1', 'v2')
        fleet.deliver = unreliable(random.Random(5))
        begun = {f's{at}': fleet.begin(VM0, f's{at}') for at in range(12)}
        fleet.add_engines('v9')
        fleet.run(3.0)
        self.assertGreaterEqual(self._resume_all(fleet, VM1, begun), 6)


class MessageTest(unittest.TestCase):
    """Tests of the records of streams that VMs send one another."""

    def _scene(self, size: int, watched_s: float) -> GatewayScene:
        """Return a VM with peers in two data centres."""
        scene = GatewayScene(OLD)
        scene.read(
            View.VMS,
            *(ev.VmEntry(VmId(f'vm{at}'), dc, f'10.0.0.{at}:1')
              for at, dc in enumerate([LOCAL_DC] * size + [REMOTE_DC] * size)))
        for at in range(size):
            scene.post(
                HintReceived(Hint(VmId(f'vm{at}'), Incarnation('life'), 1, {})))
        scene.state.builds.watched_since = scene.now - watched_s
        scene.done.clear()
        return scene

    def _send_records(self, size: int) -> list[SendPeer]:
        """Return the messages of a VM that begins a stream."""
        scene = self._scene(size, 0.0)
        begin_stream(scene)
        kinds = [type(each) for each in scene.done]
        sent = scene.all(SendPeer)
        self.assertLess(kinds.index(SendPeer),
                        kinds.index(fx.ForwardStreamEvents))
        return sent

    def test_records_precede_the_first_event(self) -> None:
        recipients = {
            size: len({each.vm for each in self._send_records(size)})
            for size in (3, 6, 20)
        }
        # Up to 12 VMs all others, of more only some.
        self.assertEqual(recipients, {3: 5, 6: 11, 20: origin_holders.HOLDERS})

    def test_records_are_batched_while_one_build_was_seen(self) -> None:
        scene = self._scene(3, builds.ORIGIN_RETENTION_S)
        ended = begin_stream(scene, 'ended')
        scene.post(ev.StreamEnded(ended.attempt))
        for name in ('r1', 'r2'):
            begin_stream(scene, name)
        self.assertEqual(scene.all(SendPeer), [])
        scene.advance(0.11)
        messages = [(each.vm, message)
                    for each in scene.all(SendPeer)
                    if isinstance(message := peer_messages.decode(each.payload),
                                  StreamOrigins)]
        keys = tuple(
            builds.attempt_key(f'caller-{name}') for name in ('r1', 'r2'))
        batch = StreamOrigins(ENGINES, 'v1', keys)
        self.assertEqual(
            sorted(vm for vm, _ in messages),
            sorted(scene.state.peers.keys() - {scene.state.settings.vm}))
        self.assertEqual({message for _, message in messages}, {batch})

    def test_messages_survive_encoding_and_fit_into_a_datagram(self) -> None:
        keys = tuple(
            builds.attempt_key(f'{at}')
            for at in range(resumptions.MAX_STREAMS_PER_MESSAGE))
        for message in (StreamOrigins(ServiceId('s' * 40), 'v1.2', keys),
                        OriginQuestion(VmId('v' * 40), keys, 'a' * 21)):
            payload = peer_messages.encode(message)
            self.assertEqual(peer_messages.decode(payload), message)
            self.assertLessEqual(len(payload), MAX_DATAGRAM_BYTES)


class BuildTableTest(unittest.TestCase):
    """Tests of the table of origins, and of the decision."""

    def test_where_a_stream_goes_on(self) -> None:
        here, elsewhere = Origin(ENGINES, 'v1'), Origin(OTHER, 'v1')
        read, awaited, old = RegistryRead
        cases: dict[str, tuple[
            Origin | None, Origin | None, bool, RegistryRead, Any]] = {
                'known': (here, None, True, old, here),
                'known of several': (here, Origin(ENGINES,
                                                  'v2'), False, old, here),
                'known, the registry is read':
                    (here, None, False, awaited, Unresolved.READ),
                'another service':
                    (elsewhere, here, False, read, Unresolved.OTHER_SERVICE),
                'peers may know': (None, here, True, read, Unresolved.ASK),
                'nobody knows, one origin': (None, here, False, read, here),
                'nobody knows, one origin, the registry is read':
                    (None, here, False, awaited, Unresolved.READ),
                'nobody knows, one origin, the registry was not read':
                    (None, here, False, old, Unresolved.UNREAD),
                'nobody knows': (None, None, False, read, Unresolved.UNKNOWN),
            }
        for name, (known, only, may_ask, registry, expected) in cases.items():
            with self.subTest(name):
                found = builds.resolve(known, only, [ENGINES], may_ask,
                                       registry)
                self.assertEqual(found, expected)

    def test_origins_are_bounded_by_age_and_number(self) -> None:
        table = BuildTable()
        origin = Origin(ENGINES, 'v1')
        for key in range(builds.MAX_ORIGINS + 5):
            table.record(key, origin, 0.0)
            table.unshared[key] = origin
        self.assertEqual(len(table.origins), builds.MAX_ORIGINS)
        self.assertIsNone(table.find(0, 0.0))
        self.assertEqual(table.find(5, builds.ORIGIN_RETENTION_S), origin)
        table.record(0, origin, builds.ORIGIN_RETENTION_S + 1.0)
        self.assertEqual((list(table.origins), list(table.unshared)), ([0], []))


class ResumesHeaderTest(unittest.TestCase):
    """Tests of the header that names the attempt with the first event."""

    def test_is_read_and_forwarded(self) -> None:
        raw = RawRequest(b'POST', b'/report/x',
                         ((b'host', b'host'), (names.ATTEMPT_ID, b'two'),
                          (names.LAST_EVENT_ID, b'4'), (names.RESUMES, b'one')),
                         b'')
        read = PlatformWire().read_request(RequestId('r'), raw)
        assert isinstance(read, ev.Request)
        self.assertEqual((read.last_event_id, read.resumes), ('4', 'one'))
        self.assertIn((names.RESUMES, b'one'), read.headers)


if __name__ == '__main__':
    unittest.main()
