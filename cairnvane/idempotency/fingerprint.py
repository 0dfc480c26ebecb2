"""The request fingerprint: what all attempts of a keyed request have in common."""

from __future__ import annotations

try:  # what hashlib re-exports. Importing hashlib loads OpenSSL, which takes another 2.7 MB of memory
    from _blake2 import blake2b
except ImportError:
    from hashlib import blake2b

FINGERPRINT_BYTES = 16


def fingerprint(class_name: str, body: bytes) -> bytes:
    """The 16 bytes for a class and a body; another body under the same key has other ones."""
    return blake2b(class_name.encode() + b"\0" + body, digest_size=FINGERPRINT_BYTES).digest()
