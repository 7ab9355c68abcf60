"""Bounds of the quota under faults that a state machine combines."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from tests.test_quota.dealers import Cluster, limited

MEMBERS = 5
NAMES = [f"c{i}" for i in range(MEMBERS)]
QUOTAS = {"tiny": (0.3, 1), "low": (4, 10), "steep": (2, 60), "high": (40, 40)}
ACCOUNTS = st.sampled_from(sorted(QUOTAS))
PICK = st.integers(0, MEMBERS - 1)
STARTS_IN_WINDOW = 2 * MEMBERS
"""The margin covers two starts of all members in one window."""


class Faults(RuleBasedStateMachine):
    """Dealers under load, with one fault after another."""

    @initialize(
        seed=st.integers(0, 10_000),
        loss=st.sampled_from([0.0, 0.05, 0.4]),
        delay=st.sampled_from([0.0005, 0.004, 0.3]),
        idle_s=st.sampled_from([0.0, 1.0, 60.0]),
    )
    def begin(self, seed, loss, delay, idle_s):
        self.quotas = dict(QUOTAS)
        self.removed: set[str] = set()
        self.spares = 0
        self.cluster = Cluster(
            NAMES,
            self._accounts(),
            seed=seed,
            loss=loss,
            delay=(0.0001, delay),
        )
        self.cluster.run(idle_s)

    def _accounts(self):
        return [
            limited(name, *quota)
            for name, quota in self.quotas.items()
            if name not in self.removed
        ]

    def _name(self, pick: int) -> str:
        return self.cluster.names[pick]

    @rule(
        account=ACCOUNTS,
        pick=st.none() | PICK,
        asks=st.integers(1, 150),
        number=st.integers(1, 3),
    )
    def ask_at_once(self, account, pick, asks, number):
        """Asks one dealer, or all of them."""
        names = list(self.cluster.processes) or self.cluster.names
        if pick is not None:
            names = [self._name(pick)]
        for i in range(asks):
            target = names[i % len(names)]
            self.cluster.ask(f"e{i}", target, account, number)

    @rule(
        account=ACCOUNTS,
        seconds=st.sampled_from([0.5, 3.0, 8.0]),
        factor=st.sampled_from([0.9, 3.0]),
        one=st.booleans(),
    )
    def ask_for_a_time(self, account, seconds, factor, one):
        cluster, rate = self.cluster, self.quotas[account][0] * factor
        for i in range(int(seconds * rate)):
            name = self._name(0 if one else i % MEMBERS)
            cluster.at(
                cluster.now + i / rate,
                lambda i=i, name=name: cluster.ask(f"e{i}", name, account),
            )
        cluster.run(seconds)

    @rule(seconds=st.sampled_from([0.0003, 0.001, 0.1, 1.0, 2.5, 4.0, 30.0]))
    def wait(self, seconds):
        self.cluster.run(seconds)

    @rule(pick=PICK)
    def kill(self, pick):
        if self._name(pick) in self.cluster.processes:
            self.cluster.kill(self._name(pick))

    @rule()
    def kill_all(self):
        for name in list(self.cluster.processes):
            self.cluster.kill(name)

    def _may_start(self, number: int) -> bool:
        earliest = self.cluster.now - self.cluster.margin.window_s
        recent = sum(at > earliest for at in self.cluster.starts)
        return recent + number <= STARTS_IN_WINDOW

    @rule()
    def start_all(self):
        missing = [
            name
            for name in self.cluster.names
            if name not in self.cluster.processes
        ]
        if self._may_start(len(missing)):
            for name in missing:
                self.cluster.start(name)

    @rule(pick=PICK)
    def freeze(self, pick):
        if self._name(pick) in self.cluster.processes:
            self.cluster.freeze(self._name(pick))

    @rule()
    def thaw_all(self):
        for name in list(self.cluster.processes):
            self.cluster.thaw(name)

    @rule(number=st.integers(1, 3))
    def cut(self, number):
        self.cluster.cut(self.cluster.names[:number])

    @rule()
    def heal(self):
        self.cluster.heal()

    @precondition(lambda self: self.spares < 2)
    @rule(pick=PICK)
    def replace(self, pick):
        """Replaces a member, which may be frozen, cut off or gone."""
        if self._may_start(1):
            self.spares += 1
            self.cluster.replace(self._name(pick), f"d{self.spares}")

    @rule(account=ACCOUNTS, divisor=st.sampled_from([2, 10]))
    def lower(self, account, divisor):
        """The bound of the earlier quota holds in a window with both."""
        rate, burst = self.quotas[account]
        if rate >= QUOTAS[account][0] / 10:
            self.quotas[account] = (rate / divisor, burst / divisor)
        self.cluster.set_accounts(self._accounts())

    @rule(account=ACCOUNTS)
    def remove_or_add(self, account):
        self.removed ^= {account}
        self.cluster.set_accounts(self._accounts())

    @invariant()
    def no_window_exceeds_the_bound(self):
        cluster = getattr(self, "cluster", None)
        for name, quota in QUOTAS.items() if cluster else ():
            most = cluster.most_in_window(name)
            assert most <= cluster.bound(limited(name, *quota)), name


class TestFaults(Faults.TestCase):
    """Guards against dealing more than the quota and its margin."""

    settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


class TestWorstCases:
    """Faults in the order that gains an account the most.

    Random rules rarely find these orders: in 600 examples of 60 steps they
    came to 0.85 of the bound, no more than without faults.
    """

    @staticmethod
    def _flood(cluster, seconds):
        """Asks all dealers for more than all accounts have."""
        for i in range(int(seconds * 100)):
            for name in QUOTAS:
                target = cluster.names[i % MEMBERS]
                cluster.at(
                    cluster.now + i / 100,
                    lambda i=i, t=target, n=name: cluster.ask(f"e{i}", t, n),
                )
        cluster.run(seconds)

    @staticmethod
    def _check(cluster):
        for name, quota in QUOTAS.items():
            most = cluster.most_in_window(name)
            assert most <= cluster.bound(limited(name, *quota)), name

    @staticmethod
    def _cluster() -> Cluster:
        accounts = [limited(name, *quota) for name, quota in QUOTAS.items()]
        cluster = Cluster(NAMES, accounts)
        cluster.run(120)
        return cluster

    def test_frozen_with_collected_tokens(self):
        """Guards against a dealer that keeps a burst while others refill."""
        cluster = self._cluster()
        for name in NAMES[:2]:
            for account, (_, burst) in QUOTAS.items():
                for i in range(int(burst / MEMBERS) + 2):
                    cluster.ask(f"e{i}", name, account)
            cluster.run(0.1)
            cluster.freeze(name)
            cluster.run(120)
        for name in NAMES[:2]:
            cluster.thaw(name)
        self._flood(cluster, 6)
        self._check(cluster)

    def test_asks_held_by_a_frozen_dealer(self):
        """Guards against a burst for the asks that wait in its sockets."""
        cluster = self._cluster()
        cluster.freeze(NAMES[0])
        for i in range(200):
            for account in QUOTAS:
                cluster.ask(f"e{i}", NAMES[0], account)
        cluster.run(60)
        cluster.thaw(NAMES[0])
        self._flood(cluster, 6)
        self._check(cluster)

    def test_replaced_while_frozen(self):
        """Guards against the part of a member that was replaced unknowingly."""
        cluster = self._cluster()
        cluster.freeze(NAMES[0])
        cluster.run(3)
        cluster.replace(NAMES[0], "d1")
        cluster.run(120)
        for i in range(200):
            for account in QUOTAS:
                cluster.ask(f"e{i}", NAMES[0], account)
        cluster.thaw(NAMES[0])
        for i in range(1000):
            cluster.at(
                cluster.now + i * 0.005,
                lambda: [cluster.ask("e1", NAMES[0], n) for n in QUOTAS],
            )
        self._flood(cluster, 6)
        self._check(cluster)

    def test_all_restarted_twice(self):
        """Guards against tokens that each start brings anew."""
        cluster = self._cluster()
        for _ in range(2):
            self._flood(cluster, 1)
            for name in NAMES:
                cluster.kill(name)
            for name in NAMES:
                cluster.start(name)
            cluster.run(0.1)
        self._flood(cluster, 6)
        self._check(cluster)

    def test_all_cut_from_each_other(self):
        """Guards against sides of a cut that each deal the whole quota."""
        cluster = self._cluster()
        cluster.cut(NAMES[:2])
        self._flood(cluster, 8)
        cluster.heal()
        self._flood(cluster, 6)
        self._check(cluster)


class TestLoweredQuota:
    """A lowered quota holds by itself once the earlier one is out of sight."""

    def test_window_after_the_change(self):
        """Guards against levels that outlast the capacity they had."""
        cluster = Cluster(NAMES, [limited("a", 40, 100)])
        cluster.run(60)
        for i in range(30):
            cluster.ask(f"e{i}", NAMES[i % MEMBERS], "a")
        cluster.run(0.1)
        lowered = limited("a", 1, 5)
        cluster.set_accounts([lowered])
        cluster.granted.clear()
        for i in range(400):
            cluster.at(
                cluster.now + i * 0.02,
                lambda i=i: cluster.ask(f"e{i}", NAMES[i % MEMBERS], "a"),
            )
        cluster.run(9)
        assert 8 <= cluster.most_in_window("a") <= cluster.bound(lowered)


class TestSteadyAccount:
    """An account below 0.9 of its rate is never denied without faults."""

    def test_never_denied(self):
        """Guards against parts that are full here and empty there."""
        quotas = {
            **QUOTAS,
            "one": (1, 1),
            "fast": (300, 30),
            "no burst": (2, 0),
        }
        accounts = [limited(name, *quota) for name, quota in quotas.items()]
        cluster = Cluster([f"c{i}" for i in range(9)], accounts)
        cluster.run(0.1)
        for account in accounts:
            rate = 0.9 * account.rate_per_s
            for i in range(int(40 * rate) + 1):
                cluster.at(
                    cluster.now + i / rate,
                    lambda i=i, a=account: cluster.ask(
                        f"e{i % 83}", "c3", a.name
                    ),
                )
        cluster.run(41)
        denied = {
            row[3].account for row in cluster.replies if not row[3].granted
        }
        assert denied == set()
