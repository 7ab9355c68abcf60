"""Identifies equal requests across instances and request ids."""

from __future__ import annotations

import hashlib

FINGERPRINT_BYTES = 16
"""Long enough to rule out a second request with a given fingerprint."""


def fingerprint(*parts: bytes) -> bytes:
    """Returns a hash that is the same for the same parts in every process.

    The length of each part is hashed before it, so that moving bytes from one
    part to the next gives another fingerprint.

    Args:
        parts: what identifies the request: client account, method, host,
            target and body.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
