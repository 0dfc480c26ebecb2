"""Reports to the roster, by which balancers find this server."""

from __future__ import annotations

import contextlib
import logging
import socket
import threading
import time

from . import http

logger = logging.getLogger(__name__)

# An entry lapses 3 s after its last report: two reports may fail before that.
EVERY_S = 0.8
# A report that takes longer has failed; the next one is due.
WAIT_S = 0.7


class ServiceRegistry:
    """Reports at a steady pace until told to stop; serves on without the roster."""

    def __init__(self, address: tuple[str, int], name: str) -> None:
        self._address, self._name = address, name
        self._stopped = False
        self._lock = threading.Lock()
        self._saying: socket.socket | None = None  # a report is on its way
        self._wake = threading.Event()
        self._failing = False

    def start(self) -> None:
        """Report from now on."""
        threading.Thread(target=self._run, name="roster", daemon=True).start()

    def move(self, address: tuple[str, int]) -> None:
        """Report there from now on, and at once: the new roster knows of no report to the old one."""
        if address != self._address:
            self._address = address
            self._wake.set()

    @property
    def answers(self) -> bool:
        """Whether the last report arrived, as far as is known."""
        return not self._failing

    def stop(self) -> None:
        """Say nothing more: any report, `off` too, would keep the entry for another 3 s. One that is on its
        way is cut off, since it may not have been said."""
        with self._lock:
            self._stopped = True
            if self._saying is not None:
                with contextlib.suppress(OSError):
                    self._saying.shutdown(socket.SHUT_RDWR)
        self._wake.set()

    def _run(self) -> None:
        while True:
            self._wake.clear()  # before the look at what it may have woken for
            if self._stopped:
                return
            start = time.monotonic()
            self._report(self._address)
            # Counted from the start: a report that got no answer must not push the next one towards the 3 s.
            self._wake.wait(max(0.0, start + EVERY_S - time.monotonic()))

    def _report(self, address: tuple[str, int]) -> None:
        headers = {"Content-Type": "application/json"}
        data = http.request("PUT", f"/roster/{self._name}", address, headers, b'{"duty":"on"}')
        deadline = time.monotonic() + WAIT_S
        try:
            with socket.create_connection(address, WAIT_S) as sock:
                with self._lock:
                    if self._stopped:
                        return
                    self._saying = sock
                sock.sendall(data)
                status = http.read_reply(sock, deadline).status
            problem = "" if status == 204 else f"status {status}"
        except Exception as error:  # whatever came back: without this thread no balancer finds the server
            problem = str(error) or type(error).__name__
        finally:
            with self._lock:
                self._saying = None
        if self._stopped:
            return
        if bool(problem) is not self._failing:  # said once, not with every report
            self._failing = bool(problem)
            logger.info("%s", problem or "reports arrive again")
