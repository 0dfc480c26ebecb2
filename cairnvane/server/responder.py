"""Sends final responses to requests, each with the load signal that the controller reported last."""

from __future__ import annotations

from ..exchange import Request, Response, ResponseStatus


class Responder:
    """Gives final responses; safe to call from any thread."""

    __slots__ = ("reported_load",)

    def __init__(self) -> None:
        self.reported_load: float | None = None  # the load signal to send with each response

    def respond(
        self,
        request: Request,
        status: ResponseStatus,
        body: bytes = b"",
        retry_after_ms: int = 0,
        no_retry: bool = False,
    ) -> None:
        """Give the request its final response, unless it has one."""
        request.respond(
            Response(
                status,
                body,
                retry_after_ms=retry_after_ms,
                no_retry=no_retry,
                load=self.reported_load,
            )
        )

    def respond_invalid(self, request: Request) -> None:
        """Fail a malformed request, which no correct balancer sends."""
        request.respond(Response(ResponseStatus.FAILED, load=self.reported_load, invalid_request=True))
