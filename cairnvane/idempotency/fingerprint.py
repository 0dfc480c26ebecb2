"""The request fingerprint: a hash of class and body that all attempts of a keyed request share."""

from __future__ import annotations

try:  # hashlib re-exports this function, but importing hashlib loads OpenSSL: another 2.7 MB of memory
    from _blake2 import blake2b
except ImportError:
    from hashlib import blake2b

FINGERPRINT_BYTES = 16


def fingerprint(class_name: str, body: bytes) -> bytes:
    """Return the 16-byte hash of a class and a body; another body under the same key has another hash."""
    return blake2b(class_name.encode() + b"\0" + body, digest_size=FINGERPRINT_BYTES).digest()
