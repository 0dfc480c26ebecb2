"""The real membership protocol without processes: in virtual time, and explored exhaustively."""
