"""Grants, denials and collections of dealers."""

from __future__ import annotations

import pytest

from greengagemoor.control.messages import Received, Send
from greengagemoor.feed.messages import LinkDown, LinkUp
from greengagemoor.quota.bucket import Margin
from greengagemoor.quota.dealer import DealingChanged, QuotaDealer
from greengagemoor.quota.messages import (
    QuotaAsk,
    QuotaReply,
    TokenGrant,
    TokenRequest,
    TokenRow,
)
from tests.test_quota.dealers import Cluster, limited

NAMES = [f"c{i}" for i in range(9)]
SMALL = limited("small", 0.3, 1)
BIG = limited("big", 20, 40)
SETTLED_S = 300.0


def cluster(*accounts, idle_s=SETTLED_S, **kwargs) -> Cluster:
    """Returns nine dealers that have been running for a time."""
    found = Cluster(NAMES, accounts, **kwargs)
    found.run(idle_s)
    found.sent.clear()
    return found


def ask_one(found, account, number=1, dealer="c0", entry="e0"):
    """Asks once; returns the reply and the time until it arrived."""
    ask_id = found.ask(entry, dealer, account, number)
    found.run(0.05)
    ((asked, arrived, _, reply),) = found.replies_to(ask_id)
    return reply, arrived - asked


def lone_dealer(*accounts, names=("c0",)) -> QuotaDealer:
    """Returns a dealer at time 0 that has restarted as a member."""
    dealer = QuotaDealer()
    dealer.set_members(0.0, names, "c0")
    dealer.set_accounts(0.0, accounts)
    return dealer


def reply_of(out) -> QuotaReply:
    (reply,) = [
        m.payload
        for m in out
        if isinstance(m, Send) and isinstance(m.payload, QuotaReply)
    ]
    return reply


def asked(dealer, now, account="big", number=1) -> QuotaReply:
    msg = Received("e0", QuotaAsk(1, account, number))
    return reply_of(dealer.step(now, [msg]))


class TestGrants:
    """An ask is answered from this part, in the same tick if it suffices."""

    def test_answer_in_the_same_tick(self):
        dealer = lone_dealer(BIG)
        assert asked(dealer, 10.0, number=5) == QuotaReply(
            1, "big", 5, 0.35, 0.0, True
        )
        assert dealer.gauges()["quota_tokens_granted_total"] == 5

    def test_no_collection_while_the_part_suffices(self):
        found = cluster(BIG)
        reply, after = ask_one(found, "big", 4)
        assert reply.granted == 4
        assert after <= 0.001
        assert found.sent["TokenRequest"] == 0

    def test_account_that_became_unlimited(self):
        """Guards against refusals at entries with the earlier document."""
        dealer = lone_dealer(limited("big", 0, 0))
        assert asked(dealer, 1.0, number=1000).granted == 1000

    @pytest.mark.parametrize("number", [0, -5])
    def test_odd_number_counts_as_one(self, number):
        """Guards against adding tokens with a negative number."""
        dealer = lone_dealer(BIG)
        before = asked(dealer, 100.0, number=1).granted
        assert (before, asked(dealer, 100.0, number=number).granted) == (1, 1)

    def test_unknown_account_is_referred(self):
        """Another instance may already have the entry's newer document."""
        reply = asked(lone_dealer(BIG), 1.0, "new")
        assert (reply.granted, reply.dealing) == (0, False)

    def test_without_accounts_nothing_is_dealt(self):
        dealer = lone_dealer()
        assert dealer.step(1.0, [LinkUp("c1"), LinkDown("c1")]) == []
        assert dealer.next_wake() is None
        assert asked(dealer, 2.0).dealing is False


