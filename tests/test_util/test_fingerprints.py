"""Which request it is."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from greengagemoor.util.fingerprints import FINGERPRINT_BYTES, fingerprint

REQUEST = (b"account", b"GET", b"host", b"/path?q=1", b"body")


class TestFingerprint:
    """Equal for the same request only."""

    def test_same_request_anywhere(self):
        """It is compared between processes and over restarts."""
        shown = fingerprint(*REQUEST).hex()
        assert shown == "c4e01c2453682e0c05907f19bf2a5763"
        assert len(fingerprint(*REQUEST)) == FINGERPRINT_BYTES

    def test_each_part_counts(self):
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
