"""Compression of texts against other texts."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagemoor.util import difference

RNG = random.Random(1)
TEXT = " ".join(f"route-{RNG.getrandbits(40):x}" for _ in range(20000)).encode()


class TestRoundTrip:
    """Unpacking returns the packed text, whatever the two texts are."""

    @given(st.binary(max_size=600), st.binary(max_size=600))
    def test_any_bytes(self, old, new):
        assert difference.unpack(old, difference.pack(old, new)) == new

    @given(
        st.integers(0, len(TEXT)),
        st.integers(0, 40_000),
        st.binary(max_size=40_000),
    )
    def test_any_edit_of_a_long_text(self, at, cut, put):
        new = TEXT[:at] + put + TEXT[at + cut :]
        assert difference.unpack(TEXT, difference.pack(TEXT, new)) == new

    def test_small_edits_give_short_differences(self):
        new = TEXT[:7] + b"another" + TEXT[9:150_000] + TEXT[150_100:]
        whole = len(difference.pack(b"", new))
        assert len(difference.pack(TEXT, new)) < whole / 8


class TestDamage:
    """Unpacking fails rather than return another text."""

    PACKED = difference.pack(TEXT[:50_000], TEXT[10:50_010])

    def test_unpack_against_another_text(self):
        with pytest.raises(ValueError):
            difference.unpack(TEXT[:49_999], self.PACKED)

    @given(st.integers(0, len(PACKED) - 1), st.integers(1, 255))
    def test_a_changed_byte(self, at, change):
        damaged = bytearray(self.PACKED)
        damaged[at] ^= change
        with pytest.raises(ValueError):
            difference.unpack(TEXT[:50_000], bytes(damaged))

    @given(st.integers(0, len(PACKED) - 1))
    def test_cut_short(self, size):
        with pytest.raises(ValueError):
            difference.unpack(TEXT[:50_000], self.PACKED[:size])
