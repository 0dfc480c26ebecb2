"""Proxies between the testbed's processes, which apply link faults to the data they forward.

One thread runs an event loop for all links; other threads submit changes to it. `link_conditions` decides
what happens to each piece of data.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
import threading
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from ..stand_ins.sockets import HOST, free_ports
from .link_conditions import Direction, LinkFault

# Maximum size of a piece of a stream that is forwarded at once.
PIECE_BYTES = 65_536
# Maximum number of bytes of a stream in transit in one direction.
MAX_TRANSIT_BYTES = 1 << 20
# Interval at which a blocked stream checks whether it may continue.
BLOCKED_POLL_S = 0.01
LISTEN_BACKLOG = 512
# Timeouts of other threads for a call to the event loop and for the end of its thread.
LOOP_TIMEOUT_S = 10
JOIN_TIMEOUT_S = 5

Address = tuple[str, int]


class Link:
    """A link between two ends; `there` is the direction from the connecting end, `back` the opposite one."""

    def __init__(self, seed: str) -> None:
        self.there = Direction(random.Random(f"{seed} there"))
        self.back = Direction(random.Random(f"{seed} back"))
        self.counts: Counter[str] = Counter()
        self.port = 0

    def directions(self, way: str) -> list[Direction]:
        """The directions that are named by `there`, `back` or `both`."""
        return {"there": [self.there], "back": [self.back]}.get(way, [self.there, self.back])

    def apply_faults(self) -> None:
        """Apply changed faults to open connections."""


class TcpLink(Link):
    """A TCP proxy: accepts connections on behalf of the other end and forwards them."""

    def __init__(
        self,
        seed: str,
        target: Callable[[], Address | None],
        on_refused: Callable[[], None] | None = None,
    ) -> None:
        """Forward to the address that `target` returns; None means that the other end is down.

        `on_refused` is called in the event loop's thread when the other end is up but refuses a connection.
        With this callback, the link itself refuses connections from then on, until `set_listening`.
        """
        super().__init__(seed)
        self._target, self._on_refused = target, on_refused
        if on_refused is not None:  # the link stops listening at times and later listens on the same port
            (self.port,) = free_ports(1)
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on `port`."""
        self._server = await asyncio.start_server(self._forward, HOST, self.port, backlog=LISTEN_BACKLOG)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _forward(self, near_in: asyncio.StreamReader, near: asyncio.StreamWriter) -> None:
        self.counts["connections"] += 1
        self._writers.add(near)
        far: asyncio.StreamWriter | None = None
        try:
            while self.there.blocked():
                await asyncio.sleep(BLOCKED_POLL_S)
            if (address := self._target()) is None or self.there.resets() or self.back.resets():
                return _reset(near)
            try:
                far_in, far = await asyncio.open_connection(*address)
            except OSError:
                self.counts["refused"] += 1
                if self._on_refused is not None:  # open connections stay open
                    self._on_refused()
                    self._stop_listening()
                return _reset(near)
            self._writers.add(far)
            await asyncio.gather(
                _forward_stream(near_in, near, far, self.there, self.counts),
                _forward_stream(far_in, far, near, self.back, self.counts),
            )
        except (OSError, asyncio.IncompleteReadError):
            self.counts["broken"] += 1
        except asyncio.CancelledError:
            pass  # the link closes; asyncio would report the unhandled cancellation on standard error
        finally:
            for writer in (near, far):
                if writer is not None:
                    self._writers.discard(writer)
                    writer.close()

    def apply_faults(self) -> None:
        """Reset open connections if a fault requires it or a stream has lost data."""
        directions = self.there, self.back
        if any(
            direction.resets() or (direction.stream_broken and not direction.discards())
            for direction in directions
        ):
            self.reset_connections()
            for direction in directions:
                direction.stream_broken = False

    async def set_listening(self, listening: bool) -> None:
        """Accept connections, or refuse them and reset the open ones, as the target of the link would."""
        if listening and self._server is None:
            await self.start()
        elif not listening:
            self._stop_listening()
            self.reset_connections()

    def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def reset_connections(self) -> None:
        """Reset all connections, as a machine does that replaces a lost one and does not know them."""
        for writer in list(self._writers):
            _reset(writer)

    def close(self) -> None:
        """Stop listening, and reset all connections."""
        self._stop_listening()
        self.reset_connections()


