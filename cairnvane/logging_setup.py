"""Sets up the standard library's `logging`: plain lines on standard error, or JSON objects.

Each module has a logger of its own name, so that a line shows which module wrote it.
"""

from __future__ import annotations

import logging
import sys
import time

PLAIN_FORMAT = "%(asctime)s.%(msecs)03d %(levelname)s %(name)s: %(message)s"
# In UTC, so that lines of several machines can be sorted by time.
TIME_FORMAT = "%Y-%m-%dT%H:%M:%S"


def _replace_handler(formatter: logging.Formatter) -> None:
    """Install a handler that writes each record in one call, so that lines of several threads never mix.

    The log level is not changed.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    logging.basicConfig(handlers=[handler], force=True)


def use_level(name: str) -> None:
    """Set the log level: `info`, or `debug`, which adds a line for each request that was not run."""
    logging.getLogger().setLevel(name.upper())


def use_plain_lines() -> None:
    """Write plain text lines with UTC time, level, logger and message."""
    formatter = logging.Formatter(PLAIN_FORMAT, TIME_FORMAT)
    formatter.converter = time.gmtime
    _replace_handler(formatter)


def use_json_lines(server_name: str) -> None:
    """Write one JSON object per line, with UTC time, server, level, logger and message; needs `structlog`."""
    import structlog
    from structlog.typing import EventDict

    def add_server(_logger: object, _method: str, event: EventDict) -> EventDict:
        event["server"] = server_name
        return event

    _replace_handler(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=[
                structlog.stdlib.add_log_level,
                structlog.stdlib.add_logger_name,
                structlog.processors.TimeStamper(fmt="iso", utc=True, key="time"),
                add_server,
            ],
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                structlog.processors.EventRenamer("message"),
                structlog.processors.JSONRenderer(sort_keys=True),
            ],
        )
    )
