"""The quota gate as a stage of an entry's decider."""

from __future__ import annotations

import random

import attrs
import pytest

from greengagemoor.control.messages import Received, Send
from greengagemoor.feed import messages as feed
from greengagemoor.forward import messages as m
from greengagemoor.forward.entry_decider import EntryDecider
from greengagemoor.log_analysis.explain import REASONS
from greengagemoor.quota.gate import ANSWER_TIMEOUT_S
from greengagemoor.quota.messages import QuotaAsk
from greengagemoor.routing.routes import RouteTable, ServiceRules
from tests.test_forward.helpers import answers, starts
from tests.test_quota.gate_helpers import ACCOUNT, FREE, ROUTE, reply_to


class EntryBench:
    """An entry's decider with one link to a control instance."""

    def __init__(self, searchers=1):
        me = feed.Subscribe("e1", "10.0.0.9:80", "dc1", ready=True)
        self.now = 100.0
        self.decider = EntryDecider(me, random.Random(1), None)
        self.apply(ACCOUNT, FREE)
        self.tokens = 0
        self.step(feed.LinkUp("c1"))
        for number in range(searchers):
            self.learn(f"s0.{number}")

    def apply(self, *accounts):
        rules = {"s0": ServiceRules("s0", 40)}
        table = RouteTable(1, (ROUTE,), rules, None, accounts)
        self.decider.set_routes(table)

    def learn(self, searcher_id):
        row = feed.SearcherRow(
            searcher_id,
            "s0",
            f"{searcher_id}:1",
            "dc1",
            feed.SearcherState.READY,
            1,
            5,
            0.0,
        )
        self.step(feed.SearcherUpdated(row))

    def step(self, *msgs, after=0.0):
        self.now += after
        return self.decider.step(self.now, msgs)

    def arrive(self, account=ACCOUNT):
        self.tokens += 1
        msg = m.Arrived(
            self.tokens, f"r{self.tokens}", ROUTE, None, account=account
        )
        return self.step(msg)

    def reply(self, out, granted=0, wait_s=0.0, after=0.001):
        """Answers the ask among messages."""
        (ask,) = asks(out)
        return self.step(reply_to(ask, granted, wait_s), after=after)


def asks(out):
    return [
        msg
        for msg in out
        if isinstance(msg, Send) and isinstance(msg.payload, QuotaAsk)
    ]


class TestLatency:
    """The gate delays a request by the ask only."""

    @pytest.mark.parametrize("account", [None, FREE])
    def test_unlimited_is_sent_in_the_tick_of_its_arrival(self, account):
        out = EntryBench().arrive(account)
        assert len(starts(out)) == 1
        assert not asks(out)

    def test_reply_sends_in_its_tick(self):
        bench = EntryBench()
        out = bench.arrive()
        assert not starts(out)
        (start,) = starts(bench.reply(out, granted=1))
        assert start.token == 1

    def test_deadline_counts_from_the_arrival(self):
        """Guards against an answer after the caller has given up."""
        bench = EntryBench()
        (start,) = starts(bench.reply(bench.arrive(), granted=1, after=0.01))
        (other,) = starts(bench.arrive(FREE))
        assert other.deadline - start.deadline == pytest.approx(0.01)

    def test_timeout_of_an_ask_wakes_the_entry(self):
        bench = EntryBench()
        bench.arrive()
        at = bench.decider.next_wake()
        assert at == pytest.approx(bench.now + ANSWER_TIMEOUT_S)

    def test_reply_does_not_step_the_view(self):
        """Guards against the view's work for each reply."""
        bench = EntryBench()
        out = bench.arrive()
        bench.decider.view.step = None
        assert starts(bench.reply(out, granted=1))


