"""Interfaces of the gateway to the platform, as abstract classes."""

import abc

from plantainridge.gateway import effects as fx
from plantainridge.gateway.events import RawRecord, View, ViewUpdate
from plantainridge.gateway.http_client import Pool
from plantainridge.gateway.settings import GatewaySettings, InvalidSetting
from plantainridge.gateway.wire import RequestWire
from plantainridge.loop.ports import Post
from plantainridge.loop.tasks import Tasks


class MetadataStorePort(abc.ABC):
    """Calls to the metadata store; each posts its result as an event."""

    @abc.abstractmethod
    def load_view(self, effect: fx.LoadView) -> None:
        """Read a snapshot of a view; post `ViewRead` or `ViewFailed`."""

    @abc.abstractmethod
    def read_view(self, effect: fx.ReadView) -> None:
        """Read a view on; post `ViewRead` with updates, or `ViewFailed`."""

    @abc.abstractmethod
    def write_vm_entry(self, effect: fx.WriteVmEntry) -> None:
        """Write this VM's own entry; post `VmEntryWritten`."""

    @abc.abstractmethod
    def read_lease(self, effect: fx.ReadLease) -> None:
        """Read the lease; post `LeaseRead` or `LeaseFailed`."""

    @abc.abstractmethod
    def write_lease(self, effect: fx.WriteLease) -> None:
        """Append to the lease; post `LeaseWritten`."""

    @abc.abstractmethod
    def read_builds(self, effect: fx.ReadBuilds) -> None:
        """Read the record of builds; post `BuildsRead` or `BuildsFailed`."""

    @abc.abstractmethod
    def write_builds(self, effect: fx.WriteBuilds) -> None:
        """Append to the record of builds; post `BuildsWritten`."""

    @abc.abstractmethod
    def read_suspects(self, effect: fx.ReadSuspects) -> None:
        """Read the record of suspects; post `SuspectsRead` or a failure."""

    @abc.abstractmethod
    def write_suspects(self, effect: fx.WriteSuspects) -> None:
        """Append to the record of suspects; post `SuspectsWritten`."""


class EnginePort(abc.ABC):
    """Control calls to engines and KV cache stores."""

    @abc.abstractmethod
    def request_report(self, effect: fx.RequestReport) -> None:
        """Request a report; post `EndpointReported` or `ReportFailed`."""

    @abc.abstractmethod
    def order_version(self, effect: fx.OrderVersion) -> None:
        """Order an engine to run a version; post `OrderAnswered`."""

    @abc.abstractmethod
    def list_store(self, effect: fx.ListStore) -> None:
        """List a store; post `StoreListed` or `StoreRequestFailed`."""

    @abc.abstractmethod
    def poll_store(self, effect: fx.PollStore) -> None:
        """Poll a store; post `StoreChanged` or `StoreRequestFailed`."""

    @abc.abstractmethod
    def free_parts(self, effect: fx.FreeParts) -> None:
        """Free parts at a store; post `PartsFreed` or `FreeFailed`."""


class Adapter(abc.ABC):
    """Factory of the adapters between the gateway and the platform.

    Attributes:
        wire: Format of requests and answers of callers and endpoints.
    """

    wire: RequestWire

    @abc.abstractmethod
    def read_settings(self) -> GatewaySettings | InvalidSetting:
        """Read the current settings."""

    @abc.abstractmethod
    def settings_mtime_s(self) -> float:
        """Return the Unix time of the latest change of the settings, in s."""

    @abc.abstractmethod
    def decode_record(self, view: View, record: RawRecord) -> ViewUpdate:
        """Decode a record of a view, as relayed by a peer."""

    @abc.abstractmethod
    def metadata_store(self, settings: GatewaySettings, pool: Pool,
                       tasks: Tasks, post: Post) -> MetadataStorePort:
        """Return the port to the metadata store."""

    @abc.abstractmethod
    def engines(self, settings: GatewaySettings, pool: Pool, tasks: Tasks,
                post: Post) -> EnginePort:
        """Return the port to engines and KV cache stores."""
