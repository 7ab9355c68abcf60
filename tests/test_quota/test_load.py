"""Accounts under load, through 83 entries and 9 dealers."""

from __future__ import annotations

import attrs

from greengagemoor.quota.messages import QuotaReply
from tests.test_quota.dealers import Cluster, limited

NAMES = [f"c{i}" for i in range(9)]
ENTRIES = 83
RUN_S = 60.0


@attrs.define
class Entries:
    """Entries that ask for one token per request and wait as told.

    Attributes:
        denied_until: by entry and account, the end of the wait.
        requests: requests by account.
        admitted: those that were granted a token.
    """

    cluster: Cluster
    denied_until: dict = attrs.field(factory=dict)
    requests: dict = attrs.field(factory=dict)
    admitted: dict = attrs.field(factory=dict)

    def request(self, entry: str, account: str, dealer: str) -> None:
        self.requests[account] = self.requests.get(account, 0) + 1
        if self.cluster.now >= self.denied_until.get((entry, account), 0.0):
            self.cluster.ask(entry, dealer, account)

    def note(self, entry: str, reply: QuotaReply) -> None:
        if reply.granted:
            before = self.admitted.get(reply.account, 0)
            self.admitted[reply.account] = before + reply.granted
        else:
            until = self.cluster.now + reply.wait_s
            self.denied_until[(entry, reply.account)] = until


def play(accounts, factor) -> Entries:
    """Plays accounts that ask steadily, through random entries.

    Args:
        accounts: the accounts.
        factor: requests per token of the rate, by account.
    """
    cluster = Cluster(NAMES, accounts)
    entries = Entries(cluster)
    cluster.on_reply = entries.note
    cluster.run(1.0)
    cluster.sent.clear()
    for number, account in enumerate(accounts):
        rate = account.rate_per_s * factor[account.name]
        dealer = NAMES[number % len(NAMES)]
        for i in range(int(RUN_S * rate)):
            entry = f"e{cluster.rng.randrange(ENTRIES)}"
            cluster.at(
                cluster.now + i / rate,
                lambda e=entry, a=account.name, d=dealer: entries.request(
                    e, a, d
                ),
            )
    cluster.run(RUN_S)
    return entries


class TestSteadyLoad:
    """One account below its quota and one far above it."""

    BELOW = limited("below", 22, 20)
    ABOVE = limited("above", 22, 20)
    LITTLE = limited("little", 0.3, 1)

    def test_below_is_served_and_above_gets_its_rate(self):
        """Guards against parts that lose tokens, at either load."""
        entries = play(
            [self.BELOW, self.ABOVE, self.LITTLE],
            {"below": 0.9, "above": 5.0, "little": 0.9},
        )
        assert entries.admitted["below"] == entries.requests["below"]
        assert entries.admitted["little"] == entries.requests["little"]
        assert entries.admitted["above"] >= 0.95 * 22 * RUN_S
        most = entries.cluster.most_in_window("above")
        assert most <= entries.cluster.bound(self.ABOVE)

    def test_messages_are_bounded(self):
        """Guards against a collection for each ask of a busy account."""
        account = limited("fast", 200, 100)
        entries = play([account], {"fast": 0.9})
        collected = entries.cluster.sent["TokenRequest"]
        assert collected / RUN_S <= 8 * 20
