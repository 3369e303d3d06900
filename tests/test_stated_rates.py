"""Tests of endpoints in need that state a rate for all VMs together."""

import unittest

from plantainridge.gateway import events as ev
from plantainridge.platform.requests import PlatformWire
from tests.gateway_scene import HEADERS, GatewayScene, head
from tests.test_endpoint_limits import instance


class WireTest(unittest.TestCase):
    """The header in which an endpoint states its rate."""

    def _read(self, *stated: bytes) -> ev.AnswerHead:
        scene = GatewayScene(instance('i0'))
        send = scene.post_request('/view/x')
        headers = (*HEADERS, *((b'server-limit', each) for each in stated))
        answer = PlatformWire().read_answer_head(send, 200, headers, 0.0)
        assert answer is not None
        return answer

    def test_decimal_numbers(self) -> None:
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

    def test_it_is_logged(self) -> None:
        scene = GatewayScene(instance('i0'))
        send = scene.post_request('/view/x')
        scene.post(
            ev.AnswerArrived(send.attempt, head(max_requests_per_s=1.9), b''))
        line = next(each for each in scene.lines if each.event == 'rate_stated')
        self.assertEqual(dict(line.fields)['requests_per_s'], 1.9)


if __name__ == '__main__':
    unittest.main()
