"""The quota gate of an entry: asks, grants and denials."""

from __future__ import annotations

import attrs
import pytest

from greengagemoor.feed.messages import LinkDown
from greengagemoor.forward.messages import (
    AnswerWritten,
    CallerGone,
    Ending,
    Respond,
)
from greengagemoor.quota.gate import ANSWER_TIMEOUT_S
from greengagemoor.routing.accounts import ClientAccount
from tests.test_forward.helpers import single
from tests.test_quota.gate_helpers import (
    ACCOUNT,
    FREE,
    GateBench,
    admitted,
    asks,
    rejected,
    reply_to,
    table_of,
)


class TestAdmission:
    """Requests pass with a token only."""

    @pytest.mark.parametrize("account", [None, FREE])
    def test_without_a_limit_nothing_is_asked(self, account):
        """Guards against a delay where no account has a quota."""
        bench = GateBench()
        out = bench.arrive(account=account)
        assert [msg.token for msg in out] == [1]
        assert bench.gate.is_idle
        assert bench.gate.next_wake() is None

    def test_other_messages_pass_in_order(self):
        """Guards against a caller's end that overtakes its request."""
        bench = GateBench()
        first = bench.request(FREE)
        msgs = [AnswerWritten(0.1), first, CallerGone(first.token)]
        assert bench.step(*msgs) == msgs

    def test_reply_releases_in_the_same_tick(self):
        bench = GateBench()
        (ask,) = asks(bench.arrive())
        assert (ask.payload.account, ask.payload.number) == ("acme", 1)
        (msg,) = bench.reply(ask, granted=1, after=0.002)
        assert msg.token == 1
        assert msg.held_s == pytest.approx(0.002)

    def test_time_before_the_gate_counts(self):
        bench = GateBench()
        (ask,) = asks(bench.step(bench.request(held_s=0.01)))
        (msg,) = bench.reply(ask, granted=1, after=0.002)
        assert msg.held_s == pytest.approx(0.012)

    def test_a_token_in_hand_admits_at_once(self):
        """Guards against a wait, and a false time held, with a token."""
        bench = GateBench()
        (ask,) = asks(bench.arrive())
        bench.step(CallerGone(1))
        assert bench.reply(ask, granted=1, after=0.001) == []
        out = bench.arrive()
        assert [msg.held_s for msg in admitted(out)] == [0.0]
        assert not asks(out)

    def test_arrivals_during_an_ask_are_asked_for_after_it(self):
        bench = GateBench()
        (first,) = asks(bench.arrive())
        assert not asks(bench.arrive(3))
        out = bench.reply(first, granted=1)
        assert [msg.token for msg in admitted(out)] == [1]
        (second,) = asks(out)
        assert second.payload.number == 3
        out = bench.reply(second, granted=3)
        assert [msg.token for msg in admitted(out)] == [2, 3, 4]

    def test_busy_account_asks_ahead(self):
        """Guards against a round trip for each request of a busy account."""
        account = attrs.evolve(ACCOUNT, rate_per_s=100.0, burst=100.0)
        bench = GateBench()
        number = 0
        for _ in range(300):
            for ask in asks(bench.arrive(account=account, after=0.01)):
                number += 1
                assert ask.payload.number <= 21
                bench.reply(ask, granted=ask.payload.number, after=0.001)
        assert bench.gate.gauges()["quota_admitted_total"] == 300
        assert number < 40

    def test_surplus_is_bounded_by_the_rate(self):
        """Guards against hoarding after a single burst of a slow account."""
        account = attrs.evolve(ACCOUNT, rate_per_s=1.0, burst=200.0)
        bench = GateBench()
        out, passed = bench.arrive(200, account=account), 0
        while asks(out):
            (ask,) = asks(out)
            out = bench.reply(ask, granted=ask.payload.number)
            passed += len(admitted(out))
        assert passed == 200
        (ask,) = asks(bench.arrive(account=account))
        assert ask.payload.number == 1

    def test_calm_account_asks_for_no_more_than_it_needs(self):
        bench = GateBench()
        for _ in range(20):
            (ask,) = asks(bench.arrive(after=0.5))
            assert ask.payload.number == 1
            bench.reply(ask, granted=1)


