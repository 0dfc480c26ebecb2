"""The accept loop of a listener's thread, for servers with a thread for each connection."""

from __future__ import annotations

import logging
import socket
import time
from collections.abc import Callable

# After a failed `accept` (no descriptors, say) the next attempt waits so long.
ACCEPT_RETRY_S = 0.1

ConnectionHandler = Callable[[socket.socket], None]


def accept_connections(
    listener: socket.socket,
    is_stopped: Callable[[], bool],
    handler: ConnectionHandler,
    logger: logging.Logger,
) -> None:
    """Hand each connection to `handler` until `is_stopped` says so.

    A connection that the handler can't have (reset by now, or no thread for it) is closed, and the loop goes
    on. Failures are logged to the caller's `logger`.
    """
    while not is_stopped():
        try:
            sock, _ = listener.accept()
        except OSError as error:
            if not is_stopped():
                logger.warning("accept failed: %s", error)
                time.sleep(ACCEPT_RETRY_S)
            continue
        hand_over(sock, handler, logger)


def hand_over(sock: socket.socket, handler: ConnectionHandler, logger: logging.Logger) -> None:
    """Hand over one accepted connection, or close it."""
    try:
        handler(sock)
    except (OSError, RuntimeError) as error:
        logger.warning("accepted connection closed: %s", error)
        sock.close()