async def _forward_stream(
    source: asyncio.StreamReader,
    origin: asyncio.StreamWriter,
    sink: asyncio.StreamWriter,
    direction: Direction,
    counts: Counter[str],
) -> None:
    """Forward one direction of a connection from `origin`, whose reader is `source`, to `sink`.

    The next pieces are read while earlier ones are still in transit.
    """
    loop = asyncio.get_running_loop()
    transit_bytes = 0
    capacity = asyncio.Event()
    queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
    capacity.set()

    async def deliver() -> None:
        try:
            await deliver_all()
        except OSError:  # the receiver has disconnected: disconnect the sender too
            _reset(origin)
            capacity.set()

    async def deliver_all() -> None:
        nonlocal transit_bytes
        while True:
            arrives_at, data = await queue.get()
            if (delay_s := arrives_at - loop.time()) > 0:
                await asyncio.sleep(delay_s)
            while direction.blocked():
                await asyncio.sleep(BLOCKED_POLL_S)
            if not data:
                with contextlib.suppress(OSError):
                    if sink.can_write_eof():
                        sink.write_eof()
                return
            sink.write(data)
            await sink.drain()
            transit_bytes -= len(data)
            capacity.set()

    task = asyncio.ensure_future(deliver())
    try:
        while not task.done():
            data = await source.read(PIECE_BYTES)
            if direction.discards():
                direction.stream_broken = True
                if not data:
                    return
                continue
            now = loop.time()
            counts["bytes"] += len(data)
            queue.put_nowait((now + direction.stream_delay(len(data), now), data))
            if not data:
                break
            transit_bytes += len(data)
            if transit_bytes > MAX_TRANSIT_BYTES:
                capacity.clear()
                await capacity.wait()
        await task
    finally:
        task.cancel()


def _reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with RST."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport = writer.transport
    if isinstance(transport, asyncio.WriteTransport):
        transport.abort()


class UdpLink(Link):
    """A UDP proxy between two ends. Each end sends to its own port of the link."""

    def __init__(
        self,
        seed: str,
        ends: tuple[Callable[[], Address | None], ...],
        ports: tuple[int, int] = (0, 0),
    ) -> None:
        """`ends` return the addresses of both ends; `ports` are the local ports to bind, 0 for any."""
        super().__init__(seed)
        self._ends = ends
        self._requested_ports = ports
        self._transports: list[asyncio.DatagramTransport] = []
        self.ports: list[int] = []  # the port to which the first end sends, and that of the second end

    async def start(self) -> None:
        """Open both ports."""
        loop = asyncio.get_running_loop()
        for number, direction in enumerate((self.there, self.back)):
            transport, _ = await loop.create_datagram_endpoint(
                lambda end=number, way=direction: _Datagrams(self, end, way),  # type: ignore[misc]
                local_addr=(HOST, self._requested_ports[number]),
            )
            self._transports.append(transport)
            self.ports.append(transport.get_extra_info("sockname")[1])

    def receive(self, number: int, direction: Direction, data: bytes) -> None:
        """Forward a datagram from end `number`, sent from the other end's port so that answers return."""
        loop = asyncio.get_running_loop()
        delays = direction.datagram_delays(len(data), loop.time())
        self.counts["datagrams"] += 1
        self.counts["bytes"] += len(data)
        self.counts["lost"] += not delays
        for delay in delays:
            loop.call_later(delay, self._send, number, data)

    def _send(self, number: int, data: bytes) -> None:
        receiver = 1 - number
        if (address := self._ends[receiver]()) is not None:
            self._transports[receiver].sendto(data, address)

    def close(self) -> None:
        """Close both ports."""
        for transport in self._transports:
            transport.close()


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, link: UdpLink, number: int, direction: Direction) -> None:
        self._link, self._number, self._direction = link, number, direction

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._link.receive(self._number, self._direction, data)


LinkT = TypeVar("LinkT", TcpLink, UdpLink)


class Network:
    """All links of a testbed, on one thread. Its methods may be called from any other thread."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._links: list[TcpLink | UdpLink] = []
        self._thread = threading.Thread(target=self._loop.run_forever, name="links", daemon=True)
        self._thread.start()

    def _call(self, work: Coroutine[Any, Any, None]) -> None:
        asyncio.run_coroutine_threadsafe(work, self._loop).result(LOOP_TIMEOUT_S)

    def add(self, link: LinkT) -> LinkT:
        """Start a link, and return it."""
        self._call(link.start())
        self._links.append(link)
        return link

    def set_fault(self, link: Link, way: str, number: int, fault: LinkFault | None) -> None:
        """Apply a fault under this number in the named directions; None removes it."""
        done = threading.Event()

        def change() -> None:
            for direction in link.directions(way):
                if fault is None:
                    direction.faults.pop(number, None)
                else:
                    direction.faults[number] = fault
            link.apply_faults()
            done.set()

        self._loop.call_soon_threadsafe(change)
        done.wait(LOOP_TIMEOUT_S)

    def set_listening(self, link: TcpLink, listening: bool) -> None:
        """Set whether the link accepts connections."""
        self._call(link.set_listening(listening))

    def close(self) -> None:
        """Close all links and stop the thread."""

        async def end() -> None:
            for link in self._links:
                link.close()
            tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self._call(end())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(JOIN_TIMEOUT_S)