class TestTokens:
    """Tokens are used once, and only while they are valid."""

    def test_expiry_counts_from_the_ask(self):
        """Guards against use of a token long after it was dealt.

        A reply may lie unread while the process is frozen.
        """
        bench = GateBench()
        (ask,) = asks(bench.arrive())
        bench.step(CallerGone(1))
        bench.reply(ask, granted=1, after=0.4)
        assert asks(bench.arrive(after=0.61))

    def test_granted_too_late_is_not_used(self):
        bench = GateBench(("c1",))
        (ask,) = asks(bench.arrive())
        out = bench.reply(ask, granted=1, after=1.5)
        assert not admitted(out)

    def test_duplicate_reply_grants_nothing(self):
        bench = GateBench()
        (ask,) = asks(bench.arrive())
        bench.reply(ask, granted=1)
        assert bench.reply(ask, granted=1) == []
        assert asks(bench.arrive())

    def test_reply_of_another_instance_grants_nothing(self):
        bench = GateBench()
        (ask,) = asks(bench.arrive())
        other = attrs.evolve(ask, to="elsewhere")
        assert bench.reply(other, granted=1) == []
        assert admitted(bench.reply(ask, granted=1))

    def test_no_more_than_asked_for_is_used(self):
        bench = GateBench()
        (ask,) = asks(bench.arrive())
        assert len(admitted(bench.reply(ask, granted=5))) == 1
        assert asks(bench.arrive())

    def test_negative_grant_is_none(self):
        bench = GateBench()
        (ask,) = asks(bench.arrive())
        assert len(rejected(bench.reply(ask, granted=-1))) == 1


class TestDenial:
    """An account over its quota is refused without further asks."""

    def test_held_requests_are_refused_at_once(self):
        bench = GateBench()
        (ask,) = asks(bench.arrive(2))
        out = bench.reply(ask, wait_s=0.3, after=0.001)
        assert [r.msg.token for r in rejected(out)] == [1, 2]
        assert all(r.over_quota for r in rejected(out))
        assert bench.gate.gauges()["quota_held"] == 0

    def test_impatient_callers_cause_no_ask(self):
        """Guards against load on the dealer by callers that ignore delays."""
        bench = GateBench()
        (ask,) = asks(bench.arrive())
        bench.reply(ask, wait_s=0.3)
        for _ in range(29):
            out = bench.arrive(20, after=0.01)
            assert len(rejected(out)) == len(out) == 20
        assert asks(bench.arrive(after=0.011))

    def test_burst_of_500(self):
        """Guards against 500 asks, and against later arrivals going first."""
        bench = GateBench()
        out, tokens, left, number = bench.arrive(500), [], 20, 0
        while asks(out):
            (ask,) = asks(out)
            number += 1
            granted = min(left, ask.payload.number)
            left -= granted
            out = bench.reply(ask, granted=granted, after=0.001)
            tokens += [msg.token for msg in admitted(out)]
        assert number == 2
        assert tokens == list(range(1, 21))
        assert len(rejected(out)) == 480
        assert not asks(out)
        assert len(rejected(bench.arrive())) == 1

    def test_delays_are_slots_after_the_wait(self):
        """Guards against callers that return together or too early."""
        bench = GateBench()
        (ask,) = asks(bench.arrive(8))
        out = rejected(bench.reply(ask, wait_s=0.3))
        delays = [r.retry_after_s for r in out]
        assert delays[0] >= 0.3
        gaps = [b - a for a, b in zip(delays, delays[1:], strict=False)]
        assert all(0.099 <= gap <= 0.301 for gap in gaps if gap > 0)
        assert max(delays) <= 2.0

    def test_delays_beyond_the_longest_are_spread(self):
        bench = GateBench()
        (ask,) = asks(bench.arrive(400))
        out = rejected(bench.reply(ask, wait_s=0.3))
        delays = sorted(r.retry_after_s for r in out)
        assert delays[0] >= 0.3
        assert delays[-1] <= 2.0
        for low in (1.0, 1.25, 1.5, 1.75):
            assert 50 < sum(low <= d <= low + 0.25 for d in delays) < 150

    def test_account_without_a_rate(self):
        """Guards against a division by a rate of 0."""
        account = ClientAccount("once", burst=5.0)
        bench = GateBench()
        (ask,) = asks(bench.arrive(account=account))
        (no,) = rejected(bench.reply(ask, wait_s=float("inf")))
        assert no.retry_after_s <= 2.0
        assert rejected(bench.arrive(account=account, after=1.9))
        assert asks(bench.arrive(account=account, after=0.11))

    def test_another_account_is_unaffected(self):
        bench = GateBench()
        (ask,) = asks(bench.arrive())
        bench.reply(ask, wait_s=0.3)
        other = ClientAccount("other", rate_per_s=1.0)
        assert asks(bench.arrive(account=other))


