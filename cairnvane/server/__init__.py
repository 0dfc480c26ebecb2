"""The process around the decision module: its event loop, its components, and how it starts and ends."""
