"""One member's part of a quota."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagemoor.quota.bucket import Margin, TokenBucket
from tests.test_quota.dealers import limited

MARGIN = Margin()


class TestBucket:
    """Levels follow from the elapsed time and never exceed the capacity."""

    PART = MARGIN.part(limited("a", 9.0, 90.0), 9)

    def test_accrues_up_to_the_capacity(self):
        bucket = TokenBucket(0.0, 10.0)
        bucket.update(12.0, self.PART)
        assert bucket.level == pytest.approx(2.0)
        bucket.update(1000.0, self.PART)
        assert bucket.level == self.PART.capacity

    def test_surplus_neither_grows_nor_shrinks(self):
        """Guards against losing collected tokens while asks wait."""
        bucket = TokenBucket(self.PART.capacity + 1, 10.0)
        bucket.update(20.0, self.PART)
        assert bucket.level == self.PART.capacity + 1

    def test_earlier_time_gains_nothing(self):
        """Guards against counting an interval twice."""
        bucket = TokenBucket(0.0, 10.0)
        bucket.update(5.0, self.PART)
        bucket.update(10.0, self.PART)
        assert bucket.level == 0.0

    def test_nine_ninths_are_a_token(self):
        """Guards against rounding errors that refuse an idle account."""
        bucket = TokenBucket(sum([1 / 9] * 9), 0.0)
        assert bucket.try_take(1)

    def test_takes_whole_tokens(self):
        bucket = TokenBucket(2.9, 0.0)
        assert not bucket.try_take(3)
        assert bucket.take_up_to(5) == 2
        assert bucket.take_up_to(5) == 0

    def test_gives_only_what_it_has(self):
        bucket = TokenBucket(0.4, 0.0)
        assert bucket.give(1.0) == 0.4
        assert bucket.give(None) == 0.0
        assert TokenBucket(-1e-7, 0.0).give(None) == 0.0
        assert TokenBucket(1.0, 0.0).give(-1.0) == 0.0


class TestMargin:
    """The parts of the margin together do not exceed it."""

    @given(
        st.floats(0.01, 5000),
        st.floats(0, 5000),
        st.integers(1, 9),
        st.floats(0.5, 60),
        st.floats(0.05, 1),
        st.floats(0, 200),
    )
    def test_parts_stay_within_the_bound(
        self, rate, burst, members, window_s, overage, slack
    ):
        """Guards against a change of one part that ignores the others.

        Counted are the rate over the window and the validity before it, what
        all members hold at most, and two starts of all members. A burst below
        1 counts as 1, which the slack must cover.
        """
        margin = Margin(window_s, overage, slack)
        account = limited("a", rate, burst)
        part = margin.part(account, members)
        dealt = rate * window_s + members * (part.limit + 2 * part.start)
        used_late = rate * margin.valid_s
        quota = rate * window_s + max(1.0, burst)
        bound = quota * (1 + overage) + slack
        # Validity has a minimum of 50 ms for settings without an overage.
        if margin.valid_s > 0.05:
            dealt += used_late
        assert dealt <= bound + 1e-6

    def test_small_account_outlives_a_data_centre(self):
        """Guards against a burst of 1 that is never whole with members lost."""
        part = MARGIN.part(limited("a", 0.3, 1), 9)
        assert 6 * part.capacity >= 1 - 1e-9

    def test_rate_without_burst_is_usable(self):
        """Guards against an account that can never have a whole token."""
        part = MARGIN.part(limited("a", 1.0, 0.0), 1)
        assert part.capacity >= 1
