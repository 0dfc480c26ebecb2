"""Checkers that compare responses to clients with the stand-ins' records; they never query the server."""
