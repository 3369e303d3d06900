"""What the gateway needs of the outside, as abstract classes."""

import abc

from plantainridge.gateway import effects as fx
from plantainridge.gateway.events import RawRecord, View, ViewUpdate
from plantainridge.gateway.http_client import Pool
from plantainridge.gateway.settings import GatewaySettings, InvalidSetting
from plantainridge.gateway.wire import RequestWire
from plantainridge.loop.ports import Post
from plantainridge.loop.tasks import Tasks


class MetadataStorePort(abc.ABC):
    """The way to the metadata store."""

    @abc.abstractmethod
    def load_view(self, effect: fx.LoadView) -> None:
        """Posts `ViewRead` with all that a view holds, or `ViewFailed`."""

    @abc.abstractmethod
    def read_view(self, effect: fx.ReadView) -> None:
        """Posts `ViewRead` with news, or `ViewFailed`."""

    @abc.abstractmethod
    def write_vm_entry(self, effect: fx.WriteVmEntry) -> None:
        """Writes this VM's own entry; posts `VmEntryWritten`."""

    @abc.abstractmethod
    def read_lease(self, effect: fx.ReadLease) -> None:
        """Posts `LeaseRead` or `LeaseFailed`."""

    @abc.abstractmethod
    def write_lease(self, effect: fx.WriteLease) -> None:
        """Posts `LeaseWritten`."""


class EnginePort(abc.ABC):
    """The way to what engines offer beside serving."""

    @abc.abstractmethod
    def request_report(self, effect: fx.RequestReport) -> None:
        """Posts `EndpointReported` or `ReportFailed`."""

    @abc.abstractmethod
    def order_version(self, effect: fx.OrderVersion) -> None:
        """Posts `OrderAnswered`."""

    @abc.abstractmethod
    def list_store(self, effect: fx.ListStore) -> None:
        """Posts `StoreListed` or `StoreRequestFailed`."""

    @abc.abstractmethod
    def poll_store(self, effect: fx.PollStore) -> None:
        """Posts `StoreChanged` or `StoreRequestFailed`."""

    @abc.abstractmethod
    def free_parts(self, effect: fx.FreeParts) -> None:
        """Frees parts; may fail."""


class Adapter(abc.ABC):
    """Makes what translates between the gateway and the outside.

    Attributes:
        wire: How callers and endpoints write requests and answers.
    """

    wire: RequestWire

    @abc.abstractmethod
    def read_settings(self) -> GatewaySettings | InvalidSetting:
        """Reads the settings as they are now."""

    @abc.abstractmethod
    def settings_mtime_s(self) -> float:
        """Returns a number that changes with the settings."""

    @abc.abstractmethod
    def decode_record(self, view: View, record: RawRecord) -> ViewUpdate:
        """Decodes a record of a view that a peer relayed."""

    @abc.abstractmethod
    def metadata_store(self, settings: GatewaySettings, pool: Pool,
                       tasks: Tasks, post: Post) -> MetadataStorePort:
        """Returns the way to the metadata store."""

    @abc.abstractmethod
    def engines(self, settings: GatewaySettings, pool: Pool, tasks: Tasks,
                post: Post) -> EnginePort:
        """Returns the way to engines."""