class TestDenials:
    """A denial tells when the account has a token again."""

    def test_wait_is_true(self):
        dealer = lone_dealer(limited("one", 0.5, 1))
        assert asked(dealer, 100.0, "one").granted == 1
        denied = asked(dealer, 100.0, "one")
        assert denied.granted == 0
        assert denied.wait_s <= 2.0
        again = asked(dealer, 100.0 + denied.wait_s, "one")
        assert again.granted == 1
        assert dealer.gauges()["quota_asks_denied_total"] == 1

    def test_wait_is_true_over_nine_members(self):
        found = cluster(SMALL)
        granted = []
        for _ in range(4):
            reply, _ = ask_one(found, "small")
            granted.append(reply.granted)
            found.run(reply.wait_s)
        assert granted == [1, 0, 1, 0]

    def test_partial_grant(self):
        dealer = lone_dealer(limited("one", 0.5, 3))
        assert asked(dealer, 100.0, "one", 100).granted >= 3

    def test_without_a_rate_the_burst_is_all(self):
        """Guards against a division by zero, and a wait without an end."""
        found = cluster(limited("burst", 0, 2), idle_s=1.0)
        total = 0
        for _ in range(6):
            reply, _ = ask_one(found, "burst")
            total += reply.granted
        assert 2 <= total <= 3
        assert 0 < reply.wait_s <= 60

    def test_denials_cost_no_collection(self):
        """Guards against messages for each ask of an account without tokens."""
        found = cluster(SMALL)
        ask_one(found, "small")
        ask_one(found, "small")
        found.sent.clear()
        for _ in range(20):
            ask_one(found, "small")
        assert found.sent["TokenRequest"] <= 8


class TestCollections:
    """Tokens move between members when an ask needs them."""

    def test_idle_account_with_burst_1_is_served_by_one_ask(self):
        """At most one more round trip between control instances."""
        found = cluster(SMALL)
        reply, after = ask_one(found, "small")
        assert reply.granted == 1
        assert after <= 4 * 0.0005
        assert found.sent["TokenRequest"] == 8

    @pytest.mark.parametrize("dealer", NAMES)
    def test_whole_burst_from_any_member(self, dealer):
        found = cluster(BIG)
        granted = [found.ask(f"e{i}", dealer, "big") for i in range(60)]
        found.run(0.05)
        total = sum(found.replies_to(i)[0][3].granted for i in granted)
        assert 40 <= total <= 46

    def test_burst_1_with_a_data_centre_lost(self):
        """Guards against an account that is never served again."""
        found = cluster(SMALL)
        for name in ("c6", "c7", "c8"):
            found.kill(name)
        found.run(0.1)
        assert ask_one(found, "small")[0].granted == 1

    def test_silent_member_delays_one_ask(self):
        """Guards against 10 ms for each ask until the link is closed."""
        found = cluster(SMALL, limited("other", 0.3, 1))
        found.freeze("c5")
        assert ask_one(found, "small")[1] <= 0.0115
        assert ask_one(found, "other")[1] <= 0.003

    def test_late_grant_is_lost(self):
        """Guards against tokens that accumulate in the network."""
        dealer = lone_dealer(SMALL, names=("c0", "c1", "c2"))
        dealer.step(0.0, [LinkUp("c1"), LinkUp("c2")])
        dealer.step(9.0, [Received("e0", QuotaAsk(1, "small", 1))])
        assert reply_of(dealer.step(9.011, [])).granted == 0
        late = TokenGrant((TokenRow("small", 1.0),))
        dealer.step(9.2, [Received("c1", late)])
        out = dealer.step(9.2, [Received("e0", QuotaAsk(2, "small", 1))])
        assert [type(msg.payload) for msg in out] == [TokenRequest]

    def test_tokens_beyond_the_limit_are_dropped(self):
        """Guards against a member that holds the bursts of several others.

        If it froze, they would gain new ones, and all would be dealt.
        """
        dealer = lone_dealer(BIG, names=("c0", "c1", "c2"))
        dealer.step(0.0, [LinkUp("c1"), LinkUp("c2")])
        dealer.step(99.0, [Received("e0", QuotaAsk(1, "big", 30))])
        grant = TokenGrant((TokenRow("big", 500.0),))
        out = dealer.step(99.001, [Received("c1", grant)])
        assert reply_of(out).granted == 30
        dealer.step(99.002, [Received("c2", grant)])
        limit = dealer.margin.part(BIG, 3).limit
        assert dealer._table.find("big").bucket.level <= limit

    def test_stranger_gets_nothing(self):
        """Guards against giving tokens to a member that was removed."""
        dealer = lone_dealer(BIG)
        dealer.step(0.0, [])
        out = dealer.step(9.0, [Received("c7", TokenRequest(("big",), 9.0))])
        assert out == [Send("c7", TokenGrant((TokenRow("big", 0.0),)))]

    def test_negative_request_gives_nothing(self):
        dealer = lone_dealer(BIG, names=("c0", "c1"))
        msg = Received("c1", TokenRequest(("big", "gone"), -9.0))
        (_, sent) = dealer.step(9.0, [LinkUp("c1"), msg])
        assert [row.tokens for row in sent.payload.rows] == [0.0, 0.0]

    def test_requests_of_one_tick_share_a_message(self):
        """Guards against a message for each account after a pause."""
        accounts = [limited(f"a{i}", 0.3, 1) for i in range(50)]
        dealer = lone_dealer(*accounts, names=("c0", "c1", "c2"))
        dealer.step(0.0, [LinkUp("c1"), LinkUp("c2")])
        asks = [Received("e0", QuotaAsk(i, f"a{i}", 1)) for i in range(50)]
        out = dealer.step(100.0, asks)
        assert [len(msg.payload.accounts) for msg in out] == [50, 50]


