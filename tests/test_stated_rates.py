"""Tests of endpoints in need that state a rate for all VMs together."""

import unittest
from typing import Final

from plantainridge.gateway import events as ev
from plantainridge.ids import DcId, EndpointId
from plantainridge.platform.requests import PlatformWire
from tests.gateway_scene import (HEADERS, LOCAL_DC, REMOTE_DC, GatewayScene,
                                 head)
from tests.test_endpoint_limits import Instance, LimitFleet, instance

THIRD_DC: Final = DcId('third')
# What operators tolerate: in any window, so many times the rate, and requests
# beyond it, from VMs that have known the rate for some time.
WINDOW_S: Final = 4.0
OVERRUN: Final = 1.5
SLACK: Final = 5
KNOWN_FOR_S: Final = 0.5
# Time from the first statement to the first window, in s.
SETTLE_S: Final = 4.0
VIEW: Final = '/view/'


def excess(there: Instance, rate: float, since: float) -> float:
    """Return by how much the arrivals of a window exceed a rate, at most.

    Args:
        there: The endpoint.
        rate: The rate that it states, in requests per s.
        since: Time from which it states the rate, in s.
    """
    known = [
        at for at, vm in zip(there.arrivals, there.senders)
        if at >= there.rate_known_at.get(vm, at) + KNOWN_FOR_S
    ]
    allowed = OVERRUN * WINDOW_S * rate + SLACK
    return max((sum(at - WINDOW_S < each <= at
                    for each in known) - allowed
                for at in known
                if at >= since + SETTLE_S),
               default=-allowed)


class WireTest(unittest.TestCase):
    """The header in which an endpoint states its rate."""

    def _read(self, *stated: bytes) -> ev.AnswerHead:
        scene = GatewayScene(instance('i0'))
        send = scene.post_request('/view/x')
        headers = (*HEADERS, *((b'server-limit', each) for each in stated))
        answer = PlatformWire().read_answer_head(send, 200, headers, 0.0)
        assert answer is not None
        return answer

    def test_decimal_numbers_are_read(self) -> None:
        for text, rate in ((b'2', 2.0), (b'1.9', 1.9), (b'.5', 0.5), (b'0',
                                                                      0.0)):
            self.assertEqual(self._read(text).max_requests_per_s, rate)

    def test_the_lowest_of_several_counts(self) -> None:
        self.assertEqual(self._read(b'3', b'x', b'2').max_requests_per_s, 2.0)

    def test_other_text_is_not_read(self) -> None:
        for text in (b'-1', b'nan', b'inf', b'1e3', b'two', b''):
            answer = self._read(text)
            self.assertIsNone(answer.max_requests_per_s, text)
            self.assertTrue(answer.invalid_rate, text)

    def test_callers_do_not_get_it(self) -> None:
        self.assertNotIn(b'server-limit', dict(self._read(b'2').headers))

    def _logged(self, event: str, answer: ev.AnswerHead) -> dict[str, object]:
        scene = GatewayScene(instance('i0'))
        send = scene.post_request('/view/x')
        scene.post(ev.AnswerArrived(send.attempt, answer, b''))
        return dict(
            next(each for each in scene.lines if each.event == event).fields)

    def test_stated_rates_are_logged(self) -> None:
        fields = self._logged('rate_stated', head(max_requests_per_s=1.9))
        self.assertEqual(fields['requests_per_s'], 1.9)
        fields = self._logged('rate_unreadable', head(invalid_rate='two'))
        self.assertEqual(fields['stated'], 'two')


