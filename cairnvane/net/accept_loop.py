"""The accept loop of a listener thread, for servers that use one thread per connection."""

from __future__ import annotations

import logging
import socket
import time
from collections.abc import Callable

# Delay before the next attempt after a failed `accept`, for example for lack of file descriptors.
ACCEPT_RETRY_S = 0.1

ConnectionHandler = Callable[[socket.socket], None]


def accept_connections(
    listener: socket.socket,
    is_stopped: Callable[[], bool],
    handler: ConnectionHandler,
    logger: logging.Logger,
) -> None:
    """Pass each accepted connection to `handler` until `is_stopped` returns True.

    If the handler fails (the peer has reset the connection, or no thread could be started), the connection is
    closed and the loop continues. Failures are logged to the caller's `logger`.
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
    """Pass one accepted connection to `handler`; close it if the handler fails."""
    try:
        handler(sock)
    except (OSError, RuntimeError) as error:
        logger.warning("accepted connection closed: %s", error)
        sock.close()
