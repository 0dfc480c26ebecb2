"""An xDS v3 client: the protocol's state machine, in its two forms. No I/O, no clock; transports move it.

`known` keeps what is known of each resource, whichever form brought it. `machine` speaks: state of the
world or incremental, versions, nonces, ACK and NACK. Terms and rules are those of Envoy's 'xDS REST and
gRPC protocol'.
"""

from .known import Event, Known, Resources
from .machine import Delta, DeltaRequest, DeltaResponse, Request, Response, StateOfTheWorld

__all__ = [
    "Delta",
    "DeltaRequest",
    "DeltaResponse",
    "Event",
    "Known",
    "Request",
    "Resources",
    "Response",
    "StateOfTheWorld",
]
