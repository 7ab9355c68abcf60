"""Quota gates of entries and dealers of control instances over one network."""

from __future__ import annotations

import random
from collections import defaultdict
from itertools import count

from greengagemoor.control.messages import Received, Send
from greengagemoor.feed.messages import LinkDown, LinkUp
from greengagemoor.forward.messages import Arrived
from greengagemoor.quota.gate import QuotaGate
from greengagemoor.quota.rejections import QuotaRejected
from greengagemoor.routing.routes import RouteTable
from tests.test_forward.helpers import single
from tests.test_quota.dealers import DETECT_S, Cluster

ROUTE = single()


class Entry:
    """A gate, its links, its document and its own clock."""

    def __init__(self, gate, offset, accounts):
        self.gate = gate
        self.offset = offset
        self.accounts = accounts
        self.frozen_at: float | None = None
        self.inbox: list[object] = []
        self.links: set[str] = set()
        self.wake_at: float | None = None

    def clock(self, now: float) -> float:
        """Returns this process's monotonic time, which a freeze stops."""
        return (now if self.frozen_at is None else self.frozen_at) - self.offset


class Bucket:
    """One exact bucket, which tells which requests are within the quota."""

    def __init__(self, account, now):
        self.account, self.now, self.level = account, now, account.burst

    def try_take(self, now):
        gained = (now - self.now) * self.account.rate_per_s
        self.level = min(self.account.burst, self.level + gained)
        self.now = now
        if self.level < 1 - 1e-9:
            return False
        self.level -= 1
        return True


