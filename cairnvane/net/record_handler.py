"""Turns the records of one connection into requests for the server's sink, and responses into records."""

from __future__ import annotations

import logging
from typing import Protocol

from ..exchange import Exchange, Request, RequestSink, Response, ResponseCounter, ResponseStatus
from . import fastcgi, request_parameters
from .connection_lifecycle import MAX_FRUITLESS_REQUESTS, BeginResult, ConnectionLifecycle, ConnectionPhase
from .request_memory import RequestMemory

logger = logging.getLogger(__name__)

# Limit on consecutive records that belong to no open request. A balancer sends a few for each of 32 requests
# that have ended meanwhile; more only cost CPU time, so the connection is then closed.
MAX_STRAY_RECORDS = 256

_REJECTION_STATUS = {
    BeginResult.UNKNOWN_ROLE: fastcgi.UNKNOWN_ROLE,
    BeginResult.OVERLOADED: fastcgi.OVERLOADED,
}


class HandlerContext(Protocol):
    """The attributes of the server that the handler uses."""

    sink: RequestSink
    response_counter: ResponseCounter | None  # counts final responses; None: they are not counted
    retiring: bool
    values: dict[str, str]  # replies to FCGI_GET_VALUES
    request_memory: RequestMemory


class RecordHandler:
    """Handles each record of a connection, and writes the responses."""

    def __init__(self, context: HandlerContext, lifecycle: ConnectionLifecycle) -> None:
        self.has_served = False  # a request was served, which indicates that the peer is a balancer
        self.is_suspect = False  # invalid data was received
        self._context = context
        self._lifecycle = lifecycle
        self._stray_records = 0  # records of no open request since the last complete request

    def handle(self, record: fastcgi.Record) -> None:
        """Handle one record; raises `MalformedRecordError` if it violates the protocol."""
        if record.request == 0:
            self._count_stray_record()
            self._lifecycle.writer.send(fastcgi.management_reply(record, self._context.values))
        elif record.kind == fastcgi.BEGIN_REQUEST:
            self._begin(record)
        elif record.kind == fastcgi.ABORT_REQUEST:
            self._abort(record.request)
        elif record.kind in (fastcgi.PARAMS, fastcgi.STDIN):
            self._add_content(record)
        else:
            raise fastcgi.MalformedRecordError(f"unexpected record type {record.kind}")

    def fail(self, incoming: fastcgi.IncomingRequest) -> None:
        """Answer an invalid or incomplete request as failed without passing it to the sink."""
        exchange = Exchange(lambda response: self._respond(incoming, response))
        if self._register_exchange(incoming, exchange):
            exchange.respond(Response(ResponseStatus.FAILED, invalid_request=True))

    def abandon(self, number: int, exchange: Exchange) -> None:
        """Answer an open request as failed and cancel its run, since the peer has closed its side.

        Does nothing if the request has already been answered.
        """
        if not exchange.abandon():
            return
        content = request_parameters.encode_response(Response(ResponseStatus.FAILED))
        self._lifecycle.close_request(number, fastcgi.response(number, content))
        self._notify_disconnected(exchange)

    def _count_stray_record(self) -> None:
        self._stray_records += 1
        if self._stray_records > MAX_STRAY_RECORDS:
            raise fastcgi.MalformedRecordError(
                f"{self._stray_records} consecutive records of no open request"
            )

    def _begin(self, record: fastcgi.Record) -> None:
        role, keep_connection = fastcgi.parse_begin_request(record)
        result = self._lifecycle.begin_request(record.request, role, keep_connection)
        if result is BeginResult.NUMBER_IN_USE:
            raise fastcgi.MalformedRecordError(f"request number {record.request} is already in use")
        if result is not BeginResult.STARTED:
            self.is_suspect = True
            self._lifecycle.count_fruitless(1)
            self._count_stray_record()
            # It was never handed over, so the guarantee that a rejected request never ran holds.
            self._lifecycle.writer.send(fastcgi.end(record.request, _REJECTION_STATUS[result]))

    def _abort(self, number: int) -> None:
        aborted = self._lifecycle.abort_request(number)
        exchange = aborted.exchange
        if exchange is None:
            self._count_stray_record()
        if not aborted.was_partial:
            if exchange is None or not exchange.abandon():
                return  # already answered
            self._notify_disconnected(exchange)
        # Frees the request number; an aborted request gets no response.
        self._lifecycle.close_request(number, fastcgi.end(number))

    def _notify_disconnected(self, exchange: Exchange) -> None:
        if isinstance(exchange, Request):
            self._context.sink.client_disconnected(exchange)

    def _add_content(self, record: fastcgi.Record) -> None:
        incoming = self._lifecycle.partial_request(record.request)
        if incoming is None:
            self._count_stray_record()
        elif incoming.add(record):
            self._hand_over(incoming)

    def limit_partial_requests(self) -> None:
        """Fail all partial requests of a client that holds too much memory with them."""
        if not self._lifecycle.has_excessive_partial_requests:
            return
        logger.warning("partial requests of a connection failed: they need too much memory")
        self._lifecycle.count_fruitless(MAX_FRUITLESS_REQUESTS)
        self.fail_partial(self._lifecycle.partial_requests())

    def fail_partial(self, requests: list[fastcgi.IncomingRequest]) -> None:
        """Answer partial requests as failed: nobody waits for them, or their memory is needed."""
        for incoming in requests:
            self.fail(incoming)
        self._lifecycle.recount_partial_requests()

    def _hand_over(self, incoming: fastcgi.IncomingRequest) -> None:
        class_name: str | None = None  # set once the request is handed over

        def deliver(response: Response) -> None:
            self.has_served |= response.status is ResponseStatus.SERVED
            # Counted before it is sent: a reader of the counters who has the response must find it counted.
            if class_name is not None and (counter := self._context.response_counter) is not None:
                counter.response_sent(class_name, response.status)
            self._respond(incoming, response)

        check = request_parameters.parse_health_check(incoming.params, deliver)
        if check is not None:
            if self._register_exchange(incoming, check):
                self._context.sink.health_check_arrived(check)
            return
        try:
            request = request_parameters.parse_request(incoming.params, incoming.body, deliver)
        except request_parameters.InvalidRequestError as error:
            logger.error("invalid request failed: %s", error)
            self.fail(incoming)
            return
        if self._register_exchange(incoming, request):
            if self._context.request_memory.has_excessive_open_requests:
                self._reject(request)
                return
            class_name = request.class_name
            self._context.sink.request_arrived(request)

    def _reject(self, request: Request) -> None:
        """Reject a request that was not handed over, so that it never runs."""
        if (counter := self._context.response_counter) is not None:
            counter.request_rejected(request.class_name)
        request.respond(Response(ResponseStatus.REJECTED))

    def _register_exchange(self, incoming: fastcgi.IncomingRequest, exchange: Exchange) -> bool:
        is_registered = self._lifecycle.register_exchange(incoming, exchange)
        if is_registered:
            self._stray_records = 0
        return is_registered

    def _respond(self, incoming: fastcgi.IncomingRequest, response: Response) -> None:
        self.is_suspect |= response.invalid_request
        data = fastcgi.response(incoming.id, request_parameters.encode_response(response))
        self._lifecycle.answer_request(incoming.id, data, response.invalid_request)
        is_closing = self._context.retiring or self._lifecycle.state is ConnectionPhase.ANSWERING
        if is_closing or not incoming.keep_connection:
            self._lifecycle.close_if_idle(requested=not incoming.keep_connection)
