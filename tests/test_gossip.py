"""Tests of gossip between VMs."""

import asyncio
import random
import unittest

from plantainridge import gossip, members, virtual_time
from plantainridge import peer_messages as pm
from plantainridge.gossip import Topic
from plantainridge.ids import VmId
from plantainridge.loop.effects import SendPeer
from plantainridge.loop.events import PeerMessageReceived
from plantainridge.loop.peers_net import NetPeers
from plantainridge.loop.tasks import Tasks
from plantainridge.reports import log_fault
from plantainridge.standins.world import World

VMS = 46
BUDGET_BYTES_PER_S = 2_000
DATAGRAM_HEADER_BYTES = 28


class SpreadTest(unittest.TestCase):
    """Values and heartbeats reach all VMs within the byte budget."""

    def test_a_data_centre_of_the_design_size(self) -> None:

        async def scenario() -> None:
            world = World(vms=VMS)
            await asyncio.sleep(10)
            states = [vm.runtime.state for vm in world.vms]
            before = [state.gossip.sent_bytes for state in states]
            rounds = [state.gossip.count for state in states]
            for _ in range(20):
                now = world.vms[0].runtime.loop.time()
                for state in states:
                    self.assertEqual(len(members.live_in_dc(state, now)), VMS)
                await asyncio.sleep(1)
            gossip.publish(states[0], Topic.SUSPECTS, b'crashed')
            await asyncio.sleep(6)
            now = world.vms[0].runtime.loop.time()
            values = [
                dict(gossip.received_values(state, Topic.SUSPECTS, now, 6.0))
                for state in states[1:]
            ]
            self.assertGreaterEqual(
                sum(each.get(VmId('vm0')) == b'crashed' for each in values),
                VMS * 0.9)
            for state, bytes_0, rounds_0 in zip(states, before, rounds):
                sent = state.gossip.sent_bytes - bytes_0
                sent += DATAGRAM_HEADER_BYTES * (state.gossip.count - rounds_0)
                # Received bytes are assumed equal to sent bytes.
                self.assertLess(2 * sent / 26, BUDGET_BYTES_PER_S)

        virtual_time.run(scenario())

    def test_a_dead_vm_is_detected_and_its_new_incarnation_is_received(
            self) -> None:

        async def scenario() -> None:
            world = World(vms=3)
            await asyncio.sleep(5)
            state = world.vms[0].runtime.state
            gossip.publish(world.vms[2].runtime.state, Topic.DEMAND, b'old')
            await asyncio.sleep(3)
            world.vms[2].runtime.halt()
            await asyncio.sleep(members.DEAD_AFTER_S + 2)
            now = world.vms[0].runtime.loop.time()
            self.assertEqual(members.live_in_dc(state, now), ['vm0', 'vm1'])
            restarted = world.start_vm('vm2')
            gossip.publish(restarted.runtime.state, Topic.DEMAND, b'new')
            await asyncio.sleep(4)
            now = world.vms[0].runtime.loop.time()
            self.assertEqual(members.live_in_dc(state, now),
                             ['vm0', 'vm1', 'vm2'])
            self.assertIn(
                (VmId('vm2'), b'new'),
                list(gossip.received_values(state, Topic.DEMAND, now, 4.0)))

        virtual_time.run(scenario())


class MessageTest(unittest.TestCase):
    """Malformed messages are dropped and counted."""

    def test_malformed_bytes_never_raise(self) -> None:

        async def scenario() -> None:
            world = World()
            state = world.vms[0].runtime.state
            encoded = pm.encode(
                pm.PeerMessage(
                    VmId('vm9'), '', 1,
                    pm.GossipUpdate(
                        3, {7: 8},
                        (pm.Value(VmId('vm9'), 'demand', 1, b'x'),))))
            rng = random.Random(1)
            for _ in range(2_000):
                damaged = bytearray(encoded)
                damaged[rng.randrange(len(damaged))] = rng.randrange(256)
                truncated = bytes(damaged[:rng.randint(0, len(damaged))])
                world.vms[0].runtime.post(
                    PeerMessageReceived(VmId('vm9'), truncated))
            self.assertGreater(state.gossip.dropped, 500)

        virtual_time.run(scenario())


class SocketTest(unittest.TestCase):
    """Small and large messages are delivered over loopback sockets."""

    def test_a_datagram_and_a_stream_message_arrive(self) -> None:

        async def scenario() -> None:
            tasks, received = Tasks(log_fault), asyncio.Queue[bytes]()
            a = NetPeers('127.0.0.1', 0, tasks)
            b = NetPeers('127.0.0.1', 0, tasks)
            await a.start(lambda event: None)

            def on_event(event: object) -> None:
                assert isinstance(event, PeerMessageReceived)
                received.put_nowait(event.payload)

            await b.start(on_event)
            for size in (10, 300_000):
                a.send(SendPeer(VmId('b'), b.address, b'x' * size))
                arrived = await asyncio.wait_for(received.get(), 30)
                self.assertEqual(len(arrived), size)
            await tasks.cancel()
            await a.stop()
            await b.stop()

        asyncio.run(scenario())
