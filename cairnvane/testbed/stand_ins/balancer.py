"""A stand-in balancer: tries over FastCGI on a few connections, each answered, broken or overdue."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from ...net import fastcgi
from .sockets import shut

# The protocol's own bound on open requests of a connection.
MAX_OPEN = 32
# A server may close a connection that has no open request, and a request may cross that within this time: it
# is sent again on a new connection, once, says the protocol.
CROSSING_S = 0.05


@dataclass(slots=True)
class Reply:
    """What came back for one try. `status` 0: its connection ended first."""

    status: int
    body: bytes
    wait_ms: int
    took_s: float


Then = Callable[[Reply], None]


@dataclass(slots=True)
class _Open:
    """A try that is owed its end."""

    then: Then
    since: float
    records: Callable[[int], bytes] | None  # it as bytes, under a number; None: it is not to be sent again


class _Link:
    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port), 5)
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.lock = threading.Lock()
        self.free = list(range(1, MAX_OPEN + 1))
        self.open: dict[int, _Open] = {}
        self.broken = False


class StandInBalancer:
    """Callers to one life of a server, or, if it may `renew` its connections, to all that listen at one
    address. `then` is called in a reader's thread, or in the caller's own if there is no connection any
    more."""

    def __init__(self, port: int, links: int = 4, renew: bool = False) -> None:
        self._port, self._renew = port, renew
        self._links = [_Link(port) for _ in range(links)]
        self._room = threading.Semaphore(links * MAX_OPEN)
        self._next = 0
        for link in self._links:
            self._start(link)

    def _start(self, link: _Link) -> None:
        threading.Thread(target=self._read, args=(link,), daemon=True).start()

    def hang_up(self, at: int) -> None:
        """End a connection, if nothing is open on it: the next try on it finds a new one, maybe to another
        process."""
        link = self._links[at % len(self._links)]
        with link.lock:
            if not link.open and not link.broken:
                link.broken = True
                shut(link.sock)

    def send(
        self,
        uid: str,
        lane: str,
        body: bytes,
        token: str | None,
        then: Then,
        fresh: bool = False,
        wait: bool = True,
    ) -> Callable[[], None] | None:
        """Make a try, as soon as there is room on a connection, or (without `wait`) if there is room now;
        `fresh`: on one that is made for it. What is returned gives it up: nobody hears of its end then."""
        if not self._room.acquire(blocking=wait):
            return None
        params = {
            "SCRIPT_NAME": f"/svc/{lane}",
            "REQUEST_METHOD": "POST",
            "HTTP_REQ_ID": uid,
            "HTTP_REQ_FROM": "1",
            "HTTP_REQ_TIME": str(time.time_ns() // 1_000_000),
            "HTTP_REQ_KB": "8.0",
            "HTTP_REQ_RANK": "0.5",
        }
        if token is not None:
            params["HTTP_REQ_TOKEN"] = token

        def records(number: int) -> bytes:
            return b"".join(
                [
                    fastcgi.record(fastcgi.BEGIN_REQUEST, number, b"\0\1\1\0\0\0\0\0"),
                    fastcgi.record(fastcgi.PARAMS, number, fastcgi.put_pairs(params)),
                    fastcgi.record(fastcgi.PARAMS, number, b""),
                    fastcgi.record(fastcgi.STDIN, number, body),
                    fastcgi.record(fastcgi.STDIN, number, b""),
                ]
            )

        link, number = self._claim(_Open(then, time.monotonic(), records if self._renew else None), fresh)
        with link.lock, contextlib.suppress(OSError):
            if not link.broken:
                link.sock.sendall(records(number))
                return lambda: self._give_up(link, number, then)
        self._end(link, number, Reply(0, b"", 0, 0.0))
        return lambda: None

    def _give_up(self, link: _Link, number: int, then: Then) -> None:
        """Tell the server. The number is free again once that has ended it."""
        with link.lock, contextlib.suppress(OSError):
            if (one := link.open.get(number)) is not None and one.then is then:
                link.open[number] = _Open(lambda reply: None, 0.0, None)
                link.sock.sendall(fastcgi.record(fastcgi.ABORT_REQUEST, number, b""))

    def _claim(self, one: _Open, fresh: bool) -> tuple[_Link, int]:
        if fresh:
            with contextlib.suppress(OSError):
                link = _Link(self._port)
                number = link.free.pop()
                link.open[number] = one
                self._start(link)
                self._links[self._next] = self._in_place_of(self._links[self._next], link)
                return link, number
        while True:
            for _ in self._links:
                self._next = (self._next + 1) % len(self._links)
                link = self._links[self._next]
                if link.broken and self._renew:
                    link = self._links[self._next] = self._again(link)
                with link.lock:
                    if link.free:
                        number = link.free.pop()
                        link.open[number] = one
                        return link, number

    def _in_place_of(self, link: _Link, new: _Link) -> _Link:
        """Which of the two later tries use; the other one ends when nothing is open on it."""
        with link.lock:
            if not link.open and not link.broken:
                link.broken = True
                shut(link.sock)
        return new

    def _again(self, link: _Link) -> _Link:
        """A new connection in the place of one that has ended; that one if none can be had."""
        try:
            new = _Link(self._port)
        except OSError:
            return link
        self._start(new)
        return new

    def _read(self, link: _Link) -> None:
        data = b""
        out: dict[int, bytearray] = {}
        with contextlib.suppress(OSError):
            while more := link.sock.recv(65_536):
                data += more
                at = 0
                while (found := fastcgi.take(memoryview(data), at, len(data))) is not None:
                    part, at = found
                    if part.kind == fastcgi.STDOUT:
                        out.setdefault(part.request, bytearray()).extend(part.content)
                    elif part.kind == fastcgi.END_REQUEST:
                        self._answered(link, part.request, bytes(out.pop(part.request, b"")))
                data = data[at:]
        with link.lock:
            link.broken = True
            left = list(link.open)
        for number in left:
            self._end(link, number, Reply(0, b"", 0, 0.0))

    def _cross(self, one: _Open) -> bool:
        """Send a try again whose connection the server closed at that moment; False if that was not so, or
        nobody listens."""
        if one.records is None or time.monotonic() - one.since > CROSSING_S:
            return False
        with contextlib.suppress(OSError):
            link = _Link(self._port)
            number = link.free.pop()
            link.open[number] = _Open(one.then, one.since, None)
            link.sock.sendall(one.records(number))
            self._start(link)
            return True
        return False

    def _answered(self, link: _Link, number: int, content: bytes) -> None:
        head, _, body = content.partition(b"\r\n\r\n")
        fields = dict(line.split(": ", 1) for line in head.decode().split("\r\n") if ": " in line)
        status = int(fields.get("Status", "500").split(" ")[0])
        self._end(link, number, Reply(status, body, int(fields.get("Srv-Wait-Ms", "0")), 0.0))

    def _end(self, link: _Link, number: int, reply: Reply) -> None:
        with link.lock:
            one = link.open.pop(number, None)
            if one is None:
                return
            link.free.append(number)
        if reply.status == 0 and self._cross(one):
            return
        self._room.release()
        reply.took_s = time.monotonic() - one.since
        one.then(reply)

    def close(self) -> None:
        """Hang up."""
        for link in self._links:
            shut(link.sock)
