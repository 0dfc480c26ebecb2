"""The testbed's own links: data between two processes passes through one of them, and meets its faults.

One thread runs an event loop for all links; other threads hand changes in. What a link does to a piece of
data is decided in `link_conditions`.
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

# The largest piece of a stream that is passed on at once.
PIECE_BYTES = 65_536
# The most bytes of a stream that may be in transit in one direction.
MAX_TRANSIT_BYTES = 1 << 20
# Interval at which a blocked stream checks whether it may go on.
BLOCKED_POLL_S = 0.01
LISTEN_BACKLOG = 512
# The longest wait of another thread for the event loop, and for its end.
LOOP_TIMEOUT_S = 10
JOIN_TIMEOUT_S = 5

Address = tuple[str, int]


class Link:
    """A link between two ends; `there` is the direction from the end that connects."""

    def __init__(self, seed: str) -> None:
        self.there = Direction(random.Random(f"{seed} there"))
        self.back = Direction(random.Random(f"{seed} back"))
        self.counts: Counter[str] = Counter()
        self.port = 0

    def directions(self, way: str) -> list[Direction]:
        """The directions that are named by `there`, `back` or `both`."""
        return {"there": [self.there], "back": [self.back]}.get(way, [self.there, self.back])

    def apply_faults(self) -> None:
        """Act on a change of the faults."""


class TcpLink(Link):
    """Accepts connections in the place of the other end, and forwards them."""

    def __init__(
        self,
        seed: str,
        to: Callable[[], Address | None],
        refused: Callable[[], None] | None = None,
    ) -> None:
        """Forward to the address that `to` returns; None: the other end is down.

        `refused` is called in the event loop's thread when the other end refuses a connection, though it is
        up. With it, the link itself refuses connections from then on, until `set_listening`.
        """
        super().__init__(seed)
        self._to, self._refused = to, refused
        if refused is not None:  # it stops listening at times, and comes back to its port
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
            if (address := self._to()) is None or self.there.resets() or self.back.resets():
                return _reset(near)
            try:
                far_in, far = await asyncio.open_connection(*address)
            except OSError:
                self.counts["refused"] += 1
                if self._refused is not None:  # open connections go on
                    self._refused()
                    self._stop_listening()
                return _reset(near)
            self._writers.add(far)
            await asyncio.gather(
                _pump(near_in, near, far, self.there, self.counts),
                _pump(far_in, far, near, self.back, self.counts),
            )
        except (OSError, asyncio.IncompleteReadError):
            self.counts["broken"] += 1
        except asyncio.CancelledError:
            pass  # the links end; left to the loop, each would be reported on standard error
        finally:
            for writer in (near, far):
                if writer is not None:
                    self._writers.discard(writer)
                    writer.close()

    def apply_faults(self) -> None:
        """Reset open connections, if a fault demands it or a stream has lost a part."""
        directions = self.there, self.back
        if any(way.resets() or (way.stream_broken and not way.swallows()) for way in directions):
            self.reset_connections()
            for way in directions:
                way.stream_broken = False

    async def set_listening(self, listening: bool) -> None:
        """Accept connections, or refuse them and reset the open ones, as the end behind the link would."""
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
        """Reset all connections, as the successor of a machine that is gone would."""
        for writer in list(self._writers):
            _reset(writer)

    def close(self) -> None:
        """Stop listening, and reset all connections."""
        self._stop_listening()
        self.reset_connections()


async def _pump(
    source: asyncio.StreamReader,
    origin: asyncio.StreamWriter,
    sink: asyncio.StreamWriter,
    way: Direction,
    counts: Counter[str],
) -> None:
    """Forward one direction of a connection, from `origin`, whose reader is `source`, to `sink`.

    Further pieces are read while earlier ones are still in transit.
    """
    loop = asyncio.get_running_loop()
    transit_bytes = 0
    capacity = asyncio.Event()
    queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
    capacity.set()

    async def deliver() -> None:
        try:
            await deliver_all()
        except OSError:  # the receiver is gone, and the sender has to notice
            _reset(origin)
            capacity.set()

    async def deliver_all() -> None:
        nonlocal transit_bytes
        while True:
            at, data = await queue.get()
            if (wait := at - loop.time()) > 0:
                await asyncio.sleep(wait)
            while way.blocked():
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
            if way.swallows():
                way.stream_broken = True
                if not data:
                    return
                continue
            now = loop.time()
            counts["bytes"] += len(data)
            queue.put_nowait((now + way.stream_delay(len(data), now), data))
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
    """A datagram link between two ends, each of which sends to a port of its own of the link."""

    def __init__(
        self,
        seed: str,
        ends: tuple[Callable[[], Address | None], ...],
        ports: tuple[int, int] = (0, 0),
    ) -> None:
        """`ends` return the addresses; `ports`: those to use for `self.ports`, 0 for any."""
        super().__init__(seed)
        self._ends = ends
        self._requested_ports = ports
        self._transports: list[asyncio.DatagramTransport] = []
        self.ports: list[int] = []  # where the first sends to the second, and the second to the first

    async def start(self) -> None:
        """Open both ports."""
        loop = asyncio.get_running_loop()
        for number, way in enumerate((self.there, self.back)):
            transport, _ = await loop.create_datagram_endpoint(
                lambda n=number, w=way: _Datagrams(self, n, w),  # type: ignore[misc]
                local_addr=(HOST, self._requested_ports[number]),
            )
            self._transports.append(transport)
            self.ports.append(transport.get_extra_info("sockname")[1])

    def receive(self, number: int, way: Direction, data: bytes) -> None:
        """Forward a datagram from end `number` by the other end's port, so that an answer finds its way."""
        loop = asyncio.get_running_loop()
        delays = way.datagram_delays(len(data), loop.time())
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
    def __init__(self, link: UdpLink, number: int, way: Direction) -> None:
        self._link, self._number, self._way = link, number, way

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._link.receive(self._number, self._way, data)


L = TypeVar("L", TcpLink, UdpLink)


class Network:
    """All links of a testbed, on one thread. Its methods may be called from any other thread."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._links: list[TcpLink | UdpLink] = []
        self._thread = threading.Thread(target=self._loop.run_forever, name="links", daemon=True)
        self._thread.start()

    def _call(self, work: Coroutine[Any, Any, None]) -> None:
        asyncio.run_coroutine_threadsafe(work, self._loop).result(LOOP_TIMEOUT_S)

    def add(self, link: L) -> L:
        """Start a link, and return it."""
        self._call(link.start())
        self._links.append(link)
        return link

    def set_fault(self, link: Link, way: str, number: int, fault: LinkFault | None) -> None:
        """Begin the fault of this number in the named directions, or (None) end it."""
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
        """Whether the end behind this link listens."""
        self._call(link.set_listening(listening))

    def close(self) -> None:
        """Close all links, and end the thread."""

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
