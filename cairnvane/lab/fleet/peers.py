"""The links between the servers themselves, and what each is told to find the others through them."""

from __future__ import annotations

import json
import random
import socket
import urllib.request
from collections.abc import Iterable
from typing import Any

from .conditions import Fault
from .links import HOST, Network, TcpLink, UdpLink
from .scenario import Scenario

KEY, CONTACTS, WAIT_S = "of-the-laboratory-only", 3, 2.0
_FLIPPED = {"there": "back", "back": "there", "both": "both"}


# Below the ports that outgoing connections get by themselves: those that are free now stay so.
_LEAST_PORT, _MOST_PORT = 20_000, 32_000


def _free(count: int) -> list[int]:
    """Ports for datagrams and connections alike."""
    ports: list[int] = []
    rng = random.SystemRandom()
    while len(ports) < count:
        port = rng.randrange(_LEAST_PORT, _MOST_PORT)
        try:
            with socket.create_server((HOST, port)), socket.socket(type=socket.SOCK_DGRAM) as datagrams:
                datagrams.bind((HOST, port))
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return ports


class Peers:
    """For each pair one datagram link, and on the same two ports a connection link each way."""

    def __init__(self, told: Scenario, seed: int, network: Network) -> None:
        self._network, self._names = network, told.names
        count = told.servers
        ports = _free(2 * count)
        self.real, self.doors = ports[:count], [f"{HOST}:{port}" for port in ports[count:]]
        self._routes: list[dict[int, int]] = [{} for _ in range(count)]
        self._links: dict[tuple[int, int], tuple[UdpLink, TcpLink, TcpLink]] = {}
        for one in range(count):
            for other in range(one + 1, count):
                self._pair(one, other, f"{seed} {one} {other}")

    def _pair(self, one: int, other: int, seed: str) -> None:
        ends = (HOST, self.real[one]), (HOST, self.real[other])
        # Connections first: their ports are taken by nobody else, and so are free for datagrams too.
        views = (self._network.add(TcpLink(f"{seed} view", lambda: ends[1])),
                 self._network.add(TcpLink(f"{seed} view back", lambda: ends[0])))
        datagrams = self._network.add(UdpLink(
            seed, (lambda: ends[0], lambda: ends[1]), (views[0].port, views[1].port)))
        self._links[one, other] = (datagrams, *views)
        self._routes[one][self.real[other]], self._routes[other][self.real[one]] = datagrams.ports

    def section(self, number: int) -> str:
        """Of the operator's file of this server."""
        contacts = [f"{HOST}:{port}" for port in self.real[:CONTACTS]]
        routes = {f"{HOST}:{port}": f"{HOST}:{by}" for port, by in self._routes[number].items()}
        told = {"listen": f"{HOST}:{self.real[number]}", "key": KEY, "contacts": contacts, "routes": routes}
        return f"\nmembers: {json.dumps(told)}\n"

    def set(self, first: int, second: int, way: str, event: int, fault: Fault | None) -> None:
        """A fault of the link between these two; `there` is from the first."""
        if first > second:
            first, second, way = second, first, _FLIPPED[way]
        datagrams, there, back = self._links[first, second]
        self._network.set(datagrams, way, event, fault)
        self._network.set(there, way, event, fault)
        self._network.set(back, _FLIPPED[way], event, fault)

    def agree(self, up: Iterable[int]) -> bool:
        """Whether each of these sees all the others alive, by their own doors."""
        names = {self._names[number] for number in up}
        for number in up:
            door = f"http://{self.doors[number]}/-/members"
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
        links = [link for some in self._links.values() for link in some]
        return (sum(link.counts["bytes"] for link in links), sum(link.counts["datagrams"] for link in links))
