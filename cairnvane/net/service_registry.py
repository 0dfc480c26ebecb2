"""Registers this server with the service registry, by which balancers find it."""

from __future__ import annotations

import contextlib
import logging
import socket
import threading
import time

from . import http

logger = logging.getLogger(__name__)

# An entry expires 3 s after its last report: two reports may fail before that.
REPORT_INTERVAL_S = 0.8
# A report that takes longer has failed; the next one is due.
REPORT_TIMEOUT_S = 0.7
REPORT_ACCEPTED = 204
REPORT_BODY = b'{"duty":"on"}'


class ServiceRegistry:
    """Reports at a steady interval until it is stopped; the server serves on if none arrives."""

    def __init__(self, address: tuple[str, int], name: str) -> None:
        self._address = address
        self._name = name
        self._is_stopped = False
        self._lock = threading.Lock()  # guards the stop against a report that is about to be sent
        self._report_socket: socket.socket | None = None  # while a report is on its way
        self._wake_up = threading.Event()
        self._is_failing = False

    def start(self) -> None:
        """Report from now on."""
        threading.Thread(target=self._report_regularly, name="service registry reports", daemon=True).start()

    def move(self, address: tuple[str, int]) -> None:
        """Report there from now on, and at once: the new registry knows of no report to the old one."""
        if address != self._address:
            self._address = address
            self._wake_up.set()

    @property
    def is_reachable(self) -> bool:
        """Whether the last report arrived, as far as is known."""
        return not self._is_failing

    def stop(self) -> None:
        """Send nothing more: any report, `off` too, would keep the entry for another 3 s.

        A report that is on its way is cut off, since it may not have been sent whole.
        """
        with self._lock:
            self._is_stopped = True
            if self._report_socket is not None:
                with contextlib.suppress(OSError):
                    self._report_socket.shutdown(socket.SHUT_RDWR)
        self._wake_up.set()

    def _report_regularly(self) -> None:
        """The thread of the reports."""
        while True:
            self._wake_up.clear()  # before the stop and the address are read, which it may be set for
            if self._is_stopped:
                return
            start = time.monotonic()
            self._report(self._address)
            # Counted from the start: a report that got no answer must not push the next one towards the 3 s.
            self._wake_up.wait(max(0.0, start + REPORT_INTERVAL_S - time.monotonic()))

    def _report(self, address: tuple[str, int]) -> None:
        """Send one report, and note whether it arrived."""
        try:
            status = self._send_report(address)
            problem = "" if status in (None, REPORT_ACCEPTED) else f"status {status}"
        except Exception as error:  # whatever came back: without this thread no balancer finds the server
            problem = str(error) or type(error).__name__
        finally:
            with self._lock:
                self._report_socket = None
        if not self._is_stopped:
            self._note_outcome(problem)

    def _send_report(self, address: tuple[str, int]) -> int | None:
        """The status of the reply to one report; None if it was stopped before it was sent."""
        headers = {"Content-Type": "application/json"}
        report = http.request("PUT", f"/roster/{self._name}", address, headers, REPORT_BODY)
        deadline = time.monotonic() + REPORT_TIMEOUT_S
        with socket.create_connection(address, REPORT_TIMEOUT_S) as sock:
            with self._lock:
                if self._is_stopped:
                    return None
                self._report_socket = sock
            sock.sendall(report)
            return http.read_reply(sock, deadline).status

    def _note_outcome(self, problem: str) -> None:
        """Log a change between failure and success once, not with every report."""
        if bool(problem) is self._is_failing:
            return
        self._is_failing = bool(problem)
        if problem:
            logger.warning("service registry report failed: %s", problem)
        else:
            logger.info("service registry reports arrive again")
