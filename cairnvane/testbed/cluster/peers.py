"""The links between the servers themselves, and what each is told to find the others through them."""

from __future__ import annotations

import json
import urllib.request
from collections.abc import Iterable
from typing import Any

from ..stand_ins.sockets import HOST, free_ports
from .link_conditions import Fault
from .links import Network, TcpLink, UdpLink
from .scenario import Scenario

KEY, CONTACTS, WAIT_S = "of-the-laboratory-only", 3, 2.0
_FLIPPED = {"there": "back", "back": "there", "both": "both"}
# A version of a server: the server's number, and its place, of which there are two where it is upgraded.
End = tuple[int, int]


class Peers:
    """For each pair of places one datagram link, and on the same two ports a connection link each way."""

    def __init__(self, told: Scenario, seed: int, network: Network) -> None:
        self._network, self._names = network, told.names
        self.doors: dict[int, tuple[str, int]] = {}  # of the version that serves
        firsts = free_ports(told.servers, above=1)  # a new version listens one above
        self._ends: dict[End, tuple[str, int]] = {
            (number, slot): (HOST, firsts[number] + slot)
            for number, name in enumerate(told.names)
            for slot in range(1 + (name in told.upgraded))
        }
        self._routes: dict[End, dict[str, str]] = {end: {} for end in self._ends}
        self._links: dict[tuple[int, int], list[tuple[UdpLink, TcpLink, TcpLink]]] = {}
        for one in self._ends:
            for other in self._ends:
                if one[0] < other[0]:
                    self._pair(one, other, f"{seed} {_told(one)} {_told(other)}")

    def _pair(self, one: End, other: End, seed: str) -> None:
        ends = self._ends[one], self._ends[other]
        # Connections first: their ports are taken by nobody else, and so are free for datagrams too.
        views = (
            self._network.add(TcpLink(f"{seed} view", lambda: ends[1])),
            self._network.add(TcpLink(f"{seed} view back", lambda: ends[0])),
        )
        datagrams = self._network.add(
            UdpLink(seed, (lambda: ends[0], lambda: ends[1]), (views[0].port, views[1].port))
        )
        self._links.setdefault((one[0], other[0]), []).append((datagrams, *views))
        for end, whom, by in ((one, ends[1], views[0].port), (other, ends[0], views[1].port)):
            self._routes[end]["{}:{}".format(*whom)] = f"{HOST}:{by}"

    def section(self, number: int, slot: int) -> str:
        """Of the operator's file of this version."""
        some = list(range(len(self._names)))[:CONTACTS]
        told = {
            "listen": "{}:{}".format(*self._ends[number, 0]),
            "key": KEY,
            "spare_ports": 1,
            "contacts": ["{}:{}".format(*self._ends[one, 0]) for one in some],
            "routes": self._routes[number, slot],
        }
        return f"\nmembers: {json.dumps(told)}\n"

    def set(self, first: int, second: int, way: str, event: int, fault: Fault | None) -> None:
        """A fault of the links between these two; `there` is from the first."""
        if first > second:
            first, second, way = second, first, _FLIPPED[way]
        for datagrams, there, back in self._links[first, second]:
            self._network.set(datagrams, way, event, fault)
            self._network.set(there, way, event, fault)
            self._network.set(back, _FLIPPED[way], event, fault)

    def agree(self, up: Iterable[int]) -> bool:
        """Whether each of these sees all the others alive, by their own doors."""
        up = list(up)
        names = {self._names[number] for number in up}
        for number in up:
            door = "http://{}:{}/-/members".format(*self.doors[number])
            try:
                with urllib.request.urlopen(door, timeout=WAIT_S) as answer:
                    told: dict[str, Any] = json.load(answer)
            except (OSError, ValueError):
                return False
            alive = {one["name"] for one in told["members"] if one["status"] == "alive"}
            if alive | {self._names[number]} != names:
                return False
        return True

    def traffic(self) -> tuple[int, int]:
        """Bytes that members sent to each other so far, whole views too, and datagrams."""
        links = [link for pair in self._links.values() for some in pair for link in some]
        return (sum(link.counts["bytes"] for link in links), sum(link.counts["datagrams"] for link in links))


def _told(end: End) -> str:
    return f"{end[0]}" + (f".{end[1]}" if end[1] else "")