class TestSilentDealers:
    """Failures of control instances and of the links to them."""

    def test_no_instance_at_all(self):
        (no,) = GateBench(()).arrive()
        assert not no.over_quota
        assert 0.2 <= no.retry_after_s <= 0.4

    def test_next_instance_is_asked_after_the_timeout(self):
        bench = GateBench()
        (first,) = asks(bench.arrive())
        assert not asks(bench.step(after=ANSWER_TIMEOUT_S - 0.001))
        (second,) = asks(bench.wake())
        assert second.to != first.to
        assert len(admitted(bench.reply(second, granted=1))) == 1

    def test_silent_instance_is_avoided_for_a_second(self):
        """Guards against a timeout for each request while a dealer is dead."""
        bench = GateBench()
        (first,) = asks(bench.arrive())
        (second,) = asks(bench.wake())
        bench.reply(second, granted=1)
        (third,) = asks(bench.arrive(after=0.9))
        assert third.to == second.to
        bench.reply(third, granted=1)
        (fourth,) = asks(bench.arrive(after=0.11))
        assert fourth.to == first.to

    def test_late_grant_is_kept(self):
        """Guards against tokens that are dealt and never used."""
        bench = GateBench()
        (first,) = asks(bench.arrive())
        (second,) = asks(bench.wake())
        assert len(admitted(bench.reply(first, granted=1))) == 1
        assert bench.reply(second, granted=1) == []
        out = bench.arrive()
        assert len(admitted(out)) == 1
        assert not asks(out)

    def test_late_denial_does_not_count(self):
        bench = GateBench()
        (first,) = asks(bench.arrive())
        (second,) = asks(bench.wake())
        assert bench.reply(first, wait_s=1.0) == []
        assert len(admitted(bench.reply(second, granted=1))) == 1

    def test_three_silent_instances(self):
        bench = GateBench()
        request = bench.request(route=single(objective_s=1.0))
        asked = asks(bench.step(request))
        asked += asks(bench.wake())
        asked += asks(bench.wake())
        assert len({send.to for send in asked}) == 3
        (no,) = bench.wake()
        assert not no.over_quota
        assert no.held_s == pytest.approx(3 * ANSWER_TIMEOUT_S)

    def test_next_request_is_asked_for_again(self):
        """Guards against a refusal that outlasts the silence."""
        bench = GateBench()
        bench.step(bench.request(route=single(objective_s=1.0)))
        for _ in range(3):
            bench.wake()
        out = bench.step(bench.request(route=single(objective_s=1.0)))
        (ask,) = asks(out)
        assert len(admitted(bench.reply(ask, granted=1))) == 1

    def test_a_quarter_of_the_objective(self):
        bench = GateBench()
        bench.step(bench.request(route=single(objective_s=0.08)))
        bench.wake()
        (no,) = rejected(bench.wake())
        assert no.held_s == pytest.approx(0.02)
        assert bench.gate.gauges()["quota_held"] == 0

    def test_time_before_the_gate_counts(self):
        bench = GateBench()
        bench.step(bench.request(route=single(objective_s=0.08), held_s=0.012))
        (no,) = rejected(bench.wake())
        assert no.held_s == pytest.approx(0.02)

    def test_caller_that_waits_less(self):
        bench = GateBench()
        bench.step(bench.request(remaining_wait_s=0.005))
        (no,) = rejected(bench.wake())
        assert no.held_s == pytest.approx(0.005)

    def test_link_down_during_an_ask(self):
        """Guards against a wait for an instance that can't answer."""
        bench = GateBench()
        (first,) = asks(bench.arrive())
        (second,) = asks(bench.step(LinkDown(first.to), after=0.001))
        assert second.to != first.to
        assert len(admitted(bench.reply(second, granted=1))) == 1

    def test_last_link_down(self):
        bench = GateBench(("c1",))
        bench.arrive()
        (no,) = bench.step(LinkDown("c1"))
        assert not no.over_quota

    def test_instance_that_does_not_deal(self):
        """Guards against a refusal while another instance deals."""
        bench = GateBench()
        (ask,) = asks(bench.arrive())
        seen = {ask.to}
        for _ in range(3):
            (ask,) = asks(bench.reply(ask, dealing=False))
            seen.add(ask.to)
        assert len(seen) == 4
        assert len(admitted(bench.reply(ask, granted=1))) == 1
        (again,) = asks(bench.arrive())
        assert again.to == ask.to

    def test_no_instance_deals(self):
        bench = GateBench(("c1", "c2"))
        (ask,) = asks(bench.arrive())
        (ask,) = asks(bench.reply(ask, dealing=False))
        (no,) = bench.reply(ask, dealing=False)
        assert not no.over_quota
        assert asks(bench.arrive())


