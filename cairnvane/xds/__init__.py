"""An xDS v3 client: the protocol's state machine, in its two forms.

`resource_table` keeps the state of each resource, whichever form brought it. `protocol` is the
conversation: state of the world or incremental, versions, nonces, ACK and NACK. `session` joins clusters
and endpoints on stream, `cluster_view` decides which clusters are active, `resources` reads Envoy's
messages. None of these does I/O or reads a clock; `grpc_stream` drives a session over gRPC. Terms and rules
are those of Envoy's 'xDS REST and gRPC protocol'.
"""

from .protocol import (
    DeltaDiscoveryRequest,
    DeltaDiscoveryResponse,
    DeltaProtocol,
    DiscoveryRequest,
    DiscoveryResponse,
    StateOfTheWorldProtocol,
)
from .resource_table import ResourceEvent, ResourceState, ResourceTable

__all__ = [
    "DeltaDiscoveryRequest",
    "DeltaDiscoveryResponse",
    "DeltaProtocol",
    "DiscoveryRequest",
    "DiscoveryResponse",
    "ResourceEvent",
    "ResourceState",
    "ResourceTable",
    "StateOfTheWorldProtocol",
]
