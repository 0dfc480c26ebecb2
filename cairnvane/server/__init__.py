"""The server process around the admission controller: event loop, components, startup and shutdown."""
