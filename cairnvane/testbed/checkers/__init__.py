"""Checkers that compare what clients received with what the stand-ins recorded; they never ask the server."""
