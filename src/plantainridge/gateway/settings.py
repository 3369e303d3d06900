"""Settings of one gateway process."""

from typing import Final

import attrs

from plantainridge.ids import DcId, VmId

# Link of a VM whose settings name none, in Mbit/s.
DEFAULT_LINK_MBPS: Final = 1_000.0


@attrs.frozen
class InvalidSetting:
    """Says what is wrong with the settings.

    Attributes:
        field: The setting's name.
        value: What was given.
        allowed: What is allowed.
    """

    field: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f'{self.field}: {self.value!r} is not allowed; allowed: ' \
               f'{self.allowed}'


@attrs.frozen
class Bounds:
    """Promises that operators set.

    Attributes:
        drain_s: Time after which a leaving endpoint gets no more work, in s.
        grace_s: Time from the word to stop to the kill, in s.
        apply_s: Time in which a configuration is in force, in s.
        version_s: Time in which a weight version is in force, in s.
        lease_s: Least time between orders of two VMs, in s.
        retry_ratio: Sends again that each request allows.
        retry_slack: Sends again that are allowed besides, over all VMs.
        retry_window_s: Time over which these are counted, in s.
    """

    drain_s: float = 2.0
    grace_s: float = 8.0
    apply_s: float = 2.0
    version_s: float = 10.0
    lease_s: float = 3.0
    retry_ratio: float = 0.2
    retry_slack: float = 54.0
    retry_window_s: float = 10.0


@attrs.frozen
class GatewaySettings:
    """Where a process listens, whom it asks, and what it must keep.

    Attributes:
        host: IP number of the VM.
        callers_address: Where callers connect.
        readiness_address: Where readiness is asked for.
        peer_port: Port for other VMs.
        metrics_port: Port for metrics.
        store_address: The platform's metadata store.
        link_mbps: Rate of the VM's own link, in Mbit/s.
    """

    vm: VmId
    dc: DcId
    host: str
    callers_address: str
    readiness_address: str
    peer_port: int
    metrics_port: int
    store_address: str
    bounds: Bounds = Bounds()
    link_mbps: float = DEFAULT_LINK_MBPS
