"""Admission control and scheduling: pure decision logic without I/O, clock access or threads."""
