"""What all tries of a keyed request have in common.

Apart, since the plain line has no room for hashlib: with what that loads, a process takes 2.7 MB more.
"""

from __future__ import annotations

import hashlib

DIGEST_BYTES = 16


def digest(lane: str, body: bytes) -> bytes:
    """Of class and body, in 16 bytes; another body under its token differs."""
    return hashlib.blake2b(lane.encode() + b"\0" + body, digest_size=DIGEST_BYTES).digest()
