"""Resources that the member's transport releases when it is closed."""

from __future__ import annotations

from pathlib import Path

from peers import until

from cairnvane.membership.transport import MemberTransport

OPEN_FILES = Path("/proc/self/fd")


def open_pipes() -> set[str]:
    """The open pipes of this process, by the names that the kernel gives them."""
    links = [str(path.readlink()) for path in OPEN_FILES.iterdir() if path.is_symlink() and path.exists()]
    return {link for link in links if link.startswith("pipe:")}


def test_closed_transport_leaves_no_pipe_open_and_ignores_late_commands() -> None:
    """Regression: the wake-up pipe stayed open. A late command must not write to a reused descriptor."""
    before = open_pipes()
    transport = MemberTransport(("127.0.0.1", 0), b"k" * 16, "n0", "127.0.0.1:1", [])
    transport.start()
    assert open_pipes() - before
    transport.close()
    until(lambda: not transport._thread.is_alive())
    assert open_pipes() <= before
    transport.drain()  # a command after the close
    transport.close()
