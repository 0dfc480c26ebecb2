"""Admission control: the decision module and its parts. Performs no I/O, reads no clock, starts no thread."""