class TestStart:
    """A dealer that starts has few tokens, and serves at once with them."""

    def test_all_restarted_serve_at_once(self):
        found = cluster(BIG, SMALL)
        for name in NAMES:
            found.kill(name)
        for name in NAMES:
            found.start(name)
        found.run(0.01)
        assert ask_one(found, "small")[0].granted == 1
        assert ask_one(found, "big")[0].granted == 1

    def test_starts_with_a_third_of_the_slack(self):
        found = cluster(limited("idle", 0.001, 500), idle_s=0.1)
        asks = [found.ask(f"e{i}", "c0", "idle") for i in range(50)]
        found.run(0.1)
        total = sum(found.replies_to(i)[0][3].granted for i in asks)
        assert total == 6

    def test_slack_of_the_settings(self):
        margin = Margin(slack=60.0)
        found = cluster(limited("idle", 0.001, 500), idle_s=0.1, margin=margin)
        asks = [found.ask(f"e{i}", "c0", "idle") for i in range(50)]
        found.run(0.1)
        total = sum(found.replies_to(i)[0][3].granted for i in asks)
        assert total in (19, 20)


class TestMembers:
    """A change of the members never makes the parts sum to more."""

    def test_new_member_waits_3_s(self):
        """The member that it replaces may deal until then."""
        dealer = QuotaDealer()
        dealer.set_accounts(0.0, [BIG])
        dealer.set_members(0.0, (), "c0")
        dealer.set_members(5.0, ("c0",), "c0")
        assert not asked(dealer, 7.9).dealing
        assert dealer.next_wake() == 8.0
        assert asked(dealer, 8.0).dealing

    def test_restarted_member_does_not_wait(self):
        assert asked(lone_dealer(BIG), 0.0).dealing

    def test_new_member_has_few_tokens(self):
        """Guards against a replacement that starts with a whole part."""
        dealer = QuotaDealer()
        dealer.set_accounts(0.0, [limited("big", 0.001, 500)])
        dealer.set_members(0.0, (), "c0")
        dealer.set_members(500.0, ("c0",), "c0")
        assert asked(dealer, 503.0, number=500).granted == 6

    def test_member_removed_and_added_again_has_few_tokens(self):
        dealer = lone_dealer(limited("big", 1, 500))
        assert asked(dealer, 500.0, number=9).granted == 9
        dealer.set_members(500.0, ("c1",), "c0")
        assert not asked(dealer, 500.0).dealing
        dealer.set_members(501.0, ("c0",), "c0")
        assert not asked(dealer, 503.0).dealing
        assert asked(dealer, 504.0, number=500).granted == 9

    def test_smaller_group_gets_larger_parts_after_3_s(self):
        """Guards against 10/9 of a quota while a removed member still deals."""
        dealer = lone_dealer(limited("big", 30, 1), names=("c0", "c1", "c2"))
        links = [LinkUp("c1"), LinkUp("c2")]
        dealer.step(0.0, links)
        dealer.set_members(10.0, ("c0", "c1"), "c0")
        dealer.step(12.9, [])
        assert dealer._table.members == 3
        dealer.step(13.0, [])
        assert dealer._table.members == 2

    def test_larger_group_gets_smaller_parts_at_once(self):
        dealer = lone_dealer(BIG)
        dealer.set_members(1.0, ("c0", "c1"), "c0")
        assert dealer._table.members == 2


