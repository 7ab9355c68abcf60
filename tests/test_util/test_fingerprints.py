"""Fingerprints of requests."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from greengagemoor.util.fingerprints import FINGERPRINT_BYTES, fingerprint

REQUEST = (b"account", b"GET", b"host", b"/path?q=1", b"body")


class TestFingerprint:
    """Fingerprints are equal for equal requests only."""

    def test_value_is_stable(self):
        """Fingerprints are compared across processes and restarts."""
        digest = fingerprint(*REQUEST).hex()
        assert digest == "c4e01c2453682e0c05907f19bf2a5763"
        assert len(fingerprint(*REQUEST)) == FINGERPRINT_BYTES

    def test_each_part_matters(self):
        others = {
            fingerprint(*REQUEST[:i], part + b"x", *REQUEST[i + 1 :])
            for i, part in enumerate(REQUEST)
        }
        assert len(others) == len(REQUEST)
        assert fingerprint(*REQUEST) not in others

    @given(st.lists(st.binary(), max_size=4), st.lists(st.binary(), max_size=4))
    def test_bytes_do_not_move_between_parts(self, one, other):
        same = fingerprint(*one) == fingerprint(*other)
        assert same == (one == other)
