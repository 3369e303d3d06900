"""Settings of one gateway process."""

import math
from typing import Final

import attrs

from plantainridge.ids import DcId, VmId

# Link rate of a VM whose settings give none, in Mbit/s.
DEFAULT_LINK_MBPS: Final = 1_000.0


@attrs.frozen
class InvalidSetting:
    """A setting that is not valid.

    Attributes:
        field: The setting's name.
        value: The value given.
        allowed: A description of the allowed values.
    """

    field: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f'{self.field}: {self.value!r} is not allowed; allowed: ' \
               f'{self.allowed}'


@attrs.frozen
class Bounds:
    """Time limits and retry limits that operators set.

    Attributes:
        drain_s: Longest time for which a leaving endpoint may still get work,
            in s.
        grace_s: Time from the stop request to the kill, in s.
        apply_s: Longest time until a new configuration is in force, in s.
        version_s: Longest time until a new weight version is in force, in s.
        lease_s: Shortest time between the orders of two VMs, in s.
        retry_ratio: Retries allowed per request.
        retry_slack: Further retries allowed, over all VMs.
        retry_window_s: Window over which retries are counted, in s.
        cold_overrun: Multiple of a cold endpoint's rate that may reach it in
            one second, from all VMs together.
        cold_slack: Requests beyond that multiple.
        evacuation_s: Longest time until nothing more is sent to a data centre
            that is to be evacuated, in s.
    """

    drain_s: float = 2.0
    grace_s: float = 8.0
    apply_s: float = 2.0
    version_s: float = 10.0
    lease_s: float = 3.0
    retry_ratio: float = 0.2
    retry_slack: float = 54.0
    retry_window_s: float = 10.0
    cold_overrun: float = 1.0
    cold_slack: float = 0.0
    evacuation_s: float = 5.0


@attrs.frozen
class GatewaySettings:
    """Identity, addresses and limits of one gateway process.

    Attributes:
        host: IP number of the VM.
        callers_address: IP number and port for callers.
        readiness_address: IP number and port of the readiness page.
        peer_port: Port for other VMs.
        metrics_port: Port of the metrics page.
        store_address: IP number and port of the metadata store.
        bounds: Limits that operators set; they can change at run time.
        link_mbps: Rate of the VM's own link, in Mbit/s.
        store_reads_per_s: Reads a second that the metadata store takes from
            all VMs together.
        tunnel_port: Port on which peers request tunnels, the same on all VMs;
            0 for none.
        has_memory_pressure: Whether memory is contended in this deployment:
            that of engines between callers, and that of VMs by slow readers.
        learns_speeds: Whether the speed of endpoints is learned also for
            services whose endpoints report no slowdown.
        is_first_start: Whether the whole deployment starts for the first time,
            so that there was no process of this VM before.
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
    store_reads_per_s: float = math.inf
    tunnel_port: int = 0
    has_memory_pressure: bool = False
    learns_speeds: bool = False
    is_first_start: bool = False