class RateFleetTest(unittest.TestCase):
    """Load: more requests than endpoints in need take, at 7 to 134 VMs."""

    def _fleet(self, vms: int, *names: str) -> LimitFleet:
        dcs = (LOCAL_DC, REMOTE_DC, THIRD_DC)
        fleet = LimitFleet(
            {
                dc: (vms + at) // len(dcs) for at, dc in enumerate(dcs)
            },
            *(instance(name, dc=dcs[at % len(dcs)])
              for at, name in enumerate(names)),
            service_s=0.1)
        fleet.has_reports = True
        return fleet

    def _state(self, fleet: LimitFleet, rate: float | None, *names:
               str) -> float:
        for name in names:
            fleet.instances[EndpointId(name)].rate = rate
        return fleet.now

    def _assert_kept(self, fleet: LimitFleet, rate: float, since: float, *names:
                     str) -> None:
        for name in names:
            there = fleet.instances[EndpointId(name)]
            self.assertLessEqual(excess(there, rate, since), 0.0, name)

    def test_one_endpoint_gets_no_more_than_it_states(self) -> None:
        for vms, requests_per_s in ((7, 60.0), (62, 200.0)):
            for rate in (2.0, 1.3):
                with self.subTest(vms=vms, rate=rate):
                    fleet = self._fleet(vms, 'a', 'b', 'c', 'd')
                    fleet.run(3.0, requests_per_s, (VIEW,))
                    since = self._state(fleet, rate, 'a')
                    fleet.run(10.0, requests_per_s, (VIEW,))
                    self._assert_kept(fleet, rate, since, 'a')

    def test_all_endpoints_of_a_service_get_what_they_state(self) -> None:
        for vms, rate, requests_per_s in ((7, 2.0, 60.0), (62, 2.0, 150.0),
                                          (134, 6.0, 300.0)):
            with self.subTest(vms=vms, rate=rate):
                fleet = self._fleet(vms, 'a', 'b', 'c')
                fleet.run(2.0, requests_per_s, (VIEW,))
                since = self._state(fleet, rate, 'a', 'b', 'c')
                fleet.run(12.0, requests_per_s, (VIEW,))
                self._assert_kept(fleet, rate, since, 'a', 'b', 'c')
                for there in fleet.instances.values():
                    late = [at for at in there.arrivals if at > since + 4.0]
                    self.assertGreater(len(late), 0.7 * rate * 8.0)

    def test_a_lower_rate_is_kept_and_its_end_noticed(self) -> None:
        fleet = self._fleet(20, 'a', 'b')
        fleet.run(2.0, 60.0, (VIEW,))
        self._state(fleet, 8.0, 'a')
        fleet.run(5.0, 60.0, (VIEW,))
        since = self._state(fleet, 1.5, 'a')
        fleet.run(9.0, 60.0, (VIEW,))
        self._assert_kept(fleet, 1.5, since + 1.0, 'a')
        ended_at = self._state(fleet, None, 'a')
        fleet.run(6.0, 60.0, (VIEW,))
        there = fleet.instances[EndpointId('a')]
        self.assertGreater(sum(at > ended_at + 4.0 for at in there.arrivals),
                           2.0 * 15.0)

    def test_vms_do_not_return_together_while_no_answer_states_the_rate(
            self) -> None:
        # A rate so low that no answer comes for longer than rates are believed.
        for rate in (0.0, 0.1):
            fleet = self._fleet(62, 'a', 'b', 'c')
            fleet.run(3.0, 100.0, (VIEW,))
            since = self._state(fleet, rate, 'a')
            fleet.run(35.0, 100.0, (VIEW,))
            self._assert_kept(fleet, rate, since, 'a')

    def test_the_end_of_a_rate_that_allowed_nothing_is_noticed(self) -> None:
        fleet = self._fleet(20, 'a', 'b')
        fleet.run(2.0, 60.0, (VIEW,))
        self._state(fleet, 0.0, 'a')
        fleet.run(5.0, 60.0, (VIEW,))
        ended_at = self._state(fleet, None, 'a')
        fleet.run(20.0, 60.0, (VIEW,))
        there = fleet.instances[EndpointId('a')]
        self.assertGreater(sum(at > ended_at + 16.0 for at in there.arrivals),
                           4.0 * 15.0)

    def test_vms_that_hear_no_other_exceed_no_rate(self) -> None:
        fleet = self._fleet(20, 'a', 'b')
        fleet.isolated = set(fleet.vms)
        fleet.run(2.0, 60.0, (VIEW,))
        since = self._state(fleet, 2.0, 'a')
        fleet.run(9.0, 60.0, (VIEW,))
        self._assert_kept(fleet, 2.0, since, 'a')


if __name__ == '__main__':
    unittest.main()
