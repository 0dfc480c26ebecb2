"""An xDS v3 client with both protocol variants, state of the world and incremental (delta).

`resource_table` holds the state of each resource, independent of the variant. `protocol` implements the two
variants with versions, nonces, ACK and NACK. `session` combines clusters and endpoints on one stream,
`cluster_view` decides which clusters are active, and `resources` parses Envoy's messages. None of these does
I/O or reads a clock; `grpc_stream` runs a session over gRPC. Terms and rules follow Envoy's 'xDS REST and
gRPC protocol'.
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
