"""The budget for retries and hedges."""

from __future__ import annotations

import pytest

from greengagemoor.forward.budget import SendBudget


def make_budget(ratio=0.2, slack=2.0, **more):
    """Returns a budget that has counted for a whole window."""
    return SendBudget(ratio, slack, 10.0, started_at=-10.0, **more)


class TestAllowance:
    """Retries and hedges allowed in one window."""

    def test_share_of_requests_and_slack(self):
        budget = make_budget()
        for _ in range(10):
            budget.note_request(0.0)
        assert [budget.take(0.0) for _ in range(5)] == [True] * 4 + [False]

    def test_allowance_holds_for_each_window(self):
        """A window keeps to the allowance whenever it begins.

        Guards against a budget that is saved up while nothing is late, and
        then spent together with the refill of the same window.
        """
        budget = make_budget(ratio=0.0, slack=3.0)
        sent = [i / 7 for i in range(700) if budget.take(i / 7)]
        assert len(sent) >= 27
        for begin in sent:
            assert sum(begin <= at < begin + 10.0 for at in sent) <= 3

    def test_sends_expire_after_the_window(self):
        budget = make_budget(slack=1.0)
        assert budget.take(0.0)
        assert not budget.take(9.9)
        assert budget.take(11.1)


class TestManyEntries:
    """78 entries share a slack of 196, each seeing a request a second."""

    @pytest.mark.parametrize("entries", [9, 78])
    def test_sum_stays_within_the_allowance_and_uses_it(self, entries):
        """Guards against rounding down at each entry alone.

        A third of the allowance was then unused while shards were late.
        """
        slack, requests = 196.0, 640
        used = 0
        for i in range(entries):
            budget = make_budget(
                slack=slack / entries, rounding=(i + 0.5) / entries
            )
            for k in range(requests // entries):
                budget.note_request(10.0 * k * entries / requests)
            used += sum(budget.take(9.99) for _ in range(requests))
        allowance = 0.2 * requests + slack
        assert 0.95 * allowance <= used <= allowance


class TestStart:
    """A process that has just started."""

    def test_slack_grows_over_the_first_window(self):
        """Entries that are killed together spend their slack once.

        Guards against twice the allowance in one window: entries spend their
        slack, are killed, and restart with the whole slack.
        """
        budget = SendBudget(0.2, 10.0, 10.0, started_at=100.0)
        at_once = sum(budget.take(100.0) for _ in range(20))
        assert at_once == 3
        later = sum(budget.take(105.0) for _ in range(20))
        assert at_once + later == 8
