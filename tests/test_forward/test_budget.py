"""The budget for second sends."""

from __future__ import annotations

import pytest

from greengagemoor.forward.budget import SendBudget


def budget(ratio=0.2, slack=2.0, **more):
    """Returns a budget that has counted for a whole window."""
    return SendBudget(ratio, slack, 10.0, started_at=-10.0, **more)


class TestAllowance:
    """What may be sent in one window."""

    def test_share_of_requests_and_slack(self):
        one = budget()
        for _ in range(10):
            one.note_request(0.0)
        assert [one.take(0.0) for _ in range(5)] == [True] * 4 + [False]

    def test_holds_for_every_window(self):
        """A window that begins anywhere keeps to the allowance.

        Symptom: the sum over a window passed the allowance. Sequence: a
        budget was saved up while nothing was late, then spent beside the
        refill of the same window.
        """
        one = budget(ratio=0.0, slack=3.0)
        sent = [i / 7 for i in range(700) if one.take(i / 7)]
        assert len(sent) >= 27
        for begin in sent:
            assert sum(begin <= at < begin + 10.0 for at in sent) <= 3

    def test_grows_again_once_the_window_is_over(self):
        one = budget(slack=1.0)
        assert one.take(0.0)
        assert not one.take(9.9)
        assert one.take(11.1)


class TestManyEntries:
    """78 entries share a slack of 196, each seeing a request a second."""

    @pytest.mark.parametrize("entries", [9, 78])
    def test_sum_keeps_to_the_whole_and_uses_it(self, entries):
        """Symptom: a third of the allowance lay idle while shards were late.

        Cause: each entry alone cut its part to whole sends.
        """
        slack, requests = 196.0, 640
        used = 0
        for i in range(entries):
            one = budget(slack=slack / entries, rounding=(i + 0.5) / entries)
            for k in range(requests // entries):
                one.note_request(10.0 * k * entries / requests)
            used += sum(one.take(9.99) for _ in range(requests))
        whole = 0.2 * requests + slack
        assert 0.95 * whole <= used <= whole


class TestStart:
    """A process that begins to count."""

    def test_slack_grows_over_the_first_window(self):
        """Entries that are killed together spend their slack once.

        Symptom: twice the allowance in one window. Sequence: the slack is
        spent, the processes are killed, and start again with a full one.
        """
        one = SendBudget(0.2, 10.0, 10.0, started_at=100.0)
        at_once = sum(one.take(100.0) for _ in range(20))
        assert at_once == 3
        later = sum(one.take(105.0) for _ in range(20))
        assert at_once + later == 8
