"""Tests of the time for which VMs use replaced weights."""

import unittest
from typing import Final

from plantainridge.gateway import effects as fx
from plantainridge.gateway import events as ev
from plantainridge.gateway.events import View
from plantainridge.gateway.placement import VERSION_MARGIN_S
from plantainridge.gateway.settings import Bounds
from plantainridge.ids import VmId
from tests.gateway_scene import request
from tests.registry_fleet import RegistryFleet, entry, named_version

VM: Final = VmId('vm1')
# Age of a newer version from which replaced weights get no requests.
LIMIT_S: Final = Bounds().version_s - VERSION_MARGIN_S


class ReplacedWeightsTest(unittest.TestCase):
    """VMs that were away or restarted when a version was named."""

    def setUp(self) -> None:
        self.fleet = RegistryFleet(3)
        self.fleet.store.append(entry('i-0'))
        self.fleet.run(2.0)
        self.sent = 0

    def _name(self, version: int) -> None:
        self.fleet.store.append(named_version(version), view=View.OPERATOR)

    def _sends(self, vm: VmId = VM) -> bool:
        """Return whether a VM sends a request to the replaced weights."""
        self.sent += 1
        arrived = ev.RequestArrived(request('/report/x', f'r{self.sent}'))
        effects = self.fleet.vms[vm].post(arrived)
        return any(isinstance(each, fx.Send) for each in effects)

    def test_restart_does_not_extend_the_use_of_replaced_weights(self) -> None:
        self._name(2)
        self.fleet.run(5.0)
        self.fleet.start(VM)
        self.fleet.run(1.0)
        self.assertTrue(self._sends())
        self.fleet.run(LIMIT_S - 6.0 + 0.1)
        for vm in self.fleet.vms:
            self.assertFalse(self._sends(vm), vm)


if __name__ == '__main__':
    unittest.main()
