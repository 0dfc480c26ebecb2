"""The testbed's links: effects of faults on streams and datagrams."""

from __future__ import annotations

import random
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator

import pytest
from peers import WAIT_S

from cairnvane.testbed.cluster.link_conditions import (
    MAX_REORDER_DELAY_S,
    RETRANSMIT_S,
    Direction,
    LinkFault,
)
from cairnvane.testbed.cluster.links import Network, TcpLink, UdpLink
from cairnvane.testbed.stand_ins.sockets import Listener


def test_streams_keep_their_order_and_lose_no_data() -> None:
    direction = Direction(random.Random(1))
    direction.faults = {1: LinkFault("delay", delay_s=0.1, spread_s=0.1), 2: LinkFault("drop", share=0.3)}
    arrivals = [
        round(now + direction.stream_delay(100, now), 9) for now in (0.01 * step for step in range(500))
    ]
    assert arrivals == sorted(arrivals) and max(arrivals) > 5.0 + RETRANSMIT_S


def test_a_bandwidth_cap_delays_each_piece() -> None:
    direction = Direction(random.Random(1), {1: LinkFault("cap", bytes_a_second=1_000.0)})
    assert [round(direction.stream_delay(500, 0.0), 6) for _ in range(3)] == [0.5, 1.0, 1.5]


def test_datagrams_are_dropped_duplicated_and_reordered_by_their_shares() -> None:
    direction = Direction(random.Random(1))
    direction.faults = {
        1: LinkFault("drop", share=0.3),
        2: LinkFault("duplicate", share=0.2),
        3: LinkFault("reorder", share=0.5),
    }
    copies = [direction.datagram_delays(100, 0.0) for _ in range(2_000)]
    counts = Counter(len(delays) for delays in copies)
    assert 0.25 < counts[0] / 2_000 < 0.35 and 0.15 < counts[2] / (2_000 - counts[0]) < 0.25
    assert {0 < delay <= MAX_REORDER_DELAY_S for delays in copies for delay in delays} == {True, False}
    direction.faults[4] = LinkFault("cut")
    assert direction.datagram_delays(100, 0.0) == []


@pytest.fixture
def network() -> Iterator[Network]:
    created = Network()
    yield created
    created.close()


def echo(sock: socket.socket) -> None:
    while data := sock.recv(4_096):
        sock.sendall(data)


def link_to_echo_server(network: Network) -> tuple[TcpLink, Callable[[], socket.socket]]:
    host, _, port = Listener(echo).address.rpartition(":")
    link = network.add(TcpLink("seed", lambda: (host, int(port))))

    def connect() -> socket.socket:
        sock = socket.create_connection(("127.0.0.1", link.port), WAIT_S)
        sock.settimeout(WAIT_S)
        sock.sendall(b"one")  # the connection is established before any fault is applied
        assert sock.recv(9) == b"one"
        return sock

    return link, connect


def test_a_cut_delays_data_until_it_ends(network: Network) -> None:
    link, connect = link_to_echo_server(network)
    sock = connect()
    network.set_fault(link, "back", 1, LinkFault("cut"))
    sock.sendall(b"two")
    sock.settimeout(0.2)
    with pytest.raises(TimeoutError):
        sock.recv(9)
    network.set_fault(link, "back", 1, None)
    sock.settimeout(WAIT_S)
    assert sock.recv(9) == b"two"


def test_a_connection_that_lost_data_in_a_stall_is_reset_when_the_stall_ends(network: Network) -> None:
    link, connect = link_to_echo_server(network)
    sock = connect()
    network.set_fault(link, "there", 1, LinkFault("stall"))
    sock.sendall(b"two")
    deadline = time.monotonic() + WAIT_S
    while not link.there.stream_broken and time.monotonic() < deadline:
        time.sleep(0.01)
    network.set_fault(link, "there", 1, None)
    with pytest.raises(ConnectionResetError):
        sock.recv(9)


def test_a_reset_fault_ends_connections_and_a_link_that_does_not_listen_refuses_them(
    network: Network,
) -> None:
    link, connect = link_to_echo_server(network)
    sock = connect()
    network.set_fault(link, "both", 1, LinkFault("reset"))
    with pytest.raises(ConnectionResetError):
        sock.recv(9)
    network.set_fault(link, "both", 1, None)
    network.set_listening(link, False)
    with pytest.raises(ConnectionRefusedError):
        connect()
    network.set_listening(link, True)
    connect()


def test_datagrams_pass_both_ways_and_one_direction_may_be_cut(network: Network) -> None:
    ends = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2)]
    for end in ends:
        end.bind(("127.0.0.1", 0))
        end.settimeout(WAIT_S)
    link = network.add(UdpLink("seed", (ends[0].getsockname, ends[1].getsockname)))
    first, second = ends
    first.sendto(b"hello", ("127.0.0.1", link.ports[0]))
    data, source = second.recvfrom(99)
    assert data == b"hello" and source == ("127.0.0.1", link.ports[1])
    second.sendto(b"answer", source)
    assert first.recvfrom(99) == (b"answer", ("127.0.0.1", link.ports[0]))
    network.set_fault(link, "there", 1, LinkFault("cut"))
    first.sendto(b"lost", ("127.0.0.1", link.ports[0]))
    second.sendto(b"heard", ("127.0.0.1", link.ports[1]))
    assert first.recv(99) == b"heard" and link.counts["lost"] == 1
    for end in ends:
        end.close()


def test_links_closed_with_open_connections_log_nothing(caplog: pytest.LogCaptureFixture) -> None:
    network = Network()
    _, connect = link_to_echo_server(network)
    sockets = [connect() for _ in range(3)]
    for sock in sockets:
        sock.sendall(b"x")
        assert sock.recv(1) == b"x"
    network.close()
    for sock in sockets:
        sock.close()
    assert not caplog.records


def test_closing_a_network_ends_its_thread() -> None:
    before = threading.active_count()
    Network().close()
    assert threading.active_count() <= before
