"""Sockets and wire formats: the front (server side), and the links to what the server depends on."""
