"""Tests of what a VM computes for control as one of many."""

import random
import unittest

import attrs

from plantainridge.gateway import events as ev
from plantainridge.gateway import relays
from plantainridge.gateway.events import View
from plantainridge.gateway.hints import HintReceived
from plantainridge.gateway.peer_messages import Hint
from plantainridge.gateway.peer_ranks import (LOAD_SUBJECT, rendezvous_hash,
                                              weighted_rank)
from plantainridge.ids import Incarnation, VmId
from tests.gateway_scene import LOCAL_DC, REMOTE_DC, GatewayScene, endpoint

SUBJECTS = ('operator', 'store-a', 'store-b', LOAD_SUBJECT)


class KeptOrderTest(unittest.TestCase):
    """Orders of the VMs that are kept while the VMs stay the same."""

    def setUp(self) -> None:
        self.rng = random.Random(5)
        self.scene = GatewayScene(endpoint('a'), vm='vm0')
        self.state = self.scene.state

    def _change(self, number: int) -> None:
        """Change a VM's entry, a hint, the clock or this VM's link."""
        vm = VmId(f'vm{self.rng.randrange(12)}')
        self.scene.now += self.rng.choice((0.0, 0.3, 1.0))
        if self.rng.random() < 0.3:
            settings = attrs.evolve(self.state.settings,
                                    link_mbps=self.rng.choice((5.0, 100.0)))
            self.state.settings = settings
        if self.rng.random() < 0.5:
            dc = self.rng.choice((LOCAL_DC, LOCAL_DC, REMOTE_DC))
            entry = ev.VmEntry(vm, dc, f'{vm}:1', self.rng.choice((5.0, 100.0)))
            self.scene.read(View.VMS, entry)
        elif vm != self.state.settings.vm:
            hint = Hint(vm,
                        Incarnation('life'),
                        number, {},
                        cannot_read=self.rng.random() < 0.2)
            self.scene.post(HintReceived(hint))

    def _live(self, now: float) -> set[VmId]:
        return {each.vm for each in relays.live_peers(self.state, now)}

    def test_elections_follow_every_change_of_the_vms(self) -> None:
        # An order that outlives a change makes two VMs, or none, read a view.
        for number in range(400):
            self._change(number)
            now, own = self.scene.now, self.state.settings
            live = self._live(now)
            for subject in SUBJECTS:
                ranks = {
                    vm:
                        weighted_rank(vm, subject,
                                      self.state.peers[vm].link_mbps)
                    for vm in live
                }
                ranks[own.vm] = weighted_rank(own.vm, subject, own.link_mbps)
                readers = {
                    vm: rank for vm, rank in ranks.items() if vm == own.vm or
                    not self.state.hints.received[vm].hint.cannot_read
                }
                self.assertEqual(
                    relays.is_reader(self.state, subject, now),
                    min(readers, key=readers.__getitem__) == own.vm)
                hashes = [
                    rendezvous_hash(vm, subject)
                    for vm in self.state.peers
                    if vm != own.vm
                ]
                below = rendezvous_hash(own.vm, subject)
                self.assertEqual(relays.rank(self.state, subject),
                                 sum(each < below for each in hashes))
                if subject == LOAD_SUBJECT:
                    self.assertEqual(relays.load_reporter(self.state, now),
                                     min(ranks, key=ranks.__getitem__))
