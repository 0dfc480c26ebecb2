"""The signals that the process obeys: shutdown, and reload of the configuration."""

from __future__ import annotations

import signal
from collections.abc import Callable

# Each of these begins a graceful shutdown.
LEAVE = {signal.SIGTERM, signal.SIGINT}
# Has the configuration read again.
RELOAD = signal.SIGHUP


def block_signals() -> None:
    """Block the signals in this thread, and in those that it starts; to be called first of all.

    The main thread waits for them instead. Guards against a lost shutdown: a handler runs in the main thread
    only when that wakes, and a signal that the kernel delivers to another thread does not wake it.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, LEAVE | {RELOAD})
    # The shell that starts the program has it ignored until then, and a blocked signal that is ignored may be
    # dropped.
    signal.signal(RELOAD, signal.SIG_DFL)


def wait_for_shutdown(reload: Callable[[], None]) -> None:
    """Return at a signal to shut down; call `reload` at each signal to reload before."""
    while signal.sigwait(LEAVE | {RELOAD}) == RELOAD:
        reload()
