"""Several dealers over a network that delays, loses and cuts messages."""

from __future__ import annotations

import heapq
import random
from collections import Counter

from greengagemoor.control.messages import Received, Send
from greengagemoor.feed.messages import LinkDown, LinkUp
from greengagemoor.quota.bucket import Margin
from greengagemoor.quota.dealer import QuotaDealer
from greengagemoor.quota.messages import QuotaAsk, QuotaReply
from greengagemoor.routing.accounts import ClientAccount

DETECT_S = 2.3
"""Time until a silent link is closed."""
HEARTBEAT_S = 0.15
"""Interval at which the leader of the group sends to the members."""
SILENCE_S = 4.0
"""A member without a leader for this long asks to join again."""


class Process:
    """A control instance: its dealer, its links and its own clock."""

    def __init__(self, dealer: QuotaDealer, offset: float):
        self.dealer = dealer
        self.offset = offset
        self.frozen_at: float | None = None
        self.held: list[object] = []
        self.contact_at = 0.0

    def clock(self, now: float) -> float:
        """Returns this process's monotonic time, which a freeze stops."""
        return (now if self.frozen_at is None else self.frozen_at) - self.offset


class Cluster:
    """Dealers and entries in simulated time.

    Attributes:
        granted: (time of the dealer's reply, account, number).
        replies: replies that reached an entry, with the time of the ask.
        sent: number of messages by type.
    """

    def __init__(
        self,
        names,
        accounts=(),
        *,
        seed=1,
        loss=0.0,
        delay=(0.0001, 0.0005),
        margin=None,
    ):
        self.now = 1000.0
        self.rng = random.Random(seed)
        self.loss, self.delay = loss, delay
        self.margin = margin or Margin()
        self.accounts = tuple(accounts)
        self.names = list(names)
        self.processes: dict[str, Process] = {}
        self.cuts: set[frozenset] = set()
        self.links: set[frozenset] = set()
        self.granted: list[tuple[float, str, int]] = []
        self.replies: list[tuple[float, float, str, QuotaReply]] = []
        self.on_reply = None
        self.sent: Counter[str] = Counter()
        self.starts: list[float] = []
        self._asked_at: dict[tuple[str, int], float] = {}
        self._ask_id = 0
        self._events: list = []
        self._order = 0
        for name in self.names:
            self.start(name)
        self.at(self.now, self._send_heartbeats)

    def at(self, when, action) -> None:
        self._order += 1
        heapq.heappush(self._events, (when, self._order, action))

    # Processes.

    def start(self, name, *, joins_later=False) -> None:
        """Starts a process, which has lost its state."""
        clock_offset = self.rng.uniform(-500, 500)
        process = Process(QuotaDealer(self.margin), clock_offset)
        self.processes[name] = process
        local = process.contact_at = process.clock(self.now)
        self.starts.append(self.now)
        if joins_later:
            process.dealer.set_members(local, (), name)
        process.dealer.set_members(local, self.names, name)
        process.dealer.set_accounts(local, self.accounts)
        for other in self.processes:
            self._connect(name, other)

    def kill(self, name) -> None:
        """Ends a process; the others see its links close at once."""
        del self.processes[name]
        for other in list(self.processes):
            self._disconnect(name, other)

    def freeze(self, name) -> None:
        """Stops a process with its clock; others notice silence later."""
        process = self.processes[name]
        if process.frozen_at is None:
            process.frozen_at = self.now
            self.at(
                self.now + DETECT_S, lambda: self._notice_freeze(name, process)
            )

    def _notice_freeze(self, name, process) -> None:
        if self.processes.get(name) is not process:
            return
        if process.frozen_at is None:
            return
        if self.now - process.frozen_at < DETECT_S - 1e-9:
            return
        for other in self.processes:
            self._disconnect(name, other)

    def thaw(self, name) -> None:
        """Resumes a process; its late messages and closed links come in."""
        process = self.processes.get(name)
        if process is None or process.frozen_at is None:
            return
        process.offset += self.now - process.frozen_at
        process.frozen_at = None
        held, process.held = process.held, []
        self._step(name, held)
        for other in self.processes:
            self._connect(name, other)

    def cut(self, side) -> None:
        """Separates some control instances from the others."""
        for a in side:
            for b in self.processes:
                if b not in side:
                    self.cuts.add(frozenset((a, b)))
                    self.at(
                        self.now + DETECT_S, lambda a=a, b=b: self._lose(a, b)
                    )

    def _lose(self, a, b) -> None:
        if frozenset((a, b)) in self.cuts:
            self._disconnect(a, b)

    def heal(self) -> None:
        """Ends all cuts."""
        self.cuts.clear()
        for a in self.processes:
            for b in self.processes:
                self._connect(a, b)

    def _connect(self, a, b) -> None:
        link = frozenset((a, b))
        if a == b or link in self.links or link in self.cuts:
            return
        if a not in self.processes or b not in self.processes:
            return
        if any(self.processes[x].frozen_at is not None for x in (a, b)):
            return
        self.links.add(link)
        self.deliver(a, LinkUp(b))
        self.deliver(b, LinkUp(a))

    def _disconnect(self, a, b) -> None:
        link = frozenset((a, b))
        if link in self.links:
            self.links.discard(link)
            self.deliver(a, LinkDown(b))
            self.deliver(b, LinkDown(a))

    def replace(self, name, new) -> None:
        """Replaces a member, which is not told; the new one starts."""
        self.names = [new if n == name else n for n in self.names]
        self.start(new, joins_later=True)

    def _send_heartbeats(self) -> None:
        """Tells members in contact with a majority who the members are."""
        self.at(self.now + HEARTBEAT_S, self._send_heartbeats)
        for name, process in list(self.processes.items()):
            if process.frozen_at is not None:
                continue
            local = process.clock(self.now)
            linked = sum(frozenset((name, n)) in self.links for n in self.names)
            if name in self.names and 2 * (linked + 1) > len(self.names):
                process.contact_at = local
                process.dealer.note_contact(local)
                process.dealer.set_members(local, self.names, name)
            elif local - process.contact_at > SILENCE_S:
                process.dealer.set_members(local, (), name)
            self._step(name, [])

    def set_accounts(self, accounts) -> None:
        """Sets the accounts at every process, also frozen ones on resuming."""
        self.accounts = tuple(accounts)
        for process in self.processes.values():
            local = process.clock(self.now)
            process.dealer.set_accounts(local, self.accounts)

    # Messages.

    def ask(self, entry, dealer, account, number=1) -> int:
        """Sends an ask from an entry; returns its id."""
        self._ask_id += 1
        self._asked_at[(entry, self._ask_id)] = self.now
        self.send(entry, Send(dealer, QuotaAsk(self._ask_id, account, number)))
        return self._ask_id

    def send(self, sender, msg) -> None:
        self.sent[type(msg.payload).__name__] += 1
        if isinstance(msg.payload, QuotaReply) and msg.payload.granted:
            self.granted.append(
                (self.now, msg.payload.account, msg.payload.granted)
            )
        if self.rng.random() < self.loss:
            return
        arrives = self.now + self.rng.uniform(*self.delay)
        target = self.processes.get(msg.to)
        self.at(arrives, lambda: self._arrive(sender, msg, target))

    def _arrive(self, sender, msg, target) -> None:
        if target is None:
            if msg.to.startswith("e") and isinstance(msg.payload, QuotaReply):
                key = (msg.to, msg.payload.ask_id)
                asked = self._asked_at.pop(key, self.now)
                self.replies.append((asked, self.now, msg.to, msg.payload))
                if self.on_reply:
                    self.on_reply(msg.to, msg.payload)
            return
        if self.processes.get(msg.to) is not target:
            return
        if frozenset((sender, msg.to)) in self.cuts:
            return
        is_peer = sender in self.processes
        if is_peer and frozenset((sender, msg.to)) not in self.links:
            return
        self.deliver(msg.to, Received(sender, msg.payload))

    def deliver(self, name, msg) -> None:
        process = self.processes.get(name)
        if process is None:
            return
        if process.frozen_at is not None:
            process.held.append(msg)
            return
        self._step(name, [msg])

    def _step(self, name, msgs) -> None:
        process = self.processes[name]
        local = process.clock(self.now)
        for msg in process.dealer.step(local, msgs):
            if isinstance(msg, Send):
                self.send(name, msg)
        wake = process.dealer.next_wake()
        if wake is not None:
            delay = max(0.0005, wake - local)
            self.at(self.now + delay, lambda: self._wake(name, process))

    def _wake(self, name, process) -> None:
        if self.processes.get(name) is process and process.frozen_at is None:
            local = process.clock(self.now)
            wake = process.dealer.next_wake()
            if wake is not None and wake <= local + 1e-9:
                self._step(name, [])

    def run(self, seconds) -> None:
        """Lets time pass."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            when, _, action = heapq.heappop(self._events)
            self.now = max(self.now, when)
            action()
        self.now = until

    # Checks.

    def bound(self, account: ClientAccount) -> float:
        """Returns the most that may be granted in a window."""
        margin = self.margin
        quota = account.rate_per_s * margin.window_s + account.burst
        return quota * (1 + margin.overage) + margin.slack

    def most_in_window(self, name) -> int:
        """Returns the most tokens of an account granted in a window."""
        rows = [(t, n) for t, account, n in self.granted if account == name]
        most = total = first = 0
        for t, number in rows:
            total += number
            while rows[first][0] <= t - self.margin.window_s:
                total -= rows[first][1]
                first += 1
            most = max(most, total)
        return most

    def replies_to(self, ask_id):
        """Returns the replies to an ask that reached the entry."""
        return [row for row in self.replies if row[3].ask_id == ask_id]


def limited(name, rate, burst) -> ClientAccount:
    """Returns an account with a quota."""
    return ClientAccount(name, rate_per_s=rate, burst=burst)
