"""The signals that the process handles: shutdown, and reload of the configuration."""

from __future__ import annotations

import signal
from collections.abc import Callable

# Each of these signals starts a graceful shutdown.
SHUTDOWN_SIGNALS = {signal.SIGTERM, signal.SIGINT}
# The signal that reloads the configuration.
RELOAD_SIGNAL = signal.SIGHUP


def block_signals() -> None:
    """Block the signals in this thread and in those that it starts; must be called before anything else.

    The main thread receives them with `sigwait`. With a handler, a shutdown could be lost: Python runs
    handlers only in the main thread, and a signal delivered to another thread does not wake it.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, SHUTDOWN_SIGNALS | {RELOAD_SIGNAL})
    # The shell that starts the program sets the reload signal to be ignored, and the kernel may drop a signal
    # that is both blocked and ignored.
    signal.signal(RELOAD_SIGNAL, signal.SIG_DFL)


def wait_for_shutdown(reload: Callable[[], None]) -> None:
    """Call `reload` at each reload signal, and return at the first shutdown signal."""
    while signal.sigwait(SHUTDOWN_SIGNALS | {RELOAD_SIGNAL}) == RELOAD_SIGNAL:
        reload()
