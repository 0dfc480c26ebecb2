"""The links between the servers, and the configuration that routes membership traffic over them."""

from __future__ import annotations

import json
import urllib.request
from collections.abc import Iterable
from typing import Any, NamedTuple

from ..stand_ins.sockets import HOST, free_ports
from .link_conditions import LinkFault
from .links import Network, TcpLink, UdpLink
from .scenario import Scenario

KEY = "of-the-laboratory-only"
MAX_CONTACTS = 3
HTTP_TIMEOUT_S = 2.0
_REVERSED = {"there": "back", "back": "there", "both": "both"}


class Endpoint(NamedTuple):
    """One version of a server: the server's number and its slot. An upgraded server has two slots."""

    server: int
    slot: int


class _PairLinks(NamedTuple):
    """The links between two endpoints: datagrams, connections from the first, connections from the second."""

    datagrams: UdpLink
    there: TcpLink
    back: TcpLink


class PeerTraffic(NamedTuple):
    """Totals of what members have sent to each other so far, including full state exchanges."""

    bytes: int
    datagrams: int


def _join(address: tuple[str, int]) -> str:
    host, port = address
    return f"{host}:{port}"


class Peers:
    """For each pair of endpoints, a datagram link and, on its two ports, a TCP link in each direction."""

    def __init__(self, scenario: Scenario, seed: int, network: Network) -> None:
        self.administration: dict[int, tuple[str, int]] = {}  # by server, of the serving version
        self._network = network
        self._names = scenario.names
        first_ports = free_ports(scenario.servers, above=1)  # a new version listens on the next port
        self._addresses: dict[Endpoint, tuple[str, int]] = {
            Endpoint(number, slot): (HOST, first_ports[number] + slot)
            for number, name in enumerate(scenario.names)
            for slot in range(1 + (name in scenario.upgraded))
        }
        self._routes: dict[Endpoint, dict[str, str]] = {end: {} for end in self._addresses}
        self._links: dict[tuple[int, int], list[_PairLinks]] = {}
        for first in self._addresses:
            for second in self._addresses:
                if first.server < second.server:
                    self._connect(first, second, f"{seed} {_seed_part(first)} {_seed_part(second)}")

    def _connect(self, first: Endpoint, second: Endpoint, seed: str) -> None:
        first_address = self._addresses[first]
        second_address = self._addresses[second]
        # TCP first: the testbed has reserved its ports, so they are also free for datagrams.
        there = self._network.add(TcpLink(f"{seed} view", lambda: second_address))
        back = self._network.add(TcpLink(f"{seed} view back", lambda: first_address))
        datagrams = self._network.add(
            UdpLink(seed, (lambda: first_address, lambda: second_address), (there.port, back.port))
        )
        pair = self._links.setdefault((first.server, second.server), [])
        pair.append(_PairLinks(datagrams, there, back))
        self._routes[first][_join(second_address)] = f"{HOST}:{there.port}"
        self._routes[second][_join(first_address)] = f"{HOST}:{back.port}"

    def operator_section(self, number: int, slot: int) -> str:
        """The `members` section of this version's operator file."""
        contacts = list(range(len(self._names)))[:MAX_CONTACTS]
        members = {
            "listen": _join(self._addresses[Endpoint(number, 0)]),
            "key": KEY,
            "spare_ports": 1,
            "contacts": [_join(self._addresses[Endpoint(contact, 0)]) for contact in contacts],
            "routes": self._routes[Endpoint(number, slot)],
        }
        return f"\nmembers: {json.dumps(members)}\n"

    def set_fault(self, first: int, second: int, way: str, event: int, fault: LinkFault | None) -> None:
        """Apply a fault to the links between two servers; None removes it. `there` is from the first."""
        if first > second:
            first, second, way = second, first, _REVERSED[way]
        for links in self._links[first, second]:
            self._network.set_fault(links.datagrams, way, event, fault)
            self._network.set_fault(links.there, way, event, fault)
            self._network.set_fault(links.back, _REVERSED[way], event, fault)

    def all_see_each_other(self, up: Iterable[int]) -> bool:
        """Whether each of these servers reports exactly the others as alive."""
        numbers = list(up)
        names = {self._names[number] for number in numbers}
        for number in numbers:
            alive = self._reported_alive(number)
            if alive is None or alive | {self._names[number]} != names:
                return False
        return True

    def _reported_alive(self, number: int) -> set[str] | None:
        """Names of the members that a server reports as alive; None if it does not respond."""
        url = f"http://{_join(self.administration[number])}/-/members"
        try:
            with urllib.request.urlopen(url, timeout=HTTP_TIMEOUT_S) as response:
                report: dict[str, Any] = json.load(response)
        except (OSError, ValueError):
            return None
        return {member["name"] for member in report["members"] if member["status"] == "alive"}

    def traffic(self) -> PeerTraffic:
        """Totals of the traffic between members so far."""
        links = [link for pairs in self._links.values() for pair in pairs for link in pair]
        return PeerTraffic(
            sum(link.counts["bytes"] for link in links), sum(link.counts["datagrams"] for link in links)
        )


def _seed_part(endpoint: Endpoint) -> str:
    return f"{endpoint.server}" + (f".{endpoint.slot}" if endpoint.slot else "")
