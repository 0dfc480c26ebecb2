"""Opens the sockets of the members' channel."""

from __future__ import annotations

import errno
import socket
from typing import NamedTuple

from .actions import Address

BACKLOG = 16


class MemberSockets(NamedTuple):
    """One port for both kinds of traffic."""

    listener: socket.socket  # TCP: whole states
    udp: socket.socket  # datagrams

    @property
    def address(self) -> Address:
        """Where both are reached."""
        host, port = self.listener.getsockname()
        return host, port

    def close(self) -> None:
        """Close both."""
        self.listener.close()
        self.udp.close()


def open_sockets(address: Address, spare_ports: int) -> MemberSockets:
    """Bind the first port that is free for both; `OSError` if none of the spare ports above it is either."""
    host, first_port = address
    last_port = first_port + spare_ports
    for port in range(first_port, last_port):
        try:
            return _open_at(host, port)
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
    return _open_at(host, last_port)


def _open_at(host: str, port: int) -> MemberSockets:
    listener = socket.create_server((host, port), backlog=BACKLOG)
    udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        udp.bind(listener.getsockname())
    except OSError:
        listener.close()
        udp.close()
        raise
    return MemberSockets(listener, udp)
