"""The member's transport: what it leaves behind when it ends."""

from __future__ import annotations

from pathlib import Path

from peers import until

from cairnvane.membership.transport import MemberTransport

OPEN_FILES = Path("/proc/self/fd")


def open_pipes() -> set[str]:
    """The pipes of this process, by the kernel's names for them."""
    links = [str(path.readlink()) for path in OPEN_FILES.iterdir() if path.is_symlink() and path.exists()]
    return {link for link in links if link.startswith("pipe:")}


def test_a_transport_that_has_ended_leaves_no_pipe_and_wakes_nobody() -> None:
    """Regression: its wake-up pipe stayed open. A descriptor that was closed may belong to another file."""
    before = open_pipes()
    transport = MemberTransport(("127.0.0.1", 0), b"k" * 16, "n0", "127.0.0.1:1", [])
    transport.start()
    assert open_pipes() - before
    transport.close()
    until(lambda: not transport._thread.is_alive())
    assert open_pipes() <= before
    transport.drain()  # a late order
    transport.close()
