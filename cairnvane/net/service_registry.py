"""Registers this server with the service registry, which balancers use to find it."""

from __future__ import annotations

import contextlib
import logging
import socket
import threading
import time

from . import http

logger = logging.getLogger(__name__)

# An entry expires 3 s after its last report, so two consecutive reports may fail.
REPORT_INTERVAL_S = 0.8
# Shorter than the interval, so that a slow report fails before the next one is due.
REPORT_TIMEOUT_S = 0.7
REPORT_ACCEPTED = 204
REPORT_BODY = b'{"duty":"on"}'


class ServiceRegistry:
    """Sends reports at a fixed interval until it is stopped; failures do not affect the server."""

    def __init__(self, address: tuple[str, int], name: str) -> None:
        self._address = address
        self._name = name
        self._is_stopped = False
        self._lock = threading.Lock()  # guards the stop flag and the socket of the report that is being sent
        self._report_socket: socket.socket | None = None  # while a report is being sent
        self._wake_up = threading.Event()
        self._is_failing = False

    def start(self) -> None:
        """Start sending reports."""
        threading.Thread(target=self._report_regularly, name="service registry reports", daemon=True).start()

    def move(self, address: tuple[str, int]) -> None:
        """Report to a new address, immediately: the new registry has no entry for this server yet."""
        if address != self._address:
            self._address = address
            self._wake_up.set()

    @property
    def is_reachable(self) -> bool:
        """Whether the last report succeeded; True before the first one has ended."""
        return not self._is_failing

    def stop(self) -> None:
        """Send no more reports: any report, even `off`, would extend the entry by 3 s.

        A report that is being sent is aborted, since it may not have been sent completely yet.
        """
        with self._lock:
            self._is_stopped = True
            if self._report_socket is not None:
                with contextlib.suppress(OSError):
                    self._report_socket.shutdown(socket.SHUT_RDWR)
        self._wake_up.set()

    def _report_regularly(self) -> None:
        """Runs in the reports' thread."""
        while True:
            self._wake_up.clear()  # before the flag and the address are read, so that no change is missed
            if self._is_stopped:
                return
            start = time.monotonic()
            self._report(self._address)
            # Measured from the start: a report that times out must not delay the next one towards the expiry.
            self._wake_up.wait(max(0.0, start + REPORT_INTERVAL_S - time.monotonic()))

    def _report(self, address: tuple[str, int]) -> None:
        """Send one report, and record whether it succeeded."""
        try:
            status = self._send_report(address)
            problem = "" if status in (None, REPORT_ACCEPTED) else f"status {status}"
        except Exception as error:  # any error: without this thread no balancer would find the server
            problem = str(error) or type(error).__name__
        finally:
            with self._lock:
                self._report_socket = None
        if not self._is_stopped:
            self._note_outcome(problem)

    def _send_report(self, address: tuple[str, int]) -> int | None:
        """Send one report; returns the reply's status, or None if `stop` was called before it was sent."""
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
        """Log only changes between failure and success, not each report."""
        if bool(problem) is self._is_failing:
            return
        self._is_failing = bool(problem)
        if problem:
            logger.warning("service registry report failed: %s", problem)
        else:
            logger.info("service registry reports succeed again")
