"""Tests of team limits and fair shares."""

import random
import unittest

import attrs

from plantainridge import fairness, limits, members
from plantainridge.events import Member, MembersListed, TimerKind
from plantainridge.gossip import ReceivedValue, Topic
from plantainridge.ids import DcId, Incarnation, TeamId, VmId
from plantainridge.loop.events import TimerFired, TimerKey
from plantainridge.standins.traffic import new_team
from plantainridge.standins.world import sample_config
from plantainridge.state import VmState

TEAM = TeamId('bureau')
TICK = TimerFired(TimerKey(TimerKind.TICK))
DC = DcId('neihu')
STEP_S = 0.25


class VmGroup:
    """Reducer states of several VMs that exchange demand reports."""

    def __init__(self, size: int, limit: int) -> None:
        names = [VmId(f'vm{i}') for i in range(size)]
        listed = MembersListed(
            tuple(Member(name, DC, '', False) for name in names))
        team = new_team(TEAM, max_running=limit)
        declared = attrs.evolve(sample_config(), revision=0, teams={TEAM: team})
        self.states = [
            VmState(name, DC, Incarnation(name), random.Random(1))
            for name in names
        ]
        for state in self.states:
            state.config = declared
            list(members.on_listed(state, listed, 0.0))
        self.now = 0.0

    def tick(self, partitioned: bool = False) -> None:
        """Advance time by one tick; deliver reports unless partitioned."""
        self.now += STEP_S
        for state in self.states:
            list(limits.on_tick(state, TICK, self.now))
        if partitioned:
            return
        for other in self.states:
            value = other.gossip.own.get(Topic.DEMAND)
            if value is None:
                continue
            for state in self.states:
                if other is not state:
                    received = state.gossip.received.setdefault(other.vm, {})
                    received[Topic.DEMAND] = ReceivedValue(value, self.now)

    def fill(self, state: VmState) -> None:
        """Admit calls until the limit is reached."""
        while not limits.reached(state, TEAM):
            state.calls.running[TEAM] += 1
        usage = state.limits.team_usage(TEAM)
        usage.limited.add(5.0, self.now)
        usage.offered.add(5.0, self.now)

    def running(self) -> int:
        """Count the calls on all VMs."""
        return sum(state.calls.running[TEAM] for state in self.states)


class LimitShareTest(unittest.TestCase):
    """A limit holds across all VMs."""

    def test_shares_add_up_to_the_limit(self) -> None:
        for size, limit in ((1, 5), (3, 7), (7, 2), (4, 64)):
            with self.subTest(size=size, limit=limit):
                group = VmGroup(size, limit)
                group.tick()
                for state in group.states:
                    group.fill(state)
                self.assertEqual(group.running(), limit)

    def test_moves_to_demand_and_never_exceeds_the_limit(self) -> None:
        group = VmGroup(4, 40)
        for _ in range(120):
            group.tick()
            group.fill(group.states[0])
            self.assertLessEqual(group.running(), 40)
        self.assertGreaterEqual(group.states[0].calls.running[TEAM], 30)
        for _ in range(60):
            group.tick()
            group.fill(group.states[1])
            self.assertLessEqual(group.running(), 40)

    def test_falls_back_to_even_shares_without_reports(self) -> None:
        group = VmGroup(4, 40)
        for _ in range(30):
            group.tick()
            group.fill(group.states[0])
        group.states[0].calls.running.clear()
        for _ in range(80):
            group.tick(partitioned=True)
        for state in group.states:
            group.fill(state)
        self.assertEqual(group.running(), 40)

    def test_decode_rejects_invalid_payloads(self) -> None:
        for payload in (b'', b'{}', b'[1]', b'[true,[["t"]]]', b'\xff'):
            self.assertIsInstance(limits.decode(payload), limits.InvalidDemand)


class FairShareTest(unittest.TestCase):
    """Only teams that offer more than their fair share are over it."""

    def test_lists_teams_over_their_share(self) -> None:
        small, middle, flood = (TeamId(n) for n in ('small', 'middle', 'flood'))
        cases: list[tuple[dict[TeamId, float], float, set[TeamId]]] = [
            # Nothing is refused.
            ({
                small: 5,
                flood: 300
            }, 305, set()),
            # One team floods: a team that offers more than an equal share, but
            # less than the others leave, is not over its share.
            ({
                small: 5,
                middle: 30,
                flood: 300
            }, 100, {flood}),
            # All teams offer too much.
            ({
                small: 100,
                flood: 100
            }, 100, {small, flood}),
        ]
        for offered, admitted, over_share in cases:
            with self.subTest(over_share=over_share):
                found = fairness.teams_over_share(offered, admitted)
                self.assertEqual(set(found), over_share)
