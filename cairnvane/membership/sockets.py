"""Opens the sockets of the members' channel."""

from __future__ import annotations

import errno
import socket
from typing import NamedTuple

from .actions import Address

BACKLOG = 16


class MemberSockets(NamedTuple):
    """The TCP and UDP sockets of a member, both on the same port."""

    listener: socket.socket  # TCP, for whole states
    udp: socket.socket  # for datagrams

    @property
    def address(self) -> Address:
        """The address of both sockets."""
        host, port = self.listener.getsockname()
        return host, port

    def close(self) -> None:
        """Close both sockets."""
        self.listener.close()
        self.udp.close()


def open_sockets(address: Address, spare_ports: int) -> MemberSockets:
    """Bind the first of this port and the spare ports above it that is free; `OSError` if none is."""
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
