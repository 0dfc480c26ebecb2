"""The loop of a listener's thread, for fronts with a thread for each connection."""

from __future__ import annotations

import logging
import socket
import time
from collections.abc import Callable

logger = logging.getLogger(__name__)


# After a failed `accept` (no descriptors, say) the next try waits so long.
ACCEPT_RETRY_S = 0.1


def accept(
    listener: socket.socket, stopped: Callable[[], bool], take: Callable[[socket.socket], None], part: str
) -> None:
    """Hand each connection to `take` until `stopped` says so. One that `take` can't have (reset by now, or no
    thread for it) is closed, and the loop lives on."""
    while not stopped():
        try:
            sock, _ = listener.accept()
        except OSError as error:
            if not stopped():
                logger.warning("accept: %s", error)
                time.sleep(ACCEPT_RETRY_S)
            continue
        hand(sock, take, part)


def hand(sock: socket.socket, take: Callable[[socket.socket], None], part: str) -> None:
    """Hand one over that was accepted."""
    try:
        take(sock)
    except (OSError, RuntimeError) as error:
        logger.warning("accepted: %s", error)
        sock.close()
