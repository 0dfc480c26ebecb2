"""Bad clients of a bid server, in a process of their own: `hostile.py PORT KIND CONNECTIONS SECONDS`.

KIND `takeback`: requests that are taken back at once. KIND `half`: half requests. They read what they are
sent and send at full speed; a connection that the bid server ends is opened again.
"""

from __future__ import annotations

import random
import selectors
import socket
import sys
import time

import kit

CHUNK_REQUESTS = 320
FIRST_PART_BYTES = 8_000


def parameters(lane: str) -> dict[str, str]:
    """Return the parameters of a request that the worker pool does not know."""
    return {
        "SCRIPT_NAME": f"/svc/{lane}",
        "REQUEST_METHOD": "POST",
        "HTTP_REQ_ID": random.randbytes(8).hex(),
        "HTTP_REQ_TIME": str(time.time_ns() // 1_000_000),
        "HTTP_REQ_FROM": "77",
        "HTTP_REQ_KB": "24.5",
        "HTTP_REQ_RANK": "0.5",
    }


def chunk(kind: str) -> bytes:
    """Return what one client sends in one go."""
    data = bytearray()
    for index in range(CHUNK_REQUESTS):
        number = index % kit.MAX_OPEN + 1
        if kind == "takeback":
            data += kit.fcgi_request(number, parameters("price-view"), b"x")
            data += kit.fcgi(kit.ABORT, number, b"")
        elif kind == "half" and index < kit.MAX_OPEN:
            data += kit.fcgi(kit.BEGIN, number, b"\0\1\1\0\0\0\0\0")
            data += kit.fcgi(kit.PARAMS, number, bytes(FIRST_PART_BYTES))
    return bytes(data)


class Client:
    """One connection, which sends its chunk once, or (`takeback`) again and again."""

    def __init__(self, port: int, kind: str) -> None:
        self._port = port
        self._again = kind == "takeback"
        self.data = chunk(kind)
        self.left = memoryview(self.data)
        self.sock = self.connect()

    def connect(self) -> socket.socket:
        """Open the connection."""
        self.left = memoryview(self.data)
        sock = socket.create_connection((kit.HOST, self._port), 5)
        sock.setblocking(False)
        return sock

    def step(self, events: int) -> bool:
        """Send and read; False if the connection has ended."""
        try:
            if events & selectors.EVENT_READ and not self.sock.recv(1 << 16):
                return False
            if events & selectors.EVENT_WRITE and self.left:
                self.left = self.left[self.sock.send(self.left) :]
                if not self.left and self._again:
                    self.left = memoryview(self.data)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return True


def main() -> None:
    """Run the clients."""
    port, kind, count, seconds = int(sys.argv[1]), sys.argv[2], int(sys.argv[3]), float(sys.argv[4])
    selector = selectors.DefaultSelector()
    both = selectors.EVENT_READ | selectors.EVENT_WRITE
    for _ in range(count):
        client = Client(port, kind)
        selector.register(client.sock, both, client)
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for key, events in selector.select(0.1):
            client = key.data
            if not client.step(events):
                selector.unregister(client.sock)
                client.sock.close()
                client.sock = client.connect()
                selector.register(client.sock, both, client)
            elif not client.left:
                selector.modify(client.sock, selectors.EVENT_READ, client)


if __name__ == "__main__":
    main()
