"""Identifier types shared by all modules."""

from typing import NewType

# A VM of the system, by the name that its settings give.
VmId = NewType('VmId', str)
# One life of a VM's process; never reused.
Incarnation = NewType('Incarnation', str)
# A data centre.
DcId = NewType('DcId', str)
# A team, the unit of isolation and of limits.
TeamId = NewType('TeamId', str)
# A model engine or a plain service's instance.
EndpointId = NewType('EndpointId', str)
# A model's or a plain service's public name.
ModelId = NewType('ModelId', str)
ServiceId = NewType('ServiceId', str)
# A version of a model's weights.
WeightVersion = NewType('WeightVersion', str)
# One caller's request; unique over all VMs.
RequestId = NewType('RequestId', str)
# One dispatch of a request to one endpoint.
AttemptId = NewType('AttemptId', str)
# A cache block's key: a chained, salted hash.
BlockKey = NewType('BlockKey', str)
# A store VM.
StoreId = NewType('StoreId', str)
# One movement of blocks between an endpoint and a store.
TransferId = NewType('TransferId', str)