class Whole(Cluster):
    """Entries and control instances in simulated time.

    Attributes:
        admitted: times at which requests were admitted, by account.
        refused: (time, status, whether it was within the quota), by account.
        held_s: how long each admitted request was held.
    """

    def __init__(self, accounts, *, entries=20, members=9, seed=1, **changes):
        self.entries: dict[str, Entry] = {}
        self.admitted = defaultdict(list)
        self.refused = defaultdict(list)
        self.held_s: list[float] = []
        self.arrived = defaultdict(int)
        self.within = defaultdict(int)
        self.lost = 0
        self._tokens = count(1)
        self._exact: dict[str, Bucket] = {}
        self._is_within: dict[int, bool] = {}
        names = [f"c{i}" for i in range(members)]
        super().__init__(names, accounts, seed=seed, **changes)
        for number in range(entries):
            self.start_entry(f"e{number}")

    # Entries.

    def start_entry(self, name) -> None:
        """Starts an entry, or restarts it without its state."""
        rng = random.Random(self.rng.random())
        offset = self.rng.uniform(-500, 500)
        by_name = {account.name: account for account in self.accounts}
        self.entries[name] = Entry(QuotaGate(rng), offset, by_name)
        for control in self.processes:
            self._connect(name, control)

    def kill_entry(self, name) -> None:
        """Ends an entry with its tokens and its held requests."""
        entry = self.entries.pop(name)
        for control in list(entry.links):
            self.links.discard(frozenset((name, control)))
            self.deliver(control, LinkDown(name))

    def freeze_entry(self, name) -> None:
        """Stops an entry with its clock; its inbox waits."""
        entry = self.entries[name]
        if entry.frozen_at is None:
            entry.frozen_at = self.now

    def thaw_entry(self, name) -> None:
        """Resumes an entry; links that were silent for long have closed."""
        entry = self.entries.get(name)
        if entry is None or entry.frozen_at is None:
            return
        frozen_s = self.now - entry.frozen_at
        entry.offset += frozen_s
        entry.frozen_at = entry.wake_at = None
        inbox, entry.inbox = entry.inbox, []
        self._step_entry(name, inbox)
        if frozen_s > DETECT_S:
            for control in list(entry.links):
                self._disconnect(name, control)
        for control in self.processes:
            self._connect(name, control)

    def cut_entry(self, name, controls=None) -> None:
        """Separates an entry from some control instances, or from all."""
        for control in controls or self.processes:
            self.cuts.add(frozenset((name, control)))
            self.at(
                self.now + DETECT_S,
                lambda control=control: self._lose(name, control),
            )

    def spread_accounts(self, accounts, within_s) -> None:
        """Sets the accounts at each process at a random time."""
        self.accounts = tuple(accounts)
        for name in [*self.processes, *self.entries]:
            when = self.now + self.rng.uniform(0, within_s)
            self.at(
                when, lambda name=name, a=self.accounts: self._apply(name, a)
            )

    def _apply(self, name, accounts) -> None:
        if name in self.processes:
            process = self.processes[name]
            process.dealer.set_accounts(process.clock(self.now), accounts)
            self.deliver(name, None)
        elif name in self.entries:
            entry = self.entries[name]
            entry.accounts = {account.name: account for account in accounts}
            table = RouteTable(2, (), {}, None, accounts or None)
            entry.gate.set_accounts(table)
            self.deliver(name, None)

    # Requests.

    def arrive(self, account, entry=None) -> None:
        """Sends a caller's request to an entry, a random one by default."""
        name = entry or self.rng.choice(sorted(self.entries))
        self.arrived[account.name] += 1
        exact = self._exact.setdefault(account.name, Bucket(account, self.now))
        token = next(self._tokens)
        self._is_within[token] = exact.try_take(self.now)
        self.within[account.name] += self._is_within[token]
        if name in self.entries:
            known = self.entries[name].accounts.get(account.name)
            request = Arrived(token, f"r{token}", ROUTE, None, account=known)
            self.deliver(name, request)

    def offer(self, account, share, seconds, start=0.0) -> None:
        """Spaces requests evenly, with a random part of the interval each."""
        interval = 1.0 / (share * account.rate_per_s)
        for number in range(int(seconds / interval)):
            late = self.rng.uniform(0, 0.1 * interval)
            when = self.now + start + number * interval + late
            self.at(when, lambda: self.arrive(account))

    # Network.

    def _connect(self, a, b) -> None:
        if a not in self.entries and b not in self.entries:
            super()._connect(a, b)
            for control in (a, b):
                for name in self.entries:
                    self._connect(name, control)
            return
        if b in self.entries:
            a, b = b, a
        entry, link = self.entries[a], frozenset((a, b))
        process = self.processes.get(b)
        if process is None or link in self.links or link in self.cuts:
            return
        if entry.frozen_at is not None or process.frozen_at is not None:
            return
        self.links.add(link)
        entry.links.add(b)
        self.deliver(a, LinkUp(b))
        self.deliver(b, LinkUp(a))

    def _disconnect(self, a, b) -> None:
        super()._disconnect(a, b)
        for one, other in ((a, b), (b, a)):
            if one in self.entries:
                self.entries[one].links.discard(other)

    def kill(self, name) -> None:
        super().kill(name)
        for entry in self.entries:
            self._disconnect(entry, name)

    def _notice_freeze(self, name, process) -> None:
        super()._notice_freeze(name, process)
        if self.processes.get(name) is not process or not process.frozen_at:
            return
        if self.now - process.frozen_at >= DETECT_S - 1e-9:
            for entry in self.entries:
                self._disconnect(entry, name)

    def heal(self) -> None:
        super().heal()
        for entry in self.entries:
            for control in self.processes:
                self._connect(entry, control)

    def send(self, sender, msg) -> None:
        """Delivers in order of a random delay; closed links lose messages."""
        self.sent[type(msg.payload).__name__] += 1
        link = frozenset((sender, msg.to))
        target = self.processes.get(msg.to) or self.entries.get(msg.to)
        arrives = self.now + self.rng.uniform(*self.delay)

        def pass_on():
            now_there = self.processes.get(msg.to) or self.entries.get(msg.to)
            is_open = link in self.links and link not in self.cuts
            if target is not None and now_there is target and is_open:
                self.deliver(msg.to, Received(sender, msg.payload))
            else:
                self.lost += 1

        self.at(arrives, pass_on)

    def deliver(self, name, msg) -> None:
        msgs = [] if msg is None else [msg]
        entry = self.entries.get(name)
        if entry is None:
            if name in self.processes and msg is not None:
                super().deliver(name, msg)
            elif name in self.processes and not self.processes[name].frozen_at:
                self._step(name, [])
        elif entry.frozen_at is not None:
            entry.inbox += msgs
        else:
            self._step_entry(name, msgs)

    def _step(self, name, msgs) -> None:
        super()._step(name, msgs)
        process = self.processes[name]
        wake = process.dealer.next_wake()
        local = process.clock(self.now)
        assert wake is None or wake > local, "the dealer would spin"

    def _step_entry(self, name, msgs) -> None:
        entry = self.entries[name]
        local = entry.clock(self.now)
        for msg in entry.gate.step(local, msgs):
            if isinstance(msg, Send):
                self.send(name, msg)
            elif isinstance(msg, QuotaRejected):
                status = 429 if msg.over_quota else 503
                is_within = self._is_within.pop(msg.msg.token)
                account = msg.msg.account.name
                self.refused[account].append((self.now, status, is_within))
            elif isinstance(msg, Arrived) and msg.account is not None:
                self._is_within.pop(msg.token)
                self.admitted[msg.account.name].append(self.now)
                self.held_s.append(msg.held_s)
        wake = entry.gate.next_wake()
        assert wake is None or wake > local, "the entry would spin"
        if wake is not None and wake != entry.wake_at:
            entry.wake_at = wake
            delay = max(0.0, wake - local) + 1e-6
            self.at(self.now + delay, lambda: self._wake_entry(name, entry))

    def _wake_entry(self, name, entry) -> None:
        if self.entries.get(name) is not entry or entry.frozen_at is not None:
            return
        local = entry.clock(self.now)
        entry.wake_at = None
        wake = entry.gate.next_wake()
        if wake is not None and wake <= local + 1e-9:
            self._step_entry(name, [])

    # Checks.

    def most_admitted(self, name) -> int:
        """Returns the most requests of an account admitted in a window."""
        times, first, most = self.admitted[name], 0, 0
        for last, when in enumerate(times):
            while times[first] <= when - self.margin.window_s:
                first += 1
            most = max(most, last - first + 1)
        return most

    def refused_since(self, name, start) -> list:
        """Returns the refusals of an account from a time on."""
        return [row for row in self.refused[name] if row[0] >= start]

    def refused_within(self) -> tuple[int, int]:
        """Returns how many requests within the quotas were refused, of all."""
        refused = sum(row[2] for rows in self.refused.values() for row in rows)
        return refused, sum(self.within.values())
