"""From the records of one connection to requests for the server's sink, and from responses to records."""

from __future__ import annotations

import logging
from typing import Protocol

from ..exchange import Exchange, Request, RequestSink, Response, ResponseCounter, ResponseStatus
from . import fastcgi, request_parameters
from .connection_lifecycle import BeginResult, ConnectionLifecycle, ConnectionPhase

logger = logging.getLogger(__name__)

# Records of no request, one after the other: a balancer has a few for each of 32 that ended meanwhile. Who
# sends more has nothing to say, and each costs.
MAX_STRAY_RECORDS = 256

_REJECTION_STATUS = {
    BeginResult.UNKNOWN_ROLE: fastcgi.UNKNOWN_ROLE,
    BeginResult.OVERLOADED: fastcgi.OVERLOADED,
}


class HandlerContext(Protocol):
    """What the handling of records needs to know of the server."""

    sink: RequestSink
    response_counter: ResponseCounter | None  # counts final answers; None: nobody does
    retiring: bool
    values: dict[str, str]  # the answers to FCGI_GET_VALUES


class RecordHandler:
    """Acts on each record of a connection, and writes the answers."""

    def __init__(self, context: HandlerContext, lifecycle: ConnectionLifecycle) -> None:
        self.has_served = False  # a request was answered 'served': a balancer's, as far as can be told
        self.is_suspect = False  # something that came could not be right
        self._context = context
        self._lifecycle = lifecycle
        self._stray_records = 0  # records of no request since the last whole request

    def handle(self, record: fastcgi.Record) -> None:
        """Act on one record; `MalformedRecordError` if no legal peer sends it here."""
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
            raise fastcgi.MalformedRecordError(f"record type {record.kind}")

    def fail(self, incoming: fastcgi.IncomingRequest) -> None:
        """End a request that no balancer sends, before anyone else hears of it."""
        exchange = Exchange(lambda response: self._respond(incoming, response))
        if self._owe_answer(incoming, exchange):
            exchange.respond(Response(ResponseStatus.FAILED, invalid_request=True))

    def abandon(self, number: int, exchange: Exchange) -> None:
        """Answer an open request as failed, since the peer has ended its side, and let nothing run on for it.

        Nothing is done if an answer is on its way already.
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
                f"{self._stray_records} records of no request, one after the other"
            )

    def _begin(self, record: fastcgi.Record) -> None:
        role, keep_connection = fastcgi.parse_begin_request(record)
        result = self._lifecycle.begin_request(record.request, role, keep_connection)
        if result is BeginResult.NUMBER_IN_USE:
            raise fastcgi.MalformedRecordError(f"request {record.request} began twice")
        if result is not BeginResult.STARTED:
            self.is_suspect = True
            self._count_stray_record()
            # Never handed over, so the promise that it never ran holds.
            self._lifecycle.writer.send(fastcgi.end(record.request, _REJECTION_STATUS[result]))

    def _abort(self, number: int) -> None:
        withdrawn = self._lifecycle.withdraw(number)
        exchange = withdrawn.exchange
        if exchange is None:
            self._count_stray_record()
        if not withdrawn.was_partial:
            if exchange is None or not exchange.abandon():
                return  # answered already
            self._notify_disconnected(exchange)
        # Frees the number; no answer is owed.
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

    def _hand_over(self, incoming: fastcgi.IncomingRequest) -> None:
        class_name = ""  # until it is known

        def deliver(response: Response) -> None:
            self.has_served |= response.status is ResponseStatus.SERVED
            # Counted before it goes out: whoever reads the figures after the answer has it in them.
            if class_name and (counter := self._context.response_counter) is not None:
                counter.response_sent(class_name, response.status)
            self._respond(incoming, response)

        check = request_parameters.health_check(incoming.params, deliver)
        if check is not None:
            if self._owe_answer(incoming, check):
                self._context.sink.health_check_arrived(check)
            return
        try:
            request = request_parameters.parse_request(incoming.params, incoming.body, deliver)
        except request_parameters.InvalidRequestError as error:
            logger.error("invalid request failed: %s", error)
            self.fail(incoming)
            return
        if self._owe_answer(incoming, request):
            class_name = request.class_name
            self._context.sink.request_arrived(request)

    def _owe_answer(self, incoming: fastcgi.IncomingRequest, exchange: Exchange) -> bool:
        is_owed = self._lifecycle.owe_answer(incoming, exchange)
        if is_owed:
            self._stray_records = 0
        return is_owed

    def _respond(self, incoming: fastcgi.IncomingRequest, response: Response) -> None:
        self.is_suspect |= response.invalid_request
        data = fastcgi.response(incoming.id, request_parameters.encode_response(response))
        self._lifecycle.close_request(incoming.id, data)
        is_closing = self._context.retiring or self._lifecycle.state is ConnectionPhase.ANSWERING
        if is_closing or not incoming.keep_connection:
            self._lifecycle.close_if_idle(asked=not incoming.keep_connection)
