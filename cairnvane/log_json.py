"""Structured log lines: one JSON object a line, for operators whose file asks for `log: {form: json}`."""

from __future__ import annotations

import sys

import structlog

from .log import Sink


def sink(server: str) -> Sink:
    """Lines of this server, with UTC time, part and text."""
    logger = structlog.wrap_logger(
        structlog.WriteLogger(sys.stderr),  # one write a line
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="time"),
            structlog.processors.EventRenamer("text"),
            structlog.processors.JSONRenderer(sort_keys=True),
        ],
        server=server,
    )

    def say(part: str, text: str) -> None:
        logger.info(text, part=part)

    return say