class TestMajority:
    """Only a member with links to a majority deals."""

    def test_lost_majority_refers_asks_to_others(self):
        dealer = lone_dealer(BIG, names=("c0", "c1", "c2"))
        assert not asked(dealer, 1.0).dealing
        out = dealer.step(1.0, [LinkUp("c1")])
        assert out == [DealingChanged(True, "")]
        assert asked(dealer, 1.0).dealing
        out = dealer.step(2.0, [LinkDown("c1")])
        assert out == [DealingChanged(False, "no link to a majority")]
        assert not asked(dealer, 2.0).dealing
        assert dealer.gauges()["quota_dealing"] == 0.0

    def test_waits_for_the_leader_after_a_cut(self):
        """Guards against a member that was replaced without knowing it.

        Its clock may have stopped, so no time is long enough. A leader sends
        nothing to a member that was removed.
        """
        dealer = lone_dealer(BIG, names=("c0", "c1", "c2"))
        dealer.note_contact(0.5)
        dealer.step(1.0, [LinkUp("c1"), LinkUp("c2")])
        assert asked(dealer, 1.0).dealing
        links = [LinkDown("c1"), LinkDown("c2"), LinkUp("c1"), LinkUp("c2")]
        dealer.step(2.0, links)
        assert not asked(dealer, 2.1).dealing
        dealer.note_contact(2.2)
        assert asked(dealer, 2.2).dealing

    def test_one_lost_link_needs_no_leader(self):
        """Guards against a pause of all dealers when one is lost."""
        dealer = lone_dealer(BIG, names=("c0", "c1", "c2"))
        dealer.step(1.0, [LinkUp("c1"), LinkUp("c2")])
        dealer.step(2.0, [LinkDown("c1")])
        assert asked(dealer, 2.0).dealing

    def test_half_is_no_majority(self):
        dealer = lone_dealer(BIG, names=("c0", "c1", "c2", "c3"))
        dealer.step(0.0, [LinkUp("c1")])
        assert not asked(dealer, 1.0).dealing

    def test_links_to_others_do_not_count(self):
        """Guards against counting entries as members."""
        dealer = lone_dealer(BIG, names=("c0", "c1", "c2"))
        dealer.step(0.0, [LinkUp("e1"), LinkUp("e2"), LinkUp("c9")])
        assert not asked(dealer, 1.0).dealing

    def test_waiting_asks_are_referred(self):
        """Guards against an ask that is granted after the dealer stopped."""
        dealer = lone_dealer(SMALL, names=("c0", "c1", "c2"))
        dealer.step(0.0, [LinkUp("c1")])
        dealer.step(9.0, [Received("e0", QuotaAsk(1, "small", 1))])
        grant = Received("c1", TokenGrant((TokenRow("small", 1.0),)))
        out = dealer.step(9.001, [grant, LinkDown("c1")])
        assert not reply_of(out).dealing

    def test_member_without_majority_gives_nothing(self):
        """It may have been replaced by another one that has its part."""
        dealer = lone_dealer(BIG, names=("c0", "c1", "c2", "c3", "c4"))
        msg = Received("c1", TokenRequest(("big",), 9.0))
        out = dealer.step(100.0, [LinkUp("c1"), msg])
        assert out == [Send("c1", TokenGrant((TokenRow("big", 0.0),)))]