class TestRefusals:
    """Answers to callers of refused requests."""

    def test_over_quota(self):
        bench = EntryBench()
        (answer,) = answers(bench.reply(bench.arrive(), wait_s=0.3))
        assert answer.ending is m.Ending.NOT_RUN_QUOTA
        assert answer.sends == 0
        assert answer.retry_after_s > 0.3
        assert answer.elapsed_s == pytest.approx(0.001)
        assert answer.detail == "account:acme"
        assert ACCOUNT.keys[0] not in repr(answer).split("'")

    def test_unknown(self):
        bench = EntryBench()
        bench.arrive()
        (answer,) = answers(bench.step(feed.LinkDown("c1")))
        assert answer.ending is m.Ending.NOT_RUN_NO_QUOTA

    def test_log_analysis_explains_each_ending(self):
        endings = {e.value for e in m.Ending if e is not m.Ending.CALLER_GONE}
        assert endings <= set(REASONS)

    def test_time_held_is_logged(self):
        bench = EntryBench()
        (start,) = starts(bench.reply(bench.arrive(), granted=1))
        ended = m.AttemptEnded(
            start.attempt_id,
            m.Outcome.ANSWERED,
            m.SearcherAnswer(200, start.searcher_id, (), b""),
        )
        (answer,) = answers(bench.step(ended))
        (step,) = [s for s in answer.steps if s.kind is m.StepKind.QUOTA]
        assert step.after_s == pytest.approx(0.001)


class TestReturnedTokens:
    """A token counts only if its request was sent."""

    def test_not_sent(self):
        """Guards against quota spent on requests that no searcher got."""
        bench = EntryBench(searchers=0)
        (answer,) = answers(bench.reply(bench.arrive(), granted=1))
        assert answer.ending is m.Ending.NOT_RUN_NO_SEARCHER
        bench.learn("s0.0")
        out = bench.arrive()
        assert len(starts(out)) == 1
        assert not asks(out)

    def test_keeps_its_validity(self):
        """Guards against a token that is renewed by each refusal."""
        bench = EntryBench(searchers=0)
        bench.reply(bench.arrive(), granted=1)
        bench.now += 0.6
        assert not asks(bench.arrive())
        bench.now += 0.6
        assert asks(bench.arrive())

    def test_sent(self):
        bench = EntryBench()
        (start,) = starts(bench.reply(bench.arrive(), granted=1))
        ended = m.AttemptEnded(
            start.attempt_id,
            m.Outcome.ANSWERED,
            m.SearcherAnswer(200, start.searcher_id, (), b""),
        )
        assert answers(bench.step(ended))
        assert asks(bench.arrive())

    def test_sent_but_not_run(self):
        """A request that was sent counts, even if searchers refused it."""
        bench = EntryBench()
        out = bench.reply(bench.arrive(), granted=1)
        for _ in range(9):
            ended = [
                m.AttemptEnded(start.attempt_id, m.Outcome.NOT_RUN)
                for start in starts(out)
            ]
            out = bench.step(*ended, after=0.01)
            if answers(out):
                break
        assert answers(out)[0].ending in m.NOT_RUN
        assert asks(bench.arrive())

    def test_caller_gone(self):
        bench = EntryBench()
        bench.reply(bench.arrive(), granted=1)
        bench.step(m.CallerGone(1))
        assert asks(bench.arrive())


class TestDocument:
    """A new document reaches the gate."""

    def test_account_becomes_unlimited(self):
        bench = EntryBench()
        bench.arrive()
        bench.apply(attrs.evolve(ACCOUNT, rate_per_s=0.0, burst=0.0))
        assert bench.decider.next_wake() <= bench.now
        assert len(starts(bench.step())) == 1


class TestGauges:
    """Metrics of the gate."""

    def test_totals(self):
        bench = EntryBench()
        bench.reply(bench.arrive(), granted=1)
        out = bench.arrive()
        assert bench.decider.gauges()["quota_held"] == 1
        bench.reply(out, wait_s=1.0)
        gauges = bench.decider.gauges()
        assert gauges["quota_held"] == 0
        assert gauges["quota_asks_total"] == 2
        assert gauges["quota_admitted_total"] == 1
        assert gauges["quota_rejected_total"] == 1
        assert gauges["quota_unknown_total"] == 0
        assert gauges['quota_refusals_total{account="acme"}'] == 1

    def test_payloads_of_others_are_left_to_the_view(self):
        bench = EntryBench()
        bench.step(Received("c1", feed.KnownPeers(("10.0.0.1:7",), 3)))
        assert bench.decider.view.entries == 3