class TestCallers:
    """Callers that leave while their request is held."""

    def test_nothing_passes(self):
        bench = GateBench()
        bench.arrive(2)
        assert bench.step(CallerGone(1)) == []

    def test_the_token_is_for_the_next_request(self):
        bench = GateBench()
        (ask,) = asks(bench.arrive(2))
        bench.step(CallerGone(1))
        out = bench.reply(ask, granted=2)
        assert [msg.token for msg in admitted(out)] == [2]
        assert len(admitted(bench.arrive())) == 1

    def test_nobody_is_left_when_the_dealer_is_silent(self):
        """Guards against asks on behalf of nobody."""
        bench = GateBench()
        bench.arrive()
        bench.step(CallerGone(1))
        assert bench.wake() == []
        assert bench.step(after=0.1) == []
        assert asks(bench.arrive())

    def test_denial_without_callers_counts(self):
        """Guards against an ask per caller that leaves early."""
        bench = GateBench()
        (ask,) = asks(bench.arrive())
        bench.step(CallerGone(1))
        assert bench.reply(ask, wait_s=0.3) == []
        assert rejected(bench.arrive())

    def test_gone_after_admission(self):
        bench = GateBench()
        (ask,) = asks(bench.arrive())
        bench.reply(ask, granted=1)
        assert bench.step(CallerGone(1)) == [CallerGone(1)]
        assert not bench.gate._requests._admitted


class TestReturnedTokens:
    """Tokens of requests that were not sent."""

    def test_the_oldest_held_request_gets_it(self):
        """Guards against a later arrival that goes first."""
        bench = GateBench()
        (ask,) = asks(bench.arrive())
        (msg,) = bench.reply(ask, granted=1)
        bench.arrive()
        ending = Ending.NOT_RUN_BUSY
        bench.gate.settle(Respond(1, "r1", msg.route, ending, 0.0, 0))
        assert bench.gate.next_wake() <= bench.now
        assert [msg.token for msg in bench.arrive()] == [2]


class TestDocuments:
    """Limits that change while requests are held or refused."""

    @pytest.mark.parametrize(
        "table",
        [
            table_of(),
            table_of(attrs.evolve(ACCOUNT, rate_per_s=0.0, burst=0.0)),
        ],
    )
    def test_no_longer_limited(self, table):
        bench = GateBench()
        (ask,) = asks(bench.arrive(2))
        bench.gate.set_accounts(table)
        assert bench.gate.next_wake() <= bench.now
        out = bench.step(after=0.001)
        assert [msg.token for msg in out] == [1, 2]
        assert bench.reply(ask, granted=2) == []

    def test_raised_limits_end_a_denial(self):
        bench = GateBench()
        (ask,) = asks(bench.arrive())
        bench.reply(ask, wait_s=2.0)
        bench.gate.set_accounts(table_of(attrs.evolve(ACCOUNT, burst=50.0)))
        assert asks(bench.arrive())

    def test_lowered_limits_end_the_validity_of_tokens(self):
        """Guards against tokens of the old quota under the new one."""
        lower = attrs.evolve(ACCOUNT, rate_per_s=1.0)
        for apply in (True, False):
            bench = GateBench()
            (ask,) = asks(bench.arrive())
            bench.step(CallerGone(1))
            bench.reply(ask, granted=1)
            if apply:
                bench.gate.set_accounts(table_of(lower))
            assert asks(bench.arrive(account=lower))

    def test_same_limits_in_a_new_document(self):
        bench = GateBench()
        (ask,) = asks(bench.arrive())
        bench.reply(ask, wait_s=0.3)
        same = attrs.evolve(ACCOUNT, keys=("new",))
        bench.gate.set_accounts(table_of(same))
        assert rejected(bench.arrive(account=same))

    def test_removed_account(self):
        """A request that is held when its key is revoked completes."""
        bench = GateBench()
        (ask,) = asks(bench.arrive())
        bench.gate.set_accounts(table_of(FREE))
        assert len(admitted(bench.reply(ask, granted=1))) == 1


class TestMemory:
    """State is kept for accounts in use only."""

    def test_many_accounts_over_time(self):
        """Guards against memory that grows with the accounts ever seen."""
        bench = GateBench()
        most = 0
        for number in range(20_000):
            account = ClientAccount(f"a{number}", rate_per_s=1.0, burst=2.0)
            (ask,) = asks(bench.arrive(account=account, after=0.001))
            bench.step(reply_to(ask, number % 2, 0.5))
            most = max(most, bench.gate.gauges()["quota_accounts"])
        assert most < 6_000
        bench.step(after=5.0)
        gate = bench.gate
        assert gate.is_idle
        assert not gate._asks
        assert not gate._requests._admitted
        gate.next_wake()
        assert not gate._timers
        assert len(gate.gauges()) < 40
        assert gate.next_wake() is None

    def test_refusals_of_the_largest_are_counted_apart(self):
        bench = GateBench()
        for number in range(50):
            account = ClientAccount(f"a{number}", rate_per_s=1.0)
            (ask,) = asks(bench.arrive(number + 1, account=account))
            bench.reply(ask, wait_s=1.0)
        rows = {
            name: value
            for name, value in bench.gate.gauges().items()
            if name.startswith("quota_refusals")
        }
        assert len(rows) == 25
        assert sum(rows.values()) == 50 * 51 / 2
        assert rows['quota_refusals_total{account="a49"}'] == 50
        assert 'quota_refusals_total{account="a3"}' not in rows
