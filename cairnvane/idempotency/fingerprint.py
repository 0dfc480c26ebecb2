"""What all tries of a keyed request have in common."""

from __future__ import annotations

try:  # what hashlib hands on. With hashlib itself comes OpenSSL, and a process takes 2.7 MB more
    from _blake2 import blake2b
except ImportError:
    from hashlib import blake2b

FINGERPRINT_BYTES = 16


def fingerprint(lane: str, body: bytes) -> bytes:
    """Of class and body, in 16 bytes; another body under its token differs."""
    return blake2b(lane.encode() + b"\0" + body, digest_size=FINGERPRINT_BYTES).digest()
