"""Identifier types shared by all modules."""

from typing import NewType

# A VM of the system, by the name in its settings.
VmId = NewType('VmId', str)
# One run of a VM's process; never reused.
Incarnation = NewType('Incarnation', str)
# A data centre.
DcId = NewType('DcId', str)
# A team, the unit of isolation and of limits.
TeamId = NewType('TeamId', str)
# A model engine or an instance of a plain service.
EndpointId = NewType('EndpointId', str)
# Public names of a model and of a plain service.
ModelId = NewType('ModelId', str)
ServiceId = NewType('ServiceId', str)
# A version of a model's weights.
WeightVersion = NewType('WeightVersion', str)
# One caller's request; unique across all VMs.
RequestId = NewType('RequestId', str)
# One dispatch of a request to one endpoint.
AttemptId = NewType('AttemptId', str)
# Key of a cache block: a chained, salted hash.
BlockKey = NewType('BlockKey', str)
# A VM that runs a block store.
StoreId = NewType('StoreId', str)
# One transfer of blocks between an endpoint and a store.
TransferId = NewType('TransferId', str)
# A tunnel that this VM opens to an endpoint for a peer.
TunnelId = NewType('TunnelId', str)