class TestAccounts:
    """A changed document applies at once and gains no account anything."""

    def test_lowered_quota_caps_the_level(self):
        dealer = lone_dealer(limited("big", 1, 500))
        asked(dealer, 600.0)
        dealer.set_accounts(600.0, [limited("big", 1, 10)])
        assert 10 <= asked(dealer, 600.0, number=500).granted <= 17

    def test_raised_quota_accrues(self):
        dealer = lone_dealer(limited("big", 1, 10))
        asked(dealer, 600.0, number=10)
        dealer.set_accounts(600.0, [limited("big", 100, 100)])
        assert asked(dealer, 600.0, number=100).granted <= 4
        assert asked(dealer, 601.0, number=100).granted >= 95

    def test_removed_and_added_again_gains_nothing(self):
        dealer = lone_dealer(limited("big", 0.1, 100))
        used = asked(dealer, 2000.0, number=500).granted
        dealer.set_accounts(2000.0, [SMALL])
        assert not asked(dealer, 2001.0).dealing
        for second in range(10):
            dealer.step(2001.0 + second, [])
        dealer.set_accounts(2011.0, [limited("big", 0.1, 100)])
        assert used >= 100
        assert asked(dealer, 2011.0, number=500).granted <= 2

    def test_new_account_starts_full(self):
        dealer = lone_dealer(SMALL)
        dealer.step(9999.0, [])
        dealer.set_accounts(9999.0, [SMALL, limited("big", 1, 100)])
        assert asked(dealer, 9999.0, number=100).granted == 100

    def test_document_without_accounts_stops_dealing(self):
        dealer = lone_dealer(BIG)
        dealer.step(1.0, [])
        dealer.set_accounts(2.0, ())
        assert dealer.step(2.0, []) == [DealingChanged(False, "no accounts")]


class TestIdleAccounts:
    """An account that is not used costs nothing."""

    def test_full_rows_are_dropped(self):
        accounts = [limited(f"a{i}", 1, 1) for i in range(3000)]
        dealer = lone_dealer(*accounts)
        dealer.step(0.0, [])
        for i in range(3000):
            asked(dealer, 100.0, f"a{i}")
        assert dealer.gauges()["quota_accounts_active"] == 3000
        for second in range(20):
            dealer.step(200.0 + second, [])
        assert dealer.gauges()["quota_accounts_active"] == 0
        assert dealer.next_wake() is None

    def test_used_rows_are_kept(self):
        """Guards against a burst that is available again after a sweep."""
        dealer = lone_dealer(limited("slow", 0.001, 10))
        used = asked(dealer, 99999.0, "slow", 100).granted
        for second in range(100):
            dealer.step(100000.0 + second, [])
        assert used >= 10
        assert asked(dealer, 100101.0, "slow", 100).granted == 0

    def test_100_000_accounts_have_no_rows(self):
        accounts = [limited(f"a{i}", 1, 1) for i in range(100_000)]
        dealer = lone_dealer(*accounts)
        dealer.step(9.0, [])
        assert asked(dealer, 99.0, "a5").granted == 1
        assert dealer.gauges()["quota_accounts_active"] == 1

    def test_surplus_of_a_small_account_is_kept(self):
        """Guards against an account with members lost that starts over."""
        dealer = lone_dealer(
            limited("slow", 0.001, 1), names=("c0", "c1", "c2")
        )
        dealer.step(0.0, [LinkUp("c1")])
        dealer.step(9999.0, [Received("e0", QuotaAsk(1, "slow", 1))])
        grant = Received("c1", TokenGrant((TokenRow("slow", 0.3),)))
        dealer.step(9999.001, [grant])
        for second in range(200):
            dealer.step(10_000.0 + second, [])
        assert dealer.gauges()["quota_accounts_active"] == 1
