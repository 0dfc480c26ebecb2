"""The rig's own links: what passes between two of a fleet passes here, and meets its faults.

One thread runs an event loop for all links; callers of other threads hand their changes in. What a link does
to a piece of data is decided in `conditions.py`.
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
from .link_conditions import Direction, Fault

# A piece of a stream as it is passed on; and how much of a stream may be on its way in one direction.
PIECE_BYTES, AWAY_BYTES = 65_536, 1 << 20
# A blocked stream looks again so often.
LOOK_S = 0.01


class Link:
    """Between two ends; `there` is from whoever connects."""

    def __init__(self, seed: str) -> None:
        self.there = Direction(random.Random(f"{seed} there"))
        self.back = Direction(random.Random(f"{seed} back"))
        self.counts: Counter[str] = Counter()
        self.port = 0

    def ways(self, way: str) -> list[Direction]:
        """`there`, `back`, or `both`."""
        return {"there": [self.there], "back": [self.back]}.get(way, [self.there, self.back])

    def refresh(self) -> None:
        """Its faults have changed."""


class TcpLink(Link):
    """Takes connections for the other end, and passes them on."""

    def __init__(
        self,
        seed: str,
        to: Callable[[], tuple[str, int] | None],
        refused: Callable[[], None] | None = None,
    ) -> None:
        """`refused`: the other end takes no connection any more, though it is there; from the links'
        thread. With it, the link refuses as well from then on, until it is told to `listen`."""
        super().__init__(seed)
        self._to, self._refused = to, refused
        if refused is not None:  # it closes at times, and comes back to its port
            (self.port,) = free_ports(1)
        self._open: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen; `port` says where."""
        self._server = await asyncio.start_server(self._take, HOST, self.port, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _take(self, near_in: asyncio.StreamReader, near: asyncio.StreamWriter) -> None:
        self.counts["connections"] += 1
        self._open.add(near)
        far: asyncio.StreamWriter | None = None
        try:
            while self.there.blocked():
                await asyncio.sleep(LOOK_S)
            if (address := self._to()) is None or self.there.resets() or self.back.resets():
                return _reset(near)
            try:
                far_in, far = await asyncio.open_connection(*address)
            except OSError:
                self.counts["refused"] += 1
                if self._refused is not None:  # what is open goes on
                    self._refused()
                    self._refuse()
                return _reset(near)
            self._open.add(far)
            await asyncio.gather(
                _pump(near_in, near, far, self.there, self.counts),
                _pump(far_in, far, near, self.back, self.counts),
            )
        except (OSError, asyncio.IncompleteReadError):
            self.counts["broken"] += 1
        except asyncio.CancelledError:
            pass  # the links end; left to the loop, each would be told on standard error
        finally:
            for one in (near, far):
                if one is not None:
                    self._open.discard(one)
                    one.close()

    def refresh(self) -> None:
        """End what is open, if that is what the faults are now, or if a stream has lost a part."""
        ways = self.there, self.back
        if any(way.resets() or (way.lost and not way.swallows()) for way in ways):
            self.cut_off()
            for way in ways:
                way.lost = False

    async def listen(self, there: bool) -> None:
        """Whether anybody listens behind it: if not, connections are refused, and those that are open end."""
        if there and self._server is None:
            await self.start()
        elif not there:
            self._refuse()
            self.cut_off()

    def _refuse(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def cut_off(self) -> None:
        """End all connections, as a machine that is gone would not, but its successor does."""
        for one in list(self._open):
            _reset(one)

    def close(self) -> None:
        """Take no more."""
        self._refuse()
        self.cut_off()


async def _pump(
    source: asyncio.StreamReader,
    origin: asyncio.StreamWriter,
    sink: asyncio.StreamWriter,
    way: Direction,
    counts: Counter[str],
) -> None:
    """One direction of a connection, from `origin`, whose reader `source` is. Pieces are read on while
    earlier ones are still on their way."""
    loop, away, room = asyncio.get_running_loop(), 0, asyncio.Event()
    queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
    room.set()

    async def deliver() -> None:
        try:
            await deliver_all()
        except OSError:  # who was to have it is gone, and who sends hears of that
            _reset(origin)
            room.set()

    async def deliver_all() -> None:
        nonlocal away
        while True:
            at, data = await queue.get()
            if (wait := at - loop.time()) > 0:
                await asyncio.sleep(wait)
            while way.blocked():
                await asyncio.sleep(LOOK_S)
            if not data:
                with contextlib.suppress(OSError):
                    if sink.can_write_eof():
                        sink.write_eof()
                return
            sink.write(data)
            await sink.drain()
            away -= len(data)
            room.set()

    task = asyncio.ensure_future(deliver())
    try:
        while not task.done():
            data = await source.read(PIECE_BYTES)
            if way.swallows():
                way.lost = True
                if not data:
                    return
                continue
            now = loop.time()
            counts["bytes"] += len(data)
            queue.put_nowait((now + way.stream(len(data), now), data))
            if not data:
                break
            away += len(data)
            if away > AWAY_BYTES:
                room.clear()
                await room.wait()
        await task
    finally:
        task.cancel()


def _reset(writer: asyncio.StreamWriter) -> None:
    """End it with RST, not in order."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport = writer.transport
    if isinstance(transport, asyncio.WriteTransport):
        transport.abort()


class UdpLink(Link):
    """One datagram channel between two ends, each of which sends to a port of its own here."""

    def __init__(
        self,
        seed: str,
        ends: tuple[Callable[[], tuple[str, int] | None], ...],
        ports: tuple[int, int] = (0, 0),
    ) -> None:
        """`ports`: as `self.ports`, where they are given."""
        super().__init__(seed)
        self._ends, self._wanted = ends, ports
        self._transports: list[asyncio.DatagramTransport] = []
        self.ports: list[int] = []  # where the first sends to the second, and the second to the first

    async def start(self) -> None:
        """Open both; `ports` says where."""
        loop = asyncio.get_running_loop()
        for number, way in enumerate((self.there, self.back)):
            transport, _ = await loop.create_datagram_endpoint(
                lambda n=number, w=way: _Datagrams(self, n, w),  # type: ignore[misc]
                local_addr=(HOST, self._wanted[number]),
            )
            self._transports.append(transport)
            self.ports.append(transport.get_extra_info("sockname")[1])

    def took(self, number: int, way: Direction, data: bytes) -> None:
        """A datagram came from end `number`. It leaves by the other end's port, so an answer finds its
        way."""
        loop = asyncio.get_running_loop()
        times = way.datagram(len(data), loop.time())
        self.counts["datagrams"] += 1
        self.counts["bytes"] += len(data)
        self.counts["lost"] += not times
        for delay in times:
            loop.call_later(delay, self._pass_on, number, data)

    def _pass_on(self, number: int, data: bytes) -> None:
        if (to := self._ends[1 - number]()) is not None:
            self._transports[1 - number].sendto(data, to)

    def close(self) -> None:
        """Pass nothing on any more."""
        for transport in self._transports:
            transport.close()


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, link: UdpLink, number: int, way: Direction) -> None:
        self._link, self._number, self._way = link, number, way

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._link.took(self._number, self._way, data)


L = TypeVar("L", TcpLink, UdpLink)


class Network:
    """All links, on one thread."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._links: list[TcpLink | UdpLink] = []
        self._thread = threading.Thread(target=self._loop.run_forever, name="links", daemon=True)
        self._thread.start()

    def _call(self, work: Coroutine[Any, Any, None]) -> None:
        asyncio.run_coroutine_threadsafe(work, self._loop).result(10)

    def add(self, link: L) -> L:
        """Start a link."""
        self._call(link.start())
        self._links.append(link)
        return link

    def set(self, link: Link, way: str, number: int, fault: Fault | None) -> None:
        """A fault begins, or (None) is over."""
        done = threading.Event()

        def change() -> None:
            for direction in link.ways(way):
                if fault is None:
                    direction.faults.pop(number, None)
                else:
                    direction.faults[number] = fault
            link.refresh()
            done.set()

        self._loop.call_soon_threadsafe(change)
        done.wait(10)

    def listen(self, link: TcpLink, there: bool) -> None:
        """Whoever is behind it has come or gone."""
        self._call(link.listen(there))

    def close(self) -> None:
        """End all links, and the thread."""

        async def end() -> None:
            for link in self._links:
                link.close()
            left = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
            for task in left:
                task.cancel()
            await asyncio.gather(*left, return_exceptions=True)

        self._call(end())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)
